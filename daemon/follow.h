/*
 * Follows a table of the store: reads it once, then waits for changes by long
 * polls that are short enough for a silent connection to be noticed.
 */
#ifndef BH_DAEMON_FOLLOW_H
#define BH_DAEMON_FOLLOW_H

#include "daemon/runtime.h"
#include "platform/store.h"

typedef struct bh_follow bh_follow_t;

/**
 * struct bh_follow_ops - what the owner hears
 * @row: a row as it is now, or that it is gone
 * @loaded: all rows that were there at the start have been passed on
 */
typedef struct bh_follow_ops {
	void (*row)(void *ctx, const bh_store_row_t *row);
	void (*loaded)(void *ctx);
} bh_follow_ops_t;

bh_follow_t *bh_follow_new(bh_runtime_t *rt, bh_store_t *store,
			   const char *table, int64_t wait_ms,
			   const bh_follow_ops_t *ops, void *ctx);
void bh_follow_free(bh_follow_t *f);

/**
 * bh_follow_answered_ago_ms() - age of the store's last answer
 */
int64_t bh_follow_answered_ago_ms(const bh_follow_t *f);

#endif
