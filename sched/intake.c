/*
 * Load addressed: large groups of clients that send bodies and stop just short
 * of their end, send or read slowly, or only connect.
 */
#include "sched/intake.h"

#include <glib.h>

/* Share of the host's memory for requests and responses. The process itself
 * uses 5 MB, the load of a leader of 300 hosts some 30 MB more; the parse tree
 * of one body, and the freed blocks that the allocator keeps, come on top. */
#define BUDGET_DIVISOR 8

/* Room for a few bodies of legal size, however little memory the host has. */
#define BUDGET_BODIES_MIN 4

/* Callers of a zone may share an address, so that one gets half of all even
 * while others have incomplete requests. */
#define ADDRESS_DIVISOR 2

/* Descriptors kept for the store, agents, other entries and the small
 * listeners: a quarter, as a leader holds a connection to each of up to 300
 * agents. */
#define RESERVED_FDS_DIVISOR 4
#define RESERVED_FDS_MIN     64
#define CONNECTIONS_MIN	     16

/* Part of the reserve for each small listener; probes come once a second, so
 * that few connections do. */
#define SMALL_DIVISOR 8
#define SMALL_MIN     4
#define SMALL_MAX     64

/* A client of a refused request gets this long to read the refusal. */
#define LINGER_US (2 * BH_USEC_PER_SEC)

static const char *const cause_names[] = {
	"none",		"memory",     "address-share", "connections",
	"head-timeout", "timeout",    "stalled",       "rate",
	"linger",	"head-limit", "body-limit",    "malformed",
};

static const char *const state_names[] = {
	"idle", "head", "body", "handled", "writing", "refused", "closing",
};

void bh_intake_limits_init(bh_intake_limits_t *limits, uint64_t memory_bytes,
			   uint64_t fds, uint64_t body_bytes)
{
	uint64_t reserved = MAX(RESERVED_FDS_MIN, fds / RESERVED_FDS_DIVISOR);

	limits->budget_bytes = MAX(memory_bytes / BUDGET_DIVISOR,
				   BUDGET_BODIES_MIN * body_bytes);
	limits->address_bytes = limits->budget_bytes / ADDRESS_DIVISOR;
	limits->connections =
		(uint32_t)(fds > reserved + CONNECTIONS_MIN ? fds - reserved
							    : CONNECTIONS_MIN);
	limits->small_connections =
		(uint32_t)CLAMP(reserved / SMALL_DIVISOR, SMALL_MIN, SMALL_MAX);
}

void bh_intake_init(bh_intake_t *in, const bh_intake_limits_t *limits)
{
	*in = (bh_intake_t){.limits = *limits};
	TAILQ_INIT(&in->conns);
}

void bh_intake_add(bh_intake_t *in, bh_intake_conn_t *conn, uint32_t group,
		   bh_usec_t now)
{
	conn->state = BH_CONN_IDLE;
	conn->group = MIN(group, BH_INTAKE_GROUPS - 1);
	conn->bytes = 0;
	conn->received = 0;
	conn->began_at = now;
	conn->moved_at = now;
	TAILQ_INSERT_TAIL(&in->conns, conn, link);
	in->n_by_group[conn->group]++;
}

void bh_intake_remove(bh_intake_t *in, bh_intake_conn_t *conn)
{
	bh_intake_set_bytes(in, conn, 0);
	TAILQ_REMOVE(&in->conns, conn, link);
	if (conn->state != BH_CONN_CLOSING)
		in->n_by_group[conn->group]--;
}

void bh_intake_set_state(bh_intake_conn_t *conn, bh_conn_state_t state,
			 bh_usec_t now)
{
	if (state == conn->state)
		return;
	if (conn->state == BH_CONN_IDLE || state == BH_CONN_IDLE) {
		conn->began_at = now;
		conn->received = 0;
	}
	conn->state = state;
	conn->moved_at = now;
}

void bh_intake_set_bytes(bh_intake_t *in, bh_intake_conn_t *conn,
			 uint64_t bytes)
{
	in->bytes += bytes - conn->bytes;
	conn->bytes = bytes;
}

