#include "daemon/drain.h"

/* How long a draining entry goes on accepting connections: the load balancer
 * sends them until about two checks have failed after the first 503. */
#define OPEN_US (3000 * BH_USEC_PER_MS)

/* Time for an answer to reach the socket; an exit in the same iteration of the
 * event loop would discard it. */
#define FLUSH_US (200 * BH_USEC_PER_MS)

bool bh_drain_is_done(const bh_drain_t *drain, bh_usec_t now)
{
	if (now - drain->since > drain->limit_us)
		return true;
	return now - drain->since > OPEN_US && drain->in_flight == 0 &&
	       now - drain->answered_at > FLUSH_US;
}
