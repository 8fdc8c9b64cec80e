/*
 * Internals that the files of the scheduler share; private to sched/.
 */
#ifndef BH_SCHED_SCHED_IMPL_H
#define BH_SCHED_SCHED_IMPL_H

#include "sched/advice_line.h"
#include "sched/headroom.h"
#include "sched/locality.h"
#include "sched/pairs.h"
#include "sched/sched.h"

typedef struct bh_run bh_run_t;
typedef struct bh_task bh_task_t;
typedef struct bh_phase bh_phase_t;
typedef struct bh_rec bh_rec_t;
typedef struct bh_segment bh_segment_t;
typedef struct bh_host bh_host_t;
typedef struct bh_rack bh_rack_t;

/* Attempt numbers reserved for each term, so that every number of a later term
 * is higher than any of an earlier one. */
#define BH_ATTEMPTS_PER_TERM 4096u

/* Reports come every 200 ms. A host whose last report is older gets no new
 * work, since too little is known about it. */
#define BH_REPORT_AGE_MAX_US (1500 * BH_USEC_PER_MS)

/* Start orders to a host that are not confirmed yet: more wait. A connection
 * buffers 4 MiB. */
#define BH_HOST_ORDER_BYTES_MAX (1u << 20)

/* Tasks whose progress is stored in one row. The limit on a row leaves 256
 * bytes for each, and what is noted of a task takes fewer than 100 beside its
 * checkpoint and five for each failed attempt. */
#define BH_SEGMENT_TASKS 256u

/* Concurrent attempts at a task: the first and one speculative copy. */
#define BH_RUNS_MAX 2

/* Images of fillers that are tracked per host; the effect of fillers of further
 * images is not. */
#define BH_FILLER_LOADS_MAX 32

/**
 * enum bh_run_state - state of an attempt, as the leader knows it
 * @BH_RUN_ORDERED: its start was ordered, and neither answered nor reported yet
 * @BH_RUN_ACTIVE: it runs, or has ended without the leader knowing
 * @BH_RUN_STOPPING: its stop was ordered
 */
typedef enum bh_run_state {
	BH_RUN_ORDERED,
	BH_RUN_ACTIVE,
	BH_RUN_STOPPING,
} bh_run_state_t;

/**
 * struct bh_run - an attempt at a task on a host
 * @seen_at: when a report first listed it; 0: none has
 * @progressed_at: when its progress last changed
 * @percent: its progress, as last reported
 * @first_percent: its progress when a report first listed it
 * @gauge: as last reported, see struct bh_active
 * @headroom: of a serving task, its latency objective divided by its tail
 *	latency, as last reported
 * @bias: of a serving task, the recent average of how far its headroom was from
 *	the prediction
 * @serving_since: when a report first showed that it serves requests; 0: it
 *	does not
 * @over_objective_since: when its tail latency rose above its objective; 0: it
 *	is below
 * @peak_cpu: most processor time that a filler used at full pace; 0: not known
 * @reports_missed: consecutive reports that did not list it
 * @missed_at: when a report last did not list it; 0: never
 * @pace: limit on a filler's speed, in percent of full speed
 * @stop_ordered_at: when its stop was last ordered
 * @order_bytes: size of its start order, 0 if there was none
 * @is_confirmed: an order was answered or a report listed it, so that it cannot
 *	start unnoticed later
 * @late_until: its start got no answer, and may be carried out by a later
 *	process of the worker until then; 0: not
 * @is_kept: it is over or its process has ended, and it is kept only because it
 *	may start late
 * @must_repeat: its start was lost with the agent's process and is to be sent
 *	again
 * @is_repeated: it has been sent again
 * @repeat_at: when it is sent again, after a refusal
 * @checkpoint: the last one reported; the task takes it over if the run is lost
 * @checkpoint_at: when a report first had it in place of another; 0: not known
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
	bh_usec_t serving_since;
	bh_usec_t over_objective_since;
	uint32_t peak_cpu;
	bh_usec_t paced_at;
	uint32_t reports_missed;
	bh_usec_t missed_at;
	uint32_t pace;
	bh_usec_t stop_ordered_at;
	uint32_t order_bytes;
	bool is_confirmed;
	bh_usec_t confirmed_at;
	bh_usec_t late_until;
	bool is_kept;
	bool must_repeat;
	bool is_repeated;
	bh_usec_t repeat_at;
	char *checkpoint;
	bh_usec_t checkpoint_at;
};

typedef TAILQ_HEAD(bh_runs, bh_run) bh_runs_t;

/**
 * struct bh_task - a task of a phase
 * @attempt: highest attempt number used
 * @failed: numbers of the attempts that failed; those of a gang are all kept in
 *	its first task
 * @is_waiting: counted in the phase's @waiting
 * @is_vacated: one of its runs was stopped to leave an evacuated zone
 * @checkpoint: where the next attempt resumes, or NULL
 * @blame: what is known of it from crashes of its workers
 * @held_since: when it was first kept from all hosts that it fits on, since a
 *	crash there would not tell whether it is at fault; 0: it is not
 * @avoided_host: host of its last failure, stall or refused start; others are
 *	preferred
 * @waits_for_rack: it has begun to wait for its rack; of a group the first task
 *	stands for all
 * @rack_wait_since: when it began
 * @rack_wait_until: deadline of the wait, or when it ended; 0: it has not
 *	waited
 * @rack_wait_limit_ms: longest time that the wait was worth
 * @runs: its attempts that may be running; unused entries are NULL
 */
