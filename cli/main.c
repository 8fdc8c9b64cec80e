#include "cli/client.h"
#include "cli/load.h"
#include "cli/explain.h"
#include "cli/status.h"
#include "daemon/settings.h"
#include "wire/record.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#ifndef BH_VERSION
#define BH_VERSION "unknown"
#endif

#define EXIT_USAGE    2
#define DEFAULT_ENTRY "127.0.0.1:8080"

typedef struct command {
	const char *name;
	int min_args;
	int max_args;
	int (*run)(cli_context_t *cli, char **args);
	const char *usage;
	const char *help;
} command_t;

static char *if_match_text(const cli_context_t *cli)
{
	return cli->revision > 0 ? g_strdup_printf("\"%" G_GINT64_FORMAT "\"",
						   cli->revision)
				 : NULL;
}

static int print_reply(cli_reply_t *reply)
{
	int status = EXIT_SUCCESS;

	if (reply->status != 200)
		status = cli_print_failure(reply);
	else if (reply->text)
		puts(reply->text);
	cli_reply_clear(reply);
	return status;
}

static int cmd_get(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/%s/%s", args[0], args[1]);
	cli_reply_t reply;

	cli_call(cli, EVHTTP_REQ_GET, path, NULL, NULL, &reply);
	return print_reply(&reply);
}

static int cmd_list(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/%s", args[0]);
	cli_reply_t reply;

	cli_call(cli, EVHTTP_REQ_GET, path, NULL, NULL, &reply);
	return print_reply(&reply);
}

static int cmd_put(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/%s/%s", args[0], args[1]);
	g_autofree char *if_match = if_match_text(cli);
	g_autofree char *text = NULL;
	g_autoptr(GError) err = NULL;
	cli_reply_t reply;

	if (!g_file_get_contents(args[2], &text, NULL, &err)) {
		fprintf(stderr, "boragehold: %s\n", err->message);
		return EXIT_USAGE;
	}
	cli_call(cli, EVHTTP_REQ_PUT, path, if_match, text, &reply);
	return print_reply(&reply);
}

static int cmd_delete(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/%s/%s", args[0], args[1]);
	g_autofree char *if_match = if_match_text(cli);
	cli_reply_t reply;

	cli_call(cli, EVHTTP_REQ_DELETE, path, if_match, NULL, &reply);
	return print_reply(&reply);
}

/* Removes what the entry adds to a record when it is read. */
static void strip_status(JsonObject *record)
{
	static const char *const added[] = {"name", "revision", "status",
					    "task_status"};

	for (size_t i = 0; i < G_N_ELEMENTS(added); i++)
		json_object_remove_member(record, added[i]);
}

static int cmd_cancel(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/jobs/%s", args[0]);
	g_autofree char *if_match = NULL;
	g_autofree char *text = NULL;
	cli_reply_t reply;
	JsonNode *node;

	cli_call(cli, EVHTTP_REQ_GET, path, NULL, NULL, &reply);
	if (reply.status != 200 || !reply.body)
		return print_reply(&reply);
	cli->revision = json_object_get_int_member_with_default(reply.body,
								"revision", 0);
	if_match = if_match_text(cli);
	strip_status(reply.body);
	json_object_set_boolean_member(reply.body, "cancelled", TRUE);
	node = json_node_new(JSON_NODE_OBJECT);
	json_node_set_object(node, reply.body);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	cli_reply_clear(&reply);
	cli_call(cli, EVHTTP_REQ_PUT, path, if_match, text, &reply);
	return print_reply(&reply);
}

static int cmd_check_settings(cli_context_t *cli, char **args)
{
	g_autoptr(GError) err = NULL;
	bh_settings_t *settings = bh_settings_load(args[0], &err);

	(void)cli;
	if (!settings) {
		fprintf(stderr, "boragehold: %s: %s\n", args[0], err->message);
		return EXIT_FAILURE;
	}
	bh_settings_free(settings);
	printf("%s: ok\n", args[0]);
	return EXIT_SUCCESS;
}

static int cmd_options(cli_context_t *cli, char **args)
{
	g_autofree char *text = bh_options_markdown();

	(void)cli;
	(void)args;
	fputs(text, stdout);
	return EXIT_SUCCESS;
}

static int cmd_completion(cli_context_t *cli, char **args);

