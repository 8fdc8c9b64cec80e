#include "tests/schedworld.h"
#include "sched/fence.h"
#include "wire/sched_codec.h"

#include <stdio.h>

#define STEP_US		     (20 * BH_USEC_PER_MS)
#define REPORT_US	     (400 * BH_USEC_PER_MS)
#define COMMIT_US	     (40 * BH_USEC_PER_MS)
#define ELECTION_US	     (2500 * BH_USEC_PER_MS)
#define LEASE_MS	     5000
#define HOLD_MAX_MS	     6000
#define PREDECESSOR_GRANT_MS 3000
#define STOP_DELAY_US	     (100 * BH_USEC_PER_MS)

/* A worker's process announces its id after this time. */
#define ANNOUNCE_US (200 * BH_USEC_PER_MS)

/* Time after which a late call is carried out at the latest, shorter than
 * BH_LATE_CALL_MAX_US by what the agent takes to give it up. */
#define LATE_CALL_US (11500 * BH_USEC_PER_MS)

/* Polls in a row until lists count. */
#define POLLS_MAX 3

/* A worker that a task has crashed restarts after this time. */
#define CRASH_US (3000 * BH_USEC_PER_MS)

/* An agent that restarts with its worker is back after this time. */
#define AGENT_RESTART_US (500 * BH_USEC_PER_MS)

/* Longer than a lease and the leader's margin. */
#define CUT_OFF_US (6500 * BH_USEC_PER_MS)

/* A task that crashes its workers may be started fewer than STARTS_ALLOWED
 * times more after this many crashes. */
#define CRASHES_ALLOWED 3
#define STARTS_ALLOWED	3

/* Ends that a worker lists at a time: few, so that full lists are frequent. */
#define ENDED_ROWS_MAX 6u

/* Rows of a commit, few of which hold a wide job: further ones are stored
 * later.
 */
#define COMMIT_ROWS   3
#define ROW_BYTES_MAX 65536
#define SEGMENTS_MAX  80

#define CPU_MILLI      10000
#define MEMORY_MB      100000
#define SHRINK_DIVISOR 4

/* From this time on starts must respect a room that has shrunk: contact-ms and
 * an announcement interval. */
#define SHRUNK_COUNTS_AFTER_US (4500 * BH_USEC_PER_MS)

#define QUEUE	     "q"
#define FILLER_QUEUE "f"
#define SERVICE	     "s"

const char *const sw_fault_names[SW_FAULTS] = {
	"none",		 "leader-kill",	       "leader-partitioned",
	"worker-crash",	 "worker-unreachable", "agent-disconnected",
	"agent-restart", "store-down",	       "store-loses-answers",
	"orders-lost",	 "orders-late",	       "orders-slow",
	"answers-lost",	 "worker-fails-all",   "tasks-stall",
	"worker-drains", "room-shrinks",       "polls-late",
};

typedef struct sw_run_rec {
	char name[BH_TASK_NAME_BYTES];
	uint32_t attempt;
	double done_ms;
	double need_ms;
	bool will_fail;
	bh_usec_t started_at;
	bh_usec_t crash_at;
	bh_usec_t stop_at;
	uint32_t pace;
} sw_run_rec_t;

/**
 * struct sw_late_poll - a poll that got no answer
 * @at: when it is carried out
 * @boot: of the process that was polled
 * @length_ms: of the lease, for that process
 */
typedef struct sw_late_poll {
	bh_usec_t at;
	uint64_t boot;
	uint64_t length_ms;
	bh_fence_poll_t poll;
} sw_late_poll_t;

/**
 * struct sw_worker - a worker and its agent
 * @closed_attempts: by task, the highest attempt that the worker will not start
 * @lapsed_number: highest number of an end that came before the lease was last
 *	found expired
 * @token: highest fencing token that the process has seen
 * @expires_ms: end of the lease, on the worker's clock
 * @late_polls: of struct sw_late_poll
 * @agent_process: number of the agent's process, which began at
 *	@agent_started_at
 * @agent_dies_at: when the agent is killed, see
 *	sw_kill_agents_with_late_orders(); 0: it is not
 * @announced_boot: of the process that last announced itself to the agent
 * @is_known_down: the agent has noticed that the worker is down
 * @has_lost_poll: the last poll got no answer
 * @call_lost_at: when a poll last got no answer, and the next one did; 0: never
 * @has_polled: the agent's process has polled the worker, so that it knows what
 *	runs there
 */
typedef struct sw_worker {
	char key[24];
	char id[24];
	uint64_t boot;
	bh_usec_t booted_at;
	GPtrArray *runs;
	GArray *ended;
	GHashTable *closed_attempts;
	uint64_t last_number;
	uint64_t lapsed_number;
	uint64_t token;
	uint64_t expires_ms;
	GArray *late_polls;
	bool is_up;
	bool is_unreachable;
	bool is_draining;
	bh_usec_t fault_until[SW_FAULTS];
	/* State of the agent. */
	bh_fence_t *fence;
	uint64_t agent_process;
	bh_usec_t agent_started_at;
	bh_usec_t agent_dies_at;
	uint64_t announced_boot;
	bool is_known_down;
	bool is_linked;
	bool has_polled;
	bool has_lost_poll;
	bh_usec_t call_lost_at;
	bh_crash_t crash;
	bh_usec_t crashed_at;
	uint64_t crash_term;
	bh_usec_t shrunk_since;
	bh_usec_t reported_at;
	/* The report that is being sent to the leader. */
	bool has_report;
	bh_worker_info_t report_info;
	bh_worker_lists_t report;
} sw_worker_t;

/**
 * struct sw_message - an order to a worker
 * @agent_process: that passes it on
 * @at: when it arrives
 * @until: time until which it may arrive if the worker is down at that time
 * @percent: of a pace order
 * @has_answer: false for late orders
 * @is_given_up: a late order that the agent has given up
 * @is_silent: a late order that the agent has repeated
 * @is_refused: by the agent
 * @was_unclear: an earlier try got no answer
 * @is_retried: its answer was lost, and this is the agent's next try
 */
typedef struct sw_message {
	bh_usec_t at;
	bh_usec_t until;
	int worker;
	uint64_t agent_process;
	int kind;
	uint64_t term;
	uint64_t token;
	uint64_t boot;
	char name[BH_TASK_NAME_BYTES];
	uint32_t attempt;
	uint32_t percent;
	char *checkpoint;
	uint64_t expires_ms;
	bool has_answer;
	bool is_given_up;
	bool is_silent;
	bool is_refused;
	bool was_unclear;
	bool is_retried;
} sw_message_t;

enum { START = 1, STOP, PACE };

/**
 * struct sw_history - the workers' record of a task
 * @running: attempts that are running
 * @failed: failed attempts that were acknowledged
 * @crashes: workers that it has crashed
 * @workers_ended: workers that have ended while it ran there
 * @starts_after_crashes: starts after CRASHES_ALLOWED of these
 * @is_done_acked: a successful end was acknowledged
 * @rerun_attempt: attempt that started after the task was done; 0: none
 */
typedef struct sw_history {
	uint32_t running;
	uint32_t failed;
	uint32_t crashes;
	uint32_t workers_ended;
	uint32_t starts_after_crashes;
	bool is_done_acked;
	uint32_t rerun_attempt;
	bool is_done;
} sw_history_t;

