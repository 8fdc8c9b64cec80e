#include "daemon/hub.h"
#include "daemon/configs.h"
#include "daemon/follow.h"
#include "daemon/lookup.h"
#include "daemon/metrics.h"
#include "daemon/relay.h"
#include "daemon/tables.h"
#include "daemon/zones.h"
#include "platform/json.h"

/* How long the store may hold a poll for a new configuration. With the timeout
 * of the call on top, a dead connection is noticed within about two seconds. */
#define CONFIG_POLL_WAIT_MS 1300

#define TICK_MS 100

#define PING_INTERVAL_US (300 * BH_USEC_PER_MS)

/* A link that is silent for longer is closed; both sides ping every 300 ms. */
#define LINK_TIMEOUT_US (1000 * BH_USEC_PER_MS)

/* Minimum time between two attempts to connect to the leader, and the shorter
 * wait after a connection that failed or was closed. */
#define RECONNECT_INTERVAL_US	 (200 * BH_USEC_PER_MS)
#define RECONNECT_AFTER_CLOSE_US (20 * BH_USEC_PER_MS)

/* Within one or two availability zones the leader answers in milliseconds. When
 * it does not answer in this time, a job's state is read from the store. */
#define QUERY_TIMEOUT_US (350 * BH_USEC_PER_MS)

/* An older answer of the store is no proof that an entry still reaches it. */
#define STORE_FRESH_MS 2200

#define LOADS_MAX 16

/* A leader's closed services are ignored when they are older. */
#define EVACUATED_SERVICES_MAX_AGE_US (3000 * BH_USEC_PER_MS)

/* Services with workers in evacuated zones only; further ones count as open. */
#define EVACUATED_SERVICES_MAX 32

/* A leader that the store has not confirmed for longer may have been replaced,
 * and asks other entries. */
#define UNCONFIRMED_MAX_MS 1300

/* Interval at which a leader lists the entries connected to it. Right after an
 * election most of them are not connected yet. */
#define LIST_ENTRIES_INTERVAL_US (2 * BH_USEC_PER_SEC)

/* Consecutive refused connections after which the leader's process has probably
 * ended, and a campaign starts at once. */
#define REFUSALS_UNTIL_CAMPAIGN 2

typedef struct pending_query {
	bh_hub_query_cb_t cb;
	void *user;
	bh_usec_t sent_at;
} pending_query_t;

/**
 * struct peer - another entry, connected to this one, mostly while this one
 * leads
 * @address: its address for frames; NULL if it only asks a question
 * @has_entries: it has been sent the present list of entries
 */
typedef struct peer {
	TAILQ_ENTRY(peer) entry;
	bh_link_t *link;
	char *address;
	bool has_entries;
} peer_t;

typedef TAILQ_HEAD(peers, peer) peers_t;

/**
 * struct bh_hub - state that the entries share
 * @operator_rows: follows the table with the configuration
 * @evacuation: the evacuated zones
 * @evacuation_logged: changes of that set which have been logged
 * @is_evacuation_asked: the leader waits for what this entry reads of them
 * @evacuated_services: services all of whose workers are in evacuated zones, as
 *	the leader told at @services_told_at
 * @sched_leader: exists while this entry leads
 * @is_leadership_lost: @sched_leader is to be freed by the next tick
 * @peers: links that other entries opened
 * @lookup: asks other entries who leads
 * @listed_at: when the leader last listed the entries
 * @link: link to the leader, or NULL
 * @refusals: consecutive refused connections to the leader
 * @pending_queries: queries that the leader has not answered, by number
 */
struct bh_hub {
	bh_runtime_t *rt;
	bh_store_t *store;
	bh_follow_t *operator_rows;
	bh_configs_t *configs;
	bh_relay_t *relay;
	bh_term_t *term;
	bh_sched_leader_t *sched_leader;
	bool is_leadership_lost;
	bh_acceptor_t *acceptor;
	peers_t peers;
	bh_lookup_t *lookup;
	bh_usec_t listed_at;
	bh_link_t *link;
	char *link_address;
	bool is_link_open;
	int refusals;
	bh_usec_t dialled_at;
	GHashTable *pending_queries;
	uint64_t last_query;
	bh_backlog_t loads[LOADS_MAX];
	uint32_t n_loads;
	bh_usec_t loads_updated_at;
	bh_usec_t pinged_at;
	uint64_t terms_won;
	bh_evacuation_t *evacuation;
	uint64_t evacuation_logged;
	bool is_evacuation_asked;
	GPtrArray *evacuated_services;
	bh_usec_t services_told_at;
	struct event *tick;
};

static bool has_evacuations(const bh_hub_t *hub)
{
	return hub->rt->settings->evacuate_ms > 0;
}

static bool is_store_lost(const bh_hub_t *hub)
{
	return bh_follow_is_store_lost(hub->operator_rows);
}

