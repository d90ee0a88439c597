#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review, review/6 and later. It needs only the
# standard library, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin/review-2
GOWORK=off GOTOOLCHAIN=local GOFLAGS= go build -o ../../bin/review-2/cases .
