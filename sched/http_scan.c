/*
 * Load addressed: clients that send head fields without end, bodies over the
 * limit, or bodies that nobody reads.
 */
#include "sched/http_scan.h"

#include <glib.h>
#include <string.h>

/* Larger sizes would overflow sums. */
#define LENGTH_DIGITS_MAX     15
#define CHUNK_SIZE_DIGITS_MAX 8

void bh_http_scan_reset(bh_http_scan_t *scan)
{
	scan->part = BH_HTTP_START_LINE;
	scan->status = 0;
	scan->head = 0;
	scan->fields = 0;
	scan->body = 0;
	scan->framing = 0;
	scan->left = 0;
	scan->has_length = false;
	scan->is_chunked = false;
	scan->is_head_done = false;
	scan->expects_continue = false;
	scan->line_len = 0;
	scan->method[0] = 0;
	scan->path[0] = 0;
	scan->host[0] = 0;
}

static void refuse(bh_http_scan_t *scan, int status)
{
	scan->part = BH_HTTP_REFUSED;
	scan->status = status;
}

static void read_start_line(bh_http_scan_t *scan)
{
	char *space = strchr(scan->line, ' ');
	char *path;
	char *end;

	if (!space || space == scan->line ||
	    (size_t)(space - scan->line) >= sizeof(scan->method)) {
		refuse(scan, 400);
		return;
	}
	memcpy(scan->method, scan->line, (size_t)(space - scan->line));
	scan->method[space - scan->line] = 0;
	path = space + 1;
	/* The absolute form names a scheme and a host before the path. */
	if (*path != '/' && strstr(path, "://")) {
		path = strstr(path, "://") + 3;
		path += strcspn(path, "/ ");
	}
	end = path + strcspn(path, " ?#");
	memcpy(scan->path, path, (size_t)(end - path));
	scan->path[end - path] = 0;
	scan->part = BH_HTTP_FIELDS;
}

static const char *field_value(const char *line, const char *name)
{
	size_t len = strlen(name);

	if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	line += len + 1;
	return line + strspn(line, " \t");
}

static void read_length(bh_http_scan_t *scan, const char *text)
{
	size_t digits = strspn(text, "0123456789");
	uint64_t length;

	if (digits == 0 || text[digits + strspn(text + digits, " \t")]) {
		refuse(scan, 400);
		return;
	}
	if (digits > LENGTH_DIGITS_MAX) {
		refuse(scan, 413);
		return;
	}
	length = g_ascii_strtoull(text, NULL, 10);
	if (scan->has_length && length != scan->left) {
		refuse(scan, 400);
		return;
	}
	scan->has_length = true;
	scan->left = length;
}

static void read_encoding(bh_http_scan_t *scan, const char *text)
{
	if (g_ascii_strcasecmp(text, "chunked") == 0)
		scan->is_chunked = true;
	else if (g_ascii_strcasecmp(text, "identity") != 0)
		refuse(scan, 400);
}

/* A space before the colon, or a folded line, is read in different ways by
 * different servers. */
static bool is_field_ambiguous(const char *line)
{
	size_t name = strcspn(line, ":");

	return g_ascii_isspace(*line) ||
	       (name > 0 && g_ascii_isspace(line[name - 1]));
}

static void read_field(bh_http_scan_t *scan)
{
	const char *value;

	if (is_field_ambiguous(scan->line)) {
		refuse(scan, 400);
		return;
	}

	if ((value = field_value(scan->line, "Content-Length")))
		read_length(scan, value);
	else if ((value = field_value(scan->line, "Transfer-Encoding")))
		read_encoding(scan, value);
	else if ((value = field_value(scan->line, "Expect")))
		scan->expects_continue =
			g_ascii_strncasecmp(value, "100-continue", 12) == 0;
	else if (!scan->host[0] && (value = field_value(scan->line, "Host")))
		g_strlcpy(scan->host, value, sizeof(scan->host));
}

bool bh_http_scan_has_body(const bh_http_scan_t *scan)
{
	return scan->is_chunked || scan->left > 0;
}

static void end_head(bh_http_scan_t *scan, const bh_http_limits_t *limits)
{
	scan->is_head_done = true;
	if (scan->is_chunked && scan->has_length) {
		/* Which of them holds is where servers differ. */
		refuse(scan, 400);
	} else if (scan->is_chunked) {
		scan->part = BH_HTTP_CHUNK_SIZE;
	} else if (scan->left > limits->body_bytes) {
		refuse(scan, 413);
	} else {
		scan->part = scan->left ? BH_HTTP_BODY : BH_HTTP_DONE;
	}
}

