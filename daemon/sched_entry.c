#include "daemon/sched_entry.h"
#include "daemon/drain.h"
#include "daemon/hub.h"
#include "daemon/metrics.h"
#include "daemon/tables.h"
#include "platform/decode.h"
#include "sched/admit.h"
#include "sched/breaker.h"

/* Largest row of a job: a cancellation adds a field of two bytes. */
#define JOB_ROW_BYTES_MAX (BH_STORE_ROW_BYTES_MAX - 2)

/* Calls to the store for one request, at most, while the caller waits. */
#define STORE_TRIES 4

/* Timeout of one call, which a slow store does not exceed, and the delay before
 * the next, which is multiplied by the number of calls. */
#define STORE_TIMEOUT_MS 900
#define STORE_RETRY_MS	 ((int64_t)60)

/* Reserved before a caller's deadline for sending the reply. */
#define REPLY_MARGIN_US (150 * BH_USEC_PER_MS)

/* Reads that probe whether the store has recovered. A probe is sent without
 * waiting for the last one: what was sent to a store that did not respond may
 * get no answer after it has recovered. */
#define PROBE_TIMEOUT_MS 1200
#define PROBES_MAX	 8

/* A write with an unknown outcome may still be stored for this long, in which
 * its job must not be reported as refused, and how many are remembered. */
#define UNCLEAR_KEEP_US (30 * BH_USEC_PER_SEC)
#define UNCLEAR_MAX	4096

/* For requests without X-Deadline-Ms. */
#define DEADLINE_DEFAULT_MS 3000

/* Retry-After while the store is unavailable: long enough for it to recover,
 * short enough for a caller to retry before it gives up. */
#define STORE_DOWN_RETRY_AFTER_MS 1000

/* Share of stop_within_s, the time until the process is killed, after which it
 * exits by itself. */
#define DRAIN_SHARE 0.9
#define TICK_MS	    100

/* Number of queues, the first ones seen, that get a latency histogram. */
#define QUEUES_MAX 256

/**
 * struct pending - a caller's request
 * @req: NULL once it is answered or the caller has disconnected
 * @tried_at: when the last call to the store began
 * @is_unclear: the outcome of a write is unknown
 * @is_calling: a submission waits for the store's answer
 * @is_answered: the caller has its reply; only the store's answer is awaited
 * @row: the job as it is written to the store
 */
typedef struct pending {
	TAILQ_ENTRY(pending) link;
	bh_sched_entry_t *entry;
	struct evhttp_request *req;
	char id[BH_JOB_ID_LEN + 1];
	char *queue;
	bh_usec_t began_at;
	bh_usec_t deadline;
	bh_usec_t tried_at;
	int tries;
	bool is_unclear;
	bool is_cancel;
	bool is_submission;
	bool is_calling;
	bool is_answered;
	GBytes *row;
	uint64_t version;
	bh_job_state_t state;
	struct event *retry_timer;
} pending_t;

typedef TAILQ_HEAD(pendings, pending) pendings_t;

/**
 * struct probe - a read that probes whether the store has recovered
 * @began_at: 0 if it is not in flight
 */
typedef struct probe {
	bh_sched_entry_t *entry;
	bh_usec_t began_at;
} probe_t;

/**
 * struct bh_sched_entry - an entry
 * @submissions: submissions in flight
 * @unclear: ids of jobs whose write has an unknown outcome, with the time
 * @answers: number of replies by status / 100
 * @latency: histograms by queue
 */
struct bh_sched_entry {
	bh_runtime_t *rt;
	bh_store_t *store;
	bh_hub_t *hub;
	bh_breaker_t breaker;
	probe_t probes[PROBES_MAX];
	pendings_t submissions;
	GHashTable *unclear;
	struct evhttp *front;
	struct evhttp *ready;
	struct evhttp *metrics;
	struct event *tick;
	bool is_draining;
	bh_drain_t drain;
	uint64_t answers[6];
	uint64_t accepted;
	uint64_t refused;
	uint64_t cancelled;
	GHashTable *latency;
};