void bh_intake_progress(bh_intake_conn_t *conn, uint64_t n, bh_usec_t now)
{
	conn->received += n;
	conn->moved_at = now;
}

static bool is_incomplete(const bh_intake_conn_t *conn)
{
	return conn->state == BH_CONN_HEAD || conn->state == BH_CONN_BODY;
}

static uint32_t group_max(const bh_intake_t *in, uint32_t group)
{
	return group ? in->limits.small_connections : in->limits.connections;
}

/* Return: a listener with too many connections, or -1. */
static int64_t crowded_group(const bh_intake_t *in)
{
	const bh_intake_conn_t *conn;

	/* The listener of the newest connection is the one that grew. */
	conn = TAILQ_LAST(&in->conns, bh_intake_conns);
	if (conn && in->n_by_group[conn->group] > group_max(in, conn->group))
		return conn->group;
	return -1;
}

bool bh_intake_is_over(const bh_intake_t *in)
{
	return in->bytes > in->limits.address_bytes;
}

bool bh_intake_is_crowded(const bh_intake_t *in)
{
	return crowded_group(in) >= 0;
}

/* Size and time without progress weigh equally: a request that has moved within
 * the last second counts by its size alone. */
static double weight(const bh_intake_conn_t *conn, bh_usec_t now)
{
	bh_usec_t still = MAX(now - conn->moved_at, 0);

	return (double)conn->bytes * (double)(BH_USEC_PER_SEC + still);
}

static bh_intake_conn_t *heaviest(bh_intake_t *in, bh_usec_t now,
				  bool is_writing, const uint32_t *address)
{
	bh_intake_conn_t *conn;
	bh_intake_conn_t *found = NULL;

	TAILQ_FOREACH(conn, &in->conns, link) {
		if (is_writing ? conn->state != BH_CONN_WRITING
			       : !is_incomplete(conn))
			continue;
		if (conn->bytes == 0 || (address && conn->address != *address))
			continue;
		if (!found || weight(conn, now) > weight(found, now))
			found = conn;
	}
	return found;
}

/* Idle connections and refused ones are closed before those with a request,
 * which others wait for; among them the longest without progress. */
static int rank(const bh_intake_conn_t *conn)
{
	switch (conn->state) {
	case BH_CONN_REFUSED:
		return 3;
	case BH_CONN_IDLE:
	case BH_CONN_HEAD:
	case BH_CONN_BODY:
		return 2;
	case BH_CONN_WRITING:
		return 1;
	default:
		return 0;
	}
}

static bh_intake_conn_t *oldest(bh_intake_t *in, uint32_t group)
{
	bh_intake_conn_t *conn;
	bh_intake_conn_t *found = NULL;

	TAILQ_FOREACH(conn, &in->conns, link) {
		if (conn->group != group || rank(conn) == 0)
			continue;
		if (!found || rank(conn) > rank(found) ||
		    (rank(conn) == rank(found) &&
		     conn->moved_at < found->moved_at))
			found = conn;
	}
	return found;
}

/* Finds the address with the largest sum of incomplete requests.
 * Return: that sum; @address is set unless it is 0. */
static uint64_t largest_address(const bh_intake_t *in, uint32_t *address,
				uint32_t *n_addresses)
{
	g_autoptr(GHashTable) sums = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
	const bh_intake_conn_t *conn;
	uint64_t largest = 0;

	TAILQ_FOREACH(conn, &in->conns, link) {
		gpointer key = GUINT_TO_POINTER(conn->address);
		uint64_t *sum;

		if (!is_incomplete(conn))
			continue;
		sum = g_hash_table_lookup(sums, key);
		if (!sum) {
			sum = g_new0(uint64_t, 1);
			g_hash_table_insert(sums, key, sum);
		}
		*sum += conn->bytes;
		if (*sum > largest) {
			largest = *sum;
			*address = conn->address;
		}
	}
	*n_addresses = g_hash_table_size(sums);
	return largest;
}

/* While several addresses have incomplete requests, each may fill half of the
 * budget. The one with most bytes loses its own requests, so that those of
 * others stay. A single one, as of all callers behind a load balancer, may fill
 * the budget. */
