#include "sched/sched_impl.h"
#include "sched/shares.h"

/* Interval of the checks for timeouts and due times, which go over all hosts,
 * runs and jobs. Changes by reports are handled with the report. */
#define CHECK_INTERVAL_US (50 * BH_USEC_PER_MS)

/* Capacity assumed in addition, in thousandths of a core, so that predicted
 * waits stay finite while no worker is known. */
#define CAPACITY_MIN_MILLI 1000

/* Waiting tasks are tried at least this often: a group begins to count as
 * starving, and a checkpoint comes, without anything becoming free. */
#define PLACE_INTERVAL_US (300 * BH_USEC_PER_MS)

/* A filler that is paused is forecast to end as if it ran at this pace. */
#define PACE_MIN_PERCENT 10u

/* From the start of a term capacity is forecast once this part of the hosts has
 * reported, or after this time: the rest is down. */
#define HOSTS_KNOWN_PERCENT    75
#define HOSTS_REPORT_WITHIN_US (3 * BH_USEC_PER_SEC)

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

/* Return: the time that a waiting task of a phase has waited. All tasks of a
 * phase begin to wait together, retries aside. */
static int64_t phase_waited_ms(const bh_phase_t *phase, bh_usec_t now)
{
	for (uint32_t i = 0; phase->waiting && i < phase->step->count; i++) {
		const bh_task_t *task = &phase->tasks[i];

		if (task->is_waiting)
			return (now - task->waiting_since) / BH_USEC_PER_MS;
	}
	return -1;
}

static void count_job(bh_shares_t *out, const bh_rec_t *rec, bh_usec_t now)
{
	uint64_t waiting = 0;
	int64_t longest = -1;

	for (uint32_t i = 0; i < rec->n_phases; i++) {
		const bh_phase_t *phase = &rec->phases[i];

		waiting += (uint64_t)phase->waiting * phase->step->cpu_milli;
		longest = MAX(longest, phase_waited_ms(phase, now));
	}
	bh_shares_add(out, rec->job, rec->running_milli, waiting, longest);
}

void bh_sched_count_shares(const bh_sched_t *s, bh_shares_t *out, bh_usec_t now)
{
	uint64_t capacity = 0;
	const bh_host_t *host;
	const bh_rec_t *rec;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (bh_host_is_usable(host, now))
			capacity += host->info.cpu_milli;
	}
	bh_shares_init(out, capacity);
	TAILQ_FOREACH(rec, &s->recs, link) {
		if (!bh_rec_is_over(rec) && !rec->job->steps[0].is_long_running)
			count_job(out, rec, now);
	}
}

/* Fillers of the present leave the processor time that others use to them, so
 * that only their own ends free capacity for more of them. */
static void forecast_run(bh_forecast_t *f, const bh_run_t *run)
{
	const bh_step_t *step = run->task->phase->step;
	int64_t left = bh_run_remaining_ms(run) * 100 /
		       MAX(run->pace, PACE_MIN_PERCENT);

	if (run->is_kept)
		return;
	if (run->state == BH_RUN_STOPPING)
		left = 0;
	if (step->is_filler)
		bh_forecast_add_capacity(f, BH_WORK_FILLER, step->cpu_milli,
					 left + 1);
	else if (!step->is_long_running || run->state == BH_RUN_STOPPING)
		bh_forecast_add_capacity(f, BH_WORK_PLAIN, step->cpu_milli,
					 left + 1);
}

static void forecast_host(bh_forecast_t *f, const bh_host_t *host,
			  bh_usec_t now)
{
	uint64_t used = MIN(host->used_cpu, host->info.cpu_milli);
	uint64_t plain = host->info.cpu_milli - used;
	uint64_t filler = (uint64_t)MAX(bh_host_free_filler_cpu(host), 0);
	int64_t returns_ms =
		MAX((host->quarantined_until - now) / BH_USEC_PER_MS,
		    (int64_t)host->info.cold_ms);
	const bh_run_t *run;

	bh_forecast_add_capacity(f, BH_WORK_PLAIN, plain, MAX(returns_ms, 0));
	bh_forecast_add_capacity(f, BH_WORK_FILLER, filler, MAX(returns_ms, 0));
	if (returns_ms <= 0) {
		f->largest_milli[BH_WORK_PLAIN] =
			MAX(f->largest_milli[BH_WORK_PLAIN], plain);
		f->largest_milli[BH_WORK_FILLER] =
			MAX(f->largest_milli[BH_WORK_FILLER], filler);
	}
	TAILQ_FOREACH(run, &host->runs, link)
		forecast_run(f, run);
}

