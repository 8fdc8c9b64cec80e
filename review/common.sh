# Sourced by the scripts under review/: starts a small deployment of the built
# programs on loopback, with settings as deploy/*.json.in render them, and the
# stand-ins of review/build.sh. What was sent, answered and run is gathered in
# RECORD. Only processes that were started here are signalled.

trap "" PIPE
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RECORD=$CASE/record.txt
DAEMON=target/daemon/borageholdd
STANDINS=$ROOT/target/review
WORK=$(mktemp -d)
HOST=jobs.example
PREFIX=/batch/
HOST_IP=127.0.0.1
declare -A PIDS
declare -A WORKER_ADDRESS # of workers that are not at their usual one, by number
declare -A ENTRY_STORE # of entries that do not use STORE, by number
cd "$ROOT" || exit 2

cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

[ -x "$DAEMON" ] || cannot_run "$DAEMON is not built"

now_ms() { date +%s%3N; }

# note TEXT: a line of the record
note() { echo "$(now_ms) script $*" >>"$WORK/script.events"; }

is_free() { ! (exec 3<>"/dev/tcp/$HOST_IP/$1") 2>/dev/null; }

# Ports BASE to BASE + 999 are used; those that are needed have to be free.
find_ports() {
	local i n
	for i in $(seq 20); do
		BASE=$((20000 + (RANDOM % 11) * 1000 + 20))
		for n in 0 1 2 3 {1,2,6}0{1..5} 1{1,2}{1..5} {3,4,5,7}{01..40}; do
			is_free $((BASE + n)) || continue 2
		done
		return 0
	done
	cannot_run "no free ports"
}
find_ports

addr() { echo "$HOST_IP:$((BASE + $1))"; }
STORE=$(addr 0)

# start NAME COMMAND...
start() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>>"$WORK/$name.err" &
	PIDS[$name]=$!
}

# signal NAME SIGNAL
signal() {
	note "sends SIG$2 to $1"
	kill "-$2" "${PIDS[$1]}" 2>/dev/null
	if [ "$2" = KILL ]; then
		wait "${PIDS[$1]}" 2>/dev/null
		unset "PIDS[$1]"
	fi
}

# The reply's status is kept in STATUS, 0 without one, its body in BODY.
# http METHOD ADDRESS PATH BODY [HOST]
http() {
	local line
	STATUS=0
	BODY=
	exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\nX-Deadline-Ms: 3000\r\n\r\n%s' \
		"$1" "$3" "${5:-$HOST_IP}" "${#4}" "$4" >&3
	read -r -t 4 _ STATUS _ <&3
	while IFS= read -r -t 4 line <&3 && [ "$line" != $'\r' ]; do :; done
	BODY=$(timeout 4 cat <&3)
	exec 3>&-
	STATUS=${STATUS:-0}
	[ "$STATUS" = 200 ]
} 2>/dev/null

wait_for() {
	local i
	for i in $(seq 200); do
		http GET "$1" "$2" "" && return 0
		sleep 0.05
	done
	cannot_run "no answer from $1$2"
}

# shared_settings NAME N [STORE]: members of deploy/*.json.in that both roles have
shared_settings() {
	cat <<-END
	 "name": "$1", "zone": "z", "listen_frames": "$(addr "$2")",
	 "store": "${3:-$STORE}", "processor_share": 0.15, "lease_ms": 5000,
	 "lease_max_ms": 6000, "restore_ms": 100, "impact_ms": 4000,
	 "status_s": 120, "stop_within_s": 6, "log_format": "json"
	END
}

# start_entry N [STORE]
start_entry() {
	cat >"$WORK/entry-$1.json" <<-END
	{"role": "entry", "listen_http": "$(addr $((100 + $1)))",
	 "listen_ready": "$(addr $((110 + $1)))",
	 "metrics": "$(addr $((120 + $1)))", "advice": "$(addr 3)",
	 $(shared_settings "entry-$1" $((200 + $1)) "${2:-}")}
	END
	start "entry-$1" env BORAGEHOLD_BOOT="$WORK/entry-$1.json" "$DAEMON"
}

start_agent() {
	cat >"$WORK/agent-$1.json" <<-END
	{"role": "agent", "listen_http": "$(addr $((300 + $1)))",
	 "worker": "$(addr $((500 + $1)))",
	 "metrics": "$(addr $((700 + $1)))",
	 $(shared_settings "agent-$1" $((400 + $1)))}
	END
	start "agent-$1" env BORAGEHOLD_BOOT="$WORK/agent-$1.json" "$DAEMON"
}

# start_worker N [LIFE]: a new life has an id of its own. Three workers are in
# a rack; those of the first are of kind b, all others of kind a.
start_worker() {
	local kind=a rack=$((($1 + 2) / 3))

	[ "$rack" = 1 ] && kind=b
	start "worker-$1" "$STANDINS/standin-worker" "i-$1-${2:-1}" \
		"${WORKER_ADDRESS[$1]:-$(addr $((500 + $1)))}" "$(addr $((300 + $1)))" \
		"$kind" "r1-$rack" "$WORK/worker-$1.events"
}

