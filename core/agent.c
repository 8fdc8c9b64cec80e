#include "core/agent.h"

/* Weight of a new sample in the moving average of service times. */
#define SERVICE_EWMA_WEIGHT 0.2

typedef TAILQ_HEAD(bh_work_list, bh_work) bh_work_list_t;

/**
 * struct bh_runner - a runner on the agent's host
 * @slots: free of orphans; 0 while it answers to another agent or is silent
 * @is_suspect: a call failed since its last announcement
 * @service_us: moving average of the time a request occupies a slot
 */
struct bh_runner {
	TAILQ_ENTRY(bh_runner) link;
	char *service;
	char *address;
	uint64_t incarnation;
	uint64_t seq;
	uint32_t slots;
	bool draining;
	bool is_suspect;
	bh_usec_t heard_at;
	uint32_t running;
	uint32_t queued;
	double service_us;
	bh_work_list_t queues[BH_CLASS_COUNT]; /* sorted by deadline */
	bh_work_list_t calls;		       /* running */
};

typedef enum bh_work_state {
	BH_WORK_QUEUED,
	BH_WORK_RUNNING,
	BH_WORK_DONE,
	BH_WORK_TOMBSTONE,
} bh_work_state_t;

/**
 * struct bh_work - state of one request id
 * @in_queue: link in a queue or in the calls of @runner
 * @client: NULL once the entry has acknowledged the id of a running request
 * @answer: valid from BH_WORK_DONE until acknowledged
 */
struct bh_work {
	TAILQ_ENTRY(bh_work) in_client;
	TAILQ_ENTRY(bh_work) in_queue;
	bh_client_t *client;
	bh_runner_t *runner;
	uint64_t entry;
	uint64_t seq;
	bh_work_state_t state;
	bh_class_t cls;
	bh_usec_t deadline;
	bh_usec_t started_at;
	GBytes *body;
	bh_msg_t answer;
};

/**
 * struct bh_client - one incarnation of an entry
 * @generation: of its newest connection
 * @floor: all ids below are acknowledged and discarded
 * @in_flight: its requests that are queued or running
 * @works: request id to struct bh_work
 * @list: the same, sorted by request id
 */
struct bh_client {
	TAILQ_ENTRY(bh_client) link;
	uint64_t incarnation;
	void *conn;
	uint64_t generation;
	uint64_t floor;
	bh_usec_t heard_at;
	uint32_t in_flight;
	GHashTable *works;
	bh_work_list_t list;
};

struct bh_agent {
	const bh_agent_ops_t *ops;
	void *ctx;
	uint64_t incarnation;
	TAILQ_HEAD(, bh_runner) runners;
	TAILQ_HEAD(, bh_client) clients;
	size_t n_runners;
	size_t n_clients;
	size_t unacked_bytes;
	bool is_draining;
	bh_agent_counters_t counters;
};

static void runner_load(const bh_agent_t *agent, const bh_runner_t *r,
			bh_load_t *load)
{
	load->slots = r->slots;
	load->running = r->running;
	load->queued = r->queued;
	load->service_us = (uint32_t)r->service_us;
	load->draining = r->draining || r->is_suspect || agent->is_draining;
}

static bh_runner_t *runner_find(bh_agent_t *agent, const char *service)
{
	bh_runner_t *r;

	TAILQ_FOREACH(r, &agent->runners, link) {
		if (strcmp(r->service, service) == 0)
			return r;
	}
	return NULL;
}

static bh_client_t *client_find(bh_agent_t *agent, uint64_t incarnation)
{
	bh_client_t *c;

	TAILQ_FOREACH(c, &agent->clients, link) {
		if (c->incarnation == incarnation)
			return c;
	}
	return NULL;
}

static bh_client_t *client_find_by_conn(bh_agent_t *agent, const void *conn)
{
	bh_client_t *c;

	TAILQ_FOREACH(c, &agent->clients, link) {
		if (c->conn == conn)
			return c;
	}
	return NULL;
}

static size_t answer_size(const bh_work_t *w)
{
	return w->answer.body ? g_bytes_get_size(w->answer.body) : 0;
}

static void work_free(bh_agent_t *agent, bh_work_t *w)
{
	agent->unacked_bytes -= answer_size(w);
	if (w->body)
		g_bytes_unref(w->body);
	bh_msg_clear(&w->answer);
	g_free(w);
}