struct sw_world {
	GRand *rand;
	sw_disabled_t disabled;
	bh_usec_t now;
	sw_worker_t workers[SW_WORKERS];
	GHashTable *jobs;
	GHashTable *progress;
	GHashTable *histories;
	GHashTable *poison;
	GHashTable *deadly;
	uint32_t crashes;
	bool cuts_off_crashed;
	bool restarts_agent_of_crashed;
	bool kills_agents;
	GPtrArray *messages;
	bh_config_t *config;
	bh_sched_t *sched;
	uint64_t term;
	bh_usec_t led_since;
	bool is_leading;
	bh_usec_t elect_at;
	bh_usec_t committed_at;
	bh_usec_t renewed_at;
	bh_usec_t fault_until[SW_FAULTS];
	uint32_t serve_ms;
	double serve_interference;
	char *serving;
	char *violation;
};

static uint64_t unix_ms(const sw_world_t *w)
{
	return 1000000000000ull + (uint64_t)(w->now / 1000);
}

static uint64_t clock_of(const sw_world_t *w, const sw_worker_t *k)
{
	return (uint64_t)((w->now - k->booted_at) / 1000) + 1000;
}

static void trace(const sw_world_t *w, const sw_worker_t *k, const char *what,
		  const char *task, uint32_t attempt)
{
	if (g_getenv("BH_TRACE"))
		printf("%8.2f   [%s boot=%" G_GUINT64_FORMAT
		       " token=%" G_GINT64_MODIFIER
		       "x expires=%" G_GINT64_FORMAT "] %s %s %u\n",
		       (double)w->now / 1e6, k->id, k->boot, k->token,
		       (int64_t)k->expires_ms - (int64_t)clock_of(w, k), what,
		       task, attempt);
}

static void report_violation(sw_world_t *w, const char *rule, const char *task)
{
	if (!w->violation)
		w->violation = g_strdup_printf("%s: %s at %.2f s", rule, task,
					       (double)w->now / 1e6);
}

static sw_history_t *history_of(sw_world_t *w, const char *name)
{
	sw_history_t *history = g_hash_table_lookup(w->histories, name);

	if (!history) {
		history = g_new0(sw_history_t, 1);
		g_hash_table_insert(w->histories, g_strdup(name), history);
	}
	return history;
}

static bool has_fault(const sw_world_t *w, const sw_worker_t *k, sw_fault_t f)
{
	return w->now < w->fault_until[f] || (k && w->now < k->fault_until[f]);
}

static void close_attempt(sw_worker_t *k, const char *name, uint32_t attempt)
{
	uint32_t before =
		GPOINTER_TO_UINT(g_hash_table_lookup(k->closed_attempts, name));

	g_hash_table_insert(k->closed_attempts, g_strdup(name),
			    GUINT_TO_POINTER(MAX(before, attempt)));
}

static bh_job_t *job_of(sw_world_t *w, const char *id)
{
	GBytes *bytes = g_hash_table_lookup(w->jobs, id);
	gsize len;
	const void *data;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &len);
	return bh_job_unpack(data, len);
}

/* The worker. */

static void end_run(sw_world_t *w, sw_worker_t *k, guint i, bh_end_t how)
{
	sw_run_rec_t *run = k->runs->pdata[i];
	bh_ended_t end = {.number = ++k->last_number,
			  .task = g_strdup(run->name),
			  .attempt = run->attempt,
			  .how = how};
	sw_history_t *history = history_of(w, run->name);

	if (how != BH_END_FAILED && how != BH_END_DONE)
		end.checkpoint =
			g_strdup_printf("%s@%.0f", run->name, run->done_ms);
	history->running--;
	if (how == BH_END_DONE)
		history->is_done = true;
	close_attempt(k, run->name, run->attempt);
	trace(w, k, bh_end_name(how), run->name, run->attempt);
	g_array_append_val(k->ended, end);
	g_ptr_array_remove_index_fast(k->runs, i);
}

/* Called when the end of an attempt that was done is acknowledged. If a later
 * attempt has started since, the task has run twice. */
static void record_done(sw_world_t *w, const char *task, uint32_t attempt)
{
	sw_history_t *history = history_of(w, task);

	history->is_done_acked = true;
	if (attempt < history->rerun_attempt)
		report_violation(w, "TWICE, started after its end", task);
}

static void clear_ended(sw_worker_t *k, uint64_t upto, sw_world_t *w)
{
	for (guint i = 0; i < k->ended->len;) {
		bh_ended_t *e = &g_array_index(k->ended, bh_ended_t, i);

		if (e->number > upto) {
			i++;
			continue;
		}
		/* A task may run again if its worker's lease expired between
		 * its end and the acknowledgement. */
		if (w && e->how == BH_END_DONE && e->number > k->lapsed_number)
			record_done(w, e->task, e->attempt);
		if (w && e->how == BH_END_FAILED)
			history_of(w, e->task)->failed++;
		if (w)
			trace(w, k, "forgets", e->task, e->attempt);
		g_free(e->task);
		g_free(e->checkpoint);
		g_array_remove_index(k->ended, i);
	}
}

static void record_crash(const sw_world_t *w, sw_worker_t *k)
{
	bh_crash_clear(&k->crash);
	if (!k->has_polled)
		return;
	k->crash.boot = k->boot;
	k->crashed_at = w->now;
	k->crash.runs = g_new0(bh_crashed_run_t, k->runs->len + 1);
	for (guint i = 0; i < k->runs->len; i++) {
		const sw_run_rec_t *run = k->runs->pdata[i];

		k->crash.runs[k->crash.n_runs++] = (bh_crashed_run_t){
			.task = g_strdup(run->name),
			.age_ms = (uint32_t)((w->now - run->started_at) /
					     BH_USEC_PER_MS),
			.is_confirmed = true,
		};
	}
	k->crash_term = 0;
}

/* A third of the calls that are under way is read by the next process as soon
 * as it begins. */
static void hasten_late_orders(sw_world_t *w, const sw_worker_t *k)
{
	for (guint i = 0; i < w->messages->len; i++) {
		sw_message_t *m = w->messages->pdata[i];

		if (&w->workers[m->worker] == k && !m->has_answer &&
		    g_rand_int_range(w->rand, 0, 3) == 0)
			m->at = w->now;
	}
}

static void reboot(sw_world_t *w, sw_worker_t *k)
{
	while (k->runs->len) {
		sw_run_rec_t *run = k->runs->pdata[0];

		history_of(w, run->name)->running--;
		history_of(w, run->name)->workers_ended++;
		g_ptr_array_remove_index_fast(k->runs, 0);
	}
	clear_ended(k, UINT64_MAX, NULL);
	g_hash_table_remove_all(k->closed_attempts);
	trace(w, k, "ends", "", 0);
	k->boot = unix_ms(w);
	k->booted_at = w->now;
	k->last_number = 0;
	k->lapsed_number = 0;
	k->expires_ms = 0;
	k->token = 0;
	k->is_draining = false;
}