static const command_t commands[] = {
	{"get", 2, 2, cmd_get, "COLLECTION NAME",
	 "print a record, and the status of a job or watcher"},
	{"list", 1, 1, cmd_list, "COLLECTION",
	 "list services, jobs, watchers or tenants"},
	{"put", 3, 3, cmd_put, "COLLECTION NAME FILE",
	 "create a record, or replace the one at --revision"},
	{"delete", 2, 2, cmd_delete, "COLLECTION NAME",
	 "delete the record at --revision"},
	{"cancel", 1, 1, cmd_cancel, "JOB", "cancel a job"},
	{"watch", 1, 1, cli_watch, "JOB",
	 "print a job's progress until all tasks ended"},
	{"status", 0, 0, cli_status, "", "services and endpoints of the entry"},
	{"explain", 1, 1000, cli_explain, "JOB [LOG...]",
	 "print the log lines about a job, oldest first"},
	{"top", 0, 0, cli_top, "", "print the status every second"},
	{"check-settings", 1, 1, cmd_check_settings, "FILE",
	 "check a settings file of borageholdd"},
	{"options", 0, 0, cmd_options, "",
	 "print the settings' table of options"},
	{"completion", 0, 0, cmd_completion, "",
	 "print a completion script for bash"},
};

static int cmd_completion(cli_context_t *cli, char **args)
{
	(void)cli;
	(void)args;
	printf("complete -W 'load");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf(" %s", commands[i].name);
	puts(" services jobs watchers tenants' boragehold");
	return EXIT_SUCCESS;
}

static char *command_help(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(s, "  %-14s %-22s %s\n",
				       commands[i].name, commands[i].usage,
				       commands[i].help);
	g_string_append(s, "  load           --service NAME ...       "
			   "open-loop load; load --help\n"
			   "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no "
			   "answer, 4 conflict\n");
	return g_string_free(s, FALSE);
}

static int run_command(cli_context_t *cli, int argc, char **argv)
{
	if (strcmp(argv[1], "load") == 0)
		return cli_load(cli, argc - 1, argv + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const command_t *c = &commands[i];

		if (strcmp(c->name, argv[1]) != 0)
			continue;
		if (argc - 2 >= c->min_args && argc - 2 <= c->max_args)
			return cli_check_entry(cli->entry)
				       ? c->run(cli, argv + 2)
				       : EXIT_USAGE;
		fprintf(stderr, "usage: boragehold %s %s\n", c->name, c->usage);
		return EXIT_USAGE;
	}
	fprintf(stderr, "boragehold: unknown command %s\n", argv[1]);
	return EXIT_USAGE;
}

static bool load_token(cli_context_t *cli)
{
	g_autofree char *token = NULL;
	g_autoptr(GError) err = NULL;

	if (!cli->token_file)
		return true;
	if (!g_file_get_contents(cli->token_file, &token, NULL, &err)) {
		fprintf(stderr, "boragehold: %s\n", err->message);
		return false;
	}
	cli->authorization = g_strconcat("Bearer ", g_strstrip(token), NULL);
	return true;
}

int main(int argc, char **argv)
{
	cli_context_t cli = {0};
	gboolean show_version = FALSE;
	GOptionEntry entries[] = {
		{"entry", 'e', 0, G_OPTION_ARG_STRING, &cli.entry,
		 "an entry, default " DEFAULT_ENTRY
		 "; load takes several, comma-separated",
		 "IP:PORT"},
		{"token-file", 0, 0, G_OPTION_ARG_FILENAME, &cli.token_file,
		 "file with the operators' token", "FILE"},
		{"revision", 'r', 0, G_OPTION_ARG_INT64, &cli.revision,
		 "revision that a change is based on", "N"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &cli.json,
		 "print JSON instead of text", NULL},
		{"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
		 "print the version and exit", NULL},
		{0},
	};
	g_autoptr(GOptionContext) options =
		g_option_context_new("COMMAND [ARGUMENT...]");
	g_autofree char *help = command_help();
	g_autoptr(GError) err = NULL;
	int status = EXIT_USAGE;

	g_option_context_set_strict_posix(options, TRUE);
	g_option_context_set_description(options, help);
	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &err)) {
		fprintf(stderr, "boragehold: %s\n", err->message);
		return EXIT_USAGE;
	}
	if (!cli.entry)
		cli.entry = g_strdup(DEFAULT_ENTRY);
	if (show_version) {
		puts("boragehold " BH_VERSION);
		return EXIT_SUCCESS;
	}
	if (argc < 2) {
		fputs(help, stderr);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	cli.base = event_base_new();
	if (load_token(&cli))
		status = run_command(&cli, argc, argv);
	event_base_free(cli.base);
	g_free(cli.entry);
	g_free(cli.token_file);
	g_free(cli.authorization);
	return status;
}
