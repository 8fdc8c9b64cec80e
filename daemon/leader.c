#include "daemon/leader.h"
#include "platform/json.h"
#include "wire/record.h"

struct bh_leader {
	bh_runtime_t *rt;
	bh_table_t *table;
	const bh_leader_ops_t *ops;
	void *ctx;
	bh_cell_t *cell;
	char *holder;
	char *cell_key;
	char *task_prefix;
	char *last_key;
	uint64_t revision;
	uint64_t load_generation;
	bool is_polling;
	bool poll_again;
	bh_cell_role_t logged_role;
};

typedef struct commit_call {
	bh_leader_t *leader;
	uint64_t nonce;
} commit_call_t;

static const char *const role_names[] = {"follower", "acquiring", "loading",
					 "leading"};

static char *object_to_string(JsonObject *o)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_take_object(root, o);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}

static JsonObject *parse_object(const char *text)
{
	JsonNode *node = text ? bh_json_parse(text, strlen(text)) : NULL;
	JsonObject *o = NULL;

	if (node && JSON_NODE_HOLDS_OBJECT(node))
		o = json_object_ref(json_node_get_object(node));
	g_clear_pointer(&node, json_node_unref);
	return o;
}

static const char *get_string(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static uint64_t get_uint(JsonObject *o, const char *name)
{
	return (uint64_t)json_object_get_int_member_with_default(o, name, 0);
}

static void on_cell_row(void *user, const bh_table_reply_t *reply)
{
	bh_leader_t *l = user;
	bh_cell_row_t row = {0};
	JsonObject *o = NULL;
	bh_usec_t now = bh_runtime_now();

	if (reply->status != BH_TABLE_OK) {
		bh_cell_row_read(l->cell, NULL, now);
		return;
	}
	if (reply->n_rows > 0)
		o = parse_object(reply->rows[0].value);
	if (o) {
		row.version = reply->rows[0].version;
		row.term = get_uint(o, "term");
		row.nonce = get_uint(o, "nonce");
		row.holder = get_string(o, "holder");
		if (*row.holder)
			l->ops->leader_found(l->ctx, get_string(o, "address"));
	}
	bh_cell_row_read(l->cell, &row, now);
	g_clear_pointer(&o, json_object_unref);
}

static void op_read(void *ctx)
{
	bh_leader_t *l = ctx;

	bh_table_get(l->table, l->cell_key, on_cell_row, l);
}

static bh_commit_status_t commit_status(bh_table_status_t status)
{
	static const bh_commit_status_t map[] = {
		[BH_TABLE_OK] = BH_COMMIT_OK,
		[BH_TABLE_CONFLICT] = BH_COMMIT_CONFLICT,
		[BH_TABLE_REFUSED] = BH_COMMIT_REFUSED,
		[BH_TABLE_UNKNOWN] = BH_COMMIT_UNKNOWN,
	};

	return map[status];
}

static void on_committed(void *user, const bh_table_reply_t *reply)
{
	commit_call_t *call = user;

	bh_cell_committed(call->leader->cell, call->nonce,
			  commit_status(reply->status), reply->counter,
			  bh_runtime_now());
	g_free(call);
}

static char *cell_value(const bh_leader_t *l, const bh_cell_commit_t *commit)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "holder",
				      commit->is_resigning ? "" : l->holder);
	json_object_set_string_member(o, "address",
				      l->rt->settings->listen_frames);
	json_object_set_int_member(o, "term", (gint64)commit->term);
	json_object_set_int_member(o, "nonce", (gint64)commit->nonce);
	return object_to_string(o);
}

static char *task_value(const bh_task_row_t *row)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "state",
				      bh_task_state_name(row->state));
	json_object_set_int_member(o, "epoch", row->epoch);
	json_object_set_string_member(o, "worker", row->worker);
	json_object_set_string_member(o, "outcome",
				      bh_outcome_name(row->outcome));
	if (*row->reason)
		json_object_set_string_member(o, "reason", row->reason);
	json_object_set_int_member(o, "progress_ms", (gint64)row->progress_ms);
	json_object_set_int_member(o, "done_unix_ms",
				   (gint64)row->done_unix_ms);
	json_object_set_int_member(o, "evictions", row->evictions);
	return object_to_string(o);
}