struct bh_task {
	bh_phase_t *phase;
	uint32_t index;
	uint32_t attempt;
	uint32_t n_failed;
	uint32_t *failed;
	bool is_done;
	bool is_waiting;
	bool is_vacated;
	char *checkpoint;
	bh_blame_t blame;
	bh_usec_t held_since;
	const bh_host_t *avoided_host;
	bh_usec_t waiting_since;
	bool waits_for_rack;
	uint32_t rack_wait_limit_ms;
	bh_usec_t rack_wait_since;
	bh_usec_t rack_wait_until;
	bh_run_t *runs[BH_RUNS_MAX];
};

/**
 * struct bh_phase - a step of one occurrence of a job
 * @waiting: number of tasks that have no run and are not done, once it is open
 * @first_task: number of its first task, counted over all phases of the job
 * @is_open: its dependencies are done and its occurrence is due
 * @is_queued: it is in the scheduler's list of phases to place
 * @most_failed: failed attempts of the task that has most of them
 * @rate_sum: sum of the rates of its finished runs, a rate being the estimated
 *	run time divided by the actual one
 * @rate_count: number of rates in @rate_sum
 * @rank: order of placement, lowest first
 * @runs_on: by host, the number of its runs there; NULL without a limit for
 *	each host
 * @advice: the adviser's answers by worker id, see tickets.c, or NULL; used
 *	only if the queue needs advice
 * @preempted_at: when fillers were last stopped to make room for it
 * @vacated_at: when one of its tasks was last stopped to leave an evacuated
 *	zone
 * @stayed_at: when a run in an evacuated zone last had to stay, for lack of a
 *	host or as too many of its tasks are unavailable; 0: never
 * @explained_at: when the reason why one of its tasks waits was last logged
 * @rack_waits: its tasks that wait for their rack
 * @rack_placed: since none waited, those that were started there
 * @rack_abandoned: those that did not wait on
 * @rack_longest_ms: longest of these waits
 * @rack_limit_ms: limit of that wait
 * @image: number of the step's image
 * @headroom: of its serving tasks if no fillers ran
 */
struct bh_phase {
	TAILQ_ENTRY(bh_phase) link;
	bh_rec_t *rec;
	const bh_step_t *step;
	uint32_t occurrence;
	uint32_t step_index;
	uint32_t first_task;
	uint32_t n_done;
	uint32_t waiting;
	bool is_open;
	bool is_queued;
	bh_task_t *tasks;
	uint32_t most_failed;
	double rate_sum;
	uint32_t rate_count;
	uint64_t rank;
	GHashTable *runs_on;
	GHashTable *advice;
	bh_usec_t preempted_at;
	bh_usec_t vacated_at;
	bh_usec_t stayed_at;
	bh_usec_t explained_at;
	uint32_t rack_waits;
	uint32_t rack_placed;
	uint32_t rack_abandoned;
	int64_t rack_longest_ms;
	uint32_t rack_limit_ms;
	bh_image_id_t image;
	bh_headroom_t headroom;
};

typedef TAILQ_HEAD(bh_phases, bh_phase) bh_phases_t;

/**
 * struct bh_segment - a part of a job's progress, which is stored in one row:
 * up to BH_SEGMENT_TASKS tasks, counted over all phases
 * @index: of the segment; the first one also holds the job's state
 * @dirty_since: number of its oldest change that is not stored and not part of
 *	the commit in progress; 0: none
 * @commit_since: the same for the commit in progress
 * @crashes_unstored: crashes under its tasks are not stored and not part of the
 *	commit in progress
 * @crashes_committing: such crashes are part of the commit in progress
 */
struct bh_segment {
	TAILQ_ENTRY(bh_segment) dirty_link;
	bh_rec_t *rec;
	uint32_t index;
	uint64_t dirty_since;
	uint64_t commit_since;
	bool crashes_unstored;
	bool crashes_committing;
};

typedef TAILQ_HEAD(bh_segments, bh_segment) bh_segments_t;

/**
 * struct bh_rec - record of a job: its definition, progress and state
 * @phases: by occurrence, then by step
 * @phases_done: number of phases that are done
 * @state: current state
 * @stored_state: its terminal state once that is stored, until then
 *	BH_JOB_UNKNOWN
 * @committing: state that the commit in progress stores
 * @n_runs: attempts at its tasks that may be running
 * @ended_ms: unix time at which it ended; 0: it has not
 * @critical_path_ms: estimated critical path of one occurrence
 * @is_inherited: an earlier leader may have started its tasks
 * @added_at: when this leader read the job
 * @added_unix_ms: the same as unix time
 */
struct bh_rec {
	TAILQ_ENTRY(bh_rec) link;
	bh_job_t *job;
	uint32_t n_segments;
	bh_segment_t *segments;
	uint32_t n_phases;
	bh_phase_t *phases;
	uint32_t phases_done;
	bh_job_state_t state;
	bh_job_state_t stored_state;
	bh_job_state_t committing;
	uint32_t n_runs;
	uint64_t ended_ms;
	uint64_t critical_path_ms;
	bool is_inherited;
	bh_usec_t added_at;
	uint64_t added_unix_ms;
};

typedef TAILQ_HEAD(bh_recs, bh_rec) bh_recs_t;

/**
 * struct bh_pending_ack - ends that may be acknowledged once what followed from
 * them is stored
 * @number: the highest number of these ends
 * @change: number of the last change that followed from them
 */
typedef struct bh_pending_ack {
	uint64_t number;
	uint64_t change;
} bh_pending_ack_t;

/**
 * struct bh_orphan - a run or an end, listed by a worker, of a job that the
 * leader does not know yet
 * @number: of an end, see struct bh_ended; 0 while it runs
 * @end: how it ended
 * @since: when it was first listed
 * @is_listed: the last report listed it; not kept up to date for an end
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
 * struct bh_unknown_start - a start that may be carried out late, of a job that
 * the leader does not know yet
 * @until: when it cannot be carried out any more
 */
