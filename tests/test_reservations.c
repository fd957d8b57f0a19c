/*
 * Memory reservations at several engines: granted by all or released, renewed
 * while they are needed, and released even if a response was lost. Guards
 * against memory that is kept for a prompt that no engine begins.
 */
#include <string.h>

#include <jansson.h>

#include "base/httpd.h"
#include "cases.h"
#include "gateway/reservations.h"
#include "policy/reservation_use.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define ENGINES	       2
#define HOLD_MS	       3000

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
	int reports;
	const char *report; /* NULL for no response */
	int64_t tokens;
};

struct fixture {
	struct ev_loop *loop;
	ev_timer timeout;
	struct http_client *http;
	struct engine engines[ENGINES];
	bool answered;
	bool granted;
	bool unused; /* for too long */
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
	json_t *order;
	const char *op;

	if (strcmp(httpd_request_path(request), "/report") == 0) {
		engine->reports++;
		if (engine->report != NULL)
			httpd_respond(request, 200, NULL, 0, engine->report,
			    strlen(engine->report));
		return;
	}
	order = json_loadb((const char *)body, length, 0, NULL);
	op = json_string_value(json_object_get(order, "Op"));
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

/* Records that the memory was given up. */
static void
on_unused(void *data)
{
	((struct fixture *)data)->unused = true;
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

/*
 * Reserves memory at both engines, which may go unused for some time; the first
 * token is expected at once.
 */
static struct reservations *
reserve(struct fixture *f, int64_t unused_max_ms)
{
	static const struct reservations_ops ops = {
	    .answered = on_result, .notice = on_notice, .unused = on_unused};
	const struct reservations_settings settings = {
	    .loop = f->loop,
	    .http = f->http,
	    .clock = clock_system(),
	    .hold_ms = HOLD_MS,
	    .unused_max_ms = unused_max_ms,
	};
	char addresses[ENGINES][32];
	struct reservation_request requests[ENGINES];

	for (size_t i = 0; i < ENGINES; i++) {
		g_snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%d",
		    httpd_port(f->engines[i].httpd));
		requests[i] = (struct reservation_request){
		    .address = addresses[i], .tokens = 1000 * (i + 1)};
	}
	return reservations_new(&settings, "r1", requests, ENGINES, &ops, f);
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
	reservations = reserve(&f, 9000);
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
	reservations = reserve(&f, 9000);
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
	reservations = reserve(&f, 9000);
	while (f.engines[0].reserves < 1 || f.engines[1].reserves < 1)
		ev_run(f.loop, EVRUN_ONCE);
	reservations_free(reservations);
	while (f.engines[0].releases < 1 || f.engines[1].releases < 1)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_false(f.answered);
	tear_down(&f);
}

#define REPORT(state)                                                          \
	"{\"Tickets\":[{\"Id\":\"r0-0\",\"State\":\"used\"},{\"Id\":\"r1-0\"," \
	"\"Tokens\":1000,\"State\":\"" state "\",\"AgeMs\":900}]}"
#define UNUSED_MAX_MS (HOLD_MS + 2 * RESERVATIONS_RENEW_MS + 500)

/* The memory may go unused until its second renewal is due. */
static const struct use_case {
	const char *name;
	const char *report; /* of the first engine */
	bool is_answered; /* the prompt's response begins */
	bool given_up;
} use_cases[] = {
    {"memory that a request uses is kept", REPORT("used"), false, false},
    {"memory that no request uses is given up", REPORT("held"), false, true},
    {"memory is kept for a response that has begun", REPORT("held"), true,
	false},
    {"memory of an engine without a report is given up", NULL, false, true},
    {"memory that a report does not list is given up", "{\"Tickets\":[]}",
	false, true},
    {"a report of another form tells nothing", "{\"Tickets\":{\"Id\":1}}",
	false, true},
};

/* Guards against memory that is renewed though nothing uses it. */
static void
test_use(gconstpointer data)
{
	static const int statuses[ENGINES] = {200, 200};
	const struct use_case *c = &use_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct reservations *reservations;

	set_up(&f, statuses);
	f.engines[0].report = c->report;
	reservations = reserve(&f, UNUSED_MAX_MS);
	if (c->is_answered)
		reservations_set_used(reservations);
	while (!f.unused && f.engines[1].reserves < 3)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpint(f.unused, ==, c->given_up);
	g_assert_cmpint(f.engines[0].reports, ==, c->is_answered ? 0 : 1);
	g_assert_cmpint(f.engines[1].reports, ==, 0);
	reservations_free(reservations);
	while (f.engines[0].releases < 1 || f.engines[1].releases < 1)
		ev_run(f.loop, EVRUN_ONCE);
	tear_down(&f);
}

static const struct step_case {
	const char *name;
	int64_t age_ms;
	bool used;
	enum reservation_step step;
} step_cases[] = {
    {"a prompt that is not due yet", 1000, false, RESERVATION_RENEW},
    {"one that should have begun", 2000, false, RESERVATION_RENEW_AND_ASK},
    {"the last renewal expires within the limit", 4500, false,
	RESERVATION_RENEW_AND_ASK},
    {"one more would not", 4501, false, RESERVATION_GIVE_UP},
    {"a slow prefill uses its memory", 30000, true, RESERVATION_RENEW},
};

/* What becomes of memory by its age: the first token is due after 2 s. */
static void
test_step(gconstpointer data)
{
	const struct step_case *c = &step_cases[GPOINTER_TO_SIZE(data)];
	const struct reservation_use use = {
	    .hold_ms = 3500,
	    .renew_ms = 1000,
	    .unused_max_ms = 9000,
	    .expected_ms = 2000,
	    .used = c->used,
	};

	g_assert_cmpint(reservation_use_next(&use, c->age_ms), ==, c->step);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/reservations/reserve", test_reserve);
	ADD_CASES(use_cases, "/reservations/use", test_use);
	ADD_CASES(step_cases, "/reservations/step", test_step);
	g_test_add_func(
	    "/reservations/reservations are renewed until they are released",
	    test_renew);
	g_test_add_func(
	    "/reservations/reservations freed before a response are released",
	    test_free_early);
	return g_test_run();
}
