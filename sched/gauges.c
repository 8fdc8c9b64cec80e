/*
 * Estimates from the gauges in workers' reports: processor time that fillers
 * use and find free, headroom of serving tasks, and interference between
 * images. The load of serving tasks can swing within seconds, so each
 * measurement updates an estimate of the phase's headroom without fillers
 * separately from the drop that the fillers beside its tasks cause.
 */
#include "sched/sched_impl.h"

#include <math.h>

/* Measured headroom is clipped to this; more carries no information. */
#define HEADROOM_MAX 20.0

/* Standard deviations: of a gauge, relative to the measured headroom; of the
 * model, relative to the predicted drop; and a constant minimum. */
#define NOISE_GAUGE 0.15
#define NOISE_MODEL 0.3
#define NOISE_MIN   0.1

/* An innovation is clipped to this many standard deviations, because gauges
 * show single spikes. */
#define INNOVATION_STDDEVS_MAX 3.0

/* Weight of a new innovation in the moving average that is a run's bias. */
#define BIAS_WEIGHT 0.2

/* Below this headroom a tail latency may exceed its objective between two
 * gauges. */
#define OVER_OBJECTIVE_HEADROOM 1.08

/* Weight of a new sample in the low-pass filter of filler shares. Latency
 * gauges lag their cause by about one report, so shares are delayed alike
 * before both are compared. */
#define SHARE_FILTER_WEIGHT 0.35

/* The load of an image whose filtered share of the host is smaller is dropped.
 */
#define SHARE_NEGLIGIBLE 0.002

/* A host whose strain is higher while the fillers' share is lower than these is
 * degraded for reasons other than its fillers. */
#define DEGRADED_STRAIN	   2.0
#define DEGRADED_SHARE_MAX 0.02

/* Fillers' measured processor time relative to their peak: below the first they
 * compete for processor time, above the second they do not. The share of the
 * other tasks' requested processor time that counts as used is then raised or
 * lowered by one step. */
#define CONTENDED_RATIO	       0.8
#define UNCONTENDED_RATIO      0.92
#define FILLER_SHARE_STEP_DOWN 0.05
#define FILLER_SHARE_STEP_UP   0.05
#define FILLER_SHARE_MIN       0.4

/* A host with less than one part in this many of its processor time free is
 * packed. */
#define PACKED_DIVISOR 8

static bh_filler_load_t *filler_load_get(bh_host_t *host, bh_image_id_t image)
{
	for (uint32_t i = 0; i < host->n_filler_loads; i++) {
		if (host->filler_loads[i].image == image)
			return &host->filler_loads[i];
	}
	if (host->n_filler_loads == BH_FILLER_LOADS_MAX)
		return NULL;
	host->filler_loads[host->n_filler_loads] =
		(bh_filler_load_t){.image = image};
	return &host->filler_loads[host->n_filler_loads++];
}

static void update_filler_loads(bh_host_t *host)
{
	const bh_run_t *run;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < host->n_filler_loads; i++)
		host->filler_loads[i].residual = -host->filler_loads[i].share;
	TAILQ_FOREACH(run, &host->runs, link) {
		bh_filler_load_t *load;

		if (!bh_run_is_active_filler(run))
			continue;
		load = filler_load_get(host, run->task->phase->image);
		if (load)
			load->residual += (double)run->gauge /
					  MAX(host->info.cpu_milli, 1);
	}
	for (uint32_t i = 0; i < host->n_filler_loads; i++) {
		bh_filler_load_t *load = &host->filler_loads[i];

		load->share += SHARE_FILTER_WEIGHT * load->residual;
		load->residual *= 1 - SHARE_FILTER_WEIGHT;
		if (load->share > SHARE_NEGLIGIBLE)
			host->filler_loads[kept++] = *load;
	}
	host->n_filler_loads = kept;
}

/* A tail latency that is high beside next to no filler load has another cause
 * on the host. */
static void update_degraded(bh_host_t *host)
{
	double share = 0;

	for (uint32_t i = 0; i < host->n_filler_loads; i++)
		share += host->filler_loads[i].share;
	if (host->strain > DEGRADED_STRAIN && share < DEGRADED_SHARE_MAX)
		host->is_degraded = true;
	else if (host->strain < 1)
		host->is_degraded = false;
}

/* Fillers at full pace that reach their peak usage show that the other tasks
 * leave more processor time unused than assumed. */