typedef struct bh_unknown_start {
	TAILQ_ENTRY(bh_unknown_start) link;
	char *task;
	uint32_t attempt;
	bh_usec_t until;
} bh_unknown_start_t;

typedef TAILQ_HEAD(bh_unknown_starts, bh_unknown_start) bh_unknown_starts_t;

/**
 * struct bh_sent_start - a start that was sent to a host's agent
 * @worker: id that the order names
 * @sent_at: when it was last sent
 * @is_pending: the agent has told neither its outcome nor whether it may be
 *	carried out late
 * @end: number of the end of its run, if that was listed meanwhile; 0: none
 * @late_until: a try of it got no answer, or may have got none, and may be
 *	carried out until then; 0: not known to
 */
typedef struct bh_sent_start {
	TAILQ_ENTRY(bh_sent_start) link;
	char *task;
	uint32_t attempt;
	char *worker;
	bh_usec_t sent_at;
	bool is_pending;
	uint64_t end;
	bh_usec_t late_until;
} bh_sent_start_t;

typedef TAILQ_HEAD(bh_sent_starts, bh_sent_start) bh_sent_starts_t;

/**
 * struct bh_host_resources - processor time in thousandths of a core, memory in
 * MB, and accelerators
 */
typedef struct bh_host_resources {
	uint64_t cpu;
	uint64_t memory;
	uint64_t accelerators;
} bh_host_resources_t;

/**
 * struct bh_host - a host with its agent and its worker
 * @key: address of the agent
 * @is_evacuated: its worker's zone is evacuated: it gets no new tasks
 * @clock_ms: the worker's clock when its lists last came
 * @rack: which of the worker's labels names the rack, or NULL
 * @boot: of the worker's process that the runs, ends and acknowledgements are
 *	of; its agent may not know it after a restart; 0: none was reported
 * @is_linked: the agent is connected
 * @is_synced: all that the worker runs, and all ends, were seen in this term,
 *	or its lease expired
 * @linked_at: when @is_linked last changed
 * @heard_at: when the worker's lists last came
 * @silent_until: when lists came that ended a silence of more than
 *	BH_REPORT_AGE_MAX_US; 0: never
 * @lease_ends_at: time on the leader's clock by which the worker's lease has
 *	expired, and with it all its tasks have ended, unless it is extended
 * @is_lease_in_doubt: calls that got no answer may have prolonged its lease
 * @is_lease_unconfirmed: it has ended, but another leader may have prolonged it
 * @outlived_until: the same after the worker has listed runs past
 *	@lease_ends_at, so that it holds a later lease; 0: it has not
 * @expires_ms: end of the last lease granted, on the worker's clock
 * @order_bytes: size of the start orders of runs that are not confirmed
 * @used_cpu: processor time that its tasks request, fillers excluded
 * @used_memory: memory that its tasks request, fillers included, as are
 *	accelerators
 * @filler_cpu: processor time that its fillers request
 * @unclaimed: the part of the used resources that belongs to runs which the
 *	worker lists and which are not in @runs
 * @has_unknown_run: the worker lists a run of a job that is not known, so that
 *	its resources are not known either
 * @reserved: resources reserved for waiting tasks
 * @reserved_free_in_ms: predicted time until the reserved resources are free
 * @filler_share: estimated part of @used_cpu that is really used
 * @strain: highest tail latency of its long-running tasks relative to their
 *	objective
 * @is_over_objective: a tail latency has been above its objective for too long
 * @is_degraded: tail latencies are high for reasons other than fillers
 * @gauges_read_at: time of the last report whose gauges were processed
 * @filler_loads: processor use of its fillers by image, low-pass filtered to
 *	match the lag of the long-running tasks' gauges
 * @in_rack: its rack in the present placement pass, see racks.c; NULL: no task
 *	has asked for it
 * @number_in_rack: its number there
 * @rack_wanted_until: tasks that do not name its rack avoid the host until then
 * @speed: estimated speed relative to other hosts, 1 being average
 * @failure_streak: consecutive failed attempts that may be the host's fault
 * @streak_job: job of the last of these, or NULL
 * @quarantines: quarantines since the last success
 * @quarantined_until: no new tasks are placed there before
 * @is_probing: no task has succeeded since it was quarantined; it gets one task
 *	at a time
 * @blame: what is known of its worker from crashes
 * @crashed_at: when the last one was reported
 * @crashed_boot: boot of the worker that crashed last, 0: none
 * @suspicion: sum over the suspects that run there
 * @started_at: when a start was last ordered there
 * @trial_until: no new tasks are placed there before, so that a crash is the
 *	fault of the task that was started last
 * @full_until: no new tasks are placed there before, as it refused one for lack
 *	of resources
 * @last_ended: highest number of an end that was handled, or kept in @orphans
 * @acked: highest number of an end that this leader has acknowledged
 * @n_ends: number of ends in the last lists
 * @acks: queue of struct bh_pending_ack
 * @down_at: when its worker was last reported to be down
 * @late_until: a start there got no answer, and may be carried out late until
 *	then; 0: there was none
 * @holds_acks: ends are not acknowledged before @late_until
 * @kept_id: id that the starts of kept runs name, or NULL
 * @sent_starts: those without an outcome, and those that may be carried out
 *	late
 * @sent_by_name: the same by task and attempt, or NULL
 * @agent_process: identifies the agent's process that last reported; 0: not
 *	known
 * @is_agent_known: a report has come since the agent last connected
 * @agent_gone_at: when the agent's end closed the connection, if no report has
 *	come since; 0: it has not
 * @has_lost_starts: it has runs with @must_repeat
 */