static void check_start(sw_world_t *w, const char *name, uint32_t attempt,
			const bh_step_t *step, const char *checkpoint)
{
	sw_history_t *history = history_of(w, name);
	bh_task_name_t parts;
	bh_job_t *job;

	bh_task_name_parse(name, &parts);
	job = job_of(w, parts.job);
	if (history->running && !step->is_speculative)
		report_violation(w, "TWICE", name);
	if (history->crashes >= CRASHES_ALLOWED &&
	    ++history->starts_after_crashes >= STARTS_ALLOWED)
		report_violation(w, "BUDGET, crashes its workers", name);
	if (history->is_done_acked && !step->is_speculative)
		report_violation(
			w, "TWICE, started after its end was acknowledged",
			name);
	if (history->is_done && !step->is_speculative)
		history->rerun_attempt = attempt;
	if (history->failed >= job->terms.max_attempts &&
	    !step->is_long_running)
		report_violation(w, "BUDGET", name);
	if (checkpoint && *checkpoint &&
	    strncmp(checkpoint, name, strlen(name)) != 0)
		report_violation(w, "UNASKED checkpoint", name);
	for (uint32_t a = 0; a < step->n_after; a++) {
		for (uint32_t i = 0; i < job->steps[step->after[a]].count;
		     i++) {
			bh_task_name_t before = parts;
			char text[BH_TASK_NAME_BYTES];

			before.step = step->after[a];
			before.index = i;
			bh_task_name_format(&before, text);
			if (!history_of(w, text)->is_done)
				report_violation(w, "ORDER", name);
		}
	}
	bh_job_free(job);
}

/* Workers carry out each start, whether it fits or not. */
static void check_room(sw_world_t *w, sw_worker_t *k)
{
	bool is_small = k->shrunk_since &&
			w->now - k->shrunk_since > SHRUNK_COUNTS_AFTER_US;
	uint32_t divisor = is_small ? SHRINK_DIVISOR : 1;
	uint32_t cpu = 0;
	uint32_t memory = 0;

	for (guint i = 0; i < k->runs->len; i++) {
		const sw_run_rec_t *run = k->runs->pdata[i];
		bh_task_name_t parts;
		bh_job_t *job;
		const bh_step_t *step;

		bh_task_name_parse(run->name, &parts);
		job = job_of(w, parts.job);
		step = &job->steps[parts.step];
		if (!step->is_filler)
			cpu += step->cpu_milli;
		memory += step->memory_mb;
		bh_job_free(job);
	}
	if (cpu > CPU_MILLI / divisor || memory > MEMORY_MB / divisor)
		report_violation(w, "LIMIT", k->id);
}

static void start_run(sw_world_t *w, sw_worker_t *k, const sw_message_t *m)
{
	sw_run_rec_t *run = g_new0(sw_run_rec_t, 1);
	bh_task_name_t parts;
	bh_job_t *job;
	const bh_step_t *step;

	trace(w, k, m->has_answer ? "starts" : "starts late", m->name,
	      m->attempt);
	bh_task_name_parse(m->name, &parts);
	job = job_of(w, parts.job);
	step = &job->steps[parts.step];
	check_start(w, m->name, m->attempt, step, m->checkpoint);
	g_strlcpy(run->name, m->name, sizeof(run->name));
	run->attempt = m->attempt;
	run->need_ms = step->is_long_running ? 1e12 : step->estimate_ms;
	run->pace = 100;
	run->started_at = w->now;
	if (m->checkpoint && strrchr(m->checkpoint, '@'))
		run->done_ms =
			g_ascii_strtod(strrchr(m->checkpoint, '@') + 1, NULL);
	run->will_fail = has_fault(w, k, SW_WORKER_FAILS_ALL) ||
			 g_hash_table_contains(w->poison, parts.job);
	if (g_hash_table_contains(w->deadly, m->name))
		run->crash_at = w->now + GPOINTER_TO_INT(g_hash_table_lookup(
						 w->deadly, m->name)) *
						 BH_USEC_PER_MS;
	history_of(w, m->name)->running++;
	g_ptr_array_add(k->runs, run);
	bh_job_free(job);
	check_room(w, k);
}

static sw_run_rec_t *find_run(sw_worker_t *k, const char *name,
			      uint32_t attempt)
{
	for (guint i = 0; i < k->runs->len; i++) {
		sw_run_rec_t *run = k->runs->pdata[i];

		if (strcmp(run->name, name) == 0 && run->attempt == attempt)
			return run;
	}
	return NULL;
}

/* A longer lease than the longest one is shortened. */
static void extend_lease(sw_world_t *w, sw_worker_t *k, uint64_t expires_ms)
{
	uint64_t max = clock_of(w, k) + HOLD_MAX_MS;

	k->expires_ms = MAX(k->expires_ms, MIN(expires_ms, max));
}

static bh_order_outcome_t worker_start(sw_world_t *w, sw_worker_t *k,
				       const sw_message_t *m)
{
	uint32_t closed = GPOINTER_TO_UINT(
		g_hash_table_lookup(k->closed_attempts, m->name));

	if (find_run(k, m->name, m->attempt))
		return BH_ORDER_OK;
	extend_lease(w, k, m->expires_ms);
	if (closed >= m->attempt)
		return BH_ORDER_OLD;
	if (m->expires_ms <= clock_of(w, k))
		return BH_ORDER_REFUSED;
	start_run(w, k, m);
	return BH_ORDER_OK;
}

static bh_order_outcome_t worker_order(sw_world_t *w, sw_worker_t *k,
				       const sw_message_t *m)
{
	sw_run_rec_t *run;

	if (m->token < k->token)
		return BH_ORDER_FENCED;
	k->token = m->token;
	if (m->kind == START)
		return worker_start(w, k, m);
	run = find_run(k, m->name, m->attempt);
	if (m->kind == PACE && run)
		run->pace = m->percent;
	if (m->kind == STOP && run)
		run->stop_at = w->now + STOP_DELAY_US;
	if (m->kind == STOP && !run)
		close_attempt(k, m->name, m->attempt);
	return BH_ORDER_OK;
}

static void crash_by_task(sw_world_t *w, sw_worker_t *k)
{
	for (guint i = 0; i < k->runs->len; i++) {
		sw_run_rec_t *run = k->runs->pdata[i];

		if (!run->crash_at || w->now < run->crash_at)
			continue;
		w->crashes++;
		history_of(w, run->name)->crashes++;
		k->fault_until[SW_WORKER_CRASH] = w->now + CRASH_US;
		if (w->cuts_off_crashed)
			k->fault_until[SW_AGENT_DISCONNECTED] =
				w->now + CUT_OFF_US;
		if (w->restarts_agent_of_crashed)
			k->fault_until[SW_AGENT_RESTART] =
				w->now + AGENT_RESTART_US;
		return;
	}
}

/* Return: false if the poll is rejected. */
static bool worker_poll(sw_world_t *w, sw_worker_t *k,
			const bh_fence_poll_t *poll)
{
	if (poll->token < k->token)
		return false;
	k->token = poll->token;
	extend_lease(w, k, poll->expires_ms);
	clear_ended(k, poll->ack, w);
	return true;
}

/* In the process that was polled the time of the lease counts from now on. */
static void carry_out_late_polls(sw_world_t *w, sw_worker_t *k)
{
	for (guint i = 0; i < k->late_polls->len;) {
		sw_late_poll_t p =
			g_array_index(k->late_polls, sw_late_poll_t, i);

		if (w->now < p.at) {
			i++;
			continue;
		}
		g_array_remove_index_fast(k->late_polls, i);
		if (p.boot == k->boot)
			k->expires_ms = MAX(k->expires_ms,
					    clock_of(w, k) + p.length_ms);
		worker_poll(w, k, &p.poll);
	}
}

