/*
 * Racks as seen in a placement pass: forecasts of their capacity, and the tasks
 * and groups that wait for one, by the decision in locality.c.
 *
 * A forecast is made when the first task of a pass asks for its rack. Starts
 * and waiting tasks are added to it in the order of placement.
 */
#include "sched/locality.h"
#include "sched/sched_impl.h"

/* While tasks wait, their decisions are taken anew at least this often: reports
 * of progress come as often. */
#define REVIEW_US (200 * BH_USEC_PER_MS)

/* Tasks that do not name the rack avoid its hosts for this long after the last
 * decision to wait for it. */
#define WANTED_US (300 * BH_USEC_PER_MS)

/* Bounds on the correction of an estimate by the runs of its phase. */
#define RATE_MIN 0.1
#define RATE_MAX 10.0

/**
 * struct bh_rack - a rack's hosts of one service in the present pass
 * @name: owned by a job or a host, as is @service; valid during the pass
 * @hosts: those that can be used now or after a quarantine, by their numbers in
 *	@forecast
 * @is_reserved: a group has reserved capacity there
 * @refused: group that could not be placed there although it seemed to fit
 */
struct bh_rack {
	const char *name;
	const char *service;
	uint32_t n_hosts;
	bh_host_t *hosts[BH_RACK_HOSTS_MAX];
	bh_rack_forecast_t *forecast;
	bool is_reserved;
	const bh_phase_t *refused;
};

static void rack_free(gpointer data)
{
	bh_rack_t *rack = data;

	bh_rack_forecast_free(rack->forecast);
	g_free(rack);
}

void bh_racks_init(bh_sched_t *s)
{
	s->racks = g_ptr_array_new_with_free_func(rack_free);
}

void bh_racks_clear(bh_sched_t *s)
{
	g_ptr_array_free(s->racks, TRUE);
}

static bool is_enabled(const bh_sched_t *s)
{
	return s->bounds.locality_wait && s->bounds.remote_slowdown > 1;
}

void bh_racks_begin_pass(bh_sched_t *s, bh_usec_t now)
{
	uint64_t used = 0;
	uint64_t total = 0;
	bh_host_t *host;

	s->n_racks = 0;
	s->n_waiting_for_rack = 0;
	s->n_deferred_phases = 0;
	s->racks_review_at = 0;
	if (!is_enabled(s))
		return;
	TAILQ_FOREACH(host, &s->hosts, link) {
		host->in_rack = NULL;
		if (!bh_host_is_usable(host, now))
			continue;
		used += MIN(host->used_cpu, host->info.cpu_milli);
		total += host->info.cpu_milli;
	}
	s->utilization = total ? (double)used / (double)total : 1;
}

static bh_capacity_t step_capacity(const bh_step_t *step)
{
	return (bh_capacity_t){step->cpu_milli, step->memory_mb,
			       step->accelerators};
}

static bh_capacity_t free_capacity(const bh_host_t *host)
{
	return (bh_capacity_t){
		.cpu = (int64_t)host->info.cpu_milli -
		       (int64_t)(host->used_cpu + host->reserved.cpu),
		.memory = (int64_t)host->info.memory_mb -
			  (int64_t)(host->used_memory + host->reserved.memory),
		.accelerators = (int64_t)host->info.accelerators -
				(int64_t)(host->used_accelerators +
					  host->reserved.accelerators),
	};
}

double bh_run_slowdown(const bh_sched_t *s, const bh_run_t *run)
{
	const char *wanted = run->task->phase->step->rack;

	if (!is_enabled(s) || !wanted ||
	    g_strcmp0(wanted, run->host->rack) == 0)
		return 1;
	return bh_slowdown_get(&s->slowdown, s->bounds.remote_slowdown);
}

