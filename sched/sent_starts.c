/*
 * Starts that were sent to a host's agent. Which calls to the worker got no
 * answer is known to the agent's process alone until it tells. If that process
 * ends first, each start whose outcome it has not told may be carried out by a
 * later process of the worker. The leader therefore remembers what it has sent,
 * and tells the agent's next process of it, so that the loss of either one is
 * survived.
 *
 * Their tasks wait until none can be carried out any more. Those that had only
 * just been sent have most likely not reached the worker: they are sent again
 * under the same attempt number while it lives, as a process of the worker runs
 * an attempt at most once, whichever call arrives. If that gets no answer
 * either, the task waits.
 *
 * Load pattern: agents that are killed with start orders under way, beside
 * workers that carry out such orders late and start again under their ids.
 */
#include "sched/sched_impl.h"

/* Workers answer their agent within milliseconds: a call of a start that had no
 * outcome for longer when the agent's process ended has probably been lost. */
#define ANSWER_MAX_US (20 * BH_USEC_PER_MS)

/* A start is repeated through an agent that has been replaced for this long;
 * the agent needs a part of it to register. Then the run is stopped. */
#define REPEAT_MAX_US (3 * BH_USEC_PER_SEC)

/* Time after which a repeated start that was refused is sent again. */
#define REPEAT_RETRY_US (300 * BH_USEC_PER_MS)

static guint hash(gconstpointer key)
{
	const bh_sent_start_t *sent = key;

	return g_str_hash(sent->task) + sent->attempt;
}

static gboolean is_equal(gconstpointer a, gconstpointer b)
{
	const bh_sent_start_t *one = a;
	const bh_sent_start_t *other = b;

	return one->attempt == other->attempt &&
	       strcmp(one->task, other->task) == 0;
}

static bh_sent_start_t *find(const bh_host_t *host, const char *task,
			     uint32_t attempt)
{
	bh_sent_start_t key = {.task = (char *)task, .attempt = attempt};

	return host->sent_by_name
		       ? g_hash_table_lookup(host->sent_by_name, &key)
		       : NULL;
}

static void sent_start_free(bh_host_t *host, bh_sent_start_t *sent)
{
	TAILQ_REMOVE(&host->sent_starts, sent, link);
	g_hash_table_remove(host->sent_by_name, sent);
	g_free(sent->task);
	g_free(sent->worker);
	g_free(sent);
}

void bh_host_clear_sent_starts(bh_host_t *host)
{
	while (!TAILQ_EMPTY(&host->sent_starts))
		sent_start_free(host, TAILQ_FIRST(&host->sent_starts));
	g_clear_pointer(&host->sent_by_name, g_hash_table_destroy);
}

static bh_sent_start_t *find_or_add(bh_host_t *host, const char *task,
				    uint32_t attempt)
{
	bh_sent_start_t *sent = find(host, task, attempt);

	if (sent)
		return sent;
	sent = g_new0(bh_sent_start_t, 1);
	sent->task = g_strdup(task);
	sent->attempt = attempt;
	TAILQ_INSERT_TAIL(&host->sent_starts, sent, link);
	if (!host->sent_by_name)
		host->sent_by_name = g_hash_table_new(hash, is_equal);
	g_hash_table_add(host->sent_by_name, sent);
	return sent;
}

void bh_host_note_sent(bh_host_t *host, const char *task, uint32_t attempt,
		       bh_usec_t now)
{
	bh_sent_start_t *sent = find_or_add(host, task, attempt);

	g_free(sent->worker);
	sent->worker = g_strdup(host->info.id);
	sent->sent_at = now;
	sent->is_pending = true;
}

/* No outcome will be told, or it will not tell of this. */
static void note_late(bh_sched_t *s, bh_host_t *host, bh_sent_start_t *sent,
		      bh_usec_t until, bh_usec_t now)
{
	sent->is_pending = false;
	sent->late_until = MAX(sent->late_until, until);
	host->late_until = MAX(host->late_until, until);
	host->holds_acks = now < host->late_until;
	bh_host_note_late_start(s, host, sent->task, sent->attempt, until, now);
}

void bh_host_note_unanswered(bh_host_t *host, const char *task,
			     uint32_t attempt, const char *worker,
			     bh_usec_t until)
{
	bh_sent_start_t *sent = find_or_add(host, task, attempt);

	if (!sent->worker)
		sent->worker = g_strdup(worker);
	sent->late_until = MAX(sent->late_until, until);
}