# start_store [ADDRESS]
start_store() {
	start store "$STANDINS/standin-store" --listen "${1:-$STORE}"
	wait_for "${1:-$STORE}" /stats
}

# put_config ROUTE-MEMBERS: acts as the operator
put_config() {
	local config="{\"version\":7,\"routes\":[{\"name\":\"batch\",
		\"host\":\"$HOST\",\"path-prefix\":\"$PREFIX\",
		\"service\":\"svc\",\"priority\":0,\"max-attempts\":3,
		\"slack-factor\":2,\"target-duration-ms\":5000$1}],
		\"services\":[{\"name\":\"svc\",\"admission-check\":true}],
		\"limits\":{}}"

	http POST "$STORE" /rows-tx "{\"puts\":[{\"table\":\"op\",\"part\":\"\",
		\"key\":\"config\",\"value\":\"$(base64 -w0 <<<"$config")\"}]}" ||
		cannot_run "the store does not take the configuration"
}

# start_deployment ENTRIES WORKERS
start_deployment() {
	local n
	for n in $(seq "$2"); do
		start_agent "$n"
		start_worker "$n"
	done
	for n in $(seq "$1"); do
		start_entry "$n" "${ENTRY_STORE[$n]:-}"
	done
	for n in $(seq "$1"); do
		wait_for "$(addr $((110 + n)))" /readiness
	done
	sleep 3
}

# client METHOD ENTRY ID BODY: sends a caller's request and records it
client() {
	http "$1" "$(addr $((100 + $2)))" "$PREFIX$3" "$4" "$HOST"
	note "$1 $3 at entry-$2: $STATUS ${BODY:0:80}"
	[ "$STATUS" = 200 ]
}

# submit ID BODY: as a client does, again until it is accepted
submit() {
	local n
	for n in 1 2 3 4 5; do
		client POST 1 "$1" "$2" && return 0
		sleep 0.5
	done
	cannot_run "job $1 is not accepted"
}

# state ID: prints the state, as any entry shows it
state() {
	local n
	for n in 1 2 3 4 5; do
		[ -n "${PIDS[entry-$n]:-}" ] || continue
		client GET "$n" "$1" "" || continue
		sed 's/.*"state":"\([a-z]*\)".*/\1/' <<<"$BODY"
		return 0
	done
	echo unknown
}

# leader: prints the number of the entry that leads
leader() {
	local n
	for n in 1 2 3 4 5; do
		[ -n "${PIDS[entry-$n]:-}" ] || continue
		http GET "$(addr $((120 + n)))" /metrics ""
		grep -q '^boragehold_leading 1' <<<"$BODY" && echo "$n" &&
			return 0
	done
	return 1
}

# wait_for_state ID STATE SECONDS
wait_for_state() {
	local end=$(($(now_ms) + $3 * 1000))
	while [ "$(now_ms)" -lt "$end" ]; do
		[ "$(state "$1")" = "$2" ] && return 0
		sleep 0.5
	done
	return 1
}

# count EVENT [TASK-PATTERN]: events in the workers' logs
count() {
	cat "$WORK"/worker-*.events 2>/dev/null |
		awk -v what="$1" -v task="${2:-.}" '$2 == what && $3 ~ task' | wc -l
}

# wait_for_count EVENT NUMBER SECONDS
wait_for_count() {
	local end=$(($(now_ms) + $3 * 1000))
	while [ "$(now_ms)" -lt "$end" ]; do
		[ "$(count "$1")" -ge "$2" ] && return 0
		sleep 0.05
	done
	return 1
}

# twice: counts starts of a task after a run of it has ended done, if that end
# was acknowledged, at any time, and the worker's lease has not lapsed in between
twice() {
	awk '$2 == "lease-lapsed" { lapses[$5]++ }
		$2 == "done" { ended[$3 " " $4] = lapses[$5] + 0 }
		$2 == "acked" && FNR == NR {
			key = $3 " " $4
			if (key in ended && ended[key] == lapses[$5] + 0)
				acked[key] = 1
		}
		FNR == NR { next }
		$2 == "done" && acked[$3 " " $4] { done[$3] = 1 }
		$2 == "start" && done[$3] { n++ }
		END { print n + 0 }' "$RECORD" "$RECORD"
}

# The record: lines of this script, of clients and of workers, by time.
write_record() {
	sort -n -s "$WORK"/*.events >"$RECORD" 2>/dev/null
}

# shellcheck disable=SC2329
finish() {
	local status=$? name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
		wait "${PIDS[$name]}" 2>/dev/null
	done
	write_record
	if [ -n "${KEEP:-}" ]; then
		echo "kept: $WORK"
	else
		rm -rf "$WORK"
	fi
	exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

# verdict TEXT COUNT: ends the script; the rule is broken if COUNT is above 0
verdict() {
	note "verdict: $1: $2"
	echo "$1: $2"
	[ "$2" -eq 0 ] && exit 0
	exit 1
}