static void update_filler_share(bh_host_t *host)
{
	uint64_t peak_cpu = 0;
	uint64_t measured_cpu = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (!bh_run_is_active_filler(run) || run->pace < 100 ||
		    !run->peak_cpu || !run->gauge)
			continue;
		peak_cpu += run->peak_cpu;
		measured_cpu += run->gauge;
	}
	if (peak_cpu * 2 < host->filler_cpu || peak_cpu == 0)
		return;
	if ((double)measured_cpu < (double)peak_cpu * CONTENDED_RATIO)
		host->filler_share =
			MIN(host->filler_share + FILLER_SHARE_STEP_UP, 1);
	else if ((double)measured_cpu > (double)peak_cpu * UNCONTENDED_RATIO &&
		 bh_host_free_filler_cpu(host) <
			 host->info.cpu_milli / PACKED_DIVISOR)
		host->filler_share =
			MAX(host->filler_share - FILLER_SHARE_STEP_DOWN,
			    FILLER_SHARE_MIN);
}

/* Variance of the innovation from causes other than wrong estimates of the
 * interference and of the headroom without fillers. While filler shares change,
 * gauge and shares match less well. */
static double innovation_noise(const bh_sched_t *s, const bh_run_t *run,
			       double drop)
{
	const bh_host_t *host = run->host;
	bh_image_id_t image = run->task->phase->image;
	double noise =
		NOISE_MIN + NOISE_GAUGE * run->headroom + NOISE_MODEL * drop;

	for (uint32_t i = 0; i < host->n_filler_loads; i++)
		noise += bh_pairs_interference(
				 s->pairs, host->filler_loads[i].image, image) *
			 fabs(host->filler_loads[i].residual);
	return noise * noise;
}

/* Updates the phase's headroom without fillers and the interference of the
 * fillers beside the run from the run's measured headroom. */
static void update_headroom_model(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_phase_t *phase = run->task->phase;
	bh_headroom_t *base = &phase->headroom;
	const bh_host_t *host = run->host;
	double drop_variance;
	double drop = bh_pairs_predict_drop(
		s->pairs, phase->image, host->filler_loads,
		host->n_filler_loads, &drop_variance);
	double noise = innovation_noise(s, run, drop);
	double innovation;
	double innovation_max;

	bh_headroom_advance(base, now);
	if (!bh_headroom_is_known(base)) {
		bh_headroom_correct(base, run->headroom + drop,
				    noise + drop_variance, now);
		return;
	}
	innovation_max = INNOVATION_STDDEVS_MAX *
			 sqrt(base->level_variance + drop_variance + noise);
	innovation = run->headroom - (base->level - drop);
	innovation = CLAMP(innovation, -innovation_max, innovation_max);
	run->bias += BIAS_WEIGHT * (innovation - run->bias);
	bh_pairs_learn(s->pairs, phase->image, host->filler_loads,
		       host->n_filler_loads, -innovation,
		       base->level_variance + noise);
	bh_headroom_correct(base, base->level + innovation,
			    drop_variance + noise, now);
}

static void measure_headroom(bh_run_t *run, bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;

	run->headroom = MIN((double)step->target_ms / run->gauge, HEADROOM_MAX);
	if (run->headroom > OVER_OBJECTIVE_HEADROOM)
		run->over_objective_since = 0;
	else if (!run->over_objective_since)
		run->over_objective_since = now;
}

bool bh_run_is_active_filler(const bh_run_t *run)
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

uint32_t bh_run_full_pace_cpu(const bh_run_t *run)
{
	return run->peak_cpu ? run->peak_cpu
			     : run->task->phase->step->cpu_milli;
}

int64_t bh_host_free_filler_cpu(const bh_host_t *host)
{
	int64_t free_cpu =
		(int64_t)host->info.cpu_milli -
		(int64_t)((double)host->used_cpu * host->filler_share);
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->task->phase->step->is_filler && run->pace > 0)
			free_cpu -= bh_run_full_pace_cpu(run);
	}
	return free_cpu;
}

void bh_gauges_update(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	update_filler_loads(host);
	update_degraded(host);
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_active_filler(run) && run->pace == 100)
			run->peak_cpu = MAX(run->peak_cpu, run->gauge);
		if (!bh_run_is_serving(run))
			continue;
		measure_headroom(run, now);
		if (!host->is_degraded)
			update_headroom_model(s, run, now);
	}
	update_filler_share(host);
}