void bh_racks_note_end(bh_sched_t *s, const bh_run_t *run, bh_usec_t ran)
{
	const bh_step_t *step = run->task->phase->step;

	if (is_enabled(s) && step->rack && step->estimate_ms)
		bh_slowdown_add(&s->slowdown,
				(double)ran / 1000 / step->estimate_ms,
				g_strcmp0(step->rack, run->host->rack) == 0);
}

/* The progress of a run is as old as the worker's last lists, and its run time
 * longer if its data is elsewhere. */
static int64_t predicted_left_ms(const bh_sched_t *s, const bh_run_t *run,
				 bh_usec_t now)
{
	bh_usec_t known_at =
		run->seen_at ? run->host->heard_at : run->ordered_at;

	if (run->state == BH_RUN_STOPPING)
		return 0;
	return (int64_t)((double)bh_run_remaining_ms(run) *
			 bh_run_slowdown(s, run)) -
	       (now - known_at) / BH_USEC_PER_MS;
}

static void add_releases(const bh_sched_t *s, bh_rack_t *rack, int number,
			 const bh_host_t *host, bh_usec_t now)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_step_t *step = run->task->phase->step;
		bh_capacity_t c = step_capacity(step);

		if (run->is_kept ||
		    (step->is_long_running && run->state != BH_RUN_STOPPING))
			continue;
		if (step->is_filler)
			c.cpu = 0;
		/* The capacity of an overdue run is not free yet. */
		bh_rack_forecast_add_release(
			rack->forecast, number,
			MAX(predicted_left_ms(s, run, now), 1), &c);
	}
}

static void add_host(const bh_sched_t *s, bh_rack_t *rack, bh_host_t *host,
		     bh_usec_t now)
{
	const bh_capacity_t none = {0};
	bh_capacity_t free = free_capacity(host);
	int64_t usable_in_ms = bh_host_usable_in_ms(host, now);
	int number;

	if (usable_in_ms < 0)
		return;
	number = bh_rack_forecast_add_host(rack->forecast,
					   usable_in_ms ? &none : &free);
	if (number < 0)
		return;
	rack->hosts[rack->n_hosts++] = host;
	host->in_rack = rack;
	host->number_in_rack = number;
	if (usable_in_ms)
		bh_rack_forecast_add_release(rack->forecast, number,
					     usable_in_ms, &free);
	else
		add_releases(s, rack, number, host, now);
}

static bool is_known(const bh_sched_t *s, const char *name, const char *service)
{
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (g_strcmp0(host->rack, name) == 0 &&
		    g_strcmp0(host->info.service, service) == 0)
			return true;
	}
	return false;
}

/* Finds a rack among those of the pass, or makes its forecast. Callers choose
 * the names in their steps: those that no host has share one forecast. */
static bh_rack_t *rack_of(bh_sched_t *s, const char *name, const char *service,
			  bh_usec_t now)
{
	static const char unknown[] = "";
	bh_rack_t *rack;
	bh_host_t *host;

	for (guint i = 0; i < s->n_racks; i++) {
		rack = s->racks->pdata[i];
		if (strcmp(rack->name, name) == 0 &&
		    g_strcmp0(rack->service, service) == 0)
			return rack;
	}
	if (name != unknown && !is_known(s, name, service))
		return rack_of(s, unknown, unknown, now);
	if (s->n_racks == s->racks->len) {
		rack = g_new0(bh_rack_t, 1);
		rack->forecast = bh_rack_forecast_new();
		g_ptr_array_add(s->racks, rack);
	}
	rack = s->racks->pdata[s->n_racks++];
	rack->name = name;
	rack->service = service;
	rack->n_hosts = 0;
	rack->is_reserved = false;
	rack->refused = NULL;
	bh_rack_forecast_reset(rack->forecast);
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (g_strcmp0(host->rack, name) == 0 &&
		    g_strcmp0(host->info.service, service) == 0)
			add_host(s, rack, host, now);
	}
	return rack;
}

/* Sets how many of a phase's tasks each host of a rack may get.
 * Return: whether any host may get one. */