struct bh_host {
	TAILQ_ENTRY(bh_host) link;
	char *key;
	bh_worker_info_t info;
	bool is_evacuated;
	uint64_t clock_ms;
	const char *rack;
	uint64_t boot;
	bool is_linked;
	bool is_synced;
	bh_usec_t linked_at;
	bh_usec_t heard_at;
	bh_usec_t silent_until;
	bh_usec_t lease_ends_at;
	bool is_lease_in_doubt;
	bool is_lease_unconfirmed;
	bh_usec_t outlived_until;
	uint64_t expires_ms;
	bh_runs_t runs;
	uint32_t n_runs;
	uint64_t order_bytes;
	uint64_t used_cpu;
	uint64_t used_memory;
	uint64_t used_accelerators;
	uint64_t filler_cpu;
	bh_host_resources_t unclaimed;
	bool has_unknown_run;
	bh_host_resources_t reserved;
	int64_t reserved_free_in_ms;
	double filler_share;
	double strain;
	bool is_over_objective;
	bool is_degraded;
	bh_usec_t gauges_read_at;
	uint32_t n_filler_loads;
	bh_filler_load_t filler_loads[BH_FILLER_LOADS_MAX];
	bh_rack_t *in_rack;
	int number_in_rack;
	bh_usec_t rack_wanted_until;
	double speed;
	uint32_t failure_streak;
	const bh_rec_t *streak_job;
	uint32_t quarantines;
	bh_usec_t quarantined_until;
	bool is_probing;
	bh_blame_t blame;
	bh_usec_t crashed_at;
	uint64_t crashed_boot;
	double suspicion;
	bh_usec_t started_at;
	bh_usec_t trial_until;
	bh_usec_t full_until;
	uint64_t last_ended;
	uint64_t acked;
	uint32_t n_ends;
	GQueue acks;
	bh_usec_t down_at;
	bh_usec_t late_until;
	bool holds_acks;
	char *kept_id;
	bh_sent_starts_t sent_starts;
	GHashTable *sent_by_name;
	uint64_t agent_process;
	bool is_agent_known;
	bh_usec_t agent_gone_at;
	bool has_lost_starts;
	bh_unknown_starts_t unknown_starts;
	bh_orphans_t orphans;
};

typedef TAILQ_HEAD(bh_hosts, bh_host) bh_hosts_t;

/**
 * struct bh_sched - the scheduler
 * @open: queue of the open phases that have waiting tasks
 * @dirty: segments with changes to store, in ascending order of @dirty_since
 * @committing: segments of the commit in progress
 * @change: number of the last change to a job's progress
 * @is_recovering: the state of some host is not known yet, see @is_synced of
 *	struct bh_host; nothing is placed meanwhile that may run there
 * @inherits_until: jobs that are stored later are not started by earlier
 *	leaders
 * @led_at: no other leader had granted leases by then
 * @awaits_confirmation: the lease of a host that may hold runs has ended after
 *	@led_at
 * @has_uncovered_job: the last pass of placement left out a job that a later
 *	leader may have started
 * @call_lost_at: when a call to some worker last got no answer although the
 *	worker's process lived; 0: never
 * @must_place: a placement may have become possible since the last pass
 * @racks: the racks of the present placement pass, then unused ones
 * @n_racks: the number of the former
 * @n_waiting_for_rack: tasks that waited for their rack in the last pass
 * @n_deferred_phases: phases of which a task waited for its rack, so far in the
 *	pass
 * @racks_review_at: when their decisions are taken anew; 0: none waits
 * @utilization: part of the processor capacity of usable hosts that is in use
 * @slowdown: observed slowdown of tasks outside their rack
 * @jobs_read_at: all jobs that were in the store then are known
 * @evacuation: the evacuated zones, or NULL
 * @evacuation_changes: changes of that set which the hosts show
 * @n_evacuated: hosts in evacuated zones
 * @are_starts_held: no task may be started
 * @advice: calls to the adviser
 * @wants_advice: of struct bh_advice_wish: phases that need more advice, as the
 *	present placement pass has found them
 * @wishes_from: the first of them that the next choice looks at
 * @checked_at: when hosts and runs were last checked for timeouts
 */
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
	bh_segments_t dirty;
	bh_segments_t committing;
	uint64_t change;
	bool is_recovering;
	bh_usec_t inherits_until;
	bh_usec_t led_at;
	bool awaits_confirmation;
	bool has_uncovered_job;
	bh_usec_t call_lost_at;
	bool must_place;
	uint32_t n_reservations;
	bh_pairs_t *pairs;
	bh_usec_t steered_at;
	GPtrArray *racks;
	guint n_racks;
	uint32_t n_waiting_for_rack;
	uint32_t n_deferred_phases;
	bh_usec_t racks_review_at;
	double utilization;
	bh_slowdown_t slowdown;
	bh_usec_t jobs_read_at;
	const bh_evacuation_t *evacuation;
	uint64_t evacuation_changes;
	uint32_t n_evacuated;
	bool are_starts_held;
	bh_advice_line_t *advice;
	GArray *wants_advice;
	guint wishes_from;
	bh_usec_t checked_at;
	uint64_t unix_ms;
	bh_sched_stats_t stats;
};

/* tasks.c */

/**
 * bh_sched_lease_bound() - time after which a lease granted now has expired for
 * certain, unless the grant is carried out late
 */
bh_usec_t bh_sched_lease_bound(const bh_sched_t *s);
void bh_sched_log(bh_sched_t *s, const char *what, const char *job,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);
bool bh_rec_is_over(const bh_rec_t *rec);
void bh_task_full_name(const bh_task_t *task, char out[BH_TASK_NAME_BYTES]);
uint32_t bh_task_next_attempt(const bh_sched_t *s, const bh_task_t *task);

/**
 * bh_task_set_waiting() - set whether a task waits, and update its phase's
 * count
 */
