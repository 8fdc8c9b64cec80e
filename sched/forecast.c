#include "sched/forecast.h"

static const int64_t point_ms[BH_FORECAST_POINTS] = {0, 1000, 2000, 5000,
						     10000};

void bh_forecast_add_capacity(bh_forecast_t *f, bh_work_kind_t kind,
			      uint64_t cpu_milli, int64_t in_ms)
{
	for (int i = 0; i < BH_FORECAST_POINTS; i++) {
		if (point_ms[i] >= in_ms)
			f->free_milli[kind][i] += cpu_milli;
	}
}

void bh_forecast_take_capacity(bh_forecast_t *f, bh_work_kind_t kind,
			       uint64_t cpu_milli, int64_t in_ms)
{
	for (int i = 0; i < BH_FORECAST_POINTS; i++) {
		uint64_t *left = &f->free_milli[kind][i];

		if (point_ms[i] >= in_ms)
			*left -= MIN(*left, cpu_milli);
	}
}

bh_demand_t *bh_forecast_demand(bh_forecast_t *f, uint32_t priority)
{
	uint32_t i = 0;

	while (i < f->n_demands && f->demands[i].priority < priority)
		i++;
	if (i < f->n_demands && f->demands[i].priority == priority)
		return &f->demands[i];
	if (i == BH_FORECAST_PRIORITIES)
		return NULL;
	f->n_demands = MIN(f->n_demands + 1, BH_FORECAST_PRIORITIES);
	for (uint32_t k = f->n_demands - 1; k > i; k--)
		f->demands[k] = f->demands[k - 1];
	f->demands[i] = (bh_demand_t){.priority = priority};
	return &f->demands[i];
}

/* Capacity is taken to grow evenly between two points, and to stay as it is
 * after the last one. */
uint64_t bh_forecast_time_ms(const bh_forecast_t *f, bh_work_kind_t kind,
			     uint64_t work_ms)
{
	const uint64_t *cpu = f->free_milli[kind];
	double left = (double)work_ms * 1000;
	double ms;

	if (!work_ms)
		return 0;
	for (int i = 0; i + 1 < BH_FORECAST_POINTS; i++) {
		double span = (double)(point_ms[i + 1] - point_ms[i]);
		double mean = ((double)cpu[i] + (double)cpu[i + 1]) / 2;

		if (left <= span * mean)
			return (uint64_t)((double)point_ms[i] + left / mean);
		left -= span * mean;
	}
	if (!cpu[BH_FORECAST_POINTS - 1])
		return BH_FORECAST_WAIT_MAX_MS;
	ms = (double)point_ms[BH_FORECAST_POINTS - 1] +
	     left / (double)cpu[BH_FORECAST_POINTS - 1];
	return (uint64_t)MIN(ms, BH_FORECAST_WAIT_MAX_MS);
}

uint64_t bh_forecast_ahead_ms(const bh_forecast_t *f, bh_work_kind_t kind,
			      uint32_t priority)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < f->n_demands; i++) {
		const bh_demand_t *d = &f->demands[i];

		if (d->priority > priority)
			break;
		work += d->work_ms[kind];
		if (d->priority < priority)
			work += d->late_ms[kind];
	}
	return work;
}

bool bh_forecast_is_idle(const bh_forecast_t *f, bh_work_kind_t kind,
			 uint32_t priority, uint32_t cpu_milli)
{
	for (uint32_t i = 0; i < f->n_demands; i++) {
		if (f->demands[i].priority <= priority &&
		    f->demands[i].waiting[kind])
			return false;
	}
	return f->largest_milli[kind] >= MAX(cpu_milli, 1);
}

bh_work_kind_t bh_job_work_kind(const bh_job_t *job, uint64_t *work_ms)
{
	uint64_t plain;
	uint64_t fillers = bh_job_work_ms(job, &plain);

	*work_ms = MAX(fillers, plain);
	return fillers > plain ? BH_WORK_FILLER : BH_WORK_PLAIN;
}

/* What does not fit into the processor time that is free now waits. */
void bh_forecast_charge(bh_forecast_t *f, const bh_job_t *job)
{
	bh_demand_t *d = bh_forecast_demand(f, job->terms.priority);
	uint64_t work;
	bh_work_kind_t kind = bh_job_work_kind(job, &work);
	const bh_step_t *step = &job->steps[0];
	uint64_t wanted = (uint64_t)step->count * step->cpu_milli;

	if (step->is_long_running)
		return;
	bh_shares_add(&f->shares, job, 0, wanted, -1);
	if (!d)
		return;
	d->work_ms[kind] += work;
	if (wanted > f->free_milli[kind][0])
		d->waiting[kind] += step->count;
}
