/* The object API's client: the meaning of each response. */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/httpd.h"
#include "base/invariant.h"
#include "store/store.h"

#define LOOP_ITERATIONS_MAX 100000

/* A response of the object API. */
static const struct response_case {
	const char *name;
	enum store_verb verb;
	int status; /* 0 for no response */
	const char *etag;
	const char *retry_after;
	int code; /* -1 for success */
	uint64_t version;
	int64_t retry_after_ms;
} response_cases[] = {
    {"a get returns a value with its version", STORE_GET, 200, "\"7\"", NULL,
	-1, 7, 0},
    {"a value without a version is malformed", STORE_GET, 200, NULL, NULL,
	STORE_ERROR_MALFORMED, 0, 0},
    {"an absent key is not found", STORE_GET, 404, NULL, NULL,
	STORE_ERROR_NOT_FOUND, 0, 0},
    {"a watch that timed out is unchanged", STORE_WATCH, 304, NULL, NULL,
	STORE_ERROR_UNCHANGED, 0, 0},
    {"a put is stored at its version", STORE_PUT, 200, "\"8\"", NULL, -1, 8, 0},
    {"a put whose response has no version has an unknown outcome", STORE_PUT,
	200, NULL, NULL, STORE_ERROR_OUTCOME_UNKNOWN, 0, 0},
    {"a failed condition is a conflict with the current version", STORE_PUT,
	412, "\"9\"", NULL, STORE_ERROR_CONFLICT, 9, 0},
    {"a call over the rate limit returns the time to retry after", STORE_PUT,
	429, NULL, "3", STORE_ERROR_RATE_LIMITED, 0, 3000},
    {"an unavailable platform has stored nothing", STORE_PUT, 503, NULL, NULL,
	STORE_ERROR_UNAVAILABLE, 0, 0},
    {"a put with an internal error of the platform has an unknown outcome",
	STORE_PUT, 500, NULL, NULL, STORE_ERROR_OUTCOME_UNKNOWN, 0, 0},
    {"a delete of an absent key is not found", STORE_DELETE, 404, NULL, NULL,
	STORE_ERROR_NOT_FOUND, 0, 0},
    {"a put without a response has an unknown outcome", STORE_PUT, 0, NULL,
	NULL, STORE_ERROR_OUTCOME_UNKNOWN, 0, 0},
    {"a get without a response is unavailable", STORE_GET, 0, NULL, NULL,
	STORE_ERROR_UNAVAILABLE, 0, 0},
};

struct fixture {
	const struct response_case *c;
	char *path;
	char *if_match;
	bool done;
	int code;
	uint64_t version;
	int64_t retry_after_ms;
};

static void
on_request(void *data, struct httpd_request *request)
{
	struct fixture *fixture = data;
	struct http_header headers[2];
	size_t count = 0;

	fixture->path = g_strdup(httpd_request_path(request));
	fixture->if_match = g_strdup(httpd_request_header(request, "If-Match"));
	if (fixture->c->status == 0)
		return;
	if (fixture->c->etag != NULL)
		headers[count++] = (struct http_header){
		    "ETag", fixture->c->etag};
	if (fixture->c->retry_after != NULL)
		headers[count++] = (struct http_header){
		    "Retry-After", fixture->c->retry_after};
	httpd_respond(request, fixture->c->status, headers, count, "v", 1);
}

static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

static void
on_done(void *data, const struct store_result *result)
{
	struct fixture *fixture = data;

	fixture->done = true;
	fixture->code = result->error != NULL ? result->error->code : -1;
	fixture->version = result->version;
	fixture->retry_after_ms = result->retry_after_ms;
}

static void
test_response(gconstpointer data)
{
	static const struct httpd_ops ops = {
	    .request = on_request, .closed = on_closed};
	struct fixture fixture = {.c = data};
	struct httpd_settings settings = {.address = "127.0.0.1:0",
	    .body_max_bytes = 1024,
	    .bodies_max_bytes = 4096};
	struct ev_loop *loop = ev_loop_new(0);
	struct httpd *httpd = httpd_new(loop, &settings, &ops, &fixture, NULL);
	struct http_client *client = http_client_new(loop, NULL);
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d", httpd_port(httpd));
	struct store *store = store_http_new(client, url);

	store_start(store,
	    &(struct store_request){.verb = fixture.c->verb,
		.key = "claims/ser ra/1",
		.version = 4,
		.value = "v",
		.length = 1,
		.timeout_ms = 200},
	    on_done, &fixture);
	g_assert_false(fixture.done);
	for (int iterations = 0;
	     !fixture.done && iterations < LOOP_ITERATIONS_MAX; iterations++)
		ev_run(loop, EVRUN_ONCE);
	g_assert_true(fixture.done);
	g_assert_cmpint(fixture.code, ==, fixture.c->code);
	g_assert_cmpuint(fixture.version, ==, fixture.c->version);
	g_assert_cmpint(fixture.retry_after_ms, ==, fixture.c->retry_after_ms);
	if (fixture.c->verb == STORE_PUT || fixture.c->verb == STORE_DELETE)
		g_assert_cmpstr(fixture.if_match, ==, "\"4\"");
	store_free(store);
	http_client_free(client);
	httpd_free(httpd);
	ev_loop_destroy(loop);
	g_free(fixture.path);
	g_free(fixture.if_match);
}

#define ADD(table, prefix, test)                                  \
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {        \
		g_autofree char *path = g_strconcat(              \
		    "/store/" prefix "/", (table)[i].name, NULL); \
		g_test_add_data_func(path, &(table)[i], test);    \
	}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	ADD(response_cases, "response", test_response);
	return g_test_run();
}
