/*
 * Discovery of gateways through the store: a gateway registers once, and again
 * when the store was restored from a copy that may lack it or its peers.
 */
#include <string.h>

#include <jansson.h>

#include "base/httpd.h"
#include "cases.h"
#include "gateway/registry.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define PEER	       "127.0.0.1:7"

static const struct registry_case {
	const char *name;
	bool restored; /* after the first write */
	bool own_in_copy;
	bool peer_in_copy;
	int writes; /* at the end */
} cases[] = {
    {"a gateway registers once", false, true, true, 1},
    {"a gateway registers again if a restored store lacks it", true, false,
	true, 2},
    {"a gateway that a restored store has is not written again", true, true,
	true, 1},
    {"peers that a restored store lacks are kept", true, false, false, 2},
};

struct fixture {
	struct ev_loop *loop;
	ev_timer timeout;
	struct httpd *httpd;
	struct http_client *http;
	struct link_identity identity;
	struct mesh *mesh;
	struct object_store *store;
	struct registry *registry;
	const char *era;
	bool has_own;
	bool has_peer;
	int writes;
	int reads;
};

/* Adds a gateway's object to a list. */
static void
add_gateway(json_t *items, const char *name, const char *address)
{
	json_array_append_new(items,
	    json_pack("{s:{s:s}, s:{s:s}}", "Metadata", "Name", name, "Spec",
		"Address", address));
}

/* Serves the list and counts writes. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct fixture *f = data;
	const struct http_header era = {"Store-Era", f->era};
	json_t *body = json_object();
	json_t *items = json_array();
	char *text;

	if (strcmp(httpd_request_method(request), "GET") != 0) {
		f->writes++;
		f->has_own = true;
	} else {
		f->reads++;
	}
	if (f->has_own)
		add_gateway(items, "g", "127.0.0.1:1");
	if (f->has_peer)
		add_gateway(items, "h", PEER);
	json_object_set_new(body, "Items", items);
	json_object_set_new(body, "StoreRevision", json_integer(5));
	text = json_dumps(body, JSON_COMPACT);
	httpd_respond(request, 200, &era, 1, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Calls have no state. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

/* Fails a case that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the case did not end");
}

/* Starts the store and the registry. */
static void
set_up(struct fixture *f)
{
	static const struct httpd_ops ops = {
	    .request = on_request, .closed = on_closed};
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	const struct mesh_settings mesh = {
	    .identity = &f->identity, .listen = "127.0.0.1:0"};
	g_autofree char *address = NULL;

	f->era = "1";
	f->has_peer = true;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	f->identity = (struct link_identity){.process = "g",
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .address = "127.0.0.1:1",
	    .cluster_key = "secret"};
	f->httpd = httpd_new(f->loop, &settings, &ops, f, NULL);
	address = g_strdup_printf("127.0.0.1:%d", httpd_port(f->httpd));
	f->http = http_client_new(f->loop, NULL);
	f->mesh = mesh_new(f->loop, clock_system(), &mesh, NULL);
	f->store = object_store_new(f->http, clock_system(), address, NULL);
	f->registry = registry_new(f->loop, f->store, f->mesh, &f->identity);
}

/* Frees all. */
static void
tear_down(struct fixture *f)
{
	registry_free(f->registry);
	object_store_free(f->store);
	mesh_free(f->mesh);
	http_client_free(f->http);
	httpd_free(f->httpd);
	ev_timer_stop(f->loop, &f->timeout);
	ev_loop_destroy(f->loop);
}

/* Returns whether the peer is known. */
static bool
has_peer(const struct fixture *f)
{
	size_t count;
	const char *const *peers = mesh_peers(f->mesh, &count);

	for (size_t i = 0; i < count; i++) {
		if (strcmp(peers[i], PEER) == 0)
			return true;
	}
	return false;
}

/* Runs one case. */
static void
test_registry(gconstpointer data)
{
	const struct registry_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	int reads;

	set_up(&f);
	while (f.writes < 1 || !has_peer(&f))
		ev_run(f.loop, EVRUN_ONCE);
	if (c->restored) {
		f.era = "2";
		f.has_own = c->own_in_copy;
		f.has_peer = c->peer_in_copy;
		object_store_raise_era(f.store, 2);
	}
	reads = f.reads;
	while (f.reads < reads + 2) {
		ev_run(f.loop, EVRUN_ONCE);
		g_assert_true(has_peer(&f));
	}
	g_assert_cmpint(f.writes, ==, c->writes);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/registry", test_registry);
	return g_test_run();
}
