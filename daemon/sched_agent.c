#include "daemon/sched_agent.h"
#include "daemon/http_guard.h"
#include "daemon/link.h"
#include "daemon/metrics.h"
#include "daemon/tables.h"
#include "daemon/term.h"
#include "daemon/zones.h"
#include "platform/decode.h"
#include "platform/runner.h"
#include "platform/store.h"
#include "wire/sched_codec.h"
#include "sched/evacuation.h"
#include "sched/fence.h"
#include "sched/run_log.h"

#include <sys/queue.h>

/* How long the worker may hold a poll while no task ends. */
#define POLL_WAIT_MS 200

/* Delay after a poll that returned ends, if not acknowledged sooner. */
#define POLL_AFTER_ENDS_MS 60

/* Delay after a failed poll, and after one that broke off or was refused: the
 * worker has probably ended. */
#define POLL_RETRY_MS	   200
#define POLL_RETRY_GONE_MS 50

/* Refused polls, with no answered one in between, after which the worker counts
 * as ended. */
#define REFUSED_POLLS_UNTIL_DOWN 2

/* Time for which new leaders are told of a crash. */
#define CRASH_KEEP_US (15 * BH_USEC_PER_SEC)

#define PING_INTERVAL_US (500 * BH_USEC_PER_MS)

/* The leader pings every 500 ms. */
#define LINK_TIMEOUT_US (2000 * BH_USEC_PER_MS)

/* An agent without a leader writes its row again in case it is missing. */
#define REGISTER_INTERVAL_US (5 * BH_USEC_PER_SEC)
#define REGISTER_RETRY_US    (400 * BH_USEC_PER_MS)
#define REGISTER_TIMEOUT_MS  1500

/* After a read of the leader row that failed. */
#define TERM_READ_RETRY_US   (400 * BH_USEC_PER_MS)
#define TERM_READ_TIMEOUT_MS 1500

/* Tries of calls to the worker that get no answer, and their timeout. The
 * worker is on the same host and answers within milliseconds: the first timeout
 * is most often a lost call, later ones a worker that is slow or hangs. */
#define START_TRIES	   4
#define STOP_TRIES	   5
#define TRY_TIMEOUT_MIN_MS 150
#define TRY_TIMEOUT_MAX_MS 700
#define TRY_TIMEOUT_FACTOR 2

/* A planned shutdown waits at most this long for orders in flight and for the
 * removal of the agent's row. */
#define DRAIN_MAX_US (1500 * BH_USEC_PER_MS)

#define TICK_MS 100

/* A timeout that is noticed later than this shows that the process was paused.
 */
#define PAUSE_THRESHOLD_US (100 * BH_USEC_PER_MS)

#define INSTANCES_PATH "/instances/"

/**
 * struct order - an order of the leader that is passed on to the worker
 * @link: of an order to start
 * @was_unclear: an earlier try got no answer
 * @is_superseded: the attempt has been ordered to stop since; no further try is
 *	sent
 * @term: term of the leader that sent it
 * @connection: number of the connection over which it came
 * @token: fencing token of the last try
 * @starts_by_ms: of a start: no try is sent later, on the worker's clock; 0: no
 *	limit
 */
typedef struct order {
	TAILQ_ENTRY(order) link;
	bh_sched_agent_t *agent;
	int kind;
	int tries_left;
	int64_t timeout_ms;
	bool was_unclear;
	bool is_superseded;
	uint64_t term;
	uint64_t connection;
	uint64_t token;
	uint64_t boot;
	uint32_t attempt;
	uint32_t percent;
	uint64_t expires_ms;
	uint64_t starts_by_ms;
	char *task;
	char *spec;
	char *checkpoint;
	char *ticket;
	char *worker;
} order_t;

/**
 * struct bh_sched_agent - the agent of one worker
 * @process: identifies this process among those of the host's agent
 * @connections: number of the present connection to a leader, or of the last
 * @info: the worker's last announcement, which came at @announced_at
 * @fence: which of the worker's processes calls are meant for
 * @poll: the last poll
 * @unanswered_polls: since the last poll that was answered, at @answered_at
 * @has_lost_poll: one of these timed out
 * @call_lost_at: when the worker answered again after a call that got no
 *	answer from the same process; 0: never
 * @gone_since: when the first of the last polls broke off, which shows that the
 *	worker's process has ended; 0: the last poll was answered
 * @crash: the worker's last crash
 * @is_crash_sent: the present leader has been sent it
 * @is_registered: its row exists, as far as this process knows
 * @row_version: version of its row; 0: this process knows of none
 * @knows_term: the leader row has been read since the agent's row exists:
 *	leaders elected by then are known, and later ones know of this host
 * @is_idle: nothing can run on the worker: this process created the row, and
 *	has passed on no start order
 * @leader_heard_at: when the last frame of the leader came
 * @starting: orders to start without an outcome
 * @poll_wait_ms: how long the worker may hold the poll in flight
 * @evacuation: zones in which no task may start, as leaders tell them
 * @starts_evacuated: starts refused, or not tried again, for that
 */
struct bh_sched_agent {
	bh_runtime_t *rt;
	bh_store_t *store;
	bh_runner_t *runner;
	struct evhttp *http;
	struct evhttp *metrics;
	bh_acceptor_t *acceptor;
	struct event *tick;
	struct event *poll_timer;
	bh_link_t *leader;
	uint64_t term;
	uint64_t process;
	bh_usec_t started_at;
	uint64_t connections;
	bh_worker_info_t info;
	uint64_t info_number;
	bh_usec_t announced_at;
	bh_fence_t *fence;
	bh_fence_poll_t poll;
	int refused_polls;
	int unanswered_polls;
	bh_usec_t answered_at;
	bool has_lost_poll;
	bh_usec_t call_lost_at;
	int64_t poll_timeout_ms;
	bh_usec_t poll_sent_at;
	bh_usec_t gone_since;
	bh_run_log_t *run_log;
	bh_crash_t crash;
	bh_usec_t crashed_at;
	bool is_crash_sent;
	bool is_polling;
	bool is_down;
	bool is_registering;
	bool is_registered;
	uint64_t row_version;
	bool knows_term;
	bool is_reading_term;
	bh_usec_t term_read_at;
	bool is_idle;
	bool is_draining;
	bh_usec_t drain_since;
	bh_usec_t leader_heard_at;
	bool is_deregistering;
	bool is_deregistered;
	bh_usec_t registered_at;
	bh_usec_t pinged_at;
	uint32_t orders;
	TAILQ_HEAD(, order) starting;
	int64_t poll_wait_ms;
	uint64_t starts;
	uint64_t stops;
	uint64_t unclear;
	uint64_t starts_evacuated;
	bh_evacuation_t *evacuation;
	uint64_t polls_unanswered;
	bh_hist_t start_latency;
	GByteArray *scratch;
};

