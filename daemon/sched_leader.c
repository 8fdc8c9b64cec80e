#include "daemon/sched_leader.h"
#include "daemon/follow.h"
#include "daemon/metrics.h"
#include "daemon/tables.h"
#include "daemon/zones.h"
#include "platform/address.h"
#include "sched/fence.h"
#include "sched/grants.h"

/* How long the store may hold a poll for changes. Entries also send jobs and
 * cancellations directly, so that the feed only makes up for lost notices. */
#define JOBS_WAIT_MS   1000
#define AGENTS_WAIT_MS 2500

/* An entry that has not come back by then was removed. Otherwise each outage of
 * the store would hold starts for 8 s on account of a host that is gone. */
#define ENTRY_LOST_KEEP_US (30 * BH_USEC_PER_SEC)

/* Minimum time between two commits, in which changes are batched. */
#define COMMIT_INTERVAL_US (15 * BH_USEC_PER_MS)

/* Minimum time between two commits that store nothing, of which the leader
 * needs to know only that it still leads. */
#define CONFIRM_INTERVAL_US (100 * BH_USEC_PER_MS)

/* Rows that a transaction of the leader has beside those of its progress: the
 * leader row and its precondition, and what was learned. */
#define COMMIT_OTHER_ROWS 3
#define COMMIT_ROWS_MAX	  (BH_STORE_TX_ROWS_MAX - COMMIT_OTHER_ROWS)

/* The leader runs every 100 ms; after a longer gap it was paused. */
#define PAUSE_THRESHOLD_US (500 * BH_USEC_PER_MS)

#define PING_INTERVAL_US (500 * BH_USEC_PER_MS)

/* An agent sends something every 500 ms. */
#define LINK_TIMEOUT_US (1600 * BH_USEC_PER_MS)

/* After a write of an agent's row of which the feed has not told yet. */
#define ROW_RETRY_US (500 * BH_USEC_PER_MS)

/* A connection that is not open by then is tried again. The kernel repeats a
 * lost SYN after 1 s, for which a new leader would wait with all tasks that may
 * run on the host. Doubles with each try, up to LINK_TIMEOUT_US. */
#define CONNECT_TIMEOUT_MIN_US (150 * BH_USEC_PER_MS)

#define RECONNECT_MIN_US (100 * BH_USEC_PER_MS)
#define RECONNECT_MAX_US (1000 * BH_USEC_PER_MS)

/* Minimum time between two writes of what was learned, one or two kilobytes
 * that go along with other changes. */
#define LEARNED_INTERVAL_US (2000 * BH_USEC_PER_MS)

/* Rows of ended jobs are removed in small batches. */
#define REMOVE_INTERVAL_US (1000 * BH_USEC_PER_MS)
#define REMOVE_MAX	   20
#define REMOVE_TIMEOUT_MS  2000

/**
 * struct agent_link - the connection to an agent, which this side opens
 * @row_version: version of the agent's row; 0: it has been removed
 * @row_put_at: when this leader last wrote a row that had been removed
 * @connect_timeout: of the connection that is being opened
 * @is_linked: the scheduler knows that the connection is open
 */
typedef struct agent_link {
	bh_sched_leader_t *leader;
	char *address;
	uint64_t row_version;
	bh_usec_t row_put_at;
	bh_link_t *link;
	bh_usec_t dialled_at;
	bh_usec_t connect_timeout;
	bh_usec_t reconnect_delay;
	bool is_linked;
} agent_link_t;

/**
 * struct removal - rows of ended jobs that are being removed
 * @leader: NULL if the leader was freed while the call is in flight
 */
typedef struct removal {
	bh_sched_leader_t *leader;
	GPtrArray *ids;
} removal_t;

/**
 * struct bh_sched_leader - the leader's state
 * @progress: follows the progress table until it is loaded
 * @ran_at: when the leader last ran or ticked
 * @resumed_at: when it first did after a pause; 0: it was not paused
 * @agent_links: by the agent's address
 * @stored_progress: merged progress rows by job id, until all tables are loaded
 * @n_tables_loading: tables that are not loaded completely
 * @store_reached_at: when another entry last reported that it reaches the store
 * @evacuation: the evacuated zones, shared with the hub
 * @evacuation_sent: changes of that set which the agents have been sent
 * @others_answered_at: when the store last answered another entry
 * @lost_entries: entries whose connection has closed, by address the time
 *	(bh_usec_t)
 * @are_starts_held: its copy of the set is too old to start tasks
 * @early_jobs: jobs that arrived before all tables were loaded
 * @removal: in flight, or NULL
 * @removed_jobs: keys of the progress rows of jobs whose own row is removed
 * @run: timer of the next run of the scheduler
 */
struct bh_sched_leader {
	bh_runtime_t *rt;
	bh_store_t *store;
	bh_term_t *term;
	bh_sched_t *sched;
	bh_advice_t *advice;
	bh_follow_t *jobs;
	bh_follow_t *progress;
	bh_follow_t *agents;
	GHashTable *agent_links;
	GHashTable *stored_progress;
	int n_tables_loading;
	bool is_committing;
	bool is_run_scheduled;
	bh_usec_t commit_sent_at;
	bh_usec_t learned_written_at;
	bh_usec_t pinged_at;
	bh_usec_t remove_run_at;
	bh_usec_t store_reached_at;
	bh_evacuation_t *evacuation;
	uint64_t evacuation_sent;
	bh_usec_t others_answered_at;
	GHashTable *lost_entries;
	bool are_starts_held;
	bh_usec_t started_at;
	bh_usec_t ran_at;
	bh_usec_t resumed_at;
	int64_t lease_ms;
	GPtrArray *early_jobs;
	removal_t *removal;
	GPtrArray *removed_jobs;
	struct event *run;
};