static void worker_step(sw_world_t *w, sw_worker_t *k)
{
	crash_by_task(w, k);
	carry_out_late_polls(w, k);
	if (clock_of(w, k) >= k->expires_ms)
		k->lapsed_number = k->last_number;
	for (guint i = 0; i < k->runs->len;) {
		sw_run_rec_t *run = k->runs->pdata[i];

		if (!has_fault(w, k, SW_TASKS_STALL))
			run->done_ms += STEP_US / 1000.0 * run->pace / 100;
		if (clock_of(w, k) >= k->expires_ms)
			end_run(w, k, i, BH_END_LAPSED);
		else if (run->stop_at && w->now >= run->stop_at)
			end_run(w, k, i, BH_END_STOPPED);
		else if (run->done_ms >= run->need_ms)
			end_run(w, k, i,
				run->will_fail ? BH_END_FAILED : BH_END_DONE);
		else
			i++;
	}
}

/* The agent, which passes orders to the worker and reports to the leader. */

static uint64_t token_of(const sw_world_t *w, uint64_t token)
{
	uint64_t number = (UINT64_C(1) << BH_FENCE_NUMBER_BITS) - 1;

	return w->disabled == SW_NO_PROCESS_TOKENS ? token & ~number : token;
}

/* Whether the process that an order is meant for can be addressed. */
static bool is_addressable(const sw_worker_t *k, uint64_t boot)
{
	return boot == bh_fence_boot(k->fence) && bh_fence_is_bound(k->fence) &&
	       boot == k->announced_boot && !k->is_known_down;
}

static void set_token(sw_world_t *w, sw_worker_t *k, sw_message_t *m)
{
	uint64_t token = bh_fence_token(k->fence);

	if (m->kind == START)
		token = bh_fence_start_sent(k->fence, m->name, m->attempt,
					    k->id, m->boot, w->now);
	m->token = token_of(w, token);
}

static void end_try(sw_world_t *w, const sw_message_t *m, bool is_answered)
{
	const sw_worker_t *k = &w->workers[m->worker];

	if (m->kind == START && !m->is_refused &&
	    m->agent_process == k->agent_process)
		bh_fence_start_ended(k->fence, m->name, m->attempt, is_answered,
				     is_answered ? clock_of(w, k) : 0, w->now);
}

static void make_late(sw_world_t *w, sw_message_t *m)
{
	m->at = w->now + g_rand_int_range(w->rand, 2, 12) * BH_USEC_PER_SEC;
	m->until = w->now + LATE_CALL_US;
	m->at = MIN(m->at, m->until);
	m->has_answer = false;
}

/* A try gets no answer, and the agent repeats the order. */
static void repeat_start(sw_world_t *w, sw_message_t *m)
{
	sw_message_t *late = g_memdup2(m, sizeof(*m));

	late->checkpoint = g_strdup(m->checkpoint);
	late->is_silent = true;
	set_token(w, &w->workers[m->worker], late);
	make_late(w, late);
	end_try(w, late, false);
	m->was_unclear = true;
	g_ptr_array_add(w->messages, late);
}

static void send_order(sw_world_t *w, const char *host, sw_message_t *m)
{
	sw_worker_t *k;
	int i;

	for (i = 0; i < SW_WORKERS; i++) {
		if (strcmp(w->workers[i].key, host) == 0)
			break;
	}
	k = &w->workers[i];
	m->worker = i;
	m->agent_process = k->agent_process;
	m->term = w->term;
	m->at = w->now + STEP_US;
	m->has_answer = true;
	if (m->kind == START)
		m->is_refused = !is_addressable(k, m->boot) ||
				!bh_fence_is_bound(k->fence);
	if (!m->is_refused && m->kind == START &&
	    has_fault(w, k, SW_ORDERS_LATE) &&
	    g_rand_int_range(w->rand, 0, 3) == 0)
		repeat_start(w, m);
	if (!m->is_refused)
		set_token(w, k, m);
	if (!m->is_refused && has_fault(w, k, SW_ORDERS_LATE) &&
	    g_rand_int_range(w->rand, 0, 3) == 0)
		make_late(w, m);
	if (w->kills_agents && (m->was_unclear || !m->has_answer) &&
	    !k->agent_dies_at)
		k->agent_dies_at =
			w->now +
			g_rand_int_range(w->rand, 20, 1500) * BH_USEC_PER_MS;
	/* The agent's first try is lost; the second one is carried out. */
	if (m->has_answer && has_fault(w, k, SW_ORDERS_SLOW))
		m->at = w->now + 1460 * BH_USEC_PER_MS;
	g_ptr_array_add(w->messages, m);
}

static void op_start(void *ctx, const char *host, const bh_start_t *start)
{
	sw_message_t *m = g_new0(sw_message_t, 1);

	m->kind = START;
	m->boot = start->boot;
	m->attempt = start->attempt;
	m->expires_ms = start->expires_ms;
	m->checkpoint = g_strdup(start->checkpoint);
	g_strlcpy(m->name, start->task, sizeof(m->name));
	send_order(ctx, host, m);
}

static void op_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	sw_message_t *m = g_new0(sw_message_t, 1);

	m->kind = STOP;
	m->boot = boot;
	m->attempt = attempt;
	g_strlcpy(m->name, task, sizeof(m->name));
	send_order(ctx, host, m);
}

static void op_pace(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt, uint32_t percent)
{
	sw_message_t *m = g_new0(sw_message_t, 1);

	m->kind = PACE;
	m->boot = boot;
	m->attempt = attempt;
	m->percent = percent;
	g_strlcpy(m->name, task, sizeof(m->name));
	send_order(ctx, host, m);
}

static void op_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	sw_world_t *w = ctx;

	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		if (strcmp(k->key, host) != 0)
			continue;
		if (w->disabled == SW_EARLY_ACK && boot == k->boot)
			ack = k->last_number;
		bh_fence_granted(k->fence, boot, expires_ms, ack);
	}
}

static void op_late_starts(void *ctx, const char *host,
			   const bh_late_starts_t *starts)
{
	sw_world_t *w = ctx;

	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		if (strcmp(k->key, host) != 0 || !k->is_linked)
			continue;
		for (uint32_t j = 0; j < starts->n; j++) {
			const bh_late_start_t *s = &starts->entries[j];

			bh_fence_note_late_start(
				k->fence, s->task, s->attempt, s->worker,
				w->now + s->left_ms * BH_USEC_PER_MS);
		}
	}
}

static void op_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	sw_world_t *w = ctx;

	if (g_getenv("BH_TRACE"))
		printf("%8.2f %s %s %s\n", (double)w->now / 1e6, what,
		       job ? job : "", detail);
}

static const bh_sched_ops_t ops = {
	.start = op_start,
	.stop = op_stop,
	.pace = op_pace,
	.grant = op_grant,
	.late_starts = op_late_starts,
	.event = op_event,
};

static void answer(sw_world_t *w, const sw_message_t *m,
		   bh_order_outcome_t outcome)
{
	const sw_worker_t *k = &w->workers[m->worker];
	const char *key = k->key;
	uint32_t left_ms;

	if (!w->is_leading || m->term != w->term || !k->is_linked ||
	    m->agent_process != k->agent_process)
		return;
	if (m->kind == START) {
		left_ms = bh_fence_start_late_ms(k->fence, m->name, m->attempt,
						 w->now);
		if (left_ms)
			bh_sched_start_unanswered(w->sched, key, m->name,
						  m->attempt, left_ms, w->now);
		bh_sched_start_result(w->sched, key, m->name, m->attempt,
				      outcome, w->now);
	} else if (m->kind == STOP)
		bh_sched_stop_result(w->sched, key, m->name, m->attempt,
				     outcome, w->now);
}