static void poll_worker(bh_sched_agent_t *a);

/* At least 1, since 0 means unknown in a report. */
static uint32_t lease_left_ms(const bh_sched_agent_t *a)
{
	bh_usec_t left = bh_fence_lease_until(a->fence) - bh_runtime_now();

	return (uint32_t)MAX(left / 1000, 1);
}

/* Before the report by which the leader loses what ran there, so that the tasks
 * are suspects once they wait. */
static void send_crash(bh_sched_agent_t *a)
{
	bh_usec_t ago = bh_runtime_now() - a->crashed_at;

	if (!a->crash.boot || a->is_crash_sent || ago > CRASH_KEEP_US)
		return;
	a->is_crash_sent = true;
	a->crash.ago_ms = (uint32_t)(ago / BH_USEC_PER_MS);
	g_byte_array_set_size(a->scratch, 0);
	bh_crash_append(&a->crash, a->term, a->scratch);
	bh_link_send_bytes(a->leader, a->scratch->data, a->scratch->len);
}

/* 0 once no such call can be carried out any more, otherwise at least 1. */
static uint32_t lost_call_ms(const bh_sched_agent_t *a)
{
	bh_usec_t ago = bh_runtime_now() - a->call_lost_at;

	if (!a->call_lost_at || ago > BH_LATE_CALL_MAX_US)
		return 0;
	return (uint32_t)MAX(ago / BH_USEC_PER_MS, 1);
}

/* A future leader learns only from the row that work may run here, and a leader
 * that has been replaced must not start any. */
static bool may_start_tasks(const bh_sched_agent_t *a)
{
	return a->is_registered && a->knows_term && bh_fence_is_bound(a->fence);
}

static uint32_t reported_lease_ms(const bh_sched_agent_t *a, bool has_lists)
{
	if (has_lists)
		return bh_fence_outlives(a->fence, bh_runtime_now())
			       ? lease_left_ms(a)
			       : 0;
	if (bh_fence_lease_until(a->fence))
		return lease_left_ms(a);
	return a->is_idle ? 1 : 0;
}

static void send_report(bh_sched_agent_t *a, const bh_worker_lists_t *lists)
{
	bh_worker_info_t info = a->info;

	if (!a->leader)
		return;
	if (a->knows_term)
		send_crash(a);
	info.boot = bh_fence_boot(a->fence);
	info.lost_call_ms = lost_call_ms(a);
	/* An announcement is valid only for the boot that sent it. */
	if (a->info.boot && info.boot && a->info.boot != info.boot)
		info.id = NULL;
	if (a->is_down)
		info.state = BH_WORKER_DOWN;
	else if (!may_start_tasks(a) && info.state == BH_WORKER_READY)
		info.state = BH_WORKER_SILENT;
	info.is_idle = a->is_idle;
	info.is_term_unknown = !a->knows_term;
	info.lease_expires_ms = bh_fence_expires_ms(a->fence);
	info.lease_left_ms = reported_lease_ms(a, lists != NULL);
	info.agent_process = a->process;
	info.agent_age_ms =
		(uint64_t)(bh_runtime_now() - a->started_at) / BH_USEC_PER_MS;
	bh_fence_late_starts(a->fence, a->is_down, bh_runtime_now(),
			     &info.late_starts);
	g_byte_array_set_size(a->scratch, 0);
	bh_report_append(&info, lists, a->term, a->scratch);
	bh_link_send_bytes(a->leader, a->scratch->data, a->scratch->len);
	bh_late_starts_clear(&info.late_starts);
}

static void schedule_poll(bh_sched_agent_t *a, int64_t ms)
{
	struct timeval delay = {ms / 1000, (ms % 1000) * 1000};

	event_add(a->poll_timer, &delay);
}

static char *number_text(uint64_t number)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT, number);
}

/* Says what the worker may still carry out: with which lease and which
 * acknowledgement it is polled. */
static void log_unanswered(bh_sched_agent_t *a)
{
	g_autofree char *boot = number_text(bh_fence_boot(a->fence));
	g_autofree char *expires = number_text(bh_fence_expires_ms(a->fence));
	g_autofree char *ack = number_text(bh_fence_ack(a->fence));

	bh_log_event(&a->rt->log, BH_LOG_WARN, "worker does not answer",
		     "worker", a->info.id ? a->info.id : "", "boot", boot,
		     "expires_ms", expires, "ack", ack, NULL);
}

static void log_answered(bh_sched_agent_t *a, uint64_t boot)
{
	bh_usec_t silent =
		a->answered_at ? bh_runtime_now() - a->answered_at : 0;
	g_autofree char *polls = g_strdup_printf("%d", a->unanswered_polls);
	g_autofree char *silent_ms = number_text((uint64_t)silent / 1000);
	g_autofree char *boot_text = number_text(boot);

	bh_log_event(&a->rt->log, BH_LOG_INFO, "worker answers again", "worker",
		     a->info.id ? a->info.id : "", "boot", boot_text,
		     "unanswered", polls, "silent_ms", silent_ms, NULL);
}

