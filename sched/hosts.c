#include "sched/sched_impl.h"

/* A run is considered lost once this many consecutive reports do not list it
 * and this much time has passed since it was last confirmed or its stop
 * ordered: a worker's lists may have been made just before it carried out an
 * order. */
#define MISSING_TIMEOUT_US  (1000 * BH_USEC_PER_MS)
#define MISSING_REPORTS_MIN 2

/* A stop order that failed is repeated at once, unless it was given more
 * recently than this. */
#define STOP_RETRY_MIN_US (200 * BH_USEC_PER_MS)

/* A worker whose lists are younger than this is asked, not timed: they tell
 * when its runs end. */
#define LISTS_FRESH_US (1000 * BH_USEC_PER_MS)

/* Time for which a host gets no new tasks after its worker refused one for lack
 * of resources, or because it has ended, which a report tells later. */
#define FULL_US (300 * BH_USEC_PER_MS)

/* Weight of a finished run's relative speed in its host's average speed. */
#define RATE_WEIGHT 0.2

/* Runs that took less than this tell nothing about a host's speed. */
#define RATE_RUN_MIN_US (100 * BH_USEC_PER_MS)

/* Finished runs of a phase from which on its average rate is used. */
#define RATE_COUNT_MIN 3

/* Time after which a stop order that had no effect is repeated. */
#define STOP_RETRY_US (1000 * BH_USEC_PER_MS)

/* Assumed part of the requested processor time that tasks really use, until the
 * fillers' use of the rest shows it. */
#define FILLER_SHARE_PRIOR 0.6

/* A host that has been silent for this long, and whose lease has expired, may
 * be removed: a new leader would have to wait for it. An agent that is still
 * alive registers again. */
#define HOST_REMOVE_AFTER_US (7 * BH_USEC_PER_SEC)

/* Expired leases of hosts that were heard of more recently are not logged:
 * nothing ran there, and at a start there are many. */
#define LOG_LAPSE_AFTER_US (1000 * BH_USEC_PER_MS)

/* A job that an entry has stored reaches the leader with its next poll of the
 * jobs' table. Until this time has passed and that poll was answered, tasks of
 * an unknown job are neither stopped nor their ends acknowledged. */
#define ORPHAN_WAIT_US (2500 * BH_USEC_PER_MS)

static bh_host_t *host_find(const bh_sched_t *s, const char *key)
{
	return g_hash_table_lookup(s->by_key, key);
}

