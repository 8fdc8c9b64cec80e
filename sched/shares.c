#include "sched/shares.h"

bool bh_shares_defers_serving(int64_t waited_ms)
{
	return waited_ms < BH_SERVING_DEFERRED_MS;
}
