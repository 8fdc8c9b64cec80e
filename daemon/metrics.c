#include "daemon/metrics.h"
#include "daemon/runtime.h"

typedef struct bh_counter_row {
	const char *name;
	size_t offset;
} bh_counter_row_t;

#define ENTRY(f)                                                               \
	{                                                                      \
		"boragehold_entry_" #f "_total",                               \
			offsetof(bh_entry_counters_t, f)                       \
	}
#define CLAIMS(f)                                                              \
	{                                                                      \
		"boragehold_keys_" #f "_total",                                \
			offsetof(bh_claims_counters_t, f)                      \
	}
#define AGENT(f)                                                               \
	{                                                                      \
		"boragehold_agent_" #f "_total",                               \
			offsetof(bh_agent_counters_t, f)                       \
	}
#define TASKHOST(f)                                                            \
	{                                                                      \
		"boragehold_tasks_" #f "_total",                               \
			offsetof(bh_taskhost_counters_t, f)                    \
	}
#define CELL(f)                                                                \
	{                                                                      \
		"boragehold_cell_" #f "_total",                                \
			offsetof(bh_cell_counters_t, f)                        \
	}

static const bh_counter_row_t entry_rows[] = {
	ENTRY(requests),     ENTRY(attempts),	     ENTRY(retries),
	ENTRY(hedges),	     ENTRY(hedges_won),	     ENTRY(retries_denied),
	ENTRY(asks),	     ENTRY(silent_links),    ENTRY(stale_announcements),
	ENTRY(late_answers), ENTRY(corrupt_answers), ENTRY(pauses),
};

static const bh_counter_row_t claims_rows[] = {
	CLAIMS(claims),	   CLAIMS(commits), CLAIMS(commit_rows),
	CLAIMS(conflicts), CLAIMS(unclear), CLAIMS(replayed),
};

static const bh_counter_row_t agent_rows[] = {
	AGENT(admitted),	  AGENT(queued),     AGENT(displaced),
	AGENT(expired),		  AGENT(duplicates), AGENT(tombstones),
	AGENT(stale_connections),
};

static const bh_counter_row_t taskhost_rows[] = {
	TASKHOST(starts),	TASKHOST(stops),	 TASKHOST(stale_orders),
	TASKHOST(refused_full), TASKHOST(refused_epoch),
};

static const bh_counter_row_t cell_rows[] = {
	CELL(commits),	       CELL(commit_rows), CELL(conflicts),
	CELL(unclear_commits), CELL(terms),	  CELL(placed),
	CELL(evictions),       CELL(adopted),	  CELL(strays_stopped),
	CELL(start_failures),  CELL(quarantines), CELL(throttles),
	CELL(moves),
};

static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

static void add_counters(GString *out, const bh_counter_row_t *rows, size_t n,
			 const void *counters)
{
	for (size_t i = 0; i < n; i++) {
		const void *at = (const char *)counters + rows[i].offset;

		bh_metrics_value(out, rows[i].name, NULL,
				 (double)*(const uint64_t *)at);
	}
}

static void add_reasons(GString *out, const char *name, const uint64_t *counts)
{
	for (int i = 1; i < BH_REASON_COUNT; i++) {
		g_autofree char *labels = g_strdup_printf(
			"reason=\"%s\"", bh_reason_name((bh_reason_t)i));

		if (counts[i])
			bh_metrics_value(out, name, labels, (double)counts[i]);
	}
}

static void add_verdicts(GString *out, const char *name, const char *labels,
			 const uint64_t *counts)
{
	for (int i = 0; i <= BH_RAN; i++) {
		g_autofree char *all = g_strdup_printf(
			"%s%sverdict=\"%s\"", labels, *labels ? "," : "",
			bh_verdict_name((bh_verdict_t)i));

		bh_metrics_value(out, name, all, (double)counts[i]);
	}
}

static void add_latency(GString *out, const bh_tenant_t *t, int cls)
{
	const bh_hist_t *hist = t->latency[cls];
	g_autofree char *labels =
		g_strdup_printf("tenant=\"%s\",class=\"%s\"", t->name,
				bh_class_name((bh_class_t)cls));

	if (!hist)
		return;
	bh_metrics_hist(out, "boragehold_latency_seconds", labels, hist);
}

