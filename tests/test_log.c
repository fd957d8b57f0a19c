/*
 * Log lines that wait for one write: their order, their number, and what is
 * reported of those that nobody took.
 */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/log.h"

#define LOG_MODULE "test"

#define FILL_LINES 300 /* more than a pipe takes */

/* The log's output, and where standard output went before. */
struct fixture {
	int read_fd;
	int saved_fd;
};

/* Lets the log write to a pipe. */
static void
set_up(struct fixture *f)
{
	int fds[2];

	fflush(stdout);
	g_assert_cmpint(pipe(fds), ==, 0);
	f->saved_fd = dup(STDOUT_FILENO);
	dup2(fds[1], STDOUT_FILENO);
	close(fds[1]);
	f->read_fd = fds[0];
	fcntl(f->read_fd, F_SETFL, O_NONBLOCK);
	log_init(LOG_LEVEL_INFO, &(struct log_identity){.process = "p"});
	log_set_deferred(true);
}

/* Gives standard output back. */
static void
tear_down(struct fixture *f)
{
	log_set_deferred(false);
	dup2(f->saved_fd, STDOUT_FILENO);
	close(f->saved_fd);
	close(f->read_fd);
}

/* Returns what the log has written since the last call. */
static char *
read_all(const struct fixture *f)
{
	GString *text = g_string_new(NULL);
	char bytes[8192];
	ssize_t length;

	while ((length = read(f->read_fd, bytes, sizeof(bytes))) > 0)
		g_string_append_len(text, bytes, length);
	return g_string_free(text, FALSE);
}

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
	struct fixture f;
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;

	set_up(&f);
	LOG_INFO("one", "{}");
	LOG_WARN("two", "{}");
	before = read_all(&f);
	log_flush();
	after = read_all(&f);
	tear_down(&f);
	g_assert_cmpstr(before, ==, "");
	g_assert_cmpint(count(after, "\n"), ==, 2);
	g_assert_true(strstr(after, "\"one\"") < strstr(after, "\"two\""));
}

/* Guards against a line that is lost when the process dies of its cause. */
static void
test_error(void)
{
	struct fixture f;
	g_autofree char *text = NULL;

	set_up(&f);
	LOG_INFO("one", "{}");
	LOG_ERROR("two", "{}");
	text = read_all(&f);
	tear_down(&f);
	g_assert_cmpint(count(text, "\n"), ==, 2);
}

/*
 * Guards against lines that are cut where a write is full, and against drops
 * that are reported twice or not at all.
 */
static void
test_drops(void)
{
	struct fixture f;
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;
	g_autofree char *third = NULL;
	int written;
	long reported = 0;

	set_up(&f);
	for (int i = 0; i < FILL_LINES; i++)
		LOG_INFO("line", "{s:s}", "filler",
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789"
		    "0123456789012345678901234567890123456789");
	log_flush();
	first = read_all(&f);
	LOG_INFO("after", "{}");
	LOG_INFO("again", "{}");
	log_flush();
	second = read_all(&f);
	LOG_INFO("last", "{}");
	log_flush();
	third = read_all(&f);
	tear_down(&f);
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