static void submit(pending_t *p);
static void cancel_read(pending_t *p);
static void state_from_store(pending_t *p);

static void on_client_gone(struct evhttp_connection *conn, void *arg)
{
	pending_t *p = arg;

	(void)conn;
	p->req = NULL;
}

static pending_t *pending_new(bh_sched_entry_t *e, struct evhttp_request *req,
			      const char *id, const char *queue)
{
	const char *deadline = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Deadline-Ms");
	guint64 ms = DEADLINE_DEFAULT_MS;
	pending_t *p = g_new0(pending_t, 1);

	if (deadline)
		g_ascii_string_to_unsigned(deadline, 10, 1, 600000, &ms, NULL);
	p->entry = e;
	p->req = req;
	p->began_at = bh_runtime_now();
	p->deadline = p->began_at + (bh_usec_t)ms * BH_USEC_PER_MS;
	p->queue = g_strdup(queue);
	g_strlcpy(p->id, id, sizeof(p->id));
	e->drain.in_flight++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_client_gone, p);
	return p;
}

static void note_latency(bh_sched_entry_t *e, const char *queue, bh_usec_t us)
{
	bh_hist_t *hist = g_hash_table_lookup(e->latency, queue);

	if (!hist && g_hash_table_size(e->latency) < QUEUES_MAX) {
		hist = g_new0(bh_hist_t, 1);
		g_hash_table_insert(e->latency, g_strdup(queue), hist);
	}
	if (hist)
		bh_hist_add(hist, us);
}

static void log_answer(const pending_t *p, int status, const char *why)
{
	bh_sched_entry_t *e = p->entry;
	const bh_config_t *config = bh_hub_config(e->hub);
	char detail[256];

	g_snprintf(detail, sizeof(detail),
		   "queue=%s status=%d took_ms=%" G_GINT64_FORMAT
		   " tries=%d config=%" G_GUINT64_FORMAT " why=%s",
		   p->queue, status, (bh_runtime_now() - p->began_at) / 1000,
		   p->tries, config ? config->version : 0, why);
	bh_log_pairs(&e->rt->log, BH_LOG_INFO,
		     p->is_cancel ? "cancel answered" : "submission answered",
		     p->id, detail);
}

static void reply(struct evhttp_request *req, bh_sched_entry_t *e, int status,
		  char *body, uint64_t retry_ms)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	e->answers[CLAMP(status / 100, 0, 5)]++;
	if (retry_ms) {
		g_autofree char *seconds = g_strdup_printf(
			"%" G_GUINT64_FORMAT, (retry_ms + 999) / 1000);

		evhttp_add_header(headers, "Retry-After", seconds);
	}
	if (e->is_draining)
		evhttp_add_header(headers, "Connection", "close");
	bh_http_reply_text(req, status, "application/json", body);
	e->drain.answered_at = bh_runtime_now();
	g_free(body);
}

static void answer(pending_t *p, int status, char *body, uint64_t retry_ms)
{
	bh_sched_entry_t *e = p->entry;

	note_latency(e, p->queue, bh_runtime_now() - p->began_at);
	p->is_answered = true;
	if (p->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(p->req), NULL, NULL);
		reply(p->req, e, status, body, retry_ms);
		p->req = NULL;
	} else {
		g_free(body);
	}
}

static void pending_free(pending_t *p)
{
	bh_sched_entry_t *e = p->entry;

	if (p->is_submission)
		TAILQ_REMOVE(&e->submissions, p, link);
	e->drain.in_flight--;
	if (p->retry_timer)
		event_free(p->retry_timer);
	if (p->row)
		g_bytes_unref(p->row);
	g_free(p->queue);
	g_free(p);
}

static void finish(pending_t *p, int status, char *body, uint64_t retry_ms)
{
	answer(p, status, body, retry_ms);
	pending_free(p);
}

