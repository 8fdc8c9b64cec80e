/*
 * An agent's handling of orders for the tasks of its worker. Orders refer to a
 * report, and a lease starts when that report was sent, so it always expires on
 * the worker before it does for the leader, without synchronised clocks. Orders
 * of a lower term, or received after their lease has expired, are ignored.
 *
 * Not thread-safe; the callbacks must not call back into the task host.
 */
#ifndef BH_CORE_TASKHOST_H
#define BH_CORE_TASKHOST_H

#include "core/ledger.h"

/* Sending times kept; orders that refer to an older report are ignored. */
#define BH_REPORT_TIMES_MAX 64

typedef struct bh_taskhost bh_taskhost_t;

/**
 * struct bh_host_task - a task that was ordered or that the worker lists
 * @lease_until: on the host's monotonic clock, which agent and worker share
 * @started_at: when the worker replied to the start, successful or not
 * @first_report_seq: of the first report that lists the task
 * @is_unlisted: missing from the worker's last list
 */
typedef struct bh_host_task {
	char *id;
	uint32_t epoch;
	bh_task_state_t state;
	bh_resources_t need;
	uint64_t run_ms;
	uint64_t progress_ms;
	uint64_t done_unix_ms;
	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	bh_usec_t lease_until;
	bh_usec_t started_at;
	uint64_t first_report_seq;
	bool is_stopping;
	bool is_unlisted;
} bh_host_task_t;

/**
 * struct bh_taskhost_ops - calls to the worker runtime
 * @renew: extend the leases of the given tasks until @until
 */
typedef struct bh_taskhost_ops {
	void (*start)(void *ctx, const bh_host_task_t *task);
	void (*stop)(void *ctx, const bh_host_task_t *task);
	void (*forget)(void *ctx, const bh_host_task_t *task);
	void (*throttle)(void *ctx, const bh_host_task_t *task,
			 uint32_t permille);
	void (*renew)(void *ctx, GPtrArray *tasks, bh_usec_t until);
} bh_taskhost_ops_t;

typedef struct bh_taskhost_counters {
	uint64_t starts;
	uint64_t stops;
	uint64_t stale_orders;
	uint64_t refused_full;
	uint64_t refused_epoch;
} bh_taskhost_counters_t;

bh_taskhost_t *bh_taskhost_new(const char *name, uint64_t incarnation,
			       const bh_taskhost_ops_t *ops, void *ctx);
void bh_taskhost_free(bh_taskhost_t *taskhost);

/**
 * bh_taskhost_handle_listing() - handle the worker's list of its tasks
 * @requested_at: when the list was requested
 *
 * Nothing is started or reported before the first list.
 */
void bh_taskhost_handle_listing(bh_taskhost_t *taskhost,
				const bh_resources_t *capacity,
				const bh_host_task_t *tasks, size_t n,
				bh_usec_t requested_at);

/**
 * bh_taskhost_started() - handle the worker's reply to a start
 * @is_ok: false if the worker refused to start the task
 */
void bh_taskhost_started(bh_taskhost_t *taskhost, const char *id,
			 uint32_t epoch, bool is_ok, bh_usec_t now);

/**
 * bh_taskhost_handle_orders() - handle orders of a leader
 */
void bh_taskhost_handle_orders(bh_taskhost_t *taskhost, const bh_msg_t *msg,
			       bh_usec_t now);

/**
 * bh_taskhost_fill_report() - fill the next report
 *
 * Return: false before the worker's first list.
 */
bool bh_taskhost_fill_report(bh_taskhost_t *taskhost, bh_msg_t *msg,
			     bh_usec_t now);

/**
 * bh_taskhost_changes() - counter of changes that a leader should be told
 */
uint64_t bh_taskhost_changes(const bh_taskhost_t *taskhost);
const bh_ledger_t *bh_taskhost_ledger(const bh_taskhost_t *taskhost);
const bh_taskhost_counters_t *
bh_taskhost_counters(const bh_taskhost_t *taskhost);

#endif