static void add_tenant(GString *out, const bh_tenant_t *t)
{
	g_autofree char *labels = g_strdup_printf("tenant=\"%s\"", t->name);

	bh_metrics_value(out, "boragehold_tenant_in_flight", labels,
			 t->in_flight);
	bh_metrics_value(out, "boragehold_tenant_refused_total", labels,
			 (double)t->refused);
	add_verdicts(out, "boragehold_tenant_requests_total", labels,
		     t->verdicts);
	for (int cls = 0; cls < BH_CLASS_COUNT; cls++)
		add_latency(out, t, cls);
}

void bh_metrics_value(GString *out, const char *name, const char *labels,
		      double value)
{
	if (labels)
		g_string_append_printf(out, "%s{%s} %.15g\n", name, labels,
				       value);
	else
		g_string_append_printf(out, "%s %.15g\n", name, value);
}

void bh_metrics_entry(GString *out, bh_entry_t *entry)
{
	const bh_entry_counters_t *c = bh_entry_counters(entry);
	GHashTableIter iter;
	void *value;

	add_counters(out, entry_rows, G_N_ELEMENTS(entry_rows), c);
	add_reasons(out, "boragehold_entry_refusals_total", c->refusals);
	add_verdicts(out, "boragehold_entry_verdicts_total", "", c->verdicts);
	bh_metrics_value(out, "boragehold_entry_in_flight", NULL,
			 (double)bh_entry_in_flight(entry));
	g_hash_table_iter_init(&iter,
			       bh_tenants_table(bh_entry_tenants(entry)));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_tenant(out, value);
}

void bh_metrics_claims(GString *out, const bh_claims_t *claims)
{
	add_counters(out, claims_rows, G_N_ELEMENTS(claims_rows),
		     bh_claims_counters(claims));
	bh_metrics_value(out, "boragehold_keys_pending", NULL,
			 (double)bh_claims_pending(claims));
}

void bh_metrics_agent(GString *out, const bh_agent_t *agent)
{
	const bh_agent_counters_t *c = bh_agent_counters(agent);

	add_counters(out, agent_rows, G_N_ELEMENTS(agent_rows), c);
	add_reasons(out, "boragehold_agent_refusals_total", c->refusals);
}

void bh_metrics_taskhost(GString *out, const bh_taskhost_t *host)
{
	const bh_resources_t *used =
		bh_ledger_reserved(bh_taskhost_ledger(host));

	add_counters(out, taskhost_rows, G_N_ELEMENTS(taskhost_rows),
		     bh_taskhost_counters(host));
	bh_metrics_value(out, "boragehold_reserved_cpu_milli", NULL,
			 used->cpu_milli);
	bh_metrics_value(out, "boragehold_reserved_mem_mb", NULL, used->mem_mb);
	bh_metrics_value(out, "boragehold_reserved_accel", NULL, used->accel);
}

void bh_metrics_cell(GString *out, const bh_cell_t *cell)
{
	const bh_cell_counters_t *c = bh_cell_counters(cell);

	add_counters(out, cell_rows, G_N_ELEMENTS(cell_rows), c);
	bh_metrics_value(out, "boragehold_cell_leading", NULL,
			 bh_cell_role(cell) == BH_CELL_LEADING);
	bh_metrics_value(out, "boragehold_cell_term", NULL,
			 (double)bh_cell_term(cell));
	for (int i = 1; i < BH_OUTCOME_COUNT; i++) {
		g_autofree char *labels = g_strdup_printf(
			"outcome=\"%s\"", bh_outcome_name((bh_outcome_t)i));

		bh_metrics_value(out, "boragehold_cell_outcomes_total", labels,
				 (double)c->outcomes[i]);
	}
}

void bh_metrics_hist(GString *out, const char *name, const char *labels,
		     const bh_hist_t *hist)
{
	g_autofree char *sum = g_strdup_printf("%s_sum", name);
	g_autofree char *count = g_strdup_printf("%s_count", name);

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		g_autofree char *all = g_strdup_printf(
			"%s%squantile=\"%g\"", labels ? labels : "",
			labels ? "," : "", quantiles[i]);

		bh_metrics_value(out, name, all,
				 (double)bh_hist_quantile(hist, quantiles[i]) /
					 1e6);
	}
	bh_metrics_value(out, sum, labels, (double)hist->sum_us / 1e6);
	bh_metrics_value(out, count, labels, (double)hist->count);
}

