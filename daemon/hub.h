/*
 * State that the entries share: the configuration, the current leader, and the
 * link to it. Entries forward configurations to each other over these links, so
 * that an entry that the store rejects gets them too.
 */
#ifndef BH_DAEMON_HUB_H
#define BH_DAEMON_HUB_H

#include "daemon/relay.h"
#include "daemon/sched_leader.h"

typedef struct bh_hub bh_hub_t;

typedef void (*bh_hub_query_cb_t)(void *user, bool is_answered,
				  bh_job_state_t state, uint32_t pending);

bh_hub_t *bh_hub_start(bh_runtime_t *rt, bh_store_t *store);
void bh_hub_free(bh_hub_t *hub);

/**
 * bh_hub_config() - the newest configuration, NULL before the first
 */
const bh_config_t *bh_hub_config(const bh_hub_t *hub);

/**
 * bh_hub_loads() - predicted waits by priority, as the leader last sent them
 * @age_ms: set to their age
 *
 * Return: the number of rows at @out, which belong to the hub.
 */
uint32_t bh_hub_loads(const bh_hub_t *hub, const bh_backlog_t **out,
		      int64_t *age_ms);

/**
 * bh_hub_predictions() - learned run times, as the leader last sent them
 */
const bh_predictions_t *bh_hub_predictions(const bh_hub_t *hub);

/**
 * bh_hub_query_state() - ask the leader for a job's state
 *
 * @cb is called once, possibly before this function returns. is_answered is
 * false if there is no leader, it does not answer in time, or it cannot answer
 * yet.
 */
void bh_hub_query_state(bh_hub_t *hub, const char *id, bh_hub_query_cb_t cb,
			void *user);
void bh_hub_query_pending(bh_hub_t *hub, const char *queue,
			  bh_hub_query_cb_t cb, void *user);

/**
 * bh_hub_notify_job() - send a stored job, or its cancellation, to the leader
 *
 * Best effort: the leader also reads the jobs table.
 */
void bh_hub_notify_job(bh_hub_t *hub, const void *data, size_t len);

/**
 * bh_hub_relay() - access to the store, directly or through the leader
 */
bh_relay_t *bh_hub_relay(bh_hub_t *hub);
void bh_hub_resign(bh_hub_t *hub);
void bh_hub_metrics(bh_hub_t *hub, GString *out);

#endif