static void note_answered_again(bh_sched_agent_t *a, uint64_t boot)
{
	log_answered(a, boot);
	if (boot == bh_fence_boot(a->fence) && a->has_lost_poll)
		a->call_lost_at = bh_runtime_now();
	a->has_lost_poll = false;
}

/* A poll that breaks off shows that the worker's process has ended. One that
 * times out is a lost call or a worker that hangs, or this process was paused
 * and the answer waits. */
static void note_failed_poll(bh_sched_agent_t *a)
{
	bh_usec_t now = bh_runtime_now();
	bh_usec_t elapsed = now - a->poll_sent_at;
	bh_usec_t timeout =
		(a->poll_wait_ms + a->poll_timeout_ms) * BH_USEC_PER_MS;

	a->polls_unanswered++;
	if (a->unanswered_polls++ == 0)
		log_unanswered(a);
	if (elapsed >= timeout)
		a->has_lost_poll |= elapsed < timeout + PAUSE_THRESHOLD_US;
	else if (!a->gone_since)
		a->gone_since = now;
	if (a->gone_since)
		bh_fence_expect_other(a->fence);
}

static void note_crash(bh_sched_agent_t *a, uint64_t boot)
{
	bh_usec_t now = bh_runtime_now();

	if (a->crash.boot == boot)
		return;
	if (a->info.boot == boot && a->info.state == BH_WORKER_DRAINING) {
		bh_run_log_clear(a->run_log);
		return;
	}
	a->crashed_at = a->gone_since ? a->gone_since : now;
	bh_run_log_crashed(a->run_log, boot, a->crashed_at, &a->crash);
	a->is_crash_sent = false;
}

static void note_refused_poll(bh_sched_agent_t *a)
{
	a->refused_polls++;
	if (a->refused_polls < REFUSED_POLLS_UNTIL_DOWN)
		return;
	if (a->is_down) {
		send_report(a, NULL);
		return;
	}
	a->is_down = true;
	if (bh_fence_boot(a->fence))
		note_crash(a, bh_fence_boot(a->fence));
	bh_log_event(&a->rt->log, BH_LOG_WARN, "worker is down", "worker",
		     a->info.id ? a->info.id : "", NULL);
	send_report(a, NULL);
}

/* What a process runs, or has ended, before its lists first count was ordered
 * for an earlier one. */
static void log_worker_up(bh_sched_agent_t *a, const bh_worker_lists_t *lists)
{
	g_autofree char *boot = number_text(lists->boot);
	g_autofree char *active = number_text(lists->n_active);
	g_autofree char *ended = number_text(lists->n_ended);
	g_autofree char *token = number_text(a->poll.token);

	bh_log_event(&a->rt->log, BH_LOG_INFO, "worker is up", "boot", boot,
		     "active", active, "ended", ended, "token", token, NULL);
}

/* @before: boot of the process whose lists counted before */
static void note_boot(bh_sched_agent_t *a, const bh_worker_lists_t *lists,
		      uint64_t before)
{
	if (before && lists->boot != before && !a->is_down)
		note_crash(a, before);
	if (a->is_down || lists->boot != before)
		log_worker_up(a, lists);
	a->is_down = false;
	a->refused_polls = 0;
}

/* A process that announced itself before the poll was sent would have answered
 * it. Another writer's announcement would keep out those of the worker. */
static void drop_false_announcement(bh_sched_agent_t *a)
{
	if (a->info.boot <= bh_fence_boot(a->fence) ||
	    a->poll_sent_at <= a->announced_at)
		return;
	bh_log_event(&a->rt->log, BH_LOG_WARN,
		     "announcement dropped: another process answers", "worker",
		     a->info.id, NULL);
	bh_worker_info_clear(&a->info);
	memset(&a->info, 0, sizeof(a->info));
	a->info_number = 0;
	bh_fence_drop_announcement(a->fence);
}

static void on_poll_failed(bh_sched_agent_t *a, bool is_gone)
{
	bh_fence_poll_lost(a->fence, &a->poll, !is_gone, bh_runtime_now());
	note_failed_poll(a);
	a->poll_timeout_ms = MIN(a->poll_timeout_ms * TRY_TIMEOUT_FACTOR,
				 TRY_TIMEOUT_MAX_MS);
	if (is_gone) {
		note_refused_poll(a);
	} else {
		/* Another process may be up that does not answer. */
		a->is_down = false;
		a->refused_polls = 0;
		send_report(a, NULL);
	}
	schedule_poll(a, a->gone_since && !a->is_down ? POLL_RETRY_GONE_MS
						      : POLL_RETRY_MS);
}

static void on_lists(void *user, const bh_worker_lists_t *lists, bool is_gone,
		     bool is_fenced)
{
	bh_sched_agent_t *a = user;
	uint64_t before = bh_fence_boot(a->fence);

	a->is_polling = false;
	/* Overtaken by a call with a higher token of this agent. */
	if (is_fenced && a->poll.token < bh_fence_token(a->fence)) {
		poll_worker(a);
		return;
	}
	if (is_fenced)
		bh_log_event(&a->rt->log, BH_LOG_WARN, "fenced", NULL);
	if (!lists) {
		on_poll_failed(a, is_gone);
		return;
	}
	a->poll_timeout_ms = TRY_TIMEOUT_MIN_MS;
	if (a->unanswered_polls)
		note_answered_again(a, lists->boot);
	a->unanswered_polls = 0;
	a->answered_at = bh_runtime_now();
	if (!bh_fence_answered(a->fence, &a->poll, lists, a->answered_at,
			       bh_runtime_unix_ms())) {
		poll_worker(a);
		return;
	}
	note_boot(a, lists, before);
	drop_false_announcement(a);
	bh_run_log_listed(a->run_log, lists, bh_runtime_now());
	a->gone_since = 0;
	if (a->poll.is_lease_only && !lists->n_ended) {
		poll_worker(a);
		return;
	}
	send_report(a, lists);
	/* While it lists ends the worker answers at once; a poll before they
	 * are acknowledged would return the same ones. */
	if (lists->n_ended)
		schedule_poll(a,
			      bh_fence_holds_acks(a->fence, a->answered_at) ||
					      !a->leader
				      ? POLL_WAIT_MS
				      : POLL_AFTER_ENDS_MS);
	else
		poll_worker(a);
}

