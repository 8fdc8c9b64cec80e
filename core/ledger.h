/*
 * A worker's resource ledger: a start is reserved before it is made and
 * released only when the worker confirmed the stop.
 */
#ifndef BH_CORE_LEDGER_H
#define BH_CORE_LEDGER_H

#include "core/msg.h"

typedef struct bh_ledger bh_ledger_t;

typedef enum bh_reserve_result {
	BH_RESERVE_OK,
	BH_RESERVE_NOT_READY, /* the worker's own list is not known yet */
	BH_RESERVE_STALE,     /* an equal or higher epoch was reserved before */
	BH_RESERVE_FULL,
} bh_reserve_result_t;

bh_ledger_t *bh_ledger_new(void);
void bh_ledger_free(bh_ledger_t *ledger);

/**
 * bh_ledger_set_capacity() - what the worker can carry; makes it ready
 */
void bh_ledger_set_capacity(bh_ledger_t *ledger, const bh_resources_t *cap);
bool bh_ledger_is_ready(const bh_ledger_t *ledger);
const bh_resources_t *bh_ledger_capacity(const bh_ledger_t *ledger);
const bh_resources_t *bh_ledger_reserved(const bh_ledger_t *ledger);

bh_reserve_result_t bh_ledger_reserve(bh_ledger_t *ledger, const char *id,
				      uint32_t epoch,
				      const bh_resources_t *need);

/**
 * bh_ledger_adopt() - book what the worker already holds, even beyond capacity
 */
void bh_ledger_adopt(bh_ledger_t *ledger, const char *id, uint32_t epoch,
		     const bh_resources_t *need);

/**
 * bh_ledger_release() - the worker confirmed that the task holds nothing
 */
void bh_ledger_release(bh_ledger_t *ledger, const char *id, uint32_t epoch);

bool bh_resources_fit(const bh_resources_t *need, const bh_resources_t *used,
		      const bh_resources_t *capacity);
void bh_resources_add(bh_resources_t *sum, const bh_resources_t *r);
void bh_resources_sub(bh_resources_t *sum, const bh_resources_t *r);

#endif
