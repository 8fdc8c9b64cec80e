#include "sched/sched_impl.h"

static void phase_init(bh_phase_t *phase, bh_pairs_t *pairs, bh_rec_t *rec,
		       uint32_t occurrence, uint32_t step, bh_usec_t now)
{
	phase->rec = rec;
	phase->step = &rec->job->steps[step];
	phase->occurrence = occurrence;
	phase->step_index = step;
	phase->image = bh_pairs_image_id(pairs, phase->step->image);
	phase->tasks = g_new0(bh_task_t, phase->step->count);
	for (uint32_t i = 0; i < phase->step->count; i++) {
		phase->tasks[i].phase = phase;
		phase->tasks[i].index = i;
		phase->tasks[i].waiting_since = now;
	}
}

static void phase_clear(bh_phase_t *phase)
{
	for (uint32_t i = 0; i < phase->step->count; i++) {
		g_free(phase->tasks[i].checkpoint);
		g_free(phase->tasks[i].failed);
	}
	g_free(phase->tasks);
	g_clear_pointer(&phase->runs_on, g_hash_table_destroy);
	bh_phase_clear_advice(phase);
}

static void rec_free(bh_rec_t *rec)
{
	for (uint32_t i = 0; i < rec->n_phases; i++)
		phase_clear(&rec->phases[i]);
	g_free(rec->phases);
	bh_job_free(rec->job);
	g_free(rec);
}

static bh_phase_t *phase_at(bh_rec_t *rec, uint32_t occurrence, uint32_t step)
{
	return &rec->phases[occurrence * rec->job->n_steps + step];
}

static bool phase_is_done(const bh_phase_t *phase)
{
	return phase->n_done == phase->step->count;
}

static bool is_due(const bh_sched_t *s, const bh_phase_t *phase)
{
	const bh_job_t *job = phase->rec->job;

	return job->first_due_ms == 0 ||
	       s->unix_ms >=
		       job->first_due_ms + phase->occurrence * job->interval_ms;
}

static bool can_open(const bh_sched_t *s, bh_phase_t *phase)
{
	if (phase->is_open || phase_is_done(phase) || !is_due(s, phase))
		return false;
	for (uint32_t i = 0; i < phase->step->n_after; i++) {
		if (!phase_is_done(phase_at(phase->rec, phase->occurrence,
					    phase->step->after[i])))
			return false;
	}
	return true;
}

static void phase_dequeue(bh_sched_t *s, bh_phase_t *phase)
{
	if (phase->is_queued)
		TAILQ_REMOVE(&s->open, phase, link);
	phase->is_queued = false;
}

static void open_phase(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	phase->is_open = true;
	for (uint32_t i = 0; i < phase->step->count; i++) {
		bh_task_t *task = &phase->tasks[i];

		task->waiting_since = now;
		if (!task->is_done && !bh_task_has_run(task))
			bh_task_set_waiting(task, true);
	}
	if (phase->waiting)
		bh_phase_enqueue(s, phase);
}

static void finish_phase(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	bh_rec_t *rec = phase->rec;

	phase_dequeue(s, phase);
	rec->phases_done++;
	if (rec->phases_done == rec->n_phases)
		bh_rec_end(s, rec, BH_JOB_COMPLETED, now);
	else
		bh_rec_open_phases(s, rec, now);
}

/* Return: false if the task was done already. */
static bool mark_done(bh_task_t *task)
{
	bh_phase_t *phase = task->phase;

	if (task->is_done)
		return false;
	bh_task_set_waiting(task, false);
	bh_racks_forget_wait(task);
	task->is_done = true;
	phase->n_done++;
	g_clear_pointer(&task->checkpoint, g_free);
	return true;
}

/* One member's end stands for all of a gang, whose rows may have been stored
 * one after the other. */
static void complete_gang(bh_phase_t *phase)
{
	if (!phase->step->is_gang || !phase->n_done)
		return;
	for (uint32_t i = 0; i < phase->step->count; i++)
		mark_done(&phase->tasks[i]);
}

static bool is_bit_set(const bh_step_progress_t *saved, uint32_t bit)
{
	return bit / 8 < saved->n_done_bytes &&
	       (saved->done[bit / 8] & (1u << (bit % 8)));
}

/* An odd row may list a step or a task twice. */
static void restore_step(bh_phase_t *phase, const bh_step_progress_t *saved)
{
	bool was_done = phase_is_done(phase);

	for (uint32_t i = saved->first; i < phase->step->count; i++) {
		if (is_bit_set(saved, i - saved->first))
			mark_done(&phase->tasks[i]);
	}
	complete_gang(phase);
	for (uint32_t i = 0; i < saved->n_tasks; i++) {
		const bh_task_progress_t *t = &saved->tasks[i];
		bh_task_t *task;

		if (t->index >= phase->step->count)
			continue;
		task = &phase->tasks[t->index];
		task->n_failed = t->n_failed;
		phase->most_failed = MAX(phase->most_failed, t->n_failed);
		g_free(task->failed);
		g_free(task->checkpoint);
		task->failed =
			g_memdup2(t->failed, t->n_failed * sizeof(uint32_t));
		task->checkpoint = g_strdup(t->checkpoint);
		task->blame = t->blame;
	}
	if (!was_done && phase_is_done(phase))
		phase->rec->phases_done++;
}

