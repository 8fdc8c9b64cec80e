/*
 * Compares routing policies on the cores of two entries and ten agents with a
 * simulated clock: no fault, one runner ten times slower, alternating slowdowns
 * of a third of the runners with reports 2 s late, overload, and the loss of a
 * runner, an agent or a connection.
 */
#include "tests/world.h"

#include <stdio.h>

#define AGENTS	    10
#define SLOTS	    8
#define SERVICE_US  5000
#define DURATION_S  12
#define WARM_UP_US  (6 * BH_USEC_PER_SEC)
#define DEADLINE_US (500 * BH_USEC_PER_MS)
#define CAPACITY    ((double)AGENTS * SLOTS * 1e6 / SERVICE_US)

typedef enum scenario {
	SCENARIO_NO_FAULT,
	SCENARIO_SLOW_RUNNER,
	SCENARIO_NOISY_WAVE,
	SCENARIO_COUNT,
} scenario_t;

static const char *const scenario_names[] = {"no fault", "slow runner",
					     "noisy wave"};

typedef struct variant {
	const char *name;
	const char *policy;
	double hedge_quantile;
} variant_t;

static const variant_t variants[] = {
	{"round-robin", "round-robin", 0},
	{"least-outstanding", "least-outstanding", 0},
	{"expected-wait", "expected-wait", 0},
	{"expected-wait+hedge", "expected-wait", 0.95},
};

typedef struct stats {
	bh_hist_t latency;
	bh_hist_t by_class[BH_CLASS_COUNT];
	uint64_t good;
	uint64_t late;
	uint64_t not_run;
	uint64_t total;
	uint64_t class_total[BH_CLASS_COUNT];
	bh_usec_t last_affected;
	bh_usec_t measure_from;
} stats_t;

static void on_answer(void *ctx, const world_call_t *call)
{
	stats_t *s = ctx;
	bh_usec_t latency = call->answered_at - call->sent_at;

	if (call->sent_at < s->measure_from)
		return;
	s->total++;
	s->class_total[call->cls]++;
	if (call->verdict == BH_NOT_RUN)
		s->not_run++;
	if (call->verdict != BH_RAN) {
		s->last_affected = call->answered_at;
		return;
	}
	if (call->answered_at > call->deadline) {
		s->late++;
		return;
	}
	s->good++;
	bh_hist_add(&s->latency, latency);
	bh_hist_add(&s->by_class[call->cls], latency);
	if (latency > 20 * SERVICE_US)
		s->last_affected = call->answered_at;
}

static world_t *new_world(const variant_t *v, uint32_t seed)
{
	world_config_t config = {
		.seed = seed,
		.service_us = SERVICE_US,
		.policy = v->policy,
		.hedge_quantile = v->hedge_quantile,
		.n_agents = AGENTS,
		.n_zones = 4,
		.slots = SLOTS,
		.local_delay_us = 250,
		.remote_delay_us = 3500,
		.report_lag_us = 2 * BH_USEC_PER_SEC,
		.is_exponential = true,
	};

	return world_new(&config);
}

/* In the first 2 s of every 4 s a third of the runners is three times slower.
 */
static void set_noisy_wave(world_t *w, int second)
{
	bool is_noisy = second % 4 < 2;
	int first = second / 4 * 3;

	for (int i = 0; i < AGENTS; i++)
		world_set_service_us(w, i, SERVICE_US);
	for (int i = 0; is_noisy && i < AGENTS / 3; i++)
		world_set_service_us(w, (first + i) % AGENTS, 3 * SERVICE_US);
}

static void run(const variant_t *v, scenario_t scenario, double load,
		stats_t *s)
{
	world_t *w = new_world(v, 1);

	memset(s, 0, sizeof(*s));
	s->measure_from = BH_NEVER;
	world_on_answer(w, on_answer, s);
	world_run(w, 2 * BH_USEC_PER_SEC);
	world_set_load(w, load * CAPACITY, DEADLINE_US);
	world_run(w, WARM_UP_US);
	s->measure_from = world_now(w);
	if (scenario == SCENARIO_SLOW_RUNNER)
		world_set_service_us(w, 0, 10 * SERVICE_US);
	for (int i = 0; i < DURATION_S; i++) {
		if (scenario == SCENARIO_NOISY_WAVE)
			set_noisy_wave(w, i);
		world_run(w, BH_USEC_PER_SEC);
	}
	world_set_load(w, 0, 0);
	world_run(w, BH_USEC_PER_SEC);
	world_free(w);
}

