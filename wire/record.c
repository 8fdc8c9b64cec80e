#include "wire/record.h"
#include "platform/json.h"

G_DEFINE_QUARK(bh - record - error - quark, bh_record_error)

#define NAME_MAX_BYTES 63
#define KIND(k)	       (1u << BH_RECORD_##k)
#define RUNNABLE       (KIND(SERVICE) | KIND(JOB) | KIND(WATCHER))
#define OFFSET(f)      offsetof(bh_record_t, f)

typedef enum field_type {
	FIELD_TEXT,
	FIELD_CLASS,
	FIELD_BOOL,
	FIELD_INT,
	FIELD_U32,
	FIELD_NUMBER,
} field_type_t;

/**
 * struct bh_field - a field of the document
 * @kinds: KIND() bits of the records that may have it
 * @required: KIND() bits of the records that must have it
 * @offset: of its value in bh_record_t
 * @min: lowest value of a number
 * @max: highest value of a number
 * @nested: in the object "need" from schema version 2 on
 */
typedef struct bh_field {
	const char *name;
	unsigned kinds;
	unsigned required;
	field_type_t type;
	size_t offset;
	double min;
	double max;
	bool nested;
} bh_field_t;

static const bh_field_t fields[] = {
	{"tenant", RUNNABLE, KIND(JOB) | KIND(WATCHER), FIELD_TEXT,
	 OFFSET(tenant), 0, 0, false},
	{"cell", RUNNABLE, 0, FIELD_TEXT, OFFSET(cell), 0, 0, false},
	{"family", RUNNABLE, 0, FIELD_TEXT, OFFSET(family), 0, 0, false},
	{"class", RUNNABLE, 0, FIELD_CLASS, OFFSET(cls), 0, 0, false},
	{"tasks", KIND(JOB), KIND(JOB), FIELD_INT, OFFSET(tasks), 1, 10000,
	 false},
	{"replicas", KIND(SERVICE), 0, FIELD_INT, OFFSET(tasks), 0, 10000,
	 false},
	{"cpu_milli", RUNNABLE, KIND(JOB) | KIND(WATCHER), FIELD_U32,
	 OFFSET(need.cpu_milli), 1, 1e6, true},
	{"mem_mb", RUNNABLE, KIND(JOB) | KIND(WATCHER), FIELD_U32,
	 OFFSET(need.mem_mb), 1, 1e8, true},
	{"accel", RUNNABLE, 0, FIELD_U32, OFFSET(need.accel), 0, 1024, true},
	{"run_ms", KIND(JOB) | KIND(WATCHER), KIND(JOB) | KIND(WATCHER),
	 FIELD_INT, OFFSET(run_ms), 1, 1e9, false},
	{"deadline_unix_ms", KIND(JOB), 0, FIELD_INT, OFFSET(deadline_unix_ms),
	 0, 9e15, false},
	{"idempotent", KIND(JOB), 0, FIELD_BOOL, OFFSET(is_idempotent), 0, 0,
	 false},
	{"cancelled", KIND(JOB) | KIND(WATCHER), 0, FIELD_BOOL,
	 OFFSET(is_cancelled), 0, 0, false},
	{"rate", KIND(TENANT), 0, FIELD_NUMBER, OFFSET(rate), 0.1, 1e6, false},
	{"burst", KIND(TENANT), 0, FIELD_NUMBER, OFFSET(burst), 1, 1e6, false},
	{"max_in_flight", KIND(TENANT), 0, FIELD_INT, OFFSET(max_in_flight), 1,
	 1e6, false},
	{"quota_cpu_milli", KIND(TENANT), 0, FIELD_INT, OFFSET(quota_cpu_milli),
	 0, 1e12, false},
};

static const char *const collections[BH_RECORD_KINDS] = {
	[BH_RECORD_SERVICE] = "services",
	[BH_RECORD_JOB] = "jobs",
	[BH_RECORD_WATCHER] = "watchers",
	[BH_RECORD_TENANT] = "tenants",
};

static bool fail_field(const bh_field_t *f, JsonNode *node, const char *allowed,
		       GError **err)
{
	g_autofree char *value = json_to_string(node, FALSE);

	g_set_error(err, BH_RECORD_ERROR, BH_RECORD_ERROR_FIELD,
		    "%s: %s is not allowed; expected %s", f->name, value,
		    allowed);
	return false;
}

static bool set_text(bh_record_t *r, const bh_field_t *f, JsonNode *node,
		     GError **err)
{
	const char *text = json_node_get_string(node);

	if (!text)
		return fail_field(f, node, "a string", err);
	if (f->type == FIELD_CLASS) {
		if (!bh_class_parse(text, &r->cls))
			return fail_field(f, node, "high, normal or low", err);
		return true;
	}
	if (!bh_record_name_is_valid(text))
		return fail_field(f, node,
				  "1 to 63 of a-z, 0-9, '-', '_' and '.'", err);
	*(char **)((char *)r + f->offset) = g_strdup(text);
	return true;
}

