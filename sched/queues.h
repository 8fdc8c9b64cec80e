/*
 * The operator's configuration: queues, and the services whose workers run
 * their tasks.
 */
#ifndef BH_SCHED_QUEUES_H
#define BH_SCHED_QUEUES_H

#include "core/types.h"

/**
 * struct bh_queue - a queue that jobs are submitted to
 * @host: value of the Host header of its requests
 * @prefix: path prefix of its requests
 * @service: service whose workers run its tasks
 * @priority: 0 comes first
 * @max_attempts: a job fails once this many attempts at one of its tasks have
 *	failed; 0: no limit
 * @slack_factor: the part of a job's objective that is proportional to its
 *	critical path, as a multiple of it
 * @target_ms: the constant part of a job's objective
 * @needs_advice: a step's tasks start only with tickets from the adviser
 * @advice_ms: fixed part of the time in which the adviser answers
 * @advice_per_worker_ms: additional time for each worker that the request names
 * @advice_valid_ms: time for which its tickets are valid
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
 * struct bh_service_config - a service, whose workers run tasks
 * @has_admission_check: its workers refuse tasks that do not fit
 */
typedef struct bh_service_config {
	char *name;
	bool has_admission_check;
	bool is_standby;
} bh_service_config_t;

/**
 * struct bh_config - a version of the configuration; immutable after
 * bh_config_index()
 * @by_name: queues by name; owns neither keys nor values
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
 * bh_config_index() - build the index by name, once all queues are filled in
 */
void bh_config_index(bh_config_t *config);
void bh_config_free(bh_config_t *config);
const bh_queue_t *bh_config_queue(const bh_config_t *config, const char *name);

/**
 * bh_config_match() - find the queue of a request
 * @host: Host header; a port is ignored
 *
 * Return: the queue with the longest matching prefix, or NULL.
 */
const bh_queue_t *bh_config_match(const bh_config_t *config, const char *host,
				  const char *path);

#endif
