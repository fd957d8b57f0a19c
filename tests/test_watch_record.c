/*
 * Which calls to the store ended without an answer, as the log tells it.
 */
#include <string.h>

#include "base/httpd.h"
#include "cases.h"
#include "log_capture.h"
#include "platform/object_watch.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define WATCHES	       3 /* the last one gets no response */
#define EMPTY_LIST     "{\"Items\":[],\"HasMore\":false,\"StoreRevision\":7}"
#define CLOSED	       0

/* A store that lists nothing and answers watches as its case tells. */
struct fixture {
	const struct answer_case *c;
	size_t watches;
};

/* Whether watches that get this response are logged as without an answer. */
static const struct answer_case {
	const char *name;
	int status; /* CLOSED for a closed connection */
	const char *body;
	bool is_logged;
} answer_cases[] = {
    {"a watch whose connection is closed is logged as without answer", CLOSED,
	NULL, true},
    {"a watch that is refused has an answer", 503, "{}", false},
    {"a watch without events has an answer", 200,
	"{\"events\":[],\"StoreRevision\":7}", false},
};

/* Responds to a list or watch. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct fixture *f = data;
	bool is_watch = strstr(httpd_request_target(request), "Watch=") != NULL;

	if (!is_watch)
		httpd_respond(
		    request, 200, NULL, 0, EMPTY_LIST, strlen(EMPTY_LIST));
	else if (++f->watches < WATCHES && f->c->status == CLOSED)
		httpd_abort(request);
	else if (f->watches < WATCHES)
		httpd_respond(request, f->c->status, NULL, 0, f->c->body,
		    strlen(f->c->body));
}

/* Calls have no state. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

/* Changes are not looked at. */
static void
on_change(void *data, uint64_t version, const struct object_changes *changes)
{
}

/* Fails a case that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the case did not end");
}

/*
 * The log tells which watches ended without an answer. Each response comes
 * twice, since a call on a kept connection that is closed starts again on a new
 * one.
 */
static void
test_answer(gconstpointer data)
{
	static const struct httpd_ops ops = {
	    .request = on_request, .closed = on_closed};
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	struct fixture f = {.c = &answer_cases[GPOINTER_TO_SIZE(data)]};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct httpd *httpd = httpd_new(loop, &settings, &ops, &f, NULL);
	g_autofree char *address = g_strdup_printf(
	    "127.0.0.1:%d", httpd_port(httpd));
	struct http_client *http = http_client_new(loop, NULL);
	struct object_store *store = object_store_new(
	    http, clock_system(), address, NULL);
	struct object_watch *watch = object_watch_new(
	    loop, clock_system(), store, "servers", on_change, NULL);
	struct log_capture capture;
	g_autofree char *log = NULL;
	ev_timer timeout;
	json_t *line;

	ev_timer_init(&timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(loop, &timeout);
	log_capture_start(&capture);
	while (f.watches < WATCHES)
		ev_run(loop, EVRUN_ONCE);
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	line = log_capture_find(log, "store call without answer");
	g_assert_cmpint(line != NULL, ==, f.c->is_logged);
	if (line != NULL) {
		g_assert_cmpstr(
		    json_string_value(json_object_get(line, "kind")), ==,
		    "servers");
		g_assert_cmpint(
		    json_integer_value(json_object_get(line, "version")), ==,
		    7);
	}
	json_decref(line);
	object_watch_free(watch);
	object_store_free(store);
	http_client_free(http);
	httpd_free(httpd);
	ev_timer_stop(loop, &timeout);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(answer_cases, "/watch_record/answer", test_answer);
	return g_test_run();
}
