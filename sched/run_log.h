/*
 * What runs on a worker, as the agent beside it sees it: a crashed worker
 * cannot tell what ran on it, and for how long. Load pattern: a task crashes
 * the worker milliseconds after its start, amid orders to start others.
 */
#ifndef BH_SCHED_RUN_LOG_H
#define BH_SCHED_RUN_LOG_H

#include "sched/worker.h"

typedef struct bh_run_log bh_run_log_t;

bh_run_log_t *bh_run_log_new(void);
void bh_run_log_free(bh_run_log_t *log);

/**
 * bh_run_log_ordered() - an order to start an attempt is sent to the worker
 */
void bh_run_log_ordered(bh_run_log_t *log, const char *task, uint32_t attempt,
			bh_usec_t now);

/**
 * bh_run_log_started() - the worker has answered that the attempt runs
 */
void bh_run_log_started(bh_run_log_t *log, const char *task, uint32_t attempt,
			bh_usec_t now);

/**
 * bh_run_log_refused() - the attempt has not started
 */
void bh_run_log_refused(bh_run_log_t *log, const char *task, uint32_t attempt);

/**
 * bh_run_log_listed() - the worker lists what it runs
 */
void bh_run_log_listed(bh_run_log_t *log, const bh_worker_lists_t *lists,
		       bh_usec_t now);

/**
 * bh_run_log_crashed() - the worker has crashed: move what ran into a report
 * @boot: of the worker
 * @gone_at: when its connections broke
 * @crash: cleared first
 */
void bh_run_log_crashed(bh_run_log_t *log, uint64_t boot, bh_usec_t gone_at,
			bh_crash_t *crash);

/**
 * bh_run_log_clear() - the worker has ended as planned
 */
void bh_run_log_clear(bh_run_log_t *log);

#endif