static bool set_bool(bh_record_t *r, const bh_field_t *f, JsonNode *node,
		     GError **err)
{
	if (json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return fail_field(f, node, "true or false", err);
	*(bool *)((char *)r + f->offset) = json_node_get_boolean(node);
	return true;
}

static bool set_number(bh_record_t *r, const bh_field_t *f, JsonNode *node,
		       GError **err)
{
	g_autofree char *allowed = g_strdup_printf(
		"%s, %.10g to %.10g",
		f->type == FIELD_NUMBER ? "a number" : "an integer", f->min,
		f->max);
	GType type = json_node_get_value_type(node);
	double value = json_node_get_double(node);
	char *target = (char *)r + f->offset;

	if (type != G_TYPE_INT64 &&
	    (type != G_TYPE_DOUBLE || f->type != FIELD_NUMBER))
		return fail_field(f, node, allowed, err);
	if (!(value >= f->min && value <= f->max))
		return fail_field(f, node, allowed, err);
	if (f->type == FIELD_NUMBER)
		*(double *)(void *)target = value;
	else if (f->type == FIELD_U32)
		*(uint32_t *)(void *)target = (uint32_t)json_node_get_int(node);
	else
		*(int64_t *)(void *)target = json_node_get_int(node);
	return true;
}

static bool set_field(bh_record_t *r, const bh_field_t *f, JsonNode *node,
		      GError **err)
{
	if (!JSON_NODE_HOLDS_VALUE(node))
		return fail_field(f, node, "a string, number or boolean", err);
	switch (f->type) {
	case FIELD_TEXT:
	case FIELD_CLASS:
		return set_text(r, f, node, err);
	case FIELD_BOOL:
		return set_bool(r, f, node, err);
	default:
		return set_number(r, f, node, err);
	}
}

static JsonNode *find_member(const bh_record_t *r, const bh_field_t *f,
			     JsonObject *object)
{
	JsonNode *need;

	if (!f->nested || r->schema_version < 2)
		return json_object_get_member(object, f->name);
	need = json_object_get_member(object, "need");
	if (!need || !JSON_NODE_HOLDS_OBJECT(need))
		return NULL;
	return json_object_get_member(json_node_get_object(need), f->name);
}

static bool check_schema(bh_record_t *r, JsonObject *object, GError **err)
{
	JsonNode *node = json_object_get_member(object, "schema_version");

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64) {
		g_set_error(err, BH_RECORD_ERROR, BH_RECORD_ERROR_SCHEMA,
			    "schema_version: required, an integer, %d to %d",
			    BH_SCHEMA_OLDEST, BH_SCHEMA_NEWEST);
		return false;
	}
	r->schema_version = json_node_get_int(node);
	if (r->schema_version >= BH_SCHEMA_OLDEST &&
	    r->schema_version <= BH_SCHEMA_NEWEST)
		return true;
	g_set_error(err, BH_RECORD_ERROR, BH_RECORD_ERROR_SCHEMA,
		    "schema_version: %" G_GINT64_FORMAT
		    " is not supported by this build; expected %d to %d",
		    r->schema_version, BH_SCHEMA_OLDEST, BH_SCHEMA_NEWEST);
	return false;
}

static bool check_fields(bh_record_t *r, JsonObject *object, GError **err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const bh_field_t *f = &fields[i];
		JsonNode *node;

		if (!(f->kinds & (1u << r->kind)))
			continue;
		node = find_member(r, f, object);
		if (node) {
			if (!set_field(r, f, node, err))
				return false;
		} else if (f->required & (1u << r->kind)) {
			g_set_error(err, BH_RECORD_ERROR, BH_RECORD_ERROR_FIELD,
				    "%s%s: required but missing",
				    f->nested && r->schema_version >= 2
					    ? "need."
					    : "",
				    f->name);
			return false;
		}
	}
	return true;
}

const char *bh_record_collection(bh_record_kind_t kind)
{
	return collections[kind];
}

bool bh_record_kind_parse(const char *collection, bh_record_kind_t *kind)
{
	for (int i = 0; i < BH_RECORD_KINDS; i++) {
		if (strcmp(collections[i], collection) == 0) {
			*kind = (bh_record_kind_t)i;
			return true;
		}
	}
	return false;
}

bool bh_record_name_is_valid(const char *name)
{
	size_t len = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-_.");

	return len > 0 && len <= NAME_MAX_BYTES && name[len] == 0;
}

bh_record_t *bh_record_parse(bh_record_kind_t kind, const char *text,
			     gssize len, GError **err)
{
	g_autoptr(GError) parse_error = NULL;
	g_autoptr(JsonNode) root = NULL;
	bh_record_t *r;

	root = bh_json_load(text, len < 0 ? strlen(text) : (size_t)len,
			    &parse_error);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(err, BH_RECORD_ERROR, BH_RECORD_ERROR_SYNTAX,
			    "the record is not a JSON object%s%s",
			    parse_error ? ": " : "",
			    parse_error ? parse_error->message : "");
		return NULL;
	}
	r = g_new0(bh_record_t, 1);
	r->kind = kind;
	r->cls = BH_CLASS_NORMAL;
	r->tasks = kind == BH_RECORD_WATCHER ? 1 : 0;
	r->json = json_node_copy(root);
	if (check_schema(r, json_node_get_object(root), err) &&
	    check_fields(r, json_node_get_object(root), err))
		return r;
	bh_record_free(r);
	return NULL;
}

void bh_record_free(bh_record_t *r)
{
	if (!r)
		return;
	g_free(r->tenant);
	g_free(r->cell);
	g_free(r->family);
	json_node_unref(r->json);
	g_free(r);
}

void bh_record_set_text(bh_record_t *r, const char *field, const char *value)
{
	json_object_set_string_member(json_node_get_object(r->json), field,
				      value);
}

char *bh_record_text(const bh_record_t *r)
{
	return json_to_string(r->json, FALSE);
}