static void finish_error(pending_t *p, int status, const char *why,
			 uint64_t retry_ms)
{
	finish(p, status, bh_encode_error(why), retry_ms);
}

static void remember_unclear(bh_sched_entry_t *e, const char *id)
{
	bh_usec_t *at;

	if (g_hash_table_size(e->unclear) >= UNCLEAR_MAX)
		return;
	at = g_new(bh_usec_t, 1);
	*at = bh_runtime_now();
	g_hash_table_replace(e->unclear, g_strdup(id), at);
}

static gboolean is_unclear_expired(gpointer id, gpointer at, gpointer now)
{
	(void)id;
	return *(bh_usec_t *)now - *(bh_usec_t *)at > UNCLEAR_KEEP_US;
}

/* A write with an unknown outcome is answered by 504 and never by 503, which
 * would mean that the job cannot run. */
static void answer_unavailable(pending_t *p)
{
	bool is_unclear = p->is_unclear || p->is_calling ||
			  g_hash_table_contains(p->entry->unclear, p->id);
	int status = is_unclear ? 504 : 503;
	const char *why = is_unclear
				  ? "the store has not said whether it is done"
				  : "the store takes no calls";

	if (is_unclear)
		remember_unclear(p->entry, p->id);
	log_answer(p, status, why);
	answer(p, status, bh_encode_error(why), STORE_DOWN_RETRY_AFTER_MS);
}

static void give_up(pending_t *p)
{
	answer_unavailable(p);
	pending_free(p);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	pending_t *p = arg;

	(void)fd;
	(void)what;
	if (p->is_cancel)
		cancel_read(p);
	else
		submit(p);
}

static void log_breaker(bh_sched_entry_t *e, const char *outcome)
{
	bh_log_event(&e->rt->log,
		     e->breaker.is_open ? BH_LOG_WARN : BH_LOG_INFO,
		     e->breaker.is_open ? "rejecting submissions"
					: "accepting submissions again",
		     "outcome", outcome, NULL);
}

/* Passes the outcome of a call on to the circuit breaker. */
static void note_store(const pending_t *p, const bh_store_reply_t *reply)
{
	bh_sched_entry_t *e = p->entry;
	bool is_ok = reply->status == BH_STORE_OK ||
		     reply->status == BH_STORE_CONFLICT;

	if (bh_breaker_record(&e->breaker, is_ok, p->tried_at,
			      bh_runtime_now()))
		log_breaker(e, bh_store_status_name(reply->status));
}

static void retry(pending_t *p)
{
	struct timeval delay = {0, p->tries * STORE_RETRY_MS * 1000};
	bool is_store_down = p->entry->breaker.is_open && !p->is_cancel;

	if (p->is_answered) {
		pending_free(p);
		return;
	}
	if (is_store_down || p->tries >= STORE_TRIES || !p->req ||
	    bh_runtime_now() + p->tries * STORE_RETRY_MS * BH_USEC_PER_MS >
		    p->deadline - REPLY_MARGIN_US) {
		give_up(p);
		return;
	}
	if (!p->retry_timer)
		p->retry_timer =
			event_new(p->entry->rt->base, -1, 0, on_retry_timer, p);
	event_add(p->retry_timer, &delay);
}

static int64_t try_timeout_ms(const pending_t *p)
{
	int64_t left =
		(p->deadline - REPLY_MARGIN_US - bh_runtime_now()) / 1000;

	return CLAMP(left, 50, STORE_TIMEOUT_MS);
}

static void job_stored(pending_t *p, const char *why)
{
	gsize len;
	const void *data = g_bytes_get_data(p->row, &len);

	bh_hub_notify_job(p->entry->hub, data, len);
	if (p->is_cancel)
		p->entry->cancelled++;
	else
		p->entry->accepted++;
	if (p->is_answered) {
		log_answer(p, 504, "stored after the reply");
		pending_free(p);
		return;
	}
	log_answer(p, 200, why);
	finish(p, 200, g_strdup("{}"), 0);
}

