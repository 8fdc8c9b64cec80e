#include "sched/grants.h"

bool bh_grant_is_allowed(const bh_grant_view_t *view)
{
	if (!view->is_confirmed ||
	    view->renewed_ago_ms >= BH_GRANT_AFTER_RENEWAL_MS)
		return false;
	return view->renewed_ago_ms < BH_GRANT_IN_DOUBT_MS ||
	       view->others_reached_ago_ms > BH_GRANT_IN_DOUBT_MS;
}

/* The longest that a time on another host's clock takes on the caller's. */
static int64_t on_own_clock_ms(int64_t ms)
{
	const int64_t slow = 100 - BH_GRANT_DRIFT_PERCENT;

	return (ms * 100 + slow - 1) / slow;
}

int64_t bh_grant_remaining_ms(int64_t unchanged_ms)
{
	return MAX(on_own_clock_ms(BH_GRANT_AFTER_RENEWAL_MS) - unchanged_ms,
		   0);
}

bh_usec_t bh_grants_over_at(bh_usec_t replaced_at)
{
	return replaced_at + bh_grant_remaining_ms(0) * BH_USEC_PER_MS;
}

bool bh_job_is_covered(bh_usec_t read_at, bh_usec_t led_at)
{
	return read_at - led_at <= BH_JOB_AFTER_RENEWAL_MS * BH_USEC_PER_MS;
}

bh_usec_t bh_jobs_over_at(bh_usec_t replaced_at)
{
	return replaced_at +
	       on_own_clock_ms(BH_JOB_AFTER_RENEWAL_MS) * BH_USEC_PER_MS;
}