/* Whether the process that last answered is the one that last announced itself.
 */
static bool is_announced(const bh_sched_agent_t *a)
{
	return a->info.id && a->info.boot == bh_fence_boot(a->fence);
}

static void poll_worker(bh_sched_agent_t *a)
{
	const char *worker = is_announced(a) ? a->info.id : NULL;
	bh_runner_lists_request_t call = {
		.worker = worker,
		.timeout_ms = a->poll_timeout_ms,
	};

	if (a->is_polling || a->is_draining || !bh_fence_token(a->fence))
		return;
	event_del(a->poll_timer);
	a->is_polling = true;
	a->poll_sent_at = bh_runtime_now();
	bh_fence_poll(a->fence, worker, a->leader != NULL, a->poll_sent_at,
		      &a->poll);
	a->poll_wait_ms = a->poll.is_immediate ? 0 : POLL_WAIT_MS;
	call.token = a->poll.token;
	call.expires_ms = a->poll.expires_ms;
	call.ack = a->poll.ack;
	call.wait_ms = a->poll_wait_ms;
	bh_runner_lists(a->runner, &call, on_lists, a);
}

static void on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	poll_worker(arg);
}

static void order_free(order_t *o)
{
	g_free(o->task);
	g_free(o->spec);
	g_free(o->checkpoint);
	g_free(o->ticket);
	g_free(o->worker);
	g_free(o);
}

static void send_result(const order_t *o, bh_order_outcome_t outcome)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__OrderResult r = BH__SCHED__ORDER_RESULT__INIT;

	if (!o->agent->leader || o->term != o->agent->term)
		return;
	r.kind = (uint32_t)o->kind;
	r.task = o->task;
	r.attempt = o->attempt;
	r.outcome = outcome;
	r.boot = o->boot;
	if (o->kind == BH_ORDER_KIND_START)
		r.late_ms = bh_fence_start_late_ms(
			o->agent->fence, o->task, o->attempt, bh_runtime_now());
	frame.body_case = BH__SCHED__FRAME__BODY_RESULT;
	frame.result = &r;
	bh_link_send(o->agent->leader, &frame);
}

static void note_start_outcome(bh_sched_agent_t *a, const order_t *o,
			       bh_order_outcome_t outcome)
{
	if (outcome == BH_ORDER_OK)
		bh_run_log_started(a->run_log, o->task, o->attempt,
				   bh_runtime_now());
	else if (outcome != BH_ORDER_UNCLEAR)
		bh_run_log_refused(a->run_log, o->task, o->attempt);
}

static void order_finish(order_t *o, bh_order_outcome_t outcome)
{
	bh_sched_agent_t *a = o->agent;

	if (o->kind == BH_ORDER_KIND_START)
		TAILQ_REMOVE(&a->starting, o, link);
	if (outcome != BH_ORDER_OK) {
		g_autofree char *attempt = g_strdup_printf("%u", o->attempt);

		bh_log_event(&a->rt->log, BH_LOG_INFO, "order failed", "task",
			     o->task, "attempt", attempt, "kind",
			     o->kind == BH_ORDER_KIND_START  ? "start"
			     : o->kind == BH_ORDER_KIND_STOP ? "stop"
							     : "pace",
			     "outcome", bh_order_outcome_name(outcome), NULL);
	}
	if (outcome == BH_ORDER_UNCLEAR)
		a->unclear++;
	if (o->kind == BH_ORDER_KIND_START)
		note_start_outcome(a, o, outcome);
	if (o->kind != BH_ORDER_KIND_PACE)
		send_result(o, outcome);
	a->orders--;
	order_free(o);
}

static void order_send(order_t *o);

/* Whether the process of the worker that began at @boot can be addressed: no
 * other one has announced itself under its address, and there is no sign that
 * it has ended. */
static bool is_addressable(const bh_sched_agent_t *a, uint64_t boot)
{
	return boot == bh_fence_boot(a->fence) && bh_fence_is_bound(a->fence) &&
	       is_announced(a) && !a->is_down && !a->gone_since;
}

static bool is_evacuated(const bh_sched_agent_t *a)
{
	return bh_evacuation_has(a->evacuation, a->info.zone);
}

/* An order that was delayed, or read after a pause of this process, may have
 * been sent before the zone was evacuated. */
static bool is_too_late(const order_t *o)
{
	return o->starts_by_ms &&
	       bh_fence_may_be_past(o->agent->fence, o->starts_by_ms,
				    bh_runtime_now());
}

/* Whether a try of the order may be sent. A leader that has connected since has
 * been told what may still start here, and may have started it elsewhere. */
static bool is_order_wanted(void *user)
{
	const order_t *o = user;

	if (o->kind != BH_ORDER_KIND_START)
		return true;
	return !o->is_superseded && o->connection == o->agent->connections &&
	       is_addressable(o->agent, o->boot) &&
	       o->agent->info.state == BH_WORKER_READY &&
	       !is_evacuated(o->agent) && !is_too_late(o);
}

/* A call of this agent with a higher token has overtaken the order. A stop is
 * sent again; it is not known whether an earlier try of a start was carried
 * out.
 */
static bool is_overtaken(const order_t *o, bh_order_outcome_t outcome)
{
	return outcome == BH_ORDER_FENCED && o->term == o->agent->term &&
	       o->token < bh_fence_token(o->agent->fence);
}

