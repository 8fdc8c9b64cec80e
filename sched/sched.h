/*
 * The job scheduler, which runs in the leader: it places tasks on the workers
 * of all services and tracks the state of each job. It does no I/O and reads no
 * clock: the caller passes in events and the time, and carries out the orders
 * that the scheduler gives through struct bh_sched_ops.
 */
#ifndef BH_SCHED_SCHED_H
#define BH_SCHED_SCHED_H

#include "core/hist.h"
#include "sched/blame.h"
#include "sched/evacuation.h"
#include "sched/job.h"
#include "sched/locality.h"
#include "sched/queues.h"
#include "sched/worker.h"

typedef struct bh_sched bh_sched_t;

/**
 * struct bh_start - an order to start an attempt at a task
 * @spec: the job's specification, which the worker interprets
 * @checkpoint: where to resume, or NULL
 * @ticket: the adviser's ticket for the worker, or NULL
 * @boot: the start is valid only for the worker's process that began then
 * @expires_ms: end of the worker's lease, on its own clock
 * @starts_by_ms: the order is not passed on later, on the worker's clock; 0: no
 *	limit
 * @is_repeated: an earlier process of the agent may have passed it on; if a
 *call gets no answer now, no further one is made
 */
typedef struct bh_start {
	const char *task;
	uint32_t attempt;
	const char *spec;
	const char *checkpoint;
	const char *ticket;
	uint64_t boot;
	const char *worker;
	uint64_t expires_ms;
	uint64_t starts_by_ms;
	bool is_repeated;
} bh_start_t;

/**
 * struct bh_advice_request - a call to the adviser
 * @number: passed to bh_sched_advised()
 * @phase: names a step of an occurrence of a job
 * @workers: ids
 * @timeout: the call may be given up after this time
 */
typedef struct bh_advice_request {
	uint64_t number;
	const char *phase;
	const char **workers;
	uint32_t n_workers;
	bh_usec_t timeout;
} bh_advice_request_t;

/**
 * struct bh_sched_ops - orders to the caller; @host is the key of a host
 * @start: start a task
 * @stop: stop an attempt
 * @pace: limit an attempt to @percent of its full speed
 * @grant: extend the worker's lease to @expires_ms on its own clock; ends with
 *	numbers up to @ack are acknowledged, so the worker may drop them
 * @late_starts: tell the agent which starts of its earlier processes may still
 *	be carried out; the operation may be NULL
 * @advise: ask the adviser for tickets; NULL if there is no adviser
 * @event: log a decision; @job may be NULL; the operation may be NULL
 */
typedef struct bh_sched_ops {
	void (*start)(void *ctx, const char *host, const bh_start_t *start);
	void (*stop)(void *ctx, const char *host, uint64_t boot,
		     const char *task, uint32_t attempt);
	void (*pace)(void *ctx, const char *host, uint64_t boot,
		     const char *task, uint32_t attempt, uint32_t percent);
	void (*grant)(void *ctx, const char *host, uint64_t boot,
		      uint64_t expires_ms, uint64_t ack);
	void (*late_starts)(void *ctx, const char *host,
			    const bh_late_starts_t *starts);
	void (*advise)(void *ctx, const bh_advice_request_t *request);
	void (*event)(void *ctx, const char *what, const char *job,
		      const char *detail);
} bh_sched_ops_t;

/**
 * struct bh_sched_bounds - parameters from the deployment's settings
 * @term: number of the leader's term
 * @lease_ms: length of a worker's lease
 * @lease_max_ms: length of the longest one that a worker takes
 * @predecessor_grant_ms: time for which the previous leader may still grant
 *	leases
 * @restore_ms: time that a task takes to resume from a checkpoint
 * @impact_ms: longest time that a long-running task may miss its objective
 *	because of fillers
 * @order_max_ms: time after which an order to start a task is not passed on; 0:
 *	no limit
 * @status_ms: time for which the state of a job that has ended is kept
 * @has_shares: capacity is allocated by shares.h when demand exceeds it
 * @remote_slowdown: run time of tasks outside the rack of their data relative
 *	to that in it; up to 1: placement does not affect it
 * @locality_wait: tasks may wait for a rack on which they run faster
 */
