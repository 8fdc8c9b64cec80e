#include "core/msg.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

static const char *const type_names[BH_MSG_TYPE_COUNT] = {
	"NONE", "HELLO", "REQUEST",  "ANSWER", "ASK",	 "RUNNING",
	"PING", "PONG",	 "ANNOUNCE", "REPORT", "ORDERS", "CHANGED",
};

static const char *const task_state_names[] = {
	"pending", "starting", "running", "frozen", "done", "failed", "stopped",
};

const char *bh_msg_type_name(bh_msg_type_t type)
{
	return type < BH_MSG_TYPE_COUNT ? type_names[type] : "?";
}

const char *bh_task_state_name(bh_task_state_t state)
{
	return task_state_names[state];
}

uint64_t bh_body_checksum(GBytes *body)
{
	gsize len;
	const void *data;

	if (!body)
		return 0;
	data = g_bytes_get_data(body, &len);
	return XXH64(data, len, 0);
}

void bh_msg_clear(bh_msg_t *msg)
{
	for (size_t i = 0; i < msg->n_endpoints; i++)
		g_free(msg->endpoints[i].service);
	for (size_t i = 0; i < msg->n_tasks; i++)
		g_free(msg->tasks[i].id);
	for (size_t i = 0; i < msg->n_orders; i++)
		g_free(msg->orders[i].id);
	g_free(msg->endpoints);
	g_free(msg->tasks);
	g_free(msg->orders);
	g_strfreev(msg->entries);
	g_free(msg->name);
	g_free(msg->zone);
	g_free(msg->address);
	g_free(msg->service);
	g_free(msg->tenant);
	if (msg->body)
		g_bytes_unref(msg->body);
	memset(msg, 0, sizeof(*msg));
}

static void copy_arrays(bh_msg_t *dst, const bh_msg_t *src)
{
	dst->endpoints = g_memdup2(src->endpoints,
				   src->n_endpoints * sizeof(*src->endpoints));
	for (size_t i = 0; i < src->n_endpoints; i++)
		dst->endpoints[i].service = g_strdup(src->endpoints[i].service);
	dst->tasks = g_memdup2(src->tasks, src->n_tasks * sizeof(*src->tasks));
	for (size_t i = 0; i < src->n_tasks; i++)
		dst->tasks[i].id = g_strdup(src->tasks[i].id);
	dst->orders =
		g_memdup2(src->orders, src->n_orders * sizeof(*src->orders));
	for (size_t i = 0; i < src->n_orders; i++)
		dst->orders[i].id = g_strdup(src->orders[i].id);
}

void bh_msg_copy(bh_msg_t *dst, const bh_msg_t *src)
{
	*dst = *src;
	dst->name = g_strdup(src->name);
	dst->zone = g_strdup(src->zone);
	dst->address = g_strdup(src->address);
	dst->service = g_strdup(src->service);
	dst->tenant = g_strdup(src->tenant);
	if (src->body)
		g_bytes_ref(src->body);
	dst->entries = g_strdupv(src->entries);
	copy_arrays(dst, src);
}
