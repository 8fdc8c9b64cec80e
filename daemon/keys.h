/*
 * Stores the claims of idempotency keys in the table service.
 */
#ifndef BH_DAEMON_KEYS_H
#define BH_DAEMON_KEYS_H

#include "core/claims.h"
#include "daemon/runtime.h"
#include "platform/table.h"

typedef struct bh_keys bh_keys_t;

/**
 * struct bh_keys_ops - see struct bh_claims_ops
 */
typedef struct bh_keys_ops {
	void (*claimed)(void *ctx, bh_request_t *request,
			const bh_result_t *result);
	void (*settled)(void *ctx, bh_request_t *request);
} bh_keys_ops_t;

bh_keys_t *bh_keys_new(bh_runtime_t *rt, bh_table_t *table,
		       const bh_keys_ops_t *ops, void *ctx);
void bh_keys_free(bh_keys_t *keys);
bh_claims_t *bh_keys_claims(bh_keys_t *keys);

#endif
