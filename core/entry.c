#include "core/entry.h"

/* Weight of a new sample in the moving average of round-trip times. */
#define RTT_EWMA_WEIGHT 0.2

struct bh_entry {
	const bh_entry_ops_t *ops;
	void *ctx;
	bh_entry_config_t config;
	bh_peers_t *peers;
	bh_tenants_t *tenants;
	bh_route_t *route;
	GRand *rand;
	bh_wheel_t wheel;
	bh_bucket_t retry_budget;
	GHashTable *attempts; /* sequence to bh_attempt_t */
	GHashTable *latency;  /* service name to bh_hist_t */
	TAILQ_HEAD(, bh_request) requests;
	size_t in_flight;
	uint64_t next_seq;
	uint64_t next_number;
	bool is_draining;
	bh_usec_t ticked_at;
	bh_entry_counters_t counters;
};

/**
 * struct bh_request - a caller's request until its last attempt has ended
 * @worst_verdict: verdict if no attempt returns an answer
 * @reason: why the latest attempt failed
 * @is_claiming: waiting for bh_entry_claimed()
 * @is_claimed: holds its key, so its outcome must be written
 * @is_settling: waiting for bh_entry_settled()
 * @is_answered: the caller has been answered; attempts may be outstanding
 */
struct bh_request {
	TAILQ_ENTRY(bh_request) link;
	bh_timer_t timer;
	uint64_t number;
	char *service;
	char *key;
	bh_tenant_t *tenant;
	bh_class_t cls;
	bh_usec_t accepted_at;
	bh_usec_t deadline;
	bh_usec_t hedge_at;
	bool idempotent;
	GBytes *body;
	void *user;
	bh_attempt_list_t attempts;
	uint32_t n_attempts;
	bh_endpoint_t *last_endpoint;
	bh_verdict_t worst_verdict;
	bh_reason_t reason;
	bool is_claiming;
	bool is_claimed;
	bool is_settling;
	bool is_answered;
};

static void request_free(bh_entry_t *e, bh_request_t *r)
{
	TAILQ_REMOVE(&e->requests, r, link);
	bh_wheel_disarm(&e->wheel, &r->timer);
	g_free(r->service);
	g_free(r->key);
	if (r->body)
		g_bytes_unref(r->body);
	g_free(r);
}

static void request_unref(bh_entry_t *e, bh_request_t *r)
{
	if (r->is_answered && !r->is_settling && !r->is_claiming &&
	    TAILQ_EMPTY(&r->attempts))
		request_free(e, r);
}

static bh_hist_t *latency_hist(bh_entry_t *e, const char *service)
{
	bh_hist_t *hist = g_hash_table_lookup(e->latency, service);

	if (!hist) {
		hist = g_new0(bh_hist_t, 1);
		g_hash_table_insert(e->latency, g_strdup(service), hist);
	}
	return hist;
}

static void settle_key(bh_entry_t *e, bh_request_t *r, const bh_result_t *res)
{
	if (!r->is_claimed || r->is_settling)
		return;
	/* An outstanding attempt may still return the outcome. */
	if (res->verdict == BH_MAYBE_RUN && !TAILQ_EMPTY(&r->attempts))
		return;
	r->is_settling = true;
	e->ops->settle(e->ctx, r, res);
}

static void respond(bh_entry_t *e, bh_request_t *r, const bh_result_t *res,
		    bh_usec_t now)
{
	if (r->is_answered)
		return;
	r->is_answered = true;
	bh_wheel_disarm(&e->wheel, &r->timer);
	e->in_flight--;
	e->counters.verdicts[res->verdict]++;
	e->counters.refusals[res->reason]++;
	bh_tenant_release(r->tenant, r->cls, res->verdict,
			  now - r->accepted_at);
	e->ops->respond(e->ctx, r->user, res);
}

static void finish_request(bh_entry_t *e, bh_request_t *r,
			   const bh_result_t *res, bh_usec_t now)
{
	respond(e, r, res, now);
	settle_key(e, r, res);
	request_unref(e, r);
}

