#include "sched/predictions.h"

#include <math.h>

/* A run time is below BH_JOB_AMOUNT_MAX, whose logarithm is 20.7. */
#define LOG_SCALE_MAX 25.0

void bh_predictions_clear(bh_predictions_t *p)
{
	for (uint32_t i = 0; i < p->n; i++) {
		g_free(p->rows[i].queue);
		g_free(p->rows[i].image);
	}
	p->n = 0;
}

bool bh_predictions_add(bh_predictions_t *p, const bh_prediction_t *row)
{
	/* Comparisons with a value that is not a number are false. */
	if (p->n == BH_PREDICTIONS_MAX || !row->queue ||
	    !(fabs(row->log_scale) <= LOG_SCALE_MAX) ||
	    !(row->exponent >= 0 && row->exponent <= 1))
		return false;
	p->rows[p->n] = *row;
	p->rows[p->n].queue = g_strdup(row->queue);
	p->rows[p->n].image = g_strdup(row->image);
	p->n++;
	return true;
}

static const bh_prediction_t *find(const bh_predictions_t *p,
				   const bh_job_t *job, uint32_t step)
{
	for (uint32_t i = 0; i < p->n; i++) {
		const bh_prediction_t *row = &p->rows[i];

		if (row->step == step && strcmp(row->queue, job->queue) == 0 &&
		    g_strcmp0(row->image, job->steps[step].image) == 0)
			return row;
	}
	return NULL;
}

bh_step_t *bh_predictions_apply(const bh_predictions_t *p, const bh_job_t *job)
{
	bh_step_t *steps =
		g_memdup2(job->steps, job->n_steps * sizeof(job->steps[0]));

	for (uint32_t i = 0; i < job->n_steps; i++) {
		const bh_prediction_t *row = find(p, job, i);
		double ms;

		if (!row || steps[i].is_long_running)
			continue;
		ms = exp(row->log_scale +
			 row->exponent * log(MAX(steps[i].estimate_ms, 1)));
		steps[i].estimate_ms =
			(uint32_t)CLAMP(ms, 1, BH_JOB_AMOUNT_MAX);
	}
	return steps;
}