typedef struct bh_sched_bounds {
	uint64_t term;
	int64_t lease_ms;
	int64_t lease_max_ms;
	int64_t predecessor_grant_ms;
	int64_t restore_ms;
	int64_t impact_ms;
	int64_t order_max_ms;
	int64_t status_ms;
	bool has_shares;
	double remote_slowdown;
	bool locality_wait;
} bh_sched_bounds_t;

bh_sched_t *bh_sched_new(const bh_sched_bounds_t *bounds,
			 const bh_sched_ops_t *ops, void *ctx, bh_usec_t now,
			 uint64_t unix_ms);
void bh_sched_free(bh_sched_t *s);

/**
 * bh_sched_set_config() - use a configuration
 * @config: owned by the caller; must stay valid until the next call, or until
 *	the scheduler is freed
 */
void bh_sched_set_config(bh_sched_t *s, const bh_config_t *config);

/**
 * bh_sched_set_evacuation() - use a set of evacuated zones
 * @evacuation: owned by the caller, and valid until the scheduler is freed;
 *	changes take effect with the next bh_sched_run()
 */
void bh_sched_set_evacuation(bh_sched_t *s, const bh_evacuation_t *evacuation);

/**
 * bh_sched_hold_starts() - start no task from now on, or do so again
 */
void bh_sched_hold_starts(bh_sched_t *s, bool is_held);

/**
 * bh_sched_evacuated_services() - services all of whose workers are in
 * evacuated zones
 * @out: set to their names, valid until the next event
 *
 * Return: how many of @out were set.
 */
uint32_t bh_sched_evacuated_services(const bh_sched_t *s, const char **out,
				     uint32_t max);

/**
 * struct bh_task_progress - stored progress of a task that is not done
 * @failed: numbers of the attempts that failed
 * @blame: what is known of it from crashes of its workers
 */
typedef struct bh_task_progress {
	uint32_t index;
	uint32_t n_failed;
	uint32_t *failed;
	char *checkpoint;
	bh_blame_t blame;
} bh_task_progress_t;

/**
 * struct bh_step_progress - stored progress of a step of an occurrence
 * @first: index of the task that the first bit of @done stands for
 * @done: bitmap of the tasks that are done
 * @tasks: those tasks that are not done and have failed, have a checkpoint or
 *	are suspected of crashing their workers
 */
typedef struct bh_step_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t first;
	uint32_t n_done_bytes;
	uint8_t *done;
	uint32_t n_tasks;
	bh_task_progress_t *tasks;
} bh_step_progress_t;

/**
 * struct bh_progress - a job's progress, or a segment of it, as stored for the
 * next leader; a segment is a part that is stored in one row
 * @state: BH_JOB_UNKNOWN in all segments but the first
 * @ended_ms: unix time at which it ended; 0: it has not
 * @steps: those steps that have any progress; none once the job has ended
 */
typedef struct bh_progress {
	bh_job_state_t state;
	uint64_t ended_ms;
	uint32_t n_steps;
	bh_step_progress_t *steps;
} bh_progress_t;

void bh_progress_free(bh_progress_t *progress);

/**
 * bh_progress_merge() - add a segment to others of the same job
 * @from: freed
 */
void bh_progress_merge(bh_progress_t *to, bh_progress_t *from);

/**
 * bh_progress_drop_checkpoints() - make a segment smaller at the expense of the
 * work that these save
 */
void bh_progress_drop_checkpoints(bh_progress_t *progress);

/**
 * bh_sched_add_job() - add a job that is in the store
 * @job: the scheduler takes ownership
 * @progress: what an earlier leader stored, all segments, or NULL; owned by the
 *	caller
 *
 * If the job is known already, @job is freed and only its cancellation takes
 * effect.
 */
