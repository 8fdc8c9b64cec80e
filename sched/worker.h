/*
 * What a worker says of itself and of the tasks it holds, as the agent beside
 * it passes on.
 */
#ifndef BH_SCHED_WORKER_H
#define BH_SCHED_WORKER_H

#include "core/types.h"

#define BH_WORKER_LABELS_MAX 8

/* A worker's clock may run this much slower than ours (parts per hundred). */
#define BH_CLOCK_DRIFT_PERCENT 2

/**
 * bh_lease_bound() - time on our clock after which a lease has surely run out
 * @lease: its length on the worker's clock
 */
static inline bh_usec_t bh_lease_bound(bh_usec_t lease)
{
	return lease + lease * BH_CLOCK_DRIFT_PERCENT / 100;
}

/**
 * enum bh_worker_state - may work be started there
 * @BH_WORKER_SILENT: nobody has heard of it lately; what ran may run on
 * @BH_WORKER_READY: yes
 * @BH_WORKER_DRAINING: no; it leaves and what runs there ends with it
 * @BH_WORKER_DOWN: no; the process is gone, and what ran there with it
 */
typedef enum bh_worker_state {
	BH_WORKER_SILENT,
	BH_WORKER_READY,
	BH_WORKER_DRAINING,
	BH_WORKER_DOWN,
} bh_worker_state_t;

/**
 * enum bh_end - how an attempt at a task ended
 * @BH_END_LAPSED: the worker's lease ran out
 * @BH_END_BROKEN: another member of the gang ended
 * @BH_END_ALONE: the other members of the gang did not come in time
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
 * struct bh_active - a task that a worker runs
 * @percent: share of its work that is done; for a lasting task 100 means that
 *	it serves
 * @gauge: tail latency in ms of a lasting task that serves, otherwise the
 *	processor time in use, in thousandths of a core
 */
typedef struct bh_active {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent;
	uint32_t gauge;
} bh_active_t;

/**
 * struct bh_ended - an attempt that ended and was not acknowledged yet
 * @number: rises within one boot of the worker
 */
typedef struct bh_ended {
	uint64_t number;
	char *task;
	uint32_t attempt;
	bh_end_t how;
	char *checkpoint;
} bh_ended_t;

/**
 * struct bh_worker_info - a worker about itself
 * @id: its name; NULL until it has announced itself
 * @boot: unix ms of its start; 0 while unknown
 * @rack: label that names its rack, NULL without
 * @leaves_ms: while it drains, the time that is left at least
 * @cold_ms: how much longer it is slow after its start
 * @lease_left_ms: of a worker that gives no lists, after which nothing of
 *before runs there; 0 when its agent does not know
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
} bh_worker_info_t;

/**
 * struct bh_worker_lists - all that a worker holds, as of one moment
 * @clock_ms: the worker's own clock when it answered
 */
typedef struct bh_worker_lists {
	uint64_t clock_ms;
	uint64_t boot;
	uint32_t n_active;
	bh_active_t *active;
	uint32_t n_ended;
	bh_ended_t *ended;
} bh_worker_lists_t;

/**
 * enum bh_order_outcome - how an order to a worker went
 * @BH_ORDER_OK: carried out
 * @BH_ORDER_REFUSED: not carried out, and never will be
 * @BH_ORDER_NO_ROOM: refused: it does not fit
 * @BH_ORDER_OLD: refused: this or a later attempt was there before
 * @BH_ORDER_FENCED: refused: the worker has heard of a newer leader
 * @BH_ORDER_TICKET: refused: the ticket is missing or no longer valid
 * @BH_ORDER_UNHEALTHY: refused by a worker that is not well
 * @BH_ORDER_UNCLEAR: no answer; it may be carried out yet
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
