/*
 * A sidecar process that is asked to stop while its upstream works. The test is
 * its entry and its upstream. Guards against a sidecar that the platform has to
 * kill, and against calls whose entry is left to guess their outcome.
 */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "base/httpd.h"
#include "commands.h"
#include "node/node.h"
#include "stop_fixture.h"

#define SIDECAR_ARGUMENT "sidecar"
#define REQUEST		 "r1"
#define SUBMIT_PERIOD_S	 0.05
#define BODY_MAX_BYTES	 4096

struct fixture {
	struct stop_fixture stop;
	struct settings settings;
	struct node *entry;
	struct mesh_handler handler;
	struct httpd *service;
	char *sidecar; /* address of its links */
	bool started;
	bool finished;
	uint32_t outcome;
	uint32_t attempt;
	struct ev_timer submit_timer;
};

/* Answers health checks; other requests get no response. */
static void
on_service_request(void *data, struct httpd_request *request)
{
	if (strcmp(httpd_request_path(request), "/healthz") == 0)
		httpd_respond(request, 200, NULL, 0, "ok", 2);
}

/* Does nothing: the service has no state of its requests. */
static void
on_service_closed(void *data, struct httpd_request *request, bool complete)
{
}

static const struct httpd_ops service_ops = {
    .request = on_service_request,
    .closed = on_service_closed,
};

/* Handles the sidecar's messages about the call. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct fixture *f = data;

	if (message->kind == MESSAGE_START)
		f->started = true;
	if (message->kind != MESSAGE_FINISH)
		return;
	f->finished = true;
	f->outcome = message->finish.outcome;
}

static const struct mesh_ops entry_ops = {.message = on_message};

/* Sends the call, again as a new attempt until the sidecar has started one. */
static void
on_submit_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct fixture *f = timer->data;
	struct message message = {
	    .kind = MESSAGE_SUBMIT,
	    .attempt = ++f->attempt,
	    .submit =
		{
		    .organisation = (char *)"o",
		    .weight = 1,
		    .service = (char *)"s",
		    .work = WORK_CALL,
		    .class = WORK_SHORT,
		    .remaining_ms = 60000,
		    .window_bytes = BODY_MAX_BYTES,
		    .method = (char *)"POST",
		    .path = (char *)"/x",
		    .content_type = (char *)"text/plain",
		    .idempotency_key = (char *)"",
		},
	};

	if (f->started) {
		ev_timer_stop(loop, timer);
		return;
	}
	g_strlcpy(message.request, REQUEST, sizeof(message.request));
	mesh_send(node_mesh(f->entry), f->sidecar, &message);
}

/* Gives the sidecar a configuration in which its upstream is in service. */
static void
publish_config(struct fixture *f)
{
	Heatherturn__V1__Service service = HEATHERTURN__V1__SERVICE__INIT;
	Heatherturn__V1__FailureDomain domain =
	    HEATHERTURN__V1__FAILURE_DOMAIN__INIT;
	Heatherturn__V1__Upstream upstream = HEATHERTURN__V1__UPSTREAM__INIT;
	Heatherturn__V1__Service *services[] = {&service};
	Heatherturn__V1__FailureDomain *domains[] = {&domain};
	Heatherturn__V1__Upstream *upstreams[] = {&upstream};
	Heatherturn__V1__ConfigDocument document =
	    HEATHERTURN__V1__CONFIG_DOCUMENT__INIT;
	g_autofree uint8_t *packed = NULL;
	size_t length;

	service.id = (char *)"s";
	service.kind = HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_PLAIN;
	service.path_prefix = (char *)"/x";
	domain.id = (char *)"z";
	domain.state =
	    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_IN_SERVICE;
	upstream.id = (char *)"u1";
	upstream.service = (char *)"s";
	upstream.failure_domain = (char *)"z";
	upstream.sidecar_address = f->sidecar;
	upstream.slots = 4;
	upstream
	    .state = HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_IN_SERVICE;
	document.version = 1;
	document.services = services;
	document.n_services = 1;
	document.failure_domains = domains;
	document.n_failure_domains = 1;
	document.upstreams = upstreams;
	document.n_upstreams = 1;
	length = heatherturn__v1__config_document__get_packed_size(&document);
	packed = g_malloc(length);
	heatherturn__v1__config_document__pack(&document, packed);
	g_assert_true(documents_update(
	    node_documents(f->entry), DOCUMENT_CONFIG, 1, packed, length));
}

