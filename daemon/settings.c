#include "daemon/settings.h"
#include "platform/address.h"
#include "platform/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

G_DEFINE_QUARK(bh - settings - error - quark, bh_settings_error)

#define FIELD_OFFSET(field) offsetof(bh_settings_t, field)
#define TEXT(f, default_json, help)                                            \
	{                                                                      \
#f, BH_OPTION_TEXT, FIELD_OFFSET(f), "", default_json, 0, 0,   \
			NULL, help                                             \
	}
#define CHOICE(f, default_json, choices, help)                                 \
	{                                                                      \
#f, BH_OPTION_CHOICE, FIELD_OFFSET(f), "", default_json, 0, 0, \
			choices, help                                          \
	}
#define ADDRESS(f, default_json, help)                                         \
	{                                                                      \
#f, BH_OPTION_ADDRESS, FIELD_OFFSET(f), "", default_json, 0,   \
			0, NULL, help                                          \
	}
#define INT(f, unit, default_json, min, max, help)                             \
	{                                                                      \
#f, BH_OPTION_INT, FIELD_OFFSET(f), unit, default_json, min,   \
			max, NULL, help                                        \
	}
#define NUMBER(f, unit, default_json, min, max, help)                          \
	{                                                                      \
#f, BH_OPTION_NUMBER, FIELD_OFFSET(f), unit, default_json,     \
			min, max, NULL, help                                   \
	}

static const bh_option_t options[] = {
	CHOICE(role, NULL, "entry|agent", "role of this process"),
	TEXT(name, NULL, "unique name of this process"),
	TEXT(zone, NULL, "availability zone of this process"),
	TEXT(cell, "\"cell-1\"",
	     "cell of the worker; for an entry, the cell of new jobs"),
	ADDRESS(listen_http, "\"\"",
		"required; HTTP for callers at an entry, for runners at an "
		"agent"),
	ADDRESS(listen_operators, "\"\"",
		"HTTP for operators; empty: on listen_http"),
	ADDRESS(listen_frames, NULL,
		"frames between processes, TCP and UDP; other processes "
		"connect to it"),
	ADDRESS(advertise_frames, "\"\"",
		"frame address that an agent announces; empty: listen_frames"),
	ADDRESS(table, "\"\"",
		"the platform's table service; required without store"),
	ADDRESS(store, "\"\"",
		"the platform's store; if set, this process schedules jobs"),
	ADDRESS(listen_ready, "\"\"",
		"HTTP for the load balancer's readiness checks; entries with "
		"store"),
	ADDRESS(metrics, "\"\"", "HTTP for metrics, with store"),
	ADDRESS(advice, "\"\"", "the platform's adviser, with store"),
	ADDRESS(worker, "\"\"", "the worker runtime; agents only"),
	TEXT(entries, "\"\"",
	     "frame addresses of entries to announce to in any case, "
	     "comma-separated"),
	TEXT(token_file, "\"\"",
	     "file with the operators' bearer token; empty: none is required"),
	CHOICE(log_level, "\"info\"", "error|warn|info|debug",
	       "least severe level that is logged"),
	CHOICE(log_format, "\"text\"", "text|json", "format of log lines"),
	CHOICE(policy, "\"expected-wait\"",
	       "expected-wait|round-robin|least-outstanding",
	       "routing policy of an entry"),
	INT(max_body_bytes, "B", "1048576", 1024, 1048576,
	    "largest request or record body"),
	INT(max_in_flight, "requests", "4096", 1, 1000000,
	    "limit of requests in flight at an entry"),
	INT(http_timeout_ms, "ms", "60000", 100, 3600000,
	    "timeout of an idle HTTP connection or an incomplete message"),
	INT(max_attempts, "attempts", "3", 1, 10,
	    "attempts at one request, hedges included"),
	INT(default_deadline_ms, "ms", "10000", 1, 3600000,
	    "deadline of a request that specifies none"),
	INT(drain_grace_ms, "ms", "1000", 0, 60000,
	    "time after SIGTERM that new work is still accepted, until the "
	    "load balancer has noticed"),
	INT(drain_limit_ms, "ms", "30000", 100, 3600000,
	    "maximum time that a shutdown waits for work in flight"),
	INT(announce_ms, "ms", "1000", 100, 1500,
	    "interval of an agent's announcements"),
	INT(poll_ms, "ms", "2000", 100, 60000,
	    "interval of polling the table service for changes"),
	INT(report_ms, "ms", "500", 50, 10000,
	    "minimum interval of an agent's reports to its cell's leader; "
	    "without changes a third of term_ms"),
	INT(lease_ms, "ms", "30000", 500, 3600000,
	    "lease of a task at its worker"),
	NUMBER(lease_max_ms, "ms", "10000", 500, 3600000,
	       "longest lease that a worker grants, with store"),
	NUMBER(restore_ms, "ms", "100", 0, 600000,
	       "time that a task takes to resume from a checkpoint, with "
	       "store"),
	NUMBER(impact_ms, "ms", "4000", 100, 3600000,
	       "longest time that a lasting task may miss its objective "
	       "because of fillers, with store"),
	NUMBER(status_s, "s", "120", 1, 86400,
	       "time that a job's final state is kept, with store"),
	CHOICE(learn_run_times, "\"off\"", "on|off",
	       "whether run times of tasks are predicted from those of earlier "
	       "runs where estimates are wrong, with store"),
	NUMBER(stop_within_s, "s", "6", 0.1, 600,
	       "time from SIGTERM to SIGKILL, with store"),
	NUMBER(processor_share, "cores", "1", 0.001, 1024,
	       "processor time of this host; entries with more are preferred "
	       "as leader"),
	INT(term_ms, "ms", "6000", 500, 600000,
	    "term of a cell's leader without renewal"),
	INT(journal_ms, "ms", "200", 10, 10000,
	    "interval of the leader's journal commits"),
	INT(key_commit_ms, "ms", "20", 1, 1000,
	    "minimum time between commits of idempotency keys; keys that "
	    "arrive meanwhile share the next commit"),
	INT(tenant_max_in_flight, "requests", "1024", 1, 1000000,
	    "default limit of a tenant's requests in flight, per entry"),
	NUMBER(tenant_rate, "requests/s", "100000", 0.1, 1000000,
	       "default rate limit of a tenant, per entry"),
	NUMBER(tenant_burst, "requests", "10000", 1, 1000000,
	       "default burst of a tenant, per entry"),
	NUMBER(retry_share, "ratio", "0.1", 0, 1,
	       "retries and hedges allowed per request"),
	NUMBER(hedge_quantile, "quantile", "0.95", 0, 0.9999,
	       "quantile of a service's latency after which an idempotent "
	       "request is sent a second time; 0: never"),
};