static void free_message(gpointer data)
{
	sw_message_t *m = data;

	g_free(m->checkpoint);
	g_free(m);
}

/* Late orders are reported to the leader as unclear, unless they are repeated.
 */
static void give_up_late_orders(sw_world_t *w)
{
	for (guint i = 0; i < w->messages->len; i++) {
		sw_message_t *m = w->messages->pdata[i];

		if (m->has_answer || m->is_given_up || m->is_silent)
			continue;
		m->is_given_up = true;
		end_try(w, m, false);
		answer(w, m, BH_ORDER_UNCLEAR);
	}
}

/* Whether an order that is due stays under way: what is sent to an address
 * without a process may be read by the next one. */
static bool must_wait(const sw_world_t *w, const sw_message_t *m)
{
	const sw_worker_t *k = &w->workers[m->worker];

	if (w->now < m->at)
		return true;
	return !m->has_answer && w->now < m->until &&
	       (!k->is_up || k->is_unreachable);
}

static void deliver_late(sw_world_t *w, sw_message_t *m)
{
	sw_worker_t *k = &w->workers[m->worker];

	if (k->is_up && !k->is_unreachable)
		worker_order(w, k, m);
	free_message(m);
}

/* Return: whether the worker has answered. */
static bool deliver_order(sw_world_t *w, const sw_message_t *m,
			  bh_order_outcome_t *outcome)
{
	sw_worker_t *k = &w->workers[m->worker];

	*outcome = BH_ORDER_UNCLEAR;
	/* Of an agent that has ended, each other order had reached the worker.
	 */
	if (m->agent_process != k->agent_process && m->attempt % 2)
		return false;
	if (m->is_refused || !k->is_up) {
		*outcome = BH_ORDER_REFUSED;
		return true;
	}
	/* An order that has not reached the agent is not sent. */
	if (!k->is_linked)
		return true;
	if (k->is_unreachable)
		return false;
	if (has_fault(w, k, SW_ORDERS_LOST) &&
	    g_rand_int_range(w->rand, 0, 2) == 0) {
		if (g_rand_int_range(w->rand, 0, 2) == 0)
			worker_order(w, k, m);
		return false;
	}
	*outcome = worker_order(w, k, m);
	return true;
}

static void deliver(sw_world_t *w)
{
	for (guint i = 0; i < w->messages->len;) {
		sw_message_t *m = w->messages->pdata[i];
		sw_worker_t *k = &w->workers[m->worker];
		bh_order_outcome_t outcome;
		bool is_answered;

		if (must_wait(w, m)) {
			i++;
			continue;
		}
		g_ptr_array_steal_index(w->messages, i);
		if (!m->has_answer) {
			deliver_late(w, m);
			continue;
		}
		is_answered = deliver_order(w, m, &outcome);
		/* The first answer is lost. The agent tries again, and that is
		 * answered by the worker's state at that time. */
		if (has_fault(w, k, SW_ANSWERS_LOST) && m->kind == START &&
		    !m->is_retried && outcome == BH_ORDER_OK) {
			m->is_retried = true;
			m->at = w->now + 340 * BH_USEC_PER_MS;
			g_ptr_array_add(w->messages, m);
			continue;
		}
		end_try(w, m, is_answered);
		/* A refusal does not tell the outcome of the earlier try. */
		if (m->was_unclear && outcome == BH_ORDER_REFUSED)
			outcome = BH_ORDER_UNCLEAR;
		answer(w, m, outcome);
		free_message(m);
	}
	give_up_late_orders(w);
}

static uint32_t gauge_of(sw_world_t *w, sw_worker_t *k, const bh_step_t *step,
			 uint32_t pace)
{
	double filler_load = 0;

	if (!step->is_long_running)
		return step->cpu_milli * pace / 100;
	for (guint i = 0; i < k->runs->len; i++) {
		sw_run_rec_t *run = k->runs->pdata[i];
		bh_task_name_t parts;
		bh_job_t *job;

		bh_task_name_parse(run->name, &parts);
		job = job_of(w, parts.job);
		if (job->steps[parts.step].is_filler)
			filler_load += job->steps[parts.step].cpu_milli /
				       10000.0 * run->pace / 100;
		bh_job_free(job);
	}
	return (uint32_t)(w->serve_ms *
			  (1 + w->serve_interference * filler_load));
}

static void fill_active(sw_world_t *w, sw_worker_t *k, bh_worker_lists_t *lists)
{
	lists->active = g_new0(bh_active_t, k->runs->len + 1);
	for (guint i = 0; i < k->runs->len; i++) {
		sw_run_rec_t *run = k->runs->pdata[i];
		bh_active_t *a = &lists->active[lists->n_active++];
		bh_task_name_t parts;
		bh_job_t *job;
		const bh_step_t *step;

		bh_task_name_parse(run->name, &parts);
		job = job_of(w, parts.job);
		step = &job->steps[parts.step];
		a->task = g_strdup(run->name);
		a->attempt = run->attempt;
		a->percent =
			step->is_long_running
				? (run->done_ms > 300 ? 100 : 50)
				: (uint32_t)(run->done_ms * 100 / run->need_ms);
		if (step->is_checkpointing)
			a->checkpoint = g_strdup_printf("%s@%.0f", run->name,
							run->done_ms);
		a->gauge = gauge_of(w, k, step, run->pace);
		bh_job_free(job);
	}
}

/* Agents report the last crash of their worker once to each leader. */
static void report_crash(sw_world_t *w, sw_worker_t *k)
{
	if (!k->crash.boot || k->crash_term == w->term)
		return;
	k->crash_term = w->term;
	k->crash.ago_ms = (uint32_t)((w->now - k->crashed_at) / BH_USEC_PER_MS);
	bh_sched_crash(w->sched, k->key, &k->crash, w->now);
}

static uint32_t lost_call_ms(const sw_world_t *w, const sw_worker_t *k)
{
	bh_usec_t ago = w->now - k->call_lost_at;

	if (!k->call_lost_at || ago > BH_LATE_CALL_MAX_US)
		return 0;
	return (uint32_t)MAX(ago / BH_USEC_PER_MS, 1);
}

static void clear_report(sw_worker_t *k)
{
	bh_worker_lists_clear(&k->report);
	bh_late_starts_clear(&k->report_info.late_starts);
	k->has_report = false;
}

static void deliver_report(sw_world_t *w, sw_worker_t *k)
{
	bool may_grant = w->now - w->renewed_at < PREDECESSOR_GRANT_MS * 1000;

	if (!k->has_report)
		return;
	if (k->is_up && k->is_linked && w->is_leading) {
		report_crash(w, k);
		bh_sched_report(w->sched, k->key, &k->report_info, &k->report,
				may_grant, w->now);
	}
	clear_report(k);
}

/* Remaining time of the worker's lease, by the agent: all grants go through it,
 * and one that it still holds will reach the worker once that answers again. It
 * does not see that a late one counts from its arrival. */
static uint32_t lease_left_ms(const sw_world_t *w, const sw_worker_t *k)
{
	bh_usec_t left = bh_fence_lease_until(k->fence) - w->now;

	return (uint32_t)MAX(left / BH_USEC_PER_MS, 1);
}

