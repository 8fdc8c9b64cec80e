/*
 * The adviser's tickets: which steps it is asked about first, about which
 * workers, and what it has answered.
 *
 * Load patterns: more workers than fit into one request, few of which may run a
 * step; approved workers that are lost while others are idle; more steps than
 * the adviser can answer, some of which have no room or no worker that may run
 * them.
 */
#include "sched/sched_impl.h"

/* Workers in a request to the adviser, which takes longer to answer with each
 * one. */
#define ADVICE_WORKERS_MAX 30

/* Bounds the cost of a choice: the next one goes on with the phases that were
 * left out. */
#define LOOKUPS_MAX 50000

/**
 * struct answer - what the adviser has said of a worker and a step
 * @ticket: NULL if the worker may not run it
 * @until: end of its validity
 */
typedef struct answer {
	char *ticket;
	bh_usec_t until;
} answer_t;

static void answer_free(gpointer data)
{
	answer_t *answer = data;

	g_free(answer->ticket);
	g_free(answer);
}

static const answer_t *find(const bh_phase_t *phase, const bh_host_t *host)
{
	return phase->advice ? g_hash_table_lookup(phase->advice, host->info.id)
			     : NULL;
}

const char *bh_phase_ticket(const bh_phase_t *phase, const bh_host_t *host,
			    bh_usec_t now)
{
	const answer_t *answer = find(phase, host);

	return answer && now < answer->until ? answer->ticket : NULL;
}

void bh_phase_drop_ticket(bh_phase_t *phase, const bh_host_t *host)
{
	if (phase->advice && host->info.id)
		g_hash_table_remove(phase->advice, host->info.id);
}

static bool needs_advice(const bh_sched_t *s, const bh_phase_t *phase)
{
	const bh_queue_t *queue =
		bh_config_queue(s->config, phase->rec->job->queue);

	return queue && queue->needs_advice;
}

bool bh_phase_has_permission(const bh_sched_t *s, const bh_phase_t *phase,
			     const bh_host_t *host, bh_usec_t now)
{
	return !needs_advice(s, phase) || bh_phase_ticket(phase, host, now);
}

/**
 * struct choice - the workers that a phase needs advice on
 * @n_unknown: those of which nothing was said, or whose ticket has expired
 * @n_refused: those that were refused longer ago than the answer is valid; the
 *	adviser has no reason to change its mind
 * @has_room: a task could start on one of the former now
 */
typedef struct choice {
	uint32_t n_unknown;
	uint32_t n_refused;
	bool has_room;
} choice_t;

typedef enum worker_kind {
	WORKER_KNOWN,
	WORKER_UNKNOWN,
	WORKER_REFUSED,
} worker_kind_t;

static worker_kind_t kind_of(const bh_phase_t *phase, const bh_host_t *host,
			     bh_usec_t now)
{
	const answer_t *answer;

	if (!bh_host_is_usable(host, now) ||
	    g_strcmp0(host->info.service, phase->rec->job->terms.service) !=
		    0 ||
	    !bh_host_has_label(host, phase->step->label))
		return WORKER_KNOWN;
	answer = find(phase, host);
	if (answer && now < answer->until)
		return WORKER_KNOWN;
	return answer && !answer->ticket ? WORKER_REFUSED : WORKER_UNKNOWN;
}

static choice_t look_at(const bh_sched_t *s, const bh_phase_t *phase,
			bh_usec_t now)
{
	choice_t choice = {0};
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		worker_kind_t kind = kind_of(phase, host, now);

		choice.n_unknown += kind == WORKER_UNKNOWN;
		choice.n_refused += kind == WORKER_REFUSED;
		if (kind == WORKER_UNKNOWN && !choice.has_room)
			choice.has_room = bh_host_has_room(host, phase->step);
	}
	return choice;
}

static void add_workers(const bh_sched_t *s, const bh_phase_t *phase,
			worker_kind_t kind, bool has_room, GPtrArray *ids,
			bh_usec_t now)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (ids->len == ADVICE_WORKERS_MAX)
			break;
		if (kind_of(phase, host, now) == kind &&
		    bh_host_has_room(host, phase->step) == has_room)
			g_ptr_array_add(ids, g_strdup(host->info.id));
	}
}

static void phase_name(const bh_phase_t *phase, char name[BH_TASK_NAME_BYTES])
{
	g_snprintf(name, BH_TASK_NAME_BYTES, "%s.%u.%u", phase->rec->job->id,
		   phase->occurrence, phase->step_index);
}

static void ask(bh_sched_t *s, const bh_phase_t *phase, bool about_refused,
		bh_usec_t now)
{
	const bh_queue_t *queue =
		bh_config_queue(s->config, phase->rec->job->queue);
	worker_kind_t kind = about_refused ? WORKER_REFUSED : WORKER_UNKNOWN;
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
	bh_advice_request_t request = {0};
	char name[BH_TASK_NAME_BYTES];
	bh_advice_call_t *call;
	bh_usec_t cost;

	add_workers(s, phase, kind, true, ids, now);
	add_workers(s, phase, kind, false, ids, now);
	cost = (queue->advice_ms +
		(bh_usec_t)queue->advice_per_worker_ms * ids->len) *
	       BH_USEC_PER_MS;
	phase_name(phase, name);
	call = bh_advice_line_add(s->advice, name, cost, now);
	g_ptr_array_extend_and_steal(call->workers, g_steal_pointer(&ids));
	request.number = call->number;
	request.phase = call->phase;
	request.workers = (const char **)call->workers->pdata;
	request.n_workers = call->workers->len;
	request.timeout = bh_advice_call_timeout(call);
	s->stats.advice_calls++;
	s->ops->advise(s->ctx, &request);
}