static void on_order_outcome(void *user, bh_order_outcome_t outcome,
			     uint64_t clock_ms)
{
	order_t *o = user;
	bh_sched_agent_t *a = o->agent;
	bool is_again = is_overtaken(o, outcome);

	if (o->kind == BH_ORDER_KIND_START)
		bh_fence_start_ended(a->fence, o->task, o->attempt,
				     outcome != BH_ORDER_UNCLEAR, clock_ms,
				     bh_runtime_now());
	if (outcome == BH_ORDER_UNCLEAR)
		o->was_unclear = true;
	if (outcome == BH_ORDER_UNCLEAR && o->kind == BH_ORDER_KIND_START &&
	    is_evacuated(a))
		a->starts_evacuated++;
	/* A process of the worker runs an attempt at most once, so that it is
	 * safe to repeat the order to the same process. */
	if ((outcome == BH_ORDER_UNCLEAR || is_again) && is_order_wanted(o) &&
	    --o->tries_left > 0) {
		if (!is_again)
			o->timeout_ms = MIN(o->timeout_ms * TRY_TIMEOUT_FACTOR,
					    TRY_TIMEOUT_MAX_MS);
		order_send(o);
		return;
	}
	if (is_again)
		outcome = BH_ORDER_REFUSED;
	if (o->was_unclear && outcome == BH_ORDER_OK &&
	    o->boot == bh_fence_boot(a->fence))
		a->call_lost_at = bh_runtime_now();
	/* A refusal does not tell the outcome of an earlier try that got no
	 * answer. */
	if (o->was_unclear && outcome != BH_ORDER_OK &&
	    outcome != BH_ORDER_OLD && outcome != BH_ORDER_FENCED)
		outcome = BH_ORDER_UNCLEAR;
	order_finish(o, outcome);
}

static void order_send(order_t *o)
{
	bh_sched_agent_t *a = o->agent;
	bh_runner_order_t call = {
		.worker = o->worker,
		.task = o->task,
		.attempt = o->attempt,
		.spec = o->spec,
		.expires_ms = o->expires_ms,
		.checkpoint = o->checkpoint,
		.ticket = o->ticket,
		.percent = o->percent,
		.timeout_ms = o->timeout_ms,
		.is_wanted = is_order_wanted,
	};

	o->token = o->kind == BH_ORDER_KIND_START
			   ? bh_fence_start_sent(a->fence, o->task, o->attempt,
						 o->worker, o->boot,
						 bh_runtime_now())
			   : bh_fence_token(a->fence);
	call.token = o->token;
	if (o->kind == BH_ORDER_KIND_START)
		bh_runner_start(a->runner, &call, on_order_outcome, o);
	else if (o->kind == BH_ORDER_KIND_STOP)
		bh_runner_stop(a->runner, &call, on_order_outcome, o);
	else
		bh_runner_pace(a->runner, &call, on_order_outcome, o);
}

static order_t *order_new(bh_sched_agent_t *a, int kind, const char *task,
			  uint32_t attempt, uint64_t boot)
{
	order_t *o = g_new0(order_t, 1);

	o->agent = a;
	o->kind = kind;
	o->term = a->term;
	o->connection = a->connections;
	o->task = g_strdup(task);
	o->attempt = attempt;
	o->boot = boot;
	o->timeout_ms = TRY_TIMEOUT_MIN_MS;
	o->tries_left = kind == BH_ORDER_KIND_START ? START_TRIES : STOP_TRIES;
	o->worker = g_strdup(a->info.id);
	if (kind == BH_ORDER_KIND_START)
		TAILQ_INSERT_TAIL(&a->starting, o, link);
	a->orders++;
	return o;
}

static void send_ping(bh_sched_agent_t *a, bh_link_t *link);

/* A leader that does not know of the evacuation would order the start again at
 * once: it is told before the outcome. */
static void refuse_evacuated(order_t *o)
{
	bh_sched_agent_t *a = o->agent;

	a->starts_evacuated++;
	if (a->leader)
		send_ping(a, a->leader);
	order_finish(o, BH_ORDER_REFUSED);
}

static void on_start(bh_sched_agent_t *a, const Bh__Sched__StartOrder *m)
{
	order_t *o =
		order_new(a, BH_ORDER_KIND_START, m->task, m->attempt, m->boot);

	o->spec = g_strdup(m->spec);
	o->checkpoint = g_strdup(m->checkpoint);
	o->ticket = g_strdup(m->ticket);
	o->expires_ms = m->expires_ms;
	o->starts_by_ms = m->starts_by_ms;
	if (m->is_repeated) {
		o->tries_left = 1;
		o->timeout_ms = TRY_TIMEOUT_MAX_MS;
	}
	if (is_evacuated(a)) {
		refuse_evacuated(o);
		return;
	}
	if (a->info.state != BH_WORKER_READY || !is_addressable(a, m->boot) ||
	    a->is_draining || !may_start_tasks(a) || is_too_late(o) ||
	    bh_fence_has_expired(a->fence, m->expires_ms, bh_runtime_now())) {
		order_finish(o, BH_ORDER_REFUSED);
		return;
	}
	a->starts++;
	a->is_idle = false;
	bh_run_log_ordered(a->run_log, m->task, m->attempt, bh_runtime_now());
	order_send(o);
}

/* A start may wait here behind orders that the worker does not answer. */
static void supersede_starts(const bh_sched_agent_t *a, const char *task,
			     uint32_t attempt)
{
	order_t *o;

	TAILQ_FOREACH(o, &a->starting, link) {
		if (o->attempt <= attempt && strcmp(o->task, task) == 0)
			o->is_superseded = true;
	}
}

static void on_stop(bh_sched_agent_t *a, const Bh__Sched__StopOrder *m)
{
	order_t *o =
		order_new(a, BH_ORDER_KIND_STOP, m->task, m->attempt, m->boot);

	a->stops++;
	supersede_starts(a, m->task, m->attempt);
	order_send(o);
}

static void on_pace(bh_sched_agent_t *a, const Bh__Sched__PaceOrder *m)
{
	order_t *o =
		order_new(a, BH_ORDER_KIND_PACE, m->task, m->attempt, m->boot);

	o->percent = m->percent;
	order_send(o);
}

static void on_grant(bh_sched_agent_t *a, const Bh__Sched__Grant *m)
{
	uint64_t before = bh_fence_ack(a->fence);

	bh_fence_granted(a->fence, m->boot, m->expires_ms, m->ack);
	if (bh_fence_ack(a->fence) > before)
		poll_worker(a);
}

