/*
 * The operator's configuration: queues, and the services whose workers run
 * their tasks.
 */
#ifndef BH_SCHED_QUEUES_H
#define BH_SCHED_QUEUES_H

#include "core/types.h"

/**
 * struct bh_queue - a way for jobs to come in
 * @host: value of the Host header
 * @prefix: path that its requests begin with
 * @priority: 0 comes first
 * @max_attempts: attempts at a task that may fail; 0: no limit
 * @slack_factor: a job's objective, as a multiple of its longest chain of work
 * @target_ms: on top of that, ms
 * @advice_ms: time that the adviser takes for a call; 0: no advice is needed
 */
typedef struct bh_queue {
	char *name;
	char *host;
	char *prefix;
	char *service;
	uint32_t priority;
	uint32_t max_attempts;
	double slack_factor;
	uint32_t target_ms;
	bool needs_advice;
	uint32_t advice_ms;
	uint32_t advice_per_worker_ms;
	uint32_t advice_valid_ms;
} bh_queue_t;

/**
 * struct bh_service_config - a pool of workers
 * @has_admission_check: its workers refuse what does not fit
 */
typedef struct bh_service_config {
	char *name;
	bool has_admission_check;
	bool is_standby;
} bh_service_config_t;

/**
 * struct bh_config - a version of the configuration; never changed once made
 * @by_name: queues by name
 */
typedef struct bh_config {
	uint64_t version;
	uint32_t n_queues;
	bh_queue_t *queues;
	uint32_t n_services;
	bh_service_config_t *services;
	uint32_t max_body_bytes;
	GHashTable *by_name;
} bh_config_t;

bh_config_t *bh_config_new(uint32_t n_queues, uint32_t n_services);

/**
 * bh_config_index() - call once the queues are filled in
 */
void bh_config_index(bh_config_t *config);
void bh_config_free(bh_config_t *config);
const bh_queue_t *bh_config_queue(const bh_config_t *config, const char *name);

/**
 * bh_config_match() - the queue of a request
 * @host: Host header; a port is ignored
 *
 * Return: the queue with the longest prefix, or NULL.
 */
const bh_queue_t *bh_config_match(const bh_config_t *config, const char *host,
				  const char *path);

#endif
