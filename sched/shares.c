#include "sched/shares.h"

/* A serving task has to run within 6 s if twice the capacity that it needs is
 * free. The rest of this time is for its start, which takes up to 2 s, and for
 * one start that is refused or gets no answer. */
#define SERVING_DEFERRED_MS 2000

bool bh_shares_defers_serving(int64_t waited_ms)
{
	return waited_ms < SERVING_DEFERRED_MS;
}