static void adopt_checkpoint(bh_sched_t *s, bh_task_t *task,
			     const char *checkpoint)
{
	if (!checkpoint || !*checkpoint || task->is_done ||
	    !task->phase->step->is_checkpointing ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
	bh_segment_mark_dirty(s, bh_task_segment(task));
}

void bh_run_lose(bh_sched_t *s, bh_run_t *run, const char *why, bh_usec_t now)
{
	bh_task_t *task = run->task;
	char name[BH_TASK_NAME_BYTES];

	bh_task_full_name(task, name);
	bh_sched_log(s, "run lost", task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s percent=%u why=%s",
		     name + BH_JOB_ID_LEN + 1, run->attempt,
		     run->host->info.id ? run->host->info.id : "-",
		     run->percent, why);
	adopt_checkpoint(s, task, run->checkpoint);
	bh_run_drop(s, run);
	bh_task_requeue(s, task, now);
}

static void note_started(bh_task_t *task)
{
	bh_rec_t *rec = task->phase->rec;

	if (rec->state == BH_JOB_QUEUED)
		rec->state = BH_JOB_RUNNING;
}

/* Reports from before the confirmation do not count as missing the run. */
static void confirm_run(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_run_confirm(s, run);
	run->confirmed_at = now;
	run->reports_missed = 0;
}

static void clear_acks(bh_host_t *host)
{
	bh_pending_ack_t *ack;

	while ((ack = g_queue_pop_head(&host->acks)) != NULL)
		g_free(ack);
}

static void copy_info(bh_host_t *host, const bh_worker_info_t *info)
{
	bh_worker_info_clear(&host->info);
	host->info = *info;
	host->info.id = g_strdup(info->id);
	host->info.service = g_strdup(info->service);
	host->info.zone = g_strdup(info->zone);
	host->info.late_starts = (bh_late_starts_t){0};
	host->rack = NULL;
	for (uint32_t i = 0; i < info->n_labels; i++) {
		host->info.labels[i] = g_strdup(info->labels[i]);
		/* Labels that name a rack look like "r1-3"; others do not. */
		if (info->labels[i][0] == 'r' &&
		    g_ascii_isdigit(info->labels[i][1]))
			host->rack = host->info.labels[i];
	}
}

static void end_failed(bh_sched_t *s, bh_host_t *host, bh_task_t *task,
		       const bh_ended_t *e, bh_usec_t now)
{
	bh_health_record(s, host, task, false, now);
	task->avoided_host = host;
	bh_task_failed(s, task, e->attempt, now);
}

static void update_rate(bh_sched_t *s, const bh_run_t *run, bh_host_t *host,
			bh_usec_t now)
{
	bh_phase_t *phase = run->task->phase;
	bh_usec_t elapsed = now - run->ordered_at;
	double rate;
	double mean;

	if (phase->step->is_long_running || phase->step->is_filler ||
	    elapsed < RATE_RUN_MIN_US || run->first_percent > 0)
		return;
	bh_racks_note_end(s, run, elapsed);
	/* A longer run outside its rack tells nothing about the host. */
	rate = (double)phase->step->estimate_ms * 1000 / (double)elapsed *
	       bh_run_slowdown(s, run);
	phase->rate_sum += rate;
	phase->rate_count++;
	mean = phase->rate_sum / phase->rate_count;
	if (phase->rate_count >= RATE_COUNT_MIN)
		host->speed += RATE_WEIGHT * (rate / mean - host->speed);
}

static void handle_end(bh_sched_t *s, bh_host_t *host, const bh_ended_t *e,
		       bh_usec_t now)
{
	bh_task_t *task = bh_task_find(s, e->task);
	bh_run_t *run;

	s->stats.ends[e->how]++;
	if (!task)
		return;
	run = bh_run_find(task, e->attempt);
	bh_sched_log(
		s, "end", task->phase->rec->job->id,
		"task=%s attempt=%u worker=%s how=%s number=%" G_GUINT64_FORMAT
		" ran_ms=%" G_GINT64_FORMAT,
		e->task + BH_JOB_ID_LEN + 1, e->attempt, host->info.id,
		bh_end_name(e->how), e->number,
		run ? (now - run->ordered_at) / 1000 : -1);
	if (e->attempt >= task->attempt) {
		task->attempt = e->attempt;
		adopt_checkpoint(s, task, e->checkpoint);
	}
	note_started(task);
	if (run && e->how == BH_END_DONE)
		update_rate(s, run, host, now);
	bh_host_note_sent_end(host, e);
	if (run && (e->how == BH_END_DONE || !bh_run_keep(s, run, now)))
		bh_run_drop(s, run);
	if (e->how == BH_END_DONE) {
		bh_health_record(s, host, task, true, now);
		bh_task_done(s, task, now);
	} else if (e->how == BH_END_FAILED) {
		end_failed(s, host, task, e, now);
	}
	if (run)
		bh_task_requeue(s, task, now);
}

static void orphan_free(bh_host_t *host, bh_orphan_t *orphan)
{
	TAILQ_REMOVE(&host->orphans, orphan, link);
	g_free(orphan->task);
	g_free(orphan->checkpoint);
	g_free(orphan);
}

static void remove_orphans(bh_host_t *host)
{
	while (!TAILQ_EMPTY(&host->orphans))
		orphan_free(host, TAILQ_FIRST(&host->orphans));
}

/* An end stays an end, whether the worker lists it again or not. */
static void remove_orphan_runs(bh_host_t *host, bool is_all)
{
	bh_orphan_t *orphan;
	bh_orphan_t *next;

	TAILQ_FOREACH_SAFE(orphan, &host->orphans, link, next) {
		if (!orphan->number && (is_all || !orphan->is_listed))
			orphan_free(host, orphan);
	}
}

/* Whether the job of an orphan may still become known: a job is stored before
 * any of its tasks starts. */
static bool may_become_known(const bh_sched_t *s, const bh_orphan_t *orphan,
			     bh_usec_t now)
{
	return now - orphan->since < ORPHAN_WAIT_US ||
	       s->jobs_read_at < orphan->since;
}

/* Adds or updates an orphan.
 * Return: whether its job may still become known. */
static bool record_orphan(const bh_sched_t *s, bh_host_t *host,
			  const bh_orphan_t *seen, bh_usec_t now)
{
	bh_orphan_t *orphan;

	TAILQ_FOREACH(orphan, &host->orphans, link) {
		if (orphan->attempt == seen->attempt &&
		    strcmp(orphan->task, seen->task) == 0)
			break;
	}
	if (!orphan) {
		orphan = g_new0(bh_orphan_t, 1);
		orphan->task = g_strdup(seen->task);
		orphan->attempt = seen->attempt;
		orphan->since = now;
		TAILQ_INSERT_TAIL(&host->orphans, orphan, link);
	}
	orphan->is_listed = true;
	orphan->percent = seen->percent;
	orphan->number = seen->number;
	orphan->end = seen->end;
	g_free(orphan->checkpoint);
	orphan->checkpoint = g_strdup(seen->checkpoint);
	return may_become_known(s, orphan, now);
}

static void keep_end(bh_sched_t *s, bh_host_t *host, const bh_ended_t *e,
		     bh_usec_t now)
{
	bh_orphan_t seen = {.task = e->task,
			    .attempt = e->attempt,
			    .number = e->number,
			    .end = e->how,
			    .checkpoint = e->checkpoint};

	bh_sched_log(s, "end kept", NULL,
		     "task=%s attempt=%u worker=%s number=%" G_GUINT64_FORMAT
		     " why=its job is not known yet",
		     e->task, e->attempt, host->info.id, e->number);
	record_orphan(s, host, &seen, now);
}

/* Ends whose job can no longer become known need no job to record them. */
static void drop_orphan_ends(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_orphan_t *orphan;
	bh_orphan_t *next;

	TAILQ_FOREACH_SAFE(orphan, &host->orphans, link, next) {
		if (orphan->number && !may_become_known(s, orphan, now))
			orphan_free(host, orphan);
	}
}

/* The worker forgets ends once they are acknowledged: a gap means that one was
 * acknowledged that nobody saw. Before its first end this leader does not know
 * what an earlier one has acknowledged. */
static void note_missing_ends(bh_sched_t *s, const bh_host_t *host,
			      uint64_t number)
{
	if (host->last_ended == 0 || number <= host->last_ended + 1)
		return;
	s->stats.ends_missing += number - host->last_ended - 1;
	bh_sched_log(s, "ends missing", NULL,
		     "worker=%s boot=%" G_GUINT64_FORMAT
		     " after=%" G_GUINT64_FORMAT " next=%" G_GUINT64_FORMAT
		     " acked=%" G_GUINT64_FORMAT,
		     host->info.id ? host->info.id : "-", host->boot,
		     host->last_ended, number, host->acked);
}

/* Ends after @after, up to the last one handled, may be acknowledged once what
 * has changed by now is stored. */
static void queue_ack(bh_sched_t *s, bh_host_t *host, uint64_t after)
{
	bh_pending_ack_t *ack;

	if (host->last_ended == after)
		return;
	ack = g_new0(bh_pending_ack_t, 1);
	ack->number = host->last_ended;
	ack->change = s->change;
	g_queue_push_tail(&host->acks, ack);
}

/* The end of an unknown job's task must not delay those after it: tasks whose
 * ends are not counted are started again. Only the acknowledgement waits, see
 * bh_host_release_acks(). */
static void handle_ends(bh_sched_t *s, bh_host_t *host,
			const bh_worker_lists_t *lists, bh_usec_t now)
{
	uint64_t before = host->last_ended;
	uint64_t queued = before;

	drop_orphan_ends(s, host, now);
	host->n_ends = lists->n_ended;
	for (uint32_t i = 0; i < lists->n_ended; i++) {
		const bh_ended_t *e = &lists->ended[i];

		if (e->number <= before)
			continue;
		note_missing_ends(s, host, e->number);
		if (bh_task_find(s, e->task)) {
			handle_end(s, host, e, now);
		} else {
			queue_ack(s, host, queued);
			queued = host->last_ended;
			keep_end(s, host, e, now);
		}
		host->last_ended = MAX(host->last_ended, e->number);
	}
	queue_ack(s, host, queued);
}

static void stop_orphan(bh_sched_t *s, bh_host_t *host, const bh_active_t *a)
{
	bh_sched_log(s, "stop", NULL, "task=%s attempt=%u worker=%s why=%s",
		     a->task, a->attempt, host->info.id,
		     "no job needs this attempt");
	s->ops->stop(s->ctx, host->key, host->boot, a->task, a->attempt);
}

static bool has_live_run(const bh_task_t *task)
{
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		if (task->runs[i] && !task->runs[i]->is_kept)
			return true;
	}
	return false;
}