static void work_dequeue(bh_work_t *w)
{
	TAILQ_REMOVE(&w->runner->queues[w->cls], w, in_queue);
	w->runner->queued--;
}

static void work_remove_call(bh_work_t *w)
{
	TAILQ_REMOVE(&w->runner->calls, w, in_queue);
	w->runner->running--;
}

/*
 * The entry has acknowledged this id. A running request continues without a
 * client, and its answer is dropped.
 */
static void work_discard(bh_agent_t *agent, bh_work_t *w)
{
	TAILQ_REMOVE(&w->client->list, w, in_client);
	g_hash_table_remove(w->client->works, &w->seq);
	if (w->state < BH_WORK_DONE)
		w->client->in_flight--;
	w->client = NULL;
	if (w->state == BH_WORK_RUNNING)
		return;
	if (w->state == BH_WORK_QUEUED) {
		agent->counters.refusals[BH_REASON_ABANDONED]++;
		work_dequeue(w);
	}
	work_free(agent, w);
}

static void client_free(bh_agent_t *agent, bh_client_t *c)
{
	while (!TAILQ_EMPTY(&c->list))
		work_discard(agent, TAILQ_FIRST(&c->list));
	TAILQ_REMOVE(&agent->clients, c, link);
	agent->n_clients--;
	g_hash_table_destroy(c->works);
	g_free(c);
}

static void advance_floor(bh_agent_t *agent, bh_client_t *c, uint64_t floor)
{
	bh_work_t *w;
	bh_work_t *next;

	if (floor <= c->floor)
		return;
	c->floor = floor;
	TAILQ_FOREACH_SAFE(w, &c->list, in_client, next) {
		if (w->seq >= floor)
			break;
		work_discard(agent, w);
	}
}

static void send_answer(bh_agent_t *agent, bh_work_t *w)
{
	if (!w->client || !w->client->conn)
		return;
	memset(&w->answer.load, 0, sizeof(w->answer.load));
	if (w->runner) {
		runner_load(agent, w->runner, &w->answer.load);
		w->answer.load.yours = w->client->in_flight;
	}
	agent->ops->send(agent->ctx, w->client->conn, &w->answer);
}

static void work_finish(bh_agent_t *agent, bh_work_t *w, bh_verdict_t verdict,
			bh_reason_t reason)
{
	if (w->client)
		w->client->in_flight--;
	w->state = BH_WORK_DONE;
	if (w->body)
		g_bytes_unref(w->body);
	w->body = NULL;
	w->answer.type = BH_MSG_ANSWER;
	w->answer.incarnation = agent->incarnation;
	w->answer.entry = w->entry;
	w->answer.seq = w->seq;
	w->answer.verdict = verdict;
	w->answer.reason = reason;
	if (reason)
		agent->counters.refusals[reason]++;
	if (w->client)
		send_answer(agent, w);
	else
		work_free(agent, w);
}

static bh_work_t *work_new(bh_client_t *c, uint64_t seq)
{
	bh_work_t *w = g_new0(bh_work_t, 1);
	bh_work_t *last = TAILQ_LAST(&c->list, bh_work_list);

	w->client = c;
	w->entry = c->incarnation;
	w->seq = seq;
	while (last && last->seq > seq)
		last = TAILQ_PREV(last, bh_work_list, in_client);
	if (last)
		TAILQ_INSERT_AFTER(&c->list, last, w, in_client);
	else
		TAILQ_INSERT_HEAD(&c->list, w, in_client);
	g_hash_table_insert(c->works, &w->seq, w);
	c->in_flight++;
	return w;
}

static void work_start(bh_agent_t *agent, bh_work_t *w, bh_usec_t now)
{
	w->state = BH_WORK_RUNNING;
	w->started_at = now;
	w->runner->running++;
	TAILQ_INSERT_TAIL(&w->runner->calls, w, in_queue);
	agent->ops->call(agent->ctx, w);
}

static void work_enqueue(bh_agent_t *agent, bh_work_t *w)
{
	bh_work_list_t *queue = &w->runner->queues[w->cls];
	bh_work_t *prev = TAILQ_LAST(queue, bh_work_list);

	while (prev && prev->deadline > w->deadline)
		prev = TAILQ_PREV(prev, bh_work_list, in_queue);
	if (prev)
		TAILQ_INSERT_AFTER(queue, prev, w, in_queue);
	else
		TAILQ_INSERT_HEAD(queue, w, in_queue);
	w->state = BH_WORK_QUEUED;
	w->runner->queued++;
	agent->counters.queued++;
}

