/*
 * Answers: lasting tasks whose tail latency suffers from the fillers beside
 * them, by amounts that differ by image and change within seconds. Fillers
 * that press are paced down at once and up slowly, and moved away when pacing
 * does not help; those that do not press are left alone.
 */
#include "sched/sched_impl.h"

/* Between two looks; gauges cover the last half second. */
#define STEER_EVERY_US (200 * BH_USEC_PER_MS)

/* Tail latency over its objective: above the first fillers are slowed until it
 * is predicted to meet the goal. */
#define STRAIN_HIGH 0.85
#define STRAIN_GOAL 0.72

/* A lasting task meets its objective without fillers, with this much to
 * spare; a base above that is taken for harm that is not understood yet. */
#define BASE_MAX 0.75

/* A tail that is so many times its base is no single spike of the gauge. */
#define SPIKE_FACTOR 2.0

/* Two changes of a filler's pace are so far apart, unless a tail is over its
 * objective: a gauge shows a new pace once its half second has passed. */
#define SETTLE_US (700 * BH_USEC_PER_MS)

/* Least change of pace that is worth an order. */
#define PACE_STEP_PERCENT 15

/* A filler slower than this stands in the way more than it does. */
#define PACE_MIN_PERCENT 10

/* Fillers that add less than this to a tail are not the cause of its strain. */
#define PRESS_MIN 0.05

/* A filler that stood for so long moves to where it may run. */
#define MOVE_AFTER_US (200 * BH_USEC_PER_MS)

/* Part of the time that a tail may be over its objective because of fillers,
 * after which all of them stand until it is under it again. */
#define HARM_PART 3

/* A gauge above this part of the objective may hide a tail that is over it. */
#define OVER_PART 0.92

/* Progress above which work that has no checkpoint is not thrown away. */
#define MOVE_PERCENT_MAX 30

/* What the fillers' use of the processor says of unused room. */
#define USE_FULL   0.92
#define USE_SHORT  0.8
#define SHARE_DOWN 0.05
#define SHARE_UP   0.05
#define SHARE_MIN  0.4

/* A host with less than this part of its room free is packed. */
#define PACKED_PART 8

/* Gauges follow what causes them with a lag of about one report; shares are
 * filtered alike before they are compared. */
#define LAG_RATE 0.5

/* Part of a host below which what pressed on it is forgotten. */
#define PRESS_FORGET 0.002

/* Part of a host's processors at which a filler is tried, unless it is
 * suspected of a harm above this. */
#define TRIAL_SHARE  0.08
#define HARM_SUSPECT 8.0

/* Growth of a tail that teaches no more than less would. */
#define EXCESS_MAX 12.0

/* A host with such a tail and so little that presses is slow by itself. */
#define SICK_STRAIN 2.0
#define SICK_SHARE  0.02

/* Weight of a new look in a phase's usual base. */
#define BASE_RATE 0.1

static bool is_filler_run(const bh_run_t *run)
{
	return run->task->phase->step->is_filler && run->state == BH_RUN_ACTIVE;
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
	return (double)bh_run_need(run) * run->pace / 100 /
	       MAX(run->host->info.cpu_milli, 1);
}

static void add_press(bh_press_t *press, uint32_t *n, const char *image,
		      double share)
{
	uint32_t i;

	for (i = 0; i < *n; i++) {
		if (g_strcmp0(press[i].image, image) == 0)
			break;
	}
	if (i == BH_PRESSES_MAX)
		return;
	if (i == *n) {
		press[i].image = image;
		press[i].share = 0;
		(*n)++;
	}
	press[i].share += share;
}

/* What presses on a host as it will be, once its orders have taken effect. */
static uint32_t presses_of(const bh_host_t *host, bh_press_t *out)
{
	const bh_run_t *run;
	uint32_t n = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->task->phase->step->is_filler &&
		    run->state != BH_RUN_STOPPING && run->pace > 0)
			add_press(out, &n, run->task->phase->step->image,
				  run_share(run));
	}
	return n;
}

/* What pressed on a host as its gauges show it. Images are kept by the tasks'
 * jobs, which may end: the names are copied. */
static void filter_presses(bh_host_t *host)
{
	bh_press_t now[BH_PRESSES_MAX];
	uint32_t n = 0;
	uint32_t kept = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (is_filler_run(run))
			add_press(now, &n, run->task->phase->step->image,
				  (double)run->gauge /
					  MAX(host->info.cpu_milli, 1));
	}
	memmove(host->recent + 1, host->recent,
		sizeof(host->recent[0]) * (BH_RECENT_REPORTS - 1));
	memmove(host->n_recent + 1, host->n_recent,
		sizeof(host->n_recent[0]) * (BH_RECENT_REPORTS - 1));
	host->n_recent[0] = n;
	for (uint32_t i = 0; i < n; i++) {
		now[i].image =
			g_intern_string(now[i].image ? now[i].image : "");
		host->recent[0][i] = now[i];
	}
	for (uint32_t i = 0; i < host->n_press; i++)
		host->press[i].share *= 1 - LAG_RATE;
	for (uint32_t i = 0; i < n; i++)
		add_press(host->press, &host->n_press, now[i].image,
			  now[i].share * LAG_RATE);
	for (uint32_t i = 0; i < host->n_press; i++) {
		if (host->press[i].share > PRESS_FORGET)
			host->press[kept++] = host->press[i];
	}
	host->n_press = kept;
}

