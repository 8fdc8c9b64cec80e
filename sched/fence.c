#include "sched/fence.h"

#include <string.h>
#include <sys/queue.h>

#define NUMBER_MAX ((UINT64_C(1) << BH_FENCE_NUMBER_BITS) - 1)

/**
 * struct start - an attempt whose start was ordered
 * @worker: id that the order names
 * @boot: of the process that it is meant for
 * @pending: tries that are under way
 * @is_former: these were ordered over a former connection to a leader
 * @sent_at: when the first of these was sent
 * @late_until: a try that got no answer may be carried out until then; 0: there
 *	is none
 */
typedef struct start {
	TAILQ_ENTRY(start) link;
	char *task;
	uint32_t attempt;
	char *worker;
	uint64_t boot;
	uint32_t pending;
	bool is_former;
	bh_usec_t sent_at;
	bh_usec_t late_until;
} start_t;

typedef TAILQ_HEAD(starts, start) starts_t;

/**
 * struct bh_fence - state of the calls to a worker
 * @number: in the token of calls that are sent now
 * @expected_from: answers to polls with a lower number do not count
 * @is_bound: a process has answered such a poll
 * @is_in_doubt: the last poll got no answer
 * @boot: of that process, or of the last one that did
 * @expires_ms: end of the granted lease, on the worker's clock
 * @clock_ms: the worker's clock as of its last answer, at @clock_read_at
 * @clock_sent_at: when the poll that it answered was sent
 * @lease_until: time by which the granted lease has certainly expired; 0:
 *	unknown
 * @inherited_until: the same for a lease that a call for an earlier process may
 *	have set
 * @inherits_from: id that such calls name; NULL: any
 * @polled_id: id that the last poll names, or NULL
 * @sent_expires_ms: the lease of the last poll with one
 * @was_lease_only: the last poll was sent for its lease
 * @late_lease_until: a call with a lease that got no answer may be carried out
 *	until then; 0: there is none
 * @late_lease_id: id that it names
 * @any_lease_until: the same for calls that name no id, and for those of an
 *	earlier process of the agent
 * @id: that the worker last announced, or NULL
 * @acked_number: in the token of the last poll with an acknowledgement
 * @listed_end: lowest number among the ends in the last lists; 0: none
 * @n_ends: number of ends in the last lists
 */
struct bh_fence {
	bh_usec_t lease;
	bh_usec_t lease_max;
	uint64_t term;
	uint64_t number;
	uint64_t expected_from;
	bool is_bound;
	bool is_in_doubt;
	uint64_t boot;
	uint64_t expires_ms;
	uint64_t clock_ms;
	bh_usec_t clock_read_at;
	bh_usec_t clock_sent_at;
	bh_usec_t lease_until;
	bh_usec_t inherited_until;
	char *inherits_from;
	char *polled_id;
	uint64_t sent_expires_ms;
	bool was_lease_only;
	bh_usec_t late_lease_until;
	char *late_lease_id;
	bh_usec_t any_lease_until;
	char *id;
	uint64_t ack;
	uint64_t acked_number;
	uint64_t listed_end;
	uint32_t n_ends;
	starts_t starts;
};

uint64_t bh_fence_first_number(bh_usec_t led)
{
	uint64_t number = (uint64_t)(led / BH_FENCE_NUMBER_UNIT_US) + 1;

	return MIN(number, NUMBER_MAX);
}

bh_fence_t *bh_fence_new(bh_usec_t lease_max, bh_usec_t now)
{
	bh_fence_t *f = g_new0(bh_fence_t, 1);

	f->lease_max = lease_max;
	f->any_lease_until = now + BH_LATE_CALL_MAX_US;
	TAILQ_INIT(&f->starts);
	return f;
}

static void start_free(bh_fence_t *f, start_t *s)
{
	TAILQ_REMOVE(&f->starts, s, link);
	g_free(s->task);
	g_free(s->worker);
	g_free(s);
}

void bh_fence_free(bh_fence_t *f)
{
	while (!TAILQ_EMPTY(&f->starts))
		start_free(f, TAILQ_FIRST(&f->starts));
	g_free(f->inherits_from);
	g_free(f->polled_id);
	g_free(f->late_lease_id);
	g_free(f->id);
	g_free(f);
}

void bh_fence_note_new_host(bh_fence_t *f)
{
	f->any_lease_until = 0;
	if (!f->inherits_from)
		f->inherited_until = 0;
}

static void expect_other(bh_fence_t *f)
{
	f->number = MIN(f->number + 1, NUMBER_MAX);
	f->expected_from = f->number;
	f->is_bound = false;
}

