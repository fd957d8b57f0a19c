/*
 * Calls to the store while connections that are open have gone silent and new
 * ones work. Guards against a change that is known seconds late because one
 * kept connection after the other is tried.
 */
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/httpd.h"
#include "platform/object_store.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define KEPT	       3 /* connections that are open when all go silent */
#define EMPTY_LIST     "{\"Items\":[],\"HasMore\":false,\"StoreRevision\":7}"

struct test {
	struct ev_loop *loop;
	ev_timer timeout;
	struct httpd *httpd;
	struct http_client *http;
	struct object_store *store;
	bool silent; /* the store does not answer */
	unsigned int answered;
	unsigned int failed;
	unsigned int reused; /* of the answered calls, kept connections */
};

/* Answers a list, unless the store is silent. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct test *t = data;

	if (!t->silent)
		httpd_respond(
		    request, 200, NULL, 0, EMPTY_LIST, strlen(EMPTY_LIST));
}

static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

static void
on_drained(void *data, struct httpd_request *request)
{
}

static const struct httpd_ops ops = {
    .request = on_request, .closed = on_closed, .drained = on_drained};

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end");
}

static void
on_response(void *data, const struct object_store_response *response)
{
	struct test *t = data;

	if (response->error != NULL) {
		t->failed++;
		return;
	}
	t->answered++;
	t->reused += response->reused_connection;
}

/* Starts a number of lists at the same time, and waits for their results. */
static void
list(struct test *t, unsigned int count)
{
	unsigned int end = t->answered + t->failed + count;

	t->reused = 0;
	for (unsigned int i = 0; i < count; i++)
		object_store_list(
		    t->store, "config", NULL, false, on_response, t);
	while (t->answered + t->failed < end)
		ev_run(t->loop, EVRUN_ONCE);
}

static void
set_up(struct test *t)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	g_autofree char *address = NULL;

	t->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&t->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(t->loop, &t->timeout);
	t->httpd = httpd_new(t->loop, &settings, &ops, t, NULL);
	address = g_strdup_printf("127.0.0.1:%d", httpd_port(t->httpd));
	t->http = http_client_new(t->loop, NULL);
	t->store = object_store_new(t->http, clock_system(), address, NULL);
}

static void
tear_down(struct test *t)
{
	object_store_free(t->store);
	http_client_free(t->http);
	httpd_free(t->httpd);
	ev_timer_stop(t->loop, &t->timeout);
	ev_loop_destroy(t->loop);
}

/*
 * After a call without an answer, the next one takes none of the connections
 * that were open then, and later ones are kept again.
 */
static void
test_silent(void)
{
	struct test t = {0};

	set_up(&t);
	list(&t, KEPT);
	list(&t, 1);
	g_assert_cmpuint(t.reused, ==, 1);
	t.silent = true;
	list(&t, 1);
	g_assert_cmpuint(t.failed, ==, 1);
	t.silent = false;
	list(&t, 1);
	g_assert_cmpuint(t.failed, ==, 1);
	g_assert_cmpuint(t.reused, ==, 0);
	tear_down(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store_connections/after a call without an answer no "
			"connection of before is used",
	    test_silent);
	return g_test_run();
}
