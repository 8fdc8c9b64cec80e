/*
 * Private to the implementation of a cell:
 *
 * cell.c	construction, records, lost members
 * cell_term.c	leader election and journal commits
 * cell_task.c	phases of a task
 * cell_orders.c	handling of reports, sending of orders
 * cell_place.c	placement of tasks
 * cell_mitigate.c	throttling and moving of tasks that slow services
 */
#ifndef BH_CORE_CELL_IMPL_H
#define BH_CORE_CELL_IMPL_H

#include "core/cell.h"
#include "core/interfere.h"

/*
 * Clocks of two hosts drift apart by less than 1 / CLOCK_DRIFT_DIVISOR of a
 * lease or term.
 */
#define CLOCK_DRIFT_DIVISOR 20
#define COMMIT_RETRY_US	    (100 * BH_USEC_PER_MS)
/* Intervals per term at which the leader commits and others read the row. */
#define RENEWALS_PER_TERM      3
#define RUN_TIME_EWMA_WEIGHT   0.2
#define COMMIT_ATTEMPTS_MAX    16
#define THROTTLE_ORDER_REPEATS 3
/* A job is deferred only if this many run times fit before its deadline. */
#define DEFER_MIN_RUNS	       4
#define DEADLINE_MARGIN_FACTOR 2
/* priority of BH_CLASS_HIGH */
#define URGENT_PRIORITY BH_CLASS_COUNT

typedef struct bh_job bh_job_t;
typedef struct bh_task bh_task_t;
typedef struct bh_member bh_member_t;

/**
 * enum bh_phase - phase of a task
 * @PHASE_PLACING: placement decided, not journalled yet
 * @PHASE_PLACED: placement journalled; the start is ordered again until the
 *	member reports the task
 * @PHASE_STOPPING: cancelled; the stop is ordered again until the member
 *	reports the end
 * @PHASE_ENDING: outcome known, not journalled yet
 */
typedef enum bh_phase {
	PHASE_PENDING,
	PHASE_PLACING,
	PHASE_PLACED,
	PHASE_RUNNING,
	PHASE_STOPPING,
	PHASE_ENDING,
	PHASE_ENDED,
} bh_phase_t;

struct bh_task {
	TAILQ_ENTRY(bh_task) in_job;
	TAILQ_ENTRY(bh_task) in_member;
	TAILQ_ENTRY(bh_task) in_dirty;
	bh_job_t *job;
	bh_member_t *member;
	char *id;
	bh_phase_t phase;
	uint32_t epoch;
	bool is_dirty;
	bool is_in_batch;
	bool is_reported;
	bool is_adopted;	      /* placed by a former leader */
	uint64_t ordered_incarnation; /* member's, at the last start order */
	uint64_t ordered_generation;  /* of the orders with that start */
	bh_usec_t ordered_at;
	bh_outcome_t outcome;
	const char *reason;
	uint64_t progress_ms;
	uint64_t done_unix_ms;
	uint64_t started_unix_ms;
	uint32_t evictions;
	uint32_t start_failures;
	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	uint32_t permille; /* share of its processors; 1000: unthrottled */
	uint32_t throttle_orders_left; /* replies that repeat the order */
	bool is_moving; /* being stopped to run on another worker */
};

typedef TAILQ_HEAD(bh_tasks, bh_task) bh_tasks_t;

/**
 * struct bh_account - quota and usage of a tenant
 * @quota_cpu_milli: 0 for no limit
 * @held_cpu_milli: reserved by the tenant's placed tasks
 */
typedef struct bh_account {
	uint64_t quota_cpu_milli;
	uint64_t held_cpu_milli;
} bh_account_t;

struct bh_job {
	TAILQ_ENTRY(bh_job) link;
	char *name;
	char *tenant;
	char *family;
	bh_job_spec_t spec;
	bh_account_t *account;
	bh_task_t **tasks;
	bh_tasks_t pending;
	double estimated_run_ms;
	bh_usec_t added_at;
	bool is_skipped; /* no worker found in this placement round */
};

typedef TAILQ_HEAD(bh_jobs, bh_job) bh_jobs_t;

/**
 * struct bh_member - an agent and its worker
 * @term_seen: term of the last orders that it received, as reported
 * @orders_sent: orders sent to it in this term
 * @orders_seen: number of the last orders that it received in this term
 * @granted_at: when a reply last extended the leases of its tasks
 * @rank: order in which members became known, from 0
 * @services: name of a service to its last measured slowdown
 * @neighbours: bh_neighbour_t of the tasks placed there, by family
 * @changed_at: last change of placement or throttles
 * @mitigated_at: last throttle, release or move
 * @slow_since: since then some service was above BH_SLOWDOWN_HIGH
 * @normal_since: since then all services were below BH_SLOWDOWN_NORMAL
 * @needs_push: start orders are due without waiting for the next report
 */