static void commit(bh_sched_leader_t *l);
static void tell_agents(bh_sched_leader_t *l);

static bool may_grant(const bh_sched_leader_t *l)
{
	bh_usec_t others = bh_runtime_now() - l->store_reached_at;
	bh_grant_view_t view = {
		.is_confirmed = bh_term_is_leader(l->term) &&
				bh_term_is_confirmed(l->term),
		.renewed_ago_ms = bh_term_row_written_ago_ms(l->term),
		.others_reached_ago_ms = others / BH_USEC_PER_MS,
	};

	return bh_grant_is_allowed(&view);
}

static void schedule_run(bh_sched_leader_t *l)
{
	struct timeval soon = {0, 1000};

	if (l->is_run_scheduled || l->n_tables_loading)
		return;
	l->is_run_scheduled = true;
	event_add(l->run, &soon);
}

static void note_pause(bh_sched_leader_t *l, bh_usec_t now)
{
	if (now - l->ran_at > PAUSE_THRESHOLD_US)
		l->resumed_at = now;
	l->ran_at = now;
}

/* Whether all jobs, and their cancellations, that were stored before the
 * process resumed are known. Without this a leader that was paused started
 * tasks of a job whose cancellation other entries had acknowledged meanwhile.
 */
static bool knows_jobs(bh_sched_leader_t *l)
{
	if (bh_follow_current_at(l->jobs) >= l->resumed_at)
		return true;
	bh_follow_refresh(l->jobs);
	return false;
}

static bool has_resumed(const bh_sched_leader_t *l)
{
	return bh_evacuation_own_read_at(l->evacuation) < l->resumed_at;
}

static int64_t ms_since(bh_usec_t at)
{
	return (bh_runtime_now() - at) / BH_USEC_PER_MS;
}

static gboolean is_lost_for_good(gpointer address, gpointer at, gpointer now)
{
	(void)address;
	return *(bh_usec_t *)now - *(bh_usec_t *)at > ENTRY_LOST_KEEP_US;
}

/* Holds starts in all zones while an evacuation may have been acknowledged that
 * this process has not heard of. */
static void update_hold(bh_sched_leader_t *l)
{
	bh_evacuation_evidence_t known = {
		.evacuate_ms = (int64_t)l->rt->settings->evacuate_ms,
		.read_ago_ms = ms_since(bh_evacuation_read_at(l->evacuation)),
		.has_resumed = has_resumed(l),
		.others_answered_ago_ms = ms_since(l->others_answered_at),
		.is_other_lost = g_hash_table_size(l->lost_entries) > 0,
	};
	bool is_held = !bh_evacuation_may_start(&known);
	bh_usec_t now = bh_runtime_now();
	g_autofree char *age = NULL;

	g_hash_table_foreach_remove(l->lost_entries, is_lost_for_good, &now);
	bh_sched_hold_starts(l->sched, is_held);
	if (is_held == l->are_starts_held)
		return;
	l->are_starts_held = is_held;
	age = g_strdup_printf("%" G_GINT64_FORMAT, known.read_ago_ms);
	bh_log_event(&l->rt->log, is_held ? BH_LOG_WARN : BH_LOG_INFO,
		     is_held ? "starts held" : "starts resumed", "read_ms_ago",
		     age, NULL);
}

static void on_run(evutil_socket_t fd, short what, void *arg)
{
	bh_sched_leader_t *l = arg;

	(void)fd;
	(void)what;
	l->is_run_scheduled = false;
	if (!bh_term_is_leader(l->term))
		return;
	note_pause(l, bh_runtime_now());
	bh_sched_note_jobs_read(l->sched, bh_follow_current_at(l->jobs));
	bh_sched_note_leading(l->sched, bh_term_confirmed_at(l->term));
	update_hold(l);
	tell_agents(l);
	if (bh_term_is_confirmed(l->term) && knows_jobs(l))
		bh_sched_run(l->sched, bh_runtime_now(), bh_runtime_unix_ms());
	commit(l);
}

static agent_link_t *agent_link_find(bh_sched_leader_t *l, const char *address)
{
	return g_hash_table_lookup(l->agent_links, address);
}

static void send_frame(bh_sched_leader_t *l, const char *host,
		       const bh_frame_t *frame)
{
	agent_link_t *m = agent_link_find(l, host);

	if (m && m->link && bh_link_is_open(m->link))
		bh_link_send(m->link, frame);
}

static char *text_or_empty(const char *text)
{
	return (char *)(text ? text : "");
}