void bh_fence_expect_other(bh_fence_t *f)
{
	if (f->is_bound)
		expect_other(f);
}

void bh_fence_set_leader(bh_fence_t *f, uint64_t term, uint64_t first_number,
			 bh_usec_t lease)
{
	start_t *s;

	TAILQ_FOREACH(s, &f->starts, link)
		s->is_former = s->pending > 0;
	if (term < f->term || (term == f->term && first_number <= f->number))
		return;
	if (term > f->term) {
		f->ack = 0;
		f->acked_number = 0;
	}
	f->term = term;
	f->lease = lease;
	f->number = MIN(first_number, NUMBER_MAX);
	f->expected_from = f->number;
	f->is_bound = false;
}

static uint64_t token_of(const bh_fence_t *f, uint64_t number)
{
	return f->term << BH_FENCE_NUMBER_BITS | number;
}

uint64_t bh_fence_token(const bh_fence_t *f)
{
	return token_of(f, f->number);
}

uint64_t bh_fence_boot(const bh_fence_t *f)
{
	return f->boot;
}

bool bh_fence_is_bound(const bh_fence_t *f)
{
	return f->is_bound;
}

void bh_fence_announced(bh_fence_t *f, const char *id, uint64_t boot)
{
	if (boot != f->boot)
		bh_fence_expect_other(f);
	g_free(f->id);
	f->id = g_strdup(id);
}

void bh_fence_drop_announcement(bh_fence_t *f)
{
	g_clear_pointer(&f->id, g_free);
}

/* Only this process sets leases. The worker's clock had reached at least
 * clock_ms when its lists arrived, and may run slow. */
static void update_lease_until(bh_fence_t *f)
{
	bh_usec_t length;

	if (f->expires_ms <= f->clock_ms)
		return;
	length = (bh_usec_t)(f->expires_ms - f->clock_ms) * BH_USEC_PER_MS;
	f->lease_until = f->clock_read_at + bh_lease_bound(length);
}

void bh_fence_granted(bh_fence_t *f, uint64_t boot, uint64_t expires_ms,
		      uint64_t ack)
{
	if (boot != f->boot)
		return;
	f->expires_ms = MAX(f->expires_ms, expires_ms);
	f->ack = MAX(f->ack, ack);
	update_lease_until(f);
}

/* A worker that has announced another id rejects the order. */
static bool is_rejected(const bh_fence_t *f, const start_t *s)
{
	return f->id && *s->worker && strcmp(s->worker, f->id) != 0;
}

static bool may_start_late(const bh_fence_t *f, bh_usec_t now)
{
	const start_t *s;

	TAILQ_FOREACH(s, &f->starts, link) {
		if (!is_rejected(f, s) && (s->pending || now < s->late_until))
			return true;
	}
	return false;
}

bool bh_fence_holds_acks(const bh_fence_t *f, bh_usec_t now)
{
	return f->n_ends < BH_ENDS_HELD_MAX && may_start_late(f, now);
}

/* An acknowledgement is not repeated once the worker has forgotten the ends:
 * the next process would forget as many of its own if it carries the call out
 * before it has seen a higher token. */
static uint64_t poll_ack(const bh_fence_t *f, const char *worker, bh_usec_t now)
{
	bool is_needed = f->listed_end && f->listed_end <= f->ack;

	return is_needed && worker && !bh_fence_holds_acks(f, now) ? f->ack : 0;
}

static void note_late_lease(bh_fence_t *f, const char *worker, bh_usec_t now)
{
	bh_usec_t until = now + BH_LATE_CALL_MAX_US;

	if (!worker) {
		f->any_lease_until = until;
		return;
	}
	f->late_lease_until = until;
	if (g_strcmp0(f->late_lease_id, worker) != 0) {
		g_free(f->late_lease_id);
		f->late_lease_id = g_strdup(worker);
	}
}

static bool must_extend_lease(const bh_fence_t *f)
{
	return f->expires_ms > f->sent_expires_ms && !f->was_lease_only;
}

void bh_fence_poll(bh_fence_t *f, const char *worker, bool is_led,
		   bh_usec_t now, bh_fence_poll_t *out)
{
	*out = (bh_fence_poll_t){.token = bh_fence_token(f),
				 .is_immediate = true,
				 .sent_at = now};
	g_free(f->polled_id);
	f->polled_id = g_strdup(worker);
	if (!f->is_bound)
		return;
	if (is_led && !f->is_in_doubt) {
		out->ack = poll_ack(f, worker, now);
		if (out->ack || must_extend_lease(f))
			out->expires_ms = f->expires_ms;
	}
	out->is_immediate = out->ack || out->expires_ms;
	out->is_lease_only = out->expires_ms && !out->ack;
	f->was_lease_only = out->is_lease_only;
	if (out->expires_ms)
		f->sent_expires_ms = out->expires_ms;
	if (out->ack)
		f->acked_number = f->number;
}

