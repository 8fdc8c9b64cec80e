/*
 * Orders to start that got no answer. A worker may carry them out seconds
 * later, and so may its next process if it has the same id, where nothing else
 * rejects them: its clock and its fencing token have begun anew.
 */
#ifndef BH_SCHED_LATE_STARTS_H
#define BH_SCHED_LATE_STARTS_H

#include "sched/worker.h"

typedef struct bh_late_starts bh_late_starts_t;

bh_late_starts_t *bh_late_starts_new(void);
void bh_late_starts_free(bh_late_starts_t *log);

/**
 * bh_late_starts_add() - an order to start an attempt got no answer
 * @worker: id that it was addressed to
 * @boot: of the process that it was meant for
 * @term: its fencing token
 */
void bh_late_starts_add(bh_late_starts_t *log, const char *task,
			uint32_t attempt, const char *worker, uint64_t boot,
			uint64_t term, bh_usec_t now);

/**
 * bh_late_starts_listed() - drop the orders that cannot start anything
 * unnoticed any more in the process that has answered with its lists
 * @worker: its id
 * @term: fencing token of the request for the lists
 */
void bh_late_starts_listed(bh_late_starts_t *log,
			   const bh_worker_lists_t *lists, const char *worker,
			   uint64_t term, bh_usec_t now);

/**
 * bh_late_starts_next() - find an attempt that has to be stopped in a process,
 * so that it does not start there
 * @task: set to its task, owned by the log
 *
 * Each is returned once, until bh_late_starts_stopped().
 *
 * Return: false if there is none.
 */
bool bh_late_starts_next(bh_late_starts_t *log, uint64_t boot,
			 const char **task, uint32_t *attempt);

/**
 * bh_late_starts_stopped() - the outcome of the order to stop it
 */
void bh_late_starts_stopped(bh_late_starts_t *log, uint64_t boot,
			    const char *task, uint32_t attempt, bool is_ok);

/**
 * bh_late_starts_is_settled() - whether no order can start anything unnoticed
 * in a process
 */
bool bh_late_starts_is_settled(const bh_late_starts_t *log, uint64_t boot);

#endif