static void op_start(void *ctx, const char *host, const bh_start_t *start)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__StartOrder m = BH__SCHED__START_ORDER__INIT;

	m.task = text_or_empty(start->task);
	m.attempt = start->attempt;
	m.spec = text_or_empty(start->spec);
	m.expires_ms = start->expires_ms;
	m.checkpoint = text_or_empty(start->checkpoint);
	m.ticket = text_or_empty(start->ticket);
	m.boot = start->boot;
	m.worker = text_or_empty(start->worker);
	m.starts_by_ms = start->starts_by_ms;
	m.is_repeated = start->is_repeated;
	frame.body_case = BH__SCHED__FRAME__BODY_START;
	frame.start = &m;
	send_frame(ctx, host, &frame);
}

static void op_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__StopOrder m = BH__SCHED__STOP_ORDER__INIT;

	m.task = text_or_empty(task);
	m.attempt = attempt;
	m.boot = boot;
	frame.body_case = BH__SCHED__FRAME__BODY_STOP;
	frame.stop = &m;
	send_frame(ctx, host, &frame);
}

static void op_pace(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt, uint32_t percent)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__PaceOrder m = BH__SCHED__PACE_ORDER__INIT;

	m.task = text_or_empty(task);
	m.attempt = attempt;
	m.percent = percent;
	m.boot = boot;
	frame.body_case = BH__SCHED__FRAME__BODY_PACE;
	frame.pace = &m;
	send_frame(ctx, host, &frame);
}

static void op_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Grant m = BH__SCHED__GRANT__INIT;

	m.boot = boot;
	m.expires_ms = expires_ms;
	m.ack = ack;
	frame.body_case = BH__SCHED__FRAME__BODY_GRANT;
	frame.grant = &m;
	send_frame(ctx, host, &frame);
}

static void op_late_starts(void *ctx, const char *host,
			   const bh_late_starts_t *starts)
{
	agent_link_t *m = agent_link_find(ctx, host);
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	bh_late_starts_append(starts, bytes);
	if (m && m->link && bh_link_is_open(m->link))
		bh_link_send_bytes(m->link, bytes->data, bytes->len);
}

static void op_advise(void *ctx, const bh_advice_request_t *request)
{
	bh_sched_leader_t *l = ctx;

	if (l->advice)
		bh_advice_ask(l->advice, request);
}

static void op_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	bh_sched_leader_t *l = ctx;

	bh_log_pairs(&l->rt->log, BH_LOG_INFO, what, job, detail);
}

static const bh_sched_ops_t sched_ops = {
	.start = op_start,
	.stop = op_stop,
	.pace = op_pace,
	.grant = op_grant,
	.late_starts = op_late_starts,
	.advise = op_advise,
	.event = op_event,
};

static void on_advised(void *ctx, uint64_t number,
		       const bh_advice_reply_t *reply)
{
	bh_sched_leader_t *l = ctx;

	bh_sched_advised(l->sched, number, reply, bh_runtime_now());
	schedule_run(l);
}

static void on_committed(void *user, bh_term_commit_result_t commit_result)
{
	bh_sched_leader_t *l = user;

	l->is_committing = false;
	bh_sched_end_commit(l->sched, commit_result == BH_TERM_STORED);
	schedule_run(l);
}

/* Stored for the next leader, which would have to learn it again at the
 * callers' expense. */
static void put_learned(bh_sched_leader_t *l, bh_store_tx_t *tx, bh_usec_t now)
{
	GBytes *bytes;
	gsize len;
	const void *data;

	if (now - l->learned_written_at < LEARNED_INTERVAL_US)
		return;
	l->learned_written_at = now;
	bytes = bh_learned_pack(l->sched, BH_STORE_ROW_BYTES_MAX);
	data = g_bytes_get_data(bytes, &len);
	if (len > 0)
		bh_store_tx_put(tx, BH_TABLE_PROGRESS, "", BH_KEY_LEARNED, data,
				len);
	g_bytes_unref(bytes);
}

/* Return: the row of a segment, within the limit on rows. */
static GBytes *pack_segment(bh_sched_leader_t *l, const char *id,
			    uint32_t segment)
{
	bh_progress_t *progress = bh_sched_progress(l->sched, id, segment);
	GBytes *bytes = bh_progress_pack(progress);

	if (g_bytes_get_size(bytes) > BH_STORE_ROW_BYTES_MAX) {
		bh_log_event(&l->rt->log, BH_LOG_WARN,
			     "checkpoints not stored: the row is too large",
			     "job", id, NULL);
		bh_progress_drop_checkpoints(progress);
		g_bytes_unref(bytes);
		bytes = bh_progress_pack(progress);
	}
	bh_progress_free(progress);
	return bytes;
}

static void put_segment(bh_sched_leader_t *l, bh_store_tx_t *tx, const char *id,
			uint32_t segment)
{
	GBytes *bytes = pack_segment(l, id, segment);
	char key[BH_SEGMENT_KEY_BYTES];
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	bh_segment_key_format(id, segment, key);
	bh_store_tx_put(tx, BH_TABLE_PROGRESS, "", key, data, len);
	g_bytes_unref(bytes);
}

static bool must_commit(const bh_sched_leader_t *l, bh_usec_t now)
{
	if (l->is_committing || !bh_term_can_commit(l->term))
		return false;
	return bh_sched_has_uncommitted(l->sched) ||
	       (bh_sched_awaits_confirmation(l->sched) &&
		now - l->commit_sent_at >= CONFIRM_INTERVAL_US);
}

