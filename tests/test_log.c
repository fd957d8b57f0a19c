/*
 * Log lines that wait for one write: their order, their number, and what is
 * reported of those that nobody took.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/log.h"
#include "log_capture.h"

#define LOG_MODULE "test"

#define FILL_LINES 300 /* more than a pipe takes */

/* Returns how often a text occurs. */
static int
count(const char *text, const char *part)
{
	int found = 0;

	for (text = strstr(text, part); text != NULL;
	     text = strstr(text + 1, part))
		found++;
	return found;
}

/* Lines wait for the flush and keep their order. */
static void
test_order(void)
{
	struct log_capture f;
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;

	log_capture_start(&f);
	log_set_deferred(true);
	LOG_INFO("one", "{}");
	LOG_WARN("two", "{}");
	before = log_capture_read(&f);
	log_flush();
	after = log_capture_read(&f);
	log_set_deferred(false);
	log_capture_stop(&f);
	g_assert_cmpstr(before, ==, "");
	g_assert_cmpint(count(after, "\n"), ==, 2);
	g_assert_true(strstr(after, "\"one\"") < strstr(after, "\"two\""));
}

/* Guards against a line that is lost when the process dies of its cause. */
static void
test_error(void)
{
	struct log_capture f;
	g_autofree char *text = NULL;

	log_capture_start(&f);
	log_set_deferred(true);
	LOG_INFO("one", "{}");
	LOG_ERROR("two", "{}");
	text = log_capture_read(&f);
	log_set_deferred(false);
	log_capture_stop(&f);
	g_assert_cmpint(count(text, "\n"), ==, 2);
}

/*
 * Guards against lines that are cut where a write is full, and against drops
 * that are reported twice or not at all.
 */
static void
test_drops(void)
{
	struct log_capture f;
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;
	g_autofree char *third = NULL;
	int written;
	long reported = 0;

	log_capture_start(&f);
	log_set_deferred(true);
	for (int i = 0; i < FILL_LINES; i++)
		LOG_INFO("line", "{s:s}", "filler",
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789");
	log_flush();
	first = log_capture_read(&f);
	LOG_INFO("after", "{}");
	LOG_INFO("again", "{}");
	log_flush();
	second = log_capture_read(&f);
	LOG_INFO("last", "{}");
	log_flush();
	third = log_capture_read(&f);
	log_set_deferred(false);
	log_capture_stop(&f);
	written = count(first, "\n");
	g_assert_true(g_str_has_suffix(first, "}\n"));
	g_assert_cmpint(written, <, FILL_LINES);
	g_assert_cmpint(count(second, "lines_dropped"), ==, 1);
	sscanf(
	    strstr(second, "lines_dropped"), "lines_dropped\":%ld", &reported);
	g_assert_cmpint(reported, ==, FILL_LINES - written);
	g_assert_cmpint(count(third, "lines_dropped"), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/log/lines wait for a flush in their order", test_order);
	g_test_add_func("/log/an error is written at once", test_error);
	g_test_add_func(
	    "/log/lines that nobody takes are counted once", test_drops);
	return g_test_run();
}
