/*
 * Framing and limits of HTTP requests, in any pieces.
 */
#include "sched/http_scan.h"
#include "tests/test.h"

#include <glib.h>

static const bh_http_limits_t limits = {
	.head_bytes = 1024,
	.fields = 8,
	.body_bytes = 100,
	.framing_bytes = 64,
};

/* Return: bytes up to the end of the request or its refusal. */
static size_t feed_bytes(bh_http_scan_t *scan, const char *text, size_t len,
			 size_t piece)
{
	size_t done = 0;

	bh_http_scan_reset(scan);
	while (done < len && scan->part < BH_HTTP_DONE)
		done += bh_http_scan_feed(scan, &limits, text + done,
					  MIN(piece, len - done));
	return done;
}

static size_t feed(bh_http_scan_t *scan, const char *text, size_t piece)
{
	return feed_bytes(scan, text, strlen(text), piece);
}

/* A request ends at the same byte however it is split; libevent got part of the
 * next one otherwise. */
static void test_end_is_found_in_any_pieces(void **state)
{
	static const char *const texts[] = {
		"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.0\n\n",
		"POST /a HTTP/1.1\r\nhost:h\r\ncontent-length: 3 \r\n\r\nabc",
		"POST http://x/a HTTP/1.1\r\nHost: h\r\nContent-Length: "
		"0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n",
	};
	bh_http_scan_t scan;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *text = g_strconcat(texts[i], "GET /", NULL);

		for (size_t piece = 1; piece < strlen(text); piece++) {
			assert_int_equal(feed(&scan, text, piece),
					 strlen(texts[i]));
			assert_int_equal(scan.part, BH_HTTP_DONE);
			assert_string_equal(scan.path, "/a");
		}
	}
}

/* Each of these held memory until a timeout, or was read to its end. */
static void test_limits_refuse_at_once(void **state)
{
	g_autofree char *head = g_strnfill(1100, 'a');
	g_autofree char *path = g_strconcat("GET /", head, NULL);
	const struct {
		const char *text;
		int status;
	} cases[] = {
		{path, 431},
		{"GET / HTTP/1.1\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\n"
		 "a:\r\na:\r\n",
		 431},
		{"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
		{"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n",
		 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n",
		 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n"
		 "1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n1\r\na\r\n"
		 "1\r\na\r\n",
		 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "0\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\n",
		 431},
	};
	bh_http_scan_t scan;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t piece = 1; piece < 50; piece++) {
			feed(&scan, cases[i].text, piece);
			assert_int_equal(scan.part, BH_HTTP_REFUSED);
			assert_int_equal(scan.status, cases[i].status);
		}
	}
}

/* What the guard and libevent could frame in different ways must not reach it.
 */
static void test_ambiguous_framing_is_refused(void **state)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		"Content-Length: 2\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1x\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 5\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\n 5\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"1\r\nab",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"\r\n",
	};
	bh_http_scan_t scan;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *text = g_strconcat(texts[i], "\r\n\r\n", NULL);

		feed(&scan, text, strlen(text));
		assert_int_equal(scan.part, BH_HTTP_REFUSED);
		assert_int_equal(scan.status, 400);
	}
}

/* What follows a NUL in a line was invisible to the scan, while another parser
 * may read it. */
static void test_nul_is_refused(void **state)
{
	static const char head[] = "POST /a\0b HTTP/1.1\r\nHost: h\r\n\r\n";
	static const char field[] =
		"POST /a HTTP/1.1\r\nA: b\0c\r\nContent-Length: 3\r\n\r\n";
	static const char size[] =
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"1\0;\r\na\r\n";
	static const char trailer[] =
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\nA: b\0c\r\n\r\n";
	static const char body[] =
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\na\0b";
	static const struct {
		const char *text;
		size_t len;
		bh_http_part_t part;
	} cases[] = {
		{head, sizeof(head) - 1, BH_HTTP_REFUSED},
		{field, sizeof(field) - 1, BH_HTTP_REFUSED},
		{size, sizeof(size) - 1, BH_HTTP_REFUSED},
		{trailer, sizeof(trailer) - 1, BH_HTTP_REFUSED},
		{body, sizeof(body) - 1, BH_HTTP_DONE},
	};
	bh_http_scan_t scan;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t piece = 1; piece <= cases[i].len; piece++) {
			feed_bytes(&scan, cases[i].text, cases[i].len, piece);
			assert_int_equal(scan.part, cases[i].part);
			if (scan.part == BH_HTTP_REFUSED)
				assert_int_equal(scan.status, 400);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_end_is_found_in_any_pieces),
		cmocka_unit_test(test_limits_refuse_at_once),
		cmocka_unit_test(test_ambiguous_framing_is_refused),
		cmocka_unit_test(test_nul_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