static void on_config_applied(void *ctx)
{
	bh_hub_t *hub = ctx;

	if (hub->sched_leader)
		bh_sched_leader_set_config(hub->sched_leader,
					   bh_configs_current(hub->configs));
	/* The next tick reports the version to the other entries. */
	hub->pinged_at = 0;
}

static bool is_json_object(const bh_store_row_t *row)
{
	JsonNode *root = bh_json_parse(row->value, row->len);
	bool is_object = root && JSON_NODE_HOLDS_OBJECT(root);

	bh_json_free(root);
	return is_object;
}

static void on_evacuation_row(bh_hub_t *hub, const bh_store_row_t *row)
{
	bh_evacuation_row_kind_t kind = BH_EVACUATION_ROW_VALID;

	if (row->is_deleted) {
		kind = BH_EVACUATION_ROW_REMOVED;
	} else if (!is_json_object(row)) {
		kind = BH_EVACUATION_ROW_MALFORMED;
		bh_log_event(&hub->rt->log, BH_LOG_WARN,
			     "evacuation row ignored: its value is not a JSON "
			     "object",
			     "key", row->key, NULL);
	}
	bh_evacuation_row(hub->evacuation, row->key, kind, row->version);
}

static void on_operator_row(void *ctx, const bh_store_row_t *row)
{
	bh_hub_t *hub = ctx;

	if (strcmp(row->key, BH_KEY_OPERATOR_CONFIG) == 0 && !row->is_deleted)
		bh_configs_apply(hub->configs, row->value, row->len, "store");
	if (has_evacuations(hub) && bh_evacuation_zone_of(row->key))
		on_evacuation_row(hub, row);
}

static void on_operator_relisted(void *ctx)
{
	bh_hub_t *hub = ctx;

	bh_evacuation_begin_listing(hub->evacuation);
}

static void note_evacuation(bh_hub_t *hub, const char *source)
{
	uint64_t changes = bh_evacuation_changes(hub->evacuation);

	if (changes == hub->evacuation_logged)
		return;
	hub->evacuation_logged = changes;
	bh_log_evacuation(&hub->rt->log, hub->evacuation, source);
	/* The next tick tells the other entries, and the leader its agents. */
	hub->pinged_at = 0;
}

static void on_operator_read(void *ctx, uint64_t version, bh_usec_t read_at)
{
	bh_hub_t *hub = ctx;

	if (!has_evacuations(hub))
		return;
	bh_evacuation_read(hub->evacuation, version, read_at, bh_runtime_now());
	note_evacuation(hub, "store");
	if (hub->is_evacuation_asked)
		hub->pinged_at = 0;
	hub->is_evacuation_asked = false;
}

static void adopt_evacuation(bh_hub_t *hub,
			     const Bh__Sched__EvacuationState *state,
			     bool is_read, const char *source)
{
	if (!has_evacuations(hub) || !state)
		return;
	bh_evacuation_from_wire(state, is_read, bh_runtime_now(),
				hub->evacuation);
	note_evacuation(hub, source);
}

static void on_operator_loaded(void *ctx)
{
	(void)ctx;
}

static const bh_follow_ops_t operator_ops = {
	.row = on_operator_row,
	.loaded = on_operator_loaded,
	.relisted = on_operator_relisted,
	.read = on_operator_read,
	.is_small = true,
};

/* @address: own address, or NULL */
static void send_ping(bh_hub_t *hub, bh_link_t *link, char *address)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Ping ping = BH__SCHED__PING__INIT;
	Bh__Sched__QueueLoad rows[LOADS_MAX];
	Bh__Sched__QueueLoad *refs[LOADS_MAX];
	bh_evacuation_frame_t evacuation;

	if (has_evacuations(hub))
		ping.evacuation = bh_evacuation_to_wire(
			hub->evacuation, bh_runtime_now(), &evacuation);
	if (ping.evacuation)
		ping.evacuation->never_answered =
			!bh_follow_has_answered(hub->operator_rows);
	if (ping.evacuation && hub->sched_leader) {
		ping.evacuation->n_evacuated_services =
			hub->evacuated_services->len;
		ping.evacuation->evacuated_services =
			(char **)hub->evacuated_services->pdata;
	}
	ping.term = bh_term_number(hub->term);
	if (address)
		ping.address = address;
	ping.config_version = bh_configs_version(hub->configs);
	if (hub->sched_leader) {
		ping.renewed_ago_ms =
			(uint64_t)bh_term_confirmed_ago_ms(hub->term);
		for (uint32_t i = 0; i < hub->n_loads; i++) {
			bh__sched__queue_load__init(&rows[i]);
			rows[i].priority = hub->loads[i].priority;
			rows[i].wait_ms = hub->loads[i].wait_ms;
			rows[i].wait_filler_ms = hub->loads[i].wait_filler_ms;
			refs[i] = &rows[i];
		}
		ping.n_load = hub->n_loads;
		ping.load = refs;
	} else {
		ping.renewed_ago_ms =
			(uint64_t)bh_follow_answered_ago_ms(hub->operator_rows);
	}
	frame.body_case = BH__SCHED__FRAME__BODY_PING;
	frame.ping = &ping;
	bh_link_send(link, &frame);
}

