/*
 * The entries' common view: the configuration, who leads, and the link to the
 * leader. Entries pass configurations on to each other over these links, so
 * that one whom the store turns away has them too.
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
 * bh_hub_loads() - the leader's predicted waits
 * @age_ms: set to their age
 */
uint32_t bh_hub_loads(const bh_hub_t *hub, const bh_backlog_t **out,
		      int64_t *age_ms);

/**
 * bh_hub_query_state() - ask the leader for a job's state
 *
 * @cb is called once, perhaps from inside this call; without an answer when
 * there is no leader or it does not answer in time.
 */
void bh_hub_query_state(bh_hub_t *hub, const char *id, bh_hub_query_cb_t cb,
			void *user);
void bh_hub_query_pending(bh_hub_t *hub, const char *queue,
			  bh_hub_query_cb_t cb, void *user);

/**
 * bh_hub_notify_job() - the leader should know of this job now
 */
void bh_hub_notify_job(bh_hub_t *hub, const void *data, size_t len);

/**
 * bh_hub_relay() - the store, by this entry or through the leader
 */
bh_relay_t *bh_hub_relay(bh_hub_t *hub);
void bh_hub_resign(bh_hub_t *hub);
void bh_hub_metrics(bh_hub_t *hub, GString *out);

#endif