/* Readiness is not part of this test. */
static bool
is_ready(void *data)
{
	return true;
}

/* Starts the entry and the service within this process. */
static void
start_peers(struct fixture *f)
{
	static const struct node_ops node_ops = {.ready = is_ready};
	const struct httpd_settings service = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	g_autoptr(GError) error = NULL;

	f->settings = (struct settings){
	    .id = (char *)"e",
	    .role = ROLE_ENTRY,
	    .failure_domain = (char *)"z",
	    .listen = (char *)"127.0.0.1:0",
	    .peers = (char *[]){NULL},
	};
	f->entry = node_new(
	    f->stop.loop, clock_system(), &f->settings, &node_ops, f, &error);
	g_assert_no_error(error);
	f->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_START) | MESH_KIND(MESSAGE_FINISH) |
		MESH_KIND(MESSAGE_REJECT),
	    .ops = &entry_ops,
	    .data = f,
	};
	mesh_add_handler(node_mesh(f->entry), &f->handler);
	f->service = httpd_new(f->stop.loop, &service, &service_ops, f, &error);
	g_assert_no_error(error);
}

/* Starts a sidecar with these limits and has it run a call without an end. */
static void
set_up(struct fixture *f, const char *notice, const char *grace)
{
	g_autofree char *url = NULL, *peers = NULL;

	stop_fixture_open(&f->stop);
	f->sidecar = g_strdup_printf(
	    "127.0.0.1:%d", f->stop.ports[STOP_PORT_PEERS]);
	start_peers(f);
	publish_config(f);
	url = g_strdup_printf(
	    "--upstream-url=http://127.0.0.1:%d", httpd_port(f->service));
	peers = g_strdup_printf(
	    "--peers=127.0.0.1:%d", mesh_port(node_mesh(f->entry)));
	{
		const char *arguments[] = {"--upstream=u1", "--dialect=plain",
		    url, peers, notice, grace, NULL};

		stop_fixture_start(
		    &f->stop, SIDECAR_ARGUMENT, arguments, STOP_PORT_PEERS);
	}
	ev_timer_init(&f->submit_timer, on_submit_timer, 0.0, SUBMIT_PERIOD_S);
	f->submit_timer.data = f;
	ev_timer_start(f->stop.loop, &f->submit_timer);
	STOP_RUN_UNTIL(&f->stop, f->started);
}

/* Waits for the sidecar's exit, which must be orderly, and frees all. */
static void
tear_down(struct fixture *f)
{
	stop_fixture_close(&f->stop);
	ev_timer_stop(f->stop.loop, &f->submit_timer);
	mesh_remove_handler(node_mesh(f->entry), &f->handler);
	node_free(f->entry);
	httpd_free(f->service);
	g_free(f->sidecar);
}

/* A call without an end: the sidecar exits within its grace time. */
static void
test_call_without_end(void)
{
	struct fixture f = {0};

	set_up(&f, "--drain-notice-ms=100", "--grace-s=1.5");
	kill(f.stop.process, SIGTERM);
	tear_down(&f);
}

/* A call without an answer: its entry is told so before the exit. */
static void
test_unanswered_call(void)
{
	struct fixture f = {0};

	set_up(&f, "--drain-notice-ms=100", "--grace-s=1.5");
	kill(f.stop.process, SIGTERM);
	STOP_RUN_UNTIL(&f.stop, f.finished || f.stop.exited);
	g_assert_true(f.finished);
	g_assert_cmpuint(f.outcome, ==, FINISH_LOST);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], SIDECAR_ARGUMENT) == 0)
		return command_sidecar(argc - 1, argv + 1);
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func(
	    "/sidecar_stop/a call that does not end does not outlast "
	    "the grace time",
	    test_call_without_end);
	g_test_add_func("/sidecar_stop/a call without an answer at the exit is "
			"reported as lost",
	    test_unanswered_call);
	return g_test_run();
}