void bh_sched_add_job(bh_sched_t *s, bh_job_t *job,
		      const bh_progress_t *progress, bh_usec_t now);
void bh_sched_cancel(bh_sched_t *s, const char *id, bh_usec_t now);

/**
 * bh_sched_note_jobs_read() - all jobs that were in the store at @at have been
 * added
 */
void bh_sched_note_jobs_read(bh_sched_t *s, bh_usec_t at);

/**
 * bh_sched_wants_jobs_read() - whether jobs that are stored from now on could
 * be started, while hosts have not been heard of, once the jobs were read again
 */
bool bh_sched_wants_jobs_read(const bh_sched_t *s, bh_usec_t now);

/**
 * bh_sched_note_leading() - the store has confirmed that this leader led at
 * @at, so that no later one had granted leases by then
 */
void bh_sched_note_leading(bh_sched_t *s, bh_usec_t at);

/**
 * bh_sched_awaits_confirmation() - whether what is known to be over by leases
 * alone, or a job that was read long after the last confirmation, waits for
 * bh_sched_note_leading()
 */
bool bh_sched_awaits_confirmation(const bh_sched_t *s);

/**
 * bh_sched_add_host() - add a host whose agent has a row in the store
 * @may_hold_work: an earlier leader may have started tasks there; until such a
 *	host has reported or its lease has expired, only tasks of jobs are
 *placed that no earlier leader can have started
 *
 * Does nothing if the host is known.
 */
void bh_sched_add_host(bh_sched_t *s, const char *host, bool may_hold_work,
		       bh_usec_t now);

/**
 * bh_sched_limit_grants() - earlier leaders grant leases for @grant_ms from now
 * at most; hosts that have not been heard of are waited for no longer than that
 * and a lease
 */
void bh_sched_limit_grants(bh_sched_t *s, int64_t grant_ms, bh_usec_t now);

/**
 * bh_sched_host_linked() - the connection to an agent was made or lost
 */
void bh_sched_host_linked(bh_sched_t *s, const char *host, bool is_linked,
			  bh_usec_t now);

/**
 * bh_sched_agent_closed() - the agent's end has closed the connection, as the
 * end of its process does; to be called before bh_sched_host_linked()
 */
void bh_sched_agent_closed(bh_sched_t *s, const char *host, bh_usec_t now);

/**
 * bh_sched_report() - handle an agent's report
 * @lists: NULL if the worker did not answer the agent
 * @may_grant: false while this leader cannot be sure that it still leads; the
 *	report is used then, but the worker's lease is not extended
 */
void bh_sched_report(bh_sched_t *s, const char *host,
		     const bh_worker_info_t *info,
		     const bh_worker_lists_t *lists, bool may_grant,
		     bh_usec_t now);

/**
 * bh_sched_crash() - a worker has crashed; to be called before the report by
 * which its runs are lost. Shares out the suspicion, and ends the jobs with a
 * task that is found guilty. An agent may report a crash again, to each leader.
 */
void bh_sched_crash(bh_sched_t *s, const char *host, const bh_crash_t *crash,
		    bh_usec_t now);

/**
 * bh_sched_start_result() - handle the outcome of an order to start an attempt
 */
void bh_sched_start_result(bh_sched_t *s, const char *host, const char *task,
			   uint32_t attempt, bh_order_outcome_t outcome,
			   bh_usec_t now);

/**
 * bh_sched_start_unanswered() - a try of an order to start an attempt got no
 * answer; to be called before bh_sched_start_result()
 * @left_ms: time for which it may still be carried out
 */
void bh_sched_start_unanswered(bh_sched_t *s, const char *host,
			       const char *task, uint32_t attempt,
			       uint32_t left_ms, bh_usec_t now);

/**
 * bh_sched_stop_result() - handle the outcome of an order to stop an attempt
 */
