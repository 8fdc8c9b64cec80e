/*
 * Leader election and task scheduling of one cell: decides which worker runs
 * which task, when a task of a lost worker may run again, and which results
 * count as delivered.
 *
 * The leader holds a lease, stored as the cell row, and renews it by
 * conditional writes. Every journal commit checks and rewrites that row, so
 * the commit of a former leader fails, and a commit whose reply was lost can
 * be recognised by its nonce. A decision takes effect only after its commit.
 *
 * Not thread-safe; the callbacks must not call back into the cell.
 */
#ifndef BH_CORE_CELL_H
#define BH_CORE_CELL_H

#include "core/place.h"

typedef struct bh_cell bh_cell_t;

typedef enum bh_cell_role {
	BH_CELL_FOLLOWER,
	BH_CELL_ACQUIRING,
	BH_CELL_LOADING,
	BH_CELL_LEADING,
} bh_cell_role_t;

typedef enum bh_outcome {
	BH_OUTCOME_NONE,
	BH_OUTCOME_DELIVERED, /* ended before its deadline */
	BH_OUTCOME_LATE,
	BH_OUTCOME_EXPIRED, /* not started: it could no longer meet its deadline
			     */
	BH_OUTCOME_NOT_RUN, /* fits no worker, or every start failed */
	BH_OUTCOME_UNKNOWN, /* lost; not idempotent, so not run again */
	BH_OUTCOME_CANCELLED,
	BH_OUTCOME_COUNT,
} bh_outcome_t;

const char *bh_outcome_name(bh_outcome_t outcome);

/**
 * struct bh_job_spec - a job or watcher to run in the cell
 * @family: groups jobs that behave alike, such as the nightly runs of one
 *	program; NULL for the job's name
 * @n_tasks: fixed once the job is known to the cell
 * @need: resources of each task
 * @run_ms: declared run time of a task
 * @deadline_unix_ms: 0 for none
 * @is_idempotent: tasks of a lost worker may run again
 * @restarts_on_end: a task that ended is started again (watchers)
 * @priority: tasks of higher priority are placed first
 */
typedef struct bh_job_spec {
	const char *name;
	const char *tenant;
	const char *family;
	uint32_t n_tasks;
	bh_resources_t need;
	uint64_t run_ms;
	uint64_t deadline_unix_ms;
	bool is_idempotent;
	bool restarts_on_end;
	bool is_cancelled;
	int priority;
} bh_job_spec_t;

/**
 * struct bh_task_row - journal row of a task
 * @id: "JOB/INDEX"
 * @epoch: incremented each time the task is placed
 * @worker: name of the member that it is placed on, or empty
 * @evictions: how often it was evicted from a worker
 */
typedef struct bh_task_row {
	const char *id;
	bh_task_state_t state;
	uint32_t epoch;
	const char *worker;
	bh_outcome_t outcome;
	const char *reason;
	uint64_t progress_ms;
	uint64_t done_unix_ms;
	uint32_t evictions;
} bh_task_row_t;

/**
 * struct bh_cell_commit - a conditional write of the cell row and task rows
 * @version: version that the cell row must have
 * @nonce: unique to this write, stored in the cell row
 * @is_resigning: clear the holder, so that another agent can lead at once
 */
typedef struct bh_cell_commit {
	uint64_t version;
	uint64_t term;
	uint64_t nonce;
	bool is_resigning;
	size_t n_rows;
	const bh_task_row_t *rows;
} bh_cell_commit_t;

/**
 * struct bh_cell_row - the cell row: the leader's lease
 * @version: 0 if there is no row
 * @holder: NULL or empty if the last leader resigned
 */
typedef struct bh_cell_row {
	uint64_t version;
	uint64_t term;
	uint64_t nonce;
	const char *holder;
} bh_cell_row_t;

typedef enum bh_commit_status {
	BH_COMMIT_OK,
	BH_COMMIT_CONFLICT,
	BH_COMMIT_REFUSED,
	BH_COMMIT_UNKNOWN,
} bh_commit_status_t;

/**
 * struct bh_cell_ops - callbacks of the cell
 * @read: read the cell row, then call bh_cell_row_read()
 * @commit: write the rows, then call bh_cell_committed()
 * @load: read jobs and task rows, pass each in, then call bh_cell_loaded()
 * @send: send orders to a member
 */
typedef struct bh_cell_ops {
	void (*read)(void *ctx);
	void (*commit)(void *ctx, const bh_cell_commit_t *commit);
	void (*load)(void *ctx);
	void (*send)(void *ctx, const char *member, const bh_msg_t *orders);
} bh_cell_ops_t;

/**
 * struct bh_cell_config - settings of a cell
 * @holder: identifies this process in the cell row
 * @placement: name of the placement policy
 * @lease_us: lease of tasks, extended by each reply to a report
 * @term_us: lease of the leader, extended by each commit
 * @journal_us: shortest interval between commits of task rows
 */