static void send_ping(bh_sched_agent_t *a, bh_link_t *link)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Ping ping = BH__SCHED__PING__INIT;
	bh_evacuation_frame_t evacuation;

	if (bh_evacuation_version(a->evacuation))
		ping.evacuation = bh_evacuation_to_wire(
			a->evacuation, bh_runtime_now(), &evacuation);

	ping.term = a->term;
	frame.body_case = BH__SCHED__FRAME__BODY_PING;
	frame.ping = &ping;
	bh_link_send(link, &frame);
}

static void note_evacuation(bh_sched_agent_t *a,
			    const Bh__Sched__EvacuationState *state)
{
	uint64_t before = bh_evacuation_changes(a->evacuation);

	if (!a->rt->settings->evacuate_ms)
		return;
	bh_evacuation_from_wire(state, false, bh_runtime_now(), a->evacuation);
	if (bh_evacuation_changes(a->evacuation) != before)
		bh_log_evacuation(&a->rt->log, a->evacuation, "leader");
}

static void on_hello(bh_sched_agent_t *a, bh_link_t *link,
		     const Bh__Sched__Hello *hello)
{
	g_autofree char *term =
		g_strdup_printf("%" G_GUINT64_FORMAT, hello->term);

	if (hello->term < a->term) {
		/* Tells the sender that there is a newer term. */
		send_ping(a, link);
		return;
	}
	if (a->leader && a->leader != link)
		bh_link_free(a->leader);
	a->leader = link;
	a->connections++;
	a->leader_heard_at = bh_runtime_now();
	a->term = hello->term;
	note_evacuation(a, hello->evacuation);
	bh_fence_set_leader(a->fence, hello->term, hello->first_number,
			    (bh_usec_t)hello->lease_ms * BH_USEC_PER_MS);
	bh_log_event(&a->rt->log, BH_LOG_INFO, "leader", "name", hello->leader,
		     "term", term, NULL);
	a->is_crash_sent = false;
	if (a->is_idle || a->is_down)
		send_report(a, NULL);
	poll_worker(a);
}

static void on_late_starts(bh_sched_agent_t *a, const Bh__Sched__LateStarts *m)
{
	g_autofree char *n = number_text(m->n_starts);

	for (size_t i = 0; i < m->n_starts; i++) {
		const Bh__Sched__LateStart *s = m->starts[i];

		bh_fence_note_late_start(
			a->fence, s->task, s->attempt, s->worker,
			bh_runtime_now() + MIN(s->left_ms * BH_USEC_PER_MS,
					       BH_LATE_CALL_MAX_US));
	}
	bh_log_event(&a->rt->log, BH_LOG_INFO,
		     "starts of an earlier process may come late", "starts", n,
		     NULL);
}

static void on_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	bh_sched_agent_t *a = ctx;

	if (frame->body_case == BH__SCHED__FRAME__BODY_HELLO) {
		on_hello(a, link, frame->hello);
		return;
	}
	if (link != a->leader)
		return;
	a->leader_heard_at = bh_runtime_now();
	switch (frame->body_case) {
	case BH__SCHED__FRAME__BODY_GRANT:
		on_grant(a, frame->grant);
		break;
	case BH__SCHED__FRAME__BODY_LATE_STARTS:
		on_late_starts(a, frame->late_starts);
		break;
	case BH__SCHED__FRAME__BODY_START:
		on_start(a, frame->start);
		break;
	case BH__SCHED__FRAME__BODY_STOP:
		on_stop(a, frame->stop);
		break;
	case BH__SCHED__FRAME__BODY_PACE:
		on_pace(a, frame->pace);
		break;
	case BH__SCHED__FRAME__BODY_PING:
		note_evacuation(a, frame->ping->evacuation);
		break;
	default:
		break;
	}
}

static void on_opened(void *ctx, bh_link_t *link)
{
	(void)ctx;
	(void)link;
}

static void on_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	bh_sched_agent_t *a = ctx;

	(void)is_refused;
	if (a->leader != link)
		return;
	a->leader = NULL;
	bh_log_event(&a->rt->log, BH_LOG_WARN,
		     "connection to the leader closed", NULL);
}

static void on_accepted(void *ctx, bh_link_t *link)
{
	(void)ctx;
	(void)link;
}

static const bh_link_ops_t link_ops = {
	.frame = on_frame,
	.opened = on_opened,
	.closed = on_closed,
};

static bool is_newer(const bh_sched_agent_t *a, const bh_announcement_t *n)
{
	if (n->info.boot != a->info.boot)
		return n->info.boot > a->info.boot;
	return n->number > a->info_number;
}

static void apply_announcement(bh_sched_agent_t *a, bh_announcement_t *n)
{
	bool is_changed =
		n->info.state != a->info.state || n->info.boot != a->info.boot;

	bh_worker_info_clear(&a->info);
	a->info = n->info;
	a->info_number = n->number;
	a->announced_at = bh_runtime_now();
	bh_fence_announced(a->fence, a->info.id, a->info.boot);
	if (!is_changed)
		return;
	bh_log_event(&a->rt->log, BH_LOG_INFO, "worker announced", "worker",
		     a->info.id, "state", bh_worker_state_name(a->info.state),
		     NULL);
	if (bh_fence_boot(a->fence) == a->info.boot)
		send_report(a, NULL);
	else
		poll_worker(a);
}

static void on_instance_put(bh_sched_agent_t *a, struct evhttp_request *req,
			    const char *id)
{
	GBytes *body = bh_http_take_body(req);
	gsize len = 0;
	const void *data = body ? g_bytes_get_data(body, &len) : NULL;
	bh_announcement_t n;

	if (!bh_decode_announcement(id, data, len, &n)) {
		bh_log_event(&a->rt->log, BH_LOG_WARN,
			     "cannot decode the worker's announcement",
			     "worker", id, NULL);
		bh_http_reply_text(req, 400, "text/plain", "not understood\n");
	} else {
		if (is_newer(a, &n))
			apply_announcement(a, &n);
		else
			bh_worker_info_clear(&n.info);
		bh_http_reply_text(req, 200, "application/json", "{}");
	}
	if (body)
		g_bytes_unref(body);
}