static void commit(bh_sched_leader_t *l)
{
	const char *id;
	uint32_t segment;
	uint32_t n = 0;
	bh_usec_t now = bh_runtime_now();
	bh_store_tx_t *tx;

	if (!must_commit(l, now))
		return;
	if (now - l->commit_sent_at < COMMIT_INTERVAL_US) {
		struct timeval rest = {0, COMMIT_INTERVAL_US};

		if (!l->is_run_scheduled)
			event_add(l->run, &rest);
		l->is_run_scheduled = true;
		return;
	}
	tx = bh_store_tx_new();
	while (n < COMMIT_ROWS_MAX && bh_store_tx_has_room(tx) &&
	       bh_sched_commit_next(l->sched, &id, &segment)) {
		put_segment(l, tx, id, segment);
		n++;
	}
	if (bh_store_tx_has_room(tx))
		put_learned(l, tx, now);
	l->is_committing = true;
	l->commit_sent_at = now;
	bh_term_commit(l->term, tx, on_committed, l);
}

static void removal_free(removal_t *r)
{
	g_ptr_array_free(r->ids, TRUE);
	g_free(r);
}

static void add_progress_keys(bh_sched_leader_t *l, const char *id)
{
	uint32_t n = bh_sched_segments(l->sched, id);

	for (uint32_t i = 0; i < n; i++) {
		char key[BH_SEGMENT_KEY_BYTES];

		bh_segment_key_format(id, i, key);
		g_ptr_array_add(l->removed_jobs, g_strdup(key));
	}
}

static void on_jobs_removed(void *user, const bh_store_reply_t *reply)
{
	removal_t *r = user;
	bh_sched_leader_t *l = r->leader;

	if (l) {
		l->removal = NULL;
		for (guint i = 0; i < r->ids->len; i++) {
			const char *id = r->ids->pdata[i];

			if (reply->status != BH_STORE_OK)
				break;
			add_progress_keys(l, id);
			bh_sched_drop_job(l->sched, id);
		}
	}
	removal_free(r);
}

/* Removes rows of jobs that callers may no longer query, one part at a time. A
 * job's row is removed before its progress: in the other order the next leader
 * would take it for a new job. A job that has ended has ended for every leader,
 * so that the leader row is not checked here. */
static void remove_jobs(bh_sched_leader_t *l)
{
	const char *ids[REMOVE_MAX];
	uint32_t n = bh_sched_expired(l->sched, bh_runtime_unix_ms(), ids,
				      REMOVE_MAX);
	const char *part;
	bh_store_tx_t *tx;

	if (n == 0 || l->removal)
		return;
	part = bh_table_part(BH_TABLE_JOBS, ids[0]);
	tx = bh_store_tx_new();
	l->removal = g_new0(removal_t, 1);
	l->removal->leader = l;
	l->removal->ids = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(bh_table_part(BH_TABLE_JOBS, ids[i]), part) != 0)
			continue;
		bh_store_tx_delete(tx, BH_TABLE_JOBS, part, ids[i]);
		g_ptr_array_add(l->removal->ids, g_strdup(ids[i]));
	}
	bh_store_commit(l->store, tx, REMOVE_TIMEOUT_MS, on_jobs_removed,
			l->removal);
}

static void on_progress_removed(void *user,
				bh_term_commit_result_t commit_result)
{
	bh_sched_leader_t *l = user;

	if (commit_result == BH_TERM_STORED)
		g_ptr_array_remove_range(
			l->removed_jobs, 0,
			MIN(l->removed_jobs->len, COMMIT_ROWS_MAX));
}

/* Only the leader writes progress, so its removal checks the leader row. */
static void remove_progress(bh_sched_leader_t *l)
{
	bh_store_tx_t *tx;

	if (l->removed_jobs->len == 0 || !bh_term_can_commit(l->term))
		return;
	tx = bh_store_tx_new();
	for (guint i = 0; i < MIN(l->removed_jobs->len, COMMIT_ROWS_MAX); i++)
		bh_store_tx_delete(tx, BH_TABLE_PROGRESS, "",
				   l->removed_jobs->pdata[i]);
	bh_term_commit(l->term, tx, on_progress_removed, l);
}

/* The row has to be the one that is known: an agent that has registered since
 * is alive. */
static void remove_agent(bh_sched_leader_t *l, bh_usec_t now)
{
	const char *host = bh_sched_removable_host(l->sched, now);
	const agent_link_t *m = host ? agent_link_find(l, host) : NULL;
	bh_store_tx_t *tx;

	if (!m || !bh_term_can_commit(l->term))
		return;
	bh_log_event(&l->rt->log, BH_LOG_INFO, "removed lapsed agent", "host",
		     host, NULL);
	tx = bh_store_tx_new();
	bh_store_tx_check(tx, BH_TABLE_AGENTS,
			  bh_table_part(BH_TABLE_AGENTS, host), host,
			  m->row_version);
	bh_store_tx_delete(tx, BH_TABLE_AGENTS,
			   bh_table_part(BH_TABLE_AGENTS, host), host);
	/* If the row stays, it only costs the next leader a wait. */
	bh_term_commit(l->term, tx, NULL, NULL);
	g_hash_table_remove(l->agent_links, host);
	bh_sched_drop_host(l->sched, host);
}