static void restore(bh_rec_t *rec, const bh_progress_t *progress)
{
	rec->state = MAX(progress->state, BH_JOB_QUEUED);
	rec->ended_ms = progress->ended_ms;
	if (bh_rec_is_over(rec))
		rec->stored_state = rec->state;
	for (uint32_t i = 0; i < progress->n_steps; i++) {
		const bh_step_progress_t *saved = &progress->steps[i];

		if (saved->step < rec->job->n_steps &&
		    saved->occurrence < bh_job_occurrences(rec->job))
			restore_step(
				phase_at(rec, saved->occurrence, saved->step),
				saved);
	}
}

static void stop_runs(bh_sched_t *s, bh_rec_t *rec, const char *why,
		      bh_usec_t now)
{
	for (uint32_t p = 0; p < rec->n_phases; p++) {
		bh_phase_t *phase = &rec->phases[p];

		for (uint32_t i = 0; i < phase->step->count; i++) {
			for (int r = 0; r < BH_RUNS_MAX; r++) {
				if (phase->tasks[i].runs[r])
					bh_run_stop(s, phase->tasks[i].runs[r],
						    why, now);
			}
		}
	}
}

/* Applies the queue's current settings, which may have changed since the job
 * was accepted. */
static void update_terms(const bh_sched_t *s, bh_rec_t *rec)
{
	const bh_queue_t *queue = bh_config_queue(s->config, rec->job->queue);
	bh_job_terms_t *terms = &rec->job->terms;

	if (!queue)
		return;
	g_free(terms->service);
	terms->service = g_strdup(queue->service);
	terms->priority = queue->priority;
	terms->max_attempts = queue->max_attempts;
	terms->slack_percent = (uint32_t)(queue->slack_factor * 100);
	terms->target_ms = queue->target_ms;
}

bh_rec_t *bh_rec_find(const bh_sched_t *s, const char *id)
{
	return g_hash_table_lookup(s->by_id, id);
}

bh_task_t *bh_task_find(const bh_sched_t *s, const char *name)
{
	bh_task_name_t parts;
	bh_rec_t *rec;
	bh_phase_t *phase;

	if (!bh_task_name_parse(name, &parts))
		return NULL;
	rec = bh_rec_find(s, parts.job);
	if (!rec || parts.step >= rec->job->n_steps ||
	    parts.occurrence >= bh_job_occurrences(rec->job))
		return NULL;
	phase = phase_at(rec, parts.occurrence, parts.step);
	return parts.index < phase->step->count ? &phase->tasks[parts.index]
						: NULL;
}

void bh_rec_open_phases(bh_sched_t *s, bh_rec_t *rec, bh_usec_t now)
{
	for (uint32_t i = 0; i < rec->n_phases && !bh_rec_is_over(rec); i++) {
		if (can_open(s, &rec->phases[i]))
			open_phase(s, &rec->phases[i], now);
	}
}

void bh_rec_end(bh_sched_t *s, bh_rec_t *rec, bh_job_state_t state,
		bh_usec_t now)
{
	if (bh_rec_is_over(rec))
		return;
	rec->state = state;
	rec->ended_ms = s->unix_ms;
	s->stats.jobs[state]++;
	for (uint32_t i = 0; i < rec->n_phases; i++)
		phase_dequeue(s, &rec->phases[i]);
	bh_sched_log(s, "job ended", rec->job->id,
		     "state=%s queue=%s age_ms=%" G_GUINT64_FORMAT
		     " objective_ms=%" G_GUINT64_FORMAT,
		     bh_job_state_name(state), rec->job->queue,
		     s->unix_ms - rec->job->accepted_ms,
		     bh_job_objective_ms(rec->job, rec->critical_path_ms));
	stop_runs(s, rec, bh_job_state_name(state), now);
	bh_segment_mark_dirty(s, &rec->segments[0]);
}

void bh_phase_enqueue(bh_sched_t *s, bh_phase_t *phase)
{
	s->must_place = true;
	if (phase->is_queued)
		return;
	phase->is_queued = true;
	TAILQ_INSERT_TAIL(&s->open, phase, link);
}

void bh_task_requeue(bh_sched_t *s, bh_task_t *task, bh_usec_t now)
{
	bh_phase_t *phase = task->phase;

	if (task->is_done || bh_task_has_run(task) || !phase->is_open ||
	    bh_rec_is_over(phase->rec))
		return;
	task->waiting_since = now;
	task->held_since = 0;
	bh_task_set_waiting(task, true);
	bh_phase_enqueue(s, phase);
}

