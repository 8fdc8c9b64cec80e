#include "daemon/keys.h"
#include "platform/json.h"

struct bh_keys {
	bh_table_t *table;
	bh_claims_t *claims;
	const bh_keys_ops_t *ops;
	void *ctx;
};

typedef struct read_call {
	bh_keys_t *keys;
	char *key;
} read_call_t;

static const char *const state_names[] = {"held", "done", "done-unkept",
					  "unknown"};

static char *hex_text(uint64_t value)
{
	return g_strdup_printf("%" G_GINT64_MODIFIER "x", value);
}

static void set_hex(JsonObject *o, const char *name, uint64_t value)
{
	g_autofree char *text = hex_text(value);

	json_object_set_string_member(o, name, text);
}

static uint64_t get_hex(JsonObject *o, const char *name)
{
	return g_ascii_strtoull(
		json_object_get_string_member_with_default(o, name, "0"), NULL,
		16);
}

static char *claim_to_json(const bh_claim_row_t *row)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *o = json_object_new();
	char *text;

	set_hex(o, "entry", row->entry);
	set_hex(o, "number", row->number);
	set_hex(o, "body", row->body_checksum);
	json_object_set_string_member(o, "state", state_names[row->state]);
	json_object_set_int_member(o, "status", row->status);
	json_object_set_int_member(o, "unix_ms", (gint64)bh_runtime_unix_ms());
	if (row->answer) {
		gsize len;
		const void *data = g_bytes_get_data(row->answer, &len);
		g_autofree char *answer = g_base64_encode(data, len);

		json_object_set_string_member(o, "answer", answer);
	}
	json_node_take_object(root, o);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}

static void parse_claim(JsonObject *o, bh_claim_row_t *out)
{
	const char *state = json_object_get_string_member_with_default(
		o, "state", "unknown");
	const char *answer =
		json_object_get_string_member_with_default(o, "answer", NULL);

	out->entry = get_hex(o, "entry");
	out->number = get_hex(o, "number");
	out->body_checksum = get_hex(o, "body");
	out->status = (uint32_t)json_object_get_int_member_with_default(
		o, "status", 0);
	out->state = BH_CLAIM_UNKNOWN;
	for (int i = 0; i <= BH_CLAIM_UNKNOWN; i++) {
		if (strcmp(state, state_names[i]) == 0)
			out->state = (bh_claim_state_t)i;
	}
	if (answer) {
		gsize len;
		guchar *data = g_base64_decode(answer, &len);

		out->answer = g_bytes_new_take(data, len);
	}
}

static void parse_row(const bh_row_t *row, bh_claim_row_t *out)
{
	JsonNode *node = row->value
				 ? bh_json_parse(row->value, strlen(row->value))
				 : NULL;

	memset(out, 0, sizeof(*out));
	out->key = row->key;
	out->version = row->version;
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		parse_claim(json_node_get_object(node), out);
	else
		out->state = BH_CLAIM_UNKNOWN;
	g_clear_pointer(&node, json_node_unref);
}

static bh_claims_status_t claims_status(bh_table_status_t status)
{
	static const bh_claims_status_t map[] = {
		[BH_TABLE_OK] = BH_CLAIMS_OK,
		[BH_TABLE_CONFLICT] = BH_CLAIMS_CONFLICT,
		[BH_TABLE_REFUSED] = BH_CLAIMS_REFUSED,
		[BH_TABLE_UNKNOWN] = BH_CLAIMS_NO_ANSWER,
	};

	return map[status];
}

static void on_committed(void *user, const bh_table_reply_t *reply)
{
	bh_keys_t *keys = user;
	bh_claim_row_t *rows = g_new0(bh_claim_row_t, reply->n_rows);

	for (size_t i = 0; i < reply->n_rows; i++)
		parse_row(&reply->rows[i], &rows[i]);
	bh_claims_committed(keys->claims, claims_status(reply->status), rows,
			    reply->n_rows, reply->counter, bh_runtime_now());
	for (size_t i = 0; i < reply->n_rows; i++)
		g_clear_pointer(&rows[i].answer, g_bytes_unref);
	g_free(rows);
}

static void op_commit(void *ctx, const bh_claim_write_t *writes, size_t n)
{
	bh_keys_t *keys = ctx;
	bh_txn_t *txn = bh_txn_new();

	for (size_t i = 0; i < n; i++) {
		const bh_claim_row_t *row = &writes[i].row;

		bh_txn_check(txn, row->key, row->version);
		if (writes[i].is_delete) {
			bh_txn_delete(txn, row->key);
		} else {
			g_autofree char *text = claim_to_json(row);

			bh_txn_put(txn, row->key, text);
		}
	}
	bh_table_commit(keys->table, txn, on_committed, keys);
}

static void on_read(void *user, const bh_table_reply_t *reply)
{
	read_call_t *call = user;
	bh_claim_row_t row = {.key = call->key};

	if (reply->status == BH_TABLE_OK && reply->n_rows > 0)
		parse_row(&reply->rows[0], &row);
	bh_claims_read(call->keys->claims, call->key,
		       reply->status == BH_TABLE_OK ? &row : NULL,
		       bh_runtime_now());
	g_clear_pointer(&row.answer, g_bytes_unref);
	g_free(call->key);
	g_free(call);
}

static void op_read(void *ctx, const char *key)
{
	bh_keys_t *keys = ctx;
	read_call_t *call = g_new0(read_call_t, 1);

	call->keys = keys;
	call->key = g_strdup(key);
	bh_table_get(keys->table, key, on_read, call);
}

static void op_claimed(void *ctx, bh_request_t *request,
		       const bh_result_t *result)
{
	bh_keys_t *keys = ctx;

	keys->ops->claimed(keys->ctx, request, result);
}

static void op_settled(void *ctx, bh_request_t *request)
{
	bh_keys_t *keys = ctx;

	keys->ops->settled(keys->ctx, request);
}

static const bh_claims_ops_t claims_ops = {
	.commit = op_commit,
	.read = op_read,
	.claimed = op_claimed,
	.settled = op_settled,
};

bh_keys_t *bh_keys_new(bh_runtime_t *rt, bh_table_t *table,
		       const bh_keys_ops_t *ops, void *ctx)
{
	bh_keys_t *keys = g_new0(bh_keys_t, 1);

	keys->table = table;
	keys->ops = ops;
	keys->ctx = ctx;
	keys->claims = bh_claims_new(
		rt->incarnation, rt->settings->key_commit_ms * BH_USEC_PER_MS,
		&claims_ops, keys);
	return keys;
}

void bh_keys_free(bh_keys_t *keys)
{
	bh_claims_free(keys->claims);
	g_free(keys);
}

bh_claims_t *bh_keys_claims(bh_keys_t *keys)
{
	return keys->claims;
}
