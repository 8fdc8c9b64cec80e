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