static bool may_adopt(const bh_task_t *task)
{
	if (!task || task->is_done || bh_rec_is_over(task->phase->rec))
		return false;
	if (task->runs[0] && task->runs[1])
		return false;
	return task->phase->step->is_speculative || !has_live_run(task);
}

/* Whether the task has a run, and would be started again after it. */
static bool may_start_again(const bh_task_t *task)
{
	return task && !task->is_done && !bh_rec_is_over(task->phase->rec) &&
	       !(task->runs[0] && task->runs[1]);
}

/* The task must not start anywhere before this attempt has stopped, whatever
 * becomes of its other run. */
static bh_run_t *track_unwanted(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
				const bh_active_t *a, bh_usec_t now)
{
	bh_run_t *run = bh_run_new(task, host, a->attempt, BH_RUN_ACTIVE, now);

	run->first_percent = a->percent;
	bh_run_stop(s, run, "another attempt was started", now);
	return run;
}

static bh_run_t *match_active(bh_sched_t *s, bh_host_t *host,
			      const bh_active_t *a, bh_usec_t now)
{
	bh_task_t *task = bh_task_find(s, a->task);
	bh_run_t *run = task ? bh_run_find(task, a->attempt) : NULL;
	bh_orphan_t seen = {.task = a->task,
			    .attempt = a->attempt,
			    .percent = a->percent,
			    .checkpoint = a->checkpoint};

	if (task)
		task->attempt = MAX(task->attempt, a->attempt);
	if (run && run->host == host)
		return run;
	if (!may_adopt(task)) {
		if (may_start_again(task) && !run)
			return track_unwanted(s, task, host, a, now);
		if (task || !record_orphan(s, host, &seen, now))
			stop_orphan(s, host, a);
		return NULL;
	}
	run = bh_run_new(task, host, a->attempt, BH_RUN_ACTIVE, now);
	run->first_percent = a->percent;
	bh_sched_log(s, "adopt", task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s percent=%u",
		     a->task + BH_JOB_ID_LEN + 1, a->attempt, host->info.id,
		     a->percent);
	return run;
}