/* Leader side: frames from other entries. */

static void send_query_reply(bh_link_t *link, uint64_t number,
			     bh_job_state_t state, uint32_t pending)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__QueryReply reply = BH__SCHED__QUERY_REPLY__INIT;

	reply.number = number;
	reply.state = state;
	reply.pending = pending;
	frame.body_case = BH__SCHED__FRAME__BODY_REPLY;
	frame.reply = &reply;
	bh_link_send(link, &frame);
}

static void on_query(bh_hub_t *hub, bh_link_t *link,
		     const Bh__Sched__Query *query)
{
	uint32_t pending = 0;

	if (!hub->sched_leader)
		return;
	if (*query->id)
		send_query_reply(
			link, query->number,
			bh_sched_leader_state(hub->sched_leader, query->id), 0);
	else if (bh_sched_leader_pending(hub->sched_leader, query->queue,
					 &pending))
		send_query_reply(link, query->number, BH_JOB_UNKNOWN, pending);
}

static void send_leader(bh_hub_t *hub, bh_link_t *link)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Leader leader = BH__SCHED__LEADER__INIT;
	const bh_leader_row_t *row = bh_term_row(hub->term);

	leader.term = row->term;
	if (row->address && !bh_term_is_vacant(hub->term)) {
		leader.address = row->address;
		leader.name = row->name ? row->name : leader.name;
	}
	frame.body_case = BH__SCHED__FRAME__BODY_LEADER;
	frame.leader = &leader;
	bh_link_send(link, &frame);
}

/* Whether peers may take this process for the leader by the row of its earlier
 * run, and would wait until that has not been renewed for long enough. */
static bool must_deny_leadership(const bh_hub_t *hub)
{
	return !hub->sched_leader && bh_term_is_vacant(hub->term);
}

static void deny_leadership(bh_hub_t *hub)
{
	peer_t *peer;

	if (!must_deny_leadership(hub))
		return;
	TAILQ_FOREACH(peer, &hub->peers, entry)
		send_leader(hub, peer->link);
}

static void on_leader_query(bh_hub_t *hub, bh_link_t *link)
{
	send_leader(hub, link);
	/* Tells the version of the configuration. */
	send_ping(hub, link, NULL);
}

static void send_entries(bh_hub_t *hub, peer_t *to)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Entries entries = BH__SCHED__ENTRIES__INIT;
	g_autoptr(GPtrArray) addresses = g_ptr_array_new();
	peer_t *peer;

	TAILQ_FOREACH(peer, &hub->peers, entry) {
		if (peer->address && peer != to)
			g_ptr_array_add(addresses, peer->address);
	}
	entries.addresses = (char **)addresses->pdata;
	entries.n_addresses = addresses->len;
	frame.body_case = BH__SCHED__FRAME__BODY_ENTRIES;
	frame.entries = &entries;
	bh_link_send(to->link, &frame);
	to->has_entries = true;
}

/* The set of entries has changed: all of them need the new list. */
static void expire_entries(bh_hub_t *hub)
{
	peer_t *peer;

	TAILQ_FOREACH(peer, &hub->peers, entry)
		peer->has_entries = false;
}

static bool is_confirmed_leader(const bh_hub_t *hub)
{
	return hub->sched_leader && !hub->is_leadership_lost &&
	       bh_term_confirmed_ago_ms(hub->term) < UNCONFIRMED_MAX_MS;
}

/* A leader that may have been replaced keeps the list that it has, since its
 * peers leave it for the next one. */
static void list_entries(bh_hub_t *hub, bh_usec_t now)
{
	peer_t *peer;

	if (!is_confirmed_leader(hub) || TAILQ_EMPTY(&hub->peers) ||
	    now - hub->listed_at < LIST_ENTRIES_INTERVAL_US)
		return;
	hub->listed_at = now;
	bh_lookup_clear(hub->lookup);
	TAILQ_FOREACH(peer, &hub->peers, entry) {
		if (!peer->address)
			continue;
		bh_lookup_add(hub->lookup, peer->address);
		if (!peer->has_entries)
			send_entries(hub, peer);
	}
}

/* @address: of the entry, or NULL */
static void note_answered(bh_hub_t *hub, const char *address,
			  const Bh__Sched__Ping *ping)
{
	bh_usec_t ago = (bh_usec_t)MIN(ping->renewed_ago_ms, INT32_MAX) *
			BH_USEC_PER_MS;
	bool never = ping->evacuation && ping->evacuation->never_answered;

	bh_sched_leader_note_entry(hub->sched_leader, address,
				   never ? 0 : MAX(bh_runtime_now() - ago, 0));
}

