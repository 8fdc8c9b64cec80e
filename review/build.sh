#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, the project's own
# too, into target/review/. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
read -ra flags <<<"$(pkg-config --cflags --libs glib-2.0 json-glib-1.0 \
	libevent libevent_extra)"
common=(standins/common.c platform/json.c platform/http_client.c
	platform/address.c)
build() {
	local name=$1
	shift
	cc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -I. -o "$out/$name" \
		"$@" "${common[@]}" "${flags[@]}"
}
build standin-store standins/store.c
build standin-worker review/standins/worker.c
build standin-limits review/standins/limits.c
build standin-gate review/standins/gate.c
build standin-late review/standins/late.c
build standin-adviser review/standins/adviser.c