static void handle_active(bh_sched_t *s, bh_host_t *host, const bh_active_t *a,
			  bh_usec_t now)
{
	bh_run_t *run = match_active(s, host, a, now);
	const bh_task_t *task;

	if (!run) {
		task = bh_task_find(s, a->task);
		if (task)
			bh_host_charge_unclaimed(host, task->phase->step);
		else
			host->has_unknown_run = true;
		return;
	}
	run->reports_missed = 0;
	if (!run->is_confirmed || run->is_kept)
		confirm_run(s, run, now);
	note_started(run->task);
	if (run->state == BH_RUN_ORDERED)
		run->state = BH_RUN_ACTIVE;
	if (run->is_kept)
		bh_run_revive(s, run, now);
	if (!run->seen_at) {
		run->seen_at = now;
		run->first_percent = a->percent;
		run->progressed_at = now;
	}
	if (a->percent != run->percent)
		run->progressed_at = now;
	run->percent = a->percent;
	run->gauge = a->gauge;
	if (!run->task->phase->step->is_long_running || run->percent < 100)
		run->serving_since = 0;
	else if (!run->serving_since)
		run->serving_since = now;
	bh_run_set_checkpoint(run, a->checkpoint, now);
	if (run->state == BH_RUN_STOPPING &&
	    now - run->stop_ordered_at > STOP_RETRY_US)
		bh_run_stop(s, run, "still running after its stop order", now);
}

static void repeat_stops(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->state == BH_RUN_STOPPING && !run->is_confirmed &&
		    now - run->stop_ordered_at > STOP_RETRY_US)
			bh_run_stop(s, run, "stop order was not answered", now);
	}
}

/* Only after lists that are whole: the end of a run that they leave out may not
 * have been listed yet. */
static void check_missing_runs(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (run->state == BH_RUN_ORDERED && run->reports_missed &&
		    !run->must_repeat && run->ordered_at < host->linked_at)
			bh_run_stop(s, run, "start order was lost", now);
		if (run->state != BH_RUN_ORDERED && run->is_confirmed &&
		    !run->is_kept &&
		    run->reports_missed >= MISSING_REPORTS_MIN &&
		    now - MAX(run->confirmed_at, run->stop_ordered_at) >
			    MISSING_TIMEOUT_US &&
		    !bh_run_keep(s, run, now))
			bh_run_lose(s, run, "worker no longer reports it", now);
	}
}

static void handle_lists(bh_sched_t *s, bh_host_t *host,
			 const bh_worker_lists_t *lists, bh_usec_t now)
{
	bh_orphan_t *orphan;
	bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
		run->reports_missed++;
	TAILQ_FOREACH(orphan, &host->orphans, link)
		orphan->is_listed = false;
	bh_host_clear_unclaimed(host);
	handle_ends(s, host, lists, now);
	for (uint32_t i = 0; i < lists->n_active; i++)
		handle_active(s, host, &lists->active[i], now);
	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->reports_missed)
			run->missed_at = now;
	}
	remove_orphan_runs(host, false);
	repeat_stops(s, host, now);
	if (!lists->has_more_ended) {
		check_missing_runs(s, host, now);
		host->is_synced = true;
	}
	/* A grant that was delayed counts from its arrival. */
	if (lists->n_active && now >= host->lease_ends_at)
		host->outlived_until = MAX(host->outlived_until,
					   now + bh_sched_lease_bound(s));
}

