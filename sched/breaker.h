/*
 * Whether a call is worth making to something that has failed lately. Answers
 * an outage of the store under load: callers are turned away at once, instead
 * of each being held until its own calls have failed. A store that gives no
 * answer at all would leave every write that is tried unclear, so that reads
 * find out when the outage is over, and no caller's write.
 */
#ifndef BH_SCHED_BREAKER_H
#define BH_SCHED_BREAKER_H

#include "core/types.h"

/**
 * struct bh_breaker - zeroed, it allows every call
 * @failing_since: when the first call began that failed since the last success
 */
typedef struct bh_breaker {
	bool is_open;
	bh_usec_t last_success_at;
	bh_usec_t failing_since;
	bh_usec_t probed_at;
} bh_breaker_t;

/**
 * bh_breaker_allows() - ask before each call
 *
 * Return: false when the call would most likely fail.
 */
bool bh_breaker_allows(const bh_breaker_t *b);

/**
 * bh_breaker_probe_is_due() - whether to make a read that finds out
 *
 * Return: true at most once in BH_BREAKER_PROBE_MS, while the breaker is open.
 */
bool bh_breaker_probe_is_due(bh_breaker_t *b, bh_usec_t now);

/**
 * bh_breaker_check_pending() - a call that began at @began has no answer yet
 *
 * Return: whether the breaker opened by it.
 */
bool bh_breaker_check_pending(bh_breaker_t *b, bh_usec_t began, bh_usec_t now);

/**
 * bh_breaker_is_overdue() - whether a call's answer is no longer to be expected
 */
bool bh_breaker_is_overdue(bh_usec_t began, bh_usec_t now);

/**
 * bh_breaker_record() - a call that began at @began ended
 *
 * Return: whether the breaker opened or closed by it.
 */
bool bh_breaker_record(bh_breaker_t *b, bool is_ok, bh_usec_t began,
		       bh_usec_t now);

#define BH_BREAKER_PROBE_MS 200

#endif