/* The first submission of an id wins, whether an earlier try of this request or
 * another request. */
static void already_stored(pending_t *p, const bh_store_reply_t *reply)
{
	if (reply->n_rows && reply->rows[0].len) {
		g_bytes_unref(p->row);
		p->row = g_bytes_new(reply->rows[0].value, reply->rows[0].len);
	}
	job_stored(p, "already stored");
}

static void on_stored(void *user, const bh_store_reply_t *reply)
{
	pending_t *p = user;

	p->is_calling = false;
	note_store(p, reply);
	switch (reply->status) {
	case BH_STORE_OK:
		job_stored(p, "stored");
		break;
	case BH_STORE_CONFLICT:
		if (p->is_cancel)
			retry(p);
		else
			already_stored(p, reply);
		break;
	case BH_STORE_UNKNOWN:
		p->is_unclear = true;
		retry(p);
		break;
	default:
		retry(p);
		break;
	}
}

static void submit(pending_t *p)
{
	p->tries++;
	p->is_calling = true;
	p->tried_at = bh_runtime_now();
	bh_relay_put(bh_hub_relay(p->entry->hub), BH_TABLE_JOBS, p->id, 0,
		     p->row, try_timeout_ms(p), on_stored, p);
}

static void set_queue_terms(bh_job_t *job, const bh_queue_t *queue,
			    const char *id)
{
	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup(queue->name);
	job->accepted_ms = bh_runtime_unix_ms();
	job->terms.service = g_strdup(queue->service);
	job->terms.priority = queue->priority;
	job->terms.max_attempts = queue->max_attempts;
	job->terms.slack_percent = (uint32_t)(queue->slack_factor * 100);
	job->terms.target_ms = queue->target_ms;
}

/* Return: true if the job was refused and the request answered. */
static bool refuse_if_late(pending_t *p, const bh_job_t *job)
{
	const bh_backlog_t *loads;
	int64_t age;
	uint32_t n = bh_hub_loads(p->entry->hub, &loads, &age);
	g_autofree bh_step_t *steps =
		bh_predictions_apply(bh_hub_predictions(p->entry->hub), job);
	bh_job_t predicted = *job;
	uint64_t retry_ms;

	predicted.steps = steps;

	/* A job that may be stored already must not be refused. */
	if (g_hash_table_contains(p->entry->unclear, p->id) ||
	    bh_admit(&predicted, loads, n, age, &retry_ms))
		return false;
	p->entry->refused++;
	log_answer(p, 429, "it would end too late to count");
	finish_error(p, 429, "it would end too late to count",
		     retry_ms + (uint64_t)g_random_int_range(0, 1000));
	return true;
}

static void on_post(bh_sched_entry_t *e, struct evhttp_request *req,
		    const bh_queue_t *queue, const char *id)
{
	GBytes *body = bh_http_take_body(req);
	gsize len = 0;
	const void *data = body ? g_bytes_get_data(body, &len) : NULL;
	const char *error;
	bh_job_t *job = bh_decode_job(data, len, &error);
	pending_t *p;
	GBytes *row;

	if (body)
		g_bytes_unref(body);
	if (!job) {
		reply(req, e, 400, bh_encode_error(error), 0);
		return;
	}
	set_queue_terms(job, queue, id);
	row = bh_job_pack(job);
	/* The store would refuse it each time, which is not for the load. */
	if (g_bytes_get_size(row) > JOB_ROW_BYTES_MAX) {
		reply(req, e, 400,
		      bh_encode_error("the job is larger than a row of the "
				      "store, 65536 bytes"),
		      0);
		g_bytes_unref(row);
		bh_job_free(job);
		return;
	}
	p = pending_new(e, req, id, queue->name);
	p->is_submission = true;
	p->row = row;
	TAILQ_INSERT_TAIL(&e->submissions, p, link);
	if (!bh_breaker_allows(&e->breaker))
		give_up(p);
	else if (!refuse_if_late(p, job))
		submit(p);
	bh_job_free(job);
}