void bh_task_set_waiting(bh_task_t *task, bool is_waiting);
bool bh_task_has_run(const bh_task_t *task);

/* segments.c */
void bh_rec_add_segments(bh_rec_t *rec);
void bh_rec_remove_segments(bh_sched_t *s, bh_rec_t *rec);

/**
 * bh_rec_is_stored() - whether all that is known of a job's progress is stored
 */
bool bh_rec_is_stored(const bh_rec_t *rec);
bh_segment_t *bh_task_segment(const bh_task_t *task);

/**
 * bh_segment_mark_dirty() - note that what a segment holds has changed and must
 * be stored
 */
void bh_segment_mark_dirty(bh_sched_t *s, bh_segment_t *segment);

/**
 * bh_sched_oldest_unstored() - number of the oldest change that is not stored,
 * UINT64_MAX if all are
 */
uint64_t bh_sched_oldest_unstored(const bh_sched_t *s);

/* jobs.c */
bh_rec_t *bh_rec_find(const bh_sched_t *s, const char *id);
bh_task_t *bh_task_find(const bh_sched_t *s, const char *name);

/**
 * bh_rec_open_phases() - open the phases that have become ready
 */
void bh_rec_open_phases(bh_sched_t *s, bh_rec_t *rec, bh_usec_t now);
void bh_rec_end(bh_sched_t *s, bh_rec_t *rec, bh_job_state_t state,
		bh_usec_t now);
void bh_task_done(bh_sched_t *s, bh_task_t *task, bh_usec_t now);

/**
 * bh_task_failed() - count a failed attempt, unless it is counted already
 */
void bh_task_failed(bh_sched_t *s, bh_task_t *task, uint32_t attempt,
		    bh_usec_t now);

/**
 * bh_task_requeue() - let a task wait again, if it has no run left and still
 * has to run
 */
void bh_task_requeue(bh_sched_t *s, bh_task_t *task, bh_usec_t now);

/**
 * bh_phase_enqueue() - add a phase to the queue for placement
 */
void bh_phase_enqueue(bh_sched_t *s, bh_phase_t *phase);

/* runs.c */
bh_run_t *bh_run_find(const bh_task_t *task, uint32_t attempt);
bh_run_t *bh_run_new(bh_task_t *task, bh_host_t *host, uint32_t attempt,
		     bh_run_state_t state, bh_usec_t now);

/**
 * bh_run_confirm() - its start order has been carried out or refused for
 * certain
 */
void bh_run_confirm(bh_sched_t *s, bh_run_t *run);

/**
 * bh_phase_runs_on() - number of runs of a phase with a limit for each host
 */
uint32_t bh_phase_runs_on(const bh_phase_t *phase, const bh_host_t *host);

/**
 * bh_run_drop() - free a run that is over, and the resources it used
 */
void bh_run_drop(bh_sched_t *s, bh_run_t *run);
void bh_run_start(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
		  uint32_t attempt, bh_usec_t now);

/**
 * bh_run_send_start() - order the start of a run
 */
void bh_run_send_start(bh_sched_t *s, bh_run_t *run, bh_usec_t now);
void bh_run_stop(bh_sched_t *s, bh_run_t *run, const char *why, bh_usec_t now);
void bh_run_pace(bh_sched_t *s, bh_run_t *run, double percent, const char *why,
		 bh_usec_t now);

/**
 * bh_host_charge_unclaimed() - count the resources of a run that the worker
 * lists and that the leader does not want, until it has ended
 */
void bh_host_charge_unclaimed(bh_host_t *host, const bh_step_t *step);
void bh_host_clear_unclaimed(bh_host_t *host);

/**
 * bh_run_set_checkpoint() - keep a reported checkpoint; NULL and "" are ignored
 */
void bh_run_set_checkpoint(bh_run_t *run, const char *checkpoint,
			   bh_usec_t now);

/**
 * bh_run_remaining_ms() - estimated remaining run time, at average speed
 */
int64_t bh_run_remaining_ms(const bh_run_t *run);

/* hosts.c */

/**
 * bh_host_lose_runs() - drop all runs of a host whose worker cannot run any of
 * them any more, those of unknown jobs included
 */
void bh_host_lose_runs(bh_sched_t *s, bh_host_t *host, const char *why,
		       bh_usec_t now);

/**
 * bh_hosts_expire() - drop the runs of hosts whose lease has expired, and check
 * whether recovery is over
 */
void bh_hosts_expire(bh_sched_t *s, bh_usec_t now);

/**
 * bh_hosts_adopt_orphans() - handle the orphans whose job has become known
 */
void bh_hosts_adopt_orphans(bh_sched_t *s, bh_usec_t now);

/**
 * bh_run_lose() - drop a run that the worker no longer has, without a report of
 * how it ended
 */
void bh_run_lose(bh_sched_t *s, bh_run_t *run, const char *why, bh_usec_t now);

/* late_runs.c */

/**
 * bh_run_keep() - keep a run that is over, or whose process has ended, if it
 * may start late
 *
 * Return: whether it is kept.
 */
bool bh_run_keep(bh_sched_t *s, bh_run_t *run, bh_usec_t now);

/**
 * bh_run_note_late() - its start may be carried out late
 */
void bh_run_note_late(bh_run_t *run, bh_usec_t until);

/**
 * bh_run_revive() - a kept run has started late
 */
void bh_run_revive(bh_sched_t *s, bh_run_t *run, bh_usec_t now);
void bh_host_note_late_starts(bh_sched_t *s, bh_host_t *host,
			      const bh_worker_info_t *info, bh_usec_t now);

/**
 * bh_host_find_unknown_starts() - note the late starts whose job has become
 * known
 */