struct bh_member {
	char *name;
	uint64_t incarnation;
	uint64_t report_seq;
	uint64_t term_seen;
	uint64_t orders_sent;
	uint64_t orders_seen;
	bh_usec_t heard_at;
	bh_usec_t granted_at;
	bh_resources_t capacity;
	bh_resources_t reserved;
	bh_resources_t used;
	bh_tasks_t tasks;
	uint32_t n_tasks;
	uint32_t rank;
	uint32_t start_failures;
	bh_usec_t quarantined_until;
	GHashTable *services;
	GArray *neighbours;
	bh_usec_t changed_at;
	bh_usec_t mitigated_at;
	bh_usec_t slow_since;
	bh_usec_t normal_since;
	bool has_reported;
	bool needs_push;
};

typedef enum bh_commit_state {
	COMMIT_IDLE,
	COMMIT_IN_FLIGHT,
	COMMIT_UNCLEAR, /* outcome unknown; the row will be read back */
	COMMIT_READING,
	COMMIT_RETRY,
} bh_commit_state_t;

/* One attempt to send the current commit. */
typedef struct bh_commit_attempt {
	uint64_t nonce;
	bh_usec_t sent_at;
} bh_commit_attempt_t;

struct bh_cell {
	const bh_cell_ops_t *ops;
	void *ctx;
	bh_cell_config_t config;
	const bh_place_ops_t *placement;
	GRand *rand;
	bh_cell_role_t role;
	int64_t unix_offset_ms;

	/* leader election */
	uint64_t version;
	uint64_t term;
	uint64_t observed_version;
	bh_usec_t observed_at; /* when that version was first read, or 0 */
	bh_usec_t next_read_at;
	bool is_reading;
	bool is_resigning;
	bool is_retired;       /* resigned for good */
	bh_usec_t valid_until; /* end of the own term as leader */
	bh_usec_t leading_since;

	/* current commit */
	bh_commit_state_t commit_state;
	bh_usec_t commit_sent_at;
	bh_usec_t retry_at;
	bh_usec_t committed_at;
	bh_commit_attempt_t attempts[COMMIT_ATTEMPTS_MAX];
	uint32_t n_attempts;
	GPtrArray *batch;
	GArray *rows;

	bh_tasks_t dirty;
	bh_jobs_t jobs;
	GHashTable *jobs_by_name;
	GHashTable *tasks;
	GHashTable *members;
	GHashTable *accounts; /* tenant name to bh_account_t */
	bh_interfere_t *interfere;
	bh_cell_counters_t counters;
};

/* cell_task.c */

bh_usec_t cell_with_drift(bh_usec_t span);
uint64_t cell_unix_ms(const bh_cell_t *c, bh_usec_t now);
void cell_mark_dirty(bh_cell_t *c, bh_task_t *t);
void cell_set_phase(bh_task_t *t, bh_phase_t phase);
double cell_task_cpus(const bh_task_t *t);
void cell_add_neighbour(bh_member_t *m, const bh_task_t *t, double cpus);
void cell_assign(bh_task_t *t, bh_member_t *m);
void cell_end_task(bh_cell_t *c, bh_task_t *t, bh_outcome_t outcome,
		   const char *reason);
void cell_evict(bh_cell_t *c, bh_task_t *t);
void cell_task_reported(bh_cell_t *c, bh_task_t *t, const bh_task_info_t *info,
			bh_usec_t now);
uint64_t cell_expected_run_ms(const bh_job_t *job);

/* cell_orders.c */

void cell_add_order(GArray *orders, bh_order_kind_t kind, char *id,
		    uint32_t epoch);
void cell_push_starts(bh_cell_t *c, bh_usec_t now);

/* cell_term.c */

void cell_step_down(bh_cell_t *c, bh_usec_t now);
void cell_fill_row(const bh_task_t *t, bh_task_row_t *row);
void cell_fill_batch(bh_cell_t *c);
void cell_send_commit(bh_cell_t *c, uint64_t term, bh_usec_t now);
void cell_read_row(bh_cell_t *c);
void cell_continue_commit(bh_cell_t *c, bh_usec_t now);
bool cell_is_commit_due(const bh_cell_t *c, bh_usec_t now);

/* cell_place.c */

void cell_place_pending(bh_cell_t *c, bh_usec_t now);

/* cell_mitigate.c */

double cell_update_slowdowns(bh_cell_t *c, bh_member_t *m,
			     const bh_msg_t *report, bh_usec_t now);
void cell_mitigate(bh_cell_t *c, bh_member_t *m, double slowdown,
		   bh_usec_t now);
void cell_order_mitigation(bh_member_t *m, GArray *orders);

/* cell.c */

bh_member_t *cell_member_get(bh_cell_t *c, const char *name, bh_usec_t now);
void cell_clear(bh_cell_t *c);

#endif
