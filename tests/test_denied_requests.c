/*
 * Guards against proper requests that are answered with a status below 500 as
 * if they were wrong, and against logs that do not tell who answered them so.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "log_capture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define SENDS_MAX    3
#define LENGTH_FIELD "Content-Length: "
#define KEY_LINE     "Authorization: " FIXTURE_KEY "\r\n"
#define ID_LINE	     "Heatherturn-Attempt-Id: r1\r\n"
#define GET(path, host, rest)                              \
	"GET " path " HTTP/1.1\r\nHost: " host "\r\n" rest \
	"Heatherturn-Deadline-Remaining-Ms: 4000\r\nConnection: close\r\n\r\n"
#define NOT_FOUND	 "HTTP/1.1 404 Not Found\r\n"
#define UNSEALED_MISSING NOT_FOUND ID_LINE "\r\nfirst"
#define SEALED_MISSING	 NOT_FOUND TEXT "\r\nfirst"
#define WHOLE_RESPONSE	 OK TEXT "\r\nwhole"

/* Returns whether a response with a length is complete. */
static bool
is_complete(const char *response)
{
	const char *body = strstr(response, "\r\n\r\n");
	const char *length = strstr(response, LENGTH_FIELD);

	return body != NULL && length != NULL &&
	    strlen(body + 4) >=
	    strtoul(length + strlen(LENGTH_FIELD), NULL, 10);
}

/*
 * Sends a request and returns the response's status; 0 if there is none. The
 * HTTP library keeps the connection open after an error of its own.
 */
static int
call(struct fixture *f, const char *request)
{
	struct raw_caller caller = {0};
	int status = 0;

	raw_caller_send(&caller, f, request, strlen(request));
	RUN_UNTIL(f, caller.ended || is_complete(caller.response->str));
	ev_io_stop(f->loop, &caller.io);
	close(caller.io.fd);
	if (caller.response->len > strlen("HTTP/1.1 "))
		status = atoi(caller.response->str + strlen("HTTP/1.1 "));
	g_string_free(caller.response, TRUE);
	return status;
}

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

/* Returns the log's line with this text; NULL if there is none. */
static json_t *
find_line(const char *log, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(log, "\n", -1);

	for (size_t i = 0; lines[i] != NULL; i++) {
		json_t *line = json_loads(lines[i], 0, NULL);

		if (g_strcmp0(json_string_value(json_object_get(line, "text")),
			text) == 0)
			return line;
		json_decref(line);
	}
	return NULL;
}

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
	g_assert_cmpint(call(&f, c->request), ==, c->status);
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	line = find_line(log, c->text);
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
		g_assert_cmpint(call(&f, request), ==, c->status);
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
	g_assert_cmpint(call(&f, request), ==, c->status);
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
		    call(&f, GET("/again/x", "h", KEY_LINE ID_LINE)), ==, 404);
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

	g_assert_cmpint(call(&f, c->request), ==, 200);
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

/* A configuration of which nothing can be used. */
#define UNUSABLE_CONFIG "{\"Version\":9,\"Routes\":7}"

/* Runs the loop until the log has a line with this text. */
static void
wait_for_line(
    struct fixture *f, const struct log_capture *capture, const char *text)
{
	json_t *line = NULL;

	while (line == NULL) {
		g_autofree char *log = NULL;

		ev_run(f->loop, EVRUN_ONCE);
		log = log_capture_read(capture);
		line = find_line(log, text);
	}
	json_decref(line);
}

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

	g_assert_cmpint(call(&f, c->request), ==, c->before);
	log_capture_start(&capture);
	fake_platform_change_config(f.fake_platform, UNUSABLE_CONFIG);
	wait_for_line(&f, &capture, "configuration change ignored");
	log_capture_stop(&capture);
	g_assert_cmpint(call(&f, c->request), ==, c->after);
	raw_server_free(server);
	fixture_tear_down(&f);
}

#define LIMITED_CONFIG(version, bytes)                                      \
	"{\"Version\":" version ",\"Routes\":[{\"Name\":\"open\",\"Host\":" \
	"\"h\",\"PathPrefix\":\"/open/\",\"Kind\":\"idempotent\","          \
	"\"Public\":true,\"Service\":\"s\"}],\"Services\":[{\"Name\":"      \
	"\"s\"}],\"Limits\":{\"BodyBytes\":" bytes "}}"

/* The limit of a newer configuration counts for the first request under it. */
static void
test_body_limit(void)
{
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = WHOLE_RESPONSE}, {.bytes = WHOLE_RESPONSE}};
	struct fixture f = {.config = LIMITED_CONFIG("3", "10")};
	struct log_capture capture;
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);
	const char *request = "POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
			      "Content-Length: 20\r\nConnection: close\r\n\r\n"
			      "01234567890123456789";
	const char *longer = "POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
			     "Content-Length: 40\r\nConnection: close\r\n\r\n";

	call(&f, GET("/open/x", "h", ID_LINE));
	g_assert_cmpint(call(&f, request), ==, 413);
	fake_platform_change_config(f.fake_platform, LIMITED_CONFIG("4", "30"));
	RUN_UNTIL(&f,
	    routing_state_table(f.exchange_context.routing_state)->version ==
		4);
	g_assert_cmpint(call(&f, request), ==, 200);
	g_assert_cmpint(call(&f, longer), ==, 413);
	log_capture_start(&capture);
	fake_platform_change_config(f.fake_platform, UNUSABLE_CONFIG);
	wait_for_line(&f, &capture, "configuration change ignored");
	log_capture_stop(&capture);
	g_assert_cmpint(call(&f, longer), ==, 503);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Before the first configuration no limit is final. */