static void remove_expired(bh_sched_leader_t *l, bh_usec_t now)
{
	if (now - l->remove_run_at < REMOVE_INTERVAL_US || l->n_tables_loading)
		return;
	l->remove_run_at = now;
	remove_progress(l);
	if (l->removed_jobs->len == 0)
		remove_jobs(l);
	remove_agent(l, now);
}

static void on_report(agent_link_t *m, const Bh__Sched__Report *from)
{
	bh_sched_leader_t *l = m->leader;
	bh_report_t report;

	if (from->term > bh_term_number(l->term))
		bh_term_observe(l->term, from->term);
	if (from->term != bh_term_number(l->term))
		return;
	bh_sched_note_jobs_read(l->sched, bh_follow_current_at(l->jobs));
	bh_report_decode(from, &report);
	bh_sched_report(l->sched, m->address, &report.info,
			report.has_lists ? &report.lists : NULL, may_grant(l),
			bh_runtime_now());
	bh_report_clear(&report);
	schedule_run(l);
}

static void on_crash(agent_link_t *m, const Bh__Sched__Crash *from)
{
	bh_sched_leader_t *l = m->leader;
	bh_crash_t crash;

	if (from->term != bh_term_number(l->term))
		return;
	bh_crash_decode(from, &crash);
	bh_sched_crash(l->sched, m->address, &crash, bh_runtime_now());
	bh_crash_clear(&crash);
	schedule_run(l);
}

static void on_result(agent_link_t *m, const Bh__Sched__OrderResult *r)
{
	bh_sched_leader_t *l = m->leader;
	bh_order_outcome_t outcome = MIN(r->outcome, BH_ORDER_UNCLEAR);

	if (outcome == BH_ORDER_FENCED)
		bh_term_observe(l->term, bh_term_number(l->term) + 1);
	if (r->kind == BH_ORDER_KIND_START && r->late_ms)
		bh_sched_start_unanswered(l->sched, m->address, r->task,
					  r->attempt, r->late_ms,
					  bh_runtime_now());
	if (r->kind == BH_ORDER_KIND_START)
		bh_sched_start_result(l->sched, m->address, r->task, r->attempt,
				      outcome, bh_runtime_now());
	else if (r->kind == BH_ORDER_KIND_STOP)
		bh_sched_stop_result(l->sched, m->address, r->task, r->attempt,
				     outcome, bh_runtime_now());
	schedule_run(l);
}

/* An agent may have heard of an evacuation from an earlier leader. What it
 * knows is no newer than a leader's reads: it does not count as one. */
static void note_evacuation(bh_sched_leader_t *l,
			    const Bh__Sched__EvacuationState *state)
{
	if (!state || !l->rt->settings->evacuate_ms)
		return;
	bh_evacuation_adopt(l->evacuation, state->version, state->zones,
			    state->n_zones, 0, bh_runtime_now());
	schedule_run(l);
}

static void on_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	agent_link_t *m = ctx;

	(void)link;
	switch (frame->body_case) {
	case BH__SCHED__FRAME__BODY_REPORT:
		on_report(m, frame->report);
		break;
	case BH__SCHED__FRAME__BODY_CRASH:
		on_crash(m, frame->crash);
		break;
	case BH__SCHED__FRAME__BODY_RESULT:
		on_result(m, frame->result);
		break;
	case BH__SCHED__FRAME__BODY_PING:
		if (frame->ping->term > bh_term_number(m->leader->term))
			bh_term_observe(m->leader->term, frame->ping->term);
		note_evacuation(m->leader, frame->ping->evacuation);
		break;
	default:
		break;
	}
}

static void on_opened(void *ctx, bh_link_t *link)
{
	agent_link_t *m = ctx;
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Hello hello = BH__SCHED__HELLO__INIT;
	bh_evacuation_frame_t evacuation;

	m->is_linked = true;
	m->connect_timeout = CONNECT_TIMEOUT_MIN_US;
	m->reconnect_delay = RECONNECT_MIN_US;
	hello.term = bh_term_number(m->leader->term);
	hello.leader = m->leader->rt->settings->name;
	hello.first_number =
		bh_fence_first_number(bh_runtime_now() - m->leader->started_at);
	hello.lease_ms = (uint64_t)m->leader->lease_ms;
	if (m->leader->rt->settings->evacuate_ms)
		hello.evacuation = bh_evacuation_to_wire(
			m->leader->evacuation, bh_runtime_now(), &evacuation);
	frame.body_case = BH__SCHED__FRAME__BODY_HELLO;
	frame.hello = &hello;
	bh_link_send(link, &frame);
	bh_sched_host_linked(m->leader->sched, m->address, true,
			     bh_runtime_now());
}

static void agent_link_closed(agent_link_t *m)
{
	m->link = NULL;
	if (m->is_linked)
		bh_sched_host_linked(m->leader->sched, m->address, false,
				     bh_runtime_now());
	m->is_linked = false;
}

static void on_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	agent_link_t *m = ctx;

	(void)link;
	(void)is_refused;
	if (m->is_linked)
		bh_sched_agent_closed(m->leader->sched, m->address,
				      bh_runtime_now());
	agent_link_closed(m);
}