void bh_sched_stop_result(bh_sched_t *s, const char *host, const char *task,
			  uint32_t attempt, bh_order_outcome_t outcome,
			  bh_usec_t now);

/**
 * struct bh_ticket - the adviser's permission to run tasks of a step on a
 * worker
 * @worker: id of the worker
 */
typedef struct bh_ticket {
	const char *worker;
	const char *ticket;
} bh_ticket_t;

/**
 * enum bh_advice_outcome - what became of a call to the adviser
 * @BH_ADVICE_FAILED: it was refused, or got no answer that can be read
 */
typedef enum bh_advice_outcome {
	BH_ADVICE_ANSWERED,
	BH_ADVICE_FAILED,
} bh_advice_outcome_t;

/**
 * struct bh_advice_reply - the end of a call to the adviser
 * @tickets: for those of the workers that may run the step
 * @valid_ms: time for which these are valid
 */
typedef struct bh_advice_reply {
	bh_advice_outcome_t outcome;
	const bh_ticket_t *tickets;
	uint32_t n_tickets;
	uint32_t valid_ms;
} bh_advice_reply_t;

/**
 * bh_sched_advised() - handle the end of the call that an @advise order asked
 * for
 */
void bh_sched_advised(bh_sched_t *s, uint64_t number,
		      const bh_advice_reply_t *reply, bh_usec_t now);

/**
 * bh_sched_run() - place waiting tasks and adjust running ones
 *
 * Must be called after events, and at least every 100 ms.
 */
void bh_sched_run(bh_sched_t *s, bh_usec_t now, uint64_t unix_ms);

/**
 * bh_sched_commit_next() - add a segment that has changed to the commit
 * @id: set to the job's id, which the scheduler owns
 * @segment: set to the number of the segment
 *
 * The caller stores bh_sched_progress() of each segment in one transaction, of
 * which it takes as many as fit there, and then calls bh_sched_end_commit().
 *
 * Return: false if no other segment has changed.
 */
bool bh_sched_commit_next(bh_sched_t *s, const char **id, uint32_t *segment);

/**
 * bh_sched_has_uncommitted() - whether any progress is not stored yet
 */
bool bh_sched_has_uncommitted(const bh_sched_t *s);

/**
 * bh_sched_progress() - the progress to store of a job's segment; the caller
 * owns it
 */
bh_progress_t *bh_sched_progress(const bh_sched_t *s, const char *id,
				 uint32_t segment);

/**
 * bh_sched_segments() - number of segments of a job's progress
 */
uint32_t bh_sched_segments(const bh_sched_t *s, const char *id);

/**
 * bh_sched_end_commit() - end a commit
 * @is_stored: the transaction is known to be stored; otherwise the segments are
 *	committed again
 */
void bh_sched_end_commit(bh_sched_t *s, bool is_stored);

/**
 * bh_sched_each_pair() - iterate over the learned effects of fillers on
 * long-running tasks, by pairs of images
 *
 * They are stored for the next leader, which passes them to
 * bh_sched_set_pair().
 */
typedef void (*bh_sched_pair_cb_t)(void *ctx, const char *filler,
				   const char *lasting, double interference,
				   double stddev);
void bh_sched_each_pair(const bh_sched_t *s, bh_sched_pair_cb_t cb, void *ctx);
void bh_sched_set_pair(bh_sched_t *s, const char *filler, const char *lasting,
		       double interference, double stddev);

/**
 * bh_sched_expired() - list jobs that ended more than status_ms ago, whose rows
 * may be removed
 * @ids: set to the jobs' ids, valid until the jobs are dropped
 *
 * Return: how many of @ids were set.
 */
uint32_t bh_sched_expired(const bh_sched_t *s, uint64_t unix_ms,
			  const char **ids, uint32_t max);
void bh_sched_drop_job(bh_sched_t *s, const char *id);

/**
 * bh_sched_is_host_in_use() - whether tasks run on a host or may be started
 * there
 */