static void op_commit(void *ctx, const bh_cell_commit_t *commit)
{
	bh_leader_t *l = ctx;
	bh_txn_t *txn = bh_txn_new();
	g_autofree char *value = cell_value(l, commit);
	commit_call_t *call = g_new0(commit_call_t, 1);

	call->leader = l;
	call->nonce = commit->nonce;
	bh_txn_check(txn, l->cell_key, commit->version);
	bh_txn_put(txn, l->cell_key, value);
	for (size_t i = 0; i < commit->n_rows; i++) {
		const bh_task_row_t *row = &commit->rows[i];
		g_autofree char *key =
			g_strconcat(l->task_prefix, row->id, NULL);
		g_autofree char *text = task_value(row);

		bh_txn_put(txn, key, text);
	}
	bh_table_commit(l->table, txn, on_committed, call);
}

static void apply_quota(bh_leader_t *l, const char *tenant, const char *text)
{
	bh_record_t *record =
		text ? bh_record_parse(BH_RECORD_TENANT, text, -1, NULL) : NULL;

	if (record || !text)
		bh_cell_set_quota(l->cell, tenant,
				  record ? (uint64_t)record->quota_cpu_milli
					 : 0);
	bh_record_free(record);
}

static void apply_record(bh_leader_t *l, const bh_row_t *row)
{
	g_auto(GStrv) path = g_strsplit(row->key, "/", 3);
	bh_record_t *record;
	bh_record_kind_t kind;
	bh_job_spec_t spec = {0};

	if (g_strv_length(path) != 3 || !bh_record_kind_parse(path[1], &kind))
		return;
	if (kind == BH_RECORD_TENANT)
		apply_quota(l, path[2], row->value);
	if (kind != BH_RECORD_JOB && kind != BH_RECORD_WATCHER)
		return;
	if (!row->value) {
		bh_cell_job_deleted(l->cell, path[2]);
		return;
	}
	record = bh_record_parse(kind, row->value, -1, NULL);
	if (!record)
		return;
	spec.name = path[2];
	spec.tenant = record->tenant;
	spec.family = record->family;
	spec.n_tasks = (uint32_t)record->tasks;
	spec.need = record->need;
	spec.run_ms = (uint64_t)record->run_ms;
	spec.deadline_unix_ms = (uint64_t)record->deadline_unix_ms;
	spec.is_idempotent = record->is_idempotent || kind == BH_RECORD_WATCHER;
	spec.restarts_on_end = kind == BH_RECORD_WATCHER;
	spec.is_cancelled = record->is_cancelled;
	spec.priority = BH_CLASS_COUNT - (int)record->cls;
	if (g_strcmp0(record->cell, l->rt->settings->cell) == 0)
		bh_cell_set_job(l->cell, &spec, bh_runtime_now());
	bh_record_free(record);
}

static void apply_task_row(bh_leader_t *l, const bh_row_t *row)
{
	JsonObject *o = parse_object(row->value);
	bh_task_row_t task = {0};

	if (!o)
		return;
	task.id = row->key + strlen(l->task_prefix);
	for (int i = 0; i <= BH_TASK_STOPPED; i++) {
		if (strcmp(get_string(o, "state"),
			   bh_task_state_name((bh_task_state_t)i)) == 0)
			task.state = (bh_task_state_t)i;
	}
	for (int i = 0; i < BH_OUTCOME_COUNT; i++) {
		if (strcmp(get_string(o, "outcome"),
			   bh_outcome_name((bh_outcome_t)i)) == 0)
			task.outcome = (bh_outcome_t)i;
	}
	task.epoch = (uint32_t)get_uint(o, "epoch");
	task.worker = get_string(o, "worker");
	task.progress_ms = get_uint(o, "progress_ms");
	task.done_unix_ms = get_uint(o, "done_unix_ms");
	task.evictions = (uint32_t)get_uint(o, "evictions");
	bh_cell_load_task(l->cell, &task);
	json_object_unref(o);
}

static void load_tasks(bh_leader_t *l);

static void on_tasks(void *user, const bh_table_reply_t *reply)
{
	bh_leader_t *l = user;

	if (bh_cell_role(l->cell) != BH_CELL_LOADING)
		return;
	if (reply->status != BH_TABLE_OK) {
		bh_cell_loaded(l->cell, false, bh_runtime_now());
		return;
	}
	for (size_t i = 0; i < reply->n_rows; i++)
		apply_task_row(l, &reply->rows[i]);
	if (reply->n_rows < BH_TABLE_PAGE_ROWS) {
		bh_cell_loaded(l->cell, true, bh_runtime_now());
		return;
	}
	g_free(l->last_key);
	l->last_key = g_strdup(reply->rows[reply->n_rows - 1].key);
	load_tasks(l);
}

