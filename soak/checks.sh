# Checks of a soak run, all by external observation. Sourced by soak/soak.

# An undisturbed entry applies a new configuration within this time.
CONFIG_APPLY_MS=2000

# No task of a job starts later than this after its cancellation was
# acknowledged.
CANCEL_MS=3000

# An entry exits within this time of SIGTERM (stop_within_s is 5); if it is
# paused meanwhile, the time counts from when it resumes.
STOP_MS=6000

# Limit of an entry's or agent's resident memory.
MEMORY_KB=32768

declare -A SERVED
violation() { echo "$(now_ms) $*" >>"$WORK/violations"; }

# The exit status of a worker that a task has crashed
CRASH_STATUS=3

# A task that crashes its workers may be started at most twice more after three
# crashes.
CRASHES_MAX=5

# Starts must respect a room that has shrunk from this time on: contact-ms and an
# announcement.
SHRUNK_COUNTS_MS=4500

# A call that a worker is told to carry out late comes up to this long after the
# period was begun: 4 s during which calls are late, and 4 s by which one is.
LATE_CALLS_MS=8000

check_ended() {
	local name=$1 status
	wait "${PIDS[$name]}" 2>/dev/null
	status=$?
	unset "PIDS[$name]" "PAUSED[$name]"
	local drained_for=${DRAINING[$name]:-}
	unset "DRAINING[$name]"
	if [[ $name = worker-* ]] && [ "$status" = $CRASH_STATUS ]; then
		unset "SMALL_ROOM[${name#worker-}]"
		note_worker_killed "${name#worker-}"
		schedule 2000 restart_crashed_worker "${name#worker-}"
		return
	fi
	if [ -n "$drained_for" ] && [ "$status" = 0 ]; then
		unset "SMALL_ROOM[${name#worker-}]"
		if [ "$drained_for" = in-place ]; then
			schedule 100 start_worker_of "${name#worker-}" 400
		else
			SPARES+=("${name#worker-}")
		fi
		return
	fi
	if [ -z "${ENDING[$name]:-}" ] || [ "$status" != 0 ]; then
		violation "$name exited unexpectedly, status $status"
	fi
	unset "ENDING[$name]"
	case $name in
	entry-*) schedule 200 restart_entry "${name#entry-}" ;;
	agent-*) schedule 200 restart_agent "${name#agent-}" ;;
	esac
}

check_processes() {
	local name kb
	for name in "${!PIDS[@]}"; do
		if ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
			check_ended "$name"
			continue
		fi
		if [ -n "${ENDING[$name]:-}" ] && [ -z "${PAUSED[$name]:-}" ] &&
			[ $(($(now_ms) - ${ENDING[$name]})) -gt "$STOP_MS" ]; then
			violation "$name did not exit within $STOP_MS ms of SIGTERM"
			kill_process "$name"
			schedule 200 restart_entry "${name#entry-}"
			continue
		fi
		case $name in entry-* | agent-*) ;; *) continue ;; esac
		kb=$(awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$name]}/status" \
			2>/dev/null)
		[ "${kb:-0}" -le "$MEMORY_KB" ] ||
			violation "$name has $kb kB of resident memory, limit $MEMORY_KB kB"
	done
}

# An undisturbed entry has applied the newest configuration version.
check_config() {
	local n=$1 name=entry-$1 life
	is_up "$name" || return
	[ -n "${ENDING[$name]:-}${PAUSED[$name]:-}" ] && return
	[ "$(ms_since_disturbed "$name")" -gt "$DISTURBED_MS" ] || return
	[ "$STORE_MODE" = up ] && [ "$(ms_since_disturbed store)" -gt "$DISTURBED_MS" ] ||
		return
	[ $(($(now_ms) - ${CONFIG_CHANGED_AT:-0})) -gt "$CONFIG_APPLY_MS" ] || return
	call GET "$(addr $((100 + n)))" "/v$CONFIG_VERSION/" "" 2 "$JOB_HOST" \
		>/dev/null
	[ "$STATUS" = 404 ] &&
		violation "$name has not applied configuration version $CONFIG_VERSION"
	CONFIG_CHECKS=$((${CONFIG_CHECKS:-0} + 1))
}

# check_state ID: succeeds when an accepted job is in an expected final state; a
# cancellation that was not acknowledged may have been applied; check_tasks looks
# into those that have failed
check_state() {
	local id=$1 n body state
	n=$(((0x${id: -2}) % ENTRIES + 1))
	body=$(call GET "$(addr $((100 + n)))" "$JOB_PREFIX$id" "" 3 "$JOB_HOST")
	state=$(sed 's/.*"state": *"\([a-z]*\)".*/\1/' <<<"$body")
	if [ "$state" = failed ]; then
		echo "$id" >>"$WORK/failed"
	elif grep -q " $id" "$WORK/cancelled"; then
		[[ $state = cancelled || $state = completed ]]
	elif grep -q "$id" "$WORK/cancel-asked"; then
		[[ $state = cancelled || $state = completed ]]
	else
		[ "$state" = completed ]
	fi
}

