/*
 * libFuzzer target: the limits of HTTP requests and of clients' documents. A
 * request ends or is refused at the same byte in one piece and in pieces of the
 * length in the first byte; a document that is accepted keeps to its limits.
 */
#include "platform/json.h"
#include "sched/http_scan.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const bh_http_limits_t limits = {
	.head_bytes = 1024,
	.fields = 16,
	.body_bytes = 1024,
	.framing_bytes = 512,
};

static size_t feed(bh_http_scan_t *scan, const char *data, size_t len,
		   size_t piece)
{
	size_t done = 0;

	memset(scan, 0, sizeof(*scan));
	bh_http_scan_reset(scan);
	while (done < len && scan->part < BH_HTTP_DONE)
		done += bh_http_scan_feed(scan, &limits, data + done,
					  MIN(piece, len - done));
	return done;
}

static void check_scan(const char *data, size_t len, size_t piece)
{
	bh_http_scan_t whole;
	bh_http_scan_t pieces;
	size_t end = feed(&whole, data, len, len);

	if (whole.body > limits.body_bytes || whole.fields > limits.fields + 1)
		abort();
	feed(&pieces, data, len, piece);
	if (pieces.part != whole.part || pieces.status != whole.status)
		abort();
	if (whole.part == BH_HTTP_DONE && feed(&pieces, data, len, 1) != end)
		abort();
	if (strcmp(whole.path, pieces.path) != 0 ||
	    strcmp(whole.host, pieces.host) != 0)
		abort();
}

static size_t count_values(JsonNode *node)
{
	size_t n = 1;

	if (bh_json_is_array(node)) {
		for (size_t i = 0; i < bh_json_size(node); i++)
			n += count_values(bh_json_at(node, i));
	} else if (bh_json_is_object(node)) {
		JsonObject *object = json_node_get_object(node);
		g_autoptr(GList) names = json_object_get_members(object);

		if (g_list_length(names) > BH_JSON_MEMBERS_MAX)
			abort();
		for (GList *l = names; l; l = l->next)
			n += count_values(
				json_object_get_member(object, l->data));
	}
	return n;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	JsonNode *root;

	if (size < 2)
		return 0;
	check_scan((const char *)data + 1, size - 1, 1 + data[0] % 64);
	root = bh_json_parse_client(data + 1, size - 1, NULL);
	if (root && count_values(root) > 2 * BH_JSON_VALUES_MAX)
		abort();
	bh_json_free(root);
	return 0;
}