static void load_tasks(bh_leader_t *l)
{
	bh_table_list(l->table, l->task_prefix, l->last_key, on_tasks, l);
}

static void on_jobs(void *user, const bh_table_reply_t *reply)
{
	bh_leader_t *l = user;

	if (bh_cell_role(l->cell) != BH_CELL_LOADING)
		return;
	if (reply->status != BH_TABLE_OK) {
		bh_cell_loaded(l->cell, false, bh_runtime_now());
		return;
	}
	for (size_t i = 0; i < reply->n_rows; i++) {
		if (reply->rows[i].value)
			apply_record(l, &reply->rows[i]);
	}
	l->revision = reply->counter;
	g_clear_pointer(&l->last_key, g_free);
	load_tasks(l);
}

static void op_load(void *ctx)
{
	bh_leader_t *l = ctx;

	bh_table_changes(l->table, "record/", 0, on_jobs, l);
}

static void op_send(void *ctx, const char *member, const bh_msg_t *orders)
{
	bh_leader_t *l = ctx;

	l->ops->send(l->ctx, member, orders);
}

static const bh_cell_ops_t cell_ops = {
	.read = op_read,
	.commit = op_commit,
	.load = op_load,
	.send = op_send,
};

static void on_changes(void *user, const bh_table_reply_t *reply)
{
	bh_leader_t *l = user;

	l->is_polling = false;
	if (bh_cell_role(l->cell) != BH_CELL_LEADING)
		return;
	if (reply->status == BH_TABLE_OK && reply->counter >= l->revision) {
		for (size_t i = 0; i < reply->n_rows; i++)
			apply_record(l, &reply->rows[i]);
		l->revision = reply->counter;
	}
	if (l->poll_again)
		bh_leader_poll(l);
}

static void log_role(bh_leader_t *l)
{
	bh_cell_role_t role = bh_cell_role(l->cell);
	g_autofree char *term = NULL;

	if (role == l->logged_role)
		return;
	term = g_strdup_printf("%" G_GUINT64_FORMAT, bh_cell_term(l->cell));
	if (role == BH_CELL_LEADING || l->logged_role == BH_CELL_LEADING)
		bh_log_event(&l->rt->log, BH_LOG_INFO, "cell leadership",
			     "cell", l->rt->settings->cell, "role",
			     role_names[role], "term", term, NULL);
	l->logged_role = role;
}

bh_leader_t *bh_leader_new(bh_runtime_t *rt, bh_table_t *table,
			   const bh_leader_ops_t *ops, void *ctx)
{
	bh_leader_t *l = g_new0(bh_leader_t, 1);
	const bh_settings_t *s = rt->settings;
	bh_cell_config_t config = {
		.placement = "interference",
		.lease_us = s->lease_ms * BH_USEC_PER_MS,
		.term_us = s->term_ms * BH_USEC_PER_MS,
		.journal_us = s->journal_ms * BH_USEC_PER_MS,
		.seed = (uint32_t)rt->incarnation,
	};

	l->rt = rt;
	l->table = table;
	l->ops = ops;
	l->ctx = ctx;
	l->holder = g_strdup_printf("%s#%" G_GUINT64_FORMAT, s->name,
				    rt->incarnation);
	l->cell_key = g_strdup_printf("cell/%s", s->cell);
	l->task_prefix = g_strdup_printf("task/%s/", s->cell);
	config.holder = l->holder;
	l->cell = bh_cell_new(&config, &cell_ops, l, bh_runtime_now());
	return l;
}

void bh_leader_free(bh_leader_t *l)
{
	if (!l)
		return;
	bh_cell_free(l->cell);
	g_free(l->holder);
	g_free(l->cell_key);
	g_free(l->task_prefix);
	g_free(l->last_key);
	g_free(l);
}

bh_cell_t *bh_leader_cell(bh_leader_t *l)
{
	return l->cell;
}

void bh_leader_poll(bh_leader_t *l)
{
	if (bh_cell_role(l->cell) != BH_CELL_LEADING)
		return;
	l->poll_again = l->is_polling;
	if (l->is_polling)
		return;
	l->is_polling = true;
	bh_table_changes(l->table, "record/", l->revision, on_changes, l);
}

void bh_leader_tick(bh_leader_t *l, bh_usec_t now)
{
	bh_cell_set_unix_ms(l->cell, bh_runtime_unix_ms(), now);
	bh_cell_tick(l->cell, now);
	log_role(l);
}