static bh_intake_conn_t *over_share(bh_intake_t *in, bh_usec_t now)
{
	uint32_t address = 0;
	uint32_t n = 0;

	if (in->bytes <= in->limits.address_bytes)
		return NULL;
	if (largest_address(in, &address, &n) <= in->limits.address_bytes ||
	    n < 2)
		return NULL;
	return heaviest(in, now, false, &address);
}

static bh_intake_conn_t *choose(bh_intake_t *in, bh_usec_t now,
				bh_intake_cause_t *cause)
{
	bh_intake_conn_t *conn = NULL;
	int64_t group = crowded_group(in);

	*cause = BH_INTAKE_CONNECTIONS;
	if (group >= 0)
		conn = oldest(in, (uint32_t)group);
	if (conn)
		return conn;
	*cause = BH_INTAKE_SHARE;
	conn = over_share(in, now);
	if (in->bytes > in->limits.budget_bytes) {
		*cause = BH_INTAKE_MEMORY;
		if (!conn)
			conn = heaviest(in, now, false, NULL);
		return conn ? conn : heaviest(in, now, true, NULL);
	}
	return conn;
}

bh_intake_conn_t *bh_intake_next_victim(bh_intake_t *in, bh_usec_t now,
					bh_intake_cause_t *cause)
{
	bh_intake_conn_t *conn = choose(in, now, cause);

	if (!conn)
		return NULL;
	in->causes[*cause]++;
	bh_intake_set_bytes(in, conn, 0);
	bh_intake_set_state(conn, BH_CONN_CLOSING, now);
	in->n_by_group[conn->group]--;
	return conn;
}

void bh_intake_skip_pause(bh_intake_t *in, bh_usec_t pause)
{
	bh_intake_conn_t *conn;

	TAILQ_FOREACH(conn, &in->conns, link) {
		conn->began_at += pause;
		conn->moved_at += pause;
	}
}

static bool is_too_slow(const bh_intake_t *in, const bh_intake_conn_t *conn,
			bh_usec_t now)
{
	bh_usec_t counted = now - conn->began_at - in->limits.stall_us;

	return counted > 0 &&
	       (double)conn->received < (double)in->limits.min_rate *
						(double)counted /
						(double)BH_USEC_PER_SEC;
}

bh_intake_cause_t bh_intake_overdue(const bh_intake_t *in,
				    const bh_intake_conn_t *conn, bh_usec_t now)
{
	const bh_intake_limits_t *limits = &in->limits;
	bh_usec_t age = now - conn->began_at;
	bool is_stalled = now - conn->moved_at > limits->stall_us;

	switch (conn->state) {
	case BH_CONN_HEAD:
		return age > limits->head_us ? BH_INTAKE_HEAD_TIMEOUT
					     : BH_INTAKE_NONE;
	case BH_CONN_BODY:
		if (age > limits->total_us)
			return BH_INTAKE_TOTAL_TIMEOUT;
		if (is_stalled)
			return BH_INTAKE_STALLED;
		return is_too_slow(in, conn, now) ? BH_INTAKE_RATE
						  : BH_INTAKE_NONE;
	case BH_CONN_WRITING:
		return is_stalled ? BH_INTAKE_STALLED : BH_INTAKE_NONE;
	case BH_CONN_REFUSED:
		return now - conn->moved_at > LINGER_US ? BH_INTAKE_LINGER
							: BH_INTAKE_NONE;
	default:
		return BH_INTAKE_NONE;
	}
}

int bh_intake_status(bh_intake_cause_t cause)
{
	switch (cause) {
	case BH_INTAKE_MEMORY:
	case BH_INTAKE_SHARE:
		return 429;
	case BH_INTAKE_HEAD_TIMEOUT:
	case BH_INTAKE_TOTAL_TIMEOUT:
	case BH_INTAKE_STALLED:
	case BH_INTAKE_RATE:
		return 408;
	default:
		return 0;
	}
}

const char *bh_intake_cause_name(bh_intake_cause_t cause)
{
	return cause_names[cause];
}

const char *bh_conn_state_name(bh_conn_state_t state)
{
	return state_names[state];
}
