/*
 * Circuit breaker for calls to the store. During an outage under load, callers
 * are refused at once instead of each waiting until its own calls have failed.
 * Whether the store is back is probed by reads, never by a caller's write: a
 * write that a silent store does not answer has an unknown outcome.
 */
#ifndef BH_SCHED_BREAKER_H
#define BH_SCHED_BREAKER_H

#include "core/types.h"

/**
 * struct bh_breaker - state of a breaker; if all zero it is closed and allows
 * calls
 * @last_success_at: when the last successful call ended
 * @failing_since: start of the first call that failed since the last success;
 *	0: none has
 */
typedef struct bh_breaker {
	bool is_open;
	bh_usec_t last_success_at;
	bh_usec_t failing_since;
	bh_usec_t probed_at;
} bh_breaker_t;

/**
 * bh_breaker_allows() - whether a call may be made
 *
 * Return: false while the breaker is open, as the call would most likely fail.
 */
bool bh_breaker_allows(const bh_breaker_t *b);

/**
 * bh_breaker_probe_is_due() - whether to send a read that probes for recovery
 *
 * Return: true at most once in BH_BREAKER_PROBE_MS, and only while the breaker
 * is open. The caller must then send the probe.
 */
bool bh_breaker_probe_is_due(bh_breaker_t *b, bh_usec_t now);

/**
 * bh_breaker_check_pending() - open the breaker if a pending call is overdue
 * @began: start of a call that has not been answered yet
 *
 * Return: whether this opened the breaker.
 */
bool bh_breaker_check_pending(bh_breaker_t *b, bh_usec_t began, bh_usec_t now);

/**
 * bh_breaker_is_overdue() - whether a call that began at @began has exceeded
 * the time in which even a slow store answers
 */
bool bh_breaker_is_overdue(bh_usec_t began, bh_usec_t now);

/**
 * bh_breaker_record() - record the result of a call that began at @began
 *
 * Return: whether this opened or closed the breaker.
 */
bool bh_breaker_record(bh_breaker_t *b, bool is_ok, bh_usec_t began,
		       bh_usec_t now);

/* Least interval between probes. */
#define BH_BREAKER_PROBE_MS 200

#endif
