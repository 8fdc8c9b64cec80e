#include "cli/client.h"
#include "platform/address.h"
#include "platform/json.h"

#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_US	 ((int64_t)10 * 1000000)
#define REPLY_MAX_BYTES	 (64u << 20)
#define EXIT_FAILED	 1
#define EXIT_UNREACHABLE 3
#define EXIT_CONFLICT	 4

typedef struct pending_call {
	struct event_base *base;
	cli_reply_t *out;
} pending_call_t;

static void on_reply(void *user, const bh_http_reply_t *reply)
{
	pending_call_t *call = user;
	JsonNode *node;

	call->out->status = reply->status;
	event_base_loopbreak(call->base);
	if (!reply->body)
		return;
	call->out->text = g_strndup(g_bytes_get_data(reply->body, NULL),
				    g_bytes_get_size(reply->body));
	node = bh_json_parse_bytes(reply->body);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		call->out->body = json_object_ref(json_node_get_object(node));
	g_clear_pointer(&node, json_node_unref);
}

bool cli_check_entry(const char *entry)
{
	if (bh_address_is_valid(entry))
		return true;
	fprintf(stderr,
		"boragehold: --entry \"%s\" is not an address; expected "
		"IP:PORT with a port from 1 to 65535\n",
		entry);
	return false;
}

void cli_call(cli_context_t *cli, enum evhttp_cmd_type method, const char *path,
	      const char *if_match, const char *body, cli_reply_t *out)
{
	bh_http_pool_t *pool =
		bh_http_pool_new(cli->base, cli->entry, REPLY_MAX_BYTES);
	pending_call_t pending = {cli->base, out};
	bh_http_call_t call = {
		.method = method,
		.path = path,
		.timeout_us = CALL_TIMEOUT_US,
	};
	size_t n = 0;

	memset(out, 0, sizeof(*out));
	if (if_match) {
		call.headers[n].name = "If-Match";
		call.headers[n++].value = if_match;
	}
	if (cli->authorization) {
		call.headers[n].name = "Authorization";
		call.headers[n++].value = cli->authorization;
	}
	if (body)
		call.body = g_bytes_new(body, strlen(body));
	bh_http_send(pool, &call, on_reply, &pending);
	event_base_dispatch(cli->base);
	g_clear_pointer(&call.body, g_bytes_unref);
	bh_http_pool_free(pool);
}

void cli_reply_clear(cli_reply_t *reply)
{
	g_free(reply->text);
	g_clear_pointer(&reply->body, json_object_unref);
}

int cli_print_failure(const cli_reply_t *reply)
{
	const char *error = NULL;

	if (reply->status == 0) {
		fprintf(stderr, "boragehold: no response from the entry\n");
		return EXIT_UNREACHABLE;
	}
	if (reply->body)
		error = json_object_get_string_member_with_default(
			reply->body, "error", NULL);
	fprintf(stderr, "boragehold: %u: %s\n", reply->status,
		error ? error : "no reason given");
	if (reply->status == 409 && reply->text)
		fprintf(stderr, "%s\n", reply->text);
	return reply->status == 409 ? EXIT_CONFLICT : EXIT_FAILED;
}