static bool count_places(const bh_phase_t *phase, const bh_rack_t *rack,
			 uint32_t most[BH_RACK_HOSTS_MAX], bh_usec_t now)
{
	uint32_t per_host = phase->step->max_per_host;
	bool has_place = false;

	for (uint32_t i = 0; i < rack->n_hosts; i++) {
		const bh_host_t *host = rack->hosts[i];

		most[i] = 0;
		if (!bh_host_matches(phase, host, now) ||
		    bh_host_is_being_probed(host, now))
			continue;
		most[i] = per_host ? per_host - bh_phase_runs_on(phase, host)
				   : phase->step->count;
		if (host->is_probing)
			most[i] = 1;
		has_place = true;
	}
	return has_place;
}

static int64_t run_ms(const bh_phase_t *phase)
{
	double rate =
		phase->rate_count ? phase->rate_sum / phase->rate_count : 1;

	return (int64_t)((double)phase->step->estimate_ms /
			 CLAMP(rate, RATE_MIN, RATE_MAX));
}

/* Time for which a task may have waited under earlier leaders. Waits are not
 * stored: a phase that was open when its job was read counts from when the job
 * was accepted or became due, so that no wait is twice as long. */
static bh_usec_t waited_before(const bh_task_t *task)
{
	const bh_rec_t *rec = task->phase->rec;
	const bh_job_t *job = rec->job;
	uint64_t due = job->accepted_ms;

	if (task->waiting_since > rec->added_at)
		return 0;
	if (job->first_due_ms)
		due = MAX(due, job->first_due_ms + task->phase->occurrence *
							   job->interval_ms);
	if (rec->added_unix_ms <= due)
		return 0;
	return (bh_usec_t)(rec->added_unix_ms - due) * BH_USEC_PER_MS;
}

/* Deadline of a task's wait, which is fixed once it has begun to wait. */
static bh_usec_t deadline(const bh_task_t *task, int64_t limit_ms,
			  bh_usec_t now)
{
	if (task->rack_wait_until)
		return task->rack_wait_until;
	return now - waited_before(task) + limit_ms * BH_USEC_PER_MS;
}

static bh_locality_choice_t choice_of(const bh_sched_t *s,
				      const bh_task_t *task, bh_usec_t now)
{
	bh_locality_choice_t c = {
		.run_ms = run_ms(task->phase),
		.slowdown = bh_slowdown_get(&s->slowdown,
					    s->bounds.remote_slowdown),
		.slack_ms = bh_phase_slack_ms(s, task->phase),
		.utilization = s->utilization,
	};

	c.left_ms = (deadline(task, bh_locality_limit_ms(c.run_ms, c.slowdown),
			      now) -
		     now) /
		    BH_USEC_PER_MS;
	return c;
}

/* A step's decision to wait is logged with its first task, and the end with the
 * last one: a line for each task would be a large part of the log. */
static void begin_wait(bh_sched_t *s, bh_task_t *task, const char *rack,
		       const bh_locality_choice_t *c, bh_usec_t now)
{
	bh_phase_t *phase = task->phase;
	char name[BH_TASK_NAME_BYTES];

	task->waits_for_rack = true;
	task->rack_wait_since = now;
	task->rack_wait_until = now + c->left_ms * BH_USEC_PER_MS;
	task->rack_wait_limit_ms =
		(uint32_t)bh_locality_limit_ms(c->run_ms, c->slowdown);
	s->stats.rack_waits++;
	if (phase->rack_waits++)
		return;
	phase->rack_placed = 0;
	phase->rack_abandoned = 0;
	phase->rack_longest_ms = 0;
	bh_task_full_name(task, name);
	bh_sched_log(s, "rack wait", phase->rec->job->id,
		     "task=%s rack=%s waiting=%u predicted_ms=%" G_GINT64_FORMAT
		     " run_ms=%" G_GINT64_FORMAT
		     " slowdown=%.2f left_ms=%" G_GINT64_FORMAT
		     " slack_ms=%" G_GINT64_FORMAT
		     " elsewhere_ms=%" G_GINT64_FORMAT " busy_percent=%.0f",
		     name + BH_JOB_ID_LEN + 1, rack, phase->waiting, c->wait_ms,
		     c->run_ms, c->slowdown, c->left_ms, c->slack_ms,
		     c->elsewhere_ms, c->utilization * 100);
}

