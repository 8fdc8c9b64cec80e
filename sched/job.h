/*
 * Jobs as the scheduler sees them: steps of tasks with dependencies, and the
 * names of tasks. Plain data; who decodes or stores it is of no concern here.
 */
#ifndef BH_SCHED_JOB_H
#define BH_SCHED_JOB_H

#include "core/types.h"

#define BH_JOB_ID_LEN	   16
#define BH_TASK_NAME_BYTES 64

/* Tasks of a job over all its occurrences; bounds a leader's memory per job. */
#define BH_JOB_TASKS_MAX 20000u

/**
 * struct bh_step - a set of like tasks
 * @after: indexes of the steps whose tasks must all be done first
 * @label: label that a host must carry, or NULL
 * @rack: rack where the data lies, or NULL
 * @image: tasks of one image behave alike, or NULL
 * @max_per_host: most tasks of one occurrence on a host; 0: no limit
 * @target_ms: latency objective of a lasting task's own users; 0: none
 * @max_unavailable: tasks that may be down through our own doing; 0: no limit
 * @is_gang: the tasks work only all together
 * @is_same_rack: the tasks are slower when spread over racks
 * @is_speculative: copies may run at the same time
 * @is_checkpointing: a later attempt may resume from a checkpoint
 * @is_long_running: runs until the job is cancelled
 * @is_filler: runs in the processor time that other tasks leave unused
 */
typedef struct bh_step {
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms;
	uint32_t n_after;
	uint32_t *after;
	char *label;
	char *rack;
	char *image;
	uint32_t max_per_host;
	uint32_t target_ms;
	uint32_t max_unavailable;
	bool is_gang;
	bool is_same_rack;
	bool is_speculative;
	bool is_checkpointing;
	bool is_long_running;
	bool is_filler;
} bh_step_t;

/**
 * struct bh_job_terms - what the queue granted when the job was accepted
 * @max_attempts: attempts at a task that may fail; 0: no limit
 * @slack_percent: objective, in percent of the longest chain of work
 * @target_ms: on top of that
 */
typedef struct bh_job_terms {
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t slack_percent;
	uint32_t target_ms;
} bh_job_terms_t;

/**
 * struct bh_job - what a caller submitted
 * @id: 16 hexadecimal digits
 * @queue: name of the queue it came through
 * @spec: opaque to the scheduler, handed to the workers
 * @accepted_ms: unix time at which it was accepted
 * @first_due_ms: unix time of occurrence 0; 0: at once
 * @repeat: number of occurrences; 0 for a job without times
 */
typedef struct bh_job {
	char id[BH_JOB_ID_LEN + 1];
	char *queue;
	char *spec;
	uint32_t n_steps;
	bh_step_t *steps;
	uint64_t accepted_ms;
	uint64_t first_due_ms;
	uint64_t interval_ms;
	uint32_t repeat;
	bool is_cancelled;
	bh_job_terms_t terms;
} bh_job_t;

typedef enum bh_job_state {
	BH_JOB_UNKNOWN,
	BH_JOB_QUEUED,
	BH_JOB_RUNNING,
	BH_JOB_COMPLETED,
	BH_JOB_FAILED,
	BH_JOB_CANCELLED,
} bh_job_state_t;

/**
 * struct bh_task_name - a task of a job
 */
typedef struct bh_task_name {
	char job[BH_JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} bh_task_name_t;

const char *bh_job_state_name(bh_job_state_t state);

/**
 * bh_job_id_is_valid() - whether a text has the form of a job's id
 */
bool bh_job_id_is_valid(const char *id);
uint32_t bh_job_occurrences(const bh_job_t *job);

/**
 * bh_job_critical_path_ms() - estimated longest chain of work of one occurrence
 */
uint64_t bh_job_critical_path_ms(const bh_job_t *job);

/**
 * bh_job_objective_ms() - time from acceptance in which it should end
 * @critical_path_ms: its bh_job_critical_path_ms()
 */
uint64_t bh_job_objective_ms(const bh_job_t *job, uint64_t critical_path_ms);

/**
 * bh_step_work_ms() - processor time that tasks of a step take
 */
uint64_t bh_step_work_ms(const bh_step_t *step, uint32_t tasks);

/**
 * bh_job_work_ms() - processor time of its fillers, and of its other tasks
 * @other: set to the latter; both in core milliseconds, lasting tasks left out
 */
uint64_t bh_job_work_ms(const bh_job_t *job, uint64_t *other);

/**
 * bh_job_check() - whether a decoded job makes sense
 *
 * Return: NULL, or a static text that says what is wrong.
 */
const char *bh_job_check(const bh_job_t *job);
void bh_job_free(bh_job_t *job);

void bh_task_name_format(const bh_task_name_t *name,
			 char out[BH_TASK_NAME_BYTES]);

/**
 * bh_task_name_parse() - read "ID.OCCURRENCE.STEP.INDEX"
 *
 * Return: false when the text has another form.
 */
bool bh_task_name_parse(const char *text, bh_task_name_t *out);

#endif
