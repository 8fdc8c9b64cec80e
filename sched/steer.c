/*
 * Answers: lasting tasks whose tail latency suffers from the fillers beside
 * them, by amounts that differ by image and change within seconds. Fillers are
 * paced down fast and up slowly, and moved away when pacing does not help.
 */
#include "sched/sched_impl.h"

/* Between two looks; gauges cover the last half second. */
#define STEER_EVERY_US (250 * BH_USEC_PER_MS)

/* Tail latency over its objective, above which fillers are slowed, and below
 * which they may speed up again. */
#define STRAIN_HIGH 0.85
#define STRAIN_LOW  0.65

/* Of full speed: what an easing step adds. */
#define PACE_UP_PERCENT 20

/* A filler slower than this stands in the way more than it does. */
#define PACE_MIN_PERCENT 10

/* Time between two easing steps. */
#define EASE_EVERY_US (500 * BH_USEC_PER_MS)

/* Strain that lasts this long though its fillers stand: they move away. */
#define MOVE_AFTER_US (1500 * BH_USEC_PER_MS)

/* What the fillers' use of the processor says of unused room. */
#define USE_FULL   0.95
#define USE_SHORT  0.85
#define SHARE_DOWN 0.05
#define SHARE_UP   0.1
#define SHARE_MIN  0.4

static double strain_of(const bh_host_t *host)
{
	double worst = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
	{
		const bh_step_t *step = run->task->phase->step;

		if (step->is_lasting && step->target_ms &&
		    run->state == BH_RUN_ACTIVE && run->percent >= 100)
			worst = MAX(worst,
				    (double)run->gauge / step->target_ms);
	}
	return worst;
}

static void set_pace(bh_sched_t *s, bh_run_t *run, uint32_t percent)
{
	char name[BH_TASK_NAME_BYTES];

	if (percent < PACE_MIN_PERCENT)
		percent = 0;
	percent = MIN(percent, 100);
	if (percent == run->pace)
		return;
	bh_task_full_name(run->task, name);
	bh_sched_log(s, "pace", run->task->phase->rec->job->id,
		     "task=%s worker=%s from=%u to=%u strain=%.2f",
		     name + BH_JOB_ID_LEN + 1, run->host->info.id, run->pace,
		     percent, run->host->strain);
	run->pace = percent;
	s->stats.paces++;
	s->ops->pace(s->ctx, run->host->key, run->host->info.boot, name,
		     run->attempt, percent);
}

static bool is_filler_run(const bh_run_t *run)
{
	return run->task->phase->step->is_filler &&
	       run->state == BH_RUN_ACTIVE;
}

static void slow_fillers(bh_sched_t *s, bh_host_t *host)
{
	bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (!is_filler_run(run))
			continue;
		set_pace(s, run, host->strain > 1 ? 0 : run->pace / 2);
	}
}

static void ease_fillers(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	if (now - host->eased_at < EASE_EVERY_US)
		return;
	host->eased_at = now;
	TAILQ_FOREACH(run, &host->runs, link)
	{
		if (is_filler_run(run) && run->pace < 100)
			set_pace(s, run, run->pace + PACE_UP_PERCENT);
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
		    run->percent < 30)
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
		if (!is_filler_run(run) || run->pace < 100 || !run->percent)
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

static void steer_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	host->strain = strain_of(host);
	learn_share(host);
	if (host->strain < STRAIN_LOW) {
		host->strained_since = 0;
		ease_fillers(s, host, now);
		return;
	}
	if (host->strain < STRAIN_HIGH)
		return;
	if (!host->strained_since)
		host->strained_since = now;
	slow_fillers(s, host);
	if (now - host->strained_since > MOVE_AFTER_US)
		move_fillers(s, host, now);
}

void bh_steer(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;

	if (now - s->steered_at < STEER_EVERY_US)
		return;
	s->steered_at = now;
	TAILQ_FOREACH(host, &s->hosts, link)
	{
		if (host->is_linked)
			steer_host(s, host, now);
	}
}
