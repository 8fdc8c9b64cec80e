/*
 * Follows a table of the store: lists it once, then long-polls for changes. The
 * polls are short enough to notice a dead connection.
 */
#ifndef BH_DAEMON_FOLLOW_H
#define BH_DAEMON_FOLLOW_H

#include "daemon/runtime.h"
#include "platform/store.h"

typedef struct bh_follow bh_follow_t;

/**
 * struct bh_follow_ops - callbacks to the owner
 * @row: a row as it is now, or its deletion
 * @loaded: all rows that existed at the start have been delivered
 * @relisted: the table is read again from its start; may be NULL
 * @read: all rows up to a version of the store have been delivered, and those
 *	that were in the table at @read_at; 0: these may not all have been; may
 *	be NULL
 * @is_small: the table has few rows, which may be large: after a failed call it
 *	is listed again, as the feed would return each change since
 */
typedef struct bh_follow_ops {
	void (*row)(void *ctx, const bh_store_row_t *row);
	void (*loaded)(void *ctx);
	void (*relisted)(void *ctx);
	void (*read)(void *ctx, uint64_t version, bh_usec_t read_at);
	bool is_small;
} bh_follow_ops_t;

/**
 * bh_follow_new() - start to follow a table
 * @wait_ms: how long the store may hold a poll for changes
 */
bh_follow_t *bh_follow_new(bh_runtime_t *rt, bh_store_t *store,
			   const char *table, int64_t wait_ms,
			   const bh_follow_ops_t *ops, void *ctx);

/**
 * bh_follow_free() - stop; safe inside a callback
 */
void bh_follow_free(bh_follow_t *f);

/**
 * bh_follow_refresh() - read all changes up to now without waiting for the poll
 * that is under way; does nothing before the first listing is complete
 */
void bh_follow_refresh(bh_follow_t *f);

/**
 * bh_follow_current_at() - all rows that were in the table at this time have
 * been delivered
 */
bh_usec_t bh_follow_current_at(const bh_follow_t *f);

/**
 * bh_follow_answered_ago_ms() - age of the store's last successful answer, or
 * of @f before the first one
 */
int64_t bh_follow_answered_ago_ms(const bh_follow_t *f);

/**
 * bh_follow_has_answered() - whether the store has answered successfully
 */
bool bh_follow_has_answered(const bh_follow_t *f);

/**
 * bh_follow_is_store_lost() - whether the last call to the store failed
 */
bool bh_follow_is_store_lost(const bh_follow_t *f);

#endif
