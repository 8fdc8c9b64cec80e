/*
 * Forecast of capacity and of the demand that waits for it, which the leader
 * computes and sends to the entries.
 *
 * Load pattern: bursts of large or of quick jobs, and all jobs at once after a
 * total loss. Backlog divided by capacity does not tell whether a host is idle
 * now, nor that running tasks of a burst end within a second.
 */
#ifndef BH_SCHED_FORECAST_H
#define BH_SCHED_FORECAST_H

#include "sched/shares.h"

/* Times for which capacity is forecast: now, and in 1, 2, 5 and 10 s. */
#define BH_FORECAST_POINTS 5

#define BH_FORECAST_PRIORITIES 16

/* No longer wait is predicted. */
#define BH_FORECAST_WAIT_MAX_MS 600000

/**
 * enum bh_work_kind - kinds of tasks that use different capacity
 * @BH_WORK_PLAIN: neither fillers nor long-running
 */
typedef enum bh_work_kind {
	BH_WORK_PLAIN,
	BH_WORK_FILLER,
	BH_WORK_KINDS,
} bh_work_kind_t;

/**
 * struct bh_demand - accepted work of a priority that has not been started
 * @work_ms: of phases that can still end within their objective, in core
 *	milliseconds, those that wait for earlier steps included
 * @late_ms: of other phases, which are placed after them
 * @waiting: number of tasks that could start now
 */
typedef struct bh_demand {
	uint32_t priority;
	uint64_t work_ms[BH_WORK_KINDS];
	uint64_t late_ms[BH_WORK_KINDS];
	uint32_t waiting[BH_WORK_KINDS];
} bh_demand_t;

/**
 * struct bh_forecast - capacity over time and the demand for it
 * @free_milli: thousandths of a core that are not used by runs of the present,
 *	at each point in time
 * @largest_milli: the most that is free on one host now
 * @demands: ascending by priority
 * @shares: use of capacity by groups of jobs
 */
typedef struct bh_forecast {
	uint64_t free_milli[BH_WORK_KINDS][BH_FORECAST_POINTS];
	uint64_t largest_milli[BH_WORK_KINDS];
	uint32_t n_demands;
	bh_demand_t demands[BH_FORECAST_PRIORITIES];
	bh_shares_t shares;
} bh_forecast_t;

/**
 * bh_forecast_add_capacity() - add capacity that is free from a time on
 */
void bh_forecast_add_capacity(bh_forecast_t *f, bh_work_kind_t kind,
			      uint64_t cpu_milli, int64_t in_ms);

/**
 * bh_forecast_take_capacity() - the same for capacity that is not available
 * from a time on
 */
void bh_forecast_take_capacity(bh_forecast_t *f, bh_work_kind_t kind,
			       uint64_t cpu_milli, int64_t in_ms);

/**
 * bh_forecast_demand() - the demand of a priority, added if there is none yet
 *
 * Return: NULL if there are BH_FORECAST_PRIORITIES higher ones.
 */
bh_demand_t *bh_forecast_demand(bh_forecast_t *f, uint32_t priority);

/**
 * bh_forecast_time_ms() - time until capacity has carried out an amount of work
 * @work_ms: core milliseconds
 *
 * Return: at most BH_FORECAST_WAIT_MAX_MS.
 */
uint64_t bh_forecast_time_ms(const bh_forecast_t *f, bh_work_kind_t kind,
			     uint64_t work_ms);

/**
 * bh_forecast_ahead_ms() - work that is placed before a new job
 */
uint64_t bh_forecast_ahead_ms(const bh_forecast_t *f, bh_work_kind_t kind,
			      uint32_t priority);

/**
 * bh_forecast_is_idle() - whether a task could start now and no accepted work
 * of its priority or a higher one waits
 */
bool bh_forecast_is_idle(const bh_forecast_t *f, bh_work_kind_t kind,
			 uint32_t priority, uint32_t cpu_milli);

/**
 * bh_forecast_charge() - count a job that was accepted since the forecast
 */
void bh_forecast_charge(bh_forecast_t *f, const bh_job_t *job);

/**
 * bh_job_work_kind() - kind of most of a job's work
 * @work_ms: set to the amount of that kind
 */
bh_work_kind_t bh_job_work_kind(const bh_job_t *job, uint64_t *work_ms);

#endif
