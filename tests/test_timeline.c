/*
 * A request's timeline: only the log lines of that request, sorted by time,
 * whichever file they are from.
 */
#include <string.h>

#include <glib.h>

#include "operator/timeline.h"

#define LINE(time, process, rest)                                       \
	"{\"time\":\"2026-12-04T00:00:0" time "Z\",\"level\":\"info\"," \
	"\"process\":\"" process "\",\"role\":\"entry\","               \
	"\"module\":\"m\"," rest "}\n"

static const struct line_case {
	const char *line;
	bool matches;
} line_cases[] = {
    {LINE("2.000500", "s1", "\"text\":\"started\",\"request\":\"abc\""), true},
    {LINE("1.000000", "e1",
	 "\"text\":\"upstream "
	 "chosen\",\"request\":\"abc\",\"reason\":\"\",\"upstream\":\"u1\","
	 "\"candidates\":[{\"upstream\":\"u1\",\"wait_ms\":3}]"),
	true},
    {LINE("1.500000", "e1", "\"text\":\"other\",\"request\":\"abcd\""), false},
    {LINE("1.500000", "e1", "\"text\":\"abc\""), false},
    {"{\"time\":\"2026-12-04T00:00:01Z\",\"request\":\"abc\",\"te", false},
    {"{\"time\":\"yesterday\",\"request\":\"abc\"}", false},
    {"not a JSON line\n", false},
    {"17.8 e1 " LINE(
	 "2.500000", "e1", "\"text\":\"ended\",\"request\":\"abc\""),
	true},
    {"abc without a brace\n", false},
};

/* Lines are selected, sorted and formatted. */
static void
test_timeline(void)
{
	struct timeline *timeline = timeline_new("request", "abc");
	g_autoptr(GString) text = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(line_cases); i++)
		g_assert_cmpint(timeline_add_line(timeline, line_cases[i].line),
		    ==, line_cases[i].matches);
	g_assert_cmpuint(timeline_line_count(timeline), ==, 3);
	g_assert_cmpuint(timeline_unreadable_count(timeline), ==, 3);
	timeline_write(timeline, text);
	g_assert_cmpstr(text->str, ==,
	    "request abc, from 2026-12-04 00:00:01.000000 UTC\n"
	    "    +0.000 ms  entry e1: upstream chosen, upstream u1\n"
	    "              candidates 1: upstream u1 wait_ms 3\n"
	    " +1000.500 ms  entry s1: started\n"
	    " +1500.000 ms  entry e1: ended\n");
	timeline_free(timeline);
}

/* A timeline without lines writes nothing. */
static void
test_empty(void)
{
	struct timeline *timeline = timeline_new("upstream", "u9");
	g_autoptr(GString) text = g_string_new(NULL);

	timeline_write(timeline, text);
	g_assert_cmpstr(text->str, ==, "");
	timeline_free(timeline);
	timeline_free(NULL);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/timeline/lines are selected, sorted and formatted",
	    test_timeline);
	g_test_add_func(
	    "/timeline/a timeline without lines writes nothing", test_empty);
	return g_test_run();
}
