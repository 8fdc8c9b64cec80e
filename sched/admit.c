#include "sched/admit.h"

/* Jobs are refused when their predicted duration exceeds this percentage of
 * their objective. Run time estimates are wrong by a factor of up to 2, hence
 * the margin. */
#define ADMIT_LIMIT_PERCENT 300

/* Older predictions are ignored, and all jobs are admitted. */
#define LOAD_MAX_AGE_MS 3000

#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 20000

/* Callers come back this often. */
#define CALLER_RETRIES 4

/* The time until a job's end, and with it the callers that come back before,
 * is approached in this many passes. */
#define HELD_PASSES 3

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

/* Work that is placed before a job: that of callers who come back before the
 * job has ended counts too, unless the job's own caller is one of them. */
static uint64_t work_ahead(const bh_job_t *job, const bh_outlook_t *o,
			   bh_work_kind_t kind, bool is_held, bh_usec_t now)
{
	uint32_t priority = job->terms.priority;
	uint64_t accepted = bh_forecast_ahead_ms(o->forecast, kind, priority);
	uint64_t path = bh_job_critical_path_ms(job);
	uint64_t ahead = accepted;

	for (int i = 0; i < HELD_PASSES && !is_held; i++) {
		uint64_t ms =
			bh_forecast_time_ms(o->forecast, kind, ahead) + path;

		ahead = accepted +
			bh_holds_ahead_ms(o->holds, kind, priority,
					  now + (bh_usec_t)ms * BH_USEC_PER_MS);
	}
	return ahead;
}

/* Results after the objective are worth 15 %, and a job that is accepted delays
 * others of its priority, so that jobs that would be late are refused. One that
 * would be late by less than the shortest time after which its caller can come
 * back is accepted: refusing it would only make it later. So is one whose
 * caller would not come back again, as long as the result has any value. */
static uint64_t limit_ms(const bh_job_t *job, const bh_hold_t *hold)
{
	uint64_t objective =
		bh_job_objective_ms(job, bh_job_critical_path_ms(job));

	if (hold && hold->refusals >= CALLER_RETRIES)
		return objective * ADMIT_LIMIT_PERCENT / 100;
	return objective + RETRY_MIN_MS;
}

bool bh_admit_by_forecast(const bh_job_t *job, const bh_outlook_t *outlook,
			  bh_usec_t now, bh_admission_t *out)
{
	const bh_forecast_t *f = outlook->forecast;
	uint64_t critical_path = bh_job_critical_path_ms(job);
	uint64_t objective = bh_job_objective_ms(job, critical_path);
	const bh_hold_t *hold = bh_holds_find(outlook->holds, job->id, now);
	uint64_t work;
	bh_work_kind_t kind = bh_job_work_kind(job, &work);

	*out = (bh_admission_t){.is_accepted = true};
	if (hold)
		out->held_ms =
			(uint64_t)(now - hold->refused_at) / BH_USEC_PER_MS;
	if (!f || outlook->age_ms > LOAD_MAX_AGE_MS || !has_objective(job))
		return true;
	out->ahead_ms = work_ahead(job, outlook, kind, hold != NULL, now);
	out->end_ms =
		MAX(bh_forecast_time_ms(f, kind, out->ahead_ms) + critical_path,
		    bh_forecast_time_ms(f, kind, out->ahead_ms + work));
	out->limit_ms = limit_ms(job, hold);
	out->is_hopeless = out->end_ms > objective * ADMIT_LIMIT_PERCENT / 100;
	if (out->end_ms <= out->limit_ms ||
	    bh_forecast_is_idle(f, kind, job->terms.priority,
				job->steps[0].cpu_milli) ||
	    bh_shares_has_room(&f->shares, job))
		return true;
	out->is_accepted = false;
	out->retry_after_ms = spread(
		CLAMP(out->end_ms - out->limit_ms, RETRY_MIN_MS, RETRY_MAX_MS),
		outlook->random);
	return false;
}
