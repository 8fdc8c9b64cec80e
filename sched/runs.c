#include "sched/sched_impl.h"

/* Size of a start order beside its texts. */
#define ORDER_OVERHEAD_BYTES 200

/* Adds a task's resources to those in use on a host, or subtracts them if @sign
 * is -1. */
static void host_charge(bh_host_t *host, const bh_step_t *step, int sign)
{
	if (step->is_filler)
		host->filler_cpu += (uint64_t)((int64_t)step->cpu_milli * sign);
	else
		host->used_cpu += (uint64_t)((int64_t)step->cpu_milli * sign);
	host->used_memory += (uint64_t)((int64_t)step->memory_mb * sign);
	host->used_accelerators +=
		(uint64_t)((int64_t)step->accelerators * sign);
	host->n_runs += (uint32_t)sign;
}

uint32_t bh_phase_runs_on(const bh_phase_t *phase, const bh_host_t *host)
{
	return phase->runs_on ? GPOINTER_TO_UINT(g_hash_table_lookup(
					phase->runs_on, host))
			      : 0;
}

static void count_run(const bh_run_t *run, int sign)
{
	bh_phase_t *phase = run->task->phase;
	uint32_t n;

	if (!phase->step->max_per_host)
		return;
	if (!phase->runs_on)
		phase->runs_on = g_hash_table_new(NULL, NULL);
	n = bh_phase_runs_on(phase, run->host) + (uint32_t)sign;
	if (n)
		g_hash_table_insert(phase->runs_on, run->host,
				    GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(phase->runs_on, run->host);
}

void bh_host_charge_unclaimed(bh_host_t *host, const bh_step_t *step)
{
	uint64_t cpu = step->is_filler ? 0 : step->cpu_milli;

	host->unclaimed.cpu += cpu;
	host->unclaimed.memory += step->memory_mb;
	host->unclaimed.accelerators += step->accelerators;
	host->used_cpu += cpu;
	host->used_memory += step->memory_mb;
	host->used_accelerators += step->accelerators;
}

void bh_host_clear_unclaimed(bh_host_t *host)
{
	host->used_cpu -= host->unclaimed.cpu;
	host->used_memory -= host->unclaimed.memory;
	host->used_accelerators -= host->unclaimed.accelerators;
	host->unclaimed = (bh_host_resources_t){0};
	host->has_unknown_run = false;
}

bh_run_t *bh_run_find(const bh_task_t *task, uint32_t attempt)
{
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		if (task->runs[i] && task->runs[i]->attempt == attempt)
			return task->runs[i];
	}
	return NULL;
}

static uint32_t order_bytes(const bh_task_t *task)
{
	size_t checkpoint = task->checkpoint ? strlen(task->checkpoint) : 0;

	return (uint32_t)(ORDER_OVERHEAD_BYTES + checkpoint +
			  strlen(task->phase->rec->job->spec));
}

bh_run_t *bh_run_new(bh_task_t *task, bh_host_t *host, uint32_t attempt,
		     bh_run_state_t state, bh_usec_t now)
{
	bh_run_t *run = g_new0(bh_run_t, 1);
	int slot = task->runs[0] ? 1 : 0;

	run->task = task;
	run->host = host;
	run->attempt = attempt;
	run->state = state;
	run->ordered_at = now;
	run->progressed_at = now;
	run->pace = 100;
	run->order_bytes = state == BH_RUN_ORDERED ? order_bytes(task) : 0;
	host->order_bytes += run->order_bytes;
	count_run(run, 1);
	bh_task_set_waiting(task, false);
	if (state != BH_RUN_ORDERED)
		bh_racks_forget_wait(task);
	task->held_since = 0;
	task->runs[slot] = run;
	task->attempt = MAX(task->attempt, attempt);
	task->phase->rec->n_runs++;
	TAILQ_INSERT_TAIL(&host->runs, run, link);
	host_charge(host, task->phase->step, 1);
	if (bh_task_is_suspect(task))
		host->suspicion += task->blame.suspicion;
	return run;
}

void bh_run_confirm(bh_sched_t *s, bh_run_t *run)
{
	if (run->host->order_bytes >= BH_HOST_ORDER_BYTES_MAX)
		s->must_place = true;
	run->host->order_bytes -= run->order_bytes;
	run->order_bytes = 0;
	run->is_confirmed = true;
	/* A start that was refused does not allow another wait. */
	run->task->rack_wait_until = 0;
}

