/*
 * The summary of a fleet's logs: which lines are counted, how they are grouped
 * and written, and that the number of groups is bounded.
 */
#include <string.h>

#include <glib.h>

#include "operator/summary.h"

#define LINE(time, rest) \
	"{\"time\":\"2026-12-04T00:00:0" time ".000000Z\",\"text\":\"" rest "}"
#define ENDED(time, request, route, how, sends)              \
	LINE(time,                                           \
	    "request ended\",\"request\":\"" request "\",\"" \
	    "how\":\"" how "\",\"route\":" route ",\"sends\":" sends)

#define UNKNOWN(request, watching, from, ms)                               \
	"unknown route or key\",\"request\":\"" request                    \
	"\",\"unknown\":\"route\",\"current\":true,\"watching\":" watching \
	",\"heard_from\":\"" from "\",\"heard_ms\":" ms

#define CASE_LINES_MAX 6

static const struct summary_case {
	const char *name;
	const char *lines[CASE_LINES_MAX];
	size_t unreadable_count;
	const char *text;
} cases[] = {
    {"no lines give a summary without kinds", {NULL}, 0,
	"0 lines, 0 could not be read, 0 dropped by the processes\n"},
    {"ended requests are grouped by route and end, the largest first",
	{ENDED("1", "a", "\"r1\"", "lost", "2"),
	    ENDED("2", "b", "\"r1\"", "answered", "1"),
	    ENDED("3", "c", "\"r2\"", "answered", "1"),
	    ENDED("4", "d", "\"r1\"", "answered", "3")},
	0,
	"4 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nrequest ended: 4\n"
	"         2  route r1, how answered, sends 4, first request b\n"
	"         1  route r1, how lost, sends 2, first request a\n"
	"         1  route r2, how answered, sends 1, first request c\n"},
    {"the first request is the earliest, whichever line was read first",
	{ENDED("3", "c", "\"r\"", "answered", "1"),
	    ENDED("1", "a", "\"r\"", "answered", "1"),
	    ENDED("2", "b", "\"r\"", "answered", "1")},
	0,
	"3 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nrequest ended: 3\n"
	"         3  route r, how answered, sends 3, first request a\n"},
    {"a member that is null, empty or missing is written as a dash",
	{ENDED("1", "", "null", "", "0"),
	    LINE("2", "request ended\",\"request\":null")},
	0,
	"2 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nrequest ended: 2\n"
	"         2  route -, how -, sends 0\n"},
    {"each kind is grouped by its own members",
	{LINE("1",
	     "request refused\",\"request\":\"a\",\"code\":\"not_run\","
	     "\"why\":\"no time\",\"status\":503"),
	    LINE("1",
		"send ended without answer\",\"request\":\"b\","
		"\"why\":\"no connection\",\"sends\":1"),
	    LINE("1", "prompt part refused\",\"part\":\"17\""),
	    LINE("1",
		"upstream avoided\",\"upstream\":\"i-1\","
		"\"failures\":3"),
	    LINE("1",
		"connection to upstream broken\",\"request\":\"c\","
		"\"upstream\":\"i-2\",\"begun\":true"),
	    LINE("1", "request sent\",\"request\":\"d\"")},
	0,
	"6 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nrequest refused: 1\n"
	"         1  code not_run, why no time, first request a\n"
	"\nsend ended without answer: 1\n"
	"         1  why no connection, first request b\n"
	"\nprompt part refused: 1\n"
	"         1  part 17\n"
	"\nupstream avoided: 1\n"
	"         1  upstream i-1\n"
	"\nconnection to upstream broken: 1\n"
	"         1  upstream i-2, begun true, first request c\n"},
    {"errors for which callers are to blame are grouped by who made them",
	{LINE("1",
	     "request ended\",\"request\":\"a\",\"route\":\"r\",\"status\":404,"
	     "\"status_from\":\"upstream\""),
	    LINE("2",
		"request ended\",\"request\":\"b\",\"route\":null,"
		"\"status\":401,\"status_from\":\"gateway\""),
	    LINE("3", "request ended\",\"route\":\"r\",\"status\":500"),
	    LINE("4", "request rejected by the HTTP library\",\"status\":431"),
	    LINE("5",
		"request rejected before it was read\",\"request\":\"c\","
		"\"code\":\"body_too_long\",\"status\":413"),
	    LINE("6",
		"response not believed\",\"request\":\"d\",\"upstream\":"
		"\"u\",\"status\":404,\"why\":\"no seal\"")},
	0,
	"6 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nrequest ended: 3\n"
	"         2  route r, how -, sends 0, first request a\n"
	"         1  route -, how -, sends 0, first request b\n"
	"\nrequest ended with a status from 300 to 499: 2\n"
	"         1  route -, status 401, status_from gateway, first request "
	"b\n"
	"         1  route r, status 404, status_from upstream, first request "
	"a\n"
	"\nrequest rejected before it was read: 1\n"
	"         1  code body_too_long, first request c\n"
	"\nrequest rejected by the HTTP library: 1\n"
	"         1  status 431\n"
	"\nresponse not believed: 1\n"
	"         1  upstream u, why no seal, first request d\n"},
    {"unknown routes and keys are grouped by how current the gateway was",
	{LINE("1", UNKNOWN("a", "true", "store", "499")),
	    LINE("2", UNKNOWN("b", "true", "store", "500")),
	    LINE("3", UNKNOWN("c", "true", "store", "1999")),
	    LINE("4", UNKNOWN("d", "false", "peer", "2000")),
	    LINE("5", UNKNOWN("e", "false", "peer", "10000")),
	    LINE("6", UNKNOWN("f", "false", "none", "-1"))},
	0,
	"6 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nunknown route or key: 6\n"
	"         2  unknown route, current true, watching true, heard_from "
	"store, heard_ms below 2 s, first request b\n"
	"         1  unknown route, current true, watching false, heard_from "
	"none, heard_ms never, first request f\n"
	"         1  unknown route, current true, watching false, heard_from "
	"peer, heard_ms 10 s or more, first request e\n"
	"         1  unknown route, current true, watching false, heard_from "
	"peer, heard_ms below 10 s, first request d\n"
	"         1  unknown route, current true, watching true, heard_from "
	"store, heard_ms below 0.5 s, first request a\n"},
    {"beliefs about versions are counted by their cause",
	{LINE("1",
	     "store call without answer\",\"kind\":\"config\","
	     "\"reused_connection\":true,\"why\":\"timed out\""),
	    LINE("2", "configuration change ignored\",\"why\":\"w\""),
	    LINE("3",
		"configuration change dropped as not newer\","
		"\"form\":\"items\",\"revision\":7"),
	    LINE("4",
		"document version not requested any more\","
		"\"name\":\"routing_items\",\"version\":7")},
	0,
	"4 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nstore call without answer: 1\n"
	"         1  kind config, reused_connection true, why timed out\n"
	"\nconfiguration change ignored: 1\n"
	"         1  why w\n"
	"\nconfiguration change dropped as not newer: 1\n"
	"         1  form items\n"
	"\ndocument version not requested any more: 1\n"
	"         1  name routing_items\n"},
    {"what stands before the first brace is passed over",
	{"17.8 gateway-1 " LINE("1", "upstream avoided\",\"upstream\":\"u\"")},
	0,
	"1 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nupstream avoided: 1\n"
	"         1  upstream u\n"},
    {"lines that are no log lines are counted as unreadable",
	{"", "not JSON", "{\"text\":\"request ended\"}",
	    "{\"time\":\"2026-12-04T00:00:01Z\",\"text\":\"request en",
	    "{\"time\":5,\"text\":\"request ended\"}",
	    "{\"time\":\"2026-12-04T00:00:01Z\",\"text\":[]}"},
	6, "6 lines, 6 could not be read, 0 dropped by the processes\n"},
    {"lines that the processes dropped are added up, negative ones ignored",
	{LINE("1", "x\",\"lines_dropped\":3"),
	    LINE("2", "request sent\",\"lines_dropped\":4"),
	    LINE("3", "x\",\"lines_dropped\":-9")},
	0, "3 lines, 0 could not be read, 7 dropped by the processes\n"},
    {"a control character in a cause or an id is written as a space",
	{LINE("1",
	    "send ended without answer\",\"request\":\"q\\nr\","
	    "\"why\":\"a\\nb\\u001bc\"")},
	0,
	"1 lines, 0 could not be read, 0 dropped by the processes\n"
	"\nsend ended without answer: 1\n"
	"         1  why a b c, first request q r\n"},
};

