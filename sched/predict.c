/*
 * Predicted run times of phases, runs and jobs: learned ones where the models
 * in run_times.c say that these are better, otherwise the declared estimates.
 */
#include "sched/sched_impl.h"

#include <math.h>

/* Progress at which a run counts as half an end. */
#define LEARN_PROGRESS_PERCENT 50

/* A run that was taken over or restored with more progress than this is not
 * learned from: what is left of it tells too little of the whole. */
#define BASE_PERCENT_MAX 50

/* Part of its time, weighted by its speed, below which a filler is not learned
 * from: its speed is only known approximately. */
#define FULL_PACE_PART 0.5

/* Runs on hosts slower than this part of the average are not learned from. */
#define SLOW_HOST_PART 0.5

/* Critical paths of jobs are predicted anew no more often than this. */
#define PATH_INTERVAL_MS 200

/* A part of the runs as large as this ends within bh_phase_long_ms(). */
#define LONG_QUANTILE 0.9

/* What bh_phase_long_ms() assumes for declared estimates, which are wrong by a
 * factor of up to two. */
#define ESTIMATE_MARGIN 2

static bh_run_key_t key_of(const bh_phase_t *phase)
{
	return (bh_run_key_t){.queue = phase->rec->job->queue,
			      .image = phase->step->image,
			      .step = phase->step_index};
}

/* Run times are looked up again only after they have changed, since one
 * placement pass needs them for all runs of all hosts. Those of all occurrences
 * of a step are kept in its first one.
 *
 * Return: the phase that they are kept in. */
static const bh_phase_t *refresh(const bh_phase_t *of)
{
	bh_phase_t *phase = &of->rec->phases[of->step_index];
	bh_run_times_t *rt = phase->rec->times;
	uint32_t estimate = phase->step->estimate_ms;
	uint64_t version = bh_run_times_version(rt);
	bh_run_key_t key = key_of(phase);

	if (phase->predicted_version == version)
		return phase;
	phase->predicted_version = version;
	phase->is_learned = bh_run_times_is_learned(rt, &key);
	if (!phase->is_learned)
		return phase;
	phase->predicted_ms = bh_run_times_predict(rt, &key, estimate);
	phase->long_ms =
		bh_run_times_quantile(rt, &key, estimate, LONG_QUANTILE);
	return phase;
}

bool bh_phase_is_learned(const bh_phase_t *phase)
{
	return phase->rec->times && !phase->step->is_long_running &&
	       refresh(phase)->is_learned;
}

uint32_t bh_phase_expected_ms(const bh_phase_t *phase)
{
	return bh_phase_is_learned(phase) ? refresh(phase)->predicted_ms
					  : phase->step->estimate_ms;
}

uint64_t bh_phase_long_ms(const bh_phase_t *phase)
{
	return bh_phase_is_learned(phase)
		       ? refresh(phase)->long_ms
		       : (uint64_t)phase->step->estimate_ms * ESTIMATE_MARGIN;
}

uint64_t bh_phase_work_ms(const bh_phase_t *phase, uint32_t tasks)
{
	bh_step_t step = *phase->step;

	step.estimate_ms = bh_phase_expected_ms(phase);
	return bh_step_work_ms(&step, tasks);
}

/* Part of full speed at which a run has worked lately. Fillers get the
 * processor time that serving tasks leave; their gauge shows how much. */
static double speed_of(const bh_run_t *run)
{
	if (!run->task->phase->step->is_filler)
		return 1;
	if (run->pace == 0)
		return 0;
	if (!run->peak_cpu || !run->gauge)
		return run->pace / 100.0;
	return MIN((double)run->gauge / run->peak_cpu, 1);
}

static void count_time(bh_run_t *run, bh_usec_t now)
{
	double us = (double)MAX(now - run->counted_at, 0);

	run->wall_us += us;
	run->work_us += us * speed_of(run);
	run->counted_at = now;
}

/* Return: the time that the whole run would take at full pace, in ms, if it
 * goes on as it has so far; -1 while there is no progress to tell. */
static double implied_ms(const bh_run_t *run, uint32_t percent)
{
	if (percent <= run->base_percent)
		return -1;
	return run->work_us / 1000 * 100 / (percent - run->base_percent);
}

static bool is_representative(const bh_sched_t *s, const bh_run_t *run)
{
	const bh_host_t *host = run->host;

	return run->counted_at && run->base_percent <= BASE_PERCENT_MAX &&
	       !run->task->phase->step->is_long_running && !host->is_degraded &&
	       !host->info.cold_ms &&
	       run->work_us >= run->wall_us * FULL_PACE_PART &&
	       (!s->mean_speed ||
		host->speed >= s->mean_speed * SLOW_HOST_PART);
}

static void log_change(bh_sched_t *s, const bh_run_key_t *key)
{
	bh_run_time_state_t state;

	if (!bh_run_times_get(s->times, key, &state))
		return;
	bh_sched_log(s, "run times", NULL,
		     "queue=%s image=%s step=%u use=%s ends=%.0f"
		     " typical_ms=%.0f estimate_error=%.2f"
		     " duration_error=%.2f ratio_error=%.2f",
		     key->queue, key->image ? key->image : "-", key->step,
		     bh_run_times_is_learned(s->times, key) ? "learned"
							    : "estimate",
		     state.ends, exp(state.log_duration),
		     state.errors[BH_PREDICT_ESTIMATE],
		     state.errors[BH_PREDICT_DURATION],
		     state.errors[BH_PREDICT_RATIO]);
}

