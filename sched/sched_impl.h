/*
 * What the files of the scheduler share. Nothing outside sched/ includes it.
 */
#ifndef BH_SCHED_SCHED_IMPL_H
#define BH_SCHED_SCHED_IMPL_H

#include "sched/pairs.h"
#include "sched/sched.h"

typedef struct bh_run bh_run_t;
typedef struct bh_task bh_task_t;
typedef struct bh_phase bh_phase_t;
typedef struct bh_rec bh_rec_t;
typedef struct bh_host bh_host_t;

/* Attempt numbers of a term; a later term's are all higher. */
#define BH_ATTEMPTS_PER_TERM 4096u

/* A task and its one speculative copy. */
#define BH_RUNS_MAX 2

/* Images of fillers on a host; more are not told apart. */
#define BH_PRESSES_MAX 32

typedef enum bh_run_state {
	BH_RUN_ORDERED,
	BH_RUN_ACTIVE,
	BH_RUN_STOPPING,
} bh_run_state_t;

/**
 * struct bh_run - an attempt at a task on a host
 * @progressed_at: when its progress last changed
 * @seen_at: when a report first listed it
 * @headroom: a serving task's objective over its tail latency, at the last look
 * @bias: how far its headroom has lately been from what was predicted
 * @over_since: when its tail rose over its objective; 0: it is not
 * @peak: most processor time that a filler used at full pace
 * @reports_missed: reports in a row that did not list it
 * @pace: share of its speed that it may use, percent
 * @stop_ordered_at: when the stop was last ordered
 * @is_confirmed: its start or its stop was answered, so that no late start of
 *it can happen unseen
 */
struct bh_run {
	TAILQ_ENTRY(bh_run) link;
	bh_task_t *task;
	bh_host_t *host;
	uint32_t attempt;
	bh_run_state_t state;
	bh_usec_t ordered_at;
	bh_usec_t seen_at;
	bh_usec_t progressed_at;
	uint32_t percent;
	uint32_t first_percent;
	uint32_t gauge;
	double headroom;
	double bias;
	bh_usec_t over_since;
	uint32_t peak;
	bh_usec_t paced_at;
	uint32_t reports_missed;
	uint32_t pace;
	bh_usec_t stop_ordered_at;
	bool is_confirmed;
	bh_usec_t confirmed_at;
	char *checkpoint;
};

typedef TAILQ_HEAD(bh_runs, bh_run) bh_runs_t;

/**
 * struct bh_task - a task of a phase
 * @attempt: highest attempt number used
 * @failed: attempts that ended in failure; a gang's are kept by its first task
 * @avoided_host: host where it failed last, so that it goes elsewhere if it can
 */
struct bh_task {
	bh_phase_t *phase;
	uint32_t index;
	uint32_t attempt;
	uint32_t n_failed;
	uint32_t *failed;
	bool is_done;
	bool is_waiting;
	char *checkpoint;
	const bh_host_t *avoided_host;
	bh_usec_t waiting_since;
	bh_run_t *runs[BH_RUNS_MAX];
};

/**
 * struct bh_phase - a step of one occurrence of a job
 * @waiting: tasks that have no run and are not done
 * @is_open: what it follows is done, and its time has come
 * @rate_sum: work per time of its runs, in units of the estimate
 * @image: number of the step's image
 * @headroom: of its serving tasks without fillers, as it seems
 * @headroom_variance: of that; 0 before the first look
 * @tickets: by worker id, where the queue needs advice
 * @explained_at: when the log last told why a task of it waits
 */
struct bh_phase {
	TAILQ_ENTRY(bh_phase) link;
	bh_rec_t *rec;
	const bh_step_t *step;
	uint32_t occurrence;
	uint32_t step_index;
	uint32_t n_done;
	uint32_t waiting;
	bool is_open;
	bool is_queued;
	bh_task_t *tasks;
	double rate_sum;
	uint32_t rate_count;
	uint64_t rank;
	GHashTable *tickets;
	bh_usec_t tickets_until;
	bh_usec_t advice_asked_at;
	bh_usec_t preempted_at;
	bh_usec_t explained_at;
	bh_image_t image;
	double headroom;
	double headroom_variance;
	bh_usec_t headroom_at;
};