/* Order of the phases, lowest first: those whose tasks could start at once with
 * a ticket, and of these those that have none; within that by rank. A call is
 * repeated while an earlier one may still be answered only if there is nothing
 * else to ask. */
#define COST_TICKETS  1u
#define COST_NO_ROOM  2u
#define COST_REPEATED 4u
#define COST_NOTHING  UINT32_MAX

static uint32_t cost_of(const bh_sched_t *s, const bh_advice_wish_t *wish,
			const choice_t *choice, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];
	const bh_advice_call_t *call;

	if (!choice->n_unknown && !choice->n_refused)
		return COST_NOTHING;
	phase_name(wish->phase, name);
	call = bh_advice_line_find_phase(s->advice, name);
	if (call && now < call->overdue_at)
		return COST_NOTHING;
	return (choice->has_room ? 0 : COST_NO_ROOM) +
	       (wish->is_blocked ? 0 : COST_TICKETS) +
	       (call ? COST_REPEATED : 0);
}

/* Return: whether there was anything to ask. */
static bool ask_best(bh_sched_t *s, bh_usec_t now)
{
	guint n = s->wants_advice->len;
	guint most = MAX(LOOKUPS_MAX / MAX(s->n_hosts, 1), 1);
	const bh_phase_t *best = NULL;
	uint32_t best_cost = COST_NOTHING;
	bool about_refused = false;

	for (guint i = 0; i < MIN(n, most) && best_cost > 0; i++) {
		const bh_advice_wish_t *wish =
			&g_array_index(s->wants_advice, bh_advice_wish_t,
				       (s->wishes_from + i) % n);
		choice_t choice = look_at(s, wish->phase, now);
		uint32_t cost = cost_of(s, wish, &choice, now);

		if (cost >= best_cost)
			continue;
		best = wish->phase;
		best_cost = cost;
		about_refused = !choice.n_unknown;
	}
	s->wishes_from = n > most ? (s->wishes_from + most) % n : 0;
	if (best)
		ask(s, best, about_refused, now);
	return best != NULL;
}

void bh_advice_begin_pass(bh_sched_t *s)
{
	g_array_set_size(s->wants_advice, 0);
}

void bh_advice_end_pass(bh_sched_t *s, bh_usec_t now)
{
	while (s->wants_advice->len &&
	       bh_advice_line_has_room(s->advice, now) && ask_best(s, now))
		;
}

static void add_wish(bh_sched_t *s, bh_phase_t *phase, bool is_blocked,
		     bh_usec_t now)
{
	bh_advice_wish_t wish = {.phase = phase, .is_blocked = is_blocked};

	if (s->ops->advise && bh_advice_line_has_room(s->advice, now))
		g_array_append_val(s->wants_advice, wish);
}

void bh_phase_want_advice(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	if (needs_advice(s, phase))
		add_wish(s, phase, false, now);
}

static bool has_ticket(const bh_sched_t *s, const bh_phase_t *phase,
		       bh_usec_t now)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (host->info.id && bh_phase_ticket(phase, host, now))
			return true;
	}
	return false;
}

bool bh_phase_awaits_advice(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	if (!needs_advice(s, phase) || has_ticket(s, phase, now))
		return false;
	add_wish(s, phase, true, now);
	return true;
}

static void set_answer(bh_phase_t *phase, const char *worker,
		       const char *ticket, bh_usec_t until)
{
	answer_t *answer = g_new0(answer_t, 1);

	answer->ticket = g_strdup(ticket);
	answer->until = until;
	g_hash_table_replace(phase->advice, g_strdup(worker), answer);
}

static void note_answer(bh_phase_t *phase, const bh_advice_call_t *call,
			const bh_advice_reply_t *reply, bh_usec_t now)
{
	bh_usec_t until = now + reply->valid_ms * BH_USEC_PER_MS;

	if (!phase->advice)
		phase->advice = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, answer_free);
	for (guint i = 0; i < call->workers->len; i++)
		set_answer(phase, call->workers->pdata[i], NULL, until);
	for (uint32_t i = 0; i < reply->n_tickets; i++)
		set_answer(phase, reply->tickets[i].worker,
			   reply->tickets[i].ticket, until);
}

void bh_sched_advised(bh_sched_t *s, uint64_t number,
		      const bh_advice_reply_t *reply, bh_usec_t now)
{
	/* Without a time it is no answer: the adviser is asked again. */
	bool is_answered =
		reply->outcome == BH_ADVICE_ANSWERED && reply->valid_ms > 0;
	bh_advice_call_t *call = bh_advice_line_take(
		s->advice, number,
		is_answered ? BH_ADVICE_ANSWERED : BH_ADVICE_FAILED, now);
	g_autofree char *first = NULL;
	const bh_task_t *task;

	if (!call)
		return;
	first = g_strdup_printf("%s.0", call->phase);
	task = bh_task_find(s, first);
	if (is_answered) {
		s->stats.advice_late += call->is_overdue || call->is_lost;
		if (task)
			note_answer(task->phase, call, reply, now);
	} else {
		s->stats.advice_failed++;
	}
	bh_advice_call_free(call);
	s->must_place = true;
}

void bh_phase_clear_advice(bh_phase_t *phase)
{
	g_clear_pointer(&phase->advice, g_hash_table_destroy);
}
