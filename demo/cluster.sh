# Starts and stops a small cluster of real processes on loopback. Sourced by
# the demo, the process tests and the benches. Needs BUILD (build directory).
#
# Processes are recorded by name in PIDS; no other process is ever signalled.

# A server that refuses a body may close the connection while it is written.
trap "" PIPE

WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-18000}
declare -A PIDS

port() { echo $((BASE_PORT + $1)); }
addr() { echo "127.0.0.1:$(port "$1")"; }

TABLE=$(addr 0)

# start NAME COMMAND...
start() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>>"$WORK/$name.log" &
	PIDS[$name]=$!
}

# stop_process NAME SIGNAL
stop_process() {
	kill "-$2" "${PIDS[$1]}" 2>/dev/null
	if [ "$2" = KILL ] || [ "$2" = TERM ]; then
		wait "${PIDS[$1]}" 2>/dev/null
		local status=$?
		unset "PIDS[$1]"
		return $status
	fi
}

stop_all() {
	[ -n "${KEEP:-}" ] && echo "kept: $WORK"
	local name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
		wait "${PIDS[$name]}" 2>/dev/null
	done
	PIDS=()
	[ -n "${KEEP:-}" ] || rm -rf "$WORK"
}

start_table() {
	start table "$BUILD/standins/standin-table" --listen "$TABLE" "$@"
	wait_for "$TABLE" /stats
}

# wait_for ADDRESS PATH: until an HTTP GET answers 200, at most 10 s
wait_for() {
	local i
	for i in $(seq 200); do
		http_get "$1" "$2" >/dev/null && return 0
		sleep 0.05
	done
	echo "no answer from $1$2" >&2
	return 1
}

# http_get ADDRESS PATH: prints the body; fails unless the status is 200
http_get() { http_call GET "$1" "$2" ""; }

# http_call METHOD ADDRESS PATH BODY [HEADER] [HOST]: prints the body, sets
# STATUS, 0 without a connection
http_call() {
	local host=${2%:*} tcp=${2#*:} line
	STATUS=0
	exec 3<>"/dev/tcp/$host/$tcp" || return 1
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s' \
		"$1" "$3" "${6:-$host}" "${#4}" "${5:+$5$'\r\n'}" "$4" >&3
	read -r _ STATUS _ <&3
	while IFS= read -r line <&3 && [ "$line" != $'\r' ]; do :; done
	cat <&3
	exec 3>&-
	[ "$STATUS" = 200 ]
} 2>/dev/null

# start_entry N ZONE [JSON-MEMBERS]
start_entry() {
	cat >"$WORK/entry-$1.json" <<-END
	{"role": "entry", "name": "entry-$1", "zone": "$2",
	 "listen_http": "$(addr $((100 + $1)))",
	 "listen_frames": "$(addr $((200 + $1)))",
	 "table": "$TABLE"${3:+, $3}}
	END
	start "entry-$1" "$BUILD/daemon/borageholdd" "$WORK/entry-$1.json"
}

# start_agent N ZONE [JSON-MEMBERS]
start_agent() {
	cat >"$WORK/agent-$1.json" <<-END
	{"role": "agent", "name": "agent-$1", "zone": "$2",
	 "listen_http": "$(addr $((300 + $1)))",
	 "listen_frames": "$(addr $((400 + $1)))",
	 "worker": "$(addr $((500 + $1)))",
	 "table": "$TABLE"${3:+, $3}}
	END
	start "agent-$1" "$BUILD/daemon/borageholdd" "$WORK/agent-$1.json"
}

# start_worker N [OPTIONS...]
start_worker() {
	local n=$1
	shift
	start "worker-$n" "$BUILD/standins/standin-worker" \
		--listen "$(addr $((500 + n)))" --log "$WORK/worker-$n.tasks" "$@"
}

# start_runner N SERVICE [OPTIONS...]
start_runner() {
	local n=$1 service=$2
	shift 2
	start "runner-$n" "$BUILD/standins/standin-runner" --service "$service" \
		--listen "$(addr $((600 + n)))" --agent "$(addr $((300 + n)))" \
		--log "$WORK/runner-$n.runs" "$@"
}

# wait_for_endpoints ENTRY-N COUNT
wait_for_endpoints() {
	local i n
	for i in $(seq 200); do
		n=$(http_get "$(addr $((100 + $1)))" /v1/status |
			grep -o '"usable":true' | wc -l)
		[ "$n" -ge "$2" ] && return 0
		sleep 0.05
	done
	echo "entry-$1 sees $n of $2 endpoints" >&2
	return 1
}
