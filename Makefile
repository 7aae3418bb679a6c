# Wrapper around CMake. README.md documents the targets.
BUILD ?= build
JOBS ?= 8
SHELL = /bin/bash
.SHELLFLAGS = -o pipefail -c
SOURCES = $(shell git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '\.pb\.')
PACKAGES = g++ cmake ninja-build ccache clang-format clang-tidy python3 curl pkg-config \
	libboost1.81-dev libboost-program-options1.81-dev libboost-test1.81-dev libssl-dev libzmq3-dev cppzmq-dev \
	libprotobuf-dev protobuf-compiler libspdlog-dev nlohmann-json3-dev prometheus-cpp-dev spin librapidcheck-dev \
	gnuplot-nox python3-httpx

.PHONY: all deps build check sanitize bench demo lint model format proto clean deploy soak fuzz

all: build

# Installs missing packages. Does not need root if all packages are installed.
deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { \
	  run=""; [ "$$(id -u)" = 0 ] || run=sudo; \
	  $$run apt-get update -qq && $$run env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES); }

$(BUILD)/CMakeCache.txt:
	cmake -S . -B $(BUILD) -G Ninja

build: deps $(BUILD)/CMakeCache.txt
	cmake --build $(BUILD) -j $(JOBS)

# Tests listed in KNOWN-RED.txt run last; their failures are printed but do not fail the target.
KNOWN_RED = $(shell sed -n 's/^  test:\([a-z_]*\) .*/\1/p' KNOWN-RED.txt)
SPACE = $(subst ,, )
KNOWN_RED_PATTERN = ^($(subst $(SPACE),|,$(strip $(KNOWN_RED))))$$

check: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4 $(if $(KNOWN_RED),-E '$(KNOWN_RED_PATTERN)')
	$(if $(KNOWN_RED),ctest --test-dir $(BUILD) --output-on-failure -j 4 -R '$(KNOWN_RED_PATTERN)' || echo "known red (KNOWN-RED.txt): $(KNOWN_RED)")

# Runs the unit tests under sanitizers, each in a separate build folder.
sanitize: deps
	@for kind in address,undefined thread; do \
	  folder=$(BUILD)-$${kind%%,*}; \
	  cmake -S . -B $$folder -G Ninja -DWISTERIAYARD_SANITIZE=$$kind >/dev/null && \
	  cmake --build $$folder -j $(JOBS) && \
	  TSAN_OPTIONS=suppressions=$(CURDIR)/src/cmake/tsan.supp \
	  ctest --test-dir $$folder --output-on-failure -j 4 -E '^case_' || exit 1; \
	done

# Runs all policy scenarios in virtual time. Draws the charts if gnuplot is installed.
bench: build
	mkdir -p $(BUILD)/bench
	$(BUILD)/bin/policy_bench --output $(BUILD)/bench/policy.json
	@! command -v gnuplot >/dev/null || for script in $(BUILD)/bench/policy-*.gp; do gnuplot $$script; done

demo: build
	python3 testsuite/demo/run.py --bin $(BUILD)/bin

# Builds the gateway with the build command of deploy/system.toml, as the users' platform does.
deploy: deps
	bash -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Runs the fault soak with seeds 1 to 50.
soak: build
	python3 testsuite/soak/run.py --bin $(BUILD)/bin --seeds $$(seq 1 50)

# Runs the fuzz targets with sanitizers. Fixed seeds give the same verdict in each run; more with FUZZ_SEEDS, FUZZ_RUNS.
FUZZ_SEEDS ?= 1 2
FUZZ_RUNS ?= 10000
fuzz: deps
	@cmake -S . -B $(BUILD)-fuzz -G Ninja -DWISTERIAYARD_SANITIZE=address,undefined >/dev/null
	cmake --build $(BUILD)-fuzz -j $(JOBS) --target fuzz_driver
	@for seed in $(FUZZ_SEEDS); do $(BUILD)-fuzz/bin/fuzz_driver src/fuzz/corpus $$seed $(FUZZ_RUNS) || exit 1; done

format:
	@clang-format -i $(SOURCES)

lint: deps $(BUILD)/CMakeCache.txt
	@clang-format --dry-run --Werror $(SOURCES)
	@printf '%s\n' $(filter %.cpp,$(SOURCES)) | xargs -P $(JOBS) -n 1 clang-tidy -p $(BUILD) --quiet 2>&1 \
	  | { ! grep -E '(error|warning):'; }

# Checks the protocol models, and that the checker reports an error in each mutant.
model: deps
	python3 models/run.py --out $(BUILD)/models

# Regenerates the committed protobuf code.
proto:
	protoc --proto_path=src/libwire --cpp_out=src/libwire/generated src/libwire/wisteriayard.proto
	protoc --proto_path=src/libwisteriayard --cpp_out=src/libwisteriayard/generated src/libwisteriayard/once.proto
	protoc --proto_path=src/gateway --cpp_out=src/gateway/generated src/gateway/peer_messages.proto

clean:
	rm -rf $(BUILD)