static void learn_progress(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_run_key_t key = key_of(run->task->phase);
	double ms = implied_ms(run, MIN(run->percent, 100));

	if (run->is_progress_learned || ms < 0 ||
	    run->percent < LEARN_PROGRESS_PERCENT ||
	    run->state != BH_RUN_ACTIVE || !is_representative(s, run))
		return;
	run->is_progress_learned = true;
	if (bh_run_times_add_progress(
		    s->times, &key, run->task->phase->step->estimate_ms,
		    (uint32_t)MIN(ms, BH_JOB_AMOUNT_MAX), now))
		log_change(s, &key);
}

static void update_left(bh_sched_t *s, bh_run_t *run)
{
	const bh_phase_t *phase = run->task->phase;
	uint32_t percent = MIN(run->percent, 100);
	double elapsed = run->work_us / 1000;
	double whole = implied_ms(run, percent);
	bh_run_key_t key = key_of(phase);

	if (!bh_phase_is_learned(phase)) {
		run->has_left = false;
		return;
	}
	if (whole >= 0)
		elapsed = whole * percent / 100;
	else
		elapsed += (double)bh_phase_expected_ms(phase) *
			   run->base_percent / 100;
	run->has_left = true;
	run->left_ms = bh_run_times_left(
		s->times, &key, phase->step->estimate_ms,
		(uint32_t)MIN(elapsed, BH_JOB_AMOUNT_MAX), percent);
}

void bh_run_observe(bh_sched_t *s, bh_run_t *run, bool is_first, bh_usec_t now)
{
	if (!s->times || run->task->phase->step->is_long_running)
		return;
	/* When a run that was taken over or restored began its work is not
	 * known: only what it does from here on counts. */
	if (is_first && (run->is_restored || !run->counted_at)) {
		run->base_percent = MIN(run->percent, 100);
		run->counted_at = now;
		run->work_us = 0;
		run->wall_us = 0;
	}
	count_time(run, now);
	learn_progress(s, run, now);
	update_left(s, run);
}

/* Work of a task that has ended, and what came of a second attempt at it. */
static void note_end(bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;

	bh_stragglers_earn(&s->stragglers,
			   (double)bh_phase_work_ms(task->phase, 1));
	if (!task->second_at)
		return;
	bh_stragglers_note(&s->stragglers, (now - task->second_at) / 1000,
			   task->second_left_ms);
	task->second_at = 0;
}

void bh_run_learn_end(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_run_key_t key = key_of(run->task->phase);
	double ms;

	if (!s->times || run->task->phase->step->is_long_running)
		return;
	note_end(s, run, now);
	if (!run->counted_at || (run->is_restored && !run->seen_at))
		return;
	count_time(run, now);
	ms = implied_ms(run, 100);
	if (ms < 0 || !is_representative(s, run))
		return;
	if (bh_run_times_add(s->times, &key,
			     run->task->phase->step->estimate_ms,
			     (uint32_t)MIN(ms, BH_JOB_AMOUNT_MAX), now))
		log_change(s, &key);
}

int64_t bh_run_remaining_ms(const bh_run_t *run)
{
	uint32_t percent = MIN(run->percent, 100);

	if (run->has_left)
		return run->left_ms;
	return (int64_t)bh_phase_expected_ms(run->task->phase) *
	       (100 - percent) / 100;
}

int64_t bh_run_usual_remaining_ms(const bh_run_t *run)
{
	uint32_t percent = MIN(run->percent, 100);

	return (int64_t)bh_phase_expected_ms(run->task->phase) *
	       (100 - percent) / 100;
}

/* Sets the predicted time from the start of each step to the end of its
 * occurrence. Steps follow earlier ones only. */
static void update_chains(bh_rec_t *rec)
{
	const bh_job_t *job = rec->job;

	if (!rec->chain_ms)
		rec->chain_ms = g_new0(uint64_t, job->n_steps);
	memset(rec->chain_ms, 0, job->n_steps * sizeof(rec->chain_ms[0]));
	rec->critical_path_ms = 0;
	for (uint32_t i = job->n_steps; i-- > 0;) {
		const bh_step_t *step = &job->steps[i];

		if (!step->is_long_running)
			rec->chain_ms[i] +=
				bh_phase_expected_ms(&rec->phases[i]);
		for (uint32_t k = 0; k < step->n_after; k++)
			rec->chain_ms[step->after[k]] =
				MAX(rec->chain_ms[step->after[k]],
				    rec->chain_ms[i]);
		rec->critical_path_ms =
			MAX(rec->critical_path_ms, rec->chain_ms[i]);
	}
}

void bh_rec_update_path(const bh_sched_t *s, bh_rec_t *rec)
{
	bool is_learned = false;

	if (!rec->times || (rec->path_at_ms &&
			    s->unix_ms < rec->path_at_ms + PATH_INTERVAL_MS))
		return;
	rec->path_at_ms = s->unix_ms;
	for (uint32_t i = 0; i < rec->job->n_steps; i++)
		is_learned |= bh_phase_is_learned(&rec->phases[i]);
	if (is_learned) {
		update_chains(rec);
	} else if (rec->chain_ms) {
		g_clear_pointer(&rec->chain_ms, g_free);
		rec->critical_path_ms = bh_job_critical_path_ms(rec->job);
	}
}

uint64_t bh_phase_chain_ms(const bh_phase_t *phase)
{
	const bh_rec_t *rec = phase->rec;
	uint64_t steps = MAX(rec->job->n_steps, 1);
	uint64_t done = rec->phases_done % steps;

	if (rec->chain_ms)
		return rec->chain_ms[phase->step_index];
	return rec->critical_path_ms * (steps - done) / steps;
}