void bh_host_find_unknown_starts(bh_sched_t *s, bh_host_t *host, bh_usec_t now);
void bh_host_clear_unknown_starts(bh_host_t *host);

/**
 * bh_host_note_late_start() - a start on the host may be carried out until
 * @until
 *
 * Return: false if the task's job is not known yet.
 */
bool bh_host_note_late_start(bh_sched_t *s, bh_host_t *host, const char *name,
			     uint32_t attempt, bh_usec_t until, bh_usec_t now);

/**
 * bh_host_keep_late_runs() - the worker's process has ended: keep the runs that
 * may start late
 */
void bh_host_keep_late_runs(bh_sched_t *s, bh_host_t *host, bh_usec_t now);

/**
 * bh_host_drop_late_runs() - drop the kept runs that cannot start any more
 */
void bh_host_drop_late_runs(bh_sched_t *s, bh_host_t *host, bh_usec_t now);

/**
 * bh_host_has_live_run() - whether it has runs besides those that are kept
 */
bool bh_host_has_live_run(const bh_host_t *host);

/* sent_starts.c */
void bh_host_note_sent(bh_host_t *host, const char *task, uint32_t attempt,
		       bh_usec_t now);

/**
 * bh_host_note_unanswered() - the agent has told that a start may be carried
 * out late
 * @worker: id that it names, or NULL
 */
void bh_host_note_unanswered(bh_host_t *host, const char *task,
			     uint32_t attempt, const char *worker,
			     bh_usec_t until);

/**
 * bh_host_note_outcome() - the agent has told the outcome of a start, and
 * before that whether it may be carried out late
 */
void bh_host_note_outcome(bh_host_t *host, const char *task, uint32_t attempt);

/**
 * bh_host_note_sent_end() - a run has ended, perhaps before the outcome of its
 * start was told
 */
void bh_host_note_sent_end(bh_host_t *host, const bh_ended_t *e);

/**
 * bh_host_forget_sent_ends() - the worker's process has ended, and with it the
 * numbering of its ends
 */
void bh_host_forget_sent_ends(bh_host_t *host);

/**
 * bh_host_first_pending_end() - lowest number among the ends of runs whose
 * start has no outcome, which must not be acknowledged; UINT64_MAX if there is
 * none
 *
 * A start that may be carried out late holds back all ends, see @holds_acks.
 */
uint64_t bh_host_first_pending_end(const bh_host_t *host);

/**
 * bh_host_may_start_late() - whether a try of a start whose outcome was told
 * may still be carried out
 */
bool bh_host_may_start_late(const bh_host_t *host, const char *task,
			    uint32_t attempt, bh_usec_t now);
void bh_host_expire_sent_starts(bh_host_t *host, bh_usec_t now);
void bh_host_clear_sent_starts(bh_host_t *host);

/**
 * bh_host_note_agent() - to be called with each report: in the first one on a
 * connection the agent shows whether its process was replaced
 */
void bh_host_note_agent(bh_sched_t *s, bh_host_t *host,
			const bh_worker_info_t *info, bh_usec_t now);

/**
 * bh_host_note_agent_gone() - the host's lease has expired: if its agent's
 * process seems to have ended, starts without an outcome may come late
 */
void bh_host_note_agent_gone(bh_sched_t *s, bh_host_t *host, bh_usec_t now);

/**
 * bh_run_may_repeat() - whether a start that was lost with its agent's process
 * may be sent again
 */
bool bh_run_may_repeat(const bh_run_t *run, bh_usec_t now);

/**
 * bh_run_repeat_later() - a start that was sent again has been refused
 */
void bh_run_repeat_later(bh_run_t *run, bh_usec_t now);
void bh_hosts_repeat_starts(bh_sched_t *s, bh_usec_t now);

/* hosts.c */

/**
 * bh_host_release_acks() - acknowledge the ends whose results are stored, up to
 * the first one whose job is not known
 */
void bh_host_release_acks(bh_sched_t *s, bh_host_t *host);
void bh_host_send_grant(bh_sched_t *s, bh_host_t *host);

/* crash.c */

/**
 * bh_host_infer_crash() - the worker's process has ended: unless its agent has
 * reported a crash, or the worker was draining, count one by what is known to
 * run there; an agent that has restarted with the worker cannot report it
 */
void bh_host_infer_crash(bh_sched_t *s, bh_host_t *host, bh_usec_t now);

/**
 * bh_host_clear_suspects() - clear the tasks and the worker of a host that have
 * outlived their suspicion
 */
void bh_host_clear_suspects(bh_sched_t *s, bh_host_t *host, bh_usec_t now);

/**
 * bh_task_is_suspect() - whether a task may be crashing its workers
 */
bool bh_task_is_suspect(const bh_task_t *task);

/**
 * bh_host_update_suspicion() - recompute @suspicion of a host
 */
void bh_host_update_suspicion(bh_host_t *host);

/* health.c */

/**
 * bh_health_record() - record a success or a failure on a host
 * @task: the task concerned; NULL if a failure cannot be the job's fault
 */
void bh_health_record(bh_sched_t *s, bh_host_t *host, const bh_task_t *task,
		      bool is_good, bh_usec_t now);

/**
 * bh_health_check_runs() - look for runs that have stalled or are slow
 */
void bh_health_check_runs(bh_sched_t *s, bh_usec_t now);

/**
 * bh_run_is_probe() - whether a run was started after its host's last
 * quarantine
 */
bool bh_run_is_probe(const bh_run_t *run, bh_usec_t now);

/* order.c */

/**
 * bh_phase_rank() - order of placement of a phase at the present time, lowest
 * first
 */
uint64_t bh_phase_rank(const bh_sched_t *s, const bh_phase_t *phase,
		       bh_usec_t now);

/**
 * bh_phase_slack_ms() - time by which a phase may start later for its job to
 * meet its objective; negative if it is late already
 */
