/*
 * Replays a load against the scheduler and admission control, the same code as
 * in the daemon: jobs arrive, callers retry as told, and simulated workers run
 * the tasks. There are no faults. Time is simulated.
 */
#ifndef BH_TESTS_LOADWORLD_H
#define BH_TESTS_LOADWORLD_H

#include "sched/locality.h"

#define LW_KINDS_MAX 6

/**
 * struct lw_kind - a kind of jobs
 * @interval_ms: one job arrives per interval, from @from_ms to @until_ms
 * @steps: number of steps, each of which depends on the one before
 * @count: tasks of each step
 * @ms: mean run time of a task
 * @estimate_percent: estimated run time, in percent of @ms
 * @spread_percent: greatest deviation of a run time from @ms
 * @slack_percent: part of the objective that is proportional to the critical
 *	path, in percent of it; 0: 200
 * @target_ms: constant part of the job's objective
 * @flags: letters: c checkpointing, l long-running, f filler, g gang, t tasks
 *	that are slower when they run on several racks
 * @rack: the rack of its data, or NULL; on others its tasks are slower
 * @headroom: mean headroom of a long-running task without fillers
 * @amplitude: of the sine by which @headroom varies with the load, as a part of
 *	it
 * @harm: headroom that fillers of this kind take if they use a whole host
 */
typedef struct lw_kind {
	const char *name;
	uint32_t interval_ms;
	uint32_t from_ms;
	uint32_t until_ms;
	uint32_t priority;
	uint32_t steps;
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t ms;
	uint32_t estimate_percent;
	uint32_t spread_percent;
	uint32_t slack_percent;
	uint32_t target_ms;
	const char *flags;
	const char *rack;
	double headroom;
	double amplitude;
	double harm;
} lw_kind_t;

/**
 * struct lw_pattern - a load and the hosts that it runs on
 * @seconds: its duration
 * @report_ms: interval of a worker's reports; 0: that of the daemon
 * @has_shares: setting room_shares
 * @rack_hosts: hosts of a rack, which are named "r1-0", "r1-1" and so on; 0: no
 *	racks
 * @remote_slowdown: run time outside the rack of the data; 0: as in it
 * @locality_wait: setting of the scheduler
 * @rack_lost_ms: when all workers of "r1-0" exit; 0: they do not
 */
typedef struct lw_pattern {
	uint32_t hosts;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t seconds;
	uint32_t report_ms;
	bool has_shares;
	uint32_t rack_hosts;
	double remote_slowdown;
	bool locality_wait;
	uint32_t rack_lost_ms;
	uint32_t n_kinds;
	lw_kind_t kinds[LW_KINDS_MAX];
} lw_pattern_t;

/**
 * struct lw_result - results for the jobs of a kind
 * @refused: jobs whose callers gave up after their last try was refused
 * @in_time: jobs that ended within their objective
 * @late: jobs that ended later
 * @open: jobs that had not ended at the end of the replay
 * @p50_ms: median time from the first try to the end, or to the end of the
 *	replay if the job had not ended
 * @p99_ms: 99th percentile of the same
 * @serving: part of the time for which long-running tasks served requests
 * @local: runs that ended in the rack of their data, or together in one rack
 * @remote: the other ones of a kind that prefers a rack
 * @first_wait_ms: longest time from acceptance to the first start of a task
 * @idle_ms: longest time for which no task of an accepted job ran
 */
typedef struct lw_result {
	uint32_t jobs;
	uint32_t refused;
	uint32_t in_time;
	uint32_t late;
	uint32_t open;
	uint32_t p50_ms;
	uint32_t p99_ms;
	double serving;
	uint32_t local;
	uint32_t remote;
	uint32_t first_wait_ms;
	uint32_t idle_ms;
} lw_result_t;

/**
 * struct lw_report - results of a replay
 * @wasted: core seconds of work that was lost when its task was stopped
 * @worked: core seconds of work that was done
 * @over_objective: seconds for which a tail latency was above its objective,
 *	summed over the long-running tasks
 * @waits: waits of tasks for a rack that have begun
 * @waits_placed: those that ended with a start there
 * @waits_abandoned: those that ended otherwise, by cause
 * @over_limit_ms: most by which such a wait was longer than its limit
 * @longest_wait_ms: longest wait for a rack
 * @run_us: mean processor time of a run of the scheduler
 */
typedef struct lw_report {
	lw_result_t kinds[LW_KINDS_MAX];
	uint32_t starts;
	uint32_t stops;
	double worked;
	double wasted;
	double over_objective;
	uint32_t waits;
	uint32_t waits_placed;
	uint32_t waits_abandoned[BH_LOCALITY_VERDICTS];
	int64_t over_limit_ms;
	int64_t longest_wait_ms;
	double run_us;
} lw_report_t;

void lw_replay(const lw_pattern_t *pattern, uint32_t seed, lw_report_t *out);
void lw_print(const lw_pattern_t *pattern, const lw_report_t *report);

#endif
