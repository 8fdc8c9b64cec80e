#include "sched/grants.h"
#include "sched/sched_impl.h"

/* Interval of the checks for timeouts and due times, which go over all hosts,
 * runs and jobs. Changes by reports are handled with the report. */
#define CHECK_INTERVAL_US (50 * BH_USEC_PER_MS)

/* Capacity assumed in addition, in thousandths of a core, so that predicted
 * waits stay finite while no worker is known. */
#define CAPACITY_MIN_MILLI 1000

static void open_due_phases(bh_sched_t *s, bh_usec_t now)
{
	bh_rec_t *rec;

	TAILQ_FOREACH(rec, &s->recs, link) {
		if (rec->job->first_due_ms && !bh_rec_is_over(rec))
			bh_rec_open_phases(s, rec, now);
	}
}

static uint64_t long_running_cpu(const bh_host_t *host)
{
	const bh_run_t *run;
	uint64_t cpu = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (run->task->phase->step->is_long_running)
			cpu += run->task->phase->step->cpu_milli;
	}
	return cpu;
}

/* Sums up the processor capacity of all usable hosts for fillers, and for other
 * tasks that are not long-running, in thousandths of a core. */
static void total_capacity(const bh_sched_t *s, uint64_t *fillers,
			   uint64_t *others, bh_usec_t now)
{
	const bh_host_t *host;

	*fillers = CAPACITY_MIN_MILLI;
	*others = CAPACITY_MIN_MILLI;
	TAILQ_FOREACH(host, &s->hosts, link) {
		uint64_t cpu = host->info.cpu_milli;
		uint64_t used =
			(uint64_t)((double)host->used_cpu * host->filler_share);

		if (!bh_host_is_usable(host, now))
			continue;
		*fillers += cpu - MIN(used, cpu);
		*others += cpu - MIN(long_running_cpu(host), cpu);
	}
}

/* Remaining work of a phase in core milliseconds. */
static uint64_t phase_work(const bh_phase_t *phase)
{
	return bh_step_work_ms(phase->step, phase->step->count - phase->n_done);
}

static void add_backlog(const bh_rec_t *rec, uint64_t *fillers,
			uint64_t *others)
{
	for (uint32_t i = 0; i < rec->n_phases; i++) {
		const bh_phase_t *phase = &rec->phases[i];

		if (phase->step->is_long_running)
			continue;
		if (phase->step->is_filler)
			*fillers += phase_work(phase);
		else
			*others += phase_work(phase);
	}
}

bh_sched_t *bh_sched_new(const bh_sched_bounds_t *bounds,
			 const bh_sched_ops_t *ops, void *ctx, bh_usec_t now,
			 uint64_t unix_ms)
{
	bh_sched_t *s = g_new0(bh_sched_t, 1);

	s->bounds = *bounds;
	s->ops = ops;
	s->ctx = ctx;
	s->pairs = bh_pairs_new();
	s->advice = bh_advice_line_new();
	s->wants_advice = g_array_new(FALSE, FALSE, sizeof(bh_advice_wish_t));
	bh_racks_init(s);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&s->recs);
	TAILQ_INIT(&s->hosts);
	TAILQ_INIT(&s->open);
	TAILQ_INIT(&s->dirty);
	TAILQ_INIT(&s->committing);
	s->steered_at = now;
	s->unix_ms = unix_ms;
	s->inherits_until = bh_jobs_over_at(now);
	return s;
}

void bh_sched_free(bh_sched_t *s)
{
	bh_host_t *host;
	bh_rec_t *rec;

	if (!s)
		return;
	TAILQ_FOREACH(host, &s->hosts, link) {
		while (!TAILQ_EMPTY(&host->runs))
			bh_run_drop(s, TAILQ_FIRST(&host->runs));
	}
	while ((host = TAILQ_FIRST(&s->hosts)) != NULL)
		bh_sched_drop_host(s, host->key);
	while ((rec = TAILQ_FIRST(&s->recs)) != NULL)
		bh_sched_drop_job(s, rec->job->id);
	bh_pairs_free(s->pairs);
	bh_advice_line_free(s->advice);
	g_array_free(s->wants_advice, TRUE);
	bh_racks_clear(s);
	g_hash_table_destroy(s->by_id);
	g_hash_table_destroy(s->by_key);
	g_free(s);
}