static void cancel_write(pending_t *p, const bh_store_row_t *row)
{
	bh_job_t *job = bh_job_unpack(row->value, row->len);

	if (!job) {
		log_answer(p, 500, "the stored job cannot be read");
		finish_error(p, 500, "the stored job cannot be read", 0);
		return;
	}
	if (p->row)
		g_bytes_unref(p->row);
	if (job->is_cancelled) {
		bh_job_free(job);
		p->row = g_bytes_new(row->value, row->len);
		job_stored(p, "already stored");
		return;
	}
	job->is_cancelled = true;
	p->row = bh_job_pack(job);
	bh_job_free(job);
	bh_relay_put(bh_hub_relay(p->entry->hub), BH_TABLE_JOBS, p->id,
		     row->version, p->row, try_timeout_ms(p), on_stored, p);
}

static void on_cancel_read(void *user, const bh_store_reply_t *reply)
{
	pending_t *p = user;
	const bh_store_row_t *row = bh_store_row(reply, BH_TABLE_JOBS, p->id);

	if (reply->status != BH_STORE_OK) {
		retry(p);
	} else if (!row) {
		log_answer(p, 410, "no such job");
		finish_error(p, 410, "no such job", 0);
	} else {
		cancel_write(p, row);
	}
}

static void cancel_read(pending_t *p)
{
	p->tries++;
	p->tried_at = bh_runtime_now();
	bh_relay_get(bh_hub_relay(p->entry->hub), BH_TABLE_JOBS, p->id,
		     try_timeout_ms(p), on_cancel_read, p);
}

static void on_delete(bh_sched_entry_t *e, struct evhttp_request *req,
		      const bh_queue_t *queue, const char *id)
{
	pending_t *p = pending_new(e, req, id, queue->name);

	p->is_cancel = true;
	cancel_read(p);
}

static void on_progress_read(void *user, const bh_store_reply_t *reply)
{
	pending_t *p = user;
	const bh_store_row_t *row =
		bh_store_row(reply, BH_TABLE_PROGRESS, p->id);
	bh_progress_t *progress =
		row ? bh_progress_unpack(row->value, row->len) : NULL;
	bh_job_state_t state = p->state;

	if (reply->status != BH_STORE_OK || (row && !progress)) {
		finish_error(p, 503, "the store takes no calls",
			     STORE_DOWN_RETRY_AFTER_MS);
		return;
	}
	if (progress && progress->state >= BH_JOB_COMPLETED)
		state = progress->state;
	else if (progress && state == BH_JOB_QUEUED)
		state = BH_JOB_RUNNING;
	bh_progress_free(progress);
	finish(p, 200, bh_encode_state(state), 0);
}

static void on_job_read(void *user, const bh_store_reply_t *reply)
{
	pending_t *p = user;
	const bh_store_row_t *row = bh_store_row(reply, BH_TABLE_JOBS, p->id);
	bh_job_t *job;

	if (reply->status != BH_STORE_OK) {
		finish_error(p, 503, "the store takes no calls",
			     STORE_DOWN_RETRY_AFTER_MS);
		return;
	}
	job = row ? bh_job_unpack(row->value, row->len) : NULL;
	if (!job) {
		finish_error(p, 410, "no such job", 0);
		return;
	}
	p->state = job->is_cancelled ? BH_JOB_CANCELLED : BH_JOB_QUEUED;
	bh_job_free(job);
	bh_relay_get(bh_hub_relay(p->entry->hub), BH_TABLE_PROGRESS, p->id,
		     try_timeout_ms(p), on_progress_read, p);
}

static void state_from_store(pending_t *p)
{
	bh_relay_get(bh_hub_relay(p->entry->hub), BH_TABLE_JOBS, p->id,
		     try_timeout_ms(p), on_job_read, p);
}

