#include "sched/shares.h"
#include "sched/forecast.h"

/* Part of the capacity that each group may have before all others, whatever its
 * priority. It costs the others at most this much for each group that starves.
 */
#define MIN_SHARE_PERCENT 5

/* A group whose tasks have waited for less does not starve: a job with no
 * running task gets capacity within 3 s if there is any. */
#define STARVES_AFTER_MS 3000

/* A job with more processor time than this is a large one of its queue: half a
 * minute of a core. */
#define LARGE_WORK_MS 30000

#define DIMENSIONS 3

bool bh_shares_defers_serving(int64_t waited_ms)
{
	return waited_ms < BH_SERVING_DEFERRED_MS;
}

static uint32_t hash(uint32_t dimension, const char *name)
{
	return g_str_hash(name) * 31 + dimension;
}

/* A job from a caller in an unknown zone has no group for it. */
static uint32_t list_keys(const bh_job_t *job, uint32_t keys[DIMENSIONS])
{
	uint64_t work;

	bh_job_work_kind(job, &work);
	keys[0] = hash(0, job->queue);
	keys[1] = hash(work > LARGE_WORK_MS ? 1 : 2, job->queue);
	if (!job->zone || !*job->zone)
		return 2;
	keys[2] = hash(3, job->zone);
	return 3;
}

static bh_share_t *find(const bh_shares_t *shares, uint32_t key)
{
	for (uint32_t i = 0; i < shares->n; i++) {
		if (shares->groups[i].key == key)
			return (bh_share_t *)&shares->groups[i];
	}
	return NULL;
}

void bh_shares_init(bh_shares_t *shares, uint64_t capacity_milli)
{
	shares->n = 0;
	shares->min_milli = capacity_milli * MIN_SHARE_PERCENT / 100;
}

void bh_shares_add(bh_shares_t *shares, const bh_job_t *job,
		   uint64_t running_milli, uint64_t waiting_milli,
		   int64_t waited_ms)
{
	uint32_t keys[DIMENSIONS];
	uint32_t n = list_keys(job, keys);

	for (uint32_t i = 0; i < n; i++) {
		bh_share_t *share = find(shares, keys[i]);

		if (!share && shares->n == BH_SHARES_MAX)
			continue;
		if (!share) {
			share = &shares->groups[shares->n++];
			*share = (bh_share_t){.key = keys[i], .waited_ms = -1};
		}
		share->running_milli += running_milli;
		share->waiting_milli += waiting_milli;
		share->waited_ms = MAX(share->waited_ms, waited_ms);
	}
}

bool bh_shares_has_room(const bh_shares_t *shares, const bh_job_t *job)
{
	uint32_t keys[DIMENSIONS];
	uint32_t n = list_keys(job, keys);
	uint64_t wanted =
		(uint64_t)job->steps[0].count * job->steps[0].cpu_milli;

	for (uint32_t i = 0; i < n; i++) {
		const bh_share_t *share = find(shares, keys[i]);
		uint64_t used =
			share ? share->running_milli + share->waiting_milli : 0;

		if (used + wanted <= shares->min_milli)
			return true;
	}
	return false;
}

bool bh_shares_is_short(const bh_shares_t *shares, const bh_job_t *job)
{
	uint32_t keys[DIMENSIONS];
	uint32_t n = list_keys(job, keys);

	for (uint32_t i = 0; i < n; i++) {
		const bh_share_t *share = find(shares, keys[i]);

		if (share && share->waited_ms >= STARVES_AFTER_MS &&
		    share->running_milli < shares->min_milli)
			return true;
	}
	return false;
}

bool bh_shares_is_above(const bh_shares_t *shares, const bh_job_t *job,
			uint64_t running_milli)
{
	uint32_t keys[DIMENSIONS];
	uint32_t n = list_keys(job, keys);

	for (uint32_t i = 0; i < n; i++) {
		const bh_share_t *share = find(shares, keys[i]);

		if (!share ||
		    share->running_milli < shares->min_milli + running_milli)
			return false;
	}
	return true;
}