static void fail_request(bh_entry_t *e, bh_request_t *r, bh_verdict_t verdict,
			 bh_reason_t reason, bh_usec_t now)
{
	bh_result_t res = {
		.verdict = MAX(verdict, r->worst_verdict),
		.reason = reason,
		.status = bh_reason_status(reason),
	};

	finish_request(e, r, &res, now);
}

static uint64_t peer_floor(const bh_entry_t *e, const bh_peer_t *peer)
{
	const bh_attempt_t *first = TAILQ_FIRST(&peer->attempts);

	return first ? first->seq : e->next_seq;
}

static void send_control(bh_entry_t *e, bh_peer_t *peer, bh_msg_type_t type,
			 uint64_t seq)
{
	bh_msg_t msg = {
		.type = type,
		.entry = e->config.incarnation,
		.generation = peer->generation,
		.seq = seq,
		.floor = peer_floor(e, peer),
	};

	e->ops->send(e->ctx, peer, &msg);
}

static void send_request(bh_entry_t *e, bh_attempt_t *a, bh_usec_t now)
{
	bh_request_t *r = a->request;
	bh_peer_t *peer = a->endpoint->peer;
	bh_usec_t margin = (bh_usec_t)peer->rtt_us;
	bh_msg_t msg = {
		.type = BH_MSG_REQUEST,
		.entry = e->config.incarnation,
		.generation = peer->generation,
		.seq = a->seq,
		.floor = peer_floor(e, peer),
		.service = r->service,
		.tenant = r->tenant->name,
		.cls = r->cls,
		.idempotent = r->idempotent,
		.budget_us = (uint64_t)MAX(r->deadline - now - margin, 1),
		.body = r->body,
		.checksum = bh_body_checksum(r->body),
	};

	e->ops->send(e->ctx, peer, &msg);
}

static void attempt_start(bh_entry_t *e, bh_request_t *r, bh_endpoint_t *ep,
			  bh_usec_t now)
{
	bh_attempt_t *a = g_new0(bh_attempt_t, 1);

	a->seq = e->next_seq++;
	a->peer_incarnation = ep->peer->incarnation;
	a->request = r;
	a->endpoint = ep;
	a->sent_at = now;
	TAILQ_INSERT_TAIL(&ep->attempts, a, in_endpoint);
	TAILQ_INSERT_TAIL(&ep->peer->attempts, a, in_peer);
	TAILQ_INSERT_TAIL(&r->attempts, a, in_request);
	g_hash_table_insert(e->attempts, &a->seq, a);
	ep->outstanding++;
	r->n_attempts++;
	r->last_endpoint = ep;
	e->counters.attempts++;
	send_request(e, a, now);
}

static void attempt_end(bh_entry_t *e, bh_attempt_t *a)
{
	bh_endpoint_t *ep = a->endpoint;

	TAILQ_REMOVE(&ep->attempts, a, in_endpoint);
	TAILQ_REMOVE(&ep->peer->attempts, a, in_peer);
	TAILQ_REMOVE(&a->request->attempts, a, in_request);
	g_hash_table_remove(e->attempts, &a->seq);
	ep->outstanding--;
	g_free(a);
}

static void arm_timer(bh_entry_t *e, bh_request_t *r)
{
	bh_wheel_arm(&e->wheel, &r->timer, MIN(r->deadline, r->hedge_at));
}

static bh_usec_t hedge_time(bh_entry_t *e, const bh_request_t *r, bh_usec_t now)
{
	bh_hist_t *hist;
	bh_usec_t delay;

	if (!r->idempotent || e->config.hedge_quantile <= 0)
		return BH_NEVER;
	hist = latency_hist(e, r->service);
	if (hist->count < BH_HEDGE_MIN_SAMPLES)
		return BH_NEVER;
	delay = bh_hist_quantile(hist, e->config.hedge_quantile);
	return now + MAX(delay, BH_HEDGE_MIN_DELAY_US);
}

