/*
 * The store as an entry reaches it: by itself, or through the leader while the
 * store turns this host away and serves others.
 */
#ifndef BH_DAEMON_RELAY_H
#define BH_DAEMON_RELAY_H

#include "daemon/link.h"
#include "platform/store.h"

typedef struct bh_relay bh_relay_t;

bh_relay_t *bh_relay_new(bh_store_t *store);

/**
 * bh_relay_free() - callbacks still due are not called; the store has to be
 * closed before
 */
void bh_relay_free(bh_relay_t *relay);

/**
 * bh_relay_set_leader() - link to the leader, or NULL without one; calls that
 * wait on the link before end without an answer
 */
void bh_relay_set_leader(bh_relay_t *relay, bh_link_t *leader);

/**
 * bh_relay_get() - read a row
 *
 * The reply holds the row, or none.
 */
void bh_relay_get(bh_relay_t *relay, const char *table, const char *key,
		  int64_t timeout_ms, bh_store_cb_t cb, void *user);

/**
 * bh_relay_put() - write a row if it has a version; 0: if there is none
 *
 * The reply is BH_STORE_UNKNOWN when any way that was tried left it open.
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
 * bh_relay_serve() - the leader's side: make a call for another entry
 */
void bh_relay_serve(bh_relay_t *relay, bh_link_t *peer,
		    const Bh__Sched__StoreCall *call);

/**
 * bh_relay_drop_peer() - no answers to this link any longer
 */
void bh_relay_drop_peer(bh_relay_t *relay, const bh_link_t *peer);

/**
 * bh_relay_tick() - end calls that the leader does not answer; every 100 ms
 */
void bh_relay_tick(bh_relay_t *relay, bh_usec_t now);

#endif
