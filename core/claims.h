/*
 * Idempotency keys: before a request with a key is dispatched, a row that
 * claims the key is written to the table service; afterwards the outcome is
 * written to the same row, where a caller's retry finds it through any entry.
 *
 * All claims and outcomes of an entry share commits. A commit without an answer
 * is sent again with the same rows: the expected versions make sure that it
 * takes effect at most once, and a row in conflict names the entry and request
 * that wrote it. Without the table service a request is refused with
 * BH_NOT_RUN; it never runs without a claim.
 *
 * Not thread-safe. Of the callbacks only @claimed may call back, and only
 * bh_claims_settle().
 */
#ifndef BH_CORE_CLAIMS_H
#define BH_CORE_CLAIMS_H

#include "core/entry.h"

#define BH_CLAIMS_BATCH_MAX	  128
#define BH_CLAIMS_PENDING_MAX	  8192
#define BH_CLAIM_POLL_MIN_US	  (50 * BH_USEC_PER_MS)
#define BH_CLAIM_POLL_MAX_US	  (500 * BH_USEC_PER_MS)
#define BH_CLAIM_RETRY_DELAY_US	  (100 * BH_USEC_PER_MS)
#define BH_CLAIM_ANSWER_MAX_BYTES (32u << 10)

typedef struct bh_claims bh_claims_t;

typedef enum bh_claim_state {
	BH_CLAIM_HELD,	      /* a request with the key may be in flight */
	BH_CLAIM_DONE,	      /* it ran; the answer is in the row */
	BH_CLAIM_DONE_UNKEPT, /* it ran; the answer was too large to store */
	BH_CLAIM_UNKNOWN,     /* it may have run; the outcome is unknown */
} bh_claim_state_t;

/**
 * struct bh_claim_row - a key's row in the table service
 * @version: 0 if the row does not exist
 * @entry: incarnation of the entry that claimed the key
 * @number: number of the request at that entry
 * @body_checksum: checksum of the request's body; the key must not be reused
 *	for a different body
 * @answer: NULL if empty or larger than BH_CLAIM_ANSWER_MAX_BYTES
 */
typedef struct bh_claim_row {
	char *key;
	uint64_t version;
	uint64_t entry;
	uint64_t number;
	uint64_t body_checksum;
	bh_claim_state_t state;
	uint32_t status;
	GBytes *answer;
} bh_claim_row_t;

/**
 * struct bh_claim_write - one row of a commit
 * @row: new content; its version is the expected version of the stored row
 */
typedef struct bh_claim_write {
	bh_claim_row_t row;
	bool is_delete;
} bh_claim_write_t;

typedef enum bh_claims_status {
	BH_CLAIMS_OK,
	BH_CLAIMS_CONFLICT,
	BH_CLAIMS_REFUSED,
	BH_CLAIMS_NO_ANSWER,
} bh_claims_status_t;

/**
 * struct bh_claims_ops - callbacks implemented by the owner
 * @commit: send one transaction; answered by bh_claims_committed()
 * @read: read one row; answered by bh_claims_read()
 * @claimed: report the outcome of a claim, see bh_entry_claimed()
 * @settled: report that a request's outcome was written, or can no longer be
 *	because the row has changed
 */
typedef struct bh_claims_ops {
	void (*commit)(void *ctx, const bh_claim_write_t *writes, size_t n);
	void (*read)(void *ctx, const char *key);
	void (*claimed)(void *ctx, bh_request_t *request,
			const bh_result_t *result);
	void (*settled)(void *ctx, bh_request_t *request);
} bh_claims_ops_t;

typedef struct bh_claims_counters {
	uint64_t claims;
	uint64_t commits;
	uint64_t commit_rows;
	uint64_t conflicts;
	uint64_t unclear;
	uint64_t replayed; /* answered with a stored outcome */
} bh_claims_counters_t;

/**
 * bh_claims_new() - create the claims of an entry
 * @incarnation: incarnation of the entry
 * @interval: minimum time between commits; 0 for no minimum
 */
bh_claims_t *bh_claims_new(uint64_t incarnation, bh_usec_t interval,
			   const bh_claims_ops_t *ops, void *ctx);
void bh_claims_free(bh_claims_t *claims);

/**
 * bh_claims_claim() - claim a request's key; @claimed reports the outcome
 */
void bh_claims_claim(bh_claims_t *claims, bh_request_t *request, bh_usec_t now);

/**
 * bh_claims_settle() - write the outcome of a claimed request
 */
void bh_claims_settle(bh_claims_t *claims, bh_request_t *request,
		      const bh_result_t *result);

/**
 * bh_claims_committed() - handle the outcome of the commit in flight
 * @rows: with BH_CLAIMS_CONFLICT, the rows whose version did not match
 * @version: with BH_CLAIMS_OK, the version of all rows written
 */
void bh_claims_committed(bh_claims_t *claims, bh_claims_status_t status,
			 const bh_claim_row_t *rows, size_t n, uint64_t version,
			 bh_usec_t now);

/**
 * bh_claims_read() - handle the outcome of a read
 * @row: the row, with version 0 if it does not exist; NULL if the read failed
 */
void bh_claims_read(bh_claims_t *claims, const char *key,
		    const bh_claim_row_t *row, bh_usec_t now);
void bh_claims_tick(bh_claims_t *claims, bh_usec_t now);
size_t bh_claims_pending(const bh_claims_t *claims);
const bh_claims_counters_t *bh_claims_counters(const bh_claims_t *claims);

#endif
