# Helpers of the scripts in review/6 to review/10. Sourced by them, from the
# repository's root. Each machine has a loopback address of its own.
#
# Exit codes of a script: 1 the rule was broken, 0 it held, 2 it could not run.

TROUBLE=${TROUBLE:-1}
OUT=target/review-2
DAEMON=target/daemon/borageholdd
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
NET=127.$((RANDOM % 90 + 100)).$((RANDOM % 250))
PORT=$((RANDOM % 9000 + 20000))
STORE=$NET.250:$PORT
ADVISER=$NET.251:$PORT
HOST=jobs.example
declare -A PIDS
trap "" PIPE
trap end_all EXIT

end_all() {
	local name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
		wait "${PIDS[$name]}" 2>/dev/null
	done
	PIDS=()
	rm -rf "$WORK"
}

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }
note() { echo "$(now_ms) $*" >>"$RECORD"; }

cannot_run() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# verdict TEXT: not empty: the rule was broken
verdict() {
	# Of the starts that were rejected for want of a ticket, their number.
	sort -n "$WORK"/*.events 2>/dev/null | awk '$2 != "no-ticket"
		$2 == "no-ticket" { n[$3 " on " $5]++ }
		END { for (t in n) print "no-ticket", t, n[t], "times" }' >>"$RECORD"
	note "${1:-held}"
	echo "${1:-held}"
	[ -z "$1" ]
	exit
}

# start NAME COMMAND...
start() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>>"$WORK/$name.err" &
	PIDS[$name]=$!
}

# end NAME SIGNAL
end() {
	note "signal $2 to $1"
	kill "-$2" "${PIDS[$1]}"
	if [ "$2" = KILL ] || [ "$2" = TERM ]; then
		wait "${PIDS[$1]}" 2>/dev/null
		unset "PIDS[$1]"
	fi
}

# http METHOD ADDRESS PATH BODY: sets STATUS (0: no answer) and REPLY
http() {
	local line
	STATUS=0
	REPLY=""
	exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$3" "$HOST" "${#4}" "$4" >&3
	IFS=' ' read -r -t 5 _ STATUS _ <&3
	while IFS= read -r -t 5 line <&3 && [ "$line" != $'\r' ]; do :; done
	IFS= read -r -t 5 -d '' REPLY <&3
	exec 3>&-
	STATUS=${STATUS:-0}
	[ "$STATUS" = 200 ]
} 2>/dev/null

wait_for() { # wait_for ADDRESS PATH
	local i
	for i in $(seq 200); do
		http GET "$1" "$2" "" && return
		sleep 0.05
	done
	cannot_run "no answer from $1$2"
}

# The settings are those of the templates in deploy/, with the bounds of the
# site that claim.txt names.
common_settings() { # common_settings NAME ZONE IP
	cat <<-END
	"name": "$1", "zone": "$2", "listen_frames": "$3:$((PORT + 3))",
	"metrics": "$3:9464", "store": "$STORE", "lease_ms": 5000,
	"lease_max_ms": 10000, "restore_ms": 100, "impact_ms": 4000,
	"status_s": 120, "stop_within_s": 6, "remote_slowdown": 1.5,
	"locality_wait": "on", "log_format": "json"
	END
}

entry_address() { echo "$NET.$((200 + $1)):$PORT"; }

start_entry() { # start_entry N
	local ip=$NET.$((200 + $1))
	cat >"$WORK/entry-$1.json" <<-END
	{"role": "entry", "listen_http": "$ip:$PORT",
	"listen_ready": "$ip:$((PORT + 1))", "advice": "$ADVISER",
	"processor_share": 0.25, "memory_mb": 260, "max_fds": 4100,
	"room_shares": "on", $(common_settings "entry-$1" z "$ip")}
	END
	BORAGEHOLD_BOOT=$WORK/entry-$1.json start "entry-$1" "$DAEMON"
}

start_agent() { # start_agent N
	local ip=$NET.$1
	cat >"$WORK/agent-$1.json" <<-END
	{"role": "agent", "listen_http": "$ip:$((PORT + 2))",
	"worker": "$ip:$((PORT + 4))", "processor_share": 0.15,
	"memory_mb": 128, "max_fds": 4096,
	$(common_settings "agent-$1" z "$ip")}
	END
	BORAGEHOLD_BOOT=$WORK/agent-$1.json start "agent-$1" "$DAEMON"
}

start_runner() { # start_runner N [OPTION...]
	local ip=$NET.$1 n=$1
	shift
	start "runner-$n" "$OUT/runner" "listen=$ip:$((PORT + 4))" \
		"agent=$ip:$((PORT + 2))" "id=i-$n" \
		"log=$WORK/runner-$n.events" "$@"
}

# write_config JSON: the operator's configuration
write_config() {
	http POST "$STORE" /rows-tx "{\"puts\":[{\"table\":\"op\",\"part\":\"\",
		\"key\":\"config\",\"value\":\"$(base64 -w0 <<<"$1")\"}]}" ||
		cannot_run "the store took no configuration"
	note "configuration $1"
}

start_store() {
	[ -x "$OUT/store" ] && [ -x "$DAEMON" ] ||
		cannot_run "build the deploy file, then review/build-2.sh"
	: >"$RECORD"
	note "trouble $TROUBLE"
	start store "$OUT/store" --listen "$STORE"
	wait_for "$STORE" /stats
}

start_entries() {
	start_entry 1
	start_entry 2
	wait_for "$NET.201:$((PORT + 1))" /readiness
	wait_for "$NET.202:$((PORT + 1))" /readiness
}

# submit ENTRY PATH BODY: until it is accepted, with a client's four retries
submit() {
	local i
	for i in 1 2 3 4 5; do
		http POST "$(entry_address "$1")" "$2" "$3" && break
		sleep 0.5
	done
	note "POST $2 answered $STATUS, try $i: $3"
	[ "$STATUS" = 200 ]
}

# job_state PATH: by either entry
job_state() {
	local n
	STATE=none
	for n in 1 2; do
		http GET "$(entry_address $n)" "$1" "" || continue
		STATE=${REPLY#*\"state\":\"}
		STATE=${STATE%%\"*}
		return
	done
}

# starts ID: number of starts of the job's tasks
starts() { cat "$WORK"/runner-*.events 2>/dev/null | grep -c " start $1\."; }

# leader: sets LEADER to the name of the entry that leads, if any
leader() {
	local n
	LEADER=""
	for n in 1 2; do
		http GET "$NET.$((200 + n)):9464" /metrics "" || continue
		[[ $REPLY == *$'\nboragehold_leading 1'* ]] && LEADER=entry-$n
	done
}
