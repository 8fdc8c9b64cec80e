/*
 * An entry's access to the store: directly, or through the leader while the
 * store rejects this host but serves others.
 */
#ifndef BH_DAEMON_RELAY_H
#define BH_DAEMON_RELAY_H

#include "daemon/link.h"
#include "platform/store.h"

typedef struct bh_relay bh_relay_t;

bh_relay_t *bh_relay_new(bh_store_t *store);

/**
 * bh_relay_free() - drop calls in flight without their callbacks; the store has
 * to be closed first
 */
void bh_relay_free(bh_relay_t *relay);

/**
 * bh_relay_set_leader() - link to the leader, or NULL without one; calls in
 * flight on the previous link count as unanswered from the next tick on
 */
void bh_relay_set_leader(bh_relay_t *relay, bh_link_t *leader);

/**
 * bh_relay_get() - read a row
 *
 * The reply holds no row if there is none.
 */
void bh_relay_get(bh_relay_t *relay, const char *table, const char *key,
		  int64_t timeout_ms, bh_store_cb_t cb, void *user);

/**
 * bh_relay_put() - write a row if it has this version, 0 if it does not exist
 *
 * The reply is BH_STORE_UNKNOWN, and not BH_STORE_REFUSED, if either path may
 * have done the write.
 */
void bh_relay_put(bh_relay_t *relay, const char *table, const char *key,
		  uint64_t version, GBytes *value, int64_t timeout_ms,
		  bh_store_cb_t cb, void *user);

/**
 * bh_relay_on_answer() - the leader's answer to a call
 */
void bh_relay_on_answer(bh_relay_t *relay,
			const Bh__Sched__StoreAnswer *answer);

/**
 * bh_relay_serve() - leader side: make a call on behalf of another entry
 */
void bh_relay_serve(bh_relay_t *relay, bh_link_t *peer,
		    const Bh__Sched__StoreCall *call);

/**
 * bh_relay_drop_peer() - send no more answers on this link
 */
void bh_relay_drop_peer(bh_relay_t *relay, const bh_link_t *peer);

/**
 * bh_relay_tick() - time out calls that the leader has not answered; call every
 * 100 ms
 */
void bh_relay_tick(bh_relay_t *relay, bh_usec_t now);

#endif
