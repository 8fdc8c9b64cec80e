/*
 * The decisions of a cell's leader: which worker runs which task, when lost
 * work may run again, and what counts as delivered.
 *
 * Leadership is a row that is renewed by conditional writes. Every journal
 * commit checks and rewrites that row, so a former leader's commit fails and a
 * commit whose answer was lost is recognised by its nonce. A decision is
 * carried out only after its commit.
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
	BH_OUTCOME_DELIVERED, /* its result came before the deadline */
	BH_OUTCOME_LATE,
	BH_OUTCOME_EXPIRED, /* could no longer finish in time; not started */
	BH_OUTCOME_NOT_RUN, /* can run on no worker, or every start failed */
	BH_OUTCOME_UNKNOWN, /* not idempotent and its fate is unknown */
	BH_OUTCOME_CANCELLED,
	BH_OUTCOME_COUNT,
} bh_outcome_t;

const char *bh_outcome_name(bh_outcome_t outcome);

/**
 * struct bh_job_spec - a job, service or watcher as the cell runs it
 * @family: of jobs that behave alike, such as the nightly runs of one program;
 *	NULL for the name
 * @deadline_unix_ms: 0 when there is none
 * @is_idempotent: lost work may run again
 * @restarts_on_end: a task that ended is started again (watchers)
 * @priority: higher goes first
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
 * struct bh_task_row - a task as the journal keeps it
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
 * @version: that the cell row must have
 * @nonce: of this write, goes into the cell row
 * @is_resigning: the row is given up
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
 * struct bh_cell_row - the cell row as read
 * @version: 0 when there is no row
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
 * struct bh_cell_ops - what the cell wants done
 * @read: read the cell row; answered by bh_cell_row_read()
 * @commit: write; answered by bh_cell_committed()
 * @load: read jobs and task rows; answered by bh_cell_loaded()
 * @send: orders to a member's connection
 */
typedef struct bh_cell_ops {
	void (*read)(void *ctx);
	void (*commit)(void *ctx, const bh_cell_commit_t *commit);
	void (*load)(void *ctx);
	void (*send)(void *ctx, const char *member, const bh_msg_t *orders);
} bh_cell_ops_t;

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
/* A service this much slower than usual has its neighbours throttled. */
#define BH_SLOWDOWN_HIGH     1.25
#define BH_SLOWDOWN_MOVE     2.0
#define BH_SLOWDOWN_NORMAL   1.10
#define BH_THROTTLE_PERMILLE 250
/* Longer than usage reports lag. */
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
 * bh_cell_set_unix_ms() - the wall clock, for deadlines
 */
void bh_cell_set_unix_ms(bh_cell_t *cell, uint64_t unix_ms, bh_usec_t now);

/**
 * bh_cell_row_read() - the cell row, NULL when the store gave no answer
 */
void bh_cell_row_read(bh_cell_t *cell, const bh_cell_row_t *row, bh_usec_t now);

/**
 * bh_cell_committed() - the outcome of the commit under way
 * @nonce: of the commit; another one's outcome is ignored
 * @version: of the cell row afterwards, with BH_COMMIT_OK
 */
void bh_cell_committed(bh_cell_t *cell, uint64_t nonce,
		       bh_commit_status_t status, uint64_t version,
		       bh_usec_t now);

/**
 * bh_cell_set_job() - a job record, new or changed; also while loading
 */
void bh_cell_set_job(bh_cell_t *cell, const bh_job_spec_t *spec, bh_usec_t now);
/**
 * bh_cell_set_quota() - processors that a tenant's tasks may hold in the cell
 * @cpu_milli: 0 for no limit
 */
void bh_cell_set_quota(bh_cell_t *cell, const char *tenant, uint64_t cpu_milli);
void bh_cell_job_deleted(bh_cell_t *cell, const char *name);

/**
 * bh_cell_load_task() - a journalled task, while loading, after its job
 */
void bh_cell_load_task(bh_cell_t *cell, const bh_task_row_t *row);

/**
 * bh_cell_loaded() - all jobs and rows were passed in
 * @is_ok: false when the store gave no answer; it is asked again
 */
void bh_cell_loaded(bh_cell_t *cell, bool is_ok, bh_usec_t now);

/**
 * bh_cell_handle_report() - a member's report; answered by orders while leading
 */
void bh_cell_handle_report(bh_cell_t *cell, const bh_msg_t *report,
			   bh_usec_t now);

/**
 * bh_cell_note_leader_orders() - orders of a living leader arrived, so no row
 * is read
 */
void bh_cell_note_leader_orders(bh_cell_t *cell, bh_usec_t now);

void bh_cell_tick(bh_cell_t *cell, bh_usec_t now);

/**
 * bh_cell_resign() - give leadership up for good, for a graceful shutdown
 */
void bh_cell_resign(bh_cell_t *cell);

bh_cell_role_t bh_cell_role(const bh_cell_t *cell);
uint64_t bh_cell_term(const bh_cell_t *cell);
const bh_cell_counters_t *bh_cell_counters(const bh_cell_t *cell);

#endif
