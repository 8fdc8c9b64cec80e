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

/**
 * bh_sched_leader_new() - start to lead
 * @evacuation: the evacuated zones as this entry knows them; owned by the
 *	caller; the leader adds what agents report
 */
bh_sched_leader_t *bh_sched_leader_new(bh_runtime_t *rt, bh_store_t *store,
				       bh_term_t *term,
				       bh_evacuation_t *evacuation);
void bh_sched_leader_free(bh_sched_leader_t *l);
void bh_sched_leader_set_config(bh_sched_leader_t *l,
				const bh_config_t *config);

/**
 * bh_sched_leader_note_store_reachable() - another entry has reported that it
 * reaches the store
 */
void bh_sched_leader_note_store_reachable(bh_sched_leader_t *l);

/**
 * bh_sched_leader_note_entry() - another entry has reported
 * @address: its address, or NULL
 * @answered_at: when the store last answered it; 0: never
 */
void bh_sched_leader_note_entry(bh_sched_leader_t *l, const char *address,
				bh_usec_t answered_at);

/**
 * bh_sched_leader_note_entry_lost() - the connection to another entry has
 * closed; it may reach the store, until bh_sched_leader_note_entry() names it
 */
void bh_sched_leader_note_entry_lost(bh_sched_leader_t *l, const char *address);

/**
 * bh_sched_leader_limit_grants() - bh_term_predecessor_grant_ms() has changed
 */
void bh_sched_leader_limit_grants(bh_sched_leader_t *l);

/**
 * bh_sched_leader_wants_evacuation() - whether its copy of the evacuated zones
 * is getting too old to start tasks
 */
bool bh_sched_leader_wants_evacuation(const bh_sched_leader_t *l);

/**
 * bh_sched_leader_evacuated_services() - services all of whose workers are in
 * evacuated zones
 * @out: set to their names, valid until the next event
 *
 * Return: how many of @out were set.
 */
uint32_t bh_sched_leader_evacuated_services(bh_sched_leader_t *l,
					    const char **out, uint32_t max);

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
 * bh_sched_leader_tick() - call every 100 ms
 */
void bh_sched_leader_tick(bh_sched_leader_t *l);
void bh_sched_leader_metrics(bh_sched_leader_t *l, GString *out);

#endif
