/*
 * Responses whose headers are missing, wrong or contradict each other. Guards
 * against a response that reaches the caller though nothing says for sure that
 * it is the upstream's to this request, and against requests that are sent
 * again, or elsewhere, because of it.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define SENDS_MAX 2
/* Requests that each other upstream already has, so that i-0 is preferred. */
#define OTHERS_RUNNING 2
/* Of a prompt that several upstreams prefill. */
#define PARTS_TOKENS "120000, 10"
#define ID	     "Heatherturn-Attempt-Id: r1\r\n"
#define OTHER_ID     "Heatherturn-Attempt-Id: r0\r\n"
#define OTHER_SEAL   "Heatherturn-Server-Seal: s0\r\n"
#define NOT_RUN	     "Heatherturn-Not-Executed: 1\r\n"
#define NOT_FOUND    "HTTP/1.1 404 Not Found\r\n"
#define FULL	     "HTTP/1.1 503 Full\r\n" ID NOT_RUN
/* Body of the second response, also an event. */
#define SECOND E1
#define NOTICES                                                      \
	"Retry-After: 9\r\nServer-Leaving: 1\r\nServer-Limit: 1\r\n" \
	"At-Server: i-1\r\n"

/* What becomes of the first response of a request. */
enum outcome {
	OUTCOME_PASSED, /* to the caller */
	OUTCOME_NOT_RUN, /* sent again, also if it may run only once */
	OUTCOME_UNKNOWN, /* as if the response had been lost */
};

static const struct header_case {
	const char *name;
	const char *head; /* of the response, without its empty line */
	enum outcome outcome;
	const char *tokens; /* of a prompt read in parts; or NULL */
	int faulty; /* upstreams that are taken for faulty then */
	int64_t quiet_ms; /* time for which i-0 gets no requests then */
} cases[] = {
    {"a Connection header does not remove the seal or the request id",
	OK TEXT "Connection: heatherturn-server-seal, close, "
		"Heatherturn-Attempt-Id\r\n",
	.outcome = OUTCOME_PASSED},
    {"a success with an empty seal is not passed on",
	OK ID "Heatherturn-Server-Seal:\r\n", .outcome = OUTCOME_UNKNOWN},
    {"a success without a seal is not passed on", OK ID,
	.outcome = OUTCOME_UNKNOWN},
    {"a success that says it was not executed may have run", OK TEXT NOT_RUN,
	.outcome = OUTCOME_UNKNOWN},
    {"an error that says it was not executed has not run",
	"HTTP/1.1 500 Failed\r\n" SEAL NOT_RUN, .outcome = OUTCOME_NOT_RUN},
    {"a success with another request's id first is not passed on",
	OK OTHER_ID TEXT, .outcome = OUTCOME_UNKNOWN},
    {"a success with another request's id last is not passed on",
	OK TEXT OTHER_ID, .outcome = OUTCOME_UNKNOWN},
    {"a success with two seals is not passed on", OK OTHER_SEAL TEXT,
	.outcome = OUTCOME_UNKNOWN},
    {"a success with two types is not passed on", OK STREAM TEXT,
	.outcome = OUTCOME_UNKNOWN},
    {"a success that repeats its headers is passed on", OK TEXT TEXT,
	.outcome = OUTCOME_PASSED},
    {"a rejection with two request ids may have run, and says nothing",
	"HTTP/1.1 503 Full\r\n" OTHER_ID ID NOT_RUN NOTICES,
	.outcome = OUTCOME_UNKNOWN},
    {"a rejection with two seals may have run, and says nothing",
	FULL SEAL OTHER_SEAL NOTICES, .outcome = OUTCOME_UNKNOWN},
    {"a rejection with two times and two rates says none",
	FULL "Retry-After: 9\r\nRetry-After: 2\r\n"
	     "Server-Limit: 5\r\nServer-Limit: 3\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a success with a content coding is not passed on",
	OK TEXT "Content-Encoding: gzip\r\n", .outcome = OUTCOME_UNKNOWN},
    {"an error without a seal is not passed on", NOT_FOUND ID,
	.outcome = OUTCOME_UNKNOWN},
    {"an error with an empty seal is not passed on",
	NOT_FOUND ID "Heatherturn-Server-Seal:\r\n",
	.outcome = OUTCOME_UNKNOWN},
    {"a failure without a seal is not passed on",
	"HTTP/1.1 500 Internal Server Error\r\n" ID,
	.outcome = OUTCOME_UNKNOWN},
    {"an error with a content coding is not passed on",
	NOT_FOUND TEXT "Content-Encoding: gzip\r\n",
	.outcome = OUTCOME_UNKNOWN},
    {"a success with several content codings is not passed on",
	OK TEXT "Content-Encoding: gzip\r\nContent-Encoding: identity\r\n",
	.outcome = OUTCOME_UNKNOWN},
    {"a success with the coding identity is passed on",
	OK TEXT "Content-Encoding: Identity\r\n", .outcome = OUTCOME_PASSED},
    {"an upstream that does not help is not at fault",
	FULL "At-Server: i-1\r\n", .outcome = OUTCOME_NOT_RUN},
    {"an upstream that helps is at fault", FULL "At-Server: i-1\r\n",
	.outcome = OUTCOME_NOT_RUN, .tokens = PARTS_TOKENS, .faulty = 1},
    {"an unknown upstream is not at fault", FULL "At-Server: i-9\r\n",
	.outcome = OUTCOME_NOT_RUN, .tokens = PARTS_TOKENS},
    {"a time is a decimal number", FULL "Retry-After: 9\r\n",
	.outcome = OUTCOME_NOT_RUN, .quiet_ms = 9000},
    {"a time may have a fraction", FULL "Retry-After: 8.50\r\n",
	.outcome = OUTCOME_NOT_RUN, .quiet_ms = 8500},
    {"a time with an exponent is ignored", FULL "Retry-After: 1e50\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a time that is not finite is ignored", FULL "Retry-After: inf\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a hexadecimal time is ignored", FULL "Retry-After: 0x99\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a time with a sign is ignored", FULL "Retry-After: +9\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a time of two numbers is ignored", FULL "Retry-After: 9.1.2\r\n",
	.outcome = OUTCOME_NOT_RUN},
    {"a time without a digit is ignored", FULL "Retry-After: .\r\n",
	.outcome = OUTCOME_NOT_RUN},
};

