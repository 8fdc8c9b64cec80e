/*
 * Replays a load against the scheduler: jobs arrive, callers come back as they
 * are told, workers run what they are ordered to. No faults; the same modules
 * decide as in the daemon. The clock is the replay's.
 */
#ifndef BH_TESTS_LOADWORLD_H
#define BH_TESTS_LOADWORLD_H

#include "core/types.h"

#define LW_KINDS_MAX 6

/**
 * struct lw_kind - jobs that are alike
 * @interval_ms: one comes so often, from @from_ms to @until_ms
 * @estimate_percent: what callers say of a task's run time @ms
 * @spread_percent: run times vary by so much either way
 * @flags: letters: c checkpointing, l lasting, f filler, g gang
 * @headroom: of a lasting task without fillers
 * @amplitude: part of it that its users' load takes and gives in turns
 * @harm: headroom that a filler of this kind takes on a whole host
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
	uint32_t target_ms;
	const char *flags;
	double headroom;
	double amplitude;
	double harm;
} lw_kind_t;

/**
 * struct lw_pattern - a load
 * @seconds: its length
 * @report_ms: workers report so often; 0: as the daemon has it
 */
typedef struct lw_pattern {
	uint32_t hosts;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t seconds;
	uint32_t report_ms;
	uint32_t n_kinds;
	lw_kind_t kinds[LW_KINDS_MAX];
} lw_pattern_t;

/**
 * struct lw_result - what became of a kind's jobs
 * @refused: jobs whose callers gave up after their last try was refused
 * @in_time: ended within their objective
 * @open: not ended at the end of the replay
 * @p50_ms: from the first try to the end, open ones count as the longest
 * @serving: part of the time that lasting tasks were at work
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
 * struct lw_report - of a replay
 * @wasted: core seconds of work that was stopped and not saved
 * @over_objective: task seconds in which a lasting task was over its objective
 */
typedef struct lw_report {
	lw_result_t kinds[LW_KINDS_MAX];
	uint32_t starts;
	uint32_t stops;
	double worked;
	double wasted;
	double over_objective;
} lw_report_t;

void lw_replay(const lw_pattern_t *pattern, uint32_t seed, lw_report_t *out);
void lw_print(const lw_pattern_t *pattern, const lw_report_t *report);

#endif