/* @why: cause, or "placed" */
static void end_wait(bh_sched_t *s, bh_task_t *task, const char *why,
		     int64_t predicted_ms, bh_usec_t now)
{
	bh_phase_t *phase = task->phase;
	bh_usec_t waited = now - task->rack_wait_since;
	char name[BH_TASK_NAME_BYTES];

	task->waits_for_rack = false;
	/* It does not wait for its rack again before a start is confirmed. */
	task->rack_wait_until = now;
	if (waited / BH_USEC_PER_MS >= phase->rack_longest_ms) {
		phase->rack_longest_ms = waited / BH_USEC_PER_MS;
		phase->rack_limit_ms = task->rack_wait_limit_ms;
	}
	bh_hist_add(&s->stats.rack_wait, waited);
	if (--phase->rack_waits)
		return;
	bh_task_full_name(task, name);
	bh_sched_log(s, "rack wait ended", phase->rec->job->id,
		     "task=%s why=%s placed=%u abandoned=%u"
		     " longest_ms=%" G_GINT64_FORMAT
		     " predicted_ms=%" G_GINT64_FORMAT " limit_ms=%u",
		     name + BH_JOB_ID_LEN + 1, why, phase->rack_placed,
		     phase->rack_abandoned, phase->rack_longest_ms,
		     predicted_ms, phase->rack_limit_ms);
}

static void abandon_wait(bh_sched_t *s, bh_task_t *task,
			 bh_locality_verdict_t why, int64_t predicted_ms,
			 bh_usec_t now)
{
	s->stats.rack_abandoned[why]++;
	task->phase->rack_abandoned++;
	end_wait(s, task, bh_locality_verdict_name(why), predicted_ms, now);
}

/* Carries out a decision for @task, which stands for @count tasks. */
static bool follow_verdict(bh_sched_t *s, bh_task_t *task, uint32_t count,
			   const char *rack, const bh_locality_choice_t *c,
			   bh_usec_t now)
{
	bh_locality_verdict_t verdict = bh_locality_decide(c);

	if (verdict != BH_LOCALITY_WAIT) {
		if (task->waits_for_rack)
			abandon_wait(s, task, verdict, c->wait_ms, now);
		return false;
	}
	if (!task->waits_for_rack)
		begin_wait(s, task, rack, c, now);
	s->n_waiting_for_rack += count;
	if (!s->racks_review_at)
		s->racks_review_at = now + REVIEW_US;
	s->racks_review_at = MIN(s->racks_review_at, task->rack_wait_until);
	return true;
}

static void mark_wanted(const bh_rack_t *rack, bh_usec_t now)
{
	for (uint32_t i = 0; i < rack->n_hosts; i++)
		rack->hosts[i]->rack_wanted_until = now + WANTED_US;
}

bool bh_host_is_wanted(const bh_host_t *host, const bh_step_t *step,
		       bh_usec_t now)
{
	return now < host->rack_wanted_until && !step->is_filler &&
	       !step->is_long_running && g_strcmp0(step->rack, host->rack) != 0;
}

/* Rack in which the other tasks of a group run, or NULL if they run in none or
 * in several. */
static const char *rack_of_group(const bh_phase_t *phase)
{
	const bh_run_t *first = NULL;

	for (uint32_t i = 0; i < phase->step->count; i++) {
		for (int r = 0; r < BH_RUNS_MAX; r++) {
			const bh_run_t *run = phase->tasks[i].runs[r];

			if (!run)
				continue;
			if (!first)
				first = run;
			if (g_strcmp0(run->host->rack, first->host->rack) != 0)
				return NULL;
		}
	}
	return first ? first->host->rack : NULL;
}