/* Starts a gateway whose upstreams send these responses, i-0 the first one. */
static struct raw_server *
set_up(struct fixture *f, const struct raw_response *responses)
{
	struct raw_server *server = raw_gateway_set_up(f, responses, SENDS_MAX);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream,
	    &routing_state_fleet(f->exchange_context.routing_state)->upstreams,
	    entry) {
		if (strcmp(upstream->id, "i-0") != 0)
			upstream->peers.running = OTHERS_RUNNING;
	}
	return server;
}

/* Asserts what is believed of the upstreams; of i-0 that it named no rate. */
static void
assert_beliefs(const struct fixture *f, const struct header_case *c)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct timespec now = clock_monotonic(clock_system());
	const struct fleet_upstream *upstream;
	int64_t quiet_ms = 0;
	int faulty = 0;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		faulty += time_before(now, upstream->process.faulty_until);
		quiet_ms += quiet_left_ms(&upstream->process.quiet, now);
		g_assert_false(upstream->process.named_rate.named);
		g_assert_false(fleet_upstream_announces(upstream, now));
	}
	g_assert_cmpint(faulty, ==, c->faulty);
	g_assert_cmpint(quiet_ms, <=, c->quiet_ms);
	g_assert_cmpint(quiet_ms > 0, ==, c->quiet_ms > 0);
}

/* Sends a request whose second response is whole, if there is one. */
static void
check(const struct header_case *c, const char *path, bool sent_again,
    int status, const char *body)
{
	g_autofree char *first = g_strconcat(c->head, "\r\nfirst", NULL);
	g_autofree char *second = g_strconcat(
	    c->tokens != NULL ? OK STREAM "\r\n" : OK TEXT "\r\n", SECOND,
	    NULL);
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = first}, {.bytes = second}};
	struct fixture f = {.tokens = c->tokens};
	struct raw_server *server = set_up(&f, responses);

	fixture_call(&f, path, FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_false(f.aborted);
	g_assert_cmpint(f.status, ==, status);
	g_assert_cmpuint(
	    raw_server_requests(server), ==, sent_again ? SENDS_MAX : 1);
	g_assert_cmpint(raw_server_helped(server) > 0, ==, c->tokens != NULL);
	if (body != NULL)
		g_assert_cmpmem(f.body->data, f.body->len, body, strlen(body));
	g_assert_cmpstr(f.seal, ==, status == 200 ? "seal" : NULL);
	g_assert_cmpstr(f.request_id, ==, status == 200 ? "r1" : NULL);
	assert_beliefs(&f, c);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Runs one case for a request that may run once, and for one that may repeat.
 */
static void
test_headers(gconstpointer data)
{
	const struct header_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const char *once = c->tokens != NULL ? "/prompt/x" : "/once/x";
	bool again = c->outcome != OUTCOME_PASSED;
	const char *body = again ? SECOND : "first";

	if (c->outcome == OUTCOME_UNKNOWN)
		check(c, once, false, 502, NULL);
	else
		check(c, once, again, 200, body);
	check(c, c->tokens != NULL ? "/parts/x" : "/again/x", again, 200, body);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/wrong_headers", test_headers);
	return g_test_run();
}
