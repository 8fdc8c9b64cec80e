#include "sched/config_sync.h"

bool bh_config_sync_must_ask(bh_config_sync_t *sync, uint64_t own,
			     uint64_t reported, bool is_store_lost,
			     bh_usec_t now)
{
	if (reported <= own)
		return false;
	if (!sync->behind_since)
		sync->behind_since = now;
	if (!is_store_lost &&
	    now - sync->behind_since < BH_CONFIG_READ_MS * BH_USEC_PER_MS)
		return false;
	if (sync->asked_at &&
	    now - sync->asked_at < BH_CONFIG_COPY_MS * BH_USEC_PER_MS)
		return false;
	sync->asked_at = now;
	return true;
}

void bh_config_sync_applied(bh_config_sync_t *sync)
{
	sync->behind_since = 0;
	sync->asked_at = 0;
}
