#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, the
# project's own too, into target/review-2. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
read -ra FLAGS <<<"-std=gnu11 -O1 -g -D_GNU_SOURCE -I. $(pkg-config --cflags \
	glib-2.0 json-glib-1.0 libevent libevent_extra)"
read -ra LIBS <<<"$(pkg-config --libs glib-2.0 json-glib-1.0 libevent \
	libevent_extra)"
SHARED=(standins/common.c platform/json.c platform/http_client.c
	platform/address.c)
build() { # build NAME SOURCE...
	local name=$1
	shift
	"${CC:-cc}" "${FLAGS[@]}" -o "$OUT/$name" "$@" "${SHARED[@]}" "${LIBS[@]}"
}
build store standins/store.c
build runner review/standins-2/runner.c
build adviser review/standins-2/adviser.c
build jobhost standins/jobhost.c standins/late_calls.c
