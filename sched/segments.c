/*
 * Progress of jobs as stored: which parts have changed, what a commit takes,
 * and which ends may be acknowledged after it.
 *
 * Load patterns: a worker is lost under thousands of tasks of one job, each of
 * which gets a note; ends of a few tasks of a wide job.
 */
#include "sched/sched_impl.h"

static uint32_t segment_of(const bh_phase_t *phase, uint32_t index)
{
	return (phase->first_task + index) / BH_SEGMENT_TASKS;
}

void bh_rec_add_segments(bh_rec_t *rec)
{
	uint32_t n_tasks = 0;

	for (uint32_t i = 0; i < rec->n_phases; i++) {
		rec->phases[i].first_task = n_tasks;
		n_tasks += rec->phases[i].step->count;
	}
	rec->n_segments =
		MAX(1, (n_tasks + BH_SEGMENT_TASKS - 1) / BH_SEGMENT_TASKS);
	rec->segments = g_new0(bh_segment_t, rec->n_segments);
	for (uint32_t i = 0; i < rec->n_segments; i++) {
		rec->segments[i].rec = rec;
		rec->segments[i].index = i;
	}
}

void bh_rec_remove_segments(bh_sched_t *s, bh_rec_t *rec)
{
	for (uint32_t i = 0; i < rec->n_segments; i++) {
		bh_segment_t *segment = &rec->segments[i];

		if (segment->commit_since)
			TAILQ_REMOVE(&s->committing, segment, dirty_link);
		else if (segment->dirty_since)
			TAILQ_REMOVE(&s->dirty, segment, dirty_link);
	}
	g_clear_pointer(&rec->segments, g_free);
	rec->n_segments = 0;
}

bool bh_rec_is_stored(const bh_rec_t *rec)
{
	for (uint32_t i = 0; i < rec->n_segments; i++) {
		if (rec->segments[i].dirty_since ||
		    rec->segments[i].commit_since)
			return false;
	}
	return true;
}

bh_segment_t *bh_task_segment(const bh_task_t *task)
{
	return &task->phase->rec
			->segments[segment_of(task->phase, task->index)];
}

/* Keeps the list in ascending order of dirty_since: its first entry decides
 * which ends may be acknowledged. */
static void insert_dirty(bh_sched_t *s, bh_segment_t *segment)
{
	bh_segment_t *before = TAILQ_LAST(&s->dirty, bh_segments);

	while (before && before->dirty_since > segment->dirty_since)
		before = TAILQ_PREV(before, bh_segments, dirty_link);
	if (before)
		TAILQ_INSERT_AFTER(&s->dirty, before, segment, dirty_link);
	else
		TAILQ_INSERT_HEAD(&s->dirty, segment, dirty_link);
}

void bh_segment_mark_dirty(bh_sched_t *s, bh_segment_t *segment)
{
	s->change++;
	if (segment->dirty_since)
		return;
	segment->dirty_since = s->change;
	if (!segment->commit_since)
		insert_dirty(s, segment);
}

uint64_t bh_sched_oldest_unstored(const bh_sched_t *s)
{
	const bh_segment_t *segment = TAILQ_FIRST(&s->dirty);
	uint64_t oldest = segment ? segment->dirty_since : UINT64_MAX;

	TAILQ_FOREACH(segment, &s->committing, dirty_link)
		oldest = MIN(oldest, segment->commit_since);
	return oldest;
}

bool bh_sched_has_uncommitted(const bh_sched_t *s)
{
	return !TAILQ_EMPTY(&s->dirty) || !TAILQ_EMPTY(&s->committing);
}

bool bh_sched_commit_next(bh_sched_t *s, const char **id, uint32_t *index)
{
	bh_segment_t *segment = TAILQ_FIRST(&s->dirty);

	if (!segment)
		return false;
	TAILQ_REMOVE(&s->dirty, segment, dirty_link);
	TAILQ_INSERT_TAIL(&s->committing, segment, dirty_link);
	if (segment->index == 0)
		segment->rec->committing = segment->rec->state;
	segment->commit_since = segment->dirty_since;
	segment->dirty_since = 0;
	segment->crashes_committing = segment->crashes_unstored;
	segment->crashes_unstored = false;
	*id = segment->rec->job->id;
	*index = segment->index;
	return true;
}

static void end_commit(bh_sched_t *s, bh_segment_t *segment, bool is_stored)
{
	bh_rec_t *rec = segment->rec;

	TAILQ_REMOVE(&s->committing, segment, dirty_link);
	if (!is_stored)
		segment->dirty_since = segment->commit_since;
	else if (segment->index == 0 && rec->committing >= BH_JOB_COMPLETED)
		rec->stored_state = rec->committing;
	segment->crashes_unstored |= segment->crashes_committing && !is_stored;
	s->must_place |= segment->crashes_committing;
	segment->crashes_committing = false;
	segment->commit_since = 0;
	if (segment->dirty_since)
		insert_dirty(s, segment);
}

