#include "sched/queues.h"

static void queue_clear(bh_queue_t *queue)
{
	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->service);
}

static bool host_matches(const bh_queue_t *queue, const char *host, size_t len)
{
	return strlen(queue->host) == len &&
	       g_ascii_strncasecmp(queue->host, host, len) == 0;
}

bh_config_t *bh_config_new(uint32_t n_queues, uint32_t n_services)
{
	bh_config_t *config = g_new0(bh_config_t, 1);

	config->n_queues = n_queues;
	config->queues = g_new0(bh_queue_t, MAX(n_queues, 1));
	config->n_services = n_services;
	config->services = g_new0(bh_service_config_t, MAX(n_services, 1));
	config->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return config;
}

void bh_config_index(bh_config_t *config)
{
	for (uint32_t i = 0; i < config->n_queues; i++)
		g_hash_table_insert(config->by_name, config->queues[i].name,
				    &config->queues[i]);
}

void bh_config_free(bh_config_t *config)
{
	if (!config)
		return;
	for (uint32_t i = 0; i < config->n_queues; i++)
		queue_clear(&config->queues[i]);
	for (uint32_t i = 0; i < config->n_services; i++)
		g_free(config->services[i].name);
	g_free(config->queues);
	g_free(config->services);
	g_hash_table_destroy(config->by_name);
	g_free(config);
}

const bh_queue_t *bh_config_queue(const bh_config_t *config, const char *name)
{
	return config ? g_hash_table_lookup(config->by_name, name) : NULL;
}

const bh_queue_t *bh_config_match(const bh_config_t *config, const char *host,
				  const char *path)
{
	size_t host_len = strcspn(host, ":");
	const bh_queue_t *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; i < config->n_queues; i++) {
		const bh_queue_t *q = &config->queues[i];
		size_t len = strlen(q->prefix);

		if (len <= best_len || !host_matches(q, host, host_len))
			continue;
		if (strncmp(path, q->prefix, len) != 0)
			continue;
		best = q;
		best_len = len;
	}
	return best;
}
