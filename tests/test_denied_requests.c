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
#include "raw_responses.h"
#include "raw_server.h"

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

/* Starts a gateway whose upstreams send these responses in order. */
static struct raw_server *
set_up(struct fixture *f, const struct raw_response *responses)
{
	struct raw_server *server;

	fixture_set_up(f);
	server = raw_server_new(f->loop, responses, SENDS_MAX);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    f->fake_platform, i, raw_server_port(server, i));
	fixture_wait_for_routing_state(f);
	return server;
}

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

	raw_caller_send(&caller, f, request);
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
	struct raw_server *server = set_up(&f, responses);
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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(origin_cases, "/denied/origin", test_origin);
	return g_test_run();
}