static void note_spike(bh_run_t *run)
{
	double base = run->task->phase->base_ms;

	/* One gauge alone may be a spike; two in a row are not. */
	run->tail = run->gauge > base * SPIKE_FACTOR
			    ? run->gauge
			    : MIN(run->gauge, run->last_gauge);
	run->last_gauge = run->gauge;
	if (run->gauge <= run->task->phase->step->target_ms * OVER_PART)
		run->over_since = 0;
	else if (!run->over_since)
		run->over_since = run->host->heard_at;
}

/* Tails that are high though next to nothing presses are the host's own. */
static void check_sick(bh_host_t *host)
{
	double share = 0;

	for (uint32_t i = 0; i < host->n_press; i++)
		share += host->press[i].share;
	if (host->strain > SICK_STRAIN && share < SICK_SHARE)
		host->is_sick = true;
	else if (host->strain < 1)
		host->is_sick = false;
}

static void take_gauges(bh_host_t *host)
{
	bh_run_t *run;

	filter_presses(host);
	check_sick(host);
	TAILQ_FOREACH(run, &host->runs, link) {
		if (is_serving_run(run))
			note_spike(run);
		else if (is_filler_run(run) && run->pace == 100)
			run->peak = MAX(run->peak, run->gauge);
	}
}

/* The tail that a phase's tasks would have without fillers: they share their
 * users' load, and gauges err upwards, so that the least of them tells. */
static double base_of_phase(bh_sched_t *s, bh_phase_t *phase)
{
	double least = 0;

	for (uint32_t i = 0; i < phase->step->count; i++) {
		const bh_run_t *run = phase->tasks[i].runs[0];
		double value;

		if (!run || !is_serving_run(run))
			continue;
		/* Harm that is overrated must not push the base below any
		 * tail that was really seen. */
		if (phase->least_ms == 0 || run->gauge < phase->least_ms)
			phase->least_ms = run->gauge;
		value = run->gauge /
			(1 + bh_pairs_excess(s->pairs, phase->step->image,
					     run->host->press,
					     run->host->n_press));
		if (least == 0 || value < least)
			least = value;
	}
	return MIN(MAX(least, phase->least_ms),
		   phase->step->target_ms * BASE_MAX);
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

/* The least share that each image had in all of the last reports. */
static uint32_t lasting_presses(const bh_host_t *host, bh_press_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < host->n_recent[0]; i++) {
		bh_press_t least = host->recent[0][i];

		for (int r = 1; r < BH_RECENT_REPORTS; r++) {
			double share = 0;

			for (uint32_t k = 0; k < host->n_recent[r]; k++) {
				if (host->recent[r][k].image == least.image)
					share = host->recent[r][k].share;
			}
			least.share = MIN(least.share, share);
		}
		if (least.share > 0)
			out[n++] = least;
	}
	return n;
}

static void learn_pairs(bh_sched_t *s, bh_host_t *host)
{
	bh_press_t lasting[BH_PRESSES_MAX];
	uint32_t n_lasting = lasting_presses(host, lasting);
	const bh_run_t *run;

	if (host->n_press == 0 || host->is_sick)
		return;
	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;

		if (!is_serving_run(run) || phase->base_ms <= 0)
			continue;
		bh_pairs_bound(s->pairs, phase->step->image, lasting, n_lasting,
			       run->gauge / phase->base_ms - 1);
		bh_pairs_learn(
			s->pairs, phase->step->image, host->press,
			host->n_press,
			MIN(run->gauge / phase->base_ms - 1, EXCESS_MAX));
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
	run->paced_at = now;
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

/* Part of its speed at which the tail of @serving stays at the goal. */
static double bearable_part(const bh_sched_t *s, const bh_run_t *filler,
			    const bh_run_t *serving)
{
	const bh_phase_t *phase = serving->task->phase;
	const char *image = filler->task->phase->step->image;
	double share = (double)bh_run_need(filler) /
		       MAX(filler->host->info.cpu_milli, 1);
	double harm = bh_pairs_harm(s->pairs, image, phase->step->image);
	double full = harm * share;
	double base = MAX(phase->base_ms, phase->usual_base_ms);
	bh_press_t press[BH_PRESSES_MAX];
	double others;
	double wanted;
	uint32_t n;

	if (full < PRESS_MIN || base <= 0)
		return 1;
	n = presses_of(filler->host, press);
	others = bh_pairs_excess(s->pairs, phase->step->image, press, n) -
		 full * filler->pace / 100;
	wanted = MAX(phase->step->target_ms * STRAIN_GOAL / base - 1, 0);
	wanted = MAX(wanted - MAX(others, 0), wanted / 4) / full;
	/* A smaller share would tell nothing, for ever. */
	if (harm < HARM_SUSPECT)
		wanted = MAX(wanted, TRIAL_SHARE / MAX(share, TRIAL_SHARE));
	return wanted;
}

static double bearable_by_all(const bh_sched_t *s, const bh_run_t *filler)
{
	const bh_run_t *run;
	double part = 1;

	TAILQ_FOREACH(run, &filler->host->runs, link) {
		if (is_serving_run(run))
			part = MIN(part, bearable_part(s, filler, run));
	}
	return part;
}

static bool presses_on_strained(const bh_sched_t *s, const bh_run_t *filler)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &filler->host->runs, link) {
		if (is_serving_run(run) &&
		    run->tail >
			    run->task->phase->step->target_ms * STRAIN_HIGH &&
		    added_by(s, filler, run) >= PRESS_MIN)
			return true;
	}
	return false;
}

