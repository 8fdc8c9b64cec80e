#include "core/cell_impl.h"

bh_usec_t cell_with_drift(bh_usec_t span)
{
	return span + span / CLOCK_DRIFT_DIVISOR;
}

uint64_t cell_unix_ms(const bh_cell_t *c, bh_usec_t now)
{
	return (uint64_t)(now / BH_USEC_PER_MS + c->unix_offset_ms);
}

void cell_mark_dirty(bh_cell_t *c, bh_task_t *t)
{
	if (t->is_dirty)
		return;
	t->is_dirty = true;
	TAILQ_INSERT_TAIL(&c->dirty, t, in_dirty);
}

void cell_set_phase(bh_task_t *t, bh_phase_t phase)
{
	if (t->phase == PHASE_PENDING)
		TAILQ_REMOVE(&t->job->pending, t, in_job);
	t->phase = phase;
	if (phase == PHASE_PENDING)
		TAILQ_INSERT_TAIL(&t->job->pending, t, in_job);
}

double cell_task_cpus(const bh_task_t *t)
{
	return t->job->spec.need.cpu_milli / 1000.0 * t->permille / 1000;
}

void cell_add_neighbour(bh_member_t *m, const bh_task_t *t, double cpus)
{
	bh_neighbour_t fresh = {t->job->family, cpus};

	for (guint i = 0; i < m->neighbours->len; i++) {
		bh_neighbour_t *n =
			&g_array_index(m->neighbours, bh_neighbour_t, i);

		if (strcmp(n->family, fresh.family) == 0) {
			n->cpus = MAX(n->cpus + cpus, 0);
			return;
		}
	}
	g_array_append_val(m->neighbours, fresh);
}

void cell_assign(bh_task_t *t, bh_member_t *m)
{
	t->member = m;
	t->is_reported = false;
	t->is_adopted = false;
	t->ordered_incarnation = 0;
	t->ordered_generation = 0;
	t->ordered_at = 0;
	t->permille = 1000;
	t->is_moving = false;
	cell_add_neighbour(m, t, cell_task_cpus(t));
	bh_resources_add(&m->reserved, &t->job->spec.need);
	t->job->account->held_cpu_milli += t->job->spec.need.cpu_milli;
	TAILQ_INSERT_TAIL(&m->tasks, t, in_member);
	m->n_tasks++;
}

static void unassign(bh_task_t *t)
{
	bh_member_t *m = t->member;

	if (!m)
		return;
	cell_add_neighbour(m, t, -cell_task_cpus(t));
	bh_resources_sub(&m->reserved, &t->job->spec.need);
	t->job->account->held_cpu_milli -= t->job->spec.need.cpu_milli;
	TAILQ_REMOVE(&m->tasks, t, in_member);
	m->n_tasks--;
	t->member = NULL;
}

void cell_end_task(bh_cell_t *c, bh_task_t *t, bh_outcome_t outcome,
		   const char *reason)
{
	unassign(t);
	t->outcome = outcome;
	t->reason = reason;
	cell_set_phase(t, PHASE_ENDING);
	cell_mark_dirty(c, t);
}

/* Makes a task that no longer runs anywhere pending again. */
static void requeue(bh_cell_t *c, bh_task_t *t)
{
	unassign(t);
	cell_set_phase(t, PHASE_PENDING);
	cell_mark_dirty(c, t);
}

void cell_evict(bh_cell_t *c, bh_task_t *t)
{
	if (t->phase == PHASE_STOPPING) {
		cell_end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	if (!t->job->spec.is_idempotent) {
		cell_end_task(c, t, BH_OUTCOME_UNKNOWN, "its worker was lost");
		return;
	}
	t->evictions++;
	c->counters.evictions++;
	requeue(c, t);
}

static void update_run_estimate(bh_task_t *t)
{
	bh_job_t *job = t->job;
	double ran = (double)t->done_unix_ms - (double)t->started_unix_ms;

	if (t->started_unix_ms == 0 || ran <= 0 || t->evictions > 0)
		return;
	job->estimated_run_ms +=
		job->estimated_run_ms > 0
			? RUN_TIME_EWMA_WEIGHT * (ran - job->estimated_run_ms)
			: ran;
}

static void finish_task(bh_cell_t *c, bh_task_t *t, const bh_task_info_t *info)
{
	const bh_job_spec_t *spec = &t->job->spec;

	t->progress_ms = info->progress_ms;
	t->done_unix_ms = info->done_unix_ms;
	t->member->start_failures = 0;
	update_run_estimate(t);
	if (spec->restarts_on_end && !spec->is_cancelled) {
		t->progress_ms = 0;
		requeue(c, t);
		return;
	}
	if (spec->deadline_unix_ms && t->done_unix_ms > spec->deadline_unix_ms)
		cell_end_task(c, t, BH_OUTCOME_LATE,
			      "ended after the deadline");
	else
		cell_end_task(c, t, BH_OUTCOME_DELIVERED, "");
}

static void record_start_failure(bh_cell_t *c, bh_member_t *m, bh_usec_t now)
{
	c->counters.start_failures++;
	m->start_failures++;
	if (m->start_failures < BH_QUARANTINE_FAILURES)
		return;
	c->counters.quarantines++;
	m->quarantined_until = now + BH_QUARANTINE_US;
}

static void handle_start_failure(bh_cell_t *c, bh_task_t *t, bh_usec_t now)
{
	record_start_failure(c, t->member, now);
	t->start_failures++;
	if (t->start_failures >= BH_START_FAILURES_MAX)
		cell_end_task(c, t, BH_OUTCOME_NOT_RUN, "every start failed");
	else
		requeue(c, t);
}

void cell_task_reported(bh_cell_t *c, bh_task_t *t, const bh_task_info_t *info,
			bh_usec_t now)
{
	t->is_reported = true;
	t->used_cpu_milli = info->used_cpu_milli;
	t->used_mem_mb = info->used_mem_mb;
	t->progress_ms = MAX(t->progress_ms, info->progress_ms);
	switch (info->state) {
	case BH_TASK_DONE:
		finish_task(c, t, info);
		break;
	case BH_TASK_FAILED:
		if (t->phase == PHASE_STOPPING)
			cell_end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		else
			handle_start_failure(c, t, now);
		break;
	case BH_TASK_STOPPED:
		cell_evict(c, t);
		break;
	case BH_TASK_RUNNING:
	case BH_TASK_FROZEN:
		t->member->start_failures = 0;
		if (t->phase == PHASE_PLACED)
			cell_set_phase(t, PHASE_RUNNING);
		break;
	default:
		break;
	}
}

uint64_t cell_expected_run_ms(const bh_job_t *job)
{
	return job->estimated_run_ms > 0 ? (uint64_t)job->estimated_run_ms
					 : job->spec.run_ms;
}
