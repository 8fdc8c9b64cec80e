/*
 * Counters and histograms in the Prometheus text format.
 */
#ifndef BH_DAEMON_METRICS_H
#define BH_DAEMON_METRICS_H

#include "core/agent.h"
#include "core/cell.h"
#include "core/claims.h"
#include "core/entry.h"
#include "core/taskhost.h"
#include "sched/sched.h"

#include <event2/http.h>

void bh_metrics_entry(GString *out, bh_entry_t *entry);
void bh_metrics_claims(GString *out, const bh_claims_t *claims);
void bh_metrics_agent(GString *out, const bh_agent_t *agent);
void bh_metrics_taskhost(GString *out, const bh_taskhost_t *host);
void bh_metrics_cell(GString *out, const bh_cell_t *cell);
void bh_metrics_sched(GString *out, const bh_sched_t *sched);

/**
 * bh_metrics_value() - append a sample
 * @labels: label pairs such as "tenant=\"a\"", or NULL
 */
void bh_metrics_value(GString *out, const char *name, const char *labels,
		      double value);

/**
 * bh_metrics_hist() - append count, sum and quantiles of a latency histogram
 */
void bh_metrics_hist(GString *out, const char *name, const char *labels,
		     const bh_hist_t *hist);

/**
 * bh_metrics_reply() - send @out as the response to a scrape and free it
 */
void bh_metrics_reply(struct evhttp_request *req, GString *out);

#endif