void bh_run_drop(bh_sched_t *s, bh_run_t *run)
{
	bh_task_t *task = run->task;

	run->host->order_bytes -= run->order_bytes;
	count_run(run, -1);
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		if (task->runs[i] == run)
			task->runs[i] = NULL;
	}
	task->phase->rec->n_runs--;
	TAILQ_REMOVE(&run->host->runs, run, link);
	host_charge(run->host, task->phase->step, -1);
	g_free(run->checkpoint);
	g_free(run);
	s->must_place = true;
}

void bh_run_send_start(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;
	bh_host_t *host = run->host;
	const bh_job_t *job = task->phase->rec->job;
	char name[BH_TASK_NAME_BYTES];
	bh_start_t start = {
		.task = name,
		.attempt = run->attempt,
		.spec = job->spec,
		.checkpoint = task->checkpoint,
		.boot = host->boot,
		.worker = host->info.id,
		.expires_ms = host->expires_ms,
		.is_repeated = run->is_repeated,
	};

	/* The worker's clock is at least as late as that. */
	if (s->bounds.order_max_ms)
		start.starts_by_ms =
			host->clock_ms +
			(uint64_t)((now - host->heard_at) / BH_USEC_PER_MS +
				   s->bounds.order_max_ms);
	bh_task_full_name(task, name);
	start.ticket = bh_phase_ticket(task->phase, host, now);
	run->ordered_at = now;
	run->progressed_at = now;
	host->started_at = now;
	bh_host_note_sent(host, name, run->attempt, now);
	s->stats.starts++;
	s->ops->start(s->ctx, host->key, &start);
}

void bh_run_start(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
		  uint32_t attempt, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];

	bh_task_full_name(task, name);
	bh_hist_add(&s->stats.wait, now - task->waiting_since);
	bh_sched_log(s, "start", task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s waited_ms=%" G_GINT64_FORMAT
		     " report_age_ms=%" G_GINT64_FORMAT
		     " free_cpu=%" G_GINT64_FORMAT,
		     name + BH_JOB_ID_LEN + 1, attempt, host->info.id,
		     (now - task->waiting_since) / 1000,
		     (now - host->heard_at) / 1000,
		     (int64_t)host->info.cpu_milli - (int64_t)host->used_cpu -
			     (int64_t)host->filler_cpu);
	bh_run_send_start(
		s, bh_run_new(task, host, attempt, BH_RUN_ORDERED, now), now);
}

void bh_run_stop(bh_sched_t *s, bh_run_t *run, const char *why, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];

	bh_task_full_name(run->task, name);
	if (run->state != BH_RUN_STOPPING) {
		s->stats.stops++;
		bh_sched_log(s, "stop", run->task->phase->rec->job->id,
			     "task=%s attempt=%u worker=%s percent=%u why=%s",
			     name + BH_JOB_ID_LEN + 1, run->attempt,
			     run->host->info.id, run->percent, why);
	}
	run->state = BH_RUN_STOPPING;
	run->stop_ordered_at = now;
	s->ops->stop(s->ctx, run->host->key, run->host->boot, name,
		     run->attempt);
}

void bh_run_pace(bh_sched_t *s, bh_run_t *run, double percent, const char *why,
		 bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];
	uint32_t pace = (uint32_t)CLAMP(percent, 0, 100);

	if (pace == run->pace)
		return;
	bh_task_full_name(run->task, name);
	bh_sched_log(s, "pace", run->task->phase->rec->job->id,
		     "task=%s worker=%s from=%u to=%u strain=%.2f image=%s "
		     "why=%s",
		     name + BH_JOB_ID_LEN + 1, run->host->info.id, run->pace,
		     pace, run->host->strain, run->task->phase->step->image,
		     why);
	run->pace = pace;
	run->paced_at = now;
	s->stats.paces++;
	s->ops->pace(s->ctx, run->host->key, run->host->boot, name,
		     run->attempt, pace);
}

void bh_run_set_checkpoint(bh_run_t *run, const char *checkpoint, bh_usec_t now)
{
	if (!checkpoint || !*checkpoint ||
	    g_strcmp0(run->checkpoint, checkpoint) == 0)
		return;
	/* The first one that a new leader hears of may be old. */
	if (run->checkpoint)
		run->checkpoint_at = now;
	g_free(run->checkpoint);
	run->checkpoint = g_strdup(checkpoint);
}

int64_t bh_run_remaining_ms(const bh_run_t *run)
{
	uint32_t percent = MIN(run->percent, 100);

	return (int64_t)run->task->phase->step->estimate_ms * (100 - percent) /
	       100;
}
