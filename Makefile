# The commands of the project; see README.md.

SANITIZE ?=
EXAMPLE ?= inspector
SECONDS ?= 30
SEED ?= 0
SEEDS ?= 1
JOBS ?= $(shell nproc)

comma := ,
BUILD := build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))

.PHONY: all packages configure build test run bench faults soak regress format lint check

all: build

packages:
	@src/build-scripts/install_packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DSANITIZE=$(SANITIZE) > $(BUILD).configure.log 2>&1 \
	    || { cat $(BUILD).configure.log; rm -f $(BUILD).configure.log; exit 1; }
	@rm -f $(BUILD).configure.log

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@src/build-scripts/run_tests.sh $(BUILD)

run: build
	@examples/run.sh $(BUILD)/bin $(EXAMPLE)

# Fresh seeds for a bounded time; prints how to repeat a failure.
faults: build
	@$(BUILD)/bin/redwingwheel-faults --seconds $(SECONDS) \
	    --seed $(if $(filter 0,$(SEED)),$(shell date +%s),$(SEED))

# Real daemons under random faults, one seed after the other; keeps the data and logs of a failure.
soak: build
	@src/build-scripts/soak.sh $(BUILD)/bin $(SECONDS) $(SEED) $(SEEDS)

# Days of the users' deployments on their bench; FLEETBENCH and SYSTEM are paths, SITES may be empty.
regress:
	@src/build-scripts/regress.sh "$(FLEETBENCH)" "$(SYSTEM)" $(SITES)

bench: build
	@src/build-scripts/bench.sh $(BUILD)/bin $(BUILD)/bench

format:
	@find src platform -name '*.h' -o -name '*.cpp' | xargs clang-format -i

check: configure
	@src/build-scripts/check_format.sh
	@platform/check_names.sh
	@src/build-scripts/check_lint.sh $(BUILD)
