/*
 * State of a worker and of its tasks, as reported by the agent on its host.
 */
#ifndef BH_SCHED_WORKER_H
#define BH_SCHED_WORKER_H

#include "core/types.h"

#define BH_WORKER_LABELS_MAX 8

/* Greatest part by which a worker's clock may run slower than another host's.
 */
#define BH_CLOCK_DRIFT_PERCENT 2

/* Ends that are not acknowledged because a start may still be carried out late.
 * A worker lists at most 500, and each report holds all of them. */
#define BH_ENDS_HELD_MAX 64

/* Time within which a call that got no answer may still be carried out. */
#define BH_LATE_CALL_MAX_US (12 * BH_USEC_PER_SEC)

/**
 * bh_lease_bound() - time on the caller's clock after which a lease has expired
 * for certain
 * @lease: its length on the worker's clock
 */
static inline bh_usec_t bh_lease_bound(bh_usec_t lease)
{
	return lease + lease * BH_CLOCK_DRIFT_PERCENT / 100;
}

/**
 * enum bh_worker_state - whether tasks may be started on a worker
 * @BH_WORKER_SILENT: no; it has not answered lately, or its agent has not
 *	registered yet; its tasks may still run
 * @BH_WORKER_READY: yes
 * @BH_WORKER_DRAINING: no; it is about to exit, and its tasks will end with it
 * @BH_WORKER_DOWN: no; the process has exited, and its tasks have ended with it
 */
typedef enum bh_worker_state {
	BH_WORKER_SILENT,
	BH_WORKER_READY,
	BH_WORKER_DRAINING,
	BH_WORKER_DOWN,
} bh_worker_state_t;

/**
 * enum bh_end - how an attempt at a task ended
 * @BH_END_LAPSED: the worker's lease expired
 * @BH_END_BROKEN: another member of the gang ended
 * @BH_END_ALONE: the other members of the gang did not start in time
 */
typedef enum bh_end {
	BH_END_UNKNOWN,
	BH_END_DONE,
	BH_END_FAILED,
	BH_END_STOPPED,
	BH_END_LAPSED,
	BH_END_BROKEN,
	BH_END_ALONE,
} bh_end_t;

/**
 * struct bh_active - a task that a worker is running
 * @percent: progress; 100 for a long-running task that serves requests
 * @gauge: for a long-running task that serves requests its tail latency in ms,
 *	otherwise the processor time in use, in thousandths of a core
 */
typedef struct bh_active {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent;
	uint32_t gauge;
} bh_active_t;

/**
 * struct bh_ended - an attempt that has ended, until this is acknowledged
 * @number: sequence number, ascending from one end to the next while the
 *	worker's process lives
 */
typedef struct bh_ended {
	uint64_t number;
	char *task;
	uint32_t attempt;
	bh_end_t how;
	char *checkpoint;
} bh_ended_t;

/**
 * struct bh_crashed_run - an attempt that ran on a worker when it crashed
 * @age_ms: how long it had run
 * @is_confirmed: it had started for certain
 */
typedef struct bh_crashed_run {
	char *task;
	uint32_t age_ms;
	bool is_confirmed;
} bh_crashed_run_t;

/**
 * struct bh_crash - the unplanned end of a worker's process, as its agent saw
 * it
 * @boot: of the process that ended; 0: there was no crash
 * @ago_ms: time since the crash
 * @is_inferred: no agent has seen it, so that runs may have ended before
 */
typedef struct bh_crash {
	uint64_t boot;
	uint32_t ago_ms;
	bool is_inferred;
	uint32_t n_runs;
	bh_crashed_run_t *runs;
} bh_crash_t;

void bh_crash_clear(bh_crash_t *crash);

/**
 * struct bh_late_start - a start without an answer, which a later process of
 * the worker may carry out
 * @left_ms: for how much longer
 * @worker: id that it names; NULL in reports, which tell of those that the
 *	worker does not reject
 */