void bh_sched_end_commit(bh_sched_t *s, bool is_stored)
{
	bh_host_t *host;

	while (!TAILQ_EMPTY(&s->committing))
		end_commit(s, TAILQ_FIRST(&s->committing), is_stored);
	TAILQ_FOREACH(host, &s->hosts, link) {
		uint64_t before = host->acked;

		bh_host_release_acks(s, host);
		if (host->acked != before && host->is_linked)
			bh_host_send_grant(s, host);
	}
}

static bool has_progress(const bh_task_t *task)
{
	return !task->is_done &&
	       (task->n_failed || task->checkpoint || task->blame.crashes);
}

static void save_tasks(const bh_phase_t *phase, uint32_t first, uint32_t end,
		       bh_step_progress_t *out)
{
	out->occurrence = phase->occurrence;
	out->step = phase->step_index;
	out->first = first;
	out->n_done_bytes = (end - first + 7) / 8;
	out->done = g_malloc0(out->n_done_bytes);
	out->tasks = g_new0(bh_task_progress_t, end - first);
	for (uint32_t i = first; i < end; i++) {
		const bh_task_t *task = &phase->tasks[i];
		bh_task_progress_t *saved;

		if (task->is_done)
			out->done[(i - first) / 8] |=
				(uint8_t)(1u << ((i - first) % 8));
		if (!has_progress(task))
			continue;
		saved = &out->tasks[out->n_tasks++];
		saved->index = i;
		saved->n_failed = task->n_failed;
		saved->failed = g_memdup2(task->failed,
					  task->n_failed * sizeof(uint32_t));
		saved->checkpoint = g_strdup(task->checkpoint);
		saved->blame = task->blame;
	}
}

static bool have_progress(const bh_phase_t *phase, uint32_t first, uint32_t end)
{
	for (uint32_t i = first; i < end; i++) {
		if (phase->tasks[i].is_done || has_progress(&phase->tasks[i]))
			return true;
	}
	return false;
}

static void save_phase(const bh_phase_t *phase, uint32_t index,
		       bh_progress_t *out)
{
	uint32_t from = index * BH_SEGMENT_TASKS;
	uint32_t to = from + BH_SEGMENT_TASKS;
	uint32_t first = MAX(from, phase->first_task) - phase->first_task;
	uint32_t end = to > phase->first_task ? to - phase->first_task : 0;

	end = MIN(end, phase->step->count);
	if (first < end && have_progress(phase, first, end))
		save_tasks(phase, first, end, &out->steps[out->n_steps++]);
}

bh_progress_t *bh_sched_progress(const bh_sched_t *s, const char *id,
				 uint32_t index)
{
	const bh_rec_t *rec = bh_rec_find(s, id);
	bh_progress_t *out = g_new0(bh_progress_t, 1);

	if (index == 0) {
		out->state = rec->state;
		out->ended_ms = rec->ended_ms;
		if (bh_rec_is_over(rec))
			return out;
	}
	out->steps = g_new0(bh_step_progress_t, rec->n_phases);
	for (uint32_t i = 0; i < rec->n_phases; i++)
		save_phase(&rec->phases[i], index, out);
	return out;
}

uint32_t bh_sched_segments(const bh_sched_t *s, const char *id)
{
	return bh_rec_find(s, id)->n_segments;
}

void bh_progress_merge(bh_progress_t *to, bh_progress_t *from)
{
	to->state = MAX(to->state, from->state);
	to->ended_ms = MAX(to->ended_ms, from->ended_ms);
	to->steps = g_renew(bh_step_progress_t, to->steps,
			    to->n_steps + from->n_steps);
	for (uint32_t i = 0; i < from->n_steps; i++)
		to->steps[to->n_steps++] = from->steps[i];
	from->n_steps = 0;
	bh_progress_free(from);
}

void bh_progress_drop_checkpoints(bh_progress_t *progress)
{
	for (uint32_t i = 0; i < progress->n_steps; i++) {
		for (uint32_t k = 0; k < progress->steps[i].n_tasks; k++)
			g_clear_pointer(&progress->steps[i].tasks[k].checkpoint,
					g_free);
	}
}

static void free_step(bh_step_progress_t *saved)
{
	for (uint32_t k = 0; k < saved->n_tasks; k++) {
		g_free(saved->tasks[k].checkpoint);
		g_free(saved->tasks[k].failed);
	}
	g_free(saved->tasks);
	g_free(saved->done);
}

void bh_progress_free(bh_progress_t *progress)
{
	if (!progress)
		return;
	for (uint32_t i = 0; i < progress->n_steps; i++)
		free_step(&progress->steps[i]);
	g_free(progress->steps);
	g_free(progress);
}
