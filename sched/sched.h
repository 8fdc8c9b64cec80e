/*
 * The scheduler of a service's workers: which task runs where, and what has
 * become of each job. It does no input or output: the leader's shell passes in
 * what arrives, with the time, and carries out the orders that come back
 * through a small table of operations.
 */
#ifndef BH_SCHED_SCHED_H
#define BH_SCHED_SCHED_H

#include "core/hist.h"
#include "sched/job.h"
#include "sched/queues.h"
#include "sched/worker.h"

typedef struct bh_sched bh_sched_t;

/**
 * struct bh_start - an order to start a task
 * @expires_ms: end of the worker's lease, on its own clock
 */
typedef struct bh_start {
	const char *task;
	uint32_t attempt;
	const char *spec;
	const char *checkpoint;
	const char *ticket;
	uint64_t boot;
	const char *worker;
	uint64_t expires_ms;
} bh_start_t;

/**
 * struct bh_sched_ops - orders to the shell; @host is the key of a host
 * @grant: the lease of all that runs there may last to @expires_ms, and ends
 *	up to @ack may be forgotten
 * @event: a decision worth a log line; @job may be NULL
 */
typedef struct bh_sched_ops {
	void (*start)(void *ctx, const char *host, const bh_start_t *start);
	void (*stop)(void *ctx, const char *host, uint64_t boot,
		     const char *task, uint32_t attempt);
	void (*pace)(void *ctx, const char *host, uint64_t boot,
		     const char *task, uint32_t attempt, uint32_t percent);
	void (*grant)(void *ctx, const char *host, uint64_t boot,
		      uint64_t expires_ms, uint64_t ack);
	void (*advise)(void *ctx, const char *phase, const char **workers,
		       uint32_t n);
	void (*event)(void *ctx, const char *what, const char *job,
		      const char *detail);
} bh_sched_ops_t;

/**
 * struct bh_sched_bounds - figures that the deployment sets
 * @lease_ms: length of a worker's lease
 * @predecessor_grant_ms: a leader that was replaced may still grant leases for
 * so long
 */
typedef struct bh_sched_bounds {
	uint64_t term;
	int64_t lease_ms;
	int64_t predecessor_grant_ms;
	int64_t restore_ms;
	int64_t impact_ms;
	int64_t status_ms;
} bh_sched_bounds_t;

bh_sched_t *bh_sched_new(const bh_sched_bounds_t *bounds,
			 const bh_sched_ops_t *ops, void *ctx, bh_usec_t now,
			 uint64_t unix_ms);
void bh_sched_free(bh_sched_t *s);

/**
 * bh_sched_set_config() - use a configuration; the caller keeps owning it and
 * keeps it until the next call
 */
void bh_sched_set_config(bh_sched_t *s, const bh_config_t *config);

/**
 * struct bh_task_progress - what is known of a task that is not done
 * @failed: attempts that ended in failure
 */
typedef struct bh_task_progress {
	uint32_t index;
	uint32_t n_failed;
	uint32_t *failed;
	char *checkpoint;
} bh_task_progress_t;

/**
 * struct bh_step_progress - what is known of a step of an occurrence
 * @done: a bit for each task
 */
typedef struct bh_step_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t n_done_bytes;
	uint8_t *done;
	uint32_t n_tasks;
	bh_task_progress_t *tasks;
} bh_step_progress_t;

/**
 * struct bh_progress - what must outlive the leader, for a job
 */
typedef struct bh_progress {
	bh_job_state_t state;
	uint64_t ended_ms;
	uint32_t n_steps;
	bh_step_progress_t *steps;
} bh_progress_t;

void bh_progress_free(bh_progress_t *progress);

/**
 * bh_sched_add_job() - a job that is stored; it is taken over
 * @progress: what an earlier leader stored, or NULL
 *
 * A job that is known already is dropped, but its cancellation is noted.
 */
void bh_sched_add_job(bh_sched_t *s, bh_job_t *job,
		      const bh_progress_t *progress, bh_usec_t now);
void bh_sched_cancel(bh_sched_t *s, const char *id, bh_usec_t now);

/**
 * bh_sched_add_host() - an agent that is known from its row
 * @may_hold_work: an earlier leader may have started work there
 */
void bh_sched_add_host(bh_sched_t *s, const char *host, bool may_hold_work,
		       bh_usec_t now);
void bh_sched_host_linked(bh_sched_t *s, const char *host, bool is_linked,
			  bh_usec_t now);

