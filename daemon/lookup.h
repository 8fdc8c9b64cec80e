/*
 * Finds the current leader, and the newest configuration, through other entries
 * while neither the store nor a leader can be asked: a former leader that the
 * store rejects, or an entry whose leader has ended meanwhile.
 */
#ifndef BH_DAEMON_LOOKUP_H
#define BH_DAEMON_LOOKUP_H

#include "daemon/link.h"

typedef struct bh_lookup bh_lookup_t;

/**
 * struct bh_lookup_ops - callbacks to the owner
 * @opened: a link to another entry is open; the owner sends its questions
 * @frame: a frame from that entry
 */
typedef struct bh_lookup_ops {
	void (*opened)(void *ctx, bh_link_t *link);
	void (*frame)(void *ctx, bh_link_t *link, const bh_frame_t *frame);
} bh_lookup_ops_t;

bh_lookup_t *bh_lookup_new(bh_runtime_t *rt, const bh_lookup_ops_t *ops,
			   void *ctx);
void bh_lookup_free(bh_lookup_t *l);

/**
 * bh_lookup_add() - an entry has this address for frames
 *
 * The own address and addresses that are known are ignored.
 */
void bh_lookup_add(bh_lookup_t *l, const char *address);

/**
 * bh_lookup_clear() - forget all addresses
 */
void bh_lookup_clear(bh_lookup_t *l);

/**
 * bh_lookup_tick() - open and close links; call every 100 ms
 * @is_needed: whether to open further ones
 */
void bh_lookup_tick(bh_lookup_t *l, bool is_needed, bh_usec_t now);

#endif
