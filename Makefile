# Short names for the common tasks; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build test test-sanitize demo bench lint format clean

all: build

deps:
	sh scripts/install-packages.sh

build: deps
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j$(JOBS)

test: build
	cd $(BUILD) && ctest --output-on-failure

test-sanitize: deps
	BUILD=$(BUILD)-sanitize JOBS=$(JOBS) sh scripts/sanitize.sh

demo: build
	BUILD_DIR=$(BUILD) python3 scripts/demo.py
	BUILD_DIR=$(BUILD) python3 scripts/demo_platform.py

bench: build
	BUILD_DIR=$(BUILD) python3 tests/bench/bench.py
	BUILD_DIR=$(BUILD) python3 tests/bench/swing.py
	BUILD_DIR=$(BUILD) python3 tests/bench/overhead.py
	BUILD_DIR=$(BUILD) python3 tests/bench/bodies.py
	BUILD_DIR=$(BUILD) python3 tests/bench/capacity.py
	BUILD_DIR=$(BUILD) python3 tests/bench/gateway.py

lint: deps
	sh scripts/lint.sh

format:
	clang-format -i $$(git ls-files '*.c' '*.h')

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
