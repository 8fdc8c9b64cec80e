/*
 * Answers: lasting tasks whose tail latency suffers from the fillers beside
 * them, by amounts that differ by image and change within seconds. Fillers
 * that press are paced down at once and up slowly, and moved away when pacing
 * does not help; those that do not press are left alone.
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Between two looks; gauges cover the last half second. */
#define STEER_EVERY_US (200 * BH_USEC_PER_MS)

/* Tail latency over its objective: above the first fillers are slowed until
 * it is predicted to meet the goal; below the low mark they speed up. */
#define STRAIN_HIGH 0.85
#define STRAIN_GOAL 0.7
#define STRAIN_LOW  0.6

/* A gauge shows a new pace once its half second has passed. */
#define SETTLE_US (700 * BH_USEC_PER_MS)

/* Of full speed: what an easing step adds at most. */
#define PACE_UP_PERCENT 25

/* A filler slower than this stands in the way more than it does. */
#define PACE_MIN_PERCENT 8

/* Fillers that add less than this to a tail are not the cause of its strain. */
#define PRESS_MIN 0.04

/* Strain that lasts this long though its fillers stand: they move away. */
#define MOVE_AFTER_US (1500 * BH_USEC_PER_MS)

/* Progress above which work that has no checkpoint is not thrown away. */
#define MOVE_PERCENT_MAX 30

/* What the fillers' use of the processor says of unused room. */
#define USE_FULL   0.93
#define USE_SHORT  0.8
#define SHARE_DOWN 0.05
#define SHARE_UP   0.08
#define SHARE_MIN  0.2

/* Weight of a new gauge in the running figure of a task's tail. */
#define TAIL_RATE 0.6

/* Weight of a new look in an image's usual base. */
#define BASE_RATE 0.1

#define PRESSES_MAX 32

/* Lasting tasks of one phase share their users' load, and so their base. */
#define SIBLINGS_MAX 64

static bool is_filler_run(const bh_run_t *run)
{
	return run->task->phase->step->is_filler &&
	       run->state == BH_RUN_ACTIVE;
}

static bool is_serving_run(const bh_run_t *run)
{
	const bh_step_t *step = run->task->phase->step;

	return step->is_lasting && step->target_ms &&
	       run->state == BH_RUN_ACTIVE && run->percent >= 100 &&
	       run->gauge > 0;
}

static double run_share(const bh_run_t *run)
{
	return (double)run->task->phase->step->cpu_milli * run->pace / 100 /
	       MAX(run->host->info.cpu_milli, 1);
}

static uint32_t presses_of(const bh_host_t *host, bh_press_t *out)
{
	const bh_run_t *run;
	uint32_t n = 0;

	TAILQ_FOREACH(run, &host->runs, link)
	{
		const char *image = run->task->phase->step->image;
		uint32_t i;

		if (!is_filler_run(run) || run->pace == 0)
			continue;
		for (i = 0; i < n; i++) {
			if (g_strcmp0(out[i].image, image) == 0)
				break;
		}
		if (i == PRESSES_MAX)
			continue;
		if (i == n) {
			out[n].image = image;
			out[n++].share = 0;
		}
		out[i].share += run_share(run);
	}
	return n;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* The tail that a phase's tasks would have without fillers, by the median of
 * what each shows less what its fillers are predicted to add. */
static double base_of_phase(bh_sched_t *s, const bh_phase_t *phase)
{
	double values[SIBLINGS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < phase->step->count && n < SIBLINGS_MAX; i++) {
		const bh_run_t *run = phase->tasks[i].runs[0];
		bh_press_t press[PRESSES_MAX];
		uint32_t n_press;

		if (!run || !is_serving_run(run) || run->tail <= 0)
			continue;
		n_press = presses_of(run->host, press);
		values[n++] = run->tail /
			      (1 + bh_pairs_excess(s->pairs, phase->step->image,
						   press, n_press));
	}
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(values[0]), by_value);
	return values[n / 2];
}

static void update_base(bh_sched_t *s, bh_phase_t *phase)
{
	double base = base_of_phase(s, phase);

	if (base <= 0)
		return;
	phase->base_ms = base;
	phase->usual_base_ms =
		phase->usual_base_ms > 0
			? phase->usual_base_ms +
				  BASE_RATE * (base - phase->usual_base_ms)
			: base;
}

static void update_tails(bh_host_t *host)
{
	bh_run_t *run;

	if (host->gauged_at == host->heard_at)
		return;
	host->gauged_at = host->heard_at;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (!is_serving_run(run))
			continue;
		run->tail = run->tail > 0 ? run->tail + TAIL_RATE *
							(run->gauge - run->tail)
					  : run->gauge;
	}
}

static void learn_pairs(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_press_t press[PRESSES_MAX];
	uint32_t n = presses_of(host, press);
	const bh_run_t *run;

	/* Gauges of before the last change would teach the wrong pace. */
	if (n == 0 || now - host->changed_at < SETTLE_US)
		return;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		const bh_phase_t *phase = run->task->phase;

		if (!is_serving_run(run) || phase->base_ms <= 0)
			continue;
		bh_pairs_learn(s->pairs, phase->step->image, press, n,
			       run->gauge / phase->base_ms - 1);
	}
}

static void set_pace(bh_sched_t *s, bh_run_t *run, double percent,
		     const char *why, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];
	uint32_t pace = (uint32_t)CLAMP(percent, 0, 100);

	if (pace < PACE_MIN_PERCENT)
		pace = 0;
	if (pace == run->pace)
		return;
	bh_task_full_name(run->task, name);
	bh_sched_log(s, "pace", run->task->phase->rec->job->id,
		     "task=%s worker=%s from=%u to=%u strain=%.2f image=%s "
		     "why=%s",
		     name + BH_JOB_ID_LEN + 1, run->host->info.id, run->pace,
		     pace, run->host->strain, run->task->phase->step->image,
		     why);
	run->pace = pace;
	run->host->changed_at = now;
	s->stats.paces++;
	s->ops->pace(s->ctx, run->host->key, run->host->info.boot, name,
		     run->attempt, pace);
}

