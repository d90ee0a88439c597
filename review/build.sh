#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" GOTOOLCHAIN=local go build -o ../bin/standin .