static const bh_option_t *find_option(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		if (strcmp(options[i].name, name) == 0)
			return &options[i];
	}
	return NULL;
}

static const char *type_name(bh_option_type_t type)
{
	static const char *const names[] = {"text", "choice", "IP:PORT",
					    "integer", "number"};

	return names[type];
}

static char *describe_range(const bh_option_t *o)
{
	switch (o->type) {
	case BH_OPTION_CHOICE:
		return g_strdup(o->choices);
	case BH_OPTION_INT:
	case BH_OPTION_NUMBER:
		return g_strdup_printf("%g to %g", o->min, o->max);
	case BH_OPTION_ADDRESS:
		return g_strdup("an IP address and a port, such as "
				"192.0.2.1:7000");
	default:
		return g_strdup("a non-empty string of at most 255 bytes");
	}
}

static gboolean set_value_error(const bh_option_t *o, JsonNode *node,
				GError **err)
{
	g_autofree char *value = json_to_string(node, FALSE);
	g_autofree char *range = describe_range(o);

	g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_VALUE,
		    "%s: %s is not allowed; expected %s, %s", o->name, value,
		    type_name(o->type), range);
	return FALSE;
}

static gboolean is_choice(const char *choices, const char *word)
{
	g_auto(GStrv) words = g_strsplit(choices, "|", -1);

	return g_strv_contains((const char *const *)words, word);
}

static gboolean is_valid_text(const bh_option_t *o, const char *text)
{
	if (*text == 0)
		return o->default_json && strcmp(o->default_json, "\"\"") == 0;
	if (strlen(text) > 255)
		return FALSE;
	if (o->type == BH_OPTION_CHOICE)
		return is_choice(o->choices, text);
	if (o->type == BH_OPTION_ADDRESS)
		return bh_address_is_valid(text);
	return TRUE;
}

static gboolean set_text(bh_settings_t *s, const bh_option_t *o, JsonNode *node,
			 GError **err)
{
	char **field = (char **)((char *)s + o->offset);

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING ||
	    !is_valid_text(o, json_node_get_string(node)))
		return set_value_error(o, node, err);
	g_free(*field);
	*field = json_node_dup_string(node);
	return TRUE;
}