void bh_task_done(bh_sched_t *s, bh_task_t *task, bh_usec_t now)
{
	bh_phase_t *phase = task->phase;

	if (task->is_done || phase->step->is_long_running ||
	    bh_rec_is_over(phase->rec))
		return;
	mark_done(task);
	bh_segment_mark_dirty(s, bh_task_segment(task));
	for (uint32_t i = 0; phase->step->is_gang && i < phase->step->count;
	     i++) {
		if (mark_done(&phase->tasks[i]))
			bh_segment_mark_dirty(
				s, bh_task_segment(&phase->tasks[i]));
	}
	for (int r = 0; r < BH_RUNS_MAX; r++) {
		if (task->runs[r])
			bh_run_stop(s, task->runs[r], "another attempt is done",
				    now);
	}
	if (phase_is_done(phase))
		finish_phase(s, phase, now);
}

void bh_task_failed(bh_sched_t *s, bh_task_t *task, uint32_t attempt,
		    bh_usec_t now)
{
	bh_phase_t *phase = task->phase;
	uint32_t limit = phase->rec->job->terms.max_attempts;
	bh_task_t *account = phase->step->is_gang ? &phase->tasks[0] : task;

	if (task->is_done || bh_rec_is_over(phase->rec) ||
	    phase->step->is_long_running)
		return;
	/* An end is reported again until it is acknowledged. */
	for (uint32_t i = 0; i < account->n_failed; i++) {
		if (account->failed[i] == attempt)
			return;
	}
	account->failed =
		g_renew(uint32_t, account->failed, account->n_failed + 1);
	account->failed[account->n_failed++] = attempt;
	phase->most_failed = MAX(phase->most_failed, account->n_failed);
	bh_segment_mark_dirty(s, bh_task_segment(account));
	if (limit && account->n_failed >= limit)
		bh_rec_end(s, phase->rec, BH_JOB_FAILED, now);
}

void bh_sched_add_job(bh_sched_t *s, bh_job_t *job,
		      const bh_progress_t *progress, bh_usec_t now)
{
	bh_rec_t *rec = bh_rec_find(s, job->id);

	if (rec) {
		if (job->is_cancelled)
			bh_sched_cancel(s, job->id, now);
		bh_job_free(job);
		return;
	}
	rec = g_new0(bh_rec_t, 1);
	rec->job = job;
	rec->state = BH_JOB_QUEUED;
	rec->added_at = now;
	rec->added_unix_ms = s->unix_ms;
	rec->is_inherited = s->jobs_read_at < s->inherits_until;
	rec->n_phases = bh_job_occurrences(job) * job->n_steps;
	rec->phases = g_new0(bh_phase_t, rec->n_phases);
	for (uint32_t i = 0; i < rec->n_phases; i++)
		phase_init(&rec->phases[i], s->pairs, rec, i / job->n_steps,
			   i % job->n_steps, now);
	bh_rec_add_segments(rec);
	update_terms(s, rec);
	rec->critical_path_ms = bh_job_critical_path_ms(job);
	TAILQ_INSERT_TAIL(&s->recs, rec, link);
	g_hash_table_insert(s->by_id, job->id, rec);
	if (progress)
		restore(rec, progress);
	if (bh_rec_is_over(rec))
		return;
	if (job->is_cancelled)
		bh_rec_end(s, rec, BH_JOB_CANCELLED, now);
	else if (rec->phases_done == rec->n_phases)
		bh_rec_end(s, rec, BH_JOB_COMPLETED, now);
	else
		bh_rec_open_phases(s, rec, now);
}

void bh_sched_note_jobs_read(bh_sched_t *s, bh_usec_t at)
{
	s->jobs_read_at = MAX(s->jobs_read_at, at);
}

bool bh_sched_wants_jobs_read(const bh_sched_t *s, bh_usec_t now)
{
	return s->is_recovering && now >= s->inherits_until &&
	       s->jobs_read_at < s->inherits_until;
}

void bh_sched_cancel(bh_sched_t *s, const char *id, bh_usec_t now)
{
	bh_rec_t *rec = bh_rec_find(s, id);

	if (rec)
		bh_rec_end(s, rec, BH_JOB_CANCELLED, now);
}

void bh_sched_drop_job(bh_sched_t *s, const char *id)
{
	bh_rec_t *rec = bh_rec_find(s, id);

	if (!rec)
		return;
	for (uint32_t i = 0; i < rec->n_phases; i++)
		phase_dequeue(s, &rec->phases[i]);
	TAILQ_REMOVE(&s->recs, rec, link);
	g_hash_table_remove(s->by_id, id);
	bh_rec_remove_segments(s, rec);
	rec_free(rec);
}

void bh_sched_set_config(bh_sched_t *s, const bh_config_t *config)
{
	bh_rec_t *rec;

	s->config = config;
	TAILQ_FOREACH(rec, &s->recs, link) {
		if (!bh_rec_is_over(rec))
			update_terms(s, rec);
	}
	s->must_place = true;
}