/* Orders to start, and calls to the adviser. */
static void add_orders(GString *out, const bh_sched_stats_t *st)
{
	bh_metrics_value(out, "boragehold_starts_total", NULL,
			 (double)st->starts);
	bh_metrics_value(out, "boragehold_starts_refused_total", NULL,
			 (double)st->rejected);
	bh_metrics_value(out, "boragehold_starts_unreported_total", NULL,
			 (double)st->starts_unreported);
	bh_metrics_value(out, "boragehold_starts_repeated_total", NULL,
			 (double)st->starts_repeated);
	bh_metrics_value(out, "boragehold_advice_calls_total", NULL,
			 (double)st->advice_calls);
	bh_metrics_value(out, "boragehold_advice_failed_total", NULL,
			 (double)st->advice_failed);
	bh_metrics_value(out, "boragehold_advice_late_total", NULL,
			 (double)st->advice_late);
}

void bh_metrics_sched(GString *out, const bh_sched_t *sched)
{
	bh_sched_stats_t *st = g_new0(bh_sched_stats_t, 1);

	bh_sched_stats(sched, st);
	add_orders(out, st);
	bh_metrics_value(out, "boragehold_stops_total", NULL,
			 (double)st->stops);
	bh_metrics_value(out, "boragehold_copies_total", NULL,
			 (double)st->copies);
	bh_metrics_value(out, "boragehold_quarantines_total", NULL,
			 (double)st->quarantines);
	bh_metrics_value(out, "boragehold_worker_crashes_total", NULL,
			 (double)st->crashes);
	bh_metrics_value(out, "boragehold_jobs_given_up_total", NULL,
			 (double)st->given_up);
	bh_metrics_value(out, "boragehold_paces_total", NULL,
			 (double)st->paces);
	bh_metrics_value(out, "boragehold_serving_moved_total", NULL,
			 (double)st->serving_moved);
	for (int end = BH_END_DONE; end <= BH_END_ALONE; end++) {
		g_autofree char *label = g_strdup_printf(
			"how=\"%s\"", bh_end_name((bh_end_t)end));

		bh_metrics_value(out, "boragehold_ends_total", label,
				 (double)st->ends[end]);
	}
	bh_metrics_value(out, "boragehold_ends_missing_total", NULL,
			 (double)st->ends_missing);
	for (int state = BH_JOB_COMPLETED; state <= BH_JOB_CANCELLED; state++) {
		g_autofree char *label = g_strdup_printf(
			"state=\"%s\"",
			bh_job_state_name((bh_job_state_t)state));

		bh_metrics_value(out, "boragehold_jobs_ended_total", label,
				 (double)st->jobs[state]);
	}
	bh_metrics_value(out, "boragehold_workers_ready", NULL,
			 st->hosts_ready);
	bh_metrics_value(out, "boragehold_tasks_waiting", NULL,
			 st->tasks_waiting);
	bh_metrics_value(out, "boragehold_tasks_running", NULL,
			 st->tasks_running);
	bh_metrics_hist(out, "boragehold_task_wait_seconds", NULL, &st->wait);
	bh_metrics_value(out, "boragehold_tasks_waiting_for_rack", NULL,
			 st->tasks_waiting_for_rack);
	bh_metrics_value(out, "boragehold_rack_waits_total", NULL,
			 (double)st->rack_waits);
	bh_metrics_value(out, "boragehold_rack_placed_total", NULL,
			 (double)st->rack_placed);
	for (int why = BH_LOCALITY_LOST; why < BH_LOCALITY_VERDICTS; why++) {
		g_autofree char *label = g_strdup_printf(
			"why=\"%s\"",
			bh_locality_verdict_name((bh_locality_verdict_t)why));

		bh_metrics_value(out, "boragehold_rack_abandoned_total", label,
				 (double)st->rack_abandoned[why]);
	}
	bh_metrics_hist(out, "boragehold_rack_wait_seconds", NULL,
			&st->rack_wait);
	g_free(st);
}

void bh_metrics_reply(struct evhttp_request *req, GString *out)
{
	bh_http_reply_text(req, 200, "text/plain; version=0.0.4", out->str);
	g_string_free(out, TRUE);
}