void bh_fence_poll_lost(bh_fence_t *f, const bh_fence_poll_t *poll,
			bool is_sent, bh_usec_t now)
{
	f->is_in_doubt = true;
	if (is_sent && poll->expires_ms)
		note_late_lease(f, f->polled_id, now);
}

/* The lease of a process that began earlier is older than any call that may
 * still be carried out. */
static bool is_young(const bh_fence_t *f, uint64_t boot, uint64_t unix_ms)
{
	bh_usec_t longest = BH_LATE_CALL_MAX_US + bh_lease_bound(f->lease_max);

	return unix_ms < boot + (uint64_t)(longest / BH_USEC_PER_MS);
}

/* A start sets the lease too. */
static void note_pending_starts(bh_fence_t *f, uint64_t boot, bh_usec_t now)
{
	const start_t *s;

	TAILQ_FOREACH(s, &f->starts, link) {
		if (s->pending && s->boot != boot)
			note_late_lease(f, s->worker, now);
	}
}

static void inherit_lease(bh_fence_t *f, uint64_t boot, bh_usec_t now,
			  uint64_t unix_ms)
{
	bool is_any = now < f->any_lease_until;

	note_pending_starts(f, boot, now);
	g_clear_pointer(&f->inherits_from, g_free);
	f->inherited_until = 0;
	if ((!is_any && now >= f->late_lease_until) ||
	    !is_young(f, boot, unix_ms))
		return;
	f->inherited_until = now + bh_lease_bound(f->lease_max);
	f->inherits_from = is_any ? NULL : g_strdup(f->late_lease_id);
}

static void bind_to(bh_fence_t *f, const bh_worker_lists_t *lists,
		    bh_usec_t now, uint64_t unix_ms)
{
	f->is_bound = true;
	if (lists->boot == f->boot)
		return;
	inherit_lease(f, lists->boot, now, unix_ms);
	f->boot = lists->boot;
	f->ack = 0;
	f->expires_ms = 0;
	f->sent_expires_ms = 0;
	f->lease_until = 0;
}

bool bh_fence_answered(bh_fence_t *f, const bh_fence_poll_t *poll,
		       const bh_worker_lists_t *lists, bh_usec_t now,
		       uint64_t unix_ms)
{
	f->is_in_doubt = false;
	if (lists->boot != f->boot && poll->expires_ms)
		note_late_lease(f, f->polled_id, now);
	if (poll->token < token_of(f, f->expected_from))
		return false;
	if (f->is_bound && lists->boot != f->boot) {
		expect_other(f);
		return false;
	}
	if (!f->is_bound)
		bind_to(f, lists, now, unix_ms);
	f->listed_end = lists->n_ended ? lists->ended[0].number : 0;
	f->n_ends = lists->n_ended;
	f->clock_ms = lists->clock_ms;
	f->clock_read_at = now;
	f->clock_sent_at = poll->sent_at;
	return true;
}

/* 0 once the worker has announced an id that rejects these calls. */
static bh_usec_t inherited_until(const bh_fence_t *f)
{
	bool has_other_id = f->inherits_from && f->id &&
			    strcmp(f->inherits_from, f->id) != 0;

	return has_other_id ? 0 : f->inherited_until;
}

bh_usec_t bh_fence_lease_until(const bh_fence_t *f)
{
	return MAX(f->lease_until, inherited_until(f));
}

bool bh_fence_outlives(const bh_fence_t *f, bh_usec_t now)
{
	return inherited_until(f) > now + bh_lease_bound(f->lease);
}

uint64_t bh_fence_expires_ms(const bh_fence_t *f)
{
	return f->expires_ms;
}

uint64_t bh_fence_ack(const bh_fence_t *f)
{
	return f->ack;
}

bool bh_fence_may_be_past(const bh_fence_t *f, uint64_t clock_ms, bh_usec_t now)
{
	bh_usec_t since = now - f->clock_sent_at;

	return clock_ms <= f->clock_ms + (uint64_t)(since / BH_USEC_PER_MS);
}

bool bh_fence_has_expired(const bh_fence_t *f, uint64_t expires_ms,
			  bh_usec_t now)
{
	bh_usec_t since = now - f->clock_read_at;

	return expires_ms <= f->clock_ms + (uint64_t)(since / BH_USEC_PER_MS);
}

static start_t *start_find(const bh_fence_t *f, const char *task,
			   uint32_t attempt)
{
	start_t *s;

	TAILQ_FOREACH(s, &f->starts, link) {
		if (s->attempt == attempt && strcmp(s->task, task) == 0)
			return s;
	}
	return NULL;
}

