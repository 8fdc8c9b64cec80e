#include "sched/late_acks.h"

#include <string.h>

void bh_late_acks_clear(bh_late_acks_t *acks)
{
	g_free(acks->worker);
	memset(acks, 0, sizeof(*acks));
}

/* One is kept: each is sent later than those before it, and they are for the
 * same process or for one that began earlier. */
void bh_late_acks_add(bh_late_acks_t *acks, const char *worker, uint64_t boot,
		      bh_usec_t sent_at)
{
	bh_late_acks_clear(acks);
	acks->worker = g_strdup(worker);
	acks->boot = boot;
	acks->sent_at = sent_at;
}

bool bh_late_acks_may_reach(const bh_late_acks_t *acks, const char *worker,
			    uint64_t boot, bh_usec_t now)
{
	if (!acks->worker || acks->boot == boot)
		return false;
	if (worker && strcmp(acks->worker, worker) != 0)
		return false;
	return now - acks->sent_at <= BH_LATE_CALL_MAX_US;
}