static void extend_lease(bh_sched_t *s, bh_host_t *host, uint64_t clock_ms,
			 bh_usec_t now)
{
	uint64_t expires = clock_ms + (uint64_t)s->bounds.lease_ms;

	host->expires_ms = MAX(host->expires_ms, expires);
	host->lease_ends_at = now + bh_sched_lease_bound(s);
}

static void reset_boot(bh_sched_t *s, bh_host_t *host, const char *why,
		       bh_usec_t now)
{
	bh_host_infer_crash(s, host, now);
	bh_host_lose_runs(s, host, why, now);
	bh_host_forget_sent_ends(host);
	remove_orphans(host);
	clear_acks(host);
	host->last_ended = 0;
	host->acked = 0;
	host->expires_ms = 0;
}

/* Stops the runs that a draining worker would end by its exit, so that they are
 * started elsewhere. */
static void stop_runs_before_exit(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (run->state == BH_RUN_STOPPING)
			continue;
		if (run->task->phase->step->is_long_running ||
		    bh_run_remaining_ms(run) > (int64_t)host->info.leaves_ms)
			bh_run_stop(s, run, "worker is draining", now);
	}
}

void bh_host_lose_runs(bh_sched_t *s, bh_host_t *host, const char *why,
		       bh_usec_t now)
{
	bh_run_t *run;
	bh_run_t *next;

	bh_host_keep_late_runs(s, host, now);
	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (!run->is_kept)
			bh_run_lose(s, run, why, now);
	}
	bh_host_clear_unclaimed(host);
	remove_orphan_runs(host, true);
	host->is_synced = true;
	host->lease_ends_at = now;
	host->outlived_until = 0;
}

/* A call that got no answer may be carried out late, and the time of the lease
 * that it grants may count from then on. Where that happens elsewhere, calls to
 * a silent worker are taken to be late too. */
static bool may_calls_be_late(const bh_sched_t *s, const bh_host_t *host)
{
	if (host->info.is_idle && TAILQ_EMPTY(&host->runs))
		return false;
	return s->call_lost_at &&
	       s->call_lost_at + BH_LATE_CALL_MAX_US > host->heard_at;
}

static void note_lease_in_doubt(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	if (host->is_lease_in_doubt)
		return;
	host->is_lease_in_doubt = true;
	bh_sched_log(s, "host lease in doubt", NULL,
		     "host=%s silent_ms=%" G_GINT64_FORMAT
		     " call_lost_ms_ago=%" G_GINT64_FORMAT " runs=%u",
		     host->key, (now - host->heard_at) / 1000,
		     (now - s->call_lost_at) / 1000, host->n_runs);
}

static void note_lease_unconfirmed(bh_sched_t *s, bh_host_t *host,
				   bh_usec_t now)
{
	s->awaits_confirmation = true;
	if (host->is_lease_unconfirmed)
		return;
	host->is_lease_unconfirmed = true;
	bh_sched_log(s, "host lease unconfirmed", NULL,
		     "host=%s silent_ms=%" G_GINT64_FORMAT
		     " led_ms_ago=%" G_GINT64_FORMAT " runs=%u",
		     host->key, (now - host->heard_at) / 1000,
		     (now - s->led_at) / 1000, host->n_runs);
}

/* Whether the worker's lease has ended, and with it all that ran there. */
static bool is_lease_over(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_usec_t ends_at = MAX(host->lease_ends_at, host->outlived_until);

	if (now < ends_at)
		return false;
	if (!TAILQ_EMPTY(&host->runs) && now - host->heard_at < LISTS_FRESH_US)
		return false;
	if (may_calls_be_late(s, host) && now < ends_at + BH_LATE_CALL_MAX_US) {
		note_lease_in_doubt(s, host, now);
		return false;
	}
	/* Another leader may have been elected since, and prolong the lease. */
	if (s->led_at < ends_at) {
		note_lease_unconfirmed(s, host, now);
		return false;
	}
	return true;
}

void bh_sched_note_leading(bh_sched_t *s, bh_usec_t at)
{
	if (at > s->led_at && s->has_uncovered_job)
		s->must_place = true;
	s->led_at = MAX(s->led_at, at);
}

bool bh_sched_awaits_confirmation(const bh_sched_t *s)
{
	return s->awaits_confirmation || s->has_uncovered_job;
}

static bool may_hold_runs(const bh_host_t *host)
{
	return !host->is_synced || bh_host_has_live_run(host);
}

