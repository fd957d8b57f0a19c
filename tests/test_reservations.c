/*
 * Memory reservations at several engines: granted by all or released, renewed
 * while they are needed, and released even if a response was lost.
 */
#include <string.h>

#include <jansson.h>

#include "base/httpd.h"
#include "cases.h"
#include "gateway/reservations.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define ENGINES	       2

static const struct reservation_case {
	const char *name;
	int statuses[ENGINES]; /* of each engine; 0 for no response */
	bool granted;
	int releases[ENGINES]; /* minimum for each engine */
} cases[] = {
    {"all engines grant their reservations", {200, 200}, true, {1, 1}},
    {"if one engine refuses, the other's reservation is released", {200, 409},
	false, {1, 0}},
    {"both engines refuse", {409, 409}, false, {0, 0}},
    {"an engine that does not respond gets a release, as it may have reserved",
	{200, 0}, false, {1, 1}},
};

struct engine {
	struct fixture *fixture;
	struct httpd *httpd;
	int status;
	bool leaving; /* says so in its responses */
	int reserves;
	int releases;
	int64_t tokens;
};

struct fixture {
	struct ev_loop *loop;
	ev_timer timeout;
	struct http_client *http;
	struct engine engines[ENGINES];
	bool answered;
	bool granted;
	bool leaving[ENGINES]; /* as their responses say */
};

/* Counts an order and responds as the case specifies. */
static void
on_request(void *data, struct httpd_request *request)
{
	static const struct http_header leaving = {"Server-Leaving", "1"};
	struct engine *engine = data;
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);
	json_t *order = json_loadb((const char *)body, length, 0, NULL);
	const char *op = json_string_value(json_object_get(order, "Op"));

	g_assert_cmpstr(httpd_request_path(request), ==, "/order");
	if (strcmp(op, "release") == 0) {
		engine->releases++;
		httpd_respond(request, 200, NULL, 0, "{}", 2);
	} else {
		engine->reserves++;
		engine->tokens = json_integer_value(
		    json_object_get(order, "Tokens"));
		if (engine->status != 0)
			httpd_respond(request, engine->status, &leaving,
			    engine->leaving ? 1 : 0, "", 0);
	}
	json_decref(order);
}

/* Orders have no state. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

/* Records the result. */
static void
on_result(void *data, bool granted)
{
	struct fixture *f = data;

	f->answered = true;
	f->granted = granted;
}

/* Counts what the engines say of themselves. */
static void
on_notice(void *data, size_t index, const struct upstream_notice *notice)
{
	struct fixture *f = data;

	g_assert_cmpuint(index, <, ENGINES);
	f->leaving[index] |= notice->leaving;
}

/* Fails a case that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the case did not end");
}

/* Starts the engines. */
static void
set_up(struct fixture *f, const int statuses[ENGINES])
{
	static const struct httpd_ops ops = {
	    .request = on_request, .closed = on_closed};
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};

	f->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	f->http = http_client_new(f->loop, NULL);
	for (size_t i = 0; i < ENGINES; i++) {
		f->engines[i].fixture = f;
		f->engines[i].status = statuses[i];
		f->engines[i].httpd = httpd_new(
		    f->loop, &settings, &ops, &f->engines[i], NULL);
	}
}

/* Reserves memory at both engines. */
static struct reservations *
reserve(struct fixture *f)
{
	char addresses[ENGINES][32];
	struct reservation_request requests[ENGINES];

	for (size_t i = 0; i < ENGINES; i++) {
		g_snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%d",
		    httpd_port(f->engines[i].httpd));
		requests[i] = (struct reservation_request){
		    .address = addresses[i], .tokens = 1000 * (i + 1)};
	}
	return reservations_new(f->loop, f->http, "r1", NULL, 3000, requests,
	    ENGINES, on_result, on_notice, f);
}

/* Stops the engines and frees the fixture. */
static void
tear_down(struct fixture *f)
{
	http_client_free(f->http);
	for (size_t i = 0; i < ENGINES; i++)
		httpd_free(f->engines[i].httpd);
	ev_timer_stop(f->loop, &f->timeout);
	ev_loop_destroy(f->loop);
}

/* The result is as expected, and granted reservations are released. */
static void
test_reserve(gconstpointer data)
{
	const struct reservation_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct reservations *reservations;

	set_up(&f, c->statuses);
	reservations = reserve(&f);
	while (!f.answered)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpint(f.granted, ==, c->granted);
	g_assert_cmpstr(reservations_id(reservations, 1), ==, "r1-1");
	reservations_free(reservations);
	for (size_t i = 0; i < ENGINES; i++) {
		while (f.engines[i].releases < c->releases[i])
			ev_run(f.loop, EVRUN_ONCE);
		g_assert_cmpint(
		    f.engines[i].tokens, ==, 1000 * ((int64_t)i + 1));
	}
	tear_down(&f);
}

/* Reservations are renewed until they are released. */
static void
test_renew(void)
{
	static const int statuses[ENGINES] = {200, 200};
	struct fixture f = {0};
	struct reservations *reservations;

	set_up(&f, statuses);
	reservations = reserve(&f);
	while (f.engines[0].reserves < 2 || f.engines[1].reserves < 2)
		ev_run(f.loop, EVRUN_ONCE);
	reservations_free(reservations);
	while (f.engines[0].releases < 1 || f.engines[1].releases < 1)
		ev_run(f.loop, EVRUN_ONCE);
	tear_down(&f);
}

/* Reservations freed before a response are released, as they may exist. */
static void
test_free_early(void)
{
	static const int statuses[ENGINES] = {0, 0};
	struct fixture f = {0};
	struct reservations *reservations;

	set_up(&f, statuses);
	reservations = reserve(&f);
	while (f.engines[0].reserves < 1 || f.engines[1].reserves < 1)
		ev_run(f.loop, EVRUN_ONCE);
	reservations_free(reservations);
	while (f.engines[0].releases < 1 || f.engines[1].releases < 1)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_false(f.answered);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/reservations/reserve", test_reserve);
	g_test_add_func(
	    "/reservations/reservations are renewed until they are released",
	    test_renew);
	g_test_add_func(
	    "/reservations/reservations freed before a response are released",
	    test_free_early);
	return g_test_run();
}