/*
 * An idle runner always gets the request: nothing has to wait for it, and the
 * run updates an estimate that may be too high.
 */
static bool can_answer_in_time(const bh_work_t *w, bh_usec_t now)
{
	const bh_runner_t *r = w->runner;

	return r->running == 0 || now + (bh_usec_t)r->service_us <= w->deadline;
}

static void dispatch(bh_agent_t *agent, bh_runner_t *r, bh_usec_t now)
{
	for (int cls = 0; cls < BH_CLASS_COUNT; cls++) {
		bh_work_t *w;

		while (r->running < r->slots && !r->is_suspect &&
		       (w = TAILQ_FIRST(&r->queues[cls])) != NULL) {
			work_dequeue(w);
			if (can_answer_in_time(w, now)) {
				work_start(agent, w, now);
				continue;
			}
			agent->counters.expired++;
			work_finish(agent, w, BH_NOT_RUN, BH_REASON_DEADLINE);
		}
	}
}

static uint32_t count_queued_ahead(const bh_work_t *w)
{
	const bh_work_t *other;
	uint32_t ahead = 0;

	for (int cls = 0; cls <= (int)w->cls; cls++) {
		TAILQ_FOREACH(other, &w->runner->queues[cls], in_queue) {
			if (cls == (int)w->cls && other->deadline > w->deadline)
				break;
			ahead++;
		}
	}
	return ahead;
}

static bool will_miss_deadline(const bh_work_t *w, bh_usec_t now)
{
	const bh_runner_t *r = w->runner;
	double turns = (double)(count_queued_ahead(w) + 1) / r->slots;
	double expected_us = (turns + 1) * r->service_us;

	return now + (bh_usec_t)expected_us > w->deadline;
}

/* Returns the least urgent queued request of a class below @cls, or NULL. */
static bh_work_t *find_displaceable(bh_runner_t *r, bh_class_t cls)
{
	for (int c = BH_CLASS_COUNT - 1; c > (int)cls; c--) {
		if (!TAILQ_EMPTY(&r->queues[c]))
			return TAILQ_LAST(&r->queues[c], bh_work_list);
	}
	return NULL;
}

static bool make_queue_space(bh_agent_t *agent, bh_runner_t *r, bh_class_t cls)
{
	bh_work_t *w;

	if (r->queued < r->slots * BH_QUEUE_PER_SLOT)
		return true;
	w = find_displaceable(r, cls);
	if (!w)
		return false;
	agent->counters.displaced++;
	work_dequeue(w);
	work_finish(agent, w, BH_NOT_RUN, BH_REASON_OVERLOADED);
	return true;
}

static bh_reason_t check_admission(bh_agent_t *agent, const bh_work_t *w)
{
	const bh_runner_t *r = w->runner;

	if (agent->is_draining)
		return BH_REASON_DRAINING;
	if (!r)
		return BH_REASON_NO_ENDPOINT;
	if (r->draining)
		return BH_REASON_DRAINING;
	if (r->is_suspect || r->slots == 0)
		return BH_REASON_RUNNER_LOST;
	if (agent->unacked_bytes > BH_UNACKED_MAX_BYTES)
		return BH_REASON_OVERLOADED;
	return BH_REASON_NONE;
}

static void admit(bh_agent_t *agent, bh_work_t *w, bh_usec_t now)
{
	bh_runner_t *r = w->runner;

	agent->counters.admitted++;
	if (r->running < r->slots) {
		work_start(agent, w, now);
		return;
	}
	if (will_miss_deadline(w, now)) {
		work_finish(agent, w, BH_NOT_RUN, BH_REASON_DEADLINE);
		return;
	}
	if (!make_queue_space(agent, r, w->cls)) {
		work_finish(agent, w, BH_NOT_RUN, BH_REASON_OVERLOADED);
		return;
	}
	work_enqueue(agent, w);
}