typedef struct bh_cell_config {
	const char *holder;
	const char *placement;
	bh_usec_t lease_us;
	bh_usec_t term_us;
	bh_usec_t journal_us;
	uint32_t seed;
} bh_cell_config_t;

#define BH_JOURNAL_ROWS_MAX	500
#define BH_START_FAILURES_MAX	8
#define BH_QUARANTINE_FAILURES	3
#define BH_QUARANTINE_US	(10 * BH_USEC_PER_SEC)
#define BH_UNPLACEABLE_AFTER_US (5 * BH_USEC_PER_SEC)
/*
 * Service time relative to the baseline: from HIGH on, a task beside the
 * service is throttled; from MOVE on, with all throttled, one is moved; up to
 * NORMAL, throttles are released.
 */
#define BH_SLOWDOWN_HIGH     1.25
#define BH_SLOWDOWN_MOVE     2.0
#define BH_SLOWDOWN_NORMAL   1.10
#define BH_THROTTLE_PERMILLE 250
/* Must exceed the lag of usage reports. */
#define BH_MITIGATION_SETTLE_US	 (4 * BH_USEC_PER_SEC)
#define BH_MITIGATION_RELEASE_US (15 * BH_USEC_PER_SEC)
#define BH_CELL_MEMBERS_MAX	 256
#define BH_CELL_TASKS_MAX	 65536

typedef struct bh_cell_counters {
	uint64_t commits;
	uint64_t commit_rows;
	uint64_t conflicts;
	uint64_t unclear_commits;
	uint64_t terms;
	uint64_t placed;
	uint64_t evictions;
	uint64_t adopted;
	uint64_t strays_stopped;
	uint64_t start_failures;
	uint64_t quarantines;
	uint64_t throttles;
	uint64_t moves;
	uint64_t outcomes[BH_OUTCOME_COUNT];
} bh_cell_counters_t;

bh_cell_t *bh_cell_new(const bh_cell_config_t *config, const bh_cell_ops_t *ops,
		       void *ctx, bh_usec_t now);
void bh_cell_free(bh_cell_t *cell);

/**
 * bh_cell_set_unix_ms() - set the wall clock, which deadlines refer to
 */
void bh_cell_set_unix_ms(bh_cell_t *cell, uint64_t unix_ms, bh_usec_t now);

/**
 * bh_cell_row_read() - reply to the read callback
 * @row: NULL if the store did not answer
 */
void bh_cell_row_read(bh_cell_t *cell, const bh_cell_row_t *row, bh_usec_t now);

/**
 * bh_cell_committed() - reply to the commit callback
 * @nonce: of the commit; ignored unless it is that of the last one sent
 * @version: new version of the cell row if @status is BH_COMMIT_OK
 */
void bh_cell_committed(bh_cell_t *cell, uint64_t nonce,
		       bh_commit_status_t status, uint64_t version,
		       bh_usec_t now);

/**
 * bh_cell_set_job() - add a job or update its deadline and cancellation
 *
 * Ignored unless the cell is loading or leading.
 */
void bh_cell_set_job(bh_cell_t *cell, const bh_job_spec_t *spec, bh_usec_t now);

/**
 * bh_cell_set_quota() - limit the processors reserved by a tenant's tasks
 * @cpu_milli: 0 for no limit
 */
void bh_cell_set_quota(bh_cell_t *cell, const char *tenant, uint64_t cpu_milli);

/**
 * bh_cell_job_deleted() - cancel the job's tasks
 */
void bh_cell_job_deleted(bh_cell_t *cell, const char *name);

/**
 * bh_cell_load_task() - pass in a journalled task while loading
 *
 * Its job must have been passed in before.
 */
void bh_cell_load_task(bh_cell_t *cell, const bh_task_row_t *row);

/**
 * bh_cell_loaded() - all jobs and task rows were passed in
 * @is_ok: false if the store did not answer; the load callback is called again
 */
void bh_cell_loaded(bh_cell_t *cell, bool is_ok, bh_usec_t now);

/**
 * bh_cell_handle_report() - handle a member's report
 *
 * A leader replies with orders; the report is ignored otherwise.
 */
void bh_cell_handle_report(bh_cell_t *cell, const bh_msg_t *report,
			   bh_usec_t now);

/**
 * bh_cell_note_leader_orders() - postpone reading the cell row
 *
 * Called when orders arrive, as these show that the leader is alive.
 */
void bh_cell_note_leader_orders(bh_cell_t *cell, bh_usec_t now);

void bh_cell_tick(bh_cell_t *cell, bh_usec_t now);

/**
 * bh_cell_resign() - give up leadership and don't stand again
 *
 * For a graceful shutdown.
 */
void bh_cell_resign(bh_cell_t *cell);

bh_cell_role_t bh_cell_role(const bh_cell_t *cell);
uint64_t bh_cell_term(const bh_cell_t *cell);
const bh_cell_counters_t *bh_cell_counters(const bh_cell_t *cell);

#endif