/* An entry that knows this term from the store, or from this leader, does not
 * lead an earlier one. */
static void note_follower(bh_hub_t *hub, const Bh__Sched__Ping *ping)
{
	g_autofree char *grants = NULL;

	if (!hub->sched_leader || !*ping->address ||
	    ping->term != bh_term_number(hub->term) ||
	    !bh_term_note_follower(hub->term, ping->address))
		return;
	grants = g_strdup_printf("%" G_GINT64_FORMAT,
				 bh_term_predecessor_grant_ms(hub->term));
	bh_log_event(&hub->rt->log, BH_LOG_INFO, "former leader follows",
		     "address", ping->address, "predecessor_grant_ms", grants,
		     NULL);
	bh_sched_leader_limit_grants(hub->sched_leader);
}

static void on_peer_ping(bh_hub_t *hub, peer_t *peer,
			 const Bh__Sched__Ping *ping)
{
	if (*ping->address && !peer->address) {
		peer->address = g_strdup(ping->address);
		expire_entries(hub);
		if (must_deny_leadership(hub))
			send_leader(hub, peer->link);
	}
	bh_configs_on_report(hub->configs, peer->link, ping->config_version,
			     is_store_lost(hub));
	bh_term_observe(hub->term, ping->term);
	note_follower(hub, ping);
	adopt_evacuation(hub, ping->evacuation, true, "entry");
	if (hub->sched_leader && ping->renewed_ago_ms < STORE_FRESH_MS)
		bh_sched_leader_note_store_reachable(hub->sched_leader);
	if (hub->sched_leader)
		note_answered(hub, peer->address, ping);
}

static void on_peer_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	bh_hub_t *hub = ctx;
	peer_t *peer = bh_link_user(link);

	switch (frame->body_case) {
	case BH__SCHED__FRAME__BODY_QUERY:
		on_query(hub, link, frame->query);
		break;
	case BH__SCHED__FRAME__BODY_JOB:
		if (hub->sched_leader)
			bh_sched_leader_add_job(hub->sched_leader,
						frame->job->job.data,
						frame->job->job.len);
		break;
	case BH__SCHED__FRAME__BODY_PING:
		on_peer_ping(hub, peer, frame->ping);
		break;
	case BH__SCHED__FRAME__BODY_LEADER_QUERY:
		on_leader_query(hub, link);
		break;
	case BH__SCHED__FRAME__BODY_STORE_CALL:
		bh_relay_serve(hub->relay, link, frame->store_call);
		break;
	case BH__SCHED__FRAME__BODY_CONFIG:
		bh_configs_on_copy(hub->configs, frame->config, "entry");
		break;
	case BH__SCHED__FRAME__BODY_CONFIG_REQUEST:
		bh_configs_on_request(hub->configs, link,
				      frame->config_request);
		break;
	default:
		break;
	}
}

static void on_peer_opened(void *ctx, bh_link_t *link)
{
	(void)ctx;
	(void)link;
}

static void peer_drop(bh_hub_t *hub, peer_t *peer)
{
	bh_relay_drop_peer(hub->relay, peer->link);
	TAILQ_REMOVE(&hub->peers, peer, entry);
	if (peer->address)
		expire_entries(hub);
	if (peer->address && hub->sched_leader)
		bh_sched_leader_note_entry_lost(hub->sched_leader,
						peer->address);
	g_free(peer->address);
	g_free(peer);
}

static void drop_peers(bh_hub_t *hub)
{
	peer_t *peer;

	while ((peer = TAILQ_FIRST(&hub->peers)) != NULL) {
		bh_link_free(peer->link);
		peer_drop(hub, peer);
	}
}

static void on_peer_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	(void)is_refused;
	peer_drop(ctx, bh_link_user(link));
}

static const bh_link_ops_t peer_ops = {
	.frame = on_peer_frame,
	.opened = on_peer_opened,
	.closed = on_peer_closed,
};

static void on_accepted(void *ctx, bh_link_t *link)
{
	bh_hub_t *hub = ctx;
	peer_t *peer = g_new0(peer_t, 1);

	peer->link = link;
	bh_link_set_user(link, peer);
	TAILQ_INSERT_TAIL(&hub->peers, peer, entry);
}

/* Follower side: frames from the leader. */

static void set_evacuated_services(bh_hub_t *hub, char *const *services,
				   size_t n)
{
	g_ptr_array_set_size(hub->evacuated_services, 0);
	for (size_t i = 0; i < MIN(n, EVACUATED_SERVICES_MAX); i++)
		g_ptr_array_add(hub->evacuated_services, g_strdup(services[i]));
	hub->services_told_at = bh_runtime_now();
}