static void on_request(bh_agent_t *agent, bh_client_t *c, const bh_msg_t *msg,
		       bh_usec_t now)
{
	bh_work_t *w = g_hash_table_lookup(c->works, &msg->seq);
	bh_reason_t reason;

	if (w || msg->seq < c->floor) {
		agent->counters.duplicates++;
		if (w && w->state >= BH_WORK_DONE)
			send_answer(agent, w);
		return;
	}
	w = work_new(c, msg->seq);
	w->cls = msg->cls;
	w->deadline = now + (bh_usec_t)MIN(msg->budget_us,
					   (uint64_t)INT32_MAX * 1000);
	w->body = msg->body ? g_bytes_ref(msg->body) : NULL;
	w->runner = msg->service ? runner_find(agent, msg->service) : NULL;
	reason = check_admission(agent, w);
	if (bh_body_checksum(msg->body) != msg->checksum)
		reason = BH_REASON_CORRUPT_ANSWER;
	if (reason)
		work_finish(agent, w, BH_NOT_RUN, reason);
	else
		admit(agent, w, now);
}

static void on_ask(bh_agent_t *agent, bh_client_t *c, const bh_msg_t *msg)
{
	bh_work_t *w = g_hash_table_lookup(c->works, &msg->seq);
	bh_msg_t reply = {
		.type = BH_MSG_RUNNING,
		.incarnation = agent->incarnation,
		.entry = c->incarnation,
		.seq = msg->seq,
	};

	if (!w && msg->seq >= c->floor) {
		w = work_new(c, msg->seq);
		agent->counters.tombstones++;
		work_finish(agent, w, BH_NOT_RUN, BH_REASON_NEVER_SEEN);
		w->state = BH_WORK_TOMBSTONE;
		return;
	}
	if (w && w->state >= BH_WORK_DONE)
		send_answer(agent, w);
	else if (w)
		agent->ops->send(agent->ctx, c->conn, &reply);
}

static void on_ping(bh_agent_t *agent, bh_client_t *c, const bh_msg_t *msg)
{
	bh_msg_t pong = {
		.type = BH_MSG_PONG,
		.incarnation = agent->incarnation,
		.seq = msg->seq,
	};

	bh_agent_announcement(agent, &pong);
	for (size_t i = 0; i < pong.n_endpoints; i++)
		pong.endpoints[i].load.yours = c->in_flight;
	agent->ops->send(agent->ctx, c->conn, &pong);
	bh_msg_clear(&pong);
}

static bh_client_t *client_new(bh_agent_t *agent, uint64_t incarnation)
{
	bh_client_t *c = g_new0(bh_client_t, 1);

	c->incarnation = incarnation;
	c->works = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&c->list);
	TAILQ_INSERT_TAIL(&agent->clients, c, link);
	agent->n_clients++;
	return c;
}

static void on_hello(bh_agent_t *agent, void *conn, const bh_msg_t *msg,
		     bh_usec_t now)
{
	bh_client_t *c = client_find(agent, msg->entry);
	bh_msg_t hello = {
		.type = BH_MSG_HELLO,
		.incarnation = agent->incarnation,
		.generation = msg->generation,
	};

	if (!c && agent->n_clients >= BH_AGENT_CLIENTS_MAX) {
		agent->ops->close(agent->ctx, conn);
		return;
	}
	if (!c)
		c = client_new(agent, msg->entry);
	/* Frames delayed on an older connection must not be processed. */
	if (msg->generation <= c->generation) {
		agent->counters.stale_connections++;
		agent->ops->close(agent->ctx, conn);
		return;
	}
	if (c->conn)
		agent->ops->close(agent->ctx, c->conn);
	c->conn = conn;
	c->generation = msg->generation;
	c->heard_at = now;
	advance_floor(agent, c, msg->floor);
	agent->ops->send(agent->ctx, conn, &hello);
}

static void runner_update(const bh_agent_t *agent, bh_runner_t *r,
			  const bh_runner_info_t *info, bh_usec_t now)
{
	if (g_strcmp0(r->address, info->address) != 0) {
		g_free(r->address);
		r->address = g_strdup(info->address);
	}
	r->incarnation = info->incarnation;
	r->seq = info->seq;
	/* Runs started by an earlier agent still occupy slots. */
	r->slots = MIN(info->slots, info->connections);
	r->slots -= MIN(r->slots, info->orphans);
	if (info->agent != agent->incarnation)
		r->slots = 0;
	r->draining = info->draining;
	r->is_suspect = false;
	r->heard_at = now;
}

