#include "daemon/configs.h"
#include "daemon/metrics.h"
#include "platform/decode.h"
#include "sched/config_sync.h"

/**
 * struct bh_configs - the configuration in use
 * @text: @config as it was received, to be sent to other entries
 * @decoded: configurations decoded, also those that were not newer
 * @copies_sent: copies sent to other entries
 * @copies_received: copies received from other entries
 */
struct bh_configs {
	bh_runtime_t *rt;
	void (*applied)(void *ctx);
	void *ctx;
	bh_config_t *config;
	GBytes *text;
	bh_config_sync_t sync;
	uint64_t decoded;
	uint64_t copies_sent;
	uint64_t copies_received;
};

static void send_copy(bh_configs_t *c, bh_link_t *link)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__ConfigPush copy = BH__SCHED__CONFIG_PUSH__INIT;
	gsize len;

	copy.version = c->config->version;
	copy.text.data = (uint8_t *)g_bytes_get_data(c->text, &len);
	copy.text.len = len;
	frame.body_case = BH__SCHED__FRAME__BODY_CONFIG;
	frame.config = &copy;
	c->copies_sent++;
	bh_link_send(link, &frame);
}

static void send_request(const bh_configs_t *c, bh_link_t *link)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__ConfigRequest request = BH__SCHED__CONFIG_REQUEST__INIT;

	request.version = bh_configs_version(c);
	frame.body_case = BH__SCHED__FRAME__BODY_CONFIG_REQUEST;
	frame.config_request = &request;
	bh_link_send(link, &frame);
}

bh_configs_t *bh_configs_new(bh_runtime_t *rt, void (*applied)(void *ctx),
			     void *ctx)
{
	bh_configs_t *c = g_new0(bh_configs_t, 1);

	c->rt = rt;
	c->applied = applied;
	c->ctx = ctx;
	return c;
}

void bh_configs_free(bh_configs_t *c)
{
	if (!c)
		return;
	bh_config_free(c->config);
	if (c->text)
		g_bytes_unref(c->text);
	g_free(c);
}

const bh_config_t *bh_configs_current(const bh_configs_t *c)
{
	return c->config;
}

uint64_t bh_configs_version(const bh_configs_t *c)
{
	return c->config ? c->config->version : 0;
}

void bh_configs_apply(bh_configs_t *c, const void *text, size_t len,
		      const char *source)
{
	bh_config_t *config = bh_decode_config(text, len);
	g_autofree char *version = NULL;
	bh_config_t *old = c->config;

	c->decoded++;
	if (!config) {
		bh_log_event(&c->rt->log, BH_LOG_ERROR,
			     "cannot decode the configuration", "source",
			     source, NULL);
		return;
	}
	if (config->version <= bh_configs_version(c)) {
		bh_config_free(config);
		return;
	}
	version = g_strdup_printf("%" G_GUINT64_FORMAT, config->version);
	bh_log_event(&c->rt->log, BH_LOG_INFO, "configuration", "version",
		     version, "source", source, NULL);
	c->config = config;
	if (c->text)
		g_bytes_unref(c->text);
	c->text = g_bytes_new(text, len);
	bh_config_sync_applied(&c->sync);
	c->applied(c->ctx);
	bh_config_free(old);
}

void bh_configs_on_report(bh_configs_t *c, bh_link_t *link, uint64_t version,
			  bool is_store_lost)
{
	if (bh_config_sync_must_ask(&c->sync, bh_configs_version(c), version,
				    is_store_lost, bh_runtime_now()))
		send_request(c, link);
}

void bh_configs_on_request(bh_configs_t *c, bh_link_t *link,
			   const Bh__Sched__ConfigRequest *request)
{
	if (bh_configs_version(c) > request->version)
		send_copy(c, link);
}

void bh_configs_on_copy(bh_configs_t *c, const Bh__Sched__ConfigPush *copy,
			const char *source)
{
	c->copies_received++;
	/* Decoding a large configuration takes long on a small host. */
	if (copy->version > bh_configs_version(c))
		bh_configs_apply(c, copy->text.data, copy->text.len, source);
}

void bh_configs_metrics(const bh_configs_t *c, GString *out)
{
	bh_metrics_value(out, "boragehold_config_version", NULL,
			 (double)bh_configs_version(c));
	bh_metrics_value(out, "boragehold_config_decoded_total", NULL,
			 (double)c->decoded);
	bh_metrics_value(out, "boragehold_config_copies_sent_total", NULL,
			 (double)c->copies_sent);
	bh_metrics_value(out, "boragehold_config_copies_received_total", NULL,
			 (double)c->copies_received);
}
