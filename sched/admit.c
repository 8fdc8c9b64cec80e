#include "sched/admit.h"

/* Jobs are refused when their predicted duration exceeds this percentage of
 * their objective. Run time estimates are wrong by a factor of up to 2, hence
 * the margin. */
#define ADMIT_LIMIT_PERCENT 300

/* Older predictions are ignored, and all jobs are admitted. */
#define LOAD_MAX_AGE_MS 3000

#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 20000

static const bh_backlog_t *load_for(const bh_backlog_t *loads, uint32_t n,
				    uint32_t priority)
{
	const bh_backlog_t *best = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (loads[i].priority <= priority)
			best = &loads[i];
	}
	return best;
}

bool bh_admit(const bh_job_t *job, const bh_backlog_t *loads, uint32_t n,
	      int64_t age_ms, uint64_t *retry_after_ms)
{
	const bh_backlog_t *load = load_for(loads, n, job->terms.priority);
	uint64_t others;
	uint64_t fillers = bh_job_work_ms(job, &others);
	uint64_t critical_path = bh_job_critical_path_ms(job);
	uint64_t limit = bh_job_objective_ms(job, critical_path) *
			 ADMIT_LIMIT_PERCENT / 100;
	uint64_t wait;
	uint64_t end;

	*retry_after_ms = 0;
	if (!load || age_ms > LOAD_MAX_AGE_MS || job->first_due_ms ||
	    (!fillers && !others))
		return true;
	wait = fillers > others ? load->wait_filler_ms : load->wait_ms;
	end = wait + critical_path;
	if (end <= limit)
		return true;
	*retry_after_ms = CLAMP(end - limit, RETRY_MIN_MS, RETRY_MAX_MS);
	return false;
}

/* Long-running and scheduled jobs have no objective to miss. */
static bool has_objective(const bh_job_t *job)
{
	uint64_t work;

	bh_job_work_kind(job, &work);
	return work && !job->first_due_ms;
}

/* Callers that were refused at the same time must not come back at the same
 * time: retries are spread over a quarter of the wait, and over 1 s at least,
 * which is the unit of Retry-After. */
static uint64_t spread(uint64_t retry_ms, uint32_t random)
{
	uint64_t width = MAX(retry_ms / 4, RETRY_MIN_MS);

	return retry_ms + width * (random % 1024) / 1024;
}

/* Results after the objective are worth 15 %, and a job that is accepted delays
 * others of its priority, so that jobs that would be late are refused. One that
 * would be late by less than the shortest time after which its caller can come
 * back is accepted: refusing it would only make it later. */
bool bh_admit_by_forecast(const bh_job_t *job, const bh_forecast_t *f,
			  int64_t age_ms, uint32_t random, bh_admission_t *out)
{
	uint32_t priority = job->terms.priority;
	uint64_t critical_path = bh_job_critical_path_ms(job);
	uint64_t objective = bh_job_objective_ms(job, critical_path);
	uint64_t work;
	bh_work_kind_t kind = bh_job_work_kind(job, &work);

	*out = (bh_admission_t){.is_accepted = true};
	if (!f || age_ms > LOAD_MAX_AGE_MS || !has_objective(job))
		return true;
	out->ahead_ms = bh_forecast_ahead_ms(f, kind, priority);
	out->end_ms =
		MAX(bh_forecast_time_ms(f, kind, out->ahead_ms) + critical_path,
		    bh_forecast_time_ms(f, kind, out->ahead_ms + work));
	out->limit_ms = objective + RETRY_MIN_MS;
	out->is_hopeless = out->end_ms > objective * ADMIT_LIMIT_PERCENT / 100;
	if (out->end_ms <= out->limit_ms ||
	    bh_forecast_is_idle(f, kind, priority, job->steps[0].cpu_milli))
		return true;
	out->is_accepted = false;
	out->retry_after_ms = spread(
		CLAMP(out->end_ms - out->limit_ms, RETRY_MIN_MS, RETRY_MAX_MS),
		random);
	return false;
}
