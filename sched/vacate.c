/*
 * Moves runs out of evacuated availability zones.
 *
 * Load: a zone with a third of the hosts is evacuated while serving tasks
 * request most of the capacity. Serving tasks move one after another, as far as
 * their step may lack them and another host has room; checkpointing runs move
 * right after a checkpoint; others are left to end.
 */
#include "sched/sched_impl.h"

/* A task that was stopped or did not serve counts as unavailable for this long
 * afterwards. */
#define UNAVAILABLE_US (5500 * BH_USEC_PER_MS)

/* While another long-running task has waited for a host for less than this, no
 * task moves, as both may need the same room. One that has waited for longer
 * does not fit anywhere. */
#define WAIT_FOR_ROOM_US (3000 * BH_USEC_PER_MS)

/* Time after a checkpoint in which a move loses little work: one and a half
 * intervals between two reports. */
#define CHECKPOINT_FRESH_US (300 * BH_USEC_PER_MS)

/* After a run had to stay, its phase is not looked at for this long: the answer
 * is mostly the same for all its tasks, and a search looks at all hosts. */
#define STAY_RETRY_US (300 * BH_USEC_PER_MS)

/* A checkpointing run that has less left beside the time to restore it is left
 * to end. */
#define MOVE_OVERHEAD_MS 300

/* Whether reports have shown for long enough that the run serves. One on a host
 * that is cut off or silent, or that its worker does not list, may have ended.
 */
static bool has_served(const bh_run_t *run, bh_usec_t now)
{
	const bh_host_t *host = run->host;
	bh_usec_t since = run->serving_since;

	if (run->state != BH_RUN_ACTIVE || !since || run->reports_missed ||
	    !host->is_linked || now - host->heard_at >= BH_REPORT_AGE_MAX_US)
		return false;
	since = MAX(since, run->missed_at);
	since = MAX(since, host->linked_at);
	since = MAX(since, host->silent_until);
	return now - since >= UNAVAILABLE_US;
}

static bool is_available(const bh_task_t *task, bh_usec_t now)
{
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		const bh_run_t *run = task->runs[i];

		if (run && has_served(run, now))
			return true;
	}
	return false;
}

/* Whether one more task of a step may be unavailable; 0 sets no limit. */
static bool may_lack_one_more(const bh_phase_t *phase, bh_usec_t now)
{
	uint32_t unavailable = 0;

	if (!phase->step->max_unavailable)
		return true;
	for (uint32_t i = 0; i < phase->step->count; i++) {
		const bh_task_t *task = &phase->tasks[i];

		if (!task->is_done && !is_available(task, now))
			unavailable++;
	}
	return unavailable < phase->step->max_unavailable;
}

/* Whether a serving task is moving, or waits for a host. */
static bool is_room_in_demand(const bh_sched_t *s, bh_usec_t now)
{
	const bh_phase_t *phase;
	const bh_host_t *host;
	const bh_run_t *run;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_evacuated)
			continue;
		TAILQ_FOREACH(run, &host->runs, link) {
			if (run->state == BH_RUN_STOPPING && !run->is_kept &&
			    run->task->phase->step->is_long_running)
				return true;
		}
	}
	TAILQ_FOREACH(phase, &s->open, link) {
		if (!phase->step->is_long_running || !phase->waiting)
			continue;
		for (uint32_t i = 0; i < phase->step->count; i++) {
			const bh_task_t *task = &phase->tasks[i];

			if (task->is_waiting &&
			    now - task->waiting_since < WAIT_FOR_ROOM_US)
				return true;
		}
	}
	return false;
}

/* Whether the room that was free for a run that moves is not used yet. */
static bool is_move_under_way(const bh_sched_t *s, bh_usec_t now)
{
	const bh_phase_t *phase;
	const bh_host_t *host;
	const bh_run_t *run;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_evacuated)
			continue;
		TAILQ_FOREACH(run, &host->runs, link) {
			if (run->state == BH_RUN_STOPPING && !run->is_kept)
				return true;
		}
	}
	TAILQ_FOREACH(phase, &s->open, link) {
		if (!phase->vacated_at || !phase->waiting)
			continue;
		for (uint32_t i = 0; i < phase->step->count; i++) {
			const bh_task_t *task = &phase->tasks[i];

			if (task->is_waiting && task->is_vacated &&
			    now - task->waiting_since < WAIT_FOR_ROOM_US)
				return true;
		}
	}
	return false;
}

/* Whether there is another host for the run, and its step may lack the task. */
static bool can_move(bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	bh_phase_t *phase = run->task->phase;

	if (phase->stayed_at && now - phase->stayed_at < STAY_RETRY_US)
		return false;
	if ((!phase->step->is_long_running || may_lack_one_more(phase, now)) &&
	    bh_sched_find_host(s, run->task, run->host, now))
		return true;
	phase->stayed_at = now;
	return false;
}

static bool must_move_serving(bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	bh_phase_t *phase = run->task->phase;

	return phase->step->is_long_running && !phase->step->is_gang &&
	       (!phase->vacated_at ||
		now - phase->vacated_at >= UNAVAILABLE_US) &&
	       can_move(s, run, now);
}