/* Fillers run at a pace that depends on their hosts, and long-running tasks do
 * not end: neither gains a predictable time from a wait. */
static bool may_wait(const bh_sched_t *s, const bh_phase_t *phase)
{
	return is_enabled(s) && !phase->step->is_filler &&
	       !phase->step->is_long_running;
}

static bool can_start_in(bh_sched_t *s, const bh_task_t *task,
			 const bh_rack_t *rack, bh_usec_t now)
{
	for (uint32_t i = 0; i < rack->n_hosts; i++) {
		if (bh_host_can_start(s, task, rack->hosts[i], now))
			return true;
	}
	return false;
}

static bool is_elsewhere(const bh_rack_plan_t *plan, const bh_host_t *host)
{
	return g_strcmp0(plan->name, host->rack) != 0;
}

/* Longest remaining time of a phase's runs outside its rack. */
static int64_t left_elsewhere_ms(const bh_sched_t *s, const bh_phase_t *phase,
				 const bh_rack_plan_t *plan, bh_usec_t now)
{
	int64_t longest = 0;

	if (phase->waiting + phase->n_done == phase->step->count)
		return 0;
	for (uint32_t i = 0; i < phase->step->count; i++) {
		const bh_run_t *first = NULL;
		int64_t first_ms = 0;

		/* A task ends with the first of its copies. */
		for (int r = 0; r < BH_RUNS_MAX; r++) {
			const bh_run_t *run = phase->tasks[i].runs[r];
			int64_t ms = run ? predicted_left_ms(s, run, now) : 0;

			if (run && (!first || ms < first_ms)) {
				first = run;
				first_ms = ms;
			}
		}
		if (first && is_elsewhere(plan, first->host))
			longest = MAX(longest, first_ms);
	}
	return longest;
}

void bh_racks_plan(bh_sched_t *s, const bh_phase_t *phase, bh_rack_plan_t *plan,
		   bh_usec_t now)
{
	const char *name = phase->step->rack;

	*plan = (bh_rack_plan_t){0};
	if (!may_wait(s, phase))
		return;
	if (!name && phase->step->is_same_rack)
		name = rack_of_group(phase);
	if (!name)
		return;
	plan->name = name;
	plan->rack = rack_of(s, name, phase->rec->job->terms.service, now);
	plan->is_full = s->n_deferred_phases >= BH_DEFERRED_PHASES_MAX;
	plan->is_lost = !count_places(phase, plan->rack, plan->most, now);
	plan->elsewhere_ms = left_elsewhere_ms(s, phase, plan, now);
}

void bh_racks_plan_start(const bh_sched_t *s, bh_rack_plan_t *plan,
			 const bh_phase_t *phase, const bh_host_t *host)
{
	double slowdown;

	if (!plan->name || !is_elsewhere(plan, host))
		return;
	slowdown = bh_slowdown_get(&s->slowdown, s->bounds.remote_slowdown);
	plan->elsewhere_ms = MAX(plan->elsewhere_ms,
				 (int64_t)((double)run_ms(phase) * slowdown));
}

