/*
 * Guards against proper requests that are answered with a status below 500 as
 * if they were wrong, and against logs that do not tell who answered them so.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "log_capture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define SENDS_MAX      3
#define NOT_FOUND      "HTTP/1.1 404 Not Found\r\n"
#define SEALED_MISSING NOT_FOUND TEXT "\r\nfirst"
#define WHOLE_RESPONSE OK TEXT "\r\nwhole"
/* A configuration of which nothing can be used. */
#define UNUSABLE_CONFIG "{\"Version\":9,\"Routes\":7}"

static const struct origin_case {
	const char *name;
	const char *request;
	const char *response; /* of each upstream */
	int status;
	const char *text; /* of the line that has the status */
	const char *origin;
	int version; /* of the configuration; 0 for none */
} origin_cases[] = {
    {"a success is the upstream's", GET("/once/x", "h", KEY_LINE ID_LINE),
	WHOLE_RESPONSE, 200, "request ended", "upstream", 3},
    {"an error with a seal is the upstream's",
	GET("/once/x", "h", KEY_LINE ID_LINE), SEALED_MISSING, 404,
	"request ended", "upstream", 3},
    {"a path without a route is rejected by the gateway",
	GET("/none/x", "h", KEY_LINE ID_LINE), NULL, 404, "request ended",
	"gateway", 3},
    {"an unknown key is rejected by the gateway",
	GET("/once/x", "h", ID_LINE "Authorization: Bearer k9\r\n"), NULL, 401,
	"request refused", NULL, 3},
    {"a body over the limit is rejected by the gateway",
	"POST /once/x HTTP/1.1\r\nHost: h\r\n" ID_LINE KEY_LINE
	"Connection: close\r\nContent-Length: 1000000\r\n\r\n",
	NULL, 413, "request rejected before it was read", "gateway", 3},
    {"a request without a host is rejected by the gateway",
	"GET /once/x HTTP/1.1\r\nConnection: close\r\n" ID_LINE "\r\n", NULL,
	400, "request refused", NULL, 3},
    {"a header without a colon is rejected by the HTTP library",
	"GET /once/x HTTP/1.1\r\nHost: h\r\nhost\r\n\r\n", NULL, 400,
	"request rejected by the HTTP library", "HTTP library", 0},
};

/* The log tells who made a status, by which configuration. */
static void
test_origin(gconstpointer data)
{
	const struct origin_case *c = &origin_cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = c->response}};
	struct fixture f = {0};
	struct log_capture capture;
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);
	g_autofree char *log = NULL;
	json_t *line;

	log_capture_start(&capture);
	g_assert_cmpint(raw_caller_call(&f, c->request), ==, c->status);
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	line = log_capture_find(log, c->text);
	g_assert_nonnull(line);
	g_assert_cmpint(
	    json_integer_value(json_object_get(line, "status")), ==, c->status);
	g_assert_cmpint(
	    json_integer_value(json_object_get(line, "routes_version")), ==,
	    c->version);
	g_assert_cmpstr(json_string_value(json_object_get(line, "status_from")),
	    ==, c->origin);
	json_decref(line);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Statuses that end a request for its caller, who does not send it again. */
static const int final_statuses[] = {300, 301, 302, 303, 304, 305, 307, 308,
    400, 401, 402, 403, 404, 405, 406, 407, 409, 410, 411, 412, 413, 414, 415,
    416, 417, 422, 423, 424, 425, 426, 428, 431, 451};

static const struct unsealed_case {
	const char *name;
	const char *path;
	int status;
	size_t sends;
} unsealed_cases[] = {
    {"a request that may be repeated is sent again", "/again/x", 200, 2},
    {"a stream that may be resumed is sent again", "/stream/x", 200, 2},
    {"a request that may run once has an unknown outcome", "/once/x", 502, 1},
    {"a stream that may run once has an unknown outcome", "/fragile/x", 502, 1},
    {"without another attempt the outcome is unknown", "/single/x", 502, 1},
};