static void dispatch(bh_entry_t *e, bh_request_t *r, bh_usec_t now)
{
	bh_service_t *service = bh_peers_service(e->peers, r->service);
	bh_endpoint_t *ep = NULL;

	if (now >= r->deadline) {
		fail_request(e, r, BH_NOT_RUN, BH_REASON_DEADLINE, now);
		return;
	}
	if (service)
		ep = bh_route_pick(e->route, service, r->last_endpoint, now);
	if (!ep) {
		fail_request(e, r, BH_NOT_RUN,
			     r->reason ? r->reason : BH_REASON_NO_ENDPOINT,
			     now);
		return;
	}
	r->hedge_at = hedge_time(e, r, now);
	arm_timer(e, r);
	attempt_start(e, r, ep, now);
}

/*
 * Retries and hedges share one budget, so that they cannot amplify an overload.
 */
static bool may_retry(bh_entry_t *e, const bh_request_t *r, bh_usec_t now)
{
	if (r->n_attempts >= e->config.max_attempts || now >= r->deadline)
		return false;
	if (bh_bucket_take(&e->retry_budget, 1, now))
		return true;
	e->counters.retries_denied++;
	return false;
}

/* Handles an attempt that ended without an answer. */
static void attempt_failed(bh_entry_t *e, bh_attempt_t *a, bh_verdict_t verdict,
			   bh_reason_t reason, bh_usec_t now)
{
	bh_request_t *r = a->request;
	bh_result_t unknown = {.verdict = BH_MAYBE_RUN, .reason = reason};

	attempt_end(e, a);
	r->worst_verdict = MAX(r->worst_verdict, verdict);
	r->reason = reason;
	if (r->is_answered) {
		if (TAILQ_EMPTY(&r->attempts))
			settle_key(e, r, &unknown);
		request_unref(e, r);
		return;
	}
	if (!TAILQ_EMPTY(&r->attempts))
		return;
	if ((r->worst_verdict == BH_NOT_RUN || r->idempotent) &&
	    may_retry(e, r, now)) {
		e->counters.retries++;
		dispatch(e, r, now);
		return;
	}
	fail_request(e, r, r->worst_verdict, reason, now);
}

static void attempt_answered(bh_entry_t *e, bh_attempt_t *a,
			     const bh_msg_t *msg, bh_usec_t now)
{
	bh_request_t *r = a->request;
	bh_result_t res = {
		.verdict = BH_RAN,
		.status = msg->status,
		.body = msg->body,
	};
	bool is_hedge = r->n_attempts > 1 && a != TAILQ_FIRST(&r->attempts);

	bh_endpoint_observe(a->endpoint, msg->run_us, now);
	bh_route_result(a->endpoint, msg->status < 500, now);
	bh_hist_add(latency_hist(e, r->service), now - a->sent_at);
	if (bh_body_checksum(msg->body) != msg->checksum) {
		e->counters.corrupt_answers++;
		res.reason = BH_REASON_CORRUPT_ANSWER;
		res.status = bh_reason_status(res.reason);
		res.body = NULL;
	}
	attempt_end(e, a);
	if (r->is_answered)
		e->counters.late_answers++;
	else
		e->counters.hedges_won += is_hedge;
	finish_request(e, r, &res, now);
}

/*
 * After such a refusal the endpoint gets no requests until its agent reports it
 * as not draining.
 */
static bool is_endpoint_unavailable(bh_reason_t reason)
{
	return reason == BH_REASON_DRAINING ||
	       reason == BH_REASON_RUNNER_LOST ||
	       reason == BH_REASON_NO_ENDPOINT;
}

static void on_answer(bh_entry_t *e, bh_peer_t *peer, const bh_msg_t *msg,
		      bh_usec_t now)
{
	bh_attempt_t *a = g_hash_table_lookup(e->attempts, &msg->seq);

	if (!a || a->endpoint->peer != peer ||
	    msg->entry != e->config.incarnation) {
		e->counters.late_answers++;
		return;
	}
	if (msg->load.slots)
		bh_endpoint_report(a->endpoint, &msg->load, true, now);
	if (is_endpoint_unavailable(msg->reason))
		a->endpoint->report.draining = true;
	if (msg->verdict == BH_RAN) {
		attempt_answered(e, a, msg, now);
		return;
	}
	bh_route_result(a->endpoint,
			msg->verdict == BH_NOT_RUN &&
				!is_endpoint_unavailable(msg->reason),
			now);
	attempt_failed(e, a, msg->verdict, msg->reason, now);
}

