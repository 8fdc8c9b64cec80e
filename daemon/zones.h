/*
 * Metrics and log lines of the availability zones that are evacuated, as a
 * process knows them.
 */
#ifndef BH_DAEMON_ZONES_H
#define BH_DAEMON_ZONES_H

#include "daemon/log.h"
#include "sched/evacuation.h"

void bh_metrics_evacuation(GString *out, const bh_evacuation_t *evacuation);

/**
 * bh_log_evacuation() - log the present set
 * @source: where the process learned of it
 */
void bh_log_evacuation(bh_log_t *log, const bh_evacuation_t *evacuation,
		       const char *source);

#endif