static void on_state(void *user, bool is_answered, bh_job_state_t state,
		     uint32_t pending)
{
	pending_t *p = user;

	(void)pending;
	if (is_answered && state != BH_JOB_UNKNOWN)
		finish(p, 200, bh_encode_state(state), 0);
	else
		state_from_store(p);
}

static void on_pending(void *user, bool is_answered, bh_job_state_t state,
		       uint32_t pending)
{
	pending_t *p = user;

	(void)state;
	if (is_answered)
		finish(p, 200, bh_encode_pending(pending), 0);
	else
		finish_error(p, 503, "no leader answers",
			     STORE_DOWN_RETRY_AFTER_MS);
}

static void on_get(bh_sched_entry_t *e, struct evhttp_request *req,
		   const bh_queue_t *queue, const char *id)
{
	pending_t *p = pending_new(e, req, id, queue->name);

	if (*id)
		bh_hub_query_state(e->hub, id, on_state, p);
	else
		bh_hub_query_pending(e->hub, queue->name, on_pending, p);
}

static void route(bh_sched_entry_t *e, struct evhttp_request *req,
		  const bh_queue_t *queue, const char *id)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_POST:
		on_post(e, req, queue, id);
		break;
	case EVHTTP_REQ_DELETE:
		on_delete(e, req, queue, id);
		break;
	default:
		on_get(e, req, queue, id);
		break;
	}
}

static void on_front(struct evhttp_request *req, void *arg)
{
	bh_sched_entry_t *e = arg;
	const bh_config_t *config = bh_hub_config(e->hub);
	const char *host = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Host");
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const bh_queue_t *queue;
	const char *id;

	if (!config) {
		reply(req, e, 503, bh_encode_error("no configuration yet"),
		      STORE_DOWN_RETRY_AFTER_MS);
		return;
	}
	queue = host && path ? bh_config_match(config, host, path) : NULL;
	if (!queue) {
		reply(req, e, 404, bh_encode_error("no such queue"), 0);
		return;
	}
	id = path + strlen(queue->prefix);
	if (*id ? !bh_job_id_is_valid(id)
		: evhttp_request_get_command(req) != EVHTTP_REQ_GET) {
		reply(req, e, 400,
		      bh_encode_error("an id has 16 hexadecimal digits"), 0);
		return;
	}
	route(e, req, queue, id);
}

static void on_ready(struct evhttp_request *req, void *arg)
{
	bh_sched_entry_t *e = arg;
	bool is_ready = !e->is_draining && bh_hub_config(e->hub);

	bh_http_reply_text(req, is_ready ? 200 : 503, "text/plain",
			   is_ready	    ? "ready\n"
			   : e->is_draining ? "draining\n"
					    : "no configuration yet\n");
}

static void on_metrics(struct evhttp_request *req, void *arg)
{
	bh_sched_entry_t *e = arg;
	GString *out = g_string_new(NULL);
	GHashTableIter it;
	gpointer queue;
	gpointer hist;

	bh_hub_metrics(e->hub, out);
	bh_metrics_value(out, "boragehold_requests_in_flight", NULL,
			 e->drain.in_flight);
	bh_metrics_value(out, "boragehold_jobs_accepted_total", NULL,
			 (double)e->accepted);
	bh_metrics_value(out, "boragehold_jobs_refused_total", NULL,
			 (double)e->refused);
	bh_metrics_value(out, "boragehold_cancellations_total", NULL,
			 (double)e->cancelled);
	for (int i = 2; i <= 5; i++) {
		g_autofree char *label = g_strdup_printf("code=\"%dxx\"", i);

		bh_metrics_value(out, "boragehold_answers_total", label,
				 (double)e->answers[i]);
	}
	bh_metrics_value(out, "boragehold_log_lines_dropped_total", NULL,
			 (double)e->rt->log.dropped);
	g_hash_table_iter_init(&it, e->latency);
	while (g_hash_table_iter_next(&it, &queue, &hist)) {
		g_autofree char *label =
			g_strdup_printf("queue=\"%s\"", (char *)queue);

		bh_metrics_hist(out, "boragehold_request_seconds", label, hist);
	}
	bh_metrics_reply(req, out);
}