/* No status without a seal is taken for the upstream's. */
static void
test_unsealed(gconstpointer data)
{
	const struct unsealed_case *c = &unsealed_cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *request = g_strdup_printf(
	    GET("%s", "h", KEY_LINE ID_LINE), c->path);

	for (size_t i = 0; i < G_N_ELEMENTS(final_statuses); i++) {
		g_autofree char *first = g_strdup_printf(
		    "HTTP/1.1 %d X\r\n" ID_LINE "\r\nfirst", final_statuses[i]);
		const struct raw_response responses[SENDS_MAX] = {
		    {.bytes = first}, {.bytes = WHOLE_RESPONSE}};
		struct fixture f = {0};
		struct raw_server *server = raw_gateway_set_up(
		    &f, responses, SENDS_MAX);

		g_test_message("status %d", final_statuses[i]);
		g_assert_cmpint(raw_caller_call(&f, request), ==, c->status);
		g_assert_cmpuint(raw_server_requests(server), ==, c->sends);
		raw_server_free(server);
		fixture_tear_down(&f);
	}
}

static const struct doubt_case {
	const char *name;
	const char *first; /* status and reason phrase; all have a seal */
	const char *second; /* NULL: the first one is final */
	const char *path;
	int status;
	bool alone; /* the service has no other upstream */
	const char *framing; /* of the first response; NULL for none */
} doubt_cases[] = {
    {"an error whose reason fits is passed on", "404 Not Found", NULL,
	"/again/x", .status = 404},
    {"an error whose reason fits is passed on after the only run",
	"409 Conflict", NULL, "/once/x", .status = 409},
    {"an error with the reason of a success is not believed", "400 OK",
	"200 OK", "/again/x", .status = 200},
    {"a redirection with the reason of a success is not believed", "300 OK",
	"200 OK", "/stream/x", .status = 200},
    {"an error with the reason of a failure is not believed",
	"400 Internal Server Error", "200 OK", "/again/x", .status = 200},
    {"a success with the reason of a failure is not believed",
	"200 Internal Server Error", "200 OK", "/again/x", .status = 200},
    {"a reason in other letters counts the same", "400 ok", "200 OK",
	"/again/x", .status = 200},
    {"an error that contradicts itself after the only run is unknown", "400 OK",
	NULL, "/once/x", .status = 502},
    {"a failure that contradicts itself after the only run is unknown",
	"500 OK", NULL, "/once/x", .status = 502},
    {"an error that contradicts itself at two upstreams is passed on", "404 OK",
	"404 OK", "/again/x", .status = 404},
    {"an error without a reason is asked for again", "400 ", "200 OK",
	"/again/x", .status = 200},
    {"an error with a reason of its own is asked for again", "400 X", "200 Y",
	"/again/x", .status = 200},
    {"an error without a reason at two upstreams is passed on", "404 ", "404 ",
	"/again/x", .status = 404},
    {"an error without a reason is passed on after the only run", "404 ", NULL,
	"/once/x", .status = 404},
    {"an error without a reason is passed on without another attempt", "404 ",
	NULL, "/single/x", .status = 404},
    {"an error without a reason is passed on without another upstream", "404 ",
	NULL, "/again/x", .status = 404, .alone = true},
    {"an error that contradicts itself without another upstream is unknown",
	"400 OK", NULL, "/again/x", .status = 502, .alone = true},
    {"a status with a letter is no response", "4x0 OK", "200 OK", "/again/x",
	.status = 200},
    {"a status of two digits is no response", "40 OK", "200 OK", "/again/x",
	.status = 200},
    {"a success without a reason is passed on", "200 ", NULL, "/again/x",
	.status = 200},
    {"a success without a body that has a length is no response", "204 OK",
	"200 OK", "/again/x", .status = 200,
	.framing = "Content-Length: 5\r\n"},
    {"a success without a body that has chunks is no response", "204 OK",
	"200 OK", "/again/x", .status = 200,
	.framing = "Transfer-Encoding: chunked\r\n"},
    {"a success without a body that has a length is an unknown outcome",
	"204 OK", NULL, "/once/x", .status = 502,
	.framing = "Content-Length: 5\r\n"},
    {"a success without a body that has the length 0 is passed on",
	"204 No Content", NULL, "/once/x", .status = 204,
	.framing = "Content-Length: 0\r\n"},
    {"a success with the reason of another success is passed on", "201 OK",
	NULL, "/once/x", .status = 201},
};

