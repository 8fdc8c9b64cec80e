/*
 * Decides how long a task, or a group of tasks, waits for a placement on which
 * it runs faster: the rack that holds its data, or one rack for all of a group.
 *
 * Load pattern: more than half of the quick jobs request one rack for some
 * seconds while others are idle. Waiting for that rack delays all of them more
 * than the longer run elsewhere would, and not waiting at all makes each run
 * several times as long, which takes capacity from others.
 *
 * Pure: times are passed in, in milliseconds from now.
 */
#ifndef BH_SCHED_LOCALITY_H
#define BH_SCHED_LOCALITY_H

#include "core/types.h"

/* A job of which no task runs must get capacity within 3 s. A wait ends at the
 * first pass after its deadline, and passes are at most 200 ms apart while a
 * task waits, so that the longest wait stays below 2 s. */
#define BH_LOCALITY_WAIT_MAX_MS 1800

/* Hosts of a rack that a forecast covers; racks have 8. */
#define BH_RACK_HOSTS_MAX 32

/* Releases of capacity in a rack that a forecast covers; later ones are
 * ignored, so that waits are predicted to be longer. */
#define BH_RACK_RELEASES_MAX 512

/**
 * struct bh_capacity - processor time in thousandths of a core, memory in MB,
 * and accelerators; negative where more is reserved than there is
 */
typedef struct bh_capacity {
	int64_t cpu;
	int64_t memory;
	int64_t accelerators;
} bh_capacity_t;

/**
 * struct bh_rack_forecast - free capacity of the hosts of a rack over time
 *
 * Hosts are numbered in the order in which they were added. Waiting tasks are
 * added in their order of placement with bh_rack_forecast_take(), so that each
 * one is predicted to start after those before it.
 */
typedef struct bh_rack_forecast bh_rack_forecast_t;

bh_rack_forecast_t *bh_rack_forecast_new(void);
void bh_rack_forecast_free(bh_rack_forecast_t *f);

/**
 * bh_rack_forecast_reset() - remove all hosts
 */
void bh_rack_forecast_reset(bh_rack_forecast_t *f);

/**
 * bh_rack_forecast_add_host() - add a host with its present free capacity
 *
 * Return: its number, or -1 if there are BH_RACK_HOSTS_MAX already.
 */
int bh_rack_forecast_add_host(bh_rack_forecast_t *f, const bh_capacity_t *free);

/**
 * bh_rack_forecast_add_release() - capacity of a host will become free
 * @in_ms: predicted time until then
 */
void bh_rack_forecast_add_release(bh_rack_forecast_t *f, int host,
				  int64_t in_ms, const bh_capacity_t *released);

/**
 * bh_rack_forecast_wait_ms() - predicted time until tasks fit at the same time
 * @need: capacity that one of them requests
 * @count: number of tasks
 * @most: by host, how many of them may run there
 * @limit_ms: longest wait that is of interest
 *
 * Return: -1 if it is longer than @limit_ms.
 */
int64_t bh_rack_forecast_wait_ms(bh_rack_forecast_t *f,
				 const bh_capacity_t *need, uint32_t count,
				 const uint32_t most[BH_RACK_HOSTS_MAX],
				 int64_t limit_ms);

/**
 * bh_rack_forecast_take() - let tasks that wait take the capacity that
 * bh_rack_forecast_wait_ms() has found for them
 * @run_ms: their run time, after which it is free again
 * @taken: by host, set to the number of tasks on it; may be NULL
 */
void bh_rack_forecast_take(bh_rack_forecast_t *f, const bh_capacity_t *need,
			   uint32_t count,
			   const uint32_t most[BH_RACK_HOSTS_MAX],
			   int64_t limit_ms, int64_t run_ms,
			   uint32_t taken[BH_RACK_HOSTS_MAX]);

/**
 * struct bh_locality_choice - inputs of a decision
 * @run_ms: estimated run time in the preferred placement
 * @slowdown: run time elsewhere relative to it
 * @wait_ms: predicted time until there is capacity in the preferred placement
 *	for all tasks of the step that wait for it, since the step ends with its
 *	last task; -1: not within the limit
 * @elsewhere_ms: longest predicted remaining time of the step's tasks that run
 *	elsewhere; 0: none does
 * @left_ms: time until the wait's deadline
 * @slack_ms: time by which the task may end later for its job to meet its
 *	objective; negative if it is late in any case
 * @utilization: part of the processor capacity of all hosts that is in use, 0
 *	to 1
 * @is_lost: no host of the preferred placement can be used
 */
typedef struct bh_locality_choice {
	int64_t run_ms;
	double slowdown;
	int64_t wait_ms;
	int64_t elsewhere_ms;
	int64_t left_ms;
	int64_t slack_ms;
	double utilization;
	bool is_lost;
} bh_locality_choice_t;

/**
 * enum bh_locality_verdict - whether to wait, and why not
 * @BH_LOCALITY_WAIT: the wait is worthwhile
 * @BH_LOCALITY_LOST: the preferred placement is lost
 * @BH_LOCALITY_EXPIRED: the deadline of the wait has passed
 * @BH_LOCALITY_TOO_LONG: the wait costs more than the slowdown
 * @BH_LOCALITY_WOULD_BE_LATE: the job would miss its objective, and meets it
 *	elsewhere
 */
typedef enum bh_locality_verdict {
	BH_LOCALITY_WAIT,
	BH_LOCALITY_LOST,
	BH_LOCALITY_EXPIRED,
	BH_LOCALITY_TOO_LONG,
	BH_LOCALITY_WOULD_BE_LATE,
	BH_LOCALITY_VERDICTS,
} bh_locality_verdict_t;

const char *bh_locality_verdict_name(bh_locality_verdict_t verdict);

/**
 * bh_locality_limit_ms() - longest time for which a task may wait: what the
 * slowdown costs, but at most BH_LOCALITY_WAIT_MAX_MS
 */
int64_t bh_locality_limit_ms(int64_t run_ms, double slowdown);

/**
 * bh_locality_decide() - weigh a wait against a longer run elsewhere
 */
bh_locality_verdict_t bh_locality_decide(const bh_locality_choice_t *choice);

/**
 * struct bh_slowdown - slowdown outside the preferred rack, from ends of runs
 * @local: mean logarithm of run times there relative to their estimates
 * @remote: the same elsewhere
 */
typedef struct bh_slowdown {
	double local;
	double remote;
	uint32_t n_local;
	uint32_t n_remote;
} bh_slowdown_t;

/**
 * bh_slowdown_add() - add the end of a run
 * @ratio: its run time relative to its estimate, more than 0
 */
void bh_slowdown_add(bh_slowdown_t *s, double ratio, bool is_local);

/**
 * bh_slowdown_get() - estimated slowdown, at least 1
 * @configured: slowdown according to the settings, which counts as much as a
 *	number of observed runs
 */
double bh_slowdown_get(const bh_slowdown_t *s, double configured);

#endif