/* Return: whether this poll gets no answer. */
static bool lose_poll(sw_world_t *w, sw_worker_t *k,
		      const bh_fence_poll_t *poll)
{
	int64_t left = (int64_t)poll->expires_ms - (int64_t)clock_of(w, k);
	sw_late_poll_t p = {.boot = k->boot,
			    .length_ms = (uint64_t)MAX(left, 0),
			    .poll = *poll};

	if (!has_fault(w, k, SW_POLLS_LATE) ||
	    g_rand_int_range(w->rand, 0, 2) == 0)
		return false;
	p.at = w->now +
	       MIN(g_rand_int_range(w->rand, 2000, 12000) * BH_USEC_PER_MS,
		   LATE_CALL_US);
	g_array_append_val(k->late_polls, p);
	return true;
}

static void fill_lists(sw_world_t *w, sw_worker_t *k, bh_worker_lists_t *lists)
{
	*lists = (bh_worker_lists_t){.boot = k->boot,
				     .clock_ms = clock_of(w, k)};
	fill_active(w, k, lists);
	lists->n_ended = MIN(k->ended->len, ENDED_ROWS_MAX);
	lists->has_more_ended = lists->n_ended == ENDED_ROWS_MAX;
	lists->ended = g_new0(bh_ended_t, lists->n_ended + 1);
	for (guint i = 0; i < lists->n_ended; i++) {
		bh_ended_t *e = &lists->ended[i];

		*e = g_array_index(k->ended, bh_ended_t, i);
		e->task = g_strdup(e->task);
		e->checkpoint = g_strdup(e->checkpoint);
	}
}

/* Polls until lists count.
 * Return: whether there are any. */
static bool poll_worker(sw_world_t *w, sw_worker_t *k, bh_worker_lists_t *lists)
{
	uint64_t before = bh_fence_boot(k->fence);

	for (int i = 0; i < POLLS_MAX; i++) {
		bool is_announced = before && k->announced_boot == before;
		bh_fence_poll_t poll;
		bh_fence_poll_t sent;

		bh_fence_poll(k->fence, is_announced ? k->id : NULL, true,
			      w->now, &poll);
		sent = poll;
		sent.token = token_of(w, poll.token);
		if (k->is_unreachable || lose_poll(w, k, &sent) ||
		    !worker_poll(w, k, &sent)) {
			bh_fence_poll_lost(k->fence, &poll, true, w->now);
			return false;
		}
		fill_lists(w, k, lists);
		if (bh_fence_answered(k->fence, &poll, lists, w->now,
				      unix_ms(w)))
			return true;
		bh_worker_lists_clear(lists);
		before = bh_fence_boot(k->fence);
	}
	return false;
}

static void note_announced(sw_world_t *w, sw_worker_t *k)
{
	if (k->announced_boot == k->boot || w->now < k->booted_at + ANNOUNCE_US)
		return;
	k->announced_boot = k->boot;
	bh_fence_announced(k->fence, k->id, k->boot);
}

static uint32_t reported_lease_ms(const sw_world_t *w, const sw_worker_t *k,
				  bool has_lists)
{
	if (!has_lists)
		return bh_fence_lease_until(k->fence) ? lease_left_ms(w, k) : 0;
	if (w->disabled == SW_NO_INHERITED_LEASE ||
	    !bh_fence_outlives(k->fence, w->now))
		return 0;
	return lease_left_ms(w, k);
}

static void fill_info(const sw_world_t *w, sw_worker_t *k, bool has_lists,
		      bh_worker_info_t *info)
{
	uint64_t boot = bh_fence_boot(k->fence);

	*info = (bh_worker_info_t){
		.id = boot && boot == k->announced_boot ? k->id : NULL,
		.boot = boot,
		.service = (char *)SERVICE,
		.zone = (char *)"z",
		.state = k->is_draining ? BH_WORKER_DRAINING : BH_WORKER_READY,
		.cpu_milli = CPU_MILLI,
		.memory_mb = MEMORY_MB,
		.leaves_ms = 500,
		.lost_call_ms = lost_call_ms(w, k),
		.lease_expires_ms = bh_fence_expires_ms(k->fence),
		.lease_left_ms = reported_lease_ms(w, k, has_lists),
		.agent_process = k->agent_process,
		.agent_age_ms = (uint64_t)(w->now - k->agent_started_at) /
				BH_USEC_PER_MS,
	};
	if (!bh_fence_is_bound(k->fence) && !k->is_draining)
		info->state = BH_WORKER_SILENT;
	if (k->is_known_down)
		info->state = BH_WORKER_DOWN;
	if (k->shrunk_since) {
		info->cpu_milli /= SHRINK_DIVISOR;
		info->memory_mb /= SHRINK_DIVISOR;
	}
	if (w->disabled != SW_NO_LATE_STARTS)
		bh_fence_late_starts(k->fence, k->is_known_down, w->now,
				     &info->late_starts);
}

static void report_without_lists(sw_world_t *w, sw_worker_t *k)
{
	bh_worker_info_t info;

	fill_info(w, k, false, &info);
	bh_sched_report(w->sched, k->key, &info, NULL, false, w->now);
	bh_late_starts_clear(&info.late_starts);
}

static void report(sw_world_t *w, sw_worker_t *k)
{
	const bh_fence_poll_t refused = {0};
	uint64_t before = bh_fence_boot(k->fence);

	if (!k->is_up) {
		k->is_known_down = true;
		bh_fence_poll_lost(k->fence, &refused, false, w->now);
		bh_fence_expect_other(k->fence);
		report_crash(w, k);
		report_without_lists(w, k);
		return;
	}
	/* The first poll of a new process of the agent is not answered in time.
	 */
	if (!k->has_polled || !poll_worker(w, k, &k->report)) {
		k->has_lost_poll = k->has_polled;
		k->has_polled = true;
		k->is_known_down = false;
		report_without_lists(w, k);
		return;
	}
	if (k->has_lost_poll && bh_fence_boot(k->fence) == before)
		k->call_lost_at = w->now;
	k->has_lost_poll = false;
	k->is_known_down = false;
	fill_info(w, k, true, &k->report_info);
	k->has_report = true;
}

/* The leader and its store. */

static char *segment_key(const char *id, uint32_t segment)
{
	return g_strdup_printf("%s/%u", id, segment);
}

/* Return: what is stored of a job's progress, or NULL. */
static bh_progress_t *stored_progress(sw_world_t *w, const char *id)
{
	bh_progress_t *all = NULL;

	for (uint32_t i = 0; i < SEGMENTS_MAX; i++) {
		g_autofree char *key = segment_key(id, i);
		GBytes *bytes = g_hash_table_lookup(w->progress, key);
		gsize len;
		const void *data;
		bh_progress_t *progress;

		if (!bytes)
			continue;
		data = g_bytes_get_data(bytes, &len);
		progress = bh_progress_unpack(data, len);
		if (all)
			bh_progress_merge(all, progress);
		else
			all = progress;
	}
	return all;
}

static void begin_term(sw_world_t *w)
{
	bh_sched_bounds_t bounds = {
		.term = ++w->term,
		.lease_ms = LEASE_MS,
		.lease_max_ms = HOLD_MAX_MS,
		.predecessor_grant_ms = PREDECESSOR_GRANT_MS,
		.restore_ms = 100,
		.impact_ms = 4000,
		.status_ms = 120000,
	};
	GHashTableIter it;
	gpointer id;

	w->sched = bh_sched_new(&bounds, &ops, w, w->now, unix_ms(w));
	bh_sched_set_config(w->sched, w->config);
	w->is_leading = true;
	w->led_since = w->now;
	w->renewed_at = w->now;
	for (int i = 0; i < SW_WORKERS; i++) {
		bh_sched_add_host(w->sched, w->workers[i].key,
				  w->term > 1 &&
					  w->disabled != SW_NO_RECOVERY_WAIT,
				  w->now);
		w->workers[i].is_linked = false;
	}
	g_hash_table_iter_init(&it, w->jobs);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		bh_progress_t *progress = stored_progress(w, id);

		bh_sched_add_job(w->sched, job_of(w, id), progress, w->now);
		bh_progress_free(progress);
	}
}