static void on_pong(bh_peer_t *peer, const bh_msg_t *msg, bh_usec_t now)
{
	double sample = (double)(now - peer->ping_sent_at);
	bh_endpoint_t *ep;

	if (peer->is_ping_unanswered)
		peer->rtt_us +=
			peer->rtt_us > 0
				? RTT_EWMA_WEIGHT * (sample - peer->rtt_us)
				: sample;
	peer->is_ping_unanswered = false;
	TAILQ_FOREACH(ep, &peer->endpoints, in_peer) {
		for (size_t i = 0; i < msg->n_endpoints; i++) {
			if (strcmp(msg->endpoints[i].service,
				   ep->service->name) == 0)
				bh_endpoint_report(ep, &msg->endpoints[i].load,
						   true, now);
		}
	}
}

/*
 * Fails the attempts sent to other incarnations of the agent than
 * @live_incarnation; 0 fails all. Their state was lost with the agent's
 * process, so the verdict is BH_MAYBE_RUN.
 */
static void fail_attempts(bh_entry_t *e, bh_peer_t *peer,
			  uint64_t live_incarnation, bh_usec_t now)
{
	bh_attempt_t *a;
	GArray *seqs = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	/* A retry may append to the list while it is iterated. */
	TAILQ_FOREACH(a, &peer->attempts, in_peer) {
		if (a->peer_incarnation != live_incarnation)
			g_array_append_val(seqs, a->seq);
	}
	for (guint i = 0; i < seqs->len; i++) {
		a = g_hash_table_lookup(e->attempts,
					&g_array_index(seqs, uint64_t, i));
		if (!a)
			continue;
		bh_route_result(a->endpoint, false, now);
		attempt_failed(e, a, BH_MAYBE_RUN, BH_REASON_AGENT_LOST, now);
	}
	g_array_free(seqs, TRUE);
}

static void connect_peer(bh_entry_t *e, bh_peer_t *peer, bh_usec_t now)
{
	peer->generation++;
	peer->link_state = BH_LINK_CONNECTING;
	peer->connect_at = now;
	peer->is_ping_unanswered = false;
	e->ops->connect(e->ctx, peer);
}

static void disconnect_peer(bh_entry_t *e, bh_peer_t *peer)
{
	peer->link_state = BH_LINK_DOWN;
	peer->connect_at = 0;
	e->ops->disconnect(e->ctx, peer);
}

static void ping_if_due(bh_entry_t *e, bh_peer_t *peer, bh_usec_t now)
{
	bool is_idle = TAILQ_EMPTY(&peer->attempts);
	bh_usec_t interval =
		is_idle ? BH_PING_IDLE_INTERVAL_US : BH_PING_INTERVAL_US;

	if (peer->is_ping_unanswered || now - peer->ping_sent_at < interval)
		return;
	peer->ping_sent_at = now;
	peer->is_ping_unanswered = true;
	send_control(e, peer, BH_MSG_PING, 0);
}

static bh_usec_t reconnect_delay(const bh_entry_t *e, const bh_peer_t *peer)
{
	bh_usec_t delay = BH_RECONNECT_MIN_US << MIN(peer->connect_failures, 5);

	delay = MIN(delay, BH_RECONNECT_MAX_US);
	return (bh_usec_t)((double)delay *
			   g_rand_double_range(e->rand, 0.5, 1));
}

static bool is_link_timed_out(const bh_peer_t *peer, bh_usec_t now)
{
	return peer->is_ping_unanswered &&
	       now - peer->ping_sent_at >= BH_PING_TIMEOUT_US &&
	       now - peer->link_heard_at >= BH_LINK_TIMEOUT_US;
}