static void steer_filler(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bool is_pressing = presses_on_strained(s, run);
	double pace = 100 * bearable_by_all(s, run);

	if (run->host->is_harmed) {
		set_pace(s, run, 0, "a tail is over its objective for long",
			 now);
		return;
	}
	if (now - run->paced_at < SETTLE_US &&
	    (!is_pressing || run->host->strain < 1))
		return;
	if (pace < PACE_MIN_PERCENT)
		pace = 0;
	if (is_pressing)
		set_pace(s, run, MIN(pace, run->pace * 0.5), "it presses", now);
	else if (pace > run->pace + PACE_STEP_PERCENT ||
		 (pace >= 100 && run->pace < 100))
		set_pace(s, run, MIN(pace, run->pace + 50),
			 "its neighbours bear more", now);
}

/* Stopping a task that keeps checkpoints throws nothing away. */
static void move_filler(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	const bh_task_t *task = run->task;

	if (run->pace > 0 || now - run->paced_at < MOVE_AFTER_US)
		return;
	if (!task->phase->step->is_checkpointing &&
	    run->percent > MOVE_PERCENT_MAX)
		return;
	if (bh_sched_find_host(s, task, run->host, now))
		bh_run_stop(s, run, "it may not run beside its neighbours",
			    now);
}

/* Whether fillers fill the room that they are thought to have. */
static bool is_packed(const bh_host_t *host)
{
	return bh_host_filler_room(host) < host->info.cpu_milli / PACKED_PART;
}

/* Fillers that all get what they use at most show that more is unused. */
static void learn_share(bh_host_t *host)
{
	uint64_t peak = 0;
	uint64_t got = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (!is_filler_run(run) || run->pace < 100 || !run->peak ||
		    !run->gauge)
			continue;
		peak += run->peak;
		got += run->gauge;
	}
	if (peak * 2 < host->filler_cpu || peak == 0)
		return;
	if ((double)got < (double)peak * USE_SHORT)
		host->filler_share = MIN(host->filler_share + SHARE_UP, 1);
	else if ((double)got > (double)peak * USE_FULL && is_packed(host))
		host->filler_share =
			MAX(host->filler_share - SHARE_DOWN, SHARE_MIN);
}

static void update_strain(const bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_usec_t limit = s->bounds.impact_ms * BH_USEC_PER_MS / HARM_PART;
	const bh_run_t *run;

	host->strain = 0;
	host->is_harmed = false;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (!is_serving_run(run))
			continue;
		host->strain =
			MAX(host->strain,
			    run->tail / run->task->phase->step->target_ms);
		if (run->over_since && now - run->over_since > limit)
			host->is_harmed = true;
	}
}

static void steer_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	update_strain(s, host, now);
	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (!is_filler_run(run))
			continue;
		steer_filler(s, run, now);
		move_filler(s, run, now);
	}
}

uint32_t bh_run_need(const bh_run_t *run)
{
	return run->peak ? run->peak : run->task->phase->step->cpu_milli;
}

void bh_steer_started(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	double part = bearable_by_all(s, run);

	if (part < 1)
		set_pace(s, run, 100 * part, "its neighbours bear no more",
			 now);
}

double bh_steer_predict(const bh_sched_t *s, const bh_host_t *host,
			const bh_step_t *filler)
{
	bh_press_t press[BH_PRESSES_MAX];
	uint32_t n = presses_of(host, press);
	double share = (double)filler->cpu_milli / MAX(host->info.cpu_milli, 1);
	const bh_run_t *run;
	double worst = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;
		const char *image = phase->step->image;
		double excess;

		if (!phase->step->is_lasting || !phase->step->target_ms)
			continue;
		excess = bh_pairs_excess(s->pairs, image, press, n) +
			 bh_pairs_harm(s->pairs, filler->image, image) * share;
		worst = MAX(worst, MAX(phase->base_ms, phase->usual_base_ms) *
					   (1 + excess) /
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
	TAILQ_FOREACH(rec, &s->recs, link) {
		for (uint32_t i = 0; i < rec->n_phases && !bh_rec_is_over(rec);
		     i++) {
			if (rec->phases[i].step->is_lasting)
				update_base(s, &rec->phases[i]);
		}
	}
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_linked)
			continue;
		if (host->gauged_at != host->heard_at) {
			host->gauged_at = host->heard_at;
			take_gauges(host);
			learn_share(host);
			learn_pairs(s, host);
		}
		steer_host(s, host, now);
	}
}