# check_crashing_state ID: the job is given up
check_crashing_state() {
	local n body
	n=$(((0x${1: -2}) % ENTRIES + 1))
	body=$(call GET "$(addr $((100 + n)))" "$JOB_PREFIX$1" "" 3 "$JOB_HOST")
	[[ $body = *failed* ]]
}

check_jobs_end() {
	local id until left=()
	until=$(($(now_ms) + RECOVERY_MS))
	wait_for_clients
	mapfile -t left < <(cut -d' ' -f2 "$WORK/accepted" "$WORK/crashing" | sort -u)
	while [ "${#left[@]}" -gt 0 ] && [ "$(now_ms)" -lt "$until" ]; do
		local still=()
		for id in "${left[@]}"; do
			if grep -q " $id" "$WORK/crashing"; then
				check_crashing_state "$id"
			else
				check_state "$id"
			fi || still+=("$id")
		done
		left=("${still[@]}")
		check_processes
		run_scheduled
		sleep 0.2
	done
	for id in "${left[@]}"; do
		violation "job $id is not in its expected final state: $(call GET \
			"$(addr 101)" "$JOB_PREFIX$id" "" 3 "$JOB_HOST")"
	done
}

# Waits for background clients, which make at most four attempts of 3 s each.
wait_for_clients() {
	local pid i
	for i in $(seq 130); do
		pid=$(jobs -pr | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
		[ -n "$pid" ] || return
		sleep 0.1
	done
}

# Checks the workers' logs, merged in order of time: a task runs in one place at
# a time, does not start again after an acknowledged end (an end acknowledged
# only after the worker's lease lapsed does not count), steps run in order,
# attempt numbers rise, no task of a refused job runs, none starts after its job was
# cancelled, a task that crashes its workers is started no more than it may be, no
# start exceeds the room, and a job fails only if two workers ended under one of its
# tasks.
check_tasks() {
	sort -n -s "$WORK"/worker-*.tasks >"$WORK/all.tasks"
	awk -v cancel_ms="$CANCEL_MS" -v crashes_max="$CRASHES_MAX" \
		-v shrunk_ms="$SHRUNK_COUNTS_MS" '
	function end_worker(worker, t, part) {
		for (t in where) {
			if (where[t] != worker) continue
			delete where[t]
			split(t, part, ".")
			if (++ended_under[t] == 2) may_fail[part[1]] = 1
		}
	}
	# A call that a worker received before it was killed may start the same
	# attempt again in its next process with the same id. No leader can prevent
	# that before the process answers; it may not have taken note of an end.
	function is_repeated(t, worker, a, b) {
		split(worker, a, ".")
		split(last[t], b, ".")
		return former[t " " attempt[t] " " worker] && a[1] == b[1] &&
			!where[t] && !acked[t " " attempt[t] " " last[t]]
	}
	FILENAME ~ /refused$/ { refused[$2] = 1; next }
	FILENAME ~ /failed$/ { failed[$1] = 1; next }
	FILENAME ~ /cancelled$/ { cancelled[$2] = $1; next }
	FILENAME ~ /faults$/ { next }
	FNR == 1 { pass++ }
	pass == 1 && $2 == "done" { unacked[$5] = unacked[$5] " " $3 "/" $4; next }
	pass == 1 && $2 == "lease-lapsed" { unacked[$5] = ""; next }
	pass == 1 && $2 == "acked" {
		if (index(unacked[$5] " ", " " $3 "/" $4 " "))
			acked[$3 " " $4 " " $5] = 1
		next }
	pass == 1 { next }
	{ split($3, part, "."); job = part[1] }
	$2 == "room" { shrunk[$5] = $4 < 16000 ? $1 : 0; next }
	$2 == "crash" {
		end_worker($5)
		if (++crashes[$3] == crashes_max + 1)
			print "crashed more than " crashes_max " workers: " $3
		next }
	$2 == "over" {
		if (!shrunk[$5] || $1 > shrunk[$5] + shrunk_ms)
			print "start exceeds the room: " $3 " on " $5
		next }
	$2 == "killed" {
		end_worker($5)
		next }
	$2 == "start" {
		if (t = where[$3]) print "runs in two places: " $3 " on " t " and " $5
		if (end_acked[$3])
			print "started again after an acknowledged end: " $3
		if ($4 < attempt[$3] || ($4 == attempt[$3] && !is_repeated($3, $5)))
			print "attempt number does not rise: " $3
		if (refused[job]) print "task of a refused job started: " $3
		if (cancelled[job] && $1 > cancelled[job] + cancel_ms)
			print "started after its job was cancelled: " $3
		if (part[3] == 1 && ended[job] < 3)
			print "started before the previous step ended: " $3
		attempt[$3] = $4
		where[$3] = last[$3] = $5
		next }
	$2 == "former" {
		former[$3 " " $4 " " $5] = 1
		next }
	$2 == "ack-ahead" {
		print "acknowledged before it was listed: end " $4 " of " $5
		next }
	$2 == "acked" || $2 == "lease-lapsed" { next }
	{ delete where[$3]
	  if ($2 == "done") {
		if (acked[$3 " " $4 " " $5]) end_acked[$3] = 1
		if (part[3] == 0 && !done[$3]) ended[job]++
		done[$3] = 1 } }
	END {
		for (job in failed)
			if (!may_fail[job])
				print "failed without cause: " job }' \
		"$WORK/refused" "$WORK/failed" "$WORK/cancelled" "$WORK/all.tasks" \
		"$WORK/all.tasks" >>"$WORK/violations"
	[ -s "$WORK/cut-at-stop" ] &&
		sed 's/^/connection cut during a planned stop: /' "$WORK/cut-at-stop" \
			>>"$WORK/violations"
}

# No task starts on a worker in an evacuated zone, from the bound after the
# acknowledgement on until the evacuation is cancelled. The time for which the store did
# not answer is added to the bound, and starts that came late count as on time.
check_zones() {
	awk -v bound="$EVACUATE_MS" -v late_ms="$LATE_CALLS_MS" '
	function zone_of(worker, part) {
		sub(/^worker-/, "", worker)
		split(worker, part, ".")
		return "z" part[1] % 3
	}
	function store_lost(from, to, i, sum, a, b) {
		for (i = 1; i <= n_lost; i++) {
			a = lost_from[i] > from ? lost_from[i] : from
			b = lost_to[i] < to ? lost_to[i] : to
			if (b > a) sum += b - a
		}
		return sum
	}
	function may_be_late(worker, t, i, part) {
		split(worker, part, ".")
		for (i = 1; i <= n_late; i++)
			if (late_worker[i] == part[1] && t > late_at[i] &&
				t < late_at[i] + late_ms) return 1
		return 0
	}
	$2 == "store-mode" {
		if (is_lost) lost_to[n_lost] = $1
		is_lost = $3 != "up"
		if (is_lost) {
			lost_from[++n_lost] = $1
			lost_to[n_lost] = 1e15
		}
		next }
	$2 == "delay_calls" { late_at[++n_late] = $1; late_worker[n_late] = $3; next }
	$2 == "evacuated" { since[$3, ++n[$3]] = $1; until[$3, n[$3]] = 1e15; next }
	$2 == "cancelled" {
		if (until[$3, n[$3]] == 1e15) until[$3, n[$3]] = $1
		next }
	$2 != "start" { next }
	{ zone = zone_of($5)
	  for (i = 1; i <= n[zone]; i++)
		if ($1 > since[zone, i] + bound + store_lost(since[zone, i], $1) &&
			$1 < until[zone, i] && !may_be_late($5, $1))
			print "started in an evacuated zone: " $3 " on " $5 " at " $1 }' \
		"$WORK/zones" "$WORK/faults" "$WORK/all.tasks" >>"$WORK/violations"
}

report() {
	local counts
	counts="$(wc -l <"$WORK/accepted") accepted, $(wc -l <"$WORK/crashing") \
with a crashing task, $(grep -c ' crash ' "$WORK/all.tasks") crashes, $(wc -l <"$WORK/refused") \
refused, $(wc -l <"$WORK/unclear") unclear, $(wc -l <"$WORK/cancelled") \
cancelled, $(grep -c ' start ' "$WORK/all.tasks") starts, \
$(grep -cv boot "$WORK/faults") faults, ${CONFIG_CHECKS:-0} configuration \
checks"
	if [ ! -s "$WORK/violations" ]; then
		echo "seed $SEED: passed; $counts"
		exit 0
	fi
	mkdir -p "$BUILD/soak"
	rm -rf "$BUILD/soak/$SEED"
	cp -r "$WORK" "$BUILD/soak/$SEED"
	echo "seed $SEED: FAILED, $(wc -l <"$WORK/violations") violations; $counts"
	head -n 5 "$WORK/violations" | sed 's/^/  /'
	exit 1
}
