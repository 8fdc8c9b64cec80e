#include "sched/holds.h"

/* Retry-After is in whole seconds, and a caller that comes back by its own
 * clock may be early by as much. */
#define EARLY_US BH_USEC_PER_SEC

/* A caller that has not come back this long after it was told to has given up:
 * a second for the rounding of Retry-After, one for a retry that was lost. */
#define LATE_US (2 * BH_USEC_PER_SEC)

uint64_t bh_hold_id(const char *id)
{
	return bh_job_id_is_valid(id) ? g_ascii_strtoull(id, NULL, 16) : 0;
}

static bh_hold_t *find(bh_holds_t *holds, uint64_t id)
{
	for (uint32_t i = 0; i < holds->n; i++) {
		if (holds->items[i].id == id)
			return &holds->items[i];
	}
	return NULL;
}

static bool is_expired(const bh_hold_t *hold, bh_usec_t now)
{
	return now > hold->returns_at + LATE_US;
}

void bh_holds_expire(bh_holds_t *holds, bh_usec_t now)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < holds->n; i++) {
		if (!is_expired(&holds->items[i], now))
			holds->items[kept++] = holds->items[i];
	}
	holds->n = kept;
}

void bh_holds_add(bh_holds_t *holds, const bh_hold_t *hold, bh_usec_t now)
{
	bh_hold_t *known = find(holds, hold->id);

	if (!known && holds->n == BH_HOLDS_MAX)
		bh_holds_expire(holds, now);
	if (!known && holds->n == BH_HOLDS_MAX)
		return;
	if (!known)
		known = &holds->items[holds->n++];
	*known = *hold;
}

const bh_hold_t *bh_holds_refuse(bh_holds_t *holds, const bh_job_t *job,
				 uint64_t retry_after_ms, bh_usec_t now)
{
	bh_hold_t hold = {
		.id = bh_hold_id(job->id),
		.priority = job->terms.priority,
		.refused_at = now,
		.returns_at = now + (bh_usec_t)retry_after_ms * BH_USEC_PER_MS,
		.refusals = 1,
	};
	const bh_hold_t *known = find(holds, hold.id);
	uint64_t path = bh_job_critical_path_ms(job);
	uint64_t objective = bh_job_objective_ms(job, path);

	hold.kind = bh_job_work_kind(job, &hold.work_ms);
	if (known && !is_expired(known, now)) {
		hold.refused_at = known->refused_at;
		hold.refusals = known->refusals + 1;
	}
	/* Estimates are wrong by a factor of up to two, so that only half of
	 * the slack is relied on. */
	hold.due_at =
		hold.refused_at +
		((bh_usec_t)objective - (bh_usec_t)path) / 2 * BH_USEC_PER_MS;
	bh_holds_add(holds, &hold, now);
	return find(holds, hold.id);
}

const bh_hold_t *bh_holds_find(const bh_holds_t *holds, const char *id,
			       bh_usec_t now)
{
	const bh_hold_t *hold = find((bh_holds_t *)holds, bh_hold_id(id));

	if (!hold || now < hold->returns_at - EARLY_US || is_expired(hold, now))
		return NULL;
	return hold;
}

void bh_holds_remove(bh_holds_t *holds, const char *id)
{
	bh_hold_t *hold = find(holds, bh_hold_id(id));

	if (hold)
		*hold = holds->items[--holds->n];
}

uint64_t bh_holds_ahead_ms(const bh_holds_t *holds, bh_work_kind_t kind,
			   uint32_t priority, bh_usec_t until)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < holds->n; i++) {
		const bh_hold_t *hold = &holds->items[i];

		if (hold->kind == kind && hold->priority <= priority &&
		    hold->returns_at <= MIN(until, hold->due_at))
			work += hold->work_ms;
	}
	return work;
}