static void note_evacuated_services(bh_hub_t *hub,
				    const Bh__Sched__EvacuationState *state)
{
	if (has_evacuations(hub) && state)
		set_evacuated_services(hub, state->evacuated_services,
				       state->n_evacuated_services);
}

/* The leader has not read the evacuations for some time: what this entry reads
 * now goes along with its next ping. */
static void answer_leader(bh_hub_t *hub,
			  const Bh__Sched__EvacuationState *state)
{
	int64_t max = bh_evacuation_refresh_ms(
		(int64_t)hub->rt->settings->evacuate_ms);

	if (!has_evacuations(hub) || !state ||
	    state->age_ms <= 2 * (uint64_t)max)
		return;
	hub->is_evacuation_asked = true;
	bh_follow_refresh(hub->operator_rows);
}

static void on_leader_ping(bh_hub_t *hub, bh_link_t *link,
			   const Bh__Sched__Ping *ping)
{
	bh_configs_on_report(hub->configs, link, ping->config_version,
			     is_store_lost(hub));
	if (ping->term >= bh_term_number(hub->term))
		bh_term_note_leader_ping(
			hub->term,
			(int64_t)MIN(ping->renewed_ago_ms, INT64_MAX));
	bh_term_observe(hub->term, ping->term);
	note_evacuated_services(hub, ping->evacuation);
	/* What this entry tells the leader must not be what it heard from it:
	 * each way would make it look newer by the delay of a ping. */
	adopt_evacuation(hub, ping->evacuation, false, "leader");
	answer_leader(hub, ping->evacuation);
	hub->n_loads = (uint32_t)MIN(ping->n_load, LOADS_MAX);
	hub->loads_updated_at = bh_runtime_now();
	for (uint32_t i = 0; i < hub->n_loads; i++) {
		hub->loads[i].priority = ping->load[i]->priority;
		hub->loads[i].wait_ms = ping->load[i]->wait_ms;
		hub->loads[i].wait_filler_ms = ping->load[i]->wait_filler_ms;
	}
}

static void on_reply(bh_hub_t *hub, const Bh__Sched__QueryReply *reply)
{
	pending_query_t *q =
		g_hash_table_lookup(hub->pending_queries, &reply->number);
	bh_hub_query_cb_t cb;
	void *user;

	if (!q)
		return;
	cb = q->cb;
	user = q->user;
	g_hash_table_remove(hub->pending_queries, &reply->number);
	cb(user, true, MIN(reply->state, BH_JOB_CANCELLED), reply->pending);
}

static void on_entries(bh_hub_t *hub, const Bh__Sched__Entries *entries)
{
	bh_lookup_clear(hub->lookup);
	for (size_t i = 0; i < entries->n_addresses; i++)
		bh_lookup_add(hub->lookup, entries->addresses[i]);
	bh_lookup_add(hub->lookup, hub->link_address);
}

/* The process at the leader's address has restarted and does not lead: its
 * earlier run can grant no more leases. */
static void on_leader_denial(bh_hub_t *hub, const Bh__Sched__Leader *leader)
{
	if (*leader->address || leader->term != bh_term_number(hub->term))
		return;
	bh_log_event(&hub->rt->log, BH_LOG_WARN, "leader has restarted",
		     "address", hub->link_address, NULL);
	bh_term_suspect(hub->term, BH_TERM_ENDED);
	bh_term_tick(hub->term);
}

static void on_leader_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	bh_hub_t *hub = ctx;

	switch (frame->body_case) {
	case BH__SCHED__FRAME__BODY_LEADER:
		on_leader_denial(hub, frame->leader);
		break;
	case BH__SCHED__FRAME__BODY_REPLY:
		on_reply(hub, frame->reply);
		break;
	case BH__SCHED__FRAME__BODY_STORE_ANSWER:
		bh_relay_on_answer(hub->relay, frame->store_answer);
		break;
	case BH__SCHED__FRAME__BODY_PING:
		on_leader_ping(hub, link, frame->ping);
		break;
	case BH__SCHED__FRAME__BODY_ENTRIES:
		on_entries(hub, frame->entries);
		break;
	case BH__SCHED__FRAME__BODY_CONFIG:
		bh_configs_on_copy(hub->configs, frame->config, "leader");
		break;
	case BH__SCHED__FRAME__BODY_CONFIG_REQUEST:
		bh_configs_on_request(hub->configs, link,
				      frame->config_request);
		break;
	default:
		break;
	}
}

static void on_leader_opened(void *ctx, bh_link_t *link)
{
	bh_hub_t *hub = ctx;

	hub->is_link_open = true;
	bh_relay_set_leader(hub->relay, link);
	hub->refusals = 0;
	bh_log_event(&hub->rt->log, BH_LOG_INFO, "connected to the leader",
		     "address", hub->link_address, NULL);
	send_ping(hub, link, hub->rt->settings->listen_frames);
}

static void clear_leader_link(bh_hub_t *hub)
{
	hub->link = NULL;
	hub->is_link_open = false;
	bh_relay_set_leader(hub->relay, NULL);
}