int64_t bh_phase_slack_ms(const bh_sched_t *s, const bh_phase_t *phase);

/* racks.c */

/* Phases that wait for their racks in a pass, which bounds its cost; those of a
 * lower rank do not wait. */
#define BH_DEFERRED_PHASES_MAX 200

void bh_racks_init(bh_sched_t *s);
void bh_racks_clear(bh_sched_t *s);

/**
 * bh_racks_begin_pass() - forget the forecasts of the last placement pass
 */
void bh_racks_begin_pass(bh_sched_t *s, bh_usec_t now);

/**
 * bh_run_slowdown() - run time relative to that in the rack that the run's step
 * names; 1 if waits for racks are disabled
 */
double bh_run_slowdown(const bh_sched_t *s, const bh_run_t *run);

/**
 * bh_racks_note_end() - a run that was not slowed otherwise has ended
 * @ran: its run time
 */
void bh_racks_note_end(bh_sched_t *s, const bh_run_t *run, bh_usec_t ran);

/**
 * bh_racks_note_start() - a task is started in the present pass
 */
void bh_racks_note_start(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
			 bh_usec_t now);

/**
 * bh_racks_note_reservation() - capacity of a host is reserved for a task of a
 * phase in the present pass
 */
void bh_racks_note_reservation(const bh_phase_t *phase, const bh_host_t *host);

/**
 * struct bh_rack_plan - a phase's rack while its tasks are placed one by one
 * @name: of the rack; NULL: the phase has none, or does not wait for it
 * @is_full: too many other phases wait for racks
 * @is_lost: its tasks may not run on any of its hosts
 * @most: how many more of its tasks each host may get
 * @elsewhere_ms: longest remaining time of its tasks that run elsewhere
 * @n_deferred: tasks of the phase that wait, so far in this pass
 */
typedef struct bh_rack_plan {
	const char *name;
	bh_rack_t *rack;
	bool is_full;
	bool is_lost;
	uint32_t most[BH_RACK_HOSTS_MAX];
	int64_t elsewhere_ms;
	uint32_t n_deferred;
} bh_rack_plan_t;

void bh_racks_plan(bh_sched_t *s, const bh_phase_t *phase, bh_rack_plan_t *plan,
		   bh_usec_t now);

/**
 * bh_racks_defer_task() - whether a task waits for capacity in its rack
 *
 * It does not if it can start there now. A task that waits reserves nothing.
 */
bool bh_racks_defer_task(bh_sched_t *s, bh_rack_plan_t *plan, bh_task_t *task,
			 bh_usec_t now);

/**
 * bh_racks_plan_start() - a task of the phase is started on a host
 */
void bh_racks_plan_start(const bh_sched_t *s, bh_rack_plan_t *plan,
			 const bh_phase_t *phase, const bh_host_t *host);

/**
 * bh_racks_forget_wait() - a task does not wait for its rack any more, as it is
 * done or a run of it has been found
 */
void bh_racks_forget_wait(bh_task_t *task);

/**
 * bh_host_is_wanted() - whether tasks wait for the host's rack, and the step
 * does not name that rack
 */
bool bh_host_is_wanted(const bh_host_t *host, const bh_step_t *step,
		       bh_usec_t now);

/**
 * bh_racks_is_group() - whether a phase's tasks are best placed in one rack
 * together
 */
bool bh_racks_is_group(const bh_sched_t *s, const bh_phase_t *phase);

/**
 * bh_racks_find_for_group() - the rack that can hold all tasks first
 * @wait_ms: set to the predicted time until then
 *
 * Return: valid during the present pass; NULL if there is none within
 * BH_LOCALITY_WAIT_MAX_MS.
 */
bh_rack_t *bh_racks_find_for_group(bh_sched_t *s, const bh_phase_t *phase,
				   int64_t *wait_ms, bh_usec_t now);

/**
 * bh_rack_refuse() - bh_racks_find_for_group() does not return a rack for a
 * phase again in this pass, as its tasks could not be placed there
 */
void bh_rack_refuse(bh_rack_t *rack, const bh_phase_t *phase);
const char *bh_rack_name(const bh_rack_t *rack);

/**
 * bh_racks_defer_group() - whether a group waits for a rack
 * @rack: result of bh_racks_find_for_group(), as is @wait_ms
 *
 * If it does, all that it needs is reserved there, unless another group has
 * reserved capacity in that rack: a group never holds a part of what it needs.
 */
bool bh_racks_defer_group(bh_sched_t *s, bh_phase_t *phase, bh_rack_t *rack,
			  int64_t wait_ms, bh_usec_t now);

/* tickets.c */

/**
 * struct bh_advice_wish - a phase that needs more advice
 * @is_blocked: it has no ticket at all
 */
typedef struct bh_advice_wish {
	bh_phase_t *phase;
	bool is_blocked;
} bh_advice_wish_t;

/**
 * bh_phase_awaits_advice() - whether a phase has to wait for the adviser; if so
 * it may be asked about in this pass
 */
bool bh_phase_awaits_advice(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now);

/**
 * bh_phase_want_advice() - a phase has tickets and could not be placed: the
 * adviser may be asked about other workers in this pass
 */
void bh_phase_want_advice(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now);

/**
 * bh_advice_begin_pass() - forget what the last placement pass found
 */
void bh_advice_begin_pass(bh_sched_t *s);

/**
 * bh_advice_end_pass() - send the calls that are of use now, those first by
 * which tasks can start at once
 */
void bh_advice_end_pass(bh_sched_t *s, bh_usec_t now);

/**
 * bh_phase_ticket() - the ticket for a host
 *
 * Return: NULL if there is none that is valid.
 */
