/*
 * Input and output of the scheduler while this entry leads: loads the stored
 * jobs, keeps a link to every agent, sends the scheduler's orders and commits
 * its progress.
 */
#ifndef BH_DAEMON_SCHED_LEADER_H
#define BH_DAEMON_SCHED_LEADER_H

#include "daemon/link.h"
#include "daemon/term.h"
#include "platform/advice.h"
#include "platform/store.h"
#include "sched/sched.h"

typedef struct bh_sched_leader bh_sched_leader_t;

bh_sched_leader_t *bh_sched_leader_new(bh_runtime_t *rt, bh_store_t *store,
				       bh_term_t *term);
void bh_sched_leader_free(bh_sched_leader_t *l);
void bh_sched_leader_set_config(bh_sched_leader_t *l,
				const bh_config_t *config);

/**
 * bh_sched_leader_note_store_reachable() - another entry has reported that it
 * reaches the store
 */
void bh_sched_leader_note_store_reachable(bh_sched_leader_t *l);

/**
 * bh_sched_leader_add_job() - an entry has stored a job, or its cancellation
 */
void bh_sched_leader_add_job(bh_sched_leader_t *l, const void *data,
			     size_t len);

/**
 * bh_sched_leader_state() - a job's state
 *
 * Return: BH_JOB_UNKNOWN if only the store can tell.
 */
bh_job_state_t bh_sched_leader_state(bh_sched_leader_t *l, const char *id);

/**
 * bh_sched_leader_pending() - number of waiting jobs of a queue
 *
 * Return: false while not all stored jobs are loaded.
 */
bool bh_sched_leader_pending(bh_sched_leader_t *l, const char *queue,
			     uint32_t *out);

/**
 * bh_sched_leader_load() - predicted waits by priority; none before the jobs
 * are loaded
 */
uint32_t bh_sched_leader_load(bh_sched_leader_t *l, bh_backlog_t *out,
			      uint32_t max);

/**
 * bh_sched_leader_predictions() - learned run times; @out is cleared before
 */
void bh_sched_leader_predictions(bh_sched_leader_t *l, bh_predictions_t *out);

/**
 * bh_sched_leader_tick() - call every 100 ms
 */
void bh_sched_leader_tick(bh_sched_leader_t *l);
void bh_sched_leader_metrics(bh_sched_leader_t *l, GString *out);

#endif