static void on_leader_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	bh_hub_t *hub = ctx;

	(void)link;
	if (hub->is_link_open)
		bh_log_event(&hub->rt->log, BH_LOG_WARN,
			     "connection to the leader closed", "address",
			     hub->link_address, NULL);
	hub->refusals = is_refused ? hub->refusals + 1 : 0;
	clear_leader_link(hub);
	bh_term_suspect(hub->term, hub->refusals >= REFUSALS_UNTIL_CAMPAIGN
					   ? BH_TERM_REFUSED
					   : BH_TERM_SILENT);
	hub->dialled_at = bh_runtime_now() - RECONNECT_INTERVAL_US +
			  RECONNECT_AFTER_CLOSE_US;
}

static const bh_link_ops_t leader_ops = {
	.frame = on_leader_frame,
	.opened = on_leader_opened,
	.closed = on_leader_closed,
};

static void close_leader_link(bh_hub_t *hub)
{
	bh_link_free(hub->link);
	clear_leader_link(hub);
	hub->refusals = 0;
}

static void on_changed(void *ctx, const bh_leader_row_t *row)
{
	bh_hub_t *hub = ctx;
	g_autofree char *term =
		g_strdup_printf("%" G_GUINT64_FORMAT, row->term);

	bh_log_event(&hub->rt->log, BH_LOG_INFO, "leader", "name",
		     row->name ? row->name : "", "address",
		     row->address ? row->address : "", "term", term, NULL);
	close_leader_link(hub);
	hub->dialled_at = 0;
	g_free(hub->link_address);
	hub->link_address = g_strdup(row->address ? row->address : "");
	deny_leadership(hub);
}

static void on_won(void *ctx, uint64_t term)
{
	bh_hub_t *hub = ctx;
	g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, term);
	g_autofree char *grants = g_strdup_printf(
		"%" G_GINT64_FORMAT, bh_term_predecessor_grant_ms(hub->term));

	bh_log_event(&hub->rt->log, BH_LOG_INFO, "leading", "term", text,
		     "predecessor_grant_ms", grants, NULL);
	close_leader_link(hub);
	bh_sched_leader_free(hub->sched_leader);
	hub->is_leadership_lost = false;
	hub->terms_won++;
	hub->listed_at = bh_runtime_now();
	hub->sched_leader = bh_sched_leader_new(hub->rt, hub->store, hub->term,
						hub->evacuation);
	if (has_evacuations(hub))
		bh_follow_refresh(hub->operator_rows);
	if (bh_configs_current(hub->configs))
		bh_sched_leader_set_config(hub->sched_leader,
					   bh_configs_current(hub->configs));
}

static void on_lost(void *ctx, const char *why)
{
	bh_hub_t *hub = ctx;

	bh_log_event(&hub->rt->log, BH_LOG_WARN, "lost leadership", "why", why,
		     NULL);
	/* sched_leader may be on the call stack; the next tick frees it. */
	hub->is_leadership_lost = true;
}

/* Follower or former leader: frames from an entry that was asked who leads. */

static void on_lookup_opened(void *ctx, bh_link_t *link)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__LeaderQuery query = BH__SCHED__LEADER_QUERY__INIT;

	frame.body_case = BH__SCHED__FRAME__BODY_LEADER_QUERY;
	frame.leader_query = &query;
	bh_link_send(link, &frame);
	send_ping(ctx, link, NULL);
}

static void on_lookup_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	bh_hub_t *hub = ctx;
	bh_leader_row_t row;

	switch (frame->body_case) {
	case BH__SCHED__FRAME__BODY_LEADER:
		row.term = frame->leader->term;
		row.address = frame->leader->address;
		row.name = frame->leader->name;
		bh_term_adopt(hub->term, &row);
		break;
	case BH__SCHED__FRAME__BODY_PING:
		bh_configs_on_report(hub->configs, link,
				     frame->ping->config_version,
				     is_store_lost(hub));
		adopt_evacuation(hub, frame->ping->evacuation, true, "entry");
		if (hub->sched_leader)
			note_answered(hub, NULL, frame->ping);
		break;
	case BH__SCHED__FRAME__BODY_CONFIG:
		bh_configs_on_copy(hub->configs, frame->config, "entry");
		break;
	case BH__SCHED__FRAME__BODY_CONFIG_REQUEST:
		bh_configs_on_request(hub->configs, link,
				      frame->config_request);
		break;
	default:
		break;
	}
}

static const bh_lookup_ops_t lookup_ops = {on_lookup_opened, on_lookup_frame};

/* Whether neither the store nor a leader tells who leads. */
static bool must_look_up(const bh_hub_t *hub)
{
	if (hub->sched_leader)
		return !is_confirmed_leader(hub);
	return !hub->is_link_open && is_store_lost(hub);
}