static void read_chunk_size(bh_http_scan_t *scan,
			    const bh_http_limits_t *limits)
{
	size_t digits = strspn(scan->line, "0123456789abcdefABCDEF");
	const char *rest = scan->line + digits;

	rest += strspn(rest, " \t");
	if (digits == 0 || (*rest && *rest != ';')) {
		refuse(scan, 400);
		return;
	}
	if (digits > CHUNK_SIZE_DIGITS_MAX) {
		refuse(scan, 413);
		return;
	}
	scan->left = g_ascii_strtoull(scan->line, NULL, 16);
	if (scan->body + scan->left > limits->body_bytes)
		refuse(scan, 413);
	else
		scan->part = scan->left ? BH_HTTP_CHUNK_DATA : BH_HTTP_TRAILER;
}

static void count_field(bh_http_scan_t *scan, const bh_http_limits_t *limits)
{
	if (++scan->fields > limits->fields)
		refuse(scan, 431);
}

static void end_line(bh_http_scan_t *scan, const bh_http_limits_t *limits)
{
	bool is_empty;

	if (scan->line_len && scan->line[scan->line_len - 1] == '\r')
		scan->line_len--;
	scan->line[scan->line_len] = 0;
	is_empty = scan->line_len == 0;
	scan->line_len = 0;
	switch (scan->part) {
	case BH_HTTP_START_LINE:
		read_start_line(scan);
		break;
	case BH_HTTP_FIELDS:
		if (is_empty) {
			end_head(scan, limits);
			break;
		}
		count_field(scan, limits);
		if (scan->part == BH_HTTP_FIELDS)
			read_field(scan);
		break;
	case BH_HTTP_CHUNK_SIZE:
		read_chunk_size(scan, limits);
		break;
	case BH_HTTP_CHUNK_END:
		if (is_empty)
			scan->part = BH_HTTP_CHUNK_SIZE;
		else
			refuse(scan, 400);
		break;
	default:
		if (is_empty)
			scan->part = BH_HTTP_DONE;
		else
			count_field(scan, limits);
		break;
	}
}

static bool is_over_limit(bh_http_scan_t *scan, const bh_http_limits_t *limits,
			  size_t n)
{
	if (scan->part <= BH_HTTP_FIELDS) {
		scan->head += n;
		if (scan->head > limits->head_bytes)
			refuse(scan, 431);
	} else {
		scan->framing += n;
		if (scan->framing > limits->framing_bytes)
			refuse(scan, 413);
	}
	return scan->part == BH_HTTP_REFUSED;
}

/* Return: bytes scanned, up to the end of the line. */
static size_t scan_line(bh_http_scan_t *scan, const bh_http_limits_t *limits,
			const char *data, size_t len)
{
	const char *end = memchr(data, '\n', len);
	size_t n = end ? (size_t)(end - data) : len;
	size_t room = sizeof(scan->line) - 1 - scan->line_len;

	if (is_over_limit(scan, limits, n + (end != NULL)))
		return n;
	/* What follows it would be invisible to all comparisons of the line. */
	if (memchr(data, 0, n)) {
		refuse(scan, 400);
		return n;
	}
	memcpy(scan->line + scan->line_len, data, MIN(n, room));
	scan->line_len += (uint16_t)MIN(n, room);
	if (!end)
		return n;
	end_line(scan, limits);
	return n + 1;
}

static size_t scan_data(bh_http_scan_t *scan, size_t len)
{
	size_t n = (size_t)MIN(scan->left, len);

	scan->left -= n;
	scan->body += n;
	if (scan->left == 0)
		scan->part = scan->part == BH_HTTP_BODY ? BH_HTTP_DONE
							: BH_HTTP_CHUNK_END;
	return n;
}

size_t bh_http_scan_feed(bh_http_scan_t *scan, const bh_http_limits_t *limits,
			 const char *data, size_t len)
{
	bool was_head_done = scan->is_head_done;
	size_t done = 0;

	while (done < len && scan->part < BH_HTTP_DONE &&
	       scan->is_head_done == was_head_done) {
		if (scan->part == BH_HTTP_BODY ||
		    scan->part == BH_HTTP_CHUNK_DATA)
			done += scan_data(scan, len - done);
		else
			done += scan_line(scan, limits, data + done,
					  len - done);
	}
	return done;
}