static bool is_stale_runner(const bh_runner_t *r, const bh_runner_info_t *info,
			    bh_usec_t now)
{
	if (info->incarnation == r->incarnation)
		return info->seq <= r->seq;
	return info->incarnation < r->incarnation &&
	       now - r->heard_at < BH_RUNNER_TIMEOUT_US;
}

static bh_runner_t *runner_new(bh_agent_t *agent, const char *service)
{
	bh_runner_t *r = g_new0(bh_runner_t, 1);

	r->service = g_strdup(service);
	for (int i = 0; i < BH_CLASS_COUNT; i++)
		TAILQ_INIT(&r->queues[i]);
	TAILQ_INIT(&r->calls);
	TAILQ_INSERT_TAIL(&agent->runners, r, link);
	agent->n_runners++;
	return r;
}

/* All clients are gone by now, so nobody waits for the running calls. */
static void runner_free(bh_agent_t *agent, bh_runner_t *r)
{
	while (!TAILQ_EMPTY(&r->calls)) {
		bh_work_t *w = TAILQ_FIRST(&r->calls);

		work_remove_call(w);
		work_free(agent, w);
	}
	g_free(r->service);
	g_free(r->address);
	g_free(r);
}

static void refuse_queue(bh_agent_t *agent, bh_runner_t *r, bh_reason_t reason)
{
	for (int cls = 0; cls < BH_CLASS_COUNT; cls++) {
		while (!TAILQ_EMPTY(&r->queues[cls])) {
			bh_work_t *w = TAILQ_FIRST(&r->queues[cls]);

			work_dequeue(w);
			work_finish(agent, w, BH_NOT_RUN, reason);
		}
	}
}

static void expire_queue(bh_agent_t *agent, bh_runner_t *r, bh_usec_t now)
{
	for (int cls = 0; cls < BH_CLASS_COUNT; cls++) {
		bh_work_t *w;

		while ((w = TAILQ_FIRST(&r->queues[cls])) != NULL &&
		       !can_answer_in_time(w, now)) {
			agent->counters.expired++;
			work_dequeue(w);
			work_finish(agent, w, BH_NOT_RUN, BH_REASON_DEADLINE);
		}
	}
}

static void work_finish_run(bh_work_t *w, bh_usec_t now)
{
	bh_runner_t *r = w->runner;
	double run_us = (double)(now - w->started_at);

	work_remove_call(w);
	r->service_us += r->service_us > 0 ? SERVICE_EWMA_WEIGHT *
						     (run_us - r->service_us)
					   : run_us;
	w->answer.run_us = (uint32_t)run_us;
}

bh_agent_t *bh_agent_new(uint64_t incarnation, const bh_agent_ops_t *ops,
			 void *ctx)
{
	bh_agent_t *agent = g_new0(bh_agent_t, 1);

	agent->ops = ops;
	agent->ctx = ctx;
	agent->incarnation = incarnation;
	TAILQ_INIT(&agent->runners);
	TAILQ_INIT(&agent->clients);
	return agent;
}

void bh_agent_free(bh_agent_t *agent)
{
	while (!TAILQ_EMPTY(&agent->clients))
		client_free(agent, TAILQ_FIRST(&agent->clients));
	while (!TAILQ_EMPTY(&agent->runners)) {
		bh_runner_t *r = TAILQ_FIRST(&agent->runners);

		TAILQ_REMOVE(&agent->runners, r, link);
		runner_free(agent, r);
	}
	g_free(agent);
}

bool bh_agent_runner_announce(bh_agent_t *agent, const bh_runner_info_t *info,
			      bh_usec_t now)
{
	bh_runner_t *r = runner_find(agent, info->service);

	if (r && is_stale_runner(r, info, now))
		return false;
	if (!r && agent->n_runners >= BH_AGENT_RUNNERS_MAX)
		return false;
	if (!r)
		r = runner_new(agent, info->service);
	runner_update(agent, r, info, now);
	dispatch(agent, r, now);
	return true;
}

