/*
 * Compares placement policies on the production cell core, with simulated
 * workers and clock: a service on each worker, batch jobs that interfere with
 * it to different degrees, measurements that lag by 2 s, run time estimates off
 * by up to a factor of four. Then measures lease lengths in a store outage and
 * a host loss, and recovery from the loss of the leader.
 */
#include "tests/cellworld.h"

#include <stdio.h>

#define MINUTES 10

typedef struct site {
	const char *name;
	int workers;
	bh_resources_t capacity;
} site_t;

static const site_t sites[] = {
	{"woolshed-run", 10, {30000, 125000, 0}},
	{"recarga-quetzal", 10, {16000, 60000, 0}},
};

typedef struct job_kind {
	const char *name;
	uint32_t cpu_milli;
	uint32_t run_ms;
	double slowdown_per_cpu;
} job_kind_t;

/* In order of rising interference with the services beside them. */
static const job_kind_t job_kinds[] = {
	{"idle", 2000, 20000, 0.002},
	{"light", 1000, 15000, 0.01},
	{"noisy", 2000, 12000, 0.04},
	{"harsh", 1000, 8000, 0.20},
};

static const char *const policies[] = {"first-fit", "least-loaded",
				       "interference"};

static cellworld_t *new_world(const site_t *site, const char *placement,
			      bh_usec_t lease_us, uint32_t seed)
{
	cellworld_config_t config = {
		.seed = seed,
		.n_agents = site->workers,
		.capacity = site->capacity,
		.lease_us = lease_us,
		.term_us = 6 * BH_USEC_PER_SEC,
		.journal_us = 200 * BH_USEC_PER_MS,
		.report_us = 500 * BH_USEC_PER_MS,
		.placement = placement,
		.usage_lag_us = 2 * BH_USEC_PER_SEC,
		.run_spread = 4,
	};

	return cellworld_new(&config);
}

/* Every minute each kind of job adds tasks for about half of the workers. */
static int add_wave(cellworld_t *w, const site_t *site, int minute)
{
	int tasks = 0;

	for (size_t k = 0; k < G_N_ELEMENTS(job_kinds); k++) {
		g_autofree char *name =
			g_strdup_printf("%s-%d", job_kinds[k].name, minute);
		uint32_t n = (uint32_t)site->workers *
			     site->capacity.cpu_milli / job_kinds[k].cpu_milli /
			     6;
		bh_job_spec_t spec = {
			.name = name,
			.family = job_kinds[k].name,
			.n_tasks = n,
			.need = {job_kinds[k].cpu_milli, 1000, 0},
			.run_ms = job_kinds[k].run_ms,
			.is_idempotent = true,
			.deadline_unix_ms = cellworld_unix_ms(w) + 120000,
		};

		cellworld_add_job(w, &spec);
		cellworld_interfere(w, name, job_kinds[k].slowdown_per_cpu);
		tasks += (int)n;
	}
	return tasks;
}

static uint64_t leader_evictions(cellworld_t *w)
{
	int leader = cellworld_leader(w);

	return leader < 0
		       ? 0
		       : bh_cell_counters(cellworld_cell(w, leader))->evictions;
}

static void bench_policy(const site_t *site, const char *placement)
{
	cellworld_t *w = new_world(site, placement, 30 * BH_USEC_PER_SEC, 1);
	const bh_hist_t *h;
	int tasks = 0;

	cellworld_run(w, 10 * BH_USEC_PER_SEC);
	for (int minute = 0; minute < MINUTES; minute++) {
		tasks += add_wave(w, site, minute);
		if (minute == 1)
			cellworld_reset_stats(w);
		cellworld_run(w, 60 * BH_USEC_PER_SEC);
	}
	cellworld_run(w, 180 * BH_USEC_PER_SEC);
	h = cellworld_slowdown(w);
	printf("%-16s %-13s %7.2f %7.2f %7.2f %9.1f %9llu %9.1f\n", site->name,
	       placement, (double)bh_hist_quantile(h, 0.5) / 1000,
	       (double)bh_hist_quantile(h, 0.9) / 1000,
	       (double)bh_hist_quantile(h, 0.99) / 1000,
	       100.0 * cellworld_count(w, BH_OUTCOME_DELIVERED) / tasks,
	       (unsigned long long)leader_evictions(w),
	       (double)cellworld_wasted(w) / 1e6);
	cellworld_free(w);
}

static void add_filler(cellworld_t *w, uint32_t n, uint64_t run_ms)
{
	bh_job_spec_t spec = {
		.name = "filler",
		.n_tasks = n,
		.need = {1000, 1000, 0},
		.run_ms = run_ms,
		.is_idempotent = true,
	};

	cellworld_add_job(w, &spec);
}

static double seconds(bh_usec_t us)
{
	return (double)us / 1e6;
}

static double time_until_running(cellworld_t *w, int wanted)
{
	bh_usec_t from = cellworld_now(w);

	while (cellworld_running(w) < wanted &&
	       cellworld_now(w) - from < 900 * BH_USEC_PER_SEC)
		cellworld_run(w, 100 * BH_USEC_PER_MS);
	return seconds(cellworld_now(w) - from);
}

static int any_follower(cellworld_t *w)
{
	return cellworld_leader(w) == 0 ? 1 : 0;
}

/*
 * Lease length: the share of work frozen during a store outage against the time
 * until the tasks of a lost host run again.
 */