static void end_term(sw_world_t *w)
{
	bh_sched_free(w->sched);
	w->sched = NULL;
	w->is_leading = false;
	w->elect_at = w->now + ELECTION_US;
}

static void commit(sw_world_t *w)
{
	const char *id;
	uint32_t segment;
	bool is_stored;
	bool is_told;

	if (w->now - w->committed_at < COMMIT_US)
		return;
	w->committed_at = w->now;
	is_stored = !has_fault(w, NULL, SW_STORE_DOWN) &&
		    !has_fault(w, NULL, SW_LEADER_PARTITIONED);
	is_told = is_stored && !(has_fault(w, NULL, SW_STORE_LOSES_ANSWERS) &&
				 g_rand_int_range(w->rand, 0, 3) == 0);
	if (is_told)
		w->renewed_at = w->now;
	for (int n = 0;
	     n < COMMIT_ROWS && bh_sched_commit_next(w->sched, &id, &segment);
	     n++) {
		bh_progress_t *progress =
			bh_sched_progress(w->sched, id, segment);
		GBytes *row = bh_progress_pack(progress);

		if (g_bytes_get_size(row) > ROW_BYTES_MAX)
			report_violation(w, "row too large", id);
		if (is_stored)
			g_hash_table_insert(w->progress,
					    segment_key(id, segment), row);
		else
			g_bytes_unref(row);
		bh_progress_free(progress);
	}
	bh_sched_end_commit(w->sched, is_told);
}

static void link_agents(sw_world_t *w)
{
	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];
		bool is_linked = !has_fault(w, k, SW_AGENT_DISCONNECTED) &&
				 !has_fault(w, k, SW_AGENT_RESTART) &&
				 w->is_leading;

		if (is_linked == k->is_linked)
			continue;
		k->is_linked = is_linked;
		clear_report(k);
		if (w->is_leading && !is_linked &&
		    has_fault(w, k, SW_AGENT_RESTART))
			bh_sched_agent_closed(w->sched, k->key, w->now);
		if (w->is_leading)
			bh_sched_host_linked(w->sched, k->key, is_linked,
					     w->now);
		if (!is_linked)
			continue;
		/* The agent polls at once, so that the worker learns of this
		 * term and refuses orders of earlier ones. */
		bh_fence_set_leader(
			k->fence, w->term,
			bh_fence_first_number(w->now - w->led_since),
			LEASE_MS * BH_USEC_PER_MS);
		k->reported_at = 0;
	}
}

static bh_fence_t *new_fence(const sw_world_t *w)
{
	return bh_fence_new(HOLD_MAX_MS * BH_USEC_PER_MS, w->now);
}

static void worker_faults(sw_world_t *w, sw_worker_t *k)
{
	bool was_up = k->is_up;

	if (has_fault(w, k, SW_AGENT_RESTART)) {
		bh_fence_free(k->fence);
		k->fence = new_fence(w);
		k->agent_process++;
		k->agent_started_at = w->now;
		k->announced_boot = 0;
		k->is_known_down = false;
		k->has_polled = false;
		k->has_lost_poll = false;
		k->call_lost_at = 0;
		bh_crash_clear(&k->crash);
	}
	k->is_unreachable = has_fault(w, k, SW_WORKER_UNREACHABLE);
	k->is_up = !has_fault(w, k, SW_WORKER_CRASH);
	if (was_up && !k->is_up) {
		record_crash(w, k);
		reboot(w, k);
		hasten_late_orders(w, k);
	}
	if (!has_fault(w, k, SW_ROOM_SHRINKS))
		k->shrunk_since = 0;
	else if (!k->shrunk_since)
		k->shrunk_since = w->now;
	if (!k->is_draining && has_fault(w, k, SW_WORKER_DRAINS))
		k->is_draining = true;
	if (k->is_draining && !has_fault(w, k, SW_WORKER_DRAINS))
		reboot(w, k);
}

static void leader_faults(sw_world_t *w)
{
	if (w->is_leading && has_fault(w, NULL, SW_LEADER_KILL))
		end_term(w);
	/* Another entry, which reaches the store, takes over. */
	if (w->is_leading && has_fault(w, NULL, SW_LEADER_PARTITIONED) &&
	    w->now - w->renewed_at > ELECTION_US)
		end_term(w);
	if (!w->is_leading && w->now >= w->elect_at &&
	    !has_fault(w, NULL, SW_STORE_DOWN) &&
	    !has_fault(w, NULL, SW_LEADER_KILL)) {
		w->fault_until[SW_LEADER_PARTITIONED] = 0;
		begin_term(w);
	}
}

static void kill_agents(sw_world_t *w)
{
	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		if (!k->agent_dies_at || w->now < k->agent_dies_at)
			continue;
		k->agent_dies_at = 0;
		k->fault_until[SW_AGENT_RESTART] =
			w->now +
			g_rand_int_range(w->rand, 40, 400) * BH_USEC_PER_MS;
	}
}

static void step(sw_world_t *w)
{
	w->now += STEP_US;
	leader_faults(w);
	kill_agents(w);
	link_agents(w);
	for (int i = 0; i < SW_WORKERS; i++) {
		worker_faults(w, &w->workers[i]);
		if (w->workers[i].is_up) {
			worker_step(w, &w->workers[i]);
			note_announced(w, &w->workers[i]);
		}
	}
	deliver(w);
	if (!w->is_leading)
		return;
	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		deliver_report(w, k);
		if (k->is_linked && w->now - k->reported_at >= REPORT_US) {
			k->reported_at = w->now;
			report(w, k);
		}
	}
	if (!has_fault(w, NULL, SW_STORE_DOWN))
		bh_sched_note_jobs_read(w->sched, w->now);
	bh_sched_note_leading(w->sched, w->renewed_at);
	bh_sched_run(w->sched, w->now, unix_ms(w));
	commit(w);
}

sw_world_t *sw_new(uint32_t seed, sw_disabled_t disabled)
{
	sw_world_t *w = g_new0(sw_world_t, 1);

	w->rand = g_rand_new_with_seed(seed);
	w->disabled = disabled;
	w->now = 1000 * BH_USEC_PER_SEC;
	w->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					(GDestroyNotify)g_bytes_unref);
	w->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	w->histories =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->poison =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->deadly =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->messages = g_ptr_array_new_with_free_func(free_message);
	w->config = bh_config_new(2, 1);
	w->config->version = 1;
	w->config->queues[1] = (bh_queue_t){.name = g_strdup(FILLER_QUEUE),
					    .host = g_strdup("h"),
					    .prefix = g_strdup("/f/"),
					    .service = g_strdup(SERVICE),
					    .priority = 2,
					    .max_attempts = 3,
					    .slack_factor = 2,
					    .target_ms = 1000};
	w->config->queues[0] = (bh_queue_t){.name = g_strdup(QUEUE),
					    .host = g_strdup("h"),
					    .prefix = g_strdup("/p/"),
					    .service = g_strdup(SERVICE),
					    .max_attempts = 3,
					    .slack_factor = 2,
					    .target_ms = 1000};
	w->config->services[0].name = g_strdup(SERVICE);
	bh_config_index(w->config);
	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		snprintf(k->key, sizeof(k->key), "agent-%d", i);
		snprintf(k->id, sizeof(k->id), "worker-%d", i);
		k->runs = g_ptr_array_new_with_free_func(g_free);
		k->ended = g_array_new(FALSE, TRUE, sizeof(bh_ended_t));
		k->late_polls =
			g_array_new(FALSE, FALSE, sizeof(sw_late_poll_t));
		k->fence = new_fence(w);
		k->agent_process = 1;
		bh_fence_note_new_host(k->fence);
		k->closed_attempts = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		k->is_up = true;
		k->has_polled = true;
		reboot(w, k);
		k->boot = unix_ms(w) - 1000 + (uint64_t)i;
	}
	begin_term(w);
	sw_advance(w, BH_USEC_PER_SEC);
	return w;
}