static void on_instance_delete(bh_sched_agent_t *a, struct evhttp_request *req,
			       const char *id)
{
	/* It names no process. One that has not announced that it drains does
	 * not leave: the call is an earlier one's, and late. */
	if (g_strcmp0(id, a->info.id) == 0 &&
	    a->info.state == BH_WORKER_DRAINING) {
		a->info.leaves_ms = 0;
		bh_log_event(&a->rt->log, BH_LOG_INFO, "worker deregistered",
			     "worker", id, NULL);
		send_report(a, NULL);
	}
	bh_http_reply_text(req, 200, "application/json", "{}");
}

static void on_http(struct evhttp_request *req, void *arg)
{
	bh_sched_agent_t *a = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);

	if (!path || !g_str_has_prefix(path, INSTANCES_PATH)) {
		bh_http_reply_text(req, 404, "text/plain", "no such path\n");
		return;
	}
	path += strlen(INSTANCES_PATH);
	if (method == EVHTTP_REQ_PUT)
		on_instance_put(a, req, path);
	else if (method == EVHTTP_REQ_DELETE)
		on_instance_delete(a, req, path);
	else
		bh_http_reply_text(req, 404, "text/plain", "no such call\n");
}

static int check_http(void *arg, const bh_http_scan_t *head)
{
	(void)arg;
	return g_str_has_prefix(head->path, INSTANCES_PATH) ? 0 : 404;
}

static void on_metrics(struct evhttp_request *req, void *arg)
{
	bh_sched_agent_t *a = arg;
	GString *out = g_string_new(NULL);

	bh_metrics_value(out, "boragehold_agent_starts_total", NULL,
			 (double)a->starts);
	bh_metrics_value(out, "boragehold_agent_stops_total", NULL,
			 (double)a->stops);
	bh_metrics_value(out, "boragehold_agent_unclear_total", NULL,
			 (double)a->unclear);
	bh_metrics_value(out, "boragehold_agent_starts_evacuated_total", NULL,
			 (double)a->starts_evacuated);
	bh_metrics_evacuation(out, a->evacuation);
	bh_metrics_value(out, "boragehold_agent_polls_unanswered_total", NULL,
			 (double)a->polls_unanswered);
	bh_metrics_value(out, "boragehold_agent_led", NULL, a->leader ? 1 : 0);
	bh_metrics_value(out, "boragehold_log_lines_dropped_total", NULL,
			 (double)a->rt->log.dropped);
	bh_http_guard_metrics(a->rt, out);
	bh_metrics_reply(req, out);
}

/* The leader of an earlier term learns of its successor when it dials again. */
static void learn_term(bh_sched_agent_t *a, uint64_t term)
{
	if (term <= a->term)
		return;
	a->term = term;
	if (!a->leader)
		return;
	send_ping(a, a->leader);
	bh_link_free(a->leader);
	a->leader = NULL;
	bh_log_event(&a->rt->log, BH_LOG_WARN, "the store names a later leader",
		     NULL);
}

static void on_term_read(void *user, const bh_store_reply_t *reply)
{
	bh_sched_agent_t *a = user;
	const bh_store_row_t *row =
		bh_store_row(reply, BH_TABLE_LEADER, BH_KEY_LEADER);
	bh_leader_row_t found = {0};

	a->is_reading_term = false;
	if (reply->status != BH_STORE_OK || a->term_read_at < a->registered_at)
		return;
	a->knows_term = true;
	/* Another writer's row tells no term. */
	if (row && bh_leader_row_unpack(row->value, row->len, &found) &&
	    bh_term_row_is_usable(&found))
		learn_term(a, found.term);
	bh_leader_row_clear(&found);
	if (a->is_idle || a->is_down)
		send_report(a, NULL);
}

static void read_term(bh_sched_agent_t *a)
{
	a->is_reading_term = true;
	a->term_read_at = bh_runtime_now();
	bh_store_list(a->store, BH_TABLE_LEADER, "", BH_KEY_LEADER, 1,
		      TERM_READ_TIMEOUT_MS, on_term_read, a);
}

static bool must_read_term(const bh_sched_agent_t *a, bh_usec_t now)
{
	return a->is_registered && !a->knows_term && !a->is_reading_term &&
	       now - a->term_read_at > TERM_READ_RETRY_US;
}

static void register_self(bh_sched_agent_t *a);

/* Return: version of this agent's row as a refused write shows it, 0: none. */
static uint64_t found_version(const bh_sched_agent_t *a,
			      const bh_store_reply_t *reply)
{
	const bh_store_row_t *row = bh_store_row(
		reply, BH_TABLE_AGENTS, a->rt->settings->listen_frames);

	return row ? row->version : 0;
}

static void on_registered(void *user, const bh_store_reply_t *reply)
{
	bh_sched_agent_t *a = user;
	bh_usec_t now = bh_runtime_now();

	a->is_registering = false;
	if (reply->status == BH_STORE_OK) {
		/* If there was no row, no leader can have known of this host,
		 * so none can have started work here. */
		if (a->row_version == 0 && a->starts == 0) {
			a->is_idle = true;
			bh_fence_note_new_host(a->fence);
		}
		/* A leader that was elected while there was no row does not
		 * know of this host. */
		if (a->row_version == 0)
			a->knows_term = false;
		a->row_version = reply->version;
		a->registered_at = now;
		a->is_registered = true;
		if (!a->knows_term && !a->is_reading_term)
			read_term(a);
		return;
	}
	if (reply->status == BH_STORE_CONFLICT &&
	    found_version(a, reply) != a->row_version) {
		a->row_version = found_version(a, reply);
		register_self(a);
		return;
	}
	a->registered_at = now - REGISTER_INTERVAL_US + REGISTER_RETRY_US;
	bh_log_event(&a->rt->log, BH_LOG_WARN, "registration failed", "outcome",
		     bh_store_status_name(reply->status), NULL);
}

