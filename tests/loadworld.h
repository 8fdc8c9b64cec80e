/*
 * Replays a load against the scheduler and admission control, the same code as
 * in the daemon: jobs arrive, callers retry as told, and simulated workers run
 * the tasks. There are no faults. Time is simulated.
 */
#ifndef BH_TESTS_LOADWORLD_H
#define BH_TESTS_LOADWORLD_H

#include "sched/sched.h"

#define LW_KINDS_MAX 6

/**
 * struct lw_kind - a kind of jobs
 * @interval_ms: one job arrives per interval, from @from_ms to @until_ms
 * @steps: number of steps, each of which depends on the one before
 * @count: tasks of each step
 * @ms: mean run time of a task
 * @estimate_percent: estimated run time, in percent of @ms
 * @estimate_off_percent: greatest deviation of a job's estimate from that; if
 *	set, the objective goes by @ms instead of the estimate
 * @slow_permille: tasks that take 7 times as long
 * @spread_percent: greatest deviation of a run time from @ms
 * @target_ms: constant part of the job's objective
 * @flags: letters: c checkpointing, l long-running, f filler, g gang, s
 *	speculative, a: a second attempt at a slow task takes the usual time
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
	uint32_t estimate_off_percent;
	uint32_t slow_permille;
	uint32_t spread_percent;
	uint32_t target_ms;
	const char *flags;
	double headroom;
	double amplitude;
	double harm;
} lw_kind_t;

/**
 * struct lw_pattern - a load and the hosts that it runs on
 * @seconds: its duration
 * @report_ms: interval of a worker's reports; 0: that of the daemon
 * @learns: run times are learned
 * @wrong_factor: what was learned is replaced each second by run times that are
 *	wrong by this factor; 0: it is not
 * @row: row of an earlier leader with what it learned, or NULL
 */
typedef struct lw_pattern {
	uint32_t hosts;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t seconds;
	uint32_t report_ms;
	bool learns;
	double wrong_factor;
	GBytes *row;
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
} lw_result_t;

/**
 * struct lw_report - results of a replay
 * @wasted: core seconds of work that was lost when its task was stopped
 * @worked: core seconds of work that was done
 * @over_objective: seconds for which a tail latency was above its objective,
 *	summed over the long-running tasks
 * @trace: sum over all starts and stops of their task, host and time, which
 *	tells whether two replays decided alike
 * @stats: of the scheduler at the end
 * @row: what was learned, as stored for the next leader; owned by the caller
 */
typedef struct lw_report {
	lw_result_t kinds[LW_KINDS_MAX];
	uint32_t starts;
	uint32_t stops;
	double worked;
	double wasted;
	double over_objective;
	uint64_t trace;
	bh_sched_stats_t stats;
	GBytes *row;
} lw_report_t;

/**
 * lw_replay() - replay a pattern
 *
 * lw_report_clear() frees what @out holds.
 */
void lw_replay(const lw_pattern_t *pattern, uint32_t seed, lw_report_t *out);
void lw_report_clear(lw_report_t *report);
void lw_print(const lw_pattern_t *pattern, const lw_report_t *report);

#endif