/* Whether a process that has not answered since may have carried out a start
 * before that was too late, and still hold a lease. */
static bool may_run_unseen(const bh_fence_t *f, const start_t *s, bh_usec_t now)
{
	return f->clock_read_at < s->late_until &&
	       now < s->late_until + bh_lease_bound(f->lease_max);
}

static start_t *start_find_or_add(bh_fence_t *f, const char *task,
				  uint32_t attempt, const char *worker)
{
	start_t *s = start_find(f, task, attempt);

	if (s)
		return s;
	s = g_new0(start_t, 1);
	s->task = g_strdup(task);
	s->attempt = attempt;
	s->worker = g_strdup(worker ? worker : "");
	TAILQ_INSERT_TAIL(&f->starts, s, link);
	return s;
}

/* The token is above that of each acknowledgement, so that a process that has
 * carried out the start rejects those that were sent before. */
uint64_t bh_fence_start_sent(bh_fence_t *f, const char *task, uint32_t attempt,
			     const char *worker, uint64_t boot, bh_usec_t now)
{
	start_t *s = start_find_or_add(f, task, attempt, worker);

	if (!s->pending++) {
		s->sent_at = now;
		s->boot = boot;
		s->is_former = false;
	}
	if (f->number == f->acked_number)
		f->number = MIN(f->number + 1, NUMBER_MAX);
	return bh_fence_token(f);
}

/* Whether the answer to a start shows that another process than the bound one
 * has carried it out, and taken its lease for a longer one: the clock of the
 * bound process cannot be that far behind. */
static bool is_clock_behind(const bh_fence_t *f, const start_t *s,
			    uint64_t clock_ms)
{
	bh_usec_t since = MAX(s->sent_at - f->clock_read_at, 0);
	bh_usec_t least = since - since * BH_CLOCK_DRIFT_PERCENT / 100;

	return clock_ms && s->boot == f->boot &&
	       clock_ms < f->clock_ms + (uint64_t)(least / BH_USEC_PER_MS);
}

void bh_fence_start_ended(bh_fence_t *f, const char *task, uint32_t attempt,
			  bool is_answered, uint64_t clock_ms, bh_usec_t now)
{
	start_t *s = start_find(f, task, attempt);
	start_t *next;

	if (s && s->pending)
		s->pending--;
	if (s && is_answered && is_clock_behind(f, s, clock_ms)) {
		note_late_lease(f, s->worker, now);
		bh_fence_expect_other(f);
	}
	if (s && !is_answered) {
		s->late_until = now + BH_LATE_CALL_MAX_US;
		note_late_lease(f, s->worker, now);
	}
	TAILQ_FOREACH_SAFE(s, &f->starts, link, next) {
		if (!s->pending && now >= s->late_until &&
		    !may_run_unseen(f, s, now))
			start_free(f, s);
	}
}

static uint32_t left_ms(bh_usec_t until, bh_usec_t now)
{
	return until > now ? (uint32_t)((until - now) / BH_USEC_PER_MS) + 1 : 0;
}

void bh_fence_note_late_start(bh_fence_t *f, const char *task, uint32_t attempt,
			      const char *worker, bh_usec_t until)
{
	start_t *s = start_find_or_add(f, task, attempt, worker);

	s->late_until = MAX(s->late_until, until);
}

uint32_t bh_fence_start_late_ms(const bh_fence_t *f, const char *task,
				uint32_t attempt, bh_usec_t now)
{
	const start_t *s = start_find(f, task, attempt);

	return s ? left_ms(s->late_until, now) : 0;
}

void bh_fence_late_starts(const bh_fence_t *f, bool is_down, bh_usec_t now,
			  bh_late_starts_t *out)
{
	const start_t *s;
	uint32_t n = 0;

	TAILQ_FOREACH(s, &f->starts, link)
		n++;
	*out = (bh_late_starts_t){.entries = n ? g_new0(bh_late_start_t, n)
					       : NULL};
	TAILQ_FOREACH(s, &f->starts, link) {
		bool is_lost = s->pending &&
			       (is_down || s->is_former || s->boot != f->boot);
		bh_usec_t until =
			is_lost ? now + BH_LATE_CALL_MAX_US : s->late_until;

		if (is_rejected(f, s) ||
		    (until <= now && (is_down || !may_run_unseen(f, s, now))))
			continue;
		out->entries[out->n++] = (bh_late_start_t){
			.task = g_strdup(s->task),
			.attempt = s->attempt,
			.left_ms = left_ms(until, now),
		};
	}
}