typedef struct bh_late_start {
	char *task;
	uint32_t attempt;
	uint32_t left_ms;
	char *worker;
} bh_late_start_t;

typedef struct bh_late_starts {
	uint32_t n;
	bh_late_start_t *entries;
} bh_late_starts_t;

void bh_late_starts_clear(bh_late_starts_t *starts);

/**
 * struct bh_worker_info - description and state of a worker
 * @id: its name; NULL until it has announced itself
 * @boot: unix time of its start in ms; 0: not known
 * @leaves_ms: of a draining worker, the least time until it exits
 * @cold_ms: remaining time for which it is slow after its start
 * @lease_left_ms: of a worker that does not answer its agent, the time after
 *	which none of its earlier tasks run any more; 0: the agent does not
 *know. Of one that has answered, the time for which it may hold a lease that no
 *	leader has granted to its process; 0: for no longer than a grant lasts
 * @lease_expires_ms: end of the lease that @lease_left_ms speaks of, on the
 *	worker's clock
 * @is_idle: nothing can run on it, whether it answers or not
 * @is_term_unknown: its agent does not know whether a later leader than the one
 *	that it reports to has been elected
 * @lost_call_ms: time since a call to it got no answer although its process
 *	lived; 0: there was none within BH_LATE_CALL_MAX_US
 * @late_starts: starts that got no answer
 * @agent_process: identifies the process of its agent; 0: not known
 * @agent_age_ms: time since that process started
 */
typedef struct bh_worker_info {
	char *id;
	uint64_t boot;
	char *service;
	char *zone;
	bh_worker_state_t state;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t n_labels;
	char *labels[BH_WORKER_LABELS_MAX];
	uint32_t leaves_ms;
	uint32_t cold_ms;
	uint32_t lease_left_ms;
	uint64_t lease_expires_ms;
	uint32_t lost_call_ms;
	bool is_idle;
	bool is_term_unknown;
	bh_late_starts_t late_starts;
	uint64_t agent_process;
	uint64_t agent_age_ms;
} bh_worker_info_t;

/**
 * struct bh_worker_lists - all tasks that a worker runs, and the ends that are
 * not acknowledged yet, at one moment
 * @clock_ms: the worker's own clock when it answered
 * @ended: in ascending order of their numbers
 * @has_more_ended: ends may follow that the worker lists once these are
 *	acknowledged: a task that stands in neither list may have ended
 */
typedef struct bh_worker_lists {
	uint64_t clock_ms;
	uint64_t boot;
	uint32_t n_active;
	bh_active_t *active;
	uint32_t n_ended;
	bh_ended_t *ended;
	bool has_more_ended;
} bh_worker_lists_t;

/**
 * enum bh_order_outcome - outcome of an order to a worker
 * @BH_ORDER_OK: carried out
 * @BH_ORDER_REFUSED: not carried out, and never will be
 * @BH_ORDER_NO_ROOM: refused: too few free resources
 * @BH_ORDER_OLD: refused: the worker has had this attempt or a later one before
 * @BH_ORDER_FENCED: refused: the worker has heard of a newer leader
 * @BH_ORDER_TICKET: refused: the ticket is missing or no longer valid
 * @BH_ORDER_UNHEALTHY: refused: the worker is unhealthy
 * @BH_ORDER_UNCLEAR: no answer; it may still be carried out
 */
typedef enum bh_order_outcome {
	BH_ORDER_OK,
	BH_ORDER_REFUSED,
	BH_ORDER_NO_ROOM,
	BH_ORDER_OLD,
	BH_ORDER_FENCED,
	BH_ORDER_TICKET,
	BH_ORDER_UNHEALTHY,
	BH_ORDER_UNCLEAR,
} bh_order_outcome_t;

const char *bh_worker_state_name(bh_worker_state_t state);
const char *bh_end_name(bh_end_t how);
const char *bh_order_outcome_name(bh_order_outcome_t outcome);

void bh_worker_info_clear(bh_worker_info_t *info);
void bh_worker_lists_clear(bh_worker_lists_t *lists);

#endif