/* Serving tasks that wait take capacity once they no longer rank after others.
 */
static void forecast_phase(const bh_sched_t *s, bh_forecast_t *f,
			   bh_demand_t *d, const bh_phase_t *phase)
{
	const bh_step_t *step = phase->step;
	bh_work_kind_t kind = step->is_filler ? BH_WORK_FILLER : BH_WORK_PLAIN;
	uint32_t waiting =
		phase->is_open ? phase->waiting : step->count - phase->n_done;
	uint64_t work;

	if (!waiting || (!phase->is_open && phase->rec->job->first_due_ms))
		return;
	if (step->is_long_running) {
		bh_forecast_take_capacity(f, BH_WORK_PLAIN,
					  (uint64_t)waiting * step->cpu_milli,
					  BH_SERVING_DEFERRED_MS);
		return;
	}
	work = bh_step_work_ms(step, waiting);
	if (bh_phase_is_late(s, phase))
		d->late_ms[kind] += work;
	else
		d->work_ms[kind] += work;
	if (phase->is_open)
		d->waiting[kind] += waiting;
}

/* A new leader hears most hosts within a few hundred milliseconds. Before, it
 * would forecast that there is no capacity, and refuse all callers that return
 * after a total loss. */
static bool are_hosts_known(const bh_sched_t *s, bh_usec_t now)
{
	uint32_t heard = 0;
	const bh_host_t *host;

	if (now - s->started_at > HOSTS_REPORT_WITHIN_US)
		return true;
	TAILQ_FOREACH(host, &s->hosts, link)
		heard += host->info.id != NULL;
	return heard && heard * 100 >= s->n_hosts * HOSTS_KNOWN_PERCENT;
}

bool bh_sched_forecast(const bh_sched_t *s, bh_forecast_t *out, bh_usec_t now)
{
	const bh_host_t *host;
	const bh_rec_t *rec;

	*out = (bh_forecast_t){0};
	if (!are_hosts_known(s, now))
		return false;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (bh_host_accepts_work(host, now))
			forecast_host(out, host, now);
	}
	TAILQ_FOREACH(rec, &s->recs, link) {
		bh_demand_t *d;

		if (bh_rec_is_over(rec))
			continue;
		d = bh_forecast_demand(out, rec->job->terms.priority);
		for (uint32_t i = 0; d && i < rec->n_phases; i++)
			forecast_phase(s, out, d, &rec->phases[i]);
	}
	bh_sched_count_shares(s, &out->shares, now);
	return true;
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
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&s->recs);
	TAILQ_INIT(&s->hosts);
	TAILQ_INIT(&s->open);
	TAILQ_INIT(&s->dirty);
	TAILQ_INIT(&s->committing);
	s->steered_at = now;
	s->started_at = now;
	s->unix_ms = unix_ms;
	s->predecessor_over_at = now + bh_sched_lease_bound(s) +
				 bounds->predecessor_grant_ms * BH_USEC_PER_MS;
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
	g_hash_table_destroy(s->by_id);
	g_hash_table_destroy(s->by_key);
	g_free(s);
}

void bh_sched_run(bh_sched_t *s, bh_usec_t now, uint64_t unix_ms)
{
	bool is_due = now - s->checked_at >= CHECK_INTERVAL_US;

	s->unix_ms = unix_ms;
	if (is_due || s->is_recovering)
		bh_hosts_expire(s, now);
	if (is_due) {
		s->checked_at = now;
		open_due_phases(s, now);
	}
	bh_hosts_adopt_orphans(s, now);
	if (s->is_recovering && now < s->predecessor_over_at)
		return;
	if (is_due)
		bh_health_check_runs(s, now);
	bh_steer_fillers(s, now);
	if (s->bounds.has_shares && !TAILQ_EMPTY(&s->open) &&
	    now - s->shares_at >= PLACE_INTERVAL_US)
		s->must_place = true;
	if (!s->must_place || !s->config)
		return;
	s->must_place = false;
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
	TAILQ_FOREACH(host, &s->hosts, link) {
		out->tasks_running += host->n_runs;
		if (host->info.state == BH_WORKER_READY && host->is_linked)
			out->hosts_ready++;
	}
	TAILQ_FOREACH(phase, &s->open, link)
		out->tasks_waiting += phase->waiting;
}