void bh_hosts_expire(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;
	bool is_recovering = false;

	s->awaits_confirmation = false;
	TAILQ_FOREACH(host, &s->hosts, link) {
		bh_host_drop_late_runs(s, host, now);
		bh_host_expire_sent_starts(host, now);
		if (may_hold_runs(host) && is_lease_over(s, host, now)) {
			if (now - host->heard_at > LOG_LAPSE_AFTER_US)
				bh_sched_log(
					s, "host lease expired", NULL,
					"host=%s silent_ms=%" G_GINT64_FORMAT
					" led_ms_ago=%" G_GINT64_FORMAT,
					host->key,
					(now - host->heard_at) / 1000,
					(now - s->led_at) / 1000);
			bh_host_note_agent_gone(s, host, now);
			bh_host_lose_runs(s, host, "lease expired", now);
		}
		if (!host->is_synced)
			is_recovering = true;
	}
	if (s->is_recovering && !is_recovering) {
		bh_sched_log(s, "recovered", NULL, "hosts=%u", s->n_hosts);
		s->must_place = true;
	}
	s->is_recovering = is_recovering;
}

/* The ends from @number on are acknowledged only once what has changed by now
 * is stored. */
static void delay_acks(const bh_sched_t *s, bh_host_t *host, uint64_t number)
{
	for (GList *l = host->acks.head; l; l = l->next) {
		bh_pending_ack_t *ack = l->data;

		if (ack->number >= number)
			ack->change = s->change;
	}
}

void bh_hosts_adopt_orphans(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;
	bh_orphan_t *orphan;
	bh_orphan_t *next;

	TAILQ_FOREACH(host, &s->hosts, link) {
		bh_host_find_unknown_starts(s, host, now);
		TAILQ_FOREACH_SAFE(orphan, &host->orphans, link, next) {
			bh_ended_t e = {.number = orphan->number,
					.task = orphan->task,
					.attempt = orphan->attempt,
					.how = orphan->end,
					.checkpoint = orphan->checkpoint};
			bh_active_t a = {.task = orphan->task,
					 .attempt = orphan->attempt,
					 .percent = orphan->percent,
					 .checkpoint = orphan->checkpoint};

			if (!bh_task_find(s, orphan->task))
				continue;
			if (orphan->number) {
				handle_end(s, host, &e, now);
				delay_acks(s, host, orphan->number);
			} else {
				handle_active(s, host, &a, now);
			}
			orphan_free(host, orphan);
		}
	}
}

/* The lowest number among the ends whose jobs are not known. */
static uint64_t first_orphan_end(const bh_host_t *host)
{
	const bh_orphan_t *orphan;
	uint64_t first = UINT64_MAX;

	TAILQ_FOREACH(orphan, &host->orphans, link) {
		if (orphan->number)
			first = MIN(first, orphan->number);
	}
	return first;
}

void bh_host_release_acks(bh_sched_t *s, bh_host_t *host)
{
	uint64_t first =
		MIN(first_orphan_end(host), bh_host_first_pending_end(host));
	uint64_t oldest = bh_sched_oldest_unstored(s);
	bh_pending_ack_t *ack;

	if (host->holds_acks &&
	    MIN(host->n_ends, host->last_ended - host->acked) <
		    BH_ENDS_HELD_MAX)
		return;
	while ((ack = g_queue_peek_head(&host->acks)) != NULL &&
	       ack->number < first && ack->change < oldest) {
		host->acked = ack->number;
		g_free(g_queue_pop_head(&host->acks));
	}
}

void bh_host_send_grant(bh_sched_t *s, bh_host_t *host)
{
	s->ops->grant(s->ctx, host->key, host->boot, host->expires_ms,
		      host->acked);
}

/* @grant_ms: time for which earlier leaders may still grant leases */
static bh_usec_t inherited_lease_end(const bh_sched_t *s, int64_t grant_ms,
				     bh_usec_t now)
{
	return now + grant_ms * BH_USEC_PER_MS + bh_sched_lease_bound(s);
}

void bh_sched_limit_grants(bh_sched_t *s, int64_t grant_ms, bh_usec_t now)
{
	bh_usec_t end = inherited_lease_end(s, grant_ms, now);
	bh_host_t *host;

	s->bounds.predecessor_grant_ms = grant_ms;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_synced)
			host->lease_ends_at = MIN(host->lease_ends_at, end);
	}
}