void bh_sched_start_unanswered(bh_sched_t *s, const char *key, const char *name,
			       uint32_t attempt, uint32_t left_ms,
			       bh_usec_t now)
{
	bh_usec_t until =
		now + MIN(left_ms * BH_USEC_PER_MS, BH_LATE_CALL_MAX_US);
	bh_host_t *host = g_hash_table_lookup(s->by_key, key);

	if (!host)
		return;
	bh_host_note_unanswered(host, name, attempt, host->info.id, until);
	note_late(s, host, find(host, name, attempt), until, now);
}

void bh_host_note_outcome(bh_host_t *host, const char *task, uint32_t attempt)
{
	bh_sent_start_t *sent = find(host, task, attempt);

	if (sent && sent->is_pending)
		sent_start_free(host, sent);
}

void bh_host_note_sent_end(bh_host_t *host, const bh_ended_t *e)
{
	bh_sent_start_t *sent = find(host, e->task, e->attempt);

	if (sent && sent->is_pending)
		sent->end = e->number;
}

void bh_host_forget_sent_ends(bh_host_t *host)
{
	bh_sent_start_t *sent;

	TAILQ_FOREACH(sent, &host->sent_starts, link)
		sent->end = 0;
}

uint64_t bh_host_first_pending_end(const bh_host_t *host)
{
	const bh_sent_start_t *sent;
	uint64_t first = UINT64_MAX;

	TAILQ_FOREACH(sent, &host->sent_starts, link) {
		if (sent->end && !sent->late_until)
			first = MIN(first, sent->end);
	}
	return first;
}

bool bh_host_may_start_late(const bh_host_t *host, const char *task,
			    uint32_t attempt, bh_usec_t now)
{
	const bh_sent_start_t *sent = find(host, task, attempt);

	return sent && !sent->is_pending && now < sent->late_until;
}

void bh_host_expire_sent_starts(bh_host_t *host, bh_usec_t now)
{
	bh_sent_start_t *sent;
	bh_sent_start_t *next;

	TAILQ_FOREACH_SAFE(sent, &host->sent_starts, link, next) {
		if (sent->late_until && now >= sent->late_until)
			sent_start_free(host, sent);
	}
}

static void mark_for_repeat(bh_sched_t *s, bh_host_t *host,
			    const bh_sent_start_t *sent)
{
	bh_task_t *task = bh_task_find(s, sent->task);
	bh_run_t *run = task ? bh_run_find(task, sent->attempt) : NULL;

	if (!run || run->host != host || run->state != BH_RUN_ORDERED)
		return;
	run->must_repeat = true;
	host->has_lost_starts = true;
}

/* The process that these starts were sent to has ended, at @gone_at if that is
 * not 0. */
static uint32_t note_all_unanswered(bh_sched_t *s, bh_host_t *host,
				    bh_usec_t gone_at, bh_usec_t until,
				    bh_usec_t now)
{
	bh_sent_start_t *sent;
	uint32_t n = 0;

	TAILQ_FOREACH(sent, &host->sent_starts, link) {
		if (!sent->is_pending || sent->sent_at >= host->linked_at)
			continue;
		note_late(s, host, sent, until, now);
		if (gone_at && gone_at - sent->sent_at <= ANSWER_MAX_US)
			mark_for_repeat(s, host, sent);
		n++;
	}
	return n;
}

/* The process that these starts were sent to reports those without an answer.
 */
static void settle_all(bh_host_t *host)
{
	bh_sent_start_t *sent;
	bh_sent_start_t *next;

	TAILQ_FOREACH_SAFE(sent, &host->sent_starts, link, next) {
		if (sent->is_pending && sent->sent_at < host->linked_at)
			sent_start_free(host, sent);
	}
}

static void tell_agent(bh_sched_t *s, const bh_host_t *host, bh_usec_t now)
{
	bh_late_starts_t list = {0};
	const bh_sent_start_t *sent;
	uint32_t n = 0;

	TAILQ_FOREACH(sent, &host->sent_starts, link)
		n++;
	if (!n || !s->ops->late_starts)
		return;
	list.entries = g_new0(bh_late_start_t, n);
	TAILQ_FOREACH(sent, &host->sent_starts, link) {
		if (now >= sent->late_until)
			continue;
		list.entries[list.n++] = (bh_late_start_t){
			.task = g_strdup(sent->task),
			.attempt = sent->attempt,
			.worker = g_strdup(sent->worker),
			.left_ms = (uint32_t)((sent->late_until - now) /
					      BH_USEC_PER_MS) +
				   1,
		};
	}
	if (list.n)
		s->ops->late_starts(s->ctx, host->key, &list);
	bh_late_starts_clear(&list);
}

