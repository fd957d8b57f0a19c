/*
 * Targets of requests, through a whole gateway. Guards against an upstream that
 * runs another path than the caller has sent.
 */
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_caller.h"
#include "upstream/upstream.h"

#define CLOSE_AFTER "Connection: close\r\n"
#define ALL_VISIBLE "!\"$%&'()*+,-./09:;<=>?@AZ[\\]^_`az{|}~"

static const struct target_case {
	const char *name;
	const char *target;
	const char *arrived; /* at the upstream; NULL for none */
	const char *status; /* of the response */
} cases[] = {
    {"a dot segment stays", "/once/./x", "/once/./x", "200"},
    {"two dots inside the prefix stay", "/once/a/../x", "/once/a/../x", "200"},
    {"two dots that leave the prefix stay", "/once/../again/x",
	"/once/../again/x", "200"},
    {"encoded dots stay", "/once/%2e%2E/x", "/once/%2e%2E/x", "200"},
    {"a dot segment at the end stays", "/once/..", "/once/..", "200"},
    {"empty segments stay", "/once//x///", "/once//x///", "200"},
    {"upper and lower case of an encoding stay", "/once/%2f%2F%c3%A9",
	"/once/%2f%2F%c3%A9", "200"},
    {"a wrong encoding stays", "/once/%zz%", "/once/%zz%", "200"},
    {"an encoded fragment sign stays", "/once/x%23y", "/once/x%23y", "200"},
    {"a query stays", "/once/x?a=/../b&c=%20+%2B", "/once/x?a=/../b&c=%20+%2B",
	"200"},
    {"an empty query stays", "/once/x?", "/once/x?", "200"},
    {"a query behind a query stays", "/once/x?a?b??", "/once/x?a?b??", "200"},
    {"dots in the query stay", "/once/x?/./../", "/once/x?/./../", "200"},
    {"all visible characters stay", "/once/" ALL_VISIBLE, "/once/" ALL_VISIBLE,
	"200"},
    {"a colon in the first segment stays", "/once/a:b@c", "/once/a:b@c", "200"},
    {"an absolute target arrives as its path", "http://h/once/./x?y",
	"/once/./x?y", "200"},
    {"an absolute target's host goes before the header", "http://other/once/x",
	NULL, "404"},
    {"an absolute target without a path has no route", "http://h", NULL, "404"},
    {"a path that only reads as a prefix when decoded has no route",
	"/%6fnce/x", NULL, "404"},
    {"an encoded slash is no part of the prefix", "/once%2fx", NULL, "404"},
    {"a fragment is invalid", "/once/x#y", NULL, "400"},
    {"a fragment in a query is invalid", "/once/x?y#z", NULL, "400"},
    {"an octet above 127 is invalid", "/once/\xc3\xa9", NULL, "400"},
    {"a control character is invalid", "/once/\x01", NULL, "400"},
    {"a target that is no path is invalid", "once/x", NULL, "400"},
    {"another scheme is invalid", "ftp://h/once/x", NULL, "400"},
    {"an asterisk has no route", "*", NULL, "404"},
};

/* Runs one case. */
static void
test_target(gconstpointer data)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_OK};
	const struct target_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct raw_caller caller = {0};
	g_autofree char *status = g_strdup_printf(" %s ", c->status);

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	raw_caller_start(&caller, &f, c->target, "1.1", CLOSE_AFTER);
	RUN_UNTIL(&f, caller.ended);
	g_assert_nonnull(strstr(caller.response->str, status));
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==,
	    c->arrived != NULL);
	if (c->arrived != NULL)
		g_assert_cmpstr(
		    fake_platform_request(f.fake_platform, 0)->target, ==,
		    c->arrived);
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	fixture_tear_down(&f);
}

/* Ignores a part of the response. */
static void
on_event(void *data, const struct upstream_event *event)
{
}

/* The call has ended. */
static void
on_end(void *data, const struct upstream_end *end)
{
	*(bool *)data = true;
}

static const struct plain_case {
	const char *name;
	const char *base; /* path of the service's URL */
	const char *path;
	const char *arrived;
} plain_cases[] = {
    {"dots stay on the way to a plain service", "", "/a/../b?c", "/a/../b?c"},
    {"a plain service's own path comes first", "/base", "/./x", "/base/./x"},
    {"a path without a slash gets one", "/base", "x", "/base/x"},
};

/* Keeps the target of a request to the plain service, and answers it. */
static void
on_request(void *data, struct httpd_request *request)
{
	char **arrived = data;

	*arrived = g_strdup(httpd_request_target(request));
	httpd_respond(request, 200, NULL, 0, "", 0);
}

/* A response was sent. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

/* Runs one case of a plain service behind a sidecar. */
static void
test_plain(gconstpointer data)
{
	static const struct upstream_call_ops ops = {on_event, on_end};
	static const struct httpd_ops service_ops = {
	    .request = on_request, .closed = on_closed};
	static const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = 100,
	    .bodies_max_bytes = 100,
	};
	const struct plain_case *c = &plain_cases[GPOINTER_TO_SIZE(data)];
	const struct upstream_request request = {
	    .work = WORK_CALL, .id = "r1", .method = "POST", .path = c->path};
	g_autofree char *arrived = NULL;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct httpd *service = httpd_new(
	    loop, &settings, &service_ops, &arrived, NULL);
	struct http_client *http = http_client_new(loop, NULL);
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d%s", httpd_port(service), c->base);
	struct upstream *upstream = upstream_plain_new(http, url);
	bool ended = false;

	upstream_start(upstream, &request, &ops, &ended);
	while (!ended)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpstr(arrived, ==, c->arrived);
	upstream_free(upstream);
	http_client_free(http);
	httpd_free(service);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/request_target", test_target);
	ADD_CASES(plain_cases, "/request_target", test_plain);
	return g_test_run();
}