static void check_link(bh_entry_t *e, bh_peer_t *peer, bh_usec_t now)
{
	switch (peer->link_state) {
	case BH_LINK_UP:
		if (is_link_timed_out(peer, now)) {
			e->counters.silent_links++;
			disconnect_peer(e, peer);
			connect_peer(e, peer, now);
			break;
		}
		ping_if_due(e, peer, now);
		break;
	case BH_LINK_CONNECTING:
		if (now - peer->connect_at >= BH_CONNECT_TIMEOUT_US) {
			disconnect_peer(e, peer);
			connect_peer(e, peer, now);
		}
		break;
	case BH_LINK_DOWN:
		if (now >= peer->connect_at && bh_peer_is_alive(peer, now))
			connect_peer(e, peer, now);
		break;
	}
}

static void check_peer(bh_entry_t *e, bh_peer_t *peer, bh_usec_t now)
{
	if (peer->link_state != BH_LINK_DOWN || bh_peer_is_alive(peer, now))
		check_link(e, peer, now);
	if (bh_peer_is_alive(peer, now))
		return;
	if (peer->link_state != BH_LINK_DOWN)
		disconnect_peer(e, peer);
	fail_attempts(e, peer, 0, now);
	if (now - peer->heard_at >= BH_PEER_EXPIRY_US)
		bh_peers_remove(e->peers, peer);
}

/*
 * After a pause of this process all peers appear silent, although their frames
 * are waiting in the socket buffers. Moves the timestamps of all peers forward
 * by the pause.
 */
static void compensate_pause(bh_entry_t *e, bh_usec_t pause)
{
	bh_peer_t *peer;

	e->counters.pauses++;
	TAILQ_FOREACH(peer, bh_peers_list(e->peers), link) {
		peer->heard_at += pause;
		peer->link_heard_at += pause;
		peer->ping_sent_at += pause;
		peer->connect_at += pause;
	}
}

static void hedge(bh_entry_t *e, bh_request_t *r, bh_usec_t now)
{
	bh_service_t *service = bh_peers_service(e->peers, r->service);
	bh_endpoint_t *ep;

	r->hedge_at = BH_NEVER;
	arm_timer(e, r);
	ep = bh_route_pick(e->route, service, r->last_endpoint, now);
	/* Taking a slot from other requests would increase their latency. */
	if (!ep || ep == r->last_endpoint || !bh_endpoint_has_free_slot(ep) ||
	    !may_retry(e, r, now))
		return;
	e->counters.hedges++;
	attempt_start(e, r, ep, now);
}

static void on_timer(bh_entry_t *e, bh_request_t *r, bh_usec_t now)
{
	if (now < r->deadline) {
		hedge(e, r, now);
		return;
	}
	fail_request(e, r,
		     TAILQ_EMPTY(&r->attempts) ? BH_NOT_RUN : BH_MAYBE_RUN,
		     BH_REASON_DEADLINE, now);
}

static void refuse_request(bh_entry_t *e, const bh_request_params_t *p,
			   bh_reason_t reason, bh_usec_t retry_after)
{
	bh_result_t res = {
		.verdict = BH_NOT_RUN,
		.reason = reason,
		.status = bh_reason_status(reason),
		.retry_after = retry_after,
	};

	e->counters.refusals[reason]++;
	e->counters.verdicts[BH_NOT_RUN]++;
	e->ops->respond(e->ctx, p->user, &res);
}

static bh_reason_t check_admission(bh_entry_t *e, const bh_request_params_t *p,
				   bh_usec_t now)
{
	if (e->is_draining)
		return BH_REASON_DRAINING;
	if (now >= p->deadline)
		return BH_REASON_DEADLINE;
	if (e->in_flight >= e->config.max_in_flight)
		return BH_REASON_TOO_MANY_REQUESTS;
	if (!bh_peers_service(e->peers, p->service))
		return BH_REASON_NO_SERVICE;
	if (p->key && !e->ops->claim)
		return BH_REASON_STORE_UNAVAILABLE;
	return BH_REASON_NONE;
}