typedef TAILQ_HEAD(bh_phases, bh_phase) bh_phases_t;

/**
 * struct bh_rec - a job and what has become of it
 * @state: as it is now
 * @stored_state: the last terminal state that is stored, or BH_JOB_UNKNOWN
 * @dirty_since: change number of its oldest change that is not stored; 0: none
 * @commit_since: the same of the changes that a commit under way stores
 * @critical_path_ms: estimated longest chain of work that is left at its start
 */
struct bh_rec {
	TAILQ_ENTRY(bh_rec) link;
	TAILQ_ENTRY(bh_rec) dirty_link;
	bh_job_t *job;
	uint32_t n_phases;
	bh_phase_t *phases;
	uint32_t phases_done;
	bh_job_state_t state;
	bh_job_state_t stored_state;
	bh_job_state_t committing;
	uint32_t n_runs;
	uint64_t dirty_since;
	uint64_t commit_since;
	uint64_t ended_ms;
	uint64_t critical_path_ms;
};

typedef TAILQ_HEAD(bh_recs, bh_rec) bh_recs_t;

/**
 * struct bh_pending_ack - an end that may be acknowledged once stored
 */
typedef struct bh_pending_ack {
	uint64_t number;
	uint64_t change;
} bh_pending_ack_t;

/**
 * struct bh_orphan - a run or an end that a worker lists of a job not known yet
 * @since: when it was first listed
 * @is_listed: the last report listed it
 * @end: how it ended, or BH_END_UNKNOWN while it runs
 */
typedef struct bh_orphan {
	TAILQ_ENTRY(bh_orphan) link;
	char *task;
	uint32_t attempt;
	uint32_t percent;
	uint64_t number;
	bh_end_t end;
	char *checkpoint;
	bh_usec_t since;
	bool is_listed;
} bh_orphan_t;

typedef TAILQ_HEAD(bh_orphans, bh_orphan) bh_orphans_t;

/**
 * struct bh_room - processor time in thousandths of a core, memory in MB, and
 * accelerators
 */
typedef struct bh_room {
	uint64_t cpu;
	uint64_t memory;
	uint64_t accelerators;
} bh_room_t;

/**
 * struct bh_host - a host of the service, its agent and its worker
 * @is_synced: its lists were seen in this term
 * @lease_ends_at: when all that ran there has ended, if nobody hears of it
 * @expires_ms: last lease granted, on the worker's clock
 * @used: room of its tasks, fillers' processor time apart
 * @filler_share: part of its tasks' processor time that they really use
 * @reserved: room that is kept for tasks that wait for it
 * @reserved_in_ms: time until that room is predicted to be free
 * @press: what pressed on its lasting tasks, with the lag of their gauges
 * @gauged_at: the report whose gauges were taken in last
 * @strain: worst tail latency of its lasting tasks over their objective
 * @is_harmed: a tail there is over its objective for long
 * @is_sick: its tails are high for reasons of its own
 * @failure_streak: attempts in a row that failed for the host's reasons
 * @quarantined_until: no new work before
 */
struct bh_host {
	TAILQ_ENTRY(bh_host) link;
	char *key;
	bh_worker_info_t info;
	const char *rack;
	bool is_linked;
	bool is_synced;
	bh_usec_t linked_at;
	bh_usec_t heard_at;
	bh_usec_t lease_ends_at;
	uint64_t expires_ms;
	bh_runs_t runs;
	uint32_t n_runs;
	uint64_t used_cpu;
	uint64_t used_memory;
	uint64_t used_accelerators;
	uint64_t filler_cpu;
	bh_room_t reserved;
	int64_t reserved_in_ms;
	double filler_share;
	double strain;
	bool is_harmed;
	bool is_sick;
	bh_usec_t gauged_at;
	uint32_t n_press;
	bh_press_t press[BH_PRESSES_MAX];
	double speed;
	uint32_t failure_streak;
	const bh_rec_t *streak_job;
	uint32_t quarantines;
	bh_usec_t quarantined_until;
	bool is_probing;
	bh_usec_t full_until;
	uint64_t last_ended;
	uint64_t acked;
	GQueue acks;
	bh_orphans_t orphans;
};