static const bh_term_ops_t term_ops = {on_changed, on_won, on_lost};

static void maintain_leader_link(bh_hub_t *hub, bh_usec_t now)
{
	if (hub->sched_leader || !hub->link_address || !*hub->link_address ||
	    strcmp(hub->link_address, hub->rt->settings->listen_frames) == 0)
		return;
	if (hub->link) {
		if (now - bh_link_heard_at(hub->link) <= LINK_TIMEOUT_US)
			return;
		bh_log_event(&hub->rt->log, BH_LOG_WARN, "leader timed out",
			     "address", hub->link_address, NULL);
		close_leader_link(hub);
		bh_term_suspect(hub->term, BH_TERM_SILENT);
	}
	if (now - hub->dialled_at < RECONNECT_INTERVAL_US)
		return;
	hub->dialled_at = now;
	hub->link = bh_link_dial(hub->rt->base, hub->link_address, &leader_ops,
				 hub);
}

static void expire_queries(bh_hub_t *hub, bh_usec_t now)
{
	GHashTableIter it;
	gpointer value;
	g_autoptr(GPtrArray) late = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&it, hub->pending_queries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		pending_query_t *q = value;

		if (now - q->sent_at < QUERY_TIMEOUT_US)
			continue;
		g_ptr_array_add(late, g_memdup2(q, sizeof(*q)));
		g_hash_table_iter_remove(&it);
	}
	for (guint i = 0; i < late->len; i++) {
		pending_query_t *q = late->pdata[i];

		q->cb(q->user, false, BH_JOB_UNKNOWN, 0);
	}
}

static void note_own_evacuated_services(bh_hub_t *hub)
{
	const char *closed[EVACUATED_SERVICES_MAX];
	uint32_t n;

	if (!has_evacuations(hub))
		return;
	n = bh_sched_leader_evacuated_services(hub->sched_leader, closed,
					       EVACUATED_SERVICES_MAX);
	set_evacuated_services(hub, (char **)closed, n);
}

static void ping_all(bh_hub_t *hub, bh_usec_t now)
{
	peer_t *peer;
	peer_t *next;

	if (now - hub->pinged_at < PING_INTERVAL_US)
		return;
	hub->pinged_at = now;
	if (hub->sched_leader) {
		hub->n_loads = bh_sched_leader_load(hub->sched_leader,
						    hub->loads, LOADS_MAX);
		hub->loads_updated_at = now;
		note_own_evacuated_services(hub);
	}
	TAILQ_FOREACH_SAFE(peer, &hub->peers, entry, next) {
		if (now - bh_link_heard_at(peer->link) > LINK_TIMEOUT_US) {
			bh_link_free(peer->link);
			peer_drop(hub, peer);
		} else if (hub->sched_leader) {
			send_ping(hub, peer->link, NULL);
		}
	}
	if (hub->is_link_open)
		send_ping(hub, hub->link, NULL);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	bh_hub_t *hub = arg;
	bh_usec_t now = bh_runtime_now();

	(void)fd;
	(void)what;
	bh_term_tick(hub->term);
	if (hub->is_leadership_lost) {
		hub->is_leadership_lost = false;
		bh_sched_leader_free(hub->sched_leader);
		hub->sched_leader = NULL;
		/* Makes the other entries look for a new leader at once. */
		drop_peers(hub);
	}
	if (hub->sched_leader)
		bh_sched_leader_tick(hub->sched_leader);
	if (hub->sched_leader &&
	    bh_sched_leader_wants_evacuation(hub->sched_leader))
		bh_follow_refresh(hub->operator_rows);
	/* Changes from other sources are logged where they are received. */
	note_evacuation(hub, "agent");
	maintain_leader_link(hub, now);
	bh_lookup_tick(hub->lookup, must_look_up(hub), now);
	list_entries(hub, now);
	ping_all(hub, now);
	expire_queries(hub, now);
	bh_relay_tick(hub->relay, now);
}

static void send_query(bh_hub_t *hub, const char *id, const char *queue,
		       bh_hub_query_cb_t cb, void *user)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Query query = BH__SCHED__QUERY__INIT;
	pending_query_t *q;

	if (!hub->is_link_open) {
		cb(user, false, BH_JOB_UNKNOWN, 0);
		return;
	}
	q = g_new0(pending_query_t, 1);
	q->cb = cb;
	q->user = user;
	q->sent_at = bh_runtime_now();
	query.number = ++hub->last_query;
	query.id = (char *)id;
	query.queue = (char *)queue;
	frame.body_case = BH__SCHED__FRAME__BODY_QUERY;
	frame.query = &query;
	g_hash_table_insert(hub->pending_queries,
			    g_memdup2(&query.number, sizeof(query.number)), q);
	bh_link_send(hub->link, &frame);
}

