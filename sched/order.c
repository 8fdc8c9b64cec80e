/*
 * Order in which waiting phases are placed.
 *
 * Load pattern: more work than capacity, where the order decides which jobs
 * miss their objective. Those that can still meet it come first, by the time
 * that they can wait. Of the others, the one with the least work left comes
 * first, so that most of them end.
 */
#include "sched/sched_impl.h"

/* Layout of a phase's rank, lowest first: priority, then whether the phase is
 * too late to meet its objective. */
#define RANK_PRIORITY_SHIFT 48
#define RANK_LATE	    ((uint64_t)1 << 47)

/* The objective goes by the longest task of each step, the estimate by the mean
 * task. Tasks of a step differ by about a third. */
#define LONGEST_TASK_PERCENT 130

/* Time that failed attempts add to the chain of the phase's occurrence. Callers
 * are owed the result that much later. */
static uint64_t retries_ms(const bh_phase_t *phase)
{
	const bh_job_t *job = phase->rec->job;
	const bh_phase_t *first =
		&phase->rec->phases[(size_t)phase->occurrence * job->n_steps];
	uint64_t ms = 0;

	for (uint32_t i = 0; i < job->n_steps; i++)
		ms += (uint64_t)first[i].most_failed *
		      bh_phase_expected_ms(&first[i]);
	return ms;
}

static uint64_t due_ms(const bh_phase_t *phase)
{
	const bh_job_t *job = phase->rec->job;
	uint64_t due = job->accepted_ms;

	if (job->first_due_ms)
		due = job->first_due_ms + phase->occurrence * job->interval_ms;
	due += bh_job_objective_ms(job, phase->rec->critical_path_ms) *
	       LONGEST_TASK_PERCENT / 100;
	return due + retries_ms(phase) * job->terms.slack_percent / 100;
}

uint64_t bh_phase_rank(const bh_sched_t *s, const bh_phase_t *phase)
{
	uint64_t rank = (uint64_t)phase->rec->job->terms.priority
			<< RANK_PRIORITY_SHIFT;
	uint64_t due = due_ms(phase);
	int64_t left = (int64_t)bh_phase_chain_ms(phase);

	if (phase->step->is_long_running)
		return rank;
	if ((int64_t)due - left < (int64_t)s->unix_ms)
		return rank + RANK_LATE + (uint64_t)left;
	return rank + (due - (uint64_t)left) % RANK_LATE;
}