static bh_request_t *request_new(bh_entry_t *e, const bh_request_params_t *p,
				 bh_tenant_t *tenant, bh_usec_t now)
{
	bh_request_t *r = g_new0(bh_request_t, 1);

	r->number = e->next_number++;
	r->service = g_strdup(p->service);
	r->key = g_strdup(p->key);
	r->tenant = tenant;
	r->cls = p->cls;
	r->accepted_at = now;
	r->deadline = p->deadline;
	r->hedge_at = BH_NEVER;
	r->idempotent = p->idempotent;
	r->body = p->body ? g_bytes_ref(p->body) : NULL;
	r->user = p->user;
	r->timer.user = r;
	TAILQ_INIT(&r->attempts);
	TAILQ_INSERT_TAIL(&e->requests, r, link);
	e->in_flight++;
	return r;
}

bh_entry_t *bh_entry_new(const bh_entry_config_t *config,
			 const bh_entry_ops_t *ops, void *ctx, bh_usec_t now)
{
	bh_entry_t *e = g_new0(bh_entry_t, 1);

	e->config = *config;
	e->ops = ops;
	e->ctx = ctx;
	e->rand = g_rand_new_with_seed(config->seed);
	e->route = bh_route_new(config->policy, e->rand);
	e->peers = bh_peers_new(config->zone);
	e->tenants = bh_tenants_new(&config->tenant_defaults);
	e->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->latency =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->next_seq = 1;
	e->next_number = 1;
	e->ticked_at = now;
	TAILQ_INIT(&e->requests);
	bh_wheel_init(&e->wheel, now);
	bh_bucket_init(&e->retry_budget, BH_RETRY_MIN_RATE, BH_RETRY_BURST,
		       now);
	return e;
}

void bh_entry_free(bh_entry_t *e)
{
	bh_peer_t *peer;

	TAILQ_FOREACH(peer, bh_peers_list(e->peers), link) {
		while (!TAILQ_EMPTY(&peer->attempts))
			attempt_end(e, TAILQ_FIRST(&peer->attempts));
	}
	while (!TAILQ_EMPTY(&e->requests))
		request_free(e, TAILQ_FIRST(&e->requests));
	bh_peers_free(e->peers);
	bh_tenants_free(e->tenants);
	bh_route_free(e->route);
	g_hash_table_destroy(e->attempts);
	g_hash_table_destroy(e->latency);
	g_rand_free(e->rand);
	g_free(e);
}

bh_peers_t *bh_entry_peers(bh_entry_t *e)
{
	return e->peers;
}

bh_tenants_t *bh_entry_tenants(bh_entry_t *e)
{
	return e->tenants;
}

const bh_entry_counters_t *bh_entry_counters(const bh_entry_t *e)
{
	return &e->counters;
}

void bh_entry_submit(bh_entry_t *e, const bh_request_params_t *p, bh_usec_t now)
{
	bh_reason_t reason = check_admission(e, p, now);
	bh_usec_t retry_after = 0;
	bh_tenant_t *tenant;
	bh_request_t *r;

	e->counters.requests++;
	if (reason) {
		refuse_request(e, p, reason, 0);
		return;
	}
	tenant = bh_tenants_get(e->tenants, p->tenant, now);
	reason = bh_tenant_admit(tenant, now, &retry_after);
	if (reason) {
		refuse_request(e, p, reason, retry_after);
		return;
	}
	bh_bucket_put(&e->retry_budget, e->config.retry_share);
	r = request_new(e, p, tenant, now);
	if (!r->key) {
		dispatch(e, r, now);
		return;
	}
	r->is_claiming = true;
	arm_timer(e, r);
	e->ops->claim(e->ctx, r);
}

void bh_entry_claimed(bh_entry_t *e, bh_request_t *r, const bh_result_t *res,
		      bh_usec_t now)
{
	bh_result_t expired = {
		.verdict = BH_NOT_RUN,
		.reason = BH_REASON_DEADLINE,
	};

	r->is_claiming = false;
	r->is_claimed = res == NULL;
	if (r->is_answered) {
		settle_key(e, r, &expired);
		request_unref(e, r);
		return;
	}
	if (res)
		finish_request(e, r, res, now);
	else
		dispatch(e, r, now);
}

