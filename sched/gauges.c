/*
 * What workers' gauges tell: processor time that fillers use, room that they
 * find, headroom of serving tasks, and which images disturb which. Answers load
 * that swings within seconds: a phase's headroom alone is followed with each
 * look, apart from what the fillers beside its tasks take.
 */
#include "sched/sched_impl.h"

#include <math.h>

/* Headroom above which more tells nothing. */
#define HEADROOM_MAX 20.0

/* Noise of a gauge, as a part of what it shows; of a prediction, as a part of
 * the drop predicted; and least noise. */
#define NOISE_GAUGE 0.15
#define NOISE_MODEL 0.3
#define NOISE_LEAST 0.1

/* Drift of a phase's headroom alone in a second, as a part of it: load swings
 * by half within ten seconds. */
#define DRIFT_PART 0.12

/* A look that is further off than so many standard deviations counts as if it
 * were no further: gauges show single spikes. */
#define SURPRISE_MAX 3.0

/* Weight of a new look in a run's bias. */
#define BIAS_RATE 0.2

/* Headroom below which a tail may be over its objective between gauges. */
#define OVER_HEADROOM 1.08

/* Gauges follow what causes them with a lag of about one report; shares are
 * filtered alike before they are compared. */
#define LAG_RATE 0.35

/* Part of a host below which what pressed on it is forgotten. */
#define PRESS_FORGET 0.002

/* A host with such a tail and so little that presses is slow by itself. */
#define SICK_STRAIN 2.0
#define SICK_SHARE  0.02

/* What the fillers' use of the processor says of unused room. */
#define USE_FULL   0.92
#define USE_SHORT  0.8
#define SHARE_DOWN 0.05
#define SHARE_UP   0.05
#define SHARE_MIN  0.4

/* A host with less than this part of its room free is packed. */
#define PACKED_PART 8

static bh_press_t *press_of(bh_host_t *host, bh_image_t image)
{
	for (uint32_t i = 0; i < host->n_press; i++) {
		if (host->press[i].image == image)
			return &host->press[i];
	}
	if (host->n_press == BH_PRESSES_MAX)
		return NULL;
	host->press[host->n_press] = (bh_press_t){.image = image};
	return &host->press[host->n_press++];
}

static void filter_presses(bh_host_t *host)
{
	const bh_run_t *run;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < host->n_press; i++)
		host->press[i].shift = -host->press[i].share;
	TAILQ_FOREACH(run, &host->runs, link) {
		bh_press_t *press;

		if (!bh_run_is_filling(run))
			continue;
		press = press_of(host, run->task->phase->image);
		if (press)
			press->shift += (double)run->gauge /
					MAX(host->info.cpu_milli, 1);
	}
	for (uint32_t i = 0; i < host->n_press; i++) {
		bh_press_t *press = &host->press[i];

		press->share += LAG_RATE * press->shift;
		press->shift *= 1 - LAG_RATE;
		if (press->share > PRESS_FORGET)
			host->press[kept++] = *press;
	}
	host->n_press = kept;
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

/* Fillers that all get what they use at most show that more is unused. */
static void learn_share(bh_host_t *host)
{
	uint64_t peak = 0;
	uint64_t got = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (!bh_run_is_filling(run) || run->pace < 100 || !run->peak ||
		    !run->gauge)
			continue;
		peak += run->peak;
		got += run->gauge;
	}
	if (peak * 2 < host->filler_cpu || peak == 0)
		return;
	if ((double)got < (double)peak * USE_SHORT)
		host->filler_share = MIN(host->filler_share + SHARE_UP, 1);
	else if ((double)got > (double)peak * USE_FULL &&
		 bh_host_filler_room(host) < host->info.cpu_milli / PACKED_PART)
		host->filler_share =
			MAX(host->filler_share - SHARE_DOWN, SHARE_MIN);
}

/* What else than harm may explain how far a look is from its prediction. */
static double noise_of(const bh_sched_t *s, const bh_run_t *run, double drop)
{
	const bh_host_t *host = run->host;
	bh_image_t image = run->task->phase->image;
	double noise =
		NOISE_LEAST + NOISE_GAUGE * run->headroom + NOISE_MODEL * drop;

	for (uint32_t i = 0; i < host->n_press; i++)
		noise += bh_pairs_harm(s->pairs, host->press[i].image, image) *
			 fabs(host->press[i].shift);
	return noise * noise;
}

/* Follows a phase's headroom alone, and the harm of what is beside this run. */
static void learn_run(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_phase_t *phase = run->task->phase;
	const bh_host_t *host = run->host;
	double doubt;
	double drop = bh_pairs_drop(s->pairs, phase->image, host->press,
				    host->n_press, &doubt);
	double noise = noise_of(s, run, drop);
	double drift = DRIFT_PART * phase->headroom;
	double total;
	double miss;
	double limit;

	if (phase->headroom_variance <= 0) {
		phase->headroom = run->headroom + drop;
		phase->headroom_variance = noise + doubt;
		phase->headroom_at = now;
		return;
	}
	phase->headroom_variance += drift * drift *
				    (double)(now - phase->headroom_at) /
				    BH_USEC_PER_SEC;
	total = phase->headroom_variance + doubt + noise;
	limit = SURPRISE_MAX * sqrt(total);
	miss = run->headroom - (phase->headroom - drop);
	miss = CLAMP(miss, -limit, limit);
	run->bias += BIAS_RATE * (miss - run->bias);
	bh_pairs_learn(s->pairs, phase->image, host->press, host->n_press,
		       -miss, phase->headroom_variance + noise);
	phase->headroom += phase->headroom_variance / total * miss;
	phase->headroom = CLAMP(phase->headroom, 0, HEADROOM_MAX);
	phase->headroom_variance *= 1 - phase->headroom_variance / total;
	phase->headroom_at = now;
}

static void read_headroom(bh_run_t *run, bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;

	run->headroom = MIN((double)step->target_ms / run->gauge, HEADROOM_MAX);
	if (run->headroom > OVER_HEADROOM)
		run->over_since = 0;
	else if (!run->over_since)
		run->over_since = now;
}

bool bh_run_is_filling(const bh_run_t *run)
{
	return run->task->phase->step->is_filler && run->state == BH_RUN_ACTIVE;
}

bool bh_run_is_serving(const bh_run_t *run)
{
	const bh_step_t *step = run->task->phase->step;

	return step->is_long_running && step->target_ms &&
	       run->state == BH_RUN_ACTIVE && run->percent >= 100 &&
	       run->gauge > 0;
}

uint32_t bh_run_need(const bh_run_t *run)
{
	return run->peak ? run->peak : run->task->phase->step->cpu_milli;
}

int64_t bh_host_filler_room(const bh_host_t *host)
{
	int64_t room = (int64_t)host->info.cpu_milli -
		       (int64_t)((double)host->used_cpu * host->filler_share);
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->task->phase->step->is_filler && run->pace > 0)
			room -= bh_run_need(run);
	}
	return room;
}

void bh_gauges_take(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	filter_presses(host);
	check_sick(host);
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_filling(run) && run->pace == 100)
			run->peak = MAX(run->peak, run->gauge);
		if (!bh_run_is_serving(run))
			continue;
		read_headroom(run, now);
		if (!host->is_sick)
			learn_run(s, run, now);
	}
	learn_share(host);
}