/* Returns a summary of the lines of a case. */
static struct summary *
summarise(const struct summary_case *c)
{
	struct summary *summary = summary_new();

	for (size_t i = 0; i < CASE_LINES_MAX && c->lines[i] != NULL; i++)
		summary_add_line(summary, c->lines[i]);
	return summary;
}

/* Runs one case of the table. */
static void
test_case(const void *data)
{
	const struct summary_case *c = data;
	struct summary *summary = summarise(c);
	g_autoptr(GString) text = g_string_new(NULL);

	summary_write(summary, text);
	g_assert_cmpstr(text->str, ==, c->text);
	g_assert_cmpuint(
	    summary_unreadable_count(summary), ==, c->unreadable_count);
	summary_free(summary);
	summary_free(NULL);
}

/* Adds a line of an avoided upstream. */
static void
add_avoided(struct summary *summary, unsigned upstream)
{
	g_autofree char *line = g_strdup_printf(
	    LINE("1", "upstream avoided\",\"upstream\":\"u%04u\""), upstream);

	summary_add_line(summary, line);
}

/*
 * Past the bound new causes count as other, known ones still as themselves, and
 * other kinds have a bound of their own.
 */
static void
test_bound(void)
{
	struct summary *summary = summary_new();
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) expected = g_string_new(NULL);

	for (unsigned i = 0; i < SUMMARY_GROUPS_MAX; i++)
		add_avoided(summary, i);
	for (unsigned i = 0; i < 3; i++)
		add_avoided(summary, SUMMARY_GROUPS_MAX);
	add_avoided(summary, 7);
	summary_add_line(
	    summary, LINE("1", "prompt part refused\",\"part\":\"1\""));
	summary_write(summary, text);
	g_string_append_printf(expected,
	    "%d lines, 0 could not be read, 0 dropped by the processes\n"
	    "\nprompt part refused: 1\n"
	    "         1  part 1\n"
	    "\nupstream avoided: %d\n"
	    "         2  upstream u0007\n",
	    SUMMARY_GROUPS_MAX + 5, SUMMARY_GROUPS_MAX + 4);
	for (unsigned i = 0; i < SUMMARY_WRITTEN_MAX; i++) {
		if (i != 7)
			g_string_append_printf(
			    expected, "         1  upstream u%04u\n", i);
	}
	g_string_append_printf(expected, "%10d  other\n",
	    SUMMARY_GROUPS_MAX + 4 - SUMMARY_WRITTEN_MAX - 1);
	g_assert_cmpstr(text->str, ==, expected->str);
	summary_free(summary);
}

/* A long cause is cut between two characters. */
static void
test_long_cause(void)
{
	struct summary *summary = summary_new();
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GString) why = g_string_new("x");
	g_autofree char *line = NULL;

	for (int i = 0; i < 10000; i++)
		g_string_append(why, "\xc3\xa9");
	line = g_strdup_printf(
	    LINE("1", "send ended without answer\",\"why\":\"%s\""), why->str);
	summary_add_line(summary, line);
	summary_write(summary, text);
	g_assert_true(g_utf8_validate(text->str, -1, NULL));
	g_assert_true(g_str_has_suffix(text->str, "\xc3\xa9...\n"));
	g_assert_cmpuint(text->len, <, 300);
	summary_free(summary);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/summary/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_case);
	}
	g_test_add_func(
	    "/summary/causes past the bound count as other", test_bound);
	g_test_add_func("/summary/a long cause is cut between two characters",
	    test_long_cause);
	return g_test_run();
}