void sw_free(sw_world_t *w)
{
	bh_sched_free(w->sched);
	for (int i = 0; i < SW_WORKERS; i++) {
		sw_worker_t *k = &w->workers[i];

		clear_report(k);
		bh_fence_free(k->fence);
		clear_ended(k, UINT64_MAX, NULL);
		bh_crash_clear(&k->crash);
		g_ptr_array_free(k->runs, TRUE);
		g_array_free(k->ended, TRUE);
		g_array_free(k->late_polls, TRUE);
		g_hash_table_destroy(k->closed_attempts);
	}
	g_ptr_array_free(w->messages, TRUE);
	g_hash_table_destroy(w->jobs);
	g_hash_table_destroy(w->progress);
	g_hash_table_destroy(w->histories);
	g_hash_table_destroy(w->poison);
	g_hash_table_destroy(w->deadly);
	bh_config_free(w->config);
	g_rand_free(w->rand);
	g_free(w->serving);
	g_free(w->violation);
	g_free(w);
}

void sw_submit(sw_world_t *w, const char *id, uint32_t steps, uint32_t count,
	       uint32_t cpu_milli, uint32_t ms, const char *flags)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup(strchr(flags, 'f') ? FILLER_QUEUE : QUEUE);
	job->spec = g_strdup("spec");
	job->accepted_ms = unix_ms(w);
	job->terms.service = g_strdup(SERVICE);
	job->terms.max_attempts = 3;
	job->terms.slack_percent = 200;
	job->n_steps = steps;
	job->steps = g_new0(bh_step_t, steps);
	for (uint32_t i = 0; i < steps; i++) {
		bh_step_t *s = &job->steps[i];

		s->count = count;
		s->cpu_milli = cpu_milli;
		s->memory_mb = strchr(flags, 'm') ? 30000 : 100;
		s->estimate_ms = ms;
		s->is_checkpointing = strchr(flags, 'c') != NULL;
		s->is_speculative = strchr(flags, 's') != NULL;
		s->is_long_running = strchr(flags, 'l') != NULL;
		s->is_filler = strchr(flags, 'f') != NULL;
		s->is_gang = strchr(flags, 'g') != NULL;
		s->target_ms = s->is_long_running ? 50 : 0;
		s->image = g_strdup(s->is_long_running ? "serving" : "filling");
		s->after = g_new0(uint32_t, 1);
		if (i > 0) {
			s->n_after = 1;
			s->after[0] = i - 1;
		}
	}
	g_hash_table_insert(w->jobs, g_strdup(id), bh_job_pack(job));
	if (w->is_leading)
		bh_sched_add_job(w->sched, job, NULL, w->now);
	else
		bh_job_free(job);
}

void sw_cancel(sw_world_t *w, const char *id)
{
	bh_job_t *job = job_of(w, id);

	job->is_cancelled = true;
	g_hash_table_insert(w->jobs, g_strdup(id), bh_job_pack(job));
	bh_job_free(job);
	if (w->is_leading)
		bh_sched_cancel(w->sched, id, w->now);
}

void sw_poison(sw_world_t *w, const char *id)
{
	g_hash_table_add(w->poison, g_strdup(id));
}

void sw_deadly(sw_world_t *w, const char *task, int after_ms)
{
	g_hash_table_insert(w->deadly, g_strdup(task),
			    GINT_TO_POINTER(after_ms));
}

void sw_cut_off_crashed(sw_world_t *w)
{
	w->cuts_off_crashed = true;
}

void sw_restart_agent_of_crashed(sw_world_t *w)
{
	w->restarts_agent_of_crashed = true;
}

void sw_kill_agents_with_late_orders(sw_world_t *w)
{
	w->kills_agents = true;
}

uint32_t sw_crashes(const sw_world_t *w)
{
	return w->crashes;
}

void sw_fault(sw_world_t *w, sw_fault_t fault, int worker, bh_usec_t for_us)
{
	bh_usec_t until = w->now + for_us;

	switch (fault) {
	case SW_NONE:
		break;
	case SW_LEADER_KILL:
	case SW_LEADER_PARTITIONED:
	case SW_STORE_DOWN:
	case SW_STORE_LOSES_ANSWERS:
		w->fault_until[fault] = until;
		break;
	default:
		w->workers[worker].fault_until[fault] = until;
		break;
	}
}

void sw_extend_lease(sw_world_t *w, int worker, bh_usec_t us)
{
	w->workers[worker].expires_ms += (uint64_t)(us / BH_USEC_PER_MS);
}

void sw_advance(sw_world_t *w, bh_usec_t us)
{
	bh_usec_t until = w->now + us;

	while (w->now < until)
		step(w);
}

bh_job_state_t sw_state(sw_world_t *w, const char *id)
{
	return w->is_leading ? bh_sched_state(w->sched, id) : BH_JOB_UNKNOWN;
}

bool sw_may_fail(sw_world_t *w, const char *id)
{
	GHashTableIter it;
	gpointer name;
	gpointer history;

	g_hash_table_iter_init(&it, w->histories);
	while (g_hash_table_iter_next(&it, &name, &history)) {
		if (strncmp(name, id, BH_JOB_ID_LEN) == 0 &&
		    ((sw_history_t *)history)->workers_ended >= 2)
			return true;
	}
	return false;
}

uint32_t sw_running(sw_world_t *w, const char *id)
{
	uint32_t n = 0;

	for (int i = 0; i < SW_WORKERS; i++) {
		for (guint r = 0; r < w->workers[i].runs->len; r++) {
			sw_run_rec_t *run = w->workers[i].runs->pdata[r];

			n += strncmp(run->name, id, BH_JOB_ID_LEN) == 0;
		}
	}
	return n;
}

void sw_serve(sw_world_t *w, const char *id, uint32_t base_ms,
	      double filler_interference)
{
	g_free(w->serving);
	w->serving = g_strdup(id);
	w->serve_ms = base_ms;
	w->serve_interference = filler_interference;
}

uint32_t sw_pace_of(sw_world_t *w, const char *id)
{
	for (int i = 0; i < SW_WORKERS; i++) {
		for (guint r = 0; r < w->workers[i].runs->len; r++) {
			sw_run_rec_t *run = w->workers[i].runs->pdata[r];

			if (strncmp(run->name, id, BH_JOB_ID_LEN) == 0)
				return run->pace;
		}
	}
	return 100;
}

bh_sched_t *sw_sched(sw_world_t *w)
{
	return w->sched;
}

const char *sw_violation(const sw_world_t *w)
{
	return w->violation;
}
