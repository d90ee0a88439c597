GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
MODULES := . ./standin

.PHONY: build test demo lint format

# build puts the two product binaries and the stand-in into bin.
build:
	@mkdir -p bin
	go build -o bin/ ./cmd/... ./standin/cmd/...

# test runs every test of both modules. The scenarios run binaries that the test
# cache does not know of, so nothing is taken from it.
#
# The property tests draw from a fixed seed, so that a commit always gets the same
# verdict.
test: build
	@for script in standin/scenario/known-red/*.txtar; do echo "passed over, see KNOWN-RED.txt: $$script"; done
	RAPID_SEED=1 go test -count=1 -timeout 5m ./... ./standin/...

# soak runs the property tests with random seeds and many more cases. A case that
# fails here becomes a test of its own.
CHECKS ?= 2000
PROPERTIES := ./claim ./quarantine ./quota ./rank ./retry ./revision ./routing
.PHONY: soak
soak:
	RAPID_SEED=0 RAPID_CHECKS=$(CHECKS) go test -count=1 -timeout 30m $(PROPERTIES)

# soak-faults runs entries of the users' platform as processes under random faults and
# checks what callers and servers see.
FIRST ?= 1
RUNS ?= 10
.PHONY: soak-faults
soak-faults: build
	bin/standin soak --seed $(FIRST) --runs $(RUNS)

# measure runs every experiment with one seed and writes the figures.
SEED ?= 1
.PHONY: measure
measure: build
	@for name in forecast poison routing fairness flood-overnight flood-urgent entry entry-processor weights; do \
		echo "# $$name --seed $(SEED)"; bin/experiment $$name --seed $(SEED) || true; done

# demo runs the whole path on embedded stand-ins as separate processes.
demo: build
	bin/standin demo --bin bin

lint:
	@for module in $(MODULES); do (cd $$module && $(GOLANGCI) run --allow-parallel-runners ./...) || exit 1; done

format:
	@for module in $(MODULES); do (cd $$module && $(GOLANGCI) fmt ./...) || exit 1; done

# format-check fails and prints a diff when a file is not formatted.
.PHONY: format-check
format-check:
	@for module in $(MODULES); do (cd $$module && $(GOLANGCI) fmt --diff ./...) || exit 1; done
