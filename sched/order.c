/*
 * Order in which waiting phases are placed.
 *
 * Load pattern: more work than capacity, where the order decides which jobs
 * miss their objective. Those that can still meet it come first, by the time
 * that they can wait. Of the others, the one with the least work left comes
 * first, so that most of them end.
 */
#include "sched/sched_impl.h"
#include "sched/shares.h"

/* Layout of a phase's rank, lowest first: priority, then whether the phase is
 * too late to meet its objective. */
#define RANK_PRIORITY_SHIFT 48
#define RANK_LATE	    ((uint64_t)1 << 47)

/* After all other phases of the same priority. */
#define RANK_DEFERRED (((uint64_t)1 << RANK_PRIORITY_SHIFT) - 1)

/* The objective goes by the longest task of each step, the estimate by the mean
 * task. Tasks of a step differ by about a third. */
#define LONGEST_TASK_PERCENT 130

static int64_t remaining_chain_ms(const bh_phase_t *phase)
{
	const bh_rec_t *rec = phase->rec;
	uint64_t steps = MAX(rec->job->n_steps, 1);
	uint64_t done = rec->phases_done % steps;

	return (int64_t)(rec->critical_path_ms * (steps - done) / steps);
}

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
		      first[i].step->estimate_ms;
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

bool bh_phase_is_late(const bh_sched_t *s, const bh_phase_t *phase)
{
	return (int64_t)due_ms(phase) - remaining_chain_ms(phase) <
	       (int64_t)s->unix_ms;
}

/* Time for which the task of a phase that has waited longest has waited. */
static int64_t longest_wait_ms(const bh_phase_t *phase, bh_usec_t now)
{
	bh_usec_t since = now;

	for (uint32_t i = 0; i < phase->step->count; i++) {
		const bh_task_t *task = &phase->tasks[i];

		if (task->is_waiting)
			since = MIN(since, task->waiting_since);
	}
	return (now - since) / BH_USEC_PER_MS;
}

uint64_t bh_phase_rank(const bh_sched_t *s, const bh_phase_t *phase,
		       bh_usec_t now)
{
	uint64_t rank = (uint64_t)phase->rec->job->terms.priority
			<< RANK_PRIORITY_SHIFT;
	uint64_t due = due_ms(phase);
	int64_t left = remaining_chain_ms(phase);

	if (phase->step->is_long_running) {
		bool is_deferred =
			s->bounds.has_shares &&
			bh_shares_defers_serving(longest_wait_ms(phase, now));

		return is_deferred ? rank + RANK_DEFERRED : rank;
	}
	if ((int64_t)due - left < (int64_t)s->unix_ms)
		return rank + RANK_LATE + (uint64_t)left;
	return rank + (due - (uint64_t)left) % RANK_LATE;
}
