/*
 * Jobs as the scheduler sees them: a graph of steps, each with a number of
 * tasks, and the names of tasks. Plain data; encoding and storage are
 * elsewhere.
 */
#ifndef BH_SCHED_JOB_H
#define BH_SCHED_JOB_H

#include "core/types.h"

#define BH_JOB_ID_LEN	   16
#define BH_TASK_NAME_BYTES 64

/* Most tasks of a job over all its occurrences; bounds the leader's memory per
 * job. */
#define BH_JOB_TASKS_MAX 20000u

/* Largest amount that a step may request; far more than any real one. */
#define BH_JOB_AMOUNT_MAX 1000000000u

/* Latest time, since 1970; within the range in which JSON numbers are exact. */
#define BH_JOB_TIME_MAX_MS 9000000000000000u

/* Larger work of a step counts as this much, so that sums fit. */
#define BH_JOB_WORK_MAX_MS 100000000000000u

/* Highest settings of a queue, so that ranks and objectives fit. */
#define BH_SLACK_FACTOR_MAX   1000
#define BH_SLACK_PERCENT_MAX  (BH_SLACK_FACTOR_MAX * 100u)
#define BH_QUEUE_PRIORITY_MAX 65535u

/**
 * struct bh_step - a set of tasks with the same requirements
 * @estimate_ms: estimated run time of a task
 * @after: indexes of the steps whose tasks must all be done first
 * @label: label that a host must have, or NULL
 * @rack: rack that holds the input data, or NULL
 * @image: program image, or NULL; its tasks are assumed to behave alike
 * @max_per_host: most tasks of one occurrence on a host; 0: no limit
 * @target_ms: tail latency objective of a long-running task's requests; 0: none
 * @max_unavailable: most tasks that the scheduler may make unavailable at a
 *	time; 0: no limit
 * @is_gang: the tasks make progress only while all of them run
 * @is_same_rack: the tasks are slower when they are spread over racks
 * @is_speculative: two attempts at a task may run at the same time
 * @is_checkpointing: a later attempt may resume from a checkpoint
 * @is_long_running: a serving task, which runs until the job is cancelled
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
 * struct bh_job_terms - settings of the job's queue, as of the configuration in
 * use, or of the job's acceptance if the queue is no longer configured
 * @priority: 0 comes first
 * @max_attempts: the job fails once this many attempts at one of its tasks have
 *	failed; 0: no limit
 * @slack_percent: the part of the objective that is proportional to the
 *	critical path, in percent of it
 * @target_ms: the constant part of the objective
 */
typedef struct bh_job_terms {
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t slack_percent;
	uint32_t target_ms;
} bh_job_terms_t;

/**
 * struct bh_job - a job as submitted
 * @id: 16 hexadecimal digits
 * @queue: name of the queue it was submitted to
 * @zone: availability zone of its caller's entry, NULL if not known
 * @spec: opaque to the scheduler, passed on to the workers
 * @accepted_ms: unix time at which it was accepted
 * @first_due_ms: unix time of occurrence 0; 0: due at once
 * @interval_ms: time between occurrences
 * @repeat: number of occurrences; 0 for a job without a schedule, which runs
 *	once
 */
typedef struct bh_job {
	char id[BH_JOB_ID_LEN + 1];
	char *queue;
	char *zone;
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
 * struct bh_task_name - identifies a task: its job, and its indexes
 */
typedef struct bh_task_name {
	char job[BH_JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} bh_task_name_t;

const char *bh_job_state_name(bh_job_state_t state);

/**
 * bh_job_id_is_valid() - whether a string has the form of a job's id
 */
bool bh_job_id_is_valid(const char *id);

/**
 * bh_job_occurrences() - number of occurrences, at least 1
 */
uint32_t bh_job_occurrences(const bh_job_t *job);

/**
 * bh_job_critical_path_ms() - estimated run time of the longest chain of
 * dependent steps of one occurrence; long-running steps count as 0
 */
uint64_t bh_job_critical_path_ms(const bh_job_t *job);

/**
 * bh_job_objective_ms() - time from acceptance within which a job should end
 * @critical_path_ms: result of bh_job_critical_path_ms()
 */
uint64_t bh_job_objective_ms(const bh_job_t *job, uint64_t critical_path_ms);

/**
 * bh_step_work_ms() - estimated processor time of a number of a step's tasks,
 * in core milliseconds
 */
uint64_t bh_step_work_ms(const bh_step_t *step, uint32_t tasks);

/**
 * bh_job_work_ms() - estimated processor time of a job's fillers
 * @other: set to that of its other tasks, long-running ones excluded
 *
 * Both are in core milliseconds, for one occurrence.
 */
uint64_t bh_job_work_ms(const bh_job_t *job, uint64_t *other);

/**
 * bh_job_check() - validate a decoded job
 *
 * Return: NULL if it is valid, otherwise a static error message.
 */
const char *bh_job_check(const bh_job_t *job);
void bh_job_free(bh_job_t *job);

void bh_task_name_format(const bh_task_name_t *name,
			 char out[BH_TASK_NAME_BYTES]);

/**
 * bh_task_name_parse() - parse "ID.OCCURRENCE.STEP.INDEX"
 *
 * Return: false when @text has another form.
 */
bool bh_task_name_parse(const char *text, bh_task_name_t *out);

#endif