void bh_sched_add_host(bh_sched_t *s, const char *key, bool may_hold_work,
		       bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);

	if (host)
		return;
	host = g_new0(bh_host_t, 1);
	host->key = g_strdup(key);
	host->heard_at = now;
	host->lease_ends_at = now;
	host->is_synced = !may_hold_work;
	if (may_hold_work)
		host->lease_ends_at = inherited_lease_end(
			s, s->bounds.predecessor_grant_ms, now);
	host->speed = 1;
	host->filler_share = FILLER_SHARE_PRIOR;
	TAILQ_INIT(&host->runs);
	TAILQ_INIT(&host->orphans);
	TAILQ_INIT(&host->unknown_starts);
	TAILQ_INIT(&host->sent_starts);
	g_queue_init(&host->acks);
	TAILQ_INSERT_TAIL(&s->hosts, host, link);
	g_hash_table_insert(s->by_key, host->key, host);
	s->n_hosts++;
	if (may_hold_work)
		s->is_recovering = true;
}

void bh_sched_host_linked(bh_sched_t *s, const char *key, bool is_linked,
			  bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);

	if (!host || host->is_linked == is_linked)
		return;
	host->is_linked = is_linked;
	host->linked_at = now;
	host->is_agent_known = false;
	bh_sched_log(
		s, is_linked ? "agent connected" : "agent disconnected", NULL,
		"host=%s worker=%s heard_ms_ago=%" G_GINT64_FORMAT " runs=%u",
		key, host->info.id ? host->info.id : "-",
		(now - host->heard_at) / 1000, host->n_runs);
}

void bh_sched_agent_closed(bh_sched_t *s, const char *key, bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);

	if (host)
		host->agent_gone_at = now;
}

/* Whether the report says that runs on a worker have ended, while this leader
 * may have been replaced and its successor may have them. A process that this
 * leader has heard of is another matter: it would reject a replaced leader. */
static bool is_unproved(const bh_host_t *host, const bh_worker_info_t *info)
{
	return info->is_term_unknown &&
	       (info->state == BH_WORKER_DOWN ||
		(info->boot && info->boot != host->boot));
}

void bh_sched_report(bh_sched_t *s, const char *key,
		     const bh_worker_info_t *info,
		     const bh_worker_lists_t *lists, bool may_grant,
		     bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);
	bh_worker_state_t before;

	if (!host || is_unproved(host, info))
		return;
	before = host->info.state;
	bh_host_note_agent(s, host, info, now);
	bh_host_note_late_starts(s, host, info, now);
	if (info->state == BH_WORKER_DOWN)
		host->down_at = now;
	if (lists) {
		if (now - host->heard_at >= BH_REPORT_AGE_MAX_US)
			host->silent_until = now;
		host->heard_at = now;
		host->clock_ms = lists->clock_ms;
		host->is_lease_in_doubt = false;
		host->is_lease_unconfirmed = false;
	}
	if (info->lost_call_ms)
		s->call_lost_at =
			MAX(s->call_lost_at,
			    now - info->lost_call_ms * BH_USEC_PER_MS);
	if (info->boot && host->boot && info->boot != host->boot)
		reset_boot(s, host, "worker restarted", now);
	else if (info->state == BH_WORKER_DOWN &&
		 (before != BH_WORKER_DOWN || !host->is_synced))
		reset_boot(s, host, "worker is down", now);
	if (info->boot)
		host->boot = info->boot;
	copy_info(host, info);
	bh_host_update_evacuated(s, host);
	bh_host_drop_late_runs(s, host, now);
	if (info->state == BH_WORKER_DOWN)
		return;
	if (before != info->state)
		bh_sched_log(s, "worker state", NULL,
			     "host=%s worker=%s state=%s leaves_ms=%u", key,
			     info->id ? info->id : "-",
			     bh_worker_state_name(info->state),
			     info->leaves_ms);
	/* An agent that has not got the latest grant yet does not know of the
	 * lease that it will pass on. */
	if (!lists && info->lease_left_ms &&
	    info->lease_expires_ms >= host->expires_ms) {
		bh_usec_t left = info->lease_left_ms * BH_USEC_PER_MS;

		host->lease_ends_at = MIN(host->lease_ends_at, now + left);
	}
	if (lists) {
		host->outlived_until =
			MAX(host->outlived_until,
			    now + info->lease_left_ms * BH_USEC_PER_MS);
		handle_lists(s, host, lists, now);
		if (may_grant)
			extend_lease(s, host, lists->clock_ms, now);
		bh_host_release_acks(s, host);
		if (may_grant)
			bh_host_send_grant(s, host);
		s->must_place = true;
	}
	if (info->state == BH_WORKER_DRAINING)
		stop_runs_before_exit(s, host, now);
}

/* A run whose start was refused, while an earlier process of the agent may have
 * sent another try of it. */
static void handle_late_refusal(bh_sched_t *s, bh_run_t *run,
				bh_order_outcome_t outcome, bh_usec_t now)
{
	bool is_passing = outcome == BH_ORDER_REFUSED ||
			  outcome == BH_ORDER_NO_ROOM ||
			  outcome == BH_ORDER_UNHEALTHY;

	if (is_passing && bh_run_may_repeat(run, now))
		bh_run_repeat_later(run, now);
	else if (!bh_run_keep(s, run, now))
		bh_run_lose(s, run, "start order was refused", now);
}