bool bh_sched_is_host_in_use(const bh_sched_t *s, const char *host);

/**
 * bh_sched_removable_host() - find a host that has been silent for so long that
 * its row may be removed, and on which nothing runs
 *
 * Return: its key, valid until it is dropped, or NULL.
 */
const char *bh_sched_removable_host(const bh_sched_t *s, bh_usec_t now);
void bh_sched_drop_host(bh_sched_t *s, const char *host);

/**
 * bh_sched_state() - a job's state as reported to callers: an end counts only
 * once it is stored
 */
bh_job_state_t bh_sched_state(const bh_sched_t *s, const char *id);

/**
 * bh_sched_pending() - number of a queue's jobs of which no task was started
 * yet
 */
uint32_t bh_sched_pending(const bh_sched_t *s, const char *queue);

/**
 * struct bh_backlog - predicted waits of new jobs of a priority
 * @wait_ms: for tasks other than fillers
 * @wait_filler_ms: for fillers
 */
typedef struct bh_backlog {
	uint32_t priority;
	uint64_t wait_ms;
	uint64_t wait_filler_ms;
} bh_backlog_t;

/**
 * bh_sched_load() - predict waits, by priority
 * @out: set for the priorities below @max that have unfinished jobs, ascending
 *
 * Return: how many of @out were set.
 */
uint32_t bh_sched_load(const bh_sched_t *s, bh_backlog_t *out, uint32_t max,
		       bh_usec_t now);

/**
 * struct bh_sched_stats - counters since the start of the term, and gauges
 * @starts: start orders
 * @rejected: start orders that were refused or not answered
 * @starts_unreported: start orders whose outcome an agent that was replaced had
 *	not told
 * @starts_repeated: of these, those that were sent again
 * @advice_calls: calls to the adviser
 * @advice_failed: those that were refused or not answered
 * @advice_late: those whose answer came later than predicted
 * @ends: reported ends, by enum bh_end
 * @ends_missing: ends that workers forgot before they were seen
 * @stops: attempts that were ordered to stop, orphans excluded
 * @copies: speculative copies started
 * @quarantines: times that a host was quarantined
 * @crashes: crashes of workers on which tasks ran
 * @given_up: jobs given up because of a task that crashes its workers
 * @paces: orders that changed a task's pace
 * @serving_moved: serving tasks stopped to leave an evacuated zone
 * @jobs: jobs that ended, by enum bh_job_state
 * @hosts_ready: hosts whose agent is connected and whose worker is ready
 * @wait: time that tasks waited before they were started
 * @rack_waits: decisions of a task or a group to wait for a rack
 * @rack_placed: of these, those that were started there
 * @rack_abandoned: of these, those that did not wait on, by cause
 * @rack_wait: time that they waited
 * @tasks_waiting_for_rack: tasks that wait for a rack
 */
typedef struct bh_sched_stats {
	uint64_t starts;
	uint64_t rejected;
	uint64_t starts_unreported;
	uint64_t starts_repeated;
	uint64_t advice_calls;
	uint64_t advice_failed;
	uint64_t advice_late;
	uint64_t ends[BH_END_ALONE + 1];
	uint64_t ends_missing;
	uint64_t stops;
	uint64_t copies;
	uint64_t quarantines;
	uint64_t crashes;
	uint64_t given_up;
	uint64_t paces;
	uint64_t serving_moved;
	uint64_t jobs[BH_JOB_CANCELLED + 1];
	uint32_t hosts_ready;
	uint32_t tasks_waiting;
	uint32_t tasks_running;
	bh_hist_t wait;
	uint64_t rack_waits;
	uint64_t rack_placed;
	uint64_t rack_abandoned[BH_LOCALITY_VERDICTS];
	bh_hist_t rack_wait;
	uint32_t tasks_waiting_for_rack;
} bh_sched_stats_t;

void bh_sched_stats(const bh_sched_t *s, bh_sched_stats_t *out);

#endif