static void
test_first_body_limit(void)
{
	struct fixture f = {0};

	fixture_set_up(&f);
	g_assert_cmpint(
	    call(&f,
		"POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
		"Content-Length: 999999\r\nConnection: close\r\n\r\n"),
	    ==, 503);
	fixture_tear_down(&f);
}

/* Bytes of a head beside its long lines, and of a name and a line's end. */
#define HEAD_ROOM 400
#define NAME_ROOM 12

static const struct head_case {
	const char *name;
	size_t request; /* bytes of the request's head, about */
	size_t response;
	size_t line; /* bytes of most lines */
	int status;
	size_t sends;
} head_cases[] = {
    {"a request's head at the limit in long lines passes", 16384, 0, 1000, 200,
	1},
    {"a request's head at the limit in lines of 100 bytes passes", 16384, 0,
	100, 200, 1},
    {"a request's head at the limit in lines of 40 bytes passes", 16384, 0, 40,
	200, 1},
    {"a request's head at the limit in lines of 20 bytes passes", 16384, 0, 20,
	200, 1},
    {"heads at the limit pass in both directions", 16384, 16384, 1000, 200, 1},
    {"heads at the limit in short lines pass in both directions", 16384, 16384,
	40, 200, 1},
    {"a response's head above the limit passes", 0, 30000, 100, 200, 1},
    {"a response's head that can't be passed on is an unknown outcome", 16384,
	30000, 1000, 502, 1},
    {"a request's head above the limit is rejected before it runs", 17500, 0,
	1000, 431, 0},
    {"a request's head far above the limit is rejected before it runs", 40000,
	0, 1000, 431, 0},
};

/* Appends lines of a head up to a number of bytes in all. */
static void
append_lines(GString *head, size_t bytes, size_t line)
{
	g_autofree char *value = g_strnfill(line - NAME_ROOM, 'v');

	for (int i = 0; head->len + HEAD_ROOM < bytes; i++)
		g_string_append_printf(head, "X-L-%04d: %s\r\n", i, value);
}

/*
 * Makes a request and its response with heads of about these sizes, and returns
 * the status that the caller gets.
 */
static int
exchange_heads(
    size_t request_bytes, size_t response_bytes, size_t line, size_t *sends)
{
	g_autoptr(GString) request = g_string_new(
	    "GET /once/x HTTP/1.1\r\nHost: h\r\n" KEY_LINE ID_LINE
	    "Connection: close\r\n");
	g_autoptr(GString)
	    response = g_string_new(OK TEXT "Content-Length: 5\r\n");
	struct raw_response responses[SENDS_MAX] = {{.bytes = NULL}};
	struct fixture f = {0};
	struct raw_server *server;
	int status;

	append_lines(request, request_bytes, line);
	g_string_append(request, "\r\n");
	append_lines(response, response_bytes, line);
	g_string_append(response, "\r\nwhole");
	responses[0].bytes = response->str;
	server = raw_gateway_set_up(&f, responses, SENDS_MAX);
	status = call(&f, request->str);
	*sends = raw_server_requests(server);
	raw_server_free(server);
	fixture_tear_down(&f);
	return status;
}

/* Heads up to the limit pass at once, and larger ones get a clear answer. */
static void
test_head(gconstpointer data)
{
	const struct head_case *c = &head_cases[GPOINTER_TO_SIZE(data)];
	size_t sends;

	g_assert_cmpint(
	    exchange_heads(c->request, c->response, c->line, &sends), ==,
	    c->status);
	g_assert_cmpuint(sends, ==, c->sends);
}

/* No size of heads closes a connection without a response. */
static void
test_head_sizes(void)
{
	static const size_t lines[] = {20, 100, 1000};
	size_t sends;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		for (size_t bytes = 0; bytes <= 60000; bytes += 4000) {
			int status = exchange_heads(
			    bytes % 16384, bytes, lines[i], &sends);

			g_test_message("%zu bytes, lines of %zu, status %d",
			    bytes, lines[i], status);
			g_assert_true(
			    status == 200 || status == 502 || status == 431);
			g_assert_cmpuint(sends, ==, status == 431 ? 0 : 1);
		}
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
	ADD_CASES(unsure_cases, "/denied/unsure", test_unsure);
	ADD_CASES(head_cases, "/denied/head", test_head);
	g_test_add_func("/denied/head_sizes", test_head_sizes);
	g_test_add_func("/denied/body_limit", test_body_limit);
	g_test_add_func("/denied/first_body_limit", test_first_body_limit);
	return g_test_run();
}
