/*
 * Polls of the host list, with a fake in place of the HTTP client: each row of
 * failed polls has a log line with its reason, and one for its end.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "peer/documents.h"
#include "peer/mesh.h"
#include "store/hosts.h"

#define POLLS_MAX 4
#define HOST_LIST                                                         \
	"{\"hosts\":[{\"id\":\"h\",\"address\":\"127.0.0.1:1\",\"role\":" \
	"\"entry\",\"failure_domain\":\"a\",\"state\":\"live\"}]}"

/* The result of one poll. */
struct poll {
	int status; /* 0 for no response; -1 after the last poll */
	const char *body;
};

static const struct polls_case {
	const char *name;
	struct poll polls[POLLS_MAX];
	const char *logged; /* patterns of the whole log */
	const char *not_logged;
} cases[] = {
    {"a list has no line", {{200, HOST_LIST}, {200, HOST_LIST}, {-1, NULL}},
	"*", "*host list*"},
    {"a poll without a response has a line", {{0, NULL}, {-1, NULL}},
	"*\"warn\"*host list not polled*no response in test*", "*again*"},
    {"a poll with another status has a line", {{503, "x"}, {-1, NULL}},
	"*\"warn\"*host list not polled*status 503*", "*again*"},
    {"a list that is not valid has a line", {{200, "{}"}, {-1, NULL}},
	"*\"warn\"*host list not polled*not a valid host list*", "*again*"},
    {"a row of failed polls has one line and one for its end",
	{{0, NULL}, {503, "x"}, {200, HOST_LIST}, {-1, NULL}},
	"*host list not polled*host list polled again*\"failed_polls\":2*",
	"*not polled*not polled*"},
    {"each row has its lines",
	{{0, NULL}, {200, HOST_LIST}, {0, NULL}, {-1, NULL}},
	"*not polled*polled again*\"failed_polls\":1*not polled*", "*status*"},
};

static const struct http_call_ops *poll_ops;
static void *poll_data;

struct http_call *
http_client_start(struct http_client *client,
    const struct http_call_request *request, const struct http_call_ops *ops,
    void *data)
{
	poll_ops = ops;
	poll_data = data;
	return (struct http_call *)&poll_ops;
}

void
http_call_cancel(struct http_call *call)
{
}

/* Ends the poll in progress. */
static void
end_poll(const struct poll *poll)
{
	g_autoptr(GByteArray) body = g_byte_array_new();
	g_autoptr(GError) error = NULL;
	struct http_result result = {.status = poll->status, .body = body};

	if (poll->body != NULL)
		g_byte_array_append(body, (const uint8_t *)poll->body,
		    (guint)strlen(poll->body));
	if (poll->status == 0) {
		error = g_error_new_literal(g_quark_from_static_string("test"),
		    0, "no response in test");
		result.error = error;
	}
	poll_ops->done(poll_data, NULL, &result);
}

/* Makes the polls of a case. */
static void
run_polls(const struct polls_case *c)
{
	static const struct mesh_settings no_listener;
	struct mesh_settings settings = no_listener;
	struct link_identity identity = {
	    .process = "p", .failure_domain = "a", .address = ""};
	struct ev_loop *loop = ev_loop_new(0);
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;

	settings.identity = &identity;
	mesh = mesh_new(loop, clock_system(), &settings, NULL);
	documents = documents_new(loop, clock_system(), mesh, &identity);
	hosts = hosts_new(loop, clock_system(), NULL, documents, "http://x");
	for (size_t i = 0; c->polls[i].status >= 0; i++) {
		hosts_set_polling(hosts, true);
		ev_run(loop, EVRUN_ONCE);
		end_poll(&c->polls[i]);
		hosts_set_polling(hosts, false);
	}
	hosts_free(hosts);
	documents_free(documents);
	mesh_free(mesh);
	ev_loop_destroy(loop);
}

static void
test_polls(gconstpointer data)
{
	const struct polls_case *c = data;

	if (g_test_subprocess()) {
		run_polls(c);
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr(c->logged);
	g_test_trap_assert_stderr_unmatched(c->not_logged);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/hosts/polls/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_polls);
	}
	return g_test_run();
}