static const bh_link_ops_t link_ops = {
	.frame = on_frame,
	.opened = on_opened,
	.closed = on_closed,
};

static void agent_link_free(gpointer data)
{
	agent_link_t *m = data;

	bh_link_free(m->link);
	g_free(m->address);
	g_free(m);
}

static void agent_link_add(bh_sched_leader_t *l, const char *address,
			   uint64_t row_version)
{
	agent_link_t *m = agent_link_find(l, address);

	if (m) {
		m->row_version = row_version;
		return;
	}
	m = g_new0(agent_link_t, 1);
	m->leader = l;
	m->row_version = row_version;
	m->address = g_strdup(address);
	m->connect_timeout = CONNECT_TIMEOUT_MIN_US;
	m->reconnect_delay = RECONNECT_MIN_US;
	g_hash_table_insert(l->agent_links, m->address, m);
	/* An agent whose row appeared after loading has had no earlier
	 * leader. */
	bh_sched_add_host(l->sched, address, l->n_tables_loading > 0,
			  bh_runtime_now());
}

/* The next leader would not know of the host, and start elsewhere what runs
 * there. */
static void restore_row(agent_link_t *m, bh_usec_t now)
{
	bh_sched_leader_t *l = m->leader;
	const char *part = bh_table_part(BH_TABLE_AGENTS, m->address);
	bh_store_tx_t *tx;

	if (m->row_version || now - m->row_put_at < ROW_RETRY_US ||
	    !bh_sched_is_host_in_use(l->sched, m->address) ||
	    !bh_term_can_commit(l->term))
		return;
	m->row_put_at = now;
	bh_log_event(&l->rt->log, BH_LOG_WARN, "agent row restored", "host",
		     m->address, NULL);
	tx = bh_store_tx_new();
	bh_store_tx_check(tx, BH_TABLE_AGENTS, part, m->address, 0);
	bh_store_tx_put(tx, BH_TABLE_AGENTS, part, m->address, m->address,
			strlen(m->address));
	bh_term_commit(l->term, tx, NULL, NULL);
}

static bool is_connect_overdue(const agent_link_t *m, bh_usec_t now)
{
	return !bh_link_is_open(m->link) &&
	       now - m->dialled_at > m->connect_timeout;
}

static void agent_link_tick(agent_link_t *m, bh_usec_t now)
{
	restore_row(m, now);
	if (m->link && is_connect_overdue(m, now)) {
		bh_link_free(m->link);
		agent_link_closed(m);
		m->connect_timeout =
			MIN(m->connect_timeout * 2, LINK_TIMEOUT_US);
		m->dialled_at = 0;
	}
	if (m->link) {
		if (now - bh_link_heard_at(m->link) <= LINK_TIMEOUT_US)
			return;
		bh_link_free(m->link);
		agent_link_closed(m);
	}
	if (now - m->dialled_at < m->reconnect_delay)
		return;
	m->dialled_at = now;
	m->reconnect_delay = MIN(m->reconnect_delay * 2, RECONNECT_MAX_US);
	m->link = bh_link_dial(m->leader->rt->base, m->address, &link_ops, m);
}

static void ping_agents(bh_sched_leader_t *l, bh_usec_t now)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Ping ping = BH__SCHED__PING__INIT;
	bh_evacuation_frame_t evacuation;
	GHashTableIter it;
	gpointer value;

	if (now - l->pinged_at < PING_INTERVAL_US)
		return;
	l->pinged_at = now;
	if (l->rt->settings->evacuate_ms)
		ping.evacuation =
			bh_evacuation_to_wire(l->evacuation, now, &evacuation);
	ping.term = bh_term_number(l->term);
	frame.body_case = BH__SCHED__FRAME__BODY_PING;
	frame.ping = &ping;
	g_hash_table_iter_init(&it, l->agent_links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		agent_link_t *m = value;

		if (m->link && bh_link_is_open(m->link))
			bh_link_send(m->link, &frame);
	}
}

/* Agents hear of an evacuation at once: they refuse starts that are under way,
 * and those of a former leader. */
static void tell_agents(bh_sched_leader_t *l)
{
	uint64_t changes = bh_evacuation_changes(l->evacuation);

	if (changes == l->evacuation_sent)
		return;
	l->evacuation_sent = changes;
	l->pinged_at = 0;
	ping_agents(l, bh_runtime_now());
}

static void on_agent_row(void *ctx, const bh_store_row_t *row)
{
	bh_sched_leader_t *l = ctx;
	agent_link_t *m = agent_link_find(l, row->key);

	if (row->is_deleted && m)
		m->row_version = 0;
	if (row->is_deleted)
		return;
	if (bh_address_is_valid(row->key))
		agent_link_add(l, row->key, row->version);
	else
		bh_log_event(&l->rt->log, BH_LOG_WARN,
			     "agent row ignored: its key is not IP:PORT", "key",
			     row->key, NULL);
}

static void on_job_row(void *ctx, const bh_store_row_t *row)
{
	bh_sched_leader_t *l = ctx;

	if (row->is_deleted)
		return;
	bh_sched_leader_add_job(l, row->value, row->len);
}

