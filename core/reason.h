/*
 * Reasons why a request was refused or failed, with the name and HTTP status
 * that callers see.
 */
#ifndef BH_CORE_REASON_H
#define BH_CORE_REASON_H

#include "core/types.h"

typedef enum bh_reason {
	BH_REASON_NONE,
	BH_REASON_NO_SERVICE,
	BH_REASON_NO_ENDPOINT,
	BH_REASON_DRAINING,
	BH_REASON_TENANT_RATE,
	BH_REASON_TENANT_CONCURRENCY,
	BH_REASON_TOO_MANY_REQUESTS,
	BH_REASON_DEADLINE,
	BH_REASON_OVERLOADED,
	BH_REASON_AGENT_LOST,
	BH_REASON_RUNNER_LOST,
	BH_REASON_NEVER_SEEN,
	BH_REASON_ABANDONED,
	BH_REASON_CORRUPT_ANSWER,
	BH_REASON_STORE_UNAVAILABLE,
	BH_REASON_KEY_IN_USE,
	BH_REASON_KEY_UNKNOWN,
	BH_REASON_KEY_REUSED,
	BH_REASON_ANSWER_UNKEPT,
	BH_REASON_COUNT,
} bh_reason_t;

const char *bh_reason_name(bh_reason_t reason);
const char *bh_reason_text(bh_reason_t reason);
unsigned bh_reason_status(bh_reason_t reason);

#endif