/* Makes all upstreams but one leave. */
static void
retire_others(struct fixture *f)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (strcmp(upstream->id, "i-0") != 0)
			fleet_upstream_on_leaving(
			    upstream, "test", clock_monotonic(clock_system()));
	}
}

/* A status with a wrong digit does not end a request. */
static void
test_doubt(gconstpointer data)
{
	const struct doubt_case *c = &doubt_cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *request = g_strdup_printf(
	    GET("%s", "h", KEY_LINE ID_LINE), c->path);
	g_autofree char *first = g_strconcat("HTTP/1.1 ", c->first, "\r\n" TEXT,
	    c->framing != NULL ? c->framing : "", "\r\nwhole", NULL);
	g_autofree char *second = g_strconcat("HTTP/1.1 ",
	    c->second != NULL ? c->second : "", "\r\n" TEXT "\r\nwhole", NULL);
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = first}, {.bytes = second}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	if (c->alone)
		retire_others(&f);
	g_assert_cmpint(raw_caller_call(&f, request), ==, c->status);
	g_assert_cmpuint(
	    raw_server_requests(server), ==, c->second != NULL ? 2 : 1);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A status that two upstreams have agreed on is final for the route. */
static void
test_agreed(void)
{
	const char *missing = "HTTP/1.1 404 \r\n" TEXT "\r\nwhole";
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = missing}, {.bytes = missing}, {.bytes = missing}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	for (size_t sends = 2; sends <= SENDS_MAX; sends++) {
		g_assert_cmpint(
		    raw_caller_call(&f, GET("/again/x", "h", KEY_LINE ID_LINE)),
		    ==, 404);
		g_assert_cmpuint(raw_server_requests(server), ==, sends);
	}
	raw_server_free(server);
	fixture_tear_down(&f);
}

static const struct blank_case {
	const char *name;
	const char *request;
} blank_cases[] = {
    {"a blank behind the host", GET("/once/x", "h ", KEY_LINE ID_LINE)},
    {"a tab behind the host", GET("/once/x", "h\t", KEY_LINE ID_LINE)},
    {"blanks before the host", GET("/once/x", "  h", KEY_LINE ID_LINE)},
    {"a port and a blank behind the host",
	GET("/once/x", "h:80 ", KEY_LINE ID_LINE)},
    {"a blank behind the key",
	GET("/once/x", "h", "Authorization: Bearer k1 \r\n" ID_LINE)},
    {"two blanks before the key",
	GET("/once/x", "h", "Authorization: Bearer  k1\r\n" ID_LINE)},
    {"a blank behind the request's id",
	GET("/once/x", "h", KEY_LINE "Heatherturn-Attempt-Id: r1 \r\n")},
    {"a tab before the request's id",
	GET("/once/x", "h", KEY_LINE "Heatherturn-Attempt-Id:\tr1\r\n")},
};

/* White space around a header's value is no part of it (RFC 9110, 5.5). */
static void
test_blank(gconstpointer data)
{
	const struct blank_case *c = &blank_cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = WHOLE_RESPONSE}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	g_assert_cmpint(raw_caller_call(&f, c->request), ==, 200);
	raw_server_free(server);
	fixture_tear_down(&f);
}

static const struct unsure_case {
	const char *name;
	const char *request;
	int before; /* status while the configuration in force is the newest */
	int after; /* once a newer one could not be used */
} unsure_cases[] = {
    {"an unknown path", GET("/none/x", "h", KEY_LINE ID_LINE), 404, 503},
    {"an unknown host", GET("/once/x", "none", KEY_LINE ID_LINE), 404, 503},
    {"an unknown key",
	GET("/once/x", "h", ID_LINE "Authorization: Bearer k9\r\n"), 401, 503},
    {"a request without a key", GET("/once/x", "h", ID_LINE), 401, 503},
    {"a known route and key", GET("/once/x", "h", KEY_LINE ID_LINE), 200, 200},
};

