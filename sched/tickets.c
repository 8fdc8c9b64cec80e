/*
 * The adviser's tickets: which workers it is asked about, and when.
 *
 * Load patterns: more workers than fit into one request, few of which may run a
 * step; approved workers that are lost while others are idle.
 */
#include "sched/sched_impl.h"

/* Workers in a request to the adviser, which takes longer to answer with each
 * one. */
#define ADVICE_WORKERS_MAX 30

/* The adviser is asked again if it has not answered after this time. */
#define ADVICE_RETRY_US (1500 * BH_USEC_PER_MS)

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

/* Adds the usable hosts of which nothing was ever said, or the others whose
 * answer has expired. Return: the number of ids. */
static uint32_t add_workers(const bh_sched_t *s, const bh_phase_t *phase,
			    bool is_first_time, const char **ids, uint32_t n,
			    bh_usec_t now)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		const answer_t *answer;

		if (n == ADVICE_WORKERS_MAX)
			break;
		if (!bh_host_is_usable(host, now) ||
		    g_strcmp0(host->info.service,
			      phase->rec->job->terms.service) != 0)
			continue;
		answer = find(phase, host);
		if (is_first_time ? !answer : answer && now >= answer->until)
			ids[n++] = host->info.id;
	}
	return n;
}

void bh_phase_ask_advice(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	const char *ids[ADVICE_WORKERS_MAX];
	char name[BH_TASK_NAME_BYTES];
	uint32_t n;

	if (!needs_advice(s, phase) ||
	    (phase->advice_asked_at &&
	     now - phase->advice_asked_at < ADVICE_RETRY_US))
		return;
	n = add_workers(s, phase, true, ids, 0, now);
	n = add_workers(s, phase, false, ids, n, now);
	if (n == 0)
		return;
	phase->advice_asked_at = now;
	g_clear_pointer(&phase->advised_on, g_ptr_array_unref);
	phase->advised_on = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < n; i++)
		g_ptr_array_add(phase->advised_on, g_strdup(ids[i]));
	g_snprintf(name, sizeof(name), "%s.%u.%u", phase->rec->job->id,
		   phase->occurrence, phase->step_index);
	s->ops->advise(s->ctx, name, ids, n);
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
	bh_phase_ask_advice(s, phase, now);
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

void bh_sched_advised(bh_sched_t *s, const char *phase_name,
		      const bh_ticket_t *tickets, uint32_t n, uint32_t valid_ms,
		      bh_usec_t now)
{
	g_autofree char *first = g_strdup_printf("%s.0", phase_name);
	bh_usec_t until = now + valid_ms * BH_USEC_PER_MS;
	bh_task_t *task = bh_task_find(s, first);
	bh_phase_t *phase;

	/* Without a time it is no answer: the adviser is asked again later. */
	if (!task || valid_ms == 0)
		return;
	phase = task->phase;
	if (!phase->advice)
		phase->advice = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, answer_free);
	for (guint i = 0; phase->advised_on && i < phase->advised_on->len; i++)
		set_answer(phase, phase->advised_on->pdata[i], NULL, until);
	for (uint32_t i = 0; i < n; i++)
		set_answer(phase, tickets[i].worker, tickets[i].ticket, until);
	phase->advice_asked_at = 0;
	s->must_place = true;
}

void bh_phase_clear_advice(bh_phase_t *phase)
{
	g_clear_pointer(&phase->advice, g_hash_table_destroy);
	g_clear_pointer(&phase->advised_on, g_ptr_array_unref);
}