static void bench_lease(const site_t *site, int lease_s)
{
	cellworld_t *w = new_world(site, "interference",
				   (bh_usec_t)lease_s * BH_USEC_PER_SEC, 2);
	bh_usec_t frozen_us = 0;
	double replaced_recovery_s;
	double unreplaced_recovery_s;
	int running_before;

	cellworld_run(w, 5 * BH_USEC_PER_SEC);
	add_filler(w, 100, 400000000);
	cellworld_run(w, 20 * BH_USEC_PER_SEC);
	running_before = cellworld_running(w);
	cellworld_inject(w, CELL_FAULT_STORE_DOWN, 0, 600 * BH_USEC_PER_SEC);
	for (int s = 0; s < 600; s++) {
		cellworld_run(w, BH_USEC_PER_SEC);
		frozen_us += cellworld_frozen(w) * BH_USEC_PER_SEC;
	}
	cellworld_run(w, (bh_usec_t)(lease_s + 60) * BH_USEC_PER_SEC);
	cellworld_inject(w, CELL_FAULT_LOSE_HOST, any_follower(w), 0);
	replaced_recovery_s = time_until_running(w, running_before);
	cellworld_run(w, 60 * BH_USEC_PER_SEC);
	cellworld_inject(w, CELL_FAULT_LOSE_HOST, any_follower(w), -1);
	unreplaced_recovery_s = time_until_running(w, running_before);
	printf("%-16s %7d %20.1f %22.1f %18.1f\n", site->name, lease_s,
	       100.0 * seconds(frozen_us) / (600.0 * running_before),
	       replaced_recovery_s, unreplaced_recovery_s);
	cellworld_free(w);
}

static void bench_recovery(const site_t *site)
{
	cellworld_t *w =
		new_world(site, "interference", 30 * BH_USEC_PER_SEC, 3);
	bh_usec_t killed_at;
	int leader;

	cellworld_run(w, 5 * BH_USEC_PER_SEC);
	add_filler(w, 100, 400000000);
	cellworld_run(w, 20 * BH_USEC_PER_SEC);
	leader = cellworld_leader(w);
	killed_at = cellworld_now(w);
	cellworld_inject(w, CELL_FAULT_KILL_LEADER, leader, 0);
	cellworld_run(w, 100 * BH_USEC_PER_MS);
	while (cellworld_leader(w) < 0)
		cellworld_run(w, 10 * BH_USEC_PER_MS);
	printf("%-16s leader killed, replaced after %.1f s (term 6 s)\n",
	       site->name, seconds(cellworld_now(w) - killed_at));
	cellworld_free(w);
}

/* Start delay of a high-priority task while 200 tasks a second start. */
static void bench_priority(const site_t *site)
{
	cellworld_t *w =
		new_world(site, "interference", 30 * BH_USEC_PER_SEC, 4);
	bh_usec_t max_delay = 0;
	uint64_t commits;
	bh_usec_t from;

	cellworld_run(w, 5 * BH_USEC_PER_SEC);
	commits = cellworld_commits(w);
	from = cellworld_now(w);
	for (int s = 0; s < 20; s++) {
		g_autofree char *burst = g_strdup_printf("burst-%d", s);
		g_autofree char *urgent = g_strdup_printf("urgent-%d", s);
		g_autofree char *task = g_strdup_printf("urgent-%d/0", s);
		bh_job_spec_t spec = {.name = burst,
				      .n_tasks = 200,
				      .need = {100, 10, 0},
				      .run_ms = 200,
				      .is_idempotent = true};
		bh_usec_t submitted_at;

		cellworld_add_job(w, &spec);
		spec.name = urgent;
		spec.n_tasks = 1;
		spec.priority = 3;
		submitted_at = cellworld_now(w);
		cellworld_add_job(w, &spec);
		cellworld_run(w, BH_USEC_PER_SEC);
		max_delay = MAX(max_delay,
				cellworld_first_start(w, task) - submitted_at);
	}
	printf("%-16s 200 starts/s: high-priority start after at most "
	       "%.2f s; %.1f commits/s\n",
	       site->name, seconds(max_delay),
	       (double)(cellworld_commits(w) - commits) /
		       seconds(cellworld_now(w) - from));
	cellworld_free(w);
}

int main(void)
{
	printf("service slowdown and batch jobs, %d minutes, run time "
	       "estimates "
	       "off by up to a factor of 4, measurements 2 s late\n",
	       MINUTES);
	printf("%-16s %-13s %7s %7s %7s %9s %9s %9s\n", "site", "policy", "p50",
	       "p90", "p99", "in time %", "evictions", "wasted s");
	for (size_t s = 0; s < G_N_ELEMENTS(sites); s++) {
		for (size_t p = 0; p < G_N_ELEMENTS(policies); p++)
			bench_policy(&sites[s], policies[p]);
	}
	printf("\nlease length: a store outage of ten minutes, a lost host\n");
	printf("%-16s %7s %20s %22s\n", "site", "lease s", "frozen in outage %",
	       "lost work runs after s");
	for (size_t s = 0; s < G_N_ELEMENTS(sites); s++) {
		static const int leases[] = {10, 30, 120, 700};

		for (size_t i = 0; i < G_N_ELEMENTS(leases); i++)
			bench_lease(&sites[s], leases[i]);
	}
	printf("\nrecovery\n");
	for (size_t s = 0; s < G_N_ELEMENTS(sites); s++) {
		bench_recovery(&sites[s]);
		bench_priority(&sites[s]);
	}
	return 0;
}