void bh_agent_msg(bh_agent_t *agent, void *conn, const bh_msg_t *msg,
		  bh_usec_t now)
{
	bh_client_t *c;

	if (msg->type == BH_MSG_HELLO) {
		on_hello(agent, conn, msg, now);
		return;
	}
	c = client_find_by_conn(agent, conn);
	if (!c) {
		agent->counters.stale_connections++;
		agent->ops->close(agent->ctx, conn);
		return;
	}
	c->heard_at = now;
	advance_floor(agent, c, msg->floor);
	switch (msg->type) {
	case BH_MSG_REQUEST:
		on_request(agent, c, msg, now);
		break;
	case BH_MSG_ASK:
		on_ask(agent, c, msg);
		break;
	case BH_MSG_PING:
		on_ping(agent, c, msg);
		break;
	default:
		break;
	}
}

void bh_agent_conn_closed(bh_agent_t *agent, void *conn, bh_usec_t now)
{
	bh_client_t *c = client_find_by_conn(agent, conn);

	if (!c)
		return;
	c->conn = NULL;
	c->heard_at = now;
}

void bh_agent_done(bh_agent_t *agent, bh_work_t *w, uint32_t status,
		   GBytes *body, bh_usec_t now)
{
	bh_runner_t *r = w->runner;

	work_finish_run(w, now);
	w->answer.status = status;
	w->answer.body = body ? g_bytes_ref(body) : NULL;
	w->answer.checksum = bh_body_checksum(body);
	agent->unacked_bytes += answer_size(w);
	work_finish(agent, w, BH_RAN, BH_REASON_NONE);
	dispatch(agent, r, now);
}

void bh_agent_failed(bh_agent_t *agent, bh_work_t *w, bool is_sent)
{
	bh_runner_t *r = w->runner;

	work_remove_call(w);
	r->is_suspect = true;
	work_finish(agent, w, is_sent ? BH_MAYBE_RUN : BH_NOT_RUN,
		    BH_REASON_RUNNER_LOST);
	refuse_queue(agent, r, BH_REASON_RUNNER_LOST);
}

void bh_agent_tick(bh_agent_t *agent, bh_usec_t now)
{
	bh_client_t *c;
	bh_client_t *next;
	bh_runner_t *r;

	TAILQ_FOREACH(r, &agent->runners, link) {
		expire_queue(agent, r, now);
		if (now - r->heard_at < BH_RUNNER_TIMEOUT_US || r->slots == 0)
			continue;
		r->slots = 0;
		refuse_queue(agent, r, BH_REASON_RUNNER_LOST);
	}
	TAILQ_FOREACH_SAFE(c, &agent->clients, link, next) {
		if (c->conn && now - c->heard_at >= BH_CLIENT_TIMEOUT_US) {
			agent->ops->close(agent->ctx, c->conn);
			c->conn = NULL;
		}
		if (!c->conn && now - c->heard_at >= BH_CLIENT_EXPIRY_US)
			client_free(agent, c);
	}
}

void bh_agent_drain(bh_agent_t *agent)
{
	agent->is_draining = true;
}

bool bh_agent_is_idle(const bh_agent_t *agent)
{
	const bh_client_t *c;
	const bh_runner_t *r;

	TAILQ_FOREACH(r, &agent->runners, link) {
		if (r->running || r->queued)
			return false;
	}
	TAILQ_FOREACH(c, &agent->clients, link) {
		if (c->conn && !TAILQ_EMPTY(&c->list))
			return false;
	}
	return true;
}

void bh_agent_announcement(const bh_agent_t *agent, bh_msg_t *msg)
{
	const bh_runner_t *r;
	size_t i = 0;

	msg->endpoints = g_new0(bh_endpoint_info_t, agent->n_runners);
	TAILQ_FOREACH(r, &agent->runners, link) {
		if (r->slots == 0)
			continue;
		msg->endpoints[i].service = g_strdup(r->service);
		runner_load(agent, r, &msg->endpoints[i].load);
		i++;
	}
	msg->n_endpoints = i;
}

const bh_agent_counters_t *bh_agent_counters(const bh_agent_t *agent)
{
	return &agent->counters;
}

uint64_t bh_work_entry(const bh_work_t *w)
{
	return w->entry;
}

uint64_t bh_work_seq(const bh_work_t *w)
{
	return w->seq;
}

const char *bh_work_address(const bh_work_t *w)
{
	return w->runner->address;
}

GBytes *bh_work_body(const bh_work_t *w)
{
	return w->body;
}