void bh_entry_settled(bh_entry_t *e, bh_request_t *r)
{
	r->is_settling = false;
	r->is_claimed = false;
	request_unref(e, r);
}

const char *bh_request_key(const bh_request_t *r)
{
	return r->key;
}

const char *bh_request_tenant(const bh_request_t *r)
{
	return r->tenant->name;
}

const char *bh_request_service(const bh_request_t *r)
{
	return r->service;
}

GBytes *bh_request_body(const bh_request_t *r)
{
	return r->body;
}

bh_usec_t bh_request_deadline(const bh_request_t *r)
{
	return r->deadline;
}

uint64_t bh_request_number(const bh_request_t *r)
{
	return r->number;
}

void bh_entry_announce(bh_entry_t *e, const bh_msg_t *msg, bh_usec_t now)
{
	bh_peer_t *peer;
	bh_announce_result_t result =
		bh_peers_announce(e->peers, msg, now, &peer);

	if (result == BH_ANNOUNCE_STALE) {
		e->counters.stale_announcements++;
		return;
	}
	if (result == BH_ANNOUNCE_RESTARTED) {
		if (peer->link_state != BH_LINK_DOWN)
			disconnect_peer(e, peer);
		fail_attempts(e, peer, peer->incarnation, now);
	}
	if (result != BH_ANNOUNCE_KNOWN)
		peer->connect_failures = 0;
	if (peer->link_state == BH_LINK_DOWN && now >= peer->connect_at)
		connect_peer(e, peer, now);
}

void bh_entry_link_up(bh_entry_t *e, bh_peer_t *peer, const bh_msg_t *hello,
		      bh_usec_t now)
{
	bh_attempt_t *a;

	peer->link_state = BH_LINK_UP;
	peer->link_heard_at = now;
	peer->heard_at = now;
	peer->connect_failures = 0;
	peer->is_ping_unanswered = false;
	peer->ping_sent_at = 0;
	if (hello->incarnation != peer->incarnation) {
		peer->incarnation = hello->incarnation;
		peer->announce_seq = 0;
	}
	fail_attempts(e, peer, peer->incarnation, now);
	TAILQ_FOREACH(a, &peer->attempts, in_peer) {
		e->counters.asks++;
		send_control(e, peer, BH_MSG_ASK, a->seq);
	}
}

void bh_entry_link_down(bh_entry_t *e, bh_peer_t *peer, bool is_refused,
			bh_usec_t now)
{
	peer->link_state = BH_LINK_DOWN;
	if (!is_refused && peer->connect_failures == 0) {
		peer->connect_failures++;
		connect_peer(e, peer, now);
		return;
	}
	peer->connect_failures++;
	peer->connect_at = now + reconnect_delay(e, peer);
	if (is_refused)
		fail_attempts(e, peer, 0, now);
}

void bh_entry_msg(bh_entry_t *e, bh_peer_t *peer, const bh_msg_t *msg,
		  bh_usec_t now)
{
	peer->link_heard_at = now;
	peer->heard_at = now;
	switch (msg->type) {
	case BH_MSG_ANSWER:
		on_answer(e, peer, msg, now);
		break;
	case BH_MSG_PONG:
		on_pong(peer, msg, now);
		break;
	default:
		break;
	}
}

void bh_entry_tick(bh_entry_t *e, bh_usec_t now)
{
	bh_timer_t *timer;
	bh_peer_t *peer;
	bh_peer_t *next;

	if (now - e->ticked_at >= BH_PAUSE_THRESHOLD_US)
		compensate_pause(e, now - e->ticked_at);
	e->ticked_at = now;
	while ((timer = bh_wheel_pop(&e->wheel, now)) != NULL)
		on_timer(e, timer->user, now);
	TAILQ_FOREACH_SAFE(peer, bh_peers_list(e->peers), link, next)
		check_peer(e, peer, now);
}

void bh_entry_drain(bh_entry_t *e)
{
	e->is_draining = true;
}

size_t bh_entry_in_flight(const bh_entry_t *e)
{
	return e->in_flight;
}