static void log_replaced(bh_sched_t *s, const bh_host_t *host,
			 const bh_worker_info_t *info, uint32_t n)
{
	bh_sched_log(s, "agent replaced", NULL,
		     "host=%s age_ms=%" G_GUINT64_FORMAT " unanswered=%u",
		     host->key, info->agent_age_ms, n);
}

void bh_host_note_agent(bh_sched_t *s, bh_host_t *host,
			const bh_worker_info_t *info, bh_usec_t now)
{
	bh_usec_t until = host->linked_at + BH_LATE_CALL_MAX_US;
	bool is_same = info->agent_process &&
		       info->agent_process == host->agent_process;
	bh_usec_t gone_at = info->agent_process ? host->agent_gone_at : 0;
	uint32_t n;

	if (host->is_agent_known || !host->is_linked)
		return;
	host->is_agent_known = true;
	host->agent_process = info->agent_process;
	host->agent_gone_at = 0;
	if (is_same) {
		settle_all(host);
	} else {
		/* All its calls were sent before its next process started. */
		if (info->agent_process)
			until = MIN(until,
				    now + BH_LATE_CALL_MAX_US -
					    (bh_usec_t)MIN(info->agent_age_ms,
							   UINT32_MAX) *
						    BH_USEC_PER_MS);
		n = note_all_unanswered(s, host, gone_at, until, now);
		s->stats.starts_unreported += n;
		if (n)
			log_replaced(s, host, info, n);
	}
	tell_agent(s, host, now);
}

void bh_host_note_agent_gone(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_sent_start_t *sent;

	if (!host->agent_gone_at || host->is_linked)
		return;
	TAILQ_FOREACH(sent, &host->sent_starts, link) {
		if (sent->is_pending)
			note_late(s, host, sent,
				  host->agent_gone_at + BH_LATE_CALL_MAX_US,
				  now);
	}
}

void bh_run_repeat_later(bh_run_t *run, bh_usec_t now)
{
	run->must_repeat = true;
	run->repeat_at = now + REPEAT_RETRY_US;
	run->host->has_lost_starts = true;
}

bool bh_run_may_repeat(const bh_run_t *run, bh_usec_t now)
{
	const bh_host_t *host = run->host;

	return run->state == BH_RUN_ORDERED && host->is_linked &&
	       host->info.state != BH_WORKER_DRAINING &&
	       now - host->linked_at <= REPEAT_MAX_US;
}

/* Only after lists that would show the run, and with a ticket where the queue
 * needs one. */
static bool can_repeat_now(const bh_sched_t *s, const bh_run_t *run,
			   bh_usec_t now)
{
	const bh_host_t *host = run->host;
	const bh_phase_t *phase = run->task->phase;

	return now >= run->repeat_at && host->is_linked &&
	       run->missed_at > host->linked_at && host->is_synced &&
	       host->info.state == BH_WORKER_READY && !host->is_evacuated &&
	       bh_phase_has_permission(s, phase, host, now);
}

static void repeat_start(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];

	bh_task_full_name(run->task, name);
	bh_sched_log(
		s, "start repeated", run->task->phase->rec->job->id,
		"task=%s attempt=%u worker=%s ordered_ms_ago=%" G_GINT64_FORMAT,
		name + BH_JOB_ID_LEN + 1, run->attempt, run->host->info.id,
		(now - run->ordered_at) / BH_USEC_PER_MS);
	s->stats.starts_repeated++;
	run->is_repeated = true;
	bh_run_send_start(s, run, now);
}

/* A start that was repeated and refused has nothing to stop. */
static void give_up(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	if (!run->is_repeated)
		bh_run_stop(s, run, "start order was lost", now);
	else if (!bh_run_keep(s, run, now))
		bh_run_lose(s, run, "start order was refused", now);
}

static void repeat_on_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	host->has_lost_starts = false;
	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (!run->must_repeat)
			continue;
		run->must_repeat = false;
		if (run->state != BH_RUN_ORDERED)
			continue;
		if (host->is_linked && !bh_run_may_repeat(run, now)) {
			give_up(s, run, now);
			continue;
		}
		if (can_repeat_now(s, run, now)) {
			repeat_start(s, run, now);
			continue;
		}
		run->must_repeat = true;
		host->has_lost_starts = true;
	}
}

void bh_hosts_repeat_starts(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (host->has_lost_starts)
			repeat_on_host(s, host, now);
	}
}
