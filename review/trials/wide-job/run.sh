#!/usr/bin/env bash
# One job of many tasks with max-per-server. TROUBLE=0: without max-per-server.
# COUNT: its tasks.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../../common.sh"

WIDE=5c0e7a21d94b36f8
SMALL=77aa01b2c3d4e5f6
COUNT=${COUNT:-16000}
WORKERS=10
limit=,\"max-per-server\":$((COUNT / 8))
[ "${TROUBLE:-1}" != 0 ] || limit=

start_store
put_config ""
start_deployment 3 "$WORKERS"
submit "$WIDE" "{\"spec\":\"ms=1000 cpu=1\",\"steps\":[{\"count\":$COUNT,
	\"cpu\":1,\"mem-mb\":1,\"estimate-ms\":1000$limit}]}"
sleep 5
submit "$SMALL" "{\"spec\":\"ms=500 cpu=100\",\"steps\":[{\"count\":4,
	\"cpu\":100,\"mem-mb\":10,\"estimate-ms\":500}]}"
sleep 40
terms=$(cat "$WORK"/entry-*.out | grep -c '"event":"leading"')
note "after 40 s: small $(state "$SMALL"), wide $(state "$WIDE");" \
	"$(count start) starts, $terms terms"
write_record
starts=$(count start "^$SMALL")
verdict "another caller's job without a start" "$((starts == 0))"