/*
 * What an old configuration lacks may be in the one that this gateway has
 * received and could not use.
 */
static void
test_unsure(gconstpointer data)
{
	const struct unsure_case *c = &unsure_cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = WHOLE_RESPONSE}, {.bytes = WHOLE_RESPONSE}};
	struct fixture f = {0};
	struct log_capture capture;
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	g_assert_cmpint(raw_caller_call(&f, c->request), ==, c->before);
	log_capture_start(&capture);
	fake_platform_change_config(f.fake_platform, UNUSABLE_CONFIG);
	log_capture_wait(&capture, f.loop, "configuration change ignored");
	log_capture_stop(&capture);
	g_assert_cmpint(raw_caller_call(&f, c->request), ==, c->after);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A configuration with one closed and one public route. */
#define KEYS_CONFIG(version, organisations)                            \
	"{\"Version\":" version ",\"Routes\":["                        \
	"{\"Name\":\"a\",\"Host\":\"h\",\"PathPrefix\":\"/a/\","       \
	"\"Kind\":\"idempotent\",\"Attempts\":1,\"Service\":\"s\"},"   \
	"{\"Name\":\"open\",\"Host\":\"h\",\"PathPrefix\":\"/open/\"," \
	"\"Kind\":\"idempotent\",\"Public\":true,\"Service\":\"s\"}]," \
	"\"Services\":[{\"Name\":\"s\"}]" organisations "}"
#define ONE_OWNER ",\"Tenants\":[{\"Name\":\"o\",\"Keys\":[\"k1\"]}]"
#define NO_OWNER  ",\"Tenants\":[]"

static const struct key_case {
	const char *name;
	const char *config;
	const char *request;
	int status;
} key_cases[] = {
    {"no list of organisations", KEYS_CONFIG("9", ""),
	GET("/a/x", "h", ID_LINE), 200},
    {"an empty list of organisations and no key", KEYS_CONFIG("9", NO_OWNER),
	GET("/a/x", "h", ID_LINE), 401},
    {"an empty list of organisations and the key that it had",
	KEYS_CONFIG("9", NO_OWNER), GET("/a/x", "h", KEY_LINE ID_LINE), 401},
    {"an empty list of organisations and a public route",
	KEYS_CONFIG("9", NO_OWNER), GET("/open/x", "h", ID_LINE), 200},
    {"an organisation and its key", KEYS_CONFIG("9", ONE_OWNER),
	GET("/a/x", "h", KEY_LINE ID_LINE), 200},
};

/*
 * Whether a request needs a key, by the configuration that a gateway starts
 * with, and by one that follows a version with an organisation.
 */
static void
test_keys(gconstpointer data)
{
	const struct key_case *c = &key_cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = WHOLE_RESPONSE}};
	bool may_follow = strstr(c->config, "Tenants") != NULL;

	for (int changed = 0; changed <= (may_follow ? 1 : 0); changed++) {
		struct fixture f = {.config = changed == 0
			? c->config
			: KEYS_CONFIG("8", ONE_OWNER)};
		struct raw_server *server = raw_gateway_set_up(
		    &f, responses, SENDS_MAX);

		if (changed == 1)
			fake_platform_change_config(f.fake_platform, c->config);
		RUN_UNTIL(&f,
		    routing_state_table(f.exchange_context.routing_state)
			    ->version == 9);
		g_assert_cmpint(raw_caller_call(&f, c->request), ==, c->status);
		raw_server_free(server);
		fixture_tear_down(&f);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(origin_cases, "/denied/origin", test_origin);
	ADD_CASES(unsealed_cases, "/denied/unsealed", test_unsealed);
	ADD_CASES(doubt_cases, "/denied/doubt", test_doubt);
	g_test_add_func("/denied/agreed", test_agreed);
	ADD_CASES(blank_cases, "/denied/blank", test_blank);
	ADD_CASES(key_cases, "/denied/keys", test_keys);
	ADD_CASES(unsure_cases, "/denied/unsure", test_unsure);
	return g_test_run();
}