bool bh_racks_defer_task(bh_sched_t *s, bh_rack_plan_t *plan, bh_task_t *task,
			 bh_usec_t now)
{
	const bh_phase_t *phase = task->phase;
	bh_capacity_t need = step_capacity(phase->step);
	uint32_t taken[BH_RACK_HOSTS_MAX];
	bh_locality_choice_t c;

	if (!plan->name || bh_task_is_suspect(task)) {
		/* A task that waits for a rack has no capacity reserved. */
		if (task->waits_for_rack)
			abandon_wait(s, task, BH_LOCALITY_LOST, -1, now);
		return false;
	}
	/* Its one wait is over. */
	if (task->rack_wait_until && !task->waits_for_rack)
		return false;
	c = choice_of(s, task, now);
	if (c.left_ms <= 0 && !task->waits_for_rack)
		return false;
	/* The tasks before it found no capacity there. */
	if (!plan->n_deferred && can_start_in(s, task, plan->rack, now))
		return false;
	c.is_lost = plan->is_lost;
	c.elsewhere_ms = plan->elsewhere_ms;
	c.wait_ms = -1;
	if (!plan->is_full)
		c.wait_ms = bh_rack_forecast_wait_ms(
			plan->rack->forecast, &need,
			phase->waiting -
				MIN(plan->n_deferred, phase->waiting - 1),
			plan->most, MAX(c.left_ms, 0));
	if (!follow_verdict(s, task, 1, plan->name, &c, now))
		return false;
	if (!plan->n_deferred++)
		s->n_deferred_phases++;
	bh_rack_forecast_take(plan->rack->forecast, &need, 1, plan->most,
			      c.left_ms, c.run_ms, taken);
	for (uint32_t i = 0; i < plan->rack->n_hosts; i++)
		plan->most[i] -= taken[i];
	mark_wanted(plan->rack, now);
	return true;
}

void bh_racks_forget_wait(bh_task_t *task)
{
	if (!task->waits_for_rack)
		return;
	task->waits_for_rack = false;
	task->rack_wait_until = 0;
	task->phase->rack_waits--;
}

/* A host of the rack may have become free and be worse than one elsewhere, for
 * example since a suspect runs there. */
static void end_wait_at_start(bh_sched_t *s, bh_task_t *task,
			      const bh_host_t *host, bh_usec_t now)
{
	const char *rack = task->phase->step->rack;

	if (!rack || g_strcmp0(rack, host->rack) == 0) {
		s->stats.rack_placed++;
		task->phase->rack_placed++;
		end_wait(s, task, "placed", 0, now);
		return;
	}
	abandon_wait(s, task, BH_LOCALITY_LOST, -1, now);
}

/* Lets a phase's task take capacity of a host in the forecast of its rack. */
static void take_on_host(const bh_phase_t *phase, const bh_host_t *host,
			 const bh_capacity_t *need, int64_t limit_ms)
{
	uint32_t most[BH_RACK_HOSTS_MAX] = {0};

	if (!host->in_rack)
		return;
	most[host->number_in_rack] = 1;
	bh_rack_forecast_take(host->in_rack->forecast, need, 1, most, limit_ms,
			      phase->step->is_long_running ? G_MAXINT32
							   : run_ms(phase),
			      NULL);
}

void bh_racks_note_start(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
			 bh_usec_t now)
{
	const bh_step_t *step = task->phase->step;
	bh_capacity_t need = step_capacity(step);

	if (task->waits_for_rack)
		end_wait_at_start(s, task, host, now);
	if (step->is_filler)
		need.cpu = 0;
	take_on_host(task->phase, host, &need, 0);
}

void bh_racks_note_reservation(const bh_phase_t *phase, const bh_host_t *host)
{
	bh_capacity_t need = step_capacity(phase->step);

	take_on_host(phase, host, &need, G_MAXINT32);
}

bool bh_racks_is_group(const bh_sched_t *s, const bh_phase_t *phase)
{
	const bh_step_t *step = phase->step;

	if (!may_wait(s, phase) || step->count < 2 ||
	    phase->waiting < step->count ||
	    !(step->is_same_rack || (step->is_gang && step->rack)))
		return false;
	/* Suspects are spread over the hosts, see crash.c. */
	for (uint32_t i = 0; i < step->count; i++) {
		if (phase->tasks[i].blame.crashes)
			return false;
	}
	return true;
}

