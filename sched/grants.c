#include "sched/grants.h"

bool bh_grant_is_allowed(const bh_grant_view_t *view)
{
	if (!view->is_confirmed ||
	    view->renewed_ago_ms >= BH_GRANT_AFTER_RENEWAL_MS)
		return false;
	return view->renewed_ago_ms < BH_GRANT_IN_DOUBT_MS ||
	       view->others_reached_ago_ms > BH_GRANT_IN_DOUBT_MS;
}

int64_t bh_grant_remaining_ms(int64_t unchanged_ms)
{
	const int64_t slow = 100 - BH_GRANT_DRIFT_PERCENT;
	int64_t longest = (BH_GRANT_AFTER_RENEWAL_MS * 100 + slow - 1) / slow;

	return MAX(longest - unchanged_ms, 0);
}

bh_usec_t bh_grants_over_at(bh_usec_t replaced_at)
{
	return replaced_at + bh_grant_remaining_ms(0) * BH_USEC_PER_MS;
}
