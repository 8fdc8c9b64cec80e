/*
 * Helpers for tasks and for logging that the other files of the scheduler
 * share.
 */
#include "sched/sched_impl.h"

#include <stdarg.h>

bh_usec_t bh_sched_lease_bound(const bh_sched_t *s)
{
	return bh_lease_bound(s->bounds.lease_ms * BH_USEC_PER_MS);
}

void bh_sched_log(bh_sched_t *s, const char *what, const char *job,
		  const char *format, ...)
{
	char detail[256];
	va_list args;

	if (!s->ops->event)
		return;
	va_start(args, format);
	g_vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	s->ops->event(s->ctx, what, job, detail);
}

bool bh_rec_is_over(const bh_rec_t *rec)
{
	return rec->state >= BH_JOB_COMPLETED;
}

void bh_task_full_name(const bh_task_t *task, char out[BH_TASK_NAME_BYTES])
{
	bh_task_name_t name = {
		.occurrence = task->phase->occurrence,
		.step = task->phase->step_index,
		.index = task->index,
	};

	memcpy(name.job, task->phase->rec->job->id, sizeof(name.job));
	bh_task_name_format(&name, out);
}

uint32_t bh_task_next_attempt(const bh_sched_t *s, const bh_task_t *task)
{
	uint64_t base = (s->bounds.term - 1) * BH_ATTEMPTS_PER_TERM;

	return MAX(task->attempt, (uint32_t)base) + 1;
}

void bh_task_set_waiting(bh_task_t *task, bool is_waiting)
{
	if (task->is_waiting == is_waiting)
		return;
	task->is_waiting = is_waiting;
	if (is_waiting)
		task->phase->waiting++;
	else
		task->phase->waiting--;
}

bool bh_task_has_run(const bh_task_t *task)
{
	return task->runs[0] || task->runs[1];
}