bh_rack_t *bh_racks_find_for_group(bh_sched_t *s, const bh_phase_t *phase,
				   int64_t *wait_ms, bh_usec_t now)
{
	const bh_step_t *step = phase->step;
	const char *service = phase->rec->job->terms.service;
	int64_t limit_ms = s->n_deferred_phases < BH_DEFERRED_PHASES_MAX
				   ? BH_LOCALITY_WAIT_MAX_MS
				   : 0;
	bh_capacity_t need = step_capacity(step);
	uint32_t most[BH_RACK_HOSTS_MAX];
	bh_rack_t *best = NULL;
	bh_host_t *host;

	*wait_ms = -1;
	TAILQ_FOREACH(host, &s->hosts, link) {
		bh_rack_t *rack;
		int64_t ms;

		if (!host->rack ||
		    (step->rack && strcmp(step->rack, host->rack) != 0))
			continue;
		if (!host->in_rack &&
		    g_strcmp0(host->info.service, service) == 0 &&
		    bh_host_usable_in_ms(host, now) >= 0)
			rack_of(s, host->rack, service, now);
		rack = host->in_rack;
		/* Each rack is looked at with its first host. */
		if (!rack || rack->hosts[0] != host ||
		    g_strcmp0(rack->service, service) != 0 ||
		    rack->refused == phase ||
		    !count_places(phase, rack, most, now))
			continue;
		ms = bh_rack_forecast_wait_ms(rack->forecast, &need,
					      step->count, most, limit_ms);
		if (ms < 0 || (best && ms >= *wait_ms))
			continue;
		best = rack;
		*wait_ms = ms;
		if (ms == 0)
			break;
	}
	return best;
}

void bh_rack_refuse(bh_rack_t *rack, const bh_phase_t *phase)
{
	rack->refused = phase;
}

const char *bh_rack_name(const bh_rack_t *rack)
{
	return rack->name;
}

/* Tasks that are placed after the group may use its capacity only if they are
 * predicted to end before, see reserve.c. */
static void reserve_for_group(bh_rack_t *rack, const bh_step_t *step,
			      const uint32_t taken[BH_RACK_HOSTS_MAX],
			      int64_t wait_ms)
{
	rack->is_reserved = true;
	for (uint32_t i = 0; i < rack->n_hosts; i++) {
		bh_host_t *host = rack->hosts[i];

		if (!taken[i])
			continue;
		host->reserved.cpu += (uint64_t)taken[i] * step->cpu_milli;
		host->reserved.memory += (uint64_t)taken[i] * step->memory_mb;
		host->reserved.accelerators +=
			(uint64_t)taken[i] * step->accelerators;
		host->reserved_free_in_ms =
			MAX(host->reserved_free_in_ms, wait_ms);
	}
}

/* The tasks do not wait one by one for the rack that their step names after the
 * group has waited. */
static void end_waits_of_group(bh_phase_t *phase, bh_usec_t now)
{
	for (uint32_t i = 0; i < phase->step->count; i++)
		phase->tasks[i].rack_wait_until = now;
}

bool bh_racks_defer_group(bh_sched_t *s, bh_phase_t *phase, bh_rack_t *rack,
			  int64_t wait_ms, bh_usec_t now)
{
	bh_capacity_t need = step_capacity(phase->step);
	bh_task_t *first = &phase->tasks[0];
	bh_locality_choice_t c = choice_of(s, first, now);
	bool was_waiting = first->waits_for_rack;
	uint32_t taken[BH_RACK_HOSTS_MAX] = {0};
	uint32_t most[BH_RACK_HOSTS_MAX];

	c.wait_ms = rack ? wait_ms : -1;
	if (!follow_verdict(s, first, phase->step->count,
			    rack ? rack->name : "-", &c, now)) {
		if (was_waiting)
			end_waits_of_group(phase, now);
		return false;
	}
	if (!rack)
		return false;
	s->n_deferred_phases++;
	count_places(phase, rack, most, now);
	bh_rack_forecast_take(rack->forecast, &need, phase->step->count, most,
			      c.left_ms, c.run_ms, taken);
	if (!rack->is_reserved)
		reserve_for_group(rack, phase->step, taken, wait_ms);
	mark_wanted(rack, now);
	return true;
}
