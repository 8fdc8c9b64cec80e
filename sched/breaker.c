#include "sched/breaker.h"

/* Calls that all fail for this long indicate an outage: an answer normally
 * takes a few ms, and a retry follows after 60 ms. */
#define OPEN_AFTER_US (100 * BH_USEC_PER_MS)

/* A store that is 150 times slower than usual still answers within this time.
 */
#define ANSWER_TIMEOUT_US (1200 * BH_USEC_PER_MS)

bool bh_breaker_allows(const bh_breaker_t *b)
{
	return !b->is_open;
}

bool bh_breaker_probe_is_due(bh_breaker_t *b, bh_usec_t now)
{
	if (!b->is_open ||
	    now - b->probed_at < BH_BREAKER_PROBE_MS * BH_USEC_PER_MS)
		return false;
	b->probed_at = now;
	return true;
}

bool bh_breaker_is_overdue(bh_usec_t began, bh_usec_t now)
{
	return now - began >= ANSWER_TIMEOUT_US;
}

bool bh_breaker_check_pending(bh_breaker_t *b, bh_usec_t began, bh_usec_t now)
{
	if (b->is_open || b->last_success_at > began ||
	    !bh_breaker_is_overdue(began, now))
		return false;
	b->is_open = true;
	return true;
}

bool bh_breaker_record(bh_breaker_t *b, bool is_ok, bh_usec_t began,
		       bh_usec_t now)
{
	bool was_open = b->is_open;

	if (is_ok) {
		b->is_open = false;
		b->failing_since = 0;
		b->last_success_at = now;
		return was_open;
	}
	/* Another call has succeeded since this one began. */
	if (b->last_success_at > began)
		return false;
	if (!b->failing_since)
		b->failing_since = began;
	if (now - b->failing_since >= OPEN_AFTER_US)
		b->is_open = true;
	return b->is_open != was_open;
}