typedef TAILQ_HEAD(bh_hosts, bh_host) bh_hosts_t;

struct bh_sched {
	bh_sched_bounds_t bounds;
	const bh_sched_ops_t *ops;
	void *ctx;
	const bh_config_t *config;
	bh_recs_t recs;
	GHashTable *by_id;
	bh_hosts_t hosts;
	uint32_t n_hosts;
	GHashTable *by_key;
	bh_phases_t open;
	bh_recs_t dirty;
	bh_recs_t committing;
	uint64_t change;
	bool is_recovering;
	bool must_place;
	uint32_t n_reservations;
	bh_pairs_t *pairs;
	bh_usec_t steered_at;
	bh_usec_t checked_at;
	uint64_t unix_ms;
	bh_sched_stats_t stats;
};

/* tasks.c */
void bh_sched_log(bh_sched_t *s, const char *what, const char *job,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);
bool bh_rec_is_over(const bh_rec_t *rec);
void bh_task_full_name(const bh_task_t *task, char out[BH_TASK_NAME_BYTES]);
uint32_t bh_task_next_attempt(const bh_sched_t *s, const bh_task_t *task);
/**
 * bh_task_set_waiting() - keep its phase's count of waiting tasks
 */
void bh_task_set_waiting(bh_task_t *task, bool is_waiting);
bool bh_task_has_run(const bh_task_t *task);

/* jobs.c */
bh_rec_t *bh_rec_find(const bh_sched_t *s, const char *id);
bh_task_t *bh_task_find(const bh_sched_t *s, const char *name);
void bh_rec_mark_dirty(bh_sched_t *s, bh_rec_t *rec);
void bh_rec_insert_dirty(bh_sched_t *s, bh_rec_t *rec);
void bh_rec_open_phases(bh_sched_t *s, bh_rec_t *rec, bh_usec_t now);
void bh_rec_end(bh_sched_t *s, bh_rec_t *rec, bh_job_state_t state,
		bh_usec_t now);
void bh_task_done(bh_sched_t *s, bh_task_t *task, bh_usec_t now);

/**
 * bh_task_failed() - count a failed attempt, once
 */
void bh_task_failed(bh_sched_t *s, bh_task_t *task, uint32_t attempt,
		    bh_usec_t now);

/**
 * bh_task_requeue() - count a task as waiting again if nothing runs it
 */
void bh_task_requeue(bh_sched_t *s, bh_task_t *task, bh_usec_t now);
void bh_phase_enqueue(bh_sched_t *s, bh_phase_t *phase);

/* runs.c */
bh_run_t *bh_run_find(const bh_task_t *task, uint32_t attempt);
bh_run_t *bh_run_new(bh_task_t *task, bh_host_t *host, uint32_t attempt,
		     bh_run_state_t state, bh_usec_t now);

/**
 * bh_run_drop() - an attempt is over; its room is free
 */
void bh_run_drop(bh_sched_t *s, bh_run_t *run);
void bh_run_start(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
		  uint32_t attempt, bh_usec_t now);
void bh_run_stop(bh_sched_t *s, bh_run_t *run, const char *why, bh_usec_t now);
void bh_run_pace(bh_sched_t *s, bh_run_t *run, double percent, const char *why,
		 bh_usec_t now);
void bh_run_set_checkpoint(bh_run_t *run, const char *checkpoint);

/**
 * bh_run_remaining_ms() - work that is left of a run, by its estimate
 */
int64_t bh_run_remaining_ms(const bh_run_t *run);