static void on_probed(void *user, const bh_store_reply_t *reply)
{
	probe_t *probe = user;
	bh_sched_entry_t *e = probe->entry;

	if (bh_breaker_record(&e->breaker, reply->status == BH_STORE_OK,
			      probe->began_at, bh_runtime_now()))
		log_breaker(e, "probe answered");
	probe->began_at = 0;
}

static void send_probe(bh_sched_entry_t *e, bh_usec_t now)
{
	for (int i = 0; i < PROBES_MAX; i++) {
		probe_t *probe = &e->probes[i];

		if (probe->began_at)
			continue;
		probe->entry = e;
		probe->began_at = now;
		bh_relay_get(bh_hub_relay(e->hub), BH_TABLE_AGENTS, "~",
			     PROBE_TIMEOUT_MS, on_probed, probe);
		return;
	}
}

/* Answers callers whose writes the store does not answer, and probes whether it
 * has recovered. */
static void watch_store(bh_sched_entry_t *e, bh_usec_t now)
{
	pending_t *p;

	g_hash_table_foreach_remove(e->unclear, is_unclear_expired, &now);
	TAILQ_FOREACH(p, &e->submissions, link) {
		if (!p->is_calling)
			continue;
		if (bh_breaker_check_pending(&e->breaker, p->tried_at, now))
			log_breaker(e, "no answer");
		if (e->breaker.is_open && !p->is_answered &&
		    bh_breaker_is_overdue(p->tried_at, now))
			answer_unavailable(p);
	}
	if (bh_breaker_probe_is_due(&e->breaker, now))
		send_probe(e, now);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	bh_sched_entry_t *e = arg;
	bh_usec_t now = bh_runtime_now();

	(void)fd;
	(void)what;
	watch_store(e, now);
	if (e->is_draining && bh_drain_is_done(&e->drain, now))
		event_base_loopexit(e->rt->base, NULL);
}

bh_sched_entry_t *bh_sched_entry_start(bh_runtime_t *rt)
{
	const bh_settings_t *set = rt->settings;
	bh_sched_entry_t *e = g_new0(bh_sched_entry_t, 1);

	e->rt = rt;
	TAILQ_INIT(&e->submissions);
	e->unclear =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->latency =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->store = bh_store_new(rt->base, set->store);
	e->hub = bh_hub_start(rt, e->store);
	e->front = bh_http_listen(rt, set->listen_http, on_front, e, NULL);
	if (*set->listen_ready)
		e->ready = bh_http_listen(rt, set->listen_ready, on_ready, e,
					  NULL);
	if (*set->metrics)
		e->metrics =
			bh_http_listen(rt, set->metrics, on_metrics, e, NULL);
	e->tick = bh_runtime_every(rt, TICK_MS, on_tick, e);
	if (e->hub && e->front && (e->ready || !*set->listen_ready) &&
	    (e->metrics || !*set->metrics))
		return e;
	bh_sched_entry_free(e);
	return NULL;
}

void bh_sched_entry_free(bh_sched_entry_t *e)
{
	event_free(e->tick);
	if (e->front)
		evhttp_free(e->front);
	if (e->ready)
		evhttp_free(e->ready);
	if (e->metrics)
		evhttp_free(e->metrics);
	bh_store_close(e->store);
	bh_hub_free(e->hub);
	bh_store_free(e->store);
	g_hash_table_destroy(e->latency);
	g_hash_table_destroy(e->unclear);
	g_free(e);
}

void bh_sched_entry_drain(bh_sched_entry_t *e)
{
	if (e->is_draining)
		return;
	e->is_draining = true;
	e->drain.since = bh_runtime_now();
	e->drain.limit_us = (bh_usec_t)(e->rt->settings->stop_within_s *
					DRAIN_SHARE * BH_USEC_PER_SEC);
	bh_hub_resign(e->hub);
}