const char *bh_phase_ticket(const bh_phase_t *phase, const bh_host_t *host,
			    bh_usec_t now);
void bh_phase_drop_ticket(bh_phase_t *phase, const bh_host_t *host);

/**
 * bh_phase_has_permission() - whether the queue needs no advice, or there is a
 * valid ticket for the host
 */
bool bh_phase_has_permission(const bh_sched_t *s, const bh_phase_t *phase,
			     const bh_host_t *host, bh_usec_t now);
void bh_phase_clear_advice(bh_phase_t *phase);

/* place.c */

/**
 * bh_host_is_usable() - whether a host may get new work
 */
bool bh_host_is_usable(const bh_host_t *host, bh_usec_t now);

/**
 * bh_host_usable_in_ms() - time until a host may get new work: 0, or the rest
 * of its quarantine or of a pause (@full_until, @trial_until)
 *
 * Return: -1 if that is not known.
 */
int64_t bh_host_usable_in_ms(const bh_host_t *host, bh_usec_t now);

/**
 * bh_host_has_label() - whether a host has a label; all have NULL
 */
bool bh_host_has_label(const bh_host_t *host, const char *label);

/**
 * bh_host_has_room() - whether the free resources of a host are enough for a
 * task of a step
 */
bool bh_host_has_room(const bh_host_t *host, const bh_step_t *step);

/**
 * bh_host_matches() - whether a host meets a phase's requirements, its state
 * and free resources aside
 */
bool bh_host_matches(const bh_phase_t *phase, const bh_host_t *host,
		     bh_usec_t now);

/**
 * bh_host_is_being_probed() - whether a host on probation has its one new task
 */
bool bh_host_is_being_probed(const bh_host_t *host, bh_usec_t now);

/**
 * bh_host_can_start() - whether a task can be started on a host now
 */
bool bh_host_can_start(bh_sched_t *s, const bh_task_t *task,
		       const bh_host_t *host, bh_usec_t now);

/**
 * bh_host_is_suitable() - whether a host may run a task, free resources aside
 */
bool bh_host_is_suitable(const bh_task_t *task, const bh_host_t *host,
			 bh_usec_t now);
void bh_sched_place_all(bh_sched_t *s, bh_usec_t now);

/**
 * bh_sched_find_host() - the best host for a task
 * @excluded: host that is not considered, or NULL
 *
 * Return: NULL if no host is eligible.
 */
bh_host_t *bh_sched_find_host(bh_sched_t *s, bh_task_t *task,
			      const bh_host_t *excluded, bh_usec_t now);

/* reserve.c */
void bh_reserve_clear(bh_sched_t *s);

/**
 * bh_reserve() - reserve resources for a task on the host where it will fit
 * first
 *
 * Return: the host, or NULL if the task will not fit on any host when the
 * present runs end.
 */
bh_host_t *bh_reserve(bh_sched_t *s, const bh_task_t *task, bh_usec_t now);

/**
 * bh_reserve_allows() - whether a task of a step can start on a host without
 * delaying the tasks that have reservations there
 */
bool bh_reserve_allows(const bh_host_t *host, const bh_step_t *step);

/* gauges.c */

/**
 * bh_gauges_update() - update the estimates from a host's last report
 */
void bh_gauges_update(bh_sched_t *s, bh_host_t *host, bh_usec_t now);
bool bh_run_is_active_filler(const bh_run_t *run);
bool bh_run_is_serving(const bh_run_t *run);

/**
 * bh_run_full_pace_cpu() - processor time that a filler uses at full pace
 *
 * Return: its measured peak, or what its step requests before a measurement;
 * thousandths of a core.
 */
uint32_t bh_run_full_pace_cpu(const bh_run_t *run);

/**
 * bh_host_free_filler_cpu() - processor time that is free for more fillers
 *
 * Return: thousandths of a core, negative if fillers use more than is free.
 */
int64_t bh_host_free_filler_cpu(const bh_host_t *host);

/* plan.c */

/* Fillers of a host that get a planned pace; the pace of others stays as it is.
 */
#define BH_PACES_MAX 64

typedef struct bh_pace {
	bh_run_t *run;
	double percent;
} bh_pace_t;

/**
 * bh_plan_paces() - paces of a host's fillers that leave its serving tasks
 * enough headroom
 * @out: array of BH_PACES_MAX elements
 *
 * Return: number of elements of @out that were set.
 */
uint32_t bh_plan_paces(const bh_sched_t *s, const bh_host_t *host,
		       bh_pace_t *out);

/**
 * bh_plan_pace_of() - pace of one filler in percent if the others keep theirs
 */
double bh_plan_pace_of(const bh_sched_t *s, bh_run_t *run);

/**
 * bh_plan_spare_headroom() - spare headroom left if a filler of @filler ran at
 * full pace on a host
 *
 * Return: the least headroom above the goal among the serving tasks that it
 * would interfere with.
 */
double bh_plan_spare_headroom(const bh_sched_t *s, const bh_host_t *host,
			      const bh_phase_t *filler);

/* vacate.c */

/**
 * bh_vacate_hosts() - move runs out of evacuated zones
 */
void bh_vacate_hosts(bh_sched_t *s, bh_usec_t now);

/**
 * bh_host_update_evacuated() - note whether the zone of a host is evacuated
 *
 * Return: whether that has changed.
 */
bool bh_host_update_evacuated(bh_sched_t *s, bh_host_t *host);

/**
 * bh_sched_apply_evacuation() - the same for all hosts if the set of zones has
 * changed
 */
void bh_sched_apply_evacuation(bh_sched_t *s);

/* steer.c */

/**
 * bh_steer_fillers() - set the paces of all fillers, move those that are paused
 */
void bh_steer_fillers(bh_sched_t *s, bh_usec_t now);

#endif