static double ms(const bh_hist_t *h, double q)
{
	return (double)bh_hist_quantile(h, q) / 1000;
}

static void bench_policies(double load)
{
	printf("\nload %.1f of capacity; latency in ms, 2 s late reports\n",
	       load);
	printf("%-20s %-12s %8s %8s %8s %9s %8s\n", "policy", "scenario", "p50",
	       "p99", "p99.9", "p99/base", "good %");
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		double no_fault_p99 = 0;

		for (int c = 0; c < SCENARIO_COUNT; c++) {
			stats_t s;

			run(&variants[i], (scenario_t)c, load, &s);
			if (c == SCENARIO_NO_FAULT)
				no_fault_p99 = ms(&s.latency, 0.99);
			printf("%-20s %-12s %8.1f %8.1f %8.1f %9.2f %8.2f\n",
			       variants[i].name, scenario_names[c],
			       ms(&s.latency, 0.5), ms(&s.latency, 0.99),
			       ms(&s.latency, 0.999),
			       ms(&s.latency, 0.99) / no_fault_p99,
			       100.0 * (double)s.good / (double)s.total);
		}
	}
}

static void bench_overload(void)
{
	printf("\nload 2.0 of capacity, deadline %d ms\n",
	       (int)(DEADLINE_US / 1000));
	printf("%-20s %10s %10s %10s %10s %12s\n", "policy", "goodput %",
	       "high ok %", "normal ok%", "low ok %", "high p99 ms");
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		double ok[BH_CLASS_COUNT];
		stats_t s;

		run(&variants[i], SCENARIO_NO_FAULT, 2, &s);
		for (int c = 0; c < BH_CLASS_COUNT; c++)
			ok[c] = 100.0 * (double)s.by_class[c].count /
				(double)s.class_total[c];
		printf("%-20s %10.1f %10.1f %10.1f %10.1f %12.1f\n",
		       variants[i].name,
		       100.0 * (double)s.good / DURATION_S / CAPACITY, ok[0],
		       ok[1], ok[2], ms(&s.by_class[0], 0.99));
	}
}

static void bench_loss(const char *name, world_fault_t fault, int entry)
{
	world_t *w = new_world(&variants[3], 1);
	stats_t s = {.measure_from = BH_NEVER};
	bh_usec_t injected_at;

	world_on_answer(w, on_answer, &s);
	world_run(w, 2 * BH_USEC_PER_SEC);
	world_set_load(w, 0.5 * CAPACITY, 4 * BH_USEC_PER_SEC);
	world_run(w, WARM_UP_US);
	injected_at = world_now(w);
	s.measure_from = injected_at - BH_USEC_PER_SEC / 10;
	world_inject(w, fault, entry, 0);
	world_run(w, 10 * BH_USEC_PER_SEC);
	printf("%-28s last affected caller after %6.0f ms, %llu of %llu "
	       "without an answer\n",
	       name,
	       s.last_affected > injected_at
		       ? (double)(s.last_affected - injected_at) / 1000
		       : 0.0,
	       (unsigned long long)(s.total - s.good),
	       (unsigned long long)s.total);
	world_free(w);
}

int main(int argc, char **argv)
{
	bool is_loss_only = argc > 1 && strcmp(argv[1], "--loss") == 0;

	printf("%d runners of %d slots, mean slot time %d ms exponential, 4 "
	       "zones: 0.25 ms inside, 3.5 ms between\n",
	       AGENTS, SLOTS, SERVICE_US / 1000);
	if (!is_loss_only) {
		bench_policies(0.5);
		bench_policies(0.8);
		bench_overload();
	}
	printf("\nloss, load 0.5; affected: no answer, or over %d ms\n",
	       20 * SERVICE_US / 1000);
	bench_loss("runner killed", FAULT_KILL_RUNNER, 0);
	bench_loss("agent killed", FAULT_KILL_AGENT, 0);
	bench_loss("connection silent both ways", FAULT_SILENT_BOTH, 0);
	bench_loss("connection silent to agent", FAULT_SILENT_TO_AGENT, 0);
	bench_loss("connection silent to entry", FAULT_SILENT_TO_ENTRY, 0);
	return 0;
}
