/*
 * Who leads: a row of the store, changed under a condition. The leader renews
 * it; an entry takes it when it is vacant, when its holder's process is gone,
 * or when it has not been renewed for a while.
 */
#ifndef BH_DAEMON_TERM_H
#define BH_DAEMON_TERM_H

#include "daemon/runtime.h"
#include "platform/store.h"
#include "wire/sched_codec.h"

typedef struct bh_term bh_term_t;

/**
 * struct bh_term_ops - what the owner hears
 * @changed: another process leads, or none (@row->address is empty)
 * @won: this process leads, in @term
 * @lost: it does not lead any longer
 */
typedef struct bh_term_ops {
	void (*changed)(void *ctx, const bh_leader_row_t *row);
	void (*won)(void *ctx, uint64_t term);
	void (*lost)(void *ctx, const char *why);
} bh_term_ops_t;

bh_term_t *bh_term_new(bh_runtime_t *rt, bh_store_t *store,
		       const bh_term_ops_t *ops, void *ctx);
void bh_term_free(bh_term_t *t);

/**
 * bh_term_tick() - call every 100 ms
 */
void bh_term_tick(bh_term_t *t);
bool bh_term_is_leader(const bh_term_t *t);
uint64_t bh_term_number(const bh_term_t *t);

/**
 * bh_term_suspect() - the leader does not answer
 * @is_gone: its process has ended: nobody listens at its address
 */
void bh_term_suspect(bh_term_t *t, bool is_gone);

/**
 * bh_term_note_leader_ping() - the leader answers, and renewed its row this
 * long ago
 */
void bh_term_note_leader_ping(bh_term_t *t, int64_t renewed_ago_ms);

/**
 * bh_term_observe() - another process knows of a later term
 */
void bh_term_observe(bh_term_t *t, uint64_t term);

/**
 * enum bh_term_commit_result - what became of a guarded transaction
 * @BH_TERM_STORED: it is stored
 * @BH_TERM_RETRY: it is not stored, or perhaps: do it again
 * @BH_TERM_LOST: another process leads
 */
typedef enum bh_term_commit_result {
	BH_TERM_STORED,
	BH_TERM_RETRY,
	BH_TERM_LOST,
} bh_term_commit_result_t;

typedef void (*bh_term_cb_t)(void *user, bh_term_commit_result_t result);

/**
 * bh_term_can_commit() - whether no other transaction is under way
 */
bool bh_term_can_commit(const bh_term_t *t);

/**
 * bh_term_commit() - run a transaction if this process still leads
 */
void bh_term_commit(bh_term_t *t, bh_store_tx_t *tx, bh_term_cb_t cb,
		    void *user);

/**
 * bh_term_cancel_callback() - the callback of a commit under way is not called
 */
void bh_term_cancel_callback(bh_term_t *t);

/**
 * bh_term_confirmed_ago_ms() - age of the last proof that this process leads
 */
int64_t bh_term_confirmed_ago_ms(const bh_term_t *t);

/**
 * bh_term_row_written_ago_ms() - age of the last renewal that is stored; a
 * successor counts from it
 */
int64_t bh_term_row_written_ago_ms(const bh_term_t *t);

/**
 * bh_term_predecessor_grant_ms() - as of the moment at which this process came
 * to lead, how long the leader before may have gone on granting leases
 */
int64_t bh_term_predecessor_grant_ms(const bh_term_t *t);

/**
 * bh_term_is_confirmed() - false after a pause, until the next proof, and from
 * the moment at which this process resigns
 */
bool bh_term_is_confirmed(const bh_term_t *t);

/**
 * bh_term_resign() - leave the post to others before a planned end
 */
void bh_term_resign(bh_term_t *t);

#endif
