/*
 * Guards against logs from which one can't tell why a route or a key was
 * unknown to a gateway, and against keys and queries in them.
 */
#include <string.h>

#include <sodium.h>

#include "base/metrics.h"
#include "cases.h"
#include "gateway_fixture.h"
#include "log_capture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define UNKNOWN_KEY "k9-unknown"
#define KEY_9	    "Authorization: Bearer " UNKNOWN_KEY "\r\n"
#define LONG_16	    "0123456789abcdef"
#define LONG_64	    LONG_16 LONG_16 LONG_16 LONG_16
#define LONG_128    LONG_64 LONG_64
/* A configuration of which nothing can be used. */
#define UNUSABLE_CONFIG "{\"Version\":9,\"Routes\":7}"

static const struct line_case {
	const char *name;
	const char *request;
	enum {
		CURRENT,
		OUTDATED, /* a newer configuration could not be used */
		UNHEARD, /* the store was not heard for too long */
	} state;
	int status;
	const char *unknown; /* NULL for no line */
	const char *host;
	const char *path;
	bool has_key;
	const char *counter; /* that rises */
} cases[] = {
    {"a path without a route", GET("/none/x", "h", KEY_LINE ID_LINE), CURRENT,
	404, "route", "h", "/none/x", true, "no_route"},
    {"a host without a route", GET("/once/x", "other", ID_LINE), CURRENT, 404,
	"route", "other", "/once/x", false, "no_route"},
    {"a query is left out", GET("/none/x?key=secret", "h", ID_LINE), CURRENT,
	404, "route", "h", "/none/x", false, "no_route"},
    {"a long path is cut", GET("/" LONG_128, "h", ID_LINE), CURRENT, 404,
	"route", "h", "/" LONG_64 LONG_16 LONG_16 LONG_16 "0123456789abcde",
	false, "no_route"},
    {"a long host is cut", GET("/once/x", LONG_128 LONG_16, ID_LINE), CURRENT,
	404, "route", LONG_128, "/once/x", false, "no_route"},
    {"a host that is no text is written as far as it is",
	GET("/once/x", "a\xff", ID_LINE), CURRENT, 404, "route", "a\uFFFD",
	"/once/x", false, "no_route"},
    {"an unknown key", GET("/once/x", "h", KEY_9 ID_LINE), CURRENT, 401, "key",
	"h", "/once/x", true, "unknown_key"},
    {"a missing key", GET("/once/x", "h", ID_LINE), CURRENT, 401, "key", "h",
	"/once/x", false, "unknown_key"},
    {"an unknown route of an outdated gateway",
	GET("/none/x", "h", KEY_LINE ID_LINE), OUTDATED, 503, "route", "h",
	"/none/x", true, "not_current"},
    {"an unknown key of an outdated gateway",
	GET("/once/x", "h", KEY_9 ID_LINE), OUTDATED, 503, "key", "h",
	"/once/x", true, "not_current"},
    {"an unknown route while the store is not heard",
	GET("/none/x", "h", KEY_LINE ID_LINE), UNHEARD, 503, "route", "h",
	"/none/x", true, "not_current"},
    {"an unknown key while the store is not heard",
	GET("/once/x", "h", KEY_9 ID_LINE), UNHEARD, 503, "key", "h", "/once/x",
	true, "not_current"},
    {"a known route and key while the store is not heard",
	GET("/once/x", "h", KEY_LINE ID_LINE), UNHEARD, 200, NULL, NULL, NULL,
	true, NULL},
    {"a known route and key have no line",
	GET("/once/x", "h", KEY_LINE ID_LINE), CURRENT, 200, NULL, NULL, NULL,
	true, NULL},
};

/* Returns how many requests of all codes, or of one, were counted. */
static int64_t
count(const char *code)
{
	static const char *const codes[] = {
	    "no_route", "unknown_key", "not_current"};
	g_autoptr(GString) text = g_string_new(NULL);
	int64_t sum = 0;

	metrics_write(text);
	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		g_autofree char *name = g_strdup_printf(
		    "\nheatherturn_gateway_unknown{code=\"%s\"} ", codes[i]);
		const char *line = strstr(text->str, name);

		if (line != NULL &&
		    (code == NULL || strcmp(code, codes[i]) == 0))
			sum += g_ascii_strtoll(line + strlen(name), NULL, 10);
	}
	return sum;
}

/* Returns a text member of a line. */
static const char *
text_of(const json_t *line, const char *member)
{
	return json_string_value(json_object_get(line, member));
}

/* The line tells what was looked up and that the store was heard, no more. */
static void
test_line(gconstpointer data)
{
	const struct line_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response response = {.bytes = OK TEXT "\r\nwhole"};
	struct fixture f = {0};
	struct log_capture capture;
	struct raw_server *server = raw_gateway_set_up(&f, &response, 1);
	int64_t all = count(NULL);
	int64_t own = count(c->counter);
	g_autofree char *log = NULL;
	json_t *line;

	log_capture_start(&capture);
	if (c->state == UNHEARD)
		routing_state_set_max_age(
		    f.exchange_context.routing_state, FRESHNESS_NEVER);
	if (c->state == OUTDATED) {
		fake_platform_change_config(f.fake_platform, UNUSABLE_CONFIG);
		log_capture_wait(
		    &capture, f.loop, "configuration change ignored");
	}
	g_assert_cmpint(raw_caller_call(&f, c->request), ==, c->status);
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	g_assert_null(strstr(log, UNKNOWN_KEY));
	g_assert_null(strstr(log, "secret"));
	line = log_capture_find(log, "unknown route or key");
	g_assert_cmpint(line != NULL, ==, c->unknown != NULL);
	g_assert_cmpint(count(NULL) - all, ==, c->unknown != NULL);
	if (line != NULL) {
		g_assert_cmpint(count(c->counter) - own, ==, 1);
		g_assert_cmpstr(text_of(line, "unknown"), ==, c->unknown);
		g_assert_cmpstr(text_of(line, "host"), ==, c->host);
		g_assert_cmpstr(text_of(line, "path"), ==, c->path);
		g_assert_cmpstr(text_of(line, "request"), ==, "r1");
		g_assert_cmpstr(text_of(line, "heard_from"), ==, "store");
		g_assert_cmpint(json_is_true(json_object_get(line, "has_key")),
		    ==, c->has_key);
		g_assert_cmpint(json_is_true(json_object_get(line, "current")),
		    ==, c->state == CURRENT);
		g_assert_true(json_is_true(json_object_get(line, "watching")));
		g_assert_cmpint(
		    json_integer_value(json_object_get(line, "heard_ms")), >=,
		    0);
		g_assert_cmpint(
		    json_integer_value(json_object_get(line, "peer_ms")), ==,
		    FRESHNESS_NEVER);
	}
	json_decref(line);
	raw_server_free(server);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/unknown_lines", test_line);
	return g_test_run();
}