static gboolean set_number(bh_settings_t *s, const bh_option_t *o,
			   JsonNode *node, GError **err)
{
	GType type = JSON_NODE_HOLDS_VALUE(node)
			     ? json_node_get_value_type(node)
			     : G_TYPE_INVALID;
	double value;

	if (type != G_TYPE_INT64 &&
	    (type != G_TYPE_DOUBLE || o->type == BH_OPTION_INT))
		return set_value_error(o, node, err);
	value = json_node_get_double(node);
	if (!(value >= o->min && value <= o->max))
		return set_value_error(o, node, err);
	if (o->type == BH_OPTION_INT)
		*(int64_t *)((char *)s + o->offset) = json_node_get_int(node);
	else
		*(double *)((char *)s + o->offset) = value;
	return TRUE;
}

static gboolean set_option(bh_settings_t *s, const bh_option_t *o,
			   JsonNode *node, GError **err)
{
	if (o->type == BH_OPTION_INT || o->type == BH_OPTION_NUMBER)
		return set_number(s, o, node, err);
	return set_text(s, o, node, err);
}

static gboolean set_default(bh_settings_t *s, const bh_option_t *o,
			    GError **err)
{
	JsonNode *node =
		bh_json_load(o->default_json, strlen(o->default_json), err);
	gboolean ok = node && set_option(s, o, node, err);

	g_clear_pointer(&node, json_node_unref);
	return ok;
}

static gboolean check_unknown(JsonObject *object, GError **err)
{
	g_autoptr(GList) members = json_object_get_members(object);

	for (GList *l = members; l; l = l->next) {
		if (find_option(l->data))
			continue;
		g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_UNKNOWN,
			    "%s: unknown option", (char *)l->data);
		return FALSE;
	}
	return TRUE;
}

static gboolean set_missing_error(const char *name, GError **err)
{
	g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_MISSING,
		    "%s: required but missing (%s)", name,
		    find_option(name)->help);
	return FALSE;
}

static gboolean check_required(const bh_settings_t *s, GError **err)
{
	if (!*s->listen_http)
		return set_missing_error("listen_http", err);
	if (!*s->table && !*s->store)
		return set_missing_error("table", err);
	if (*s->store && strcmp(s->role, "agent") == 0 && !*s->worker)
		return set_missing_error("worker", err);
	return TRUE;
}

static gboolean apply_options(bh_settings_t *s, JsonObject *object,
			      GError **err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		const bh_option_t *o = &options[i];
		JsonNode *node = json_object_get_member(object, o->name);

		if (node) {
			if (!set_option(s, o, node, err))
				return FALSE;
		} else if (!o->default_json) {
			g_set_error(err, BH_SETTINGS_ERROR,
				    BH_SETTINGS_ERROR_MISSING,
				    "%s: required but missing (%s)", o->name,
				    o->help);
			return FALSE;
		} else if (!set_default(s, o, err)) {
			return FALSE;
		}
	}
	return check_required(s, err);
}

bh_settings_t *bh_settings_parse(const char *text, gssize len, GError **err)
{
	g_autoptr(GError) cause = NULL;
	g_autoptr(JsonNode) root = NULL;
	bh_settings_t *s;

	root = bh_json_load(text, len < 0 ? strlen(text) : (size_t)len, &cause);
	if (!root) {
		g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_SYNTAX,
			    "%s", cause->message);
		return NULL;
	}
	if (!JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_SYNTAX,
			    "settings are not a JSON object");
		return NULL;
	}
	s = g_new0(bh_settings_t, 1);
	if (check_unknown(json_node_get_object(root), err) &&
	    apply_options(s, json_node_get_object(root), err))
		return s;
	bh_settings_free(s);
	return NULL;
}

bh_settings_t *bh_settings_load(const char *path, GError **err)
{
	g_autoptr(GError) cause = NULL;
	g_autofree char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error(err, BH_SETTINGS_ERROR, BH_SETTINGS_ERROR_READ,
			    "%s", cause->message);
		return NULL;
	}
	return bh_settings_parse(text, (gssize)len, err);
}

void bh_settings_free(bh_settings_t *s)
{
	if (!s)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		if (options[i].type <= BH_OPTION_ADDRESS)
			g_free(*(char **)((char *)s + options[i].offset));
	}
	g_free(s);
}

char *bh_options_markdown(void)
{
	GString *s = g_string_new("| option | type | unit | default | range | "
				  "meaning |\n|---|---|---|---|---|---|\n");

	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		const bh_option_t *o = &options[i];
		g_autofree char *range = describe_range(o);
		g_auto(GStrv) words = g_strsplit(range, "|", -1);
		g_autofree char *cell = g_strjoinv(", ", words);

		g_string_append_printf(s, "| `%s` | %s | %s | %s | %s | %s |\n",
				       o->name, type_name(o->type), o->unit,
				       o->default_json ? o->default_json
						       : "required",
				       cell, o->help);
	}
	return g_string_free(s, FALSE);
}