/* How long the zone will stay evacuated is not known: it is expected to stay so
 * for as long as it has been. */
static bool must_move_checkpointing(bh_sched_t *s, const bh_run_t *run,
				    bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;
	bh_usec_t since =
		bh_evacuation_since(s->evacuation, run->host->info.zone);
	int64_t left = bh_run_remaining_ms(run);

	return step->is_checkpointing && !step->is_gang &&
	       !step->is_long_running && run->checkpoint_at &&
	       now - run->checkpoint_at <= CHECKPOINT_FRESH_US &&
	       left > s->bounds.restore_ms + MOVE_OVERHEAD_MS &&
	       (now - since) / BH_USEC_PER_MS > left && can_move(s, run, now);
}

static void vacate_run(bh_sched_t *s, bh_run_t *run, const char *why,
		       bh_usec_t now)
{
	run->task->is_vacated = true;
	run->task->phase->vacated_at = now;
	bh_run_stop(s, run, why, now);
}

/* At most one run in a pass, and no checkpointing one while another move is
 * under way, so that each finds the room that was free for it. */
static void vacate_host(bh_sched_t *s, bh_host_t *host, bool *may_move_serving,
			bool *may_move_other, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (run->state != BH_RUN_ACTIVE || run->is_kept)
			continue;
		if (*may_move_serving && must_move_serving(s, run, now)) {
			*may_move_serving = false;
			*may_move_other = false;
			s->stats.serving_moved++;
			vacate_run(s, run, "zone is evacuated", now);
		} else if (*may_move_other &&
			   must_move_checkpointing(s, run, now)) {
			*may_move_serving = false;
			*may_move_other = false;
			vacate_run(s, run, "zone is evacuated, checkpointed",
				   now);
		}
	}
}

void bh_vacate_hosts(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;
	bool may_move_serving;
	bool may_move_other;

	if (!s->n_evacuated || s->are_starts_held)
		return;
	may_move_serving = !is_room_in_demand(s, now);
	may_move_other = may_move_serving && !is_move_under_way(s, now);
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (host->is_evacuated && host->is_linked)
			vacate_host(s, host, &may_move_serving, &may_move_other,
				    now);
	}
}

bool bh_host_update_evacuated(bh_sched_t *s, bh_host_t *host)
{
	bool before = host->is_evacuated;

	host->is_evacuated = s->evacuation &&
			     bh_evacuation_has(s->evacuation, host->info.zone);
	if (host->is_evacuated == before)
		return false;
	if (host->is_evacuated)
		s->n_evacuated++;
	else
		s->n_evacuated--;
	s->must_place = true;
	return true;
}

void bh_sched_apply_evacuation(bh_sched_t *s)
{
	bh_host_t *host;

	if (!s->evacuation ||
	    bh_evacuation_changes(s->evacuation) == s->evacuation_changes)
		return;
	s->evacuation_changes = bh_evacuation_changes(s->evacuation);
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (bh_host_update_evacuated(s, host))
			bh_sched_log(s, "host evacuation", NULL,
				     "host=%s zone=%s evacuated=%d runs=%u",
				     host->key, host->info.zone,
				     host->is_evacuated, host->n_runs);
	}
}

void bh_sched_set_evacuation(bh_sched_t *s, const bh_evacuation_t *evacuation)
{
	s->evacuation = evacuation;
	s->evacuation_changes = 0;
	bh_sched_apply_evacuation(s);
}

void bh_sched_hold_starts(bh_sched_t *s, bool is_held)
{
	if (s->are_starts_held && !is_held)
		s->must_place = true;
	s->are_starts_held = is_held;
}

static bool is_listed(const char *const *list, uint32_t n, const char *service)
{
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(list[i], service) == 0)
			return true;
	}
	return false;
}

/* Whether its worker is down, or its agent has been cut off for so long that
 * the host would get no work. */
static bool is_host_gone(const bh_sched_t *s, const bh_host_t *host)
{
	if (host->info.state == BH_WORKER_DOWN)
		return true;
	return !host->is_linked &&
	       s->checked_at - MAX(host->linked_at, host->heard_at) >=
		       BH_REPORT_AGE_MAX_US;
}

static bool has_unknown_service(const bh_sched_t *s)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->info.service && !is_host_gone(s, host))
			return true;
	}
	return false;
}

static bool has_usable_host(const bh_sched_t *s, const char *service)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_evacuated && !is_host_gone(s, host) &&
		    g_strcmp0(host->info.service, service) == 0)
			return true;
	}
	return false;
}

uint32_t bh_sched_evacuated_services(const bh_sched_t *s, const char **out,
				     uint32_t max)
{
	const bh_host_t *host;
	uint32_t n = 0;

	/* A host that has not reported may be an open one of any service. */
	if (!s->n_evacuated || s->is_recovering || has_unknown_service(s))
		return 0;
	TAILQ_FOREACH(host, &s->hosts, link) {
		const char *service = host->info.service;

		if (n < max && host->is_evacuated && service &&
		    !is_listed(out, n, service) && !has_usable_host(s, service))
			out[n++] = service;
	}
	return n;
}