void bh_sched_run(bh_sched_t *s, bh_usec_t now, uint64_t unix_ms)
{
	bool is_due = now - s->checked_at >= CHECK_INTERVAL_US;

	bh_sched_apply_evacuation(s);

	s->unix_ms = unix_ms;
	if (is_due || s->is_recovering)
		bh_hosts_expire(s, now);
	if (is_due) {
		s->checked_at = now;
		open_due_phases(s, now);
	}
	bh_hosts_adopt_orphans(s, now);
	if (is_due) {
		bh_health_check_runs(s, now);
		bh_vacate_hosts(s, now);
	}
	bh_steer_fillers(s, now);
	if (s->racks_review_at && now >= s->racks_review_at)
		s->must_place = true;
	if (bh_advice_line_review(s->advice, now))
		s->must_place = true;
	if (!s->must_place || !s->config || s->are_starts_held)
		return;
	s->must_place = false;
	bh_hosts_repeat_starts(s, now);
	bh_sched_place_all(s, now);
}

void bh_sched_each_pair(const bh_sched_t *s, bh_sched_pair_cb_t cb, void *ctx)
{
	bh_pairs_each(s->pairs, cb, ctx);
}

void bh_sched_set_pair(bh_sched_t *s, const char *filler, const char *lasting,
		       double interference, double stddev)
{
	bh_pairs_set(s->pairs, filler, lasting, interference, stddev);
}

uint32_t bh_sched_expired(const bh_sched_t *s, uint64_t unix_ms,
			  const char **ids, uint32_t max)
{
	const bh_rec_t *rec;
	uint32_t n = 0;

	TAILQ_FOREACH(rec, &s->recs, link) {
		if (n < max && rec->stored_state && bh_rec_is_stored(rec) &&
		    unix_ms > rec->ended_ms + (uint64_t)s->bounds.status_ms)
			ids[n++] = rec->job->id;
	}
	return n;
}

bh_job_state_t bh_sched_state(const bh_sched_t *s, const char *id)
{
	const bh_rec_t *rec = bh_rec_find(s, id);

	if (!rec)
		return BH_JOB_UNKNOWN;
	if (rec->stored_state)
		return rec->stored_state;
	/* An end is reported only once it is stored. */
	return bh_rec_is_over(rec) ? BH_JOB_RUNNING : rec->state;
}

uint32_t bh_sched_pending(const bh_sched_t *s, const char *queue)
{
	const bh_rec_t *rec;
	uint32_t n = 0;

	TAILQ_FOREACH(rec, &s->recs, link) {
		if (rec->state == BH_JOB_QUEUED &&
		    strcmp(rec->job->queue, queue) == 0)
			n++;
	}
	return n;
}

uint32_t bh_sched_load(const bh_sched_t *s, bh_backlog_t *out, uint32_t max,
		       bh_usec_t now)
{
	uint64_t filler_capacity;
	uint64_t other_capacity;
	uint64_t fillers = 0;
	uint64_t others = 0;
	uint32_t n = 0;

	total_capacity(s, &filler_capacity, &other_capacity, now);
	for (uint32_t p = 0; p < max; p++) {
		const bh_rec_t *rec;
		bool is_seen = false;

		TAILQ_FOREACH(rec, &s->recs, link) {
			if (bh_rec_is_over(rec) ||
			    rec->job->terms.priority != p)
				continue;
			is_seen = true;
			add_backlog(rec, &fillers, &others);
		}
		if (!is_seen)
			continue;
		out[n].priority = p;
		out[n].wait_ms = others * 1000 / other_capacity;
		out[n].wait_filler_ms = fillers * 1000 / filler_capacity;
		n++;
	}
	return n;
}

void bh_sched_stats(const bh_sched_t *s, bh_sched_stats_t *out)
{
	const bh_host_t *host;
	const bh_phase_t *phase;

	*out = s->stats;
	out->tasks_waiting_for_rack = s->n_waiting_for_rack;
	TAILQ_FOREACH(host, &s->hosts, link) {
		out->tasks_running += host->n_runs;
		if (host->info.state == BH_WORKER_READY && host->is_linked)
			out->hosts_ready++;
	}
	TAILQ_FOREACH(phase, &s->open, link)
		out->tasks_waiting += phase->waiting;
}
