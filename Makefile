# Shortcuts around CMake. See CONTRIBUTING.md.
PACKAGES = build-essential cmake ninja-build pkg-config clang-format \
	clang-tidy cppcheck libevent-dev libglib2.0-dev libjson-glib-dev \
	libprotobuf-c-dev libxxhash-dev libcmocka-dev

.PHONY: demo check lint bench build deps docs format soak
all: build

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update && \
	DEBIAN_FRONTEND=noninteractive apt-get install -y $(PACKAGES); }

build: deps
	cmake --preset release
	cmake --build --preset release

demo: build
	demo/run

check: deps
	cmake --preset sanitize
	cmake --build --preset sanitize
	ctest --preset sanitize -j $$(nproc)

lint: deps
	ci/lint

# Runs the seeds of soak/seeds, then SEEDS (default: the current time).
SEEDS ?= $(shell date +%s)
SOAK_SECONDS ?= 15
soak: build
	soak/many build/release $(SOAK_SECONDS) 3 \
		$$(awk '!/^#/ {print $$1}' soak/seeds) $(SEEDS)

bench: build
	bench/run

docs: build
	sed -i '/^| option /,$$d' docs/settings.md
	build/release/cli/boragehold options >> docs/settings.md

format:
	git ls-files '*.c' '*.h' | grep -v pb-c | xargs clang-format -i