/**
 * bh_sched_report() - an agent's report
 * @lists: NULL when the worker gave none
 * @may_grant: false while this leader cannot be sure that it still leads
 */
void bh_sched_report(bh_sched_t *s, const char *host,
		     const bh_worker_info_t *info,
		     const bh_worker_lists_t *lists, bool may_grant,
		     bh_usec_t now);
void bh_sched_start_result(bh_sched_t *s, const char *host, const char *task,
			   uint32_t attempt, bh_order_outcome_t outcome,
			   bh_usec_t now);
void bh_sched_stop_result(bh_sched_t *s, const char *host, const char *task,
			  uint32_t attempt, bh_order_outcome_t outcome,
			  bh_usec_t now);

/**
 * struct bh_ticket - leave to run a step on a worker
 */
typedef struct bh_ticket {
	const char *worker;
	const char *ticket;
} bh_ticket_t;

void bh_sched_advised(bh_sched_t *s, const char *phase,
		      const bh_ticket_t *tickets, uint32_t n, uint32_t valid_ms,
		      bh_usec_t now);

/**
 * bh_sched_run() - place what waits, steer what runs
 *
 * Called after events, and at least every 100 ms.
 */
void bh_sched_run(bh_sched_t *s, bh_usec_t now, uint64_t unix_ms);

/**
 * bh_sched_begin_commit() - jobs whose progress has to be stored
 *
 * Return: how many of @ids were set. Until bh_sched_end_commit() no other
 * commit may begin.
 */
uint32_t bh_sched_begin_commit(bh_sched_t *s, const char **ids, uint32_t max);
bool bh_sched_has_uncommitted(const bh_sched_t *s);

/**
 * bh_sched_progress() - what to store of a job
 */
bh_progress_t *bh_sched_progress(const bh_sched_t *s, const char *id);
void bh_sched_end_commit(bh_sched_t *s, bool is_stored);

/**
 * bh_sched_each_pair() - what was learned of images, for the next leader
 */
typedef void (*bh_sched_pair_cb_t)(void *ctx, const char *filler,
				   const char *lasting, double harm,
				   double doubt);
void bh_sched_each_pair(const bh_sched_t *s, bh_sched_pair_cb_t cb, void *ctx);
void bh_sched_set_pair(bh_sched_t *s, const char *filler, const char *lasting,
		       double harm, double doubt);

/**
 * bh_sched_expired() - jobs that ended so long ago that they may be forgotten
 *
 * Return: how many of @ids were set, valid until the jobs are dropped.
 */
uint32_t bh_sched_expired(const bh_sched_t *s, uint64_t unix_ms,
			  const char **ids, uint32_t max);
void bh_sched_drop_job(bh_sched_t *s, const char *id);

/**
 * bh_sched_removable_host() - a host that is gone for good and holds no work
 *
 * Return: its key, until it is dropped, or NULL.
 */
const char *bh_sched_removable_host(const bh_sched_t *s, bh_usec_t now);
void bh_sched_drop_host(bh_sched_t *s, const char *host);

/**
 * bh_sched_state() - a job's state as callers may be told
 */
bh_job_state_t bh_sched_state(const bh_sched_t *s, const char *id);
uint32_t bh_sched_pending(const bh_sched_t *s, const char *queue);

/**
 * struct bh_backlog - how long new work of a priority would wait
 */
typedef struct bh_backlog {
	uint32_t priority;
	uint64_t wait_ms;
	uint64_t wait_filler_ms;
} bh_backlog_t;

/**
 * bh_sched_load() - predicted waits by priority
 */
uint32_t bh_sched_load(const bh_sched_t *s, bh_backlog_t *out, uint32_t max,
		       bh_usec_t now);

/**
 * struct bh_sched_stats - counters since the leader's start, and levels
 */
typedef struct bh_sched_stats {
	uint64_t starts;
	uint64_t rejected;
	uint64_t ends[BH_END_ALONE + 1];
	uint64_t stops;
	uint64_t copies;
	uint64_t quarantines;
	uint64_t paces;
	uint64_t jobs[BH_JOB_CANCELLED + 1];
	uint32_t hosts_ready;
	uint32_t tasks_waiting;
	uint32_t tasks_running;
	bh_hist_t wait;
} bh_sched_stats_t;

void bh_sched_stats(const bh_sched_t *s, bh_sched_stats_t *out);

#endif
