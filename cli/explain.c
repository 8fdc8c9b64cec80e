#include "cli/explain.h"
#include "platform/json.h"

#include <stdio.h>
#include <string.h>

#define EXIT_NOTHING_FOUND 1
#define EXIT_UNREADABLE	   2

typedef struct entry {
	char *time;
	char *process;
	char *text;
} entry_t;

/* Shown in the fixed part of each line, or the same in all of them. */
static const char *const hidden[] = {"time", "level", "process", "event",
				     "job"};

static void entry_free(gpointer data)
{
	entry_t *e = data;

	g_free(e->time);
	g_free(e->process);
	g_free(e->text);
	g_free(e);
}

static bool is_hidden(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hidden); i++) {
		if (strcmp(name, hidden[i]) == 0)
			return true;
	}
	return false;
}

static bool is_about(JsonNode *line, const char *id)
{
	const char *job = bh_json_text(bh_json_get(line, "job"));
	const char *task = bh_json_text(bh_json_get(line, "task"));

	return g_strcmp0(job, id) == 0 || (task && g_str_has_prefix(task, id));
}

static char *describe(JsonNode *line)
{
	JsonObject *object = json_node_get_object(line);
	g_autoptr(GList) names = json_object_get_members(object);
	GString *out = g_string_new(bh_json_text(bh_json_get(line, "event")));

	for (GList *l = names; l; l = l->next) {
		const char *value = bh_json_text(bh_json_get(line, l->data));

		if (!is_hidden(l->data) && value)
			g_string_append_printf(out, " %s=%s",
					       (const char *)l->data, value);
	}
	return g_string_free(out, FALSE);
}

/* Anything before the brace is left out: log collectors put their own times
 * and host names there. */
static void take_line(GPtrArray *story, const char *text, const char *id)
{
	const char *brace = strchr(text, '{');
	JsonNode *line;
	entry_t *e;

	if (!brace || !strstr(brace, id))
		return;
	line = bh_json_parse(brace, strlen(brace));
	if (line && bh_json_is_object(line) && is_about(line, id)) {
		e = g_new0(entry_t, 1);
		e->time = g_strdup(bh_json_text(bh_json_get(line, "time")));
		e->process =
			g_strdup(bh_json_text(bh_json_get(line, "process")));
		e->text = describe(line);
		g_ptr_array_add(story, e);
	}
	bh_json_free(line);
}

static bool take_file(GPtrArray *story, const char *path, const char *id)
{
	FILE *in = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *text = NULL;
	size_t room = 0;

	if (!in) {
		fprintf(stderr, "boragehold: %s cannot be read\n", path);
		return false;
	}
	while (getline(&text, &room, in) >= 0)
		take_line(story, text, id);
	free(text);
	if (in != stdin)
		fclose(in);
	return true;
}

static int by_time(gconstpointer a, gconstpointer b)
{
	const entry_t *x = *(entry_t *const *)a;
	const entry_t *y = *(entry_t *const *)b;

	return g_strcmp0(x->time, y->time);
}

int cli_explain(cli_context_t *cli, char **args)
{
	g_autoptr(GPtrArray) story = g_ptr_array_new_with_free_func(entry_free);
	bool is_ok = true;

	(void)cli;
	if (!args[1])
		is_ok = take_file(story, "-", args[0]);
	for (int i = 1; args[i]; i++)
		is_ok = take_file(story, args[i], args[0]) && is_ok;
	g_ptr_array_sort(story, by_time);
	for (guint i = 0; i < story->len; i++) {
		const entry_t *e = story->pdata[i];

		printf("%s %s %s\n", e->time ? e->time : "-",
		       e->process ? e->process : "-", e->text);
	}
	if (!is_ok)
		return EXIT_UNREADABLE;
	if (story->len == 0)
		fprintf(stderr, "boragehold: no line names job %s\n", args[0]);
	return story->len ? 0 : EXIT_NOTHING_FOUND;
}
