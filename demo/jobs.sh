# Starts a small cluster for jobs on stand-ins for the platform's services.
# Sourced after demo/cluster.sh.

JOB_HOST=jobs.example
JOB_PREFIX=/batch/
CONFIG='{"version":1,"routes":[{"name":"batch","host":"jobs.example",
"path-prefix":"/batch/","service":"svc","max-attempts":3,"slack-factor":2,
"target-duration-ms":1000,"priority":0}],
"services":[{"name":"svc","admission-check":true}],"limits":{}}'

# start_job_entry N [STORE]
start_job_entry() {
	cat >"$WORK/jobentry-$1.json" <<-END
	{"role": "entry", "name": "jobentry-$1", "zone": "z",
	 "listen_http": "$(addr $((100 + $1)))",
	 "listen_ready": "$(addr $((150 + $1)))",
	 "metrics": "$(addr $((170 + $1)))",
	 "listen_frames": "$(addr $((200 + $1)))", "log_format": "json",
	 "lease_ms": 3000, "stop_within_s": 5, "learn_run_times": "on",
	 "store": "${2:-$TABLE}"}
	END
	start "jobentry-$1" "$BUILD/daemon/borageholdd" "$WORK/jobentry-$1.json"
}

start_job_agent() {
	cat >"$WORK/jobagent-$1.json" <<-END
	{"role": "agent", "name": "jobagent-$1", "zone": "z",
	 "listen_http": "$(addr $((300 + $1)))",
	 "listen_frames": "$(addr $((400 + $1)))", "log_format": "json",
	 "worker": "$(addr $((500 + $1)))", "store": "$TABLE"}
	END
	start "jobagent-$1" "$BUILD/daemon/borageholdd" "$WORK/jobagent-$1.json"
}

# start_jobhost N [TASK-MS]: it carries out the late calls that the process before has
# left
start_jobhost() {
	start "jobhost-$1" "$BUILD/standins/standin-jobhost" "worker-$1" \
		"$(addr $((500 + $1)))" "$(addr $((300 + $1)))" \
		"$WORK/jobhost-$1.tasks" "${2:-700}" "worker-$1" \
		"$WORK/jobhost-$1.late"
}

# job_call METHOD ENTRY ID BODY: prints the body, sets STATUS
job_call() {
	http_call "$1" "$(addr $((100 + $2)))" "$JOB_PREFIX$3" "$4" "" \
		"$JOB_HOST"
}

# submit ENTRY ID TASKS [SPEC [ESTIMATE-MS]]: one step
submit() {
	job_call POST "$1" "$2" "{\"spec\":\"${4:-demo}\",\"steps\":[{\"count\":$3,
		\"cpu\":500,\"mem-mb\":100,\"estimate-ms\":${5:-700}}]}" >/dev/null
}

job_state() {
	job_call GET 1 "$1" "" | sed 's/.*"state": *"\([a-z]*\)".*/\1/' ||
		job_call GET 2 "$1" ""
}

wait_for_state() {
	local i
	for i in $(seq 300); do
		[ "$(job_state "$1")" = "$2" ] && return 0
		sleep 0.05
	done
	return 1
}

leader() {
	local n
	for n in 1 2; do
		http_get "$(addr $((170 + n)))" /metrics |
			grep -q '^boragehold_leading 1' && echo "jobentry-$n"
	done
}

start_missing_entries() {
	local n
	for n in 1 2; do
		[ -n "${PIDS[jobentry-$n]:-}" ] || start_job_entry "$n"
	done
	for n in 1 2; do
		wait_for "$(addr $((150 + n)))" /readiness
	done
}

start_job_cluster() {
	local n
	start store "$BUILD/standins/standin-store" --listen "$TABLE"
	wait_for "$TABLE" /stats || return 1
	http_call POST "$TABLE" /rows-tx "{\"puts\":[{\"table\":\"op\",
		\"part\":\"\",\"key\":\"config\",
		\"value\":\"$(base64 -w0 <<<"$CONFIG")\"}]}" >/dev/null
	for n in 1 2 3; do
		start_job_agent "$n"
		start_jobhost "$n"
	done
	start_missing_entries
	sleep 1.5
}