bh_hub_t *bh_hub_start(bh_runtime_t *rt, bh_store_t *store)
{
	bh_hub_t *hub = g_new0(bh_hub_t, 1);

	hub->rt = rt;
	hub->store = store;
	hub->relay = bh_relay_new(store);
	TAILQ_INIT(&hub->peers);
	hub->pending_queries = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	hub->acceptor = bh_link_listen(rt, rt->settings->listen_frames,
				       &peer_ops, hub, on_accepted);
	if (!hub->acceptor) {
		g_hash_table_destroy(hub->pending_queries);
		bh_relay_free(hub->relay);
		g_free(hub);
		return NULL;
	}
	hub->configs = bh_configs_new(rt, on_config_applied, hub);
	hub->evacuation = bh_evacuation_new();
	hub->evacuated_services = g_ptr_array_new_with_free_func(g_free);
	hub->lookup = bh_lookup_new(rt, &lookup_ops, hub);
	hub->operator_rows =
		bh_follow_new(rt, store, BH_TABLE_OPERATOR, CONFIG_POLL_WAIT_MS,
			      &operator_ops, hub);
	hub->term = bh_term_new(rt, store, &term_ops, hub);
	hub->tick = bh_runtime_every(rt, TICK_MS, on_tick, hub);
	return hub;
}

void bh_hub_free(bh_hub_t *hub)
{
	if (!hub)
		return;
	event_free(hub->tick);
	bh_sched_leader_free(hub->sched_leader);
	hub->sched_leader = NULL;
	bh_follow_free(hub->operator_rows);
	bh_link_free(hub->link);
	bh_lookup_free(hub->lookup);
	drop_peers(hub);
	bh_acceptor_free(hub->acceptor);
	bh_term_free(hub->term);
	bh_relay_free(hub->relay);
	g_hash_table_destroy(hub->pending_queries);
	bh_configs_free(hub->configs);
	bh_evacuation_free(hub->evacuation);
	g_ptr_array_free(hub->evacuated_services, TRUE);
	g_free(hub->link_address);
	g_free(hub);
}

const bh_config_t *bh_hub_config(const bh_hub_t *hub)
{
	return bh_configs_current(hub->configs);
}

uint32_t bh_hub_loads(const bh_hub_t *hub, const bh_backlog_t **out,
		      int64_t *age_ms)
{
	*out = hub->loads;
	*age_ms = (bh_runtime_now() - hub->loads_updated_at) / 1000;
	return hub->n_loads;
}

bool bh_hub_is_service_closed(const bh_hub_t *hub, const char *service)
{
	return service &&
	       bh_runtime_now() - hub->services_told_at <
		       EVACUATED_SERVICES_MAX_AGE_US &&
	       g_ptr_array_find_with_equal_func(hub->evacuated_services,
						service, g_str_equal, NULL);
}

void bh_hub_query_state(bh_hub_t *hub, const char *id, bh_hub_query_cb_t cb,
			void *user)
{
	if (hub->sched_leader && !hub->is_leadership_lost)
		cb(user, true, bh_sched_leader_state(hub->sched_leader, id), 0);
	else
		send_query(hub, id, "", cb, user);
}

void bh_hub_query_pending(bh_hub_t *hub, const char *queue,
			  bh_hub_query_cb_t cb, void *user)
{
	uint32_t pending = 0;
	bool is_known;

	if (!hub->sched_leader || hub->is_leadership_lost) {
		send_query(hub, "", queue, cb, user);
		return;
	}
	is_known = bh_sched_leader_pending(hub->sched_leader, queue, &pending);
	cb(user, is_known, BH_JOB_UNKNOWN, pending);
}

void bh_hub_notify_job(bh_hub_t *hub, const void *data, size_t len)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__JobNotice notice = BH__SCHED__JOB_NOTICE__INIT;

	if (hub->sched_leader && !hub->is_leadership_lost) {
		bh_sched_leader_add_job(hub->sched_leader, data, len);
		return;
	}
	if (!hub->is_link_open)
		return;
	notice.job.data = (uint8_t *)data;
	notice.job.len = len;
	frame.body_case = BH__SCHED__FRAME__BODY_JOB;
	frame.job = &notice;
	bh_link_send(hub->link, &frame);
}

bh_relay_t *bh_hub_relay(bh_hub_t *hub)
{
	return hub->relay;
}

void bh_hub_resign(bh_hub_t *hub)
{
	bh_term_resign(hub->term);
}

void bh_hub_metrics(bh_hub_t *hub, GString *out)
{
	bh_configs_metrics(hub->configs, out);
	bh_metrics_value(out, "boragehold_leading", NULL,
			 hub->sched_leader ? 1 : 0);
	bh_metrics_value(out, "boragehold_terms_won_total", NULL,
			 (double)hub->terms_won);
	bh_metrics_evacuation(out, hub->evacuation);
	if (hub->sched_leader)
		bh_sched_leader_metrics(hub->sched_leader, out);
}
