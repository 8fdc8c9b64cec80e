/*
 * Leader election by compare-and-swap on a row of the store. The leader renews
 * the row; another entry takes it over when it is vacant, when the holder's
 * process has ended, or when it has not been renewed for a while.
 */
#ifndef BH_DAEMON_TERM_H
#define BH_DAEMON_TERM_H

#include "daemon/runtime.h"
#include "platform/store.h"
#include "wire/sched_codec.h"

typedef struct bh_term bh_term_t;

/**
 * struct bh_term_ops - callbacks to the owner
 * @changed: another process leads, or none (@row->address is empty)
 * @won: this process leads, in @term
 * @lost: this process no longer leads
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
 * bh_term_tick() - campaign, renew or read the row; call every 100 ms
 */
void bh_term_tick(bh_term_t *t);
bool bh_term_is_leader(const bh_term_t *t);
uint64_t bh_term_number(const bh_term_t *t);

/**
 * enum bh_term_doubt - why the leader is suspect
 * @BH_TERM_SILENT: it does not respond
 * @BH_TERM_REFUSED: connections to its address are refused. Its process has
 *	probably ended, and its row may be taken over at once; but a partition
 *	may refuse them too, behind which it still grants leases.
 * @BH_TERM_ENDED: the next process at its address says that it does not lead:
 *	the leader grants no more leases
 */
typedef enum bh_term_doubt {
	BH_TERM_SILENT,
	BH_TERM_REFUSED,
	BH_TERM_ENDED,
} bh_term_doubt_t;

/**
 * bh_term_suspect() - the leader does not respond
 *
 * BH_TERM_ENDED holds until another leader is known.
 */
void bh_term_suspect(bh_term_t *t, bh_term_doubt_t why);

/**
 * bh_term_note_leader_ping() - the leader responds
 * @renewed_ago_ms: age of its last confirmation by the store
 */
void bh_term_note_leader_ping(bh_term_t *t, int64_t renewed_ago_ms);

/**
 * bh_term_note_follower() - the process at @address follows this leader: if it
 * is the predecessor, or its next process, the predecessor grants no more
 * leases
 *
 * Return: whether bh_term_predecessor_grant_ms() has changed.
 */
bool bh_term_note_follower(bh_term_t *t, const char *address);

/**
 * bh_term_observe() - another process reported this term
 */
void bh_term_observe(bh_term_t *t, uint64_t term);

/**
 * bh_term_row() - the leader's row as far as this process knows it
 */
const bh_leader_row_t *bh_term_row(const bh_term_t *t);

/**
 * bh_term_is_vacant() - whether no process leads as far as this entry
 * knows: the row names none, or an earlier run of this process
 */
bool bh_term_is_vacant(const bh_term_t *t);

/**
 * bh_term_adopt() - another entry knows this leader; ignored unless its term is
 * later than any known one
 *
 * Stands in for a read of the row while the store rejects this host. A campaign
 * still needs the row's version, so that it fails until the row is read.
 */
void bh_term_adopt(bh_term_t *t, const bh_leader_row_t *row);

/**
 * enum bh_term_commit_result - outcome of a transaction of the leader
 * @BH_TERM_STORED: it is stored
 * @BH_TERM_RETRY: it is not stored, or its outcome is unknown: run it again
 * @BH_TERM_LOST: another process leads
 */
typedef enum bh_term_commit_result {
	BH_TERM_STORED,
	BH_TERM_RETRY,
	BH_TERM_LOST,
} bh_term_commit_result_t;

typedef void (*bh_term_cb_t)(void *user, bh_term_commit_result_t result);

/**
 * bh_term_can_commit() - whether this process leads, and no other transaction
 * is in flight or has an unknown outcome
 */
bool bh_term_can_commit(const bh_term_t *t);

/**
 * bh_term_commit() - run a transaction that fails if another process leads
 */
void bh_term_commit(bh_term_t *t, bh_store_tx_t *tx, bh_term_cb_t cb,
		    void *user);

/**
 * bh_term_cancel_callback() - drop the callback of the commit in flight
 */
void bh_term_cancel_callback(bh_term_t *t);

/**
 * bh_term_confirmed_ago_ms() - age of the last transaction that proved that
 * this process leads
 */
/**
 * bh_term_confirmed_at() - when the last transaction that succeeded was sent:
 * until then no other process had won an election
 */
bh_usec_t bh_term_confirmed_at(const bh_term_t *t);
int64_t bh_term_confirmed_ago_ms(const bh_term_t *t);

/**
 * bh_term_row_written_ago_ms() - age of the last stored renewal, from which a
 * successor counts
 */
int64_t bh_term_row_written_ago_ms(const bh_term_t *t);

/**
 * bh_term_row_is_usable() - whether an entry that leads can have written a row
 */
bool bh_term_row_is_usable(const bh_leader_row_t *row);

/**
 * bh_term_predecessor_grant_ms() - how long earlier leaders may go on granting
 * leases, counted from when this process won the election, or from the last
 * bh_term_note_follower() that has changed it
 */
int64_t bh_term_predecessor_grant_ms(const bh_term_t *t);

/**
 * bh_term_is_confirmed() - whether the store has confirmed this leader
 *
 * False after a pause of the process or a report of a later term, until the
 * next stored transaction, and from the call to bh_term_resign() on.
 */
bool bh_term_is_confirmed(const bh_term_t *t);

/**
 * bh_term_resign() - give up leadership before a planned shutdown
 */
void bh_term_resign(bh_term_t *t);

#endif
