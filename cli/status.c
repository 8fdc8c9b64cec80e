#include "cli/status.h"
#include "platform/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define POLL_INTERVAL_US 500000
#define TOP_INTERVAL_US	 1000000

static const char *get_text(JsonObject *o, const char *name)
{
	return bh_json_member_text(o, name, "");
}

static gint64 get_int(JsonObject *o, const char *name)
{
	return bh_json_member_int(o, name, 0);
}

static gboolean get_flag(JsonObject *o, const char *name)
{
	return bh_json_is_true(json_object_get_member(o, name));
}

static const char *endpoint_state(JsonObject *o)
{
	if (get_flag(o, "draining"))
		return "draining";
	if (get_flag(o, "ejected"))
		return "ejected";
	return get_flag(o, "usable") ? "up" : "lost";
}

static void print_endpoint(JsonObject *o)
{
	printf("%-16s %-14s %-10s %-9s %5lld %7lld %6lld %11lld %9.2f\n",
	       get_text(o, "service"), get_text(o, "agent"),
	       get_text(o, "zone"), endpoint_state(o),
	       (long long)get_int(o, "slots"), (long long)get_int(o, "running"),
	       (long long)get_int(o, "queued"),
	       (long long)get_int(o, "outstanding"),
	       (double)get_int(o, "service_us") / 1000);
}

static void print_status(JsonObject *o)
{
	JsonArray *endpoints = json_object_get_array_member(o, "endpoints");

	printf("entry %s in %s%s: %lld requests in flight, configuration "
	       "revision %lld\n",
	       get_text(o, "entry"), get_text(o, "zone"),
	       get_flag(o, "draining") ? " (draining)" : "",
	       (long long)get_int(o, "in_flight"),
	       (long long)get_int(o, "config_revision"));
	printf("%-16s %-14s %-10s %-9s %5s %7s %6s %11s %9s\n", "SERVICE",
	       "AGENT", "ZONE", "STATE", "SLOTS", "RUNNING", "QUEUED",
	       "OUTSTANDING", "SLOT MS");
	for (guint i = 0; i < json_array_get_length(endpoints); i++)
		print_endpoint(json_array_get_object_element(endpoints, i));
}

int cli_status(cli_context_t *cli, char **args)
{
	cli_reply_t reply;
	int status = EXIT_SUCCESS;

	(void)args;
	cli_call(cli, EVHTTP_REQ_GET, "/v1/status", NULL, NULL, &reply);
	if (reply.status != 200 || !reply.body)
		status = cli_print_failure(&reply);
	else if (cli->json)
		puts(reply.text);
	else
		print_status(reply.body);
	cli_reply_clear(&reply);
	return status;
}

int cli_top(cli_context_t *cli, char **args)
{
	for (;;) {
		int status;

		printf("\033[H\033[2J");
		status = cli_status(cli, args);
		if (status != EXIT_SUCCESS)
			return status;
		fflush(stdout);
		usleep(TOP_INTERVAL_US);
	}
}

static gint64 print_progress(JsonObject *job)
{
	static const char *const unfinished_states[] = {"pending", "starting",
							"running", "frozen"};
	JsonObject *counts = json_object_get_object_member(job, "status");
	g_autoptr(GList) states = json_object_get_members(counts);
	gint64 unfinished = 0;

	for (GList *l = states; l; l = l->next)
		printf("%s %lld  ", (char *)l->data,
		       (long long)get_int(counts, l->data));
	putchar('\n');
	fflush(stdout);
	for (size_t i = 0; i < G_N_ELEMENTS(unfinished_states); i++)
		unfinished += get_int(counts, unfinished_states[i]);
	return unfinished;
}

int cli_watch(cli_context_t *cli, char **args)
{
	g_autofree char *path = g_strdup_printf("/v1/jobs/%s", args[0]);
	gint64 unfinished = 1;

	while (unfinished > 0) {
		cli_reply_t reply;
		int status = EXIT_SUCCESS;

		cli_call(cli, EVHTTP_REQ_GET, path, NULL, NULL, &reply);
		if (reply.status == 200 && reply.body)
			unfinished = print_progress(reply.body);
		else
			status = cli_print_failure(&reply);
		cli_reply_clear(&reply);
		if (status != EXIT_SUCCESS)
			return status;
		if (unfinished > 0)
			usleep(POLL_INTERVAL_US);
	}
	return EXIT_SUCCESS;
}
