/*
 * Requests whose header lines are invalid or contradict each other. Guards
 * against a request that is smuggled in the body of another one, against
 * headers of a caller that pass for the gateway's own, and against proper
 * requests that are rejected beside them.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define SENDS_MAX 3
#define WHOLE_RESPONSE                       \
	{                                    \
		.bytes = OK TEXT "\r\nwhole" \
	}
/* What a caller puts into a body, to be run as a request of its own. */
#define SMUGGLED                                                         \
	"GET /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: " FIXTURE_KEY \
	"\r\nHeatherturn-Attempt-Id: r2\r\n\r\n"

static const struct framing_case {
	const char *name;
	const char *lines; /* beside the usual ones */
	size_t length; /* of the lines if they have a NUL; else 0 */
	const char *body;
	int status;
	size_t runs;
} cases[] = {
    {"a length", "Content-Length: 5\r\n", 0, "asked", 200, 1},
    {"the same length twice", "Content-Length: 5\r\nContent-Length: 5\r\n", 0,
	"asked", 200, 1},
    {"chunks", "Transfer-Encoding: chunked\r\n", 0, "5\r\nasked\r\n0\r\n\r\n",
	200, 1},
    {"a header without a value", "X-A:\r\n", 0, "", 200, 1},
    {"a header with octets above 127", "X-A: \xc3\xa4\r\n", 0, "", 200, 1},
    {"a header twice", "X-A: 1\r\nX-A: 2\r\n", 0, "", 200, 1},
    {"two lengths", "Content-Length: 5\r\nContent-Length: 90\r\n", 0,
	"asked" SMUGGLED, 400, 0},
    {"a length and chunks",
	"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 0,
	"0\r\n\r\n" SMUGGLED, 400, 0},
    {"two transfer codings",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", 0,
	"0\r\n\r\n" SMUGGLED, 400, 0},
    {"two hosts", "Host: z\r\n", 0, "", 400, 0},
    {"the same host twice", "Host: h\r\n", 0, "", 400, 0},
    {"the same request id twice", "Heatherturn-Attempt-Id: r1\r\n", 0, "", 200,
	1},
    {"two request ids", "Heatherturn-Attempt-Id: r2\r\n", 0, "", 400, 0},
    {"two keys", "Authorization: Bearer k2\r\n", 0, "", 400, 0},
    {"two deadlines",
	"Heatherturn-Deadline-Remaining-Ms: 5\r\n"
	"Heatherturn-Deadline-Remaining-Ms: 5000\r\n",
	0, "", 400, 0},
    {"a blank before the colon of a header of the gateway",
	"Heatherturn-Tenant : forged\r\n", 0, "", 400, 0},
    {"a tab before the colon of a length", "Content-Length\t: 5\r\n", 0,
	"asked", 400, 0},
    {"a name with a blank", "X A: 1\r\n", 0, "", 400, 0},
    {"a CR in a value", "X-A: 1\rHeatherturn-Tenant: forged\r\n", 0, "", 400,
	0},
    {"a NUL in a value", "X-A: 1\0Heatherturn-Tenant: forged\r\n",
	sizeof("X-A: 1\0Heatherturn-Tenant: forged\r\n") - 1, "", 400, 0},
};

/* Sends a request and returns the first status. */
static int
call(struct fixture *f, const struct framing_case *c, bool *ended)
{
	g_autoptr(GString) request = g_string_new(
	    "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: " FIXTURE_KEY
	    "\r\nHeatherturn-Attempt-Id: r1\r\n");
	struct raw_caller caller = {0};
	int status;

	g_string_append_len(request, c->lines,
	    c->length > 0 ? (gssize)c->length : (gssize)strlen(c->lines));
	g_string_append(request, "\r\n");
	g_string_append(request, c->body);
	raw_caller_send(&caller, f, request->str, request->len);
	RUN_UNTIL(f,
	    caller.ended || strstr(caller.response->str, "\r\n\r\n") != NULL);
	*ended = caller.ended ||
	    strstr(caller.response->str, "Connection: close") != NULL;
	for (int i = 0; i < 20; i++)
		ev_run(f->loop, EVRUN_NOWAIT);
	status = atoi(caller.response->str + strlen("HTTP/1.1 "));
	ev_io_stop(f->loop, &caller.io);
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	return status;
}

/* Nothing of an ambiguous request runs, and its connection is closed. */
static void
test_framing(gconstpointer data)
{
	const struct framing_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const struct raw_response responses[SENDS_MAX] = {
	    WHOLE_RESPONSE, WHOLE_RESPONSE, WHOLE_RESPONSE};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);
	bool ended;

	g_assert_cmpint(call(&f, c, &ended), ==, c->status);
	g_assert_cmpuint(raw_server_requests(server), ==, c->runs);
	g_assert_cmpint(ended, ==, c->status == 400);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A header without a value reaches the upstream. */
static void
test_empty_value(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_OK};
	struct raw_caller caller = {0};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	raw_caller_start(
	    &caller, &f, "/once/x", "1.1", "X-A:\r\nConnection: close\r\n");
	RUN_UNTIL(&f, caller.ended);
	g_assert_cmpstr(fake_platform_request_header(
			    fake_platform_request(f.fake_platform, 0), "X-A"),
	    ==, "");
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/request_framing", test_framing);
	g_test_add_func("/request_framing/empty value", test_empty_value);
	return g_test_run();
}