static void free_progress(gpointer data)
{
	bh_progress_free(data);
}

static void add_stored_progress(bh_sched_leader_t *l, const char *key,
				bh_progress_t *progress)
{
	char *id = bh_segment_key_job(key);
	bh_progress_t *others = g_hash_table_lookup(l->stored_progress, id);

	if (!others) {
		g_hash_table_insert(l->stored_progress, id, progress);
		return;
	}
	bh_progress_merge(others, progress);
	g_free(id);
}

static void on_progress_row(void *ctx, const bh_store_row_t *row)
{
	bh_sched_leader_t *l = ctx;
	bh_progress_t *progress;

	if (!l->n_tables_loading || row->is_deleted)
		return;
	if (strcmp(row->key, BH_KEY_LEARNED) == 0) {
		bh_learned_unpack(row->value, row->len, l->sched);
		return;
	}
	progress = bh_progress_unpack(row->value, row->len);
	if (progress)
		add_stored_progress(l, row->key, progress);
	else
		bh_log_event(&l->rt->log, BH_LOG_ERROR,
			     "cannot decode stored progress", "job", row->key,
			     NULL);
}

static void finish_loading(bh_sched_leader_t *l)
{
	bh_usec_t now = bh_runtime_now();
	char detail[128];

	l->ran_at = now;
	for (guint i = 0; i < l->early_jobs->len; i++) {
		bh_job_t *job = l->early_jobs->pdata[i];

		bh_sched_add_job(
			l->sched, job,
			g_hash_table_lookup(l->stored_progress, job->id), now);
	}
	g_snprintf(detail, sizeof(detail),
		   "term=%" G_GUINT64_FORMAT
		   " jobs=%u agents=%u took_ms=%" G_GINT64_FORMAT,
		   bh_term_number(l->term), l->early_jobs->len,
		   g_hash_table_size(l->agent_links),
		   (now - l->started_at) / 1000);
	bh_log_pairs(&l->rt->log, BH_LOG_INFO, "loaded", NULL, detail);
	g_ptr_array_set_size(l->early_jobs, 0);
	g_hash_table_remove_all(l->stored_progress);
	bh_sched_leader_tick(l);
}

static void on_loaded(void *ctx)
{
	bh_sched_leader_t *l = ctx;

	l->n_tables_loading--;
	if (l->n_tables_loading == 0)
		finish_loading(l);
}

static void on_progress_loaded(void *ctx)
{
	bh_sched_leader_t *l = ctx;

	/* Only the leader writes this table: there are no changes to follow. */
	bh_follow_free(l->progress);
	l->progress = NULL;
	on_loaded(l);
}

static const bh_follow_ops_t agent_ops = {on_agent_row, on_loaded};
static const bh_follow_ops_t job_ops = {on_job_row, on_loaded};
static const bh_follow_ops_t progress_ops = {on_progress_row,
					     on_progress_loaded};

bh_sched_leader_t *bh_sched_leader_new(bh_runtime_t *rt, bh_store_t *store,
				       bh_term_t *term,
				       bh_evacuation_t *evacuation)
{
	const bh_settings_t *set = rt->settings;
	bh_sched_leader_t *l = g_new0(bh_sched_leader_t, 1);
	bh_sched_bounds_t bounds = {
		.term = bh_term_number(term),
		.lease_ms =
			(int64_t)MIN((double)set->lease_ms, set->lease_max_ms),
		.lease_max_ms = (int64_t)set->lease_max_ms,
		.predecessor_grant_ms = bh_term_predecessor_grant_ms(term),
		.restore_ms = (int64_t)set->restore_ms,
		.impact_ms = (int64_t)set->impact_ms,
		.order_max_ms =
			bh_evacuation_order_max_ms((int64_t)set->evacuate_ms),
		.status_ms = (int64_t)(set->status_s * 1000),
		.has_shares = g_strcmp0(set->room_shares, "on") == 0,
		.remote_slowdown = set->remote_slowdown,
		.locality_wait = strcmp(set->locality_wait, "on") == 0,
	};

	l->rt = rt;
	l->store = store;
	l->term = term;
	l->started_at = bh_runtime_now();
	l->lease_ms = bounds.lease_ms;
	l->store_reached_at = l->started_at;
	l->sched = bh_sched_new(&bounds, &sched_ops, l, l->started_at,
				bh_runtime_unix_ms());
	l->evacuation = evacuation;
	l->evacuation_sent = bh_evacuation_changes(evacuation);
	bh_sched_set_evacuation(l->sched, evacuation);
	l->agent_links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       agent_link_free);
	l->stored_progress = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_progress);
	l->lost_entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->early_jobs = g_ptr_array_new();
	l->removed_jobs = g_ptr_array_new_with_free_func(g_free);
	l->run = event_new(rt->base, -1, 0, on_run, l);
	if (*set->advice)
		l->advice = bh_advice_new(rt->base, set->advice, on_advised, l);
	l->n_tables_loading = 3;
	l->agents = bh_follow_new(rt, store, BH_TABLE_AGENTS, AGENTS_WAIT_MS,
				  &agent_ops, l);
	l->progress = bh_follow_new(rt, store, BH_TABLE_PROGRESS,
				    AGENTS_WAIT_MS, &progress_ops, l);
	l->jobs = bh_follow_new(rt, store, BH_TABLE_JOBS, JOBS_WAIT_MS,
				&job_ops, l);
	return l;
}