/* The row is written again if there is one: an earlier process's removal of it
 * that is carried out late has another version as its condition. */
static void register_self(bh_sched_agent_t *a)
{
	const bh_settings_t *set = a->rt->settings;

	a->is_registering = true;
	bh_store_put(a->store, BH_TABLE_AGENTS,
		     bh_table_part(BH_TABLE_AGENTS, set->listen_frames),
		     set->listen_frames, a->row_version, set->name,
		     strlen(set->name), REGISTER_TIMEOUT_MS, on_registered, a);
}

static void on_deregistered(void *user, const bh_store_reply_t *reply)
{
	bh_sched_agent_t *a = user;

	a->is_deregistered = true;
	bh_log_event(&a->rt->log, BH_LOG_INFO, "agent row removed", "outcome",
		     bh_store_status_name(reply->status), NULL);
}

/* For a worker that has ended, on which nothing runs. Without the row the next
 * leader does not wait for leases on this host to expire. */
static void deregister(bh_sched_agent_t *a)
{
	bh_store_tx_t *tx = bh_store_tx_new();
	const char *key = a->rt->settings->listen_frames;

	a->is_deregistering = true;
	bh_store_tx_check(tx, BH_TABLE_AGENTS,
			  bh_table_part(BH_TABLE_AGENTS, key), key,
			  a->row_version);
	bh_store_tx_delete(tx, BH_TABLE_AGENTS,
			   bh_table_part(BH_TABLE_AGENTS, key), key);
	bh_store_commit(a->store, tx, REGISTER_TIMEOUT_MS, on_deregistered, a);
}

static void tick_draining(bh_sched_agent_t *a, bh_usec_t now)
{
	bool is_late = now - a->drain_since > DRAIN_MAX_US;

	if (a->orders == 0 && a->is_down && !a->is_registering &&
	    !a->is_deregistering)
		deregister(a);
	if (is_late || (a->orders == 0 && !a->is_registering &&
			(!a->is_deregistering || a->is_deregistered)))
		event_base_loopexit(a->rt->base, NULL);
}

/* A leader that is connected knows of this agent, but gives it no work before
 * its row exists. */
static bool must_register(const bh_sched_agent_t *a, bh_usec_t now)
{
	bh_usec_t since = a->registered_at;

	if (a->is_registering)
		return false;
	if (a->is_registered)
		since = MAX(since, a->leader_heard_at);
	return since == 0 || now - since > REGISTER_INTERVAL_US;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	bh_sched_agent_t *a = arg;
	bh_usec_t now = bh_runtime_now();

	(void)fd;
	(void)what;
	if (a->is_draining) {
		tick_draining(a, now);
		return;
	}
	if (a->leader && now - bh_link_heard_at(a->leader) > LINK_TIMEOUT_US) {
		bh_link_free(a->leader);
		a->leader = NULL;
		bh_log_event(&a->rt->log, BH_LOG_WARN, "leader timed out",
			     NULL);
	}
	if (a->leader && now - a->pinged_at > PING_INTERVAL_US) {
		a->pinged_at = now;
		send_ping(a, a->leader);
	}
	if (must_register(a, now))
		register_self(a);
	if (must_read_term(a, now))
		read_term(a);
}

bh_sched_agent_t *bh_sched_agent_start(bh_runtime_t *rt)
{
	const bh_settings_t *set = rt->settings;
	bh_sched_agent_t *a = g_new0(bh_sched_agent_t, 1);

	a->rt = rt;
	a->process = (uint64_t)g_random_int() << 32 | g_random_int() | 1;
	a->started_at = bh_runtime_now();
	a->scratch = g_byte_array_new();
	TAILQ_INIT(&a->starting);
	a->run_log = bh_run_log_new();
	a->evacuation = bh_evacuation_new();
	a->fence = bh_fence_new((bh_usec_t)set->lease_max_ms * BH_USEC_PER_MS,
				bh_runtime_now());
	a->poll_timeout_ms = TRY_TIMEOUT_MIN_MS;
	a->store = bh_store_new(rt->base, set->store);
	a->runner = bh_runner_new(rt->base, set->worker);
	a->poll_timer = event_new(rt->base, -1, 0, on_poll_timer, a);
	a->acceptor = bh_link_listen(rt, set->listen_frames, &link_ops, a,
				     on_accepted);
	a->http = bh_http_listen_guarded(rt, set->listen_http, on_http, a,
					 false, check_http, NULL);
	if (*set->metrics)
		a->metrics =
			bh_http_listen_guarded(rt, set->metrics, on_metrics, a,
					       true, bh_http_refuse_body, NULL);
	if (!a->acceptor || !a->http || (*set->metrics && !a->metrics)) {
		bh_sched_agent_free(a);
		return NULL;
	}
	a->tick = bh_runtime_every(rt, TICK_MS, on_tick, a);
	register_self(a);
	return a;
}

void bh_sched_agent_free(bh_sched_agent_t *a)
{
	bh_link_free(a->leader);
	if (a->tick)
		event_free(a->tick);
	event_free(a->poll_timer);
	if (a->acceptor)
		bh_acceptor_free(a->acceptor);
	if (a->http)
		evhttp_free(a->http);
	if (a->metrics)
		evhttp_free(a->metrics);
	bh_runner_free(a->runner);
	bh_store_free(a->store);
	bh_worker_info_clear(&a->info);
	bh_run_log_free(a->run_log);
	bh_evacuation_free(a->evacuation);
	bh_fence_free(a->fence);
	bh_crash_clear(&a->crash);
	g_byte_array_free(a->scratch, TRUE);
	g_free(a);
}

void bh_sched_agent_drain(bh_sched_agent_t *a)
{
	a->is_draining = true;
	a->drain_since = bh_runtime_now();
}
