/*
 * Blocking calls to an entry's HTTP interface, for the command line.
 */
#ifndef BH_CLI_CLIENT_H
#define BH_CLI_CLIENT_H

#include "platform/http_client.h"

#include <json-glib/json-glib.h>

/**
 * struct cli_context - options common to all commands
 * @entry: "IP:PORT" of an entry
 */
typedef struct cli_context {
	struct event_base *base;
	char *entry;
	char *token_file;
	gboolean json;
	gint64 revision;
	char *authorization;
} cli_context_t;

/**
 * struct cli_reply - a response; @body is NULL if it is not a JSON object
 * @status: HTTP status; 0 if there was no response
 */
typedef struct cli_reply {
	unsigned status;
	char *text;
	JsonObject *body;
} cli_reply_t;

/**
 * cli_check_entry() - print an error unless @entry is an address
 */
bool cli_check_entry(const char *entry);

/**
 * cli_call() - send a request to the entry, which cli_check_entry() accepts
 */
void cli_call(cli_context_t *cli, enum evhttp_cmd_type method, const char *path,
	      const char *if_match, const char *body, cli_reply_t *out);
void cli_reply_clear(cli_reply_t *reply);

/**
 * cli_print_failure() - print the error of a failed call
 *
 * Return: the process's exit code.
 */
int cli_print_failure(const cli_reply_t *reply);

#endif