/* What a filler adds to the tail of a serving task, by what was learned. */
static double added_by(const bh_sched_t *s, const bh_run_t *filler,
		       const bh_run_t *serving)
{
	return bh_pairs_harm(s->pairs, filler->task->phase->step->image,
			     serving->task->phase->step->image) *
	       run_share(filler);
}

/* Part of its speed that a filler may keep for the sake of all serving tasks
 * beside it. */
static double allowed_part(const bh_sched_t *s, const bh_run_t *filler)
{
	const bh_host_t *host = filler->host;
	const bh_run_t *run;
	double part = 1;

	TAILQ_FOREACH(run, &host->runs, link)
	{
		double target;
		double base;
		double excess;
		double wanted;

		if (!is_serving_run(run))
			continue;
		target = run->task->phase->step->target_ms;
		if (run->tail < target * STRAIN_HIGH ||
		    added_by(s, filler, run) < PRESS_MIN)
			continue;
		base = MIN(run->task->phase->base_ms, run->tail);
		excess = run->tail / MAX(base, 1) - 1;
		wanted = MAX(target * STRAIN_GOAL / MAX(base, 1) - 1, 0);
		part = MIN(part, excess > 0 ? wanted / excess : 0);
	}
	return part;
}

static void slow_fillers(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	if (now - host->changed_at < SETTLE_US && host->strain < 1)
		return;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		double part;

		if (!is_filler_run(run) || run->pace == 0)
			continue;
		part = allowed_part(s, run);
		if (part < 1)
			set_pace(s, run, run->pace * part, "it presses", now);
	}
}

static void ease_fillers(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	if (now - host->changed_at < SETTLE_US)
		return;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (is_filler_run(run) && run->pace < 100)
			set_pace(s, run, run->pace + PACE_UP_PERCENT,
				 "there is slack", now);
	}
}

static void move_fillers(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next)
	{
		if (!is_filler_run(run) || run->pace > 0 ||
		    !bh_place_find(s, run->task, host, now))
			continue;
		if (run->task->phase->step->is_checkpointing ||
		    run->percent < MOVE_PERCENT_MAX)
			bh_run_stop(s, run, "it presses on serving tasks", now);
	}
}

/* Fillers that all get what they ask for show that more is unused. */
static void learn_share(bh_host_t *host)
{
	uint64_t asked = 0;
	uint64_t got = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (!is_filler_run(run) || run->pace < 100 ||
		    run->percent < 5)
			continue;
		asked += run->task->phase->step->cpu_milli;
		got += run->gauge;
	}
	if (asked * 2 < host->filler_cpu || asked == 0)
		return;
	if ((double)got < (double)asked * USE_SHORT)
		host->filler_share = MIN(host->filler_share + SHARE_UP, 1);
	else if ((double)got > (double)asked * USE_FULL)
		host->filler_share =
			MAX(host->filler_share - SHARE_DOWN, SHARE_MIN);
}

static void update_strain(bh_host_t *host)
{
	const bh_run_t *run;

	host->strain = 0;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (is_serving_run(run))
			host->strain = MAX(
				host->strain,
				run->tail / run->task->phase->step->target_ms);
	}
}

static void steer_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	update_strain(host);
	if (host->strain < STRAIN_LOW) {
		host->strained_since = 0;
		ease_fillers(s, host, now);
		return;
	}
	if (host->strain < STRAIN_HIGH)
		return;
	if (!host->strained_since)
		host->strained_since = now;
	slow_fillers(s, host, now);
	if (now - host->strained_since > MOVE_AFTER_US)
		move_fillers(s, host, now);
}

double bh_steer_predict(const bh_sched_t *s, const bh_host_t *host,
			const bh_step_t *filler)
{
	bh_press_t press[PRESSES_MAX + 1];
	uint32_t n = presses_of(host, press);
	const bh_run_t *run;
	double worst = 0;

	press[n].image = filler->image;
	press[n].share =
		(double)filler->cpu_milli / MAX(host->info.cpu_milli, 1);
	TAILQ_FOREACH(run, &host->runs, link)
	{
		const bh_phase_t *phase = run->task->phase;
		double base;

		if (!phase->step->is_lasting || !phase->step->target_ms)
			continue;
		base = MAX(phase->base_ms, phase->usual_base_ms);
		worst = MAX(worst,
			    base *
				    (1 + bh_pairs_excess(s->pairs,
							 phase->step->image,
							 press, n + 1)) /
				    phase->step->target_ms);
	}
	return worst;
}

void bh_steer(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;
	bh_rec_t *rec;

	if (now - s->steered_at < STEER_EVERY_US)
		return;
	s->steered_at = now;
	TAILQ_FOREACH(host, &s->hosts, link)
	{
		if (host->gauged_at != host->heard_at)
			learn_share(host);
		update_tails(host);
	}
	TAILQ_FOREACH(rec, &s->recs, link)
	{
		for (uint32_t i = 0;
		     i < rec->n_phases && !bh_rec_is_over(rec); i++) {
			if (rec->phases[i].step->is_lasting)
				update_base(s, &rec->phases[i]);
		}
	}
	TAILQ_FOREACH(host, &s->hosts, link)
	{
		if (!host->is_linked)
			continue;
		learn_pairs(s, host, now);
		steer_host(s, host, now);
	}
}