void bh_sched_leader_free(bh_sched_leader_t *l)
{
	if (!l)
		return;
	bh_term_cancel_callback(l->term);
	bh_follow_free(l->jobs);
	bh_follow_free(l->progress);
	bh_follow_free(l->agents);
	event_free(l->run);
	g_hash_table_destroy(l->agent_links);
	g_hash_table_destroy(l->lost_entries);
	g_hash_table_destroy(l->stored_progress);
	for (guint i = 0; i < l->early_jobs->len; i++)
		bh_job_free(l->early_jobs->pdata[i]);
	g_ptr_array_free(l->early_jobs, TRUE);
	g_ptr_array_free(l->removed_jobs, TRUE);
	/* A closed store does not call back. */
	if (l->removal && bh_store_is_closed(l->store))
		removal_free(l->removal);
	else if (l->removal)
		l->removal->leader = NULL;
	bh_advice_free(l->advice);
	bh_sched_free(l->sched);
	g_free(l);
}

void bh_sched_leader_set_config(bh_sched_leader_t *l, const bh_config_t *config)
{
	bh_sched_set_config(l->sched, config);
	schedule_run(l);
}

void bh_sched_leader_note_store_reachable(bh_sched_leader_t *l)
{
	l->store_reached_at = bh_runtime_now();
}

void bh_sched_leader_note_entry(bh_sched_leader_t *l, const char *address,
				bh_usec_t answered_at)
{
	if (address)
		g_hash_table_remove(l->lost_entries, address);
	l->others_answered_at = MAX(l->others_answered_at, answered_at);
	if (l->are_starts_held ||
	    bh_evacuation_changes(l->evacuation) != l->evacuation_sent)
		schedule_run(l);
}

void bh_sched_leader_note_entry_lost(bh_sched_leader_t *l, const char *address)
{
	bh_usec_t now = bh_runtime_now();

	g_hash_table_replace(l->lost_entries, g_strdup(address),
			     g_memdup2(&now, sizeof(now)));
}

void bh_sched_leader_limit_grants(bh_sched_leader_t *l)
{
	bh_sched_limit_grants(l->sched, bh_term_predecessor_grant_ms(l->term),
			      bh_runtime_now());
}

bool bh_sched_leader_wants_evacuation(const bh_sched_leader_t *l)
{
	int64_t evacuate_ms = (int64_t)l->rt->settings->evacuate_ms;

	return evacuate_ms &&
	       (has_resumed(l) ||
		ms_since(bh_evacuation_own_read_at(l->evacuation)) >
			bh_evacuation_refresh_ms(evacuate_ms));
}

uint32_t bh_sched_leader_evacuated_services(bh_sched_leader_t *l,
					    const char **out, uint32_t max)
{
	return bh_sched_evacuated_services(l->sched, out, max);
}

void bh_sched_leader_add_job(bh_sched_leader_t *l, const void *data, size_t len)
{
	bh_job_t *job = bh_job_unpack(data, len);

	if (!job) {
		bh_log_event(&l->rt->log, BH_LOG_ERROR,
			     "cannot decode a stored job", NULL);
		return;
	}
	if (l->n_tables_loading) {
		g_ptr_array_add(l->early_jobs, job);
		return;
	}
	bh_sched_add_job(l->sched, job, NULL, bh_runtime_now());
	schedule_run(l);
}

bh_job_state_t bh_sched_leader_state(bh_sched_leader_t *l, const char *id)
{
	return l->n_tables_loading ? BH_JOB_UNKNOWN
				   : bh_sched_state(l->sched, id);
}

bool bh_sched_leader_pending(bh_sched_leader_t *l, const char *queue,
			     uint32_t *out)
{
	if (l->n_tables_loading)
		return false;
	*out = bh_sched_pending(l->sched, queue);
	return true;
}

uint32_t bh_sched_leader_load(bh_sched_leader_t *l, bh_backlog_t *out,
			      uint32_t max)
{
	return l->n_tables_loading
		       ? 0
		       : bh_sched_load(l->sched, out, max, bh_runtime_now());
}

void bh_sched_leader_tick(bh_sched_leader_t *l)
{
	bh_usec_t now = bh_runtime_now();
	GHashTableIter it;
	gpointer value;

	/* Reports of agents cannot be interpreted before the jobs are known. */
	if (l->n_tables_loading)
		return;
	note_pause(l, now);
	if (bh_sched_wants_jobs_read(l->sched, now))
		bh_follow_refresh(l->jobs);
	g_hash_table_iter_init(&it, l->agent_links);
	while (g_hash_table_iter_next(&it, NULL, &value))
		agent_link_tick(value, now);
	ping_agents(l, now);
	remove_expired(l, now);
	schedule_run(l);
}

void bh_sched_leader_metrics(bh_sched_leader_t *l, GString *out)
{
	bh_metrics_value(out, "boragehold_term", NULL,
			 (double)bh_term_number(l->term));
	bh_metrics_value(out, "boragehold_starts_held", NULL,
			 l->are_starts_held ? 1 : 0);
	bh_metrics_sched(out, l->sched);
}
