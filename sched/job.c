#include "sched/job.h"

static bool is_hex_digit(char c)
{
	return g_ascii_isdigit(c) || (c >= 'a' && c <= 'f') ||
	       (c >= 'A' && c <= 'F');
}

static void step_clear(bh_step_t *step)
{
	g_free(step->after);
	g_free(step->label);
	g_free(step->rack);
	g_free(step->image);
}

static const char *check_step(const bh_job_t *job, uint32_t i)
{
	const bh_step_t *step = &job->steps[i];

	if (step->count == 0 || step->count > BH_JOB_TASKS_MAX)
		return "a step's count is out of range";
	if (MAX(step->cpu_milli, step->memory_mb) > BH_JOB_AMOUNT_MAX ||
	    MAX(step->accelerators, step->estimate_ms) > BH_JOB_AMOUNT_MAX)
		return "a step's request is out of range";
	for (uint32_t k = 0; k < step->n_after; k++) {
		if (step->after[k] >= i)
			return "a step may only follow earlier steps";
	}
	return NULL;
}

/* Parses decimal digits up to the character @end. Returns false if there are
 * none or the value overflows. */
static bool read_number(const char **p, char end, uint32_t *out)
{
	uint64_t value = 0;
	const char *s = *p;

	if (!g_ascii_isdigit(*s))
		return false;
	for (; g_ascii_isdigit(*s); s++) {
		value = value * 10 + (uint64_t)(*s - '0');
		if (value > UINT32_MAX)
			return false;
	}
	if (*s != end)
		return false;
	*p = end ? s + 1 : s;
	*out = (uint32_t)value;
	return true;
}

const char *bh_job_state_name(bh_job_state_t state)
{
	static const char *const names[] = {
		"unknown",   "queued", "running",
		"completed", "failed", "cancelled",
	};

	return names[state];
}

bool bh_job_id_is_valid(const char *id)
{
	for (int i = 0; i < BH_JOB_ID_LEN; i++) {
		if (!is_hex_digit(id[i]))
			return false;
	}
	return id[BH_JOB_ID_LEN] == 0;
}

uint32_t bh_job_occurrences(const bh_job_t *job)
{
	return MAX(job->repeat, 1);
}

/* Whether all occurrences are due at times that can be expressed. */
static bool is_schedule_valid(const bh_job_t *job)
{
	return job->accepted_ms <= BH_JOB_TIME_MAX_MS &&
	       job->first_due_ms <= BH_JOB_TIME_MAX_MS &&
	       job->interval_ms <= (BH_JOB_TIME_MAX_MS - job->first_due_ms) /
					   bh_job_occurrences(job);
}

static bool are_terms_valid(const bh_job_terms_t *terms)
{
	return terms->priority <= BH_QUEUE_PRIORITY_MAX &&
	       terms->slack_percent <= BH_SLACK_PERCENT_MAX &&
	       terms->target_ms <= BH_JOB_AMOUNT_MAX;
}

const char *bh_job_check(const bh_job_t *job)
{
	uint64_t tasks = 0;

	if (job->n_steps == 0)
		return "a job has at least one step";
	for (uint32_t i = 0; i < job->n_steps; i++) {
		const char *why = check_step(job, i);

		if (why)
			return why;
		tasks += job->steps[i].count;
	}
	if (tasks > BH_JOB_TASKS_MAX / bh_job_occurrences(job))
		return "a job has too many tasks";
	if (!is_schedule_valid(job))
		return "first-run-ms and interval-ms lead to a time after "
		       "9000000000000000";
	if (!are_terms_valid(&job->terms))
		return "the settings of the job's queue are out of range";
	return NULL;
}

uint64_t bh_job_critical_path_ms(const bh_job_t *job)
{
	g_autofree uint64_t *ends = g_new0(uint64_t, job->n_steps);
	uint64_t longest = 0;

	for (uint32_t i = 0; i < job->n_steps; i++) {
		const bh_step_t *step = &job->steps[i];

		for (uint32_t k = 0; k < step->n_after; k++)
			ends[i] = MAX(ends[i], ends[step->after[k]]);
		if (!step->is_long_running)
			ends[i] += step->estimate_ms;
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

uint64_t bh_job_objective_ms(const bh_job_t *job, uint64_t critical_path_ms)
{
	return critical_path_ms * job->terms.slack_percent / 100 +
	       job->terms.target_ms;
}

uint64_t bh_step_work_ms(const bh_step_t *step, uint32_t tasks)
{
	uint64_t cores = (uint64_t)tasks * step->cpu_milli;
	uint64_t work;

	if (__builtin_mul_overflow(cores, step->estimate_ms, &work))
		return BH_JOB_WORK_MAX_MS;
	return MIN(work / 1000, BH_JOB_WORK_MAX_MS);
}

uint64_t bh_job_work_ms(const bh_job_t *job, uint64_t *other)
{
	uint64_t fillers = 0;

	*other = 0;
	for (uint32_t i = 0; i < job->n_steps; i++) {
		const bh_step_t *step = &job->steps[i];
		uint64_t work = bh_step_work_ms(step, step->count);

		if (step->is_long_running)
			continue;
		if (step->is_filler)
			fillers += work;
		else
			*other += work;
	}
	return fillers;
}

void bh_job_free(bh_job_t *job)
{
	if (!job)
		return;
	for (uint32_t i = 0; i < job->n_steps; i++)
		step_clear(&job->steps[i]);
	g_free(job->steps);
	g_free(job->queue);
	g_free(job->zone);
	g_free(job->spec);
	g_free(job->terms.service);
	g_free(job);
}

void bh_task_name_format(const bh_task_name_t *name,
			 char out[BH_TASK_NAME_BYTES])
{
	g_snprintf(out, BH_TASK_NAME_BYTES, "%s.%u.%u.%u", name->job,
		   name->occurrence, name->step, name->index);
}

bool bh_task_name_parse(const char *text, bh_task_name_t *out)
{
	const char *p = text + BH_JOB_ID_LEN;

	if (strlen(text) <= BH_JOB_ID_LEN || *p != '.')
		return false;
	memcpy(out->job, text, BH_JOB_ID_LEN);
	out->job[BH_JOB_ID_LEN] = 0;
	if (!bh_job_id_is_valid(out->job))
		return false;
	p++;
	return read_number(&p, '.', &out->occurrence) &&
	       read_number(&p, '.', &out->step) &&
	       read_number(&p, 0, &out->index);
}