/* hosts.c */
void bh_host_lose_runs(bh_sched_t *s, bh_host_t *host, const char *why,
		       bh_usec_t now);
void bh_hosts_expire(bh_sched_t *s, bh_usec_t now);

/**
 * bh_hosts_adopt_orphans() - give jobs that are known by now what workers
 * listed of them before
 */
void bh_hosts_adopt_orphans(bh_sched_t *s, bh_usec_t now);
void bh_host_release_acks(bh_sched_t *s, bh_host_t *host);
void bh_host_send_grant(bh_sched_t *s, bh_host_t *host);

/* health.c */

/**
 * bh_health_record() - something went well or badly on a host
 * @task: what it happened to; NULL when it cannot be the job's fault
 */
void bh_health_record(bh_sched_t *s, bh_host_t *host, const bh_task_t *task,
		      bool is_good, bh_usec_t now);
void bh_health_check_runs(bh_sched_t *s, bh_usec_t now);

/**
 * bh_run_is_probe() - whether it was started since the last quarantine of
 * its host
 */
bool bh_run_is_probe(const bh_run_t *run, bh_usec_t now);

/* place.c */

bool bh_host_is_usable(const bh_host_t *host, bh_usec_t now);

/**
 * bh_host_is_suitable() - whether a task may run there, room apart
 */
bool bh_host_is_suitable(const bh_task_t *task, const bh_host_t *host,
			 bh_usec_t now);
void bh_sched_place_all(bh_sched_t *s, bh_usec_t now);

/**
 * bh_sched_find_host() - the best host for a task
 *
 * Return: NULL when none has room.
 */
bh_host_t *bh_sched_find_host(bh_sched_t *s, const bh_task_t *task,
			      const bh_host_t *not_on, bh_usec_t now);

/* reserve.c */
void bh_reserve_clear(bh_sched_t *s);

/**
 * bh_reserve() - keep room for a task where it will be free first
 *
 * Return: the host, or NULL when no host will have room by what ends there.
 */
bh_host_t *bh_reserve(bh_sched_t *s, const bh_task_t *task, bh_usec_t now);

/**
 * bh_reserve_leaves() - whether a task of a step would leave a host's reserved
 * room alone
 */
bool bh_reserve_leaves(const bh_host_t *host, const bh_step_t *step);

/* gauges.c */

/**
 * bh_gauges_take() - learn from a host's last report
 */
void bh_gauges_take(bh_sched_t *s, bh_host_t *host, bh_usec_t now);
bool bh_run_is_filling(const bh_run_t *run);
bool bh_run_is_serving(const bh_run_t *run);

/**
 * bh_run_need() - processor time that a filler uses at full pace
 */
uint32_t bh_run_need(const bh_run_t *run);

/**
 * bh_host_filler_room() - processor time that is left for more fillers
 */
int64_t bh_host_filler_room(const bh_host_t *host);

/* plan.c */

/* Fillers of a host that are steered; more are left alone. */
#define BH_PACES_MAX 64

typedef struct bh_pace {
	bh_run_t *run;
	double percent;
} bh_pace_t;

/**
 * bh_plan_paces() - paces of a host's fillers that its serving tasks bear
 * @out: room for BH_PACES_MAX
 *
 * Return: how many of @out were set.
 */
uint32_t bh_plan_paces(const bh_sched_t *s, const bh_host_t *host,
		       bh_pace_t *out);

/**
 * bh_plan_pace_of() - pace of one filler, in percent, the others as they are
 */
double bh_plan_pace_of(const bh_sched_t *s, bh_run_t *run);

/**
 * bh_plan_spare() - headroom that would be left above the goal
 *
 * Return: the least over the host's serving tasks that a filler of @filler
 * would disturb, if it came there and ran at full pace.
 */
double bh_plan_spare(const bh_sched_t *s, const bh_host_t *host,
		     const bh_phase_t *filler);

/* steer.c */
void bh_steer(bh_sched_t *s, bh_usec_t now);

#endif
