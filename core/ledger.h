/*
 * Resource accounting of one worker: resources are reserved before a task is
 * started and released only when the worker has confirmed that it ended.
 */
#ifndef BH_CORE_LEDGER_H
#define BH_CORE_LEDGER_H

#include "core/msg.h"

typedef struct bh_ledger bh_ledger_t;

typedef enum bh_reserve_result {
	BH_RESERVE_OK,
	BH_RESERVE_NOT_READY, /* the worker has not listed its tasks yet */
	BH_RESERVE_STALE,     /* reserved now, or before with no lower epoch */
	BH_RESERVE_FULL,
} bh_reserve_result_t;

bh_ledger_t *bh_ledger_new(void);
void bh_ledger_free(bh_ledger_t *ledger);

/**
 * bh_ledger_set_capacity() - set the worker's capacity and allow reservations
 */
void bh_ledger_set_capacity(bh_ledger_t *ledger, const bh_resources_t *cap);
bool bh_ledger_is_ready(const bh_ledger_t *ledger);
const bh_resources_t *bh_ledger_capacity(const bh_ledger_t *ledger);
const bh_resources_t *bh_ledger_reserved(const bh_ledger_t *ledger);

bh_reserve_result_t bh_ledger_reserve(bh_ledger_t *ledger, const char *id,
				      uint32_t epoch,
				      const bh_resources_t *need);

/**
 * bh_ledger_adopt() - reserve for a task that the worker already runs, even
 * beyond capacity
 */
void bh_ledger_adopt(bh_ledger_t *ledger, const char *id, uint32_t epoch,
		     const bh_resources_t *need);

/**
 * bh_ledger_release() - release after the worker confirmed the end of the task
 */
void bh_ledger_release(bh_ledger_t *ledger, const char *id, uint32_t epoch);

/**
 * bh_resources_fit() - whether @need fits in what @used leaves of @capacity
 */
bool bh_resources_fit(const bh_resources_t *need, const bh_resources_t *used,
		      const bh_resources_t *capacity);
void bh_resources_add(bh_resources_t *sum, const bh_resources_t *r);

/**
 * bh_resources_sub() - subtract, not below 0
 */
void bh_resources_sub(bh_resources_t *sum, const bh_resources_t *r);

#endif