void bh_sched_start_result(bh_sched_t *s, const char *key, const char *name,
			   uint32_t attempt, bh_order_outcome_t outcome,
			   bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);
	bh_task_t *task = bh_task_find(s, name);
	bh_run_t *run = task ? bh_run_find(task, attempt) : NULL;

	if (host)
		bh_host_note_outcome(host, name, attempt);
	if (!host || !run || run->host != host)
		return;
	/* BH_ORDER_OLD may mean that an earlier delivery of this order started
	 * the attempt, its answer was lost, and the attempt has ended since.
	 * The worker's lists will tell. */
	if (outcome == BH_ORDER_OK || outcome == BH_ORDER_OLD) {
		confirm_run(s, run, now);
		note_started(task);
		if (run->state == BH_RUN_ORDERED)
			run->state = BH_RUN_ACTIVE;
		if (task->phase->step->is_filler)
			bh_run_pace(s, run, bh_plan_pace_of(s, run),
				    "serving tasks on its host lack headroom",
				    now);
		return;
	}
	s->stats.rejected++;
	bh_sched_log(s, "start refused", task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s outcome=%s",
		     name + BH_JOB_ID_LEN + 1, attempt, host->info.id,
		     bh_order_outcome_name(outcome));
	task->avoided_host = host;
	if (outcome == BH_ORDER_UNCLEAR) {
		/* A stop makes the worker's present process refuse the start if
		 * that arrives later. */
		bh_run_note_late(run, now + BH_LATE_CALL_MAX_US);
		bh_run_stop(s, run, "start order was not answered", now);
		bh_health_record(s, host, NULL, false, now);
		return;
	}
	if (outcome == BH_ORDER_NO_ROOM || outcome == BH_ORDER_REFUSED)
		host->full_until = now + FULL_US;
	if (outcome == BH_ORDER_UNHEALTHY)
		bh_health_record(s, host, NULL, false, now);
	if (outcome == BH_ORDER_TICKET)
		bh_phase_drop_ticket(task->phase, host);
	if (bh_host_may_start_late(host, name, attempt, now)) {
		handle_late_refusal(s, run, outcome, now);
		return;
	}
	bh_run_drop(s, run);
	bh_task_requeue(s, task, now);
}

void bh_sched_stop_result(bh_sched_t *s, const char *key, const char *name,
			  uint32_t attempt, bh_order_outcome_t outcome,
			  bh_usec_t now)
{
	bh_host_t *host = host_find(s, key);
	bh_task_t *task = bh_task_find(s, name);
	bh_run_t *run = task ? bh_run_find(task, attempt) : NULL;

	if (!host || !run || run->host != host)
		return;
	if (outcome == BH_ORDER_OK) {
		confirm_run(s, run, now);
		return;
	}
	bh_sched_log(s, "stop unclear", task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s outcome=%s",
		     name + BH_JOB_ID_LEN + 1, attempt, host->info.id,
		     bh_order_outcome_name(outcome));
	if (run->state == BH_RUN_STOPPING &&
	    now - run->stop_ordered_at > STOP_RETRY_MIN_US)
		bh_run_stop(s, run, "stop order was not carried out", now);
}

bool bh_sched_is_host_in_use(const bh_sched_t *s, const char *key)
{
	const bh_host_t *host = host_find(s, key);

	if (!host)
		return false;
	return !TAILQ_EMPTY(&host->runs) ||
	       (host->is_linked && host->info.state != BH_WORKER_DOWN);
}

const char *bh_sched_removable_host(const bh_sched_t *s, bh_usec_t now)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_linked && host->is_synced &&
		    TAILQ_EMPTY(&host->runs) && now >= host->lease_ends_at &&
		    now - host->heard_at > HOST_REMOVE_AFTER_US)
			return host->key;
	}
	return NULL;
}

void bh_sched_drop_host(bh_sched_t *s, const char *key)
{
	bh_host_t *host = host_find(s, key);

	if (!host)
		return;
	g_hash_table_remove(s->by_key, key);
	TAILQ_REMOVE(&s->hosts, host, link);
	s->n_hosts--;
	if (host->is_evacuated)
		s->n_evacuated--;
	clear_acks(host);
	remove_orphans(host);
	bh_host_clear_unknown_starts(host);
	bh_host_clear_sent_starts(host);
	bh_worker_info_clear(&host->info);
	g_free(host->kept_id);
	g_free(host->key);
	g_free(host);
}
