/*
 * A gateway whose upstream sends responses without end, made at random from the
 * test's seed: heads, lines, series of interim responses, chunk extensions,
 * trailers, events and bodies, after a sound or damaged beginning. Guards
 * against memory or time without bound, and against a crash.
 */
#include <string.h>

#include <malloc.h>
#include <sodium.h>

#include "endless_server.h"
#include "gateway_fixture.h"

#define ROUNDS 40
/* Requests that each other upstream already has, so that i-0 is preferred. */
#define OTHERS_RUNNING 2
/*
 * Bytes that may be sent before the connection is closed, most of them in
 * socket buffers, where a limit of bytes ends the response.
 */
#define LIMITED_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define CLOSE_ROUNDS	  2000
/* Heap that one response may take; not seen under the address sanitizer. */
#define HEAP_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define INTERIM_MAX    4
#define FIELDS_MAX     12
#define CHUNKS_MAX     4
#define UNIT_MAX       300

/* Bytes that mean something in a head, a chunk or an event, for damage. */
static const char special_bytes[] = "\r\n\t :;=,\"0afx\\{}\x7f\xff";

/* Returns a random number below a limit. */
static int
below(int limit)
{
	return g_test_rand_int_range(0, limit);
}

/* Appends random bytes without line ends; some of them special. */
static void
append_text(GString *out, int max)
{
	int count = 1 + below(max);

	for (int i = 0; i < count; i++) {
		char byte = below(8) == 0
		    ? special_bytes[below(sizeof(special_bytes) - 1)]
		    : (char)g_test_rand_int_range(' ', 127);

		g_string_append_c(
		    out, byte == '\r' || byte == '\n' ? '.' : byte);
	}
}

/* Appends a header line, which now and then has no name. */
static void
append_field(GString *out)
{
	if (below(8) > 0)
		g_string_append_printf(out, "X-%d: ", below(1000));
	append_text(out, UNIT_MAX);
	g_string_append(out, below(4) == 0 ? "\n" : "\r\n");
}

/* Appends up to max header lines. */
static void
append_fields(GString *out, int max)
{
	int count = below(max + 1);

	for (int i = 0; i < count; i++)
		append_field(out);
}

/* Appends an interim response. */
static void
append_interim(GString *out)
{
	static const char *const lines[] = {
	    "100 Continue", "102 Processing", "103 Early Hints", "199 X"};

	g_string_append_printf(
	    out, "HTTP/1.1 %s\r\n", lines[below(G_N_ELEMENTS(lines))]);
	append_fields(out, 2);
	g_string_append(out, "\r\n");
}

/* Appends a response's status line, by random if NULL, and some headers. */
static void
append_head(GString *out, const char *status)
{
	static const char *const lines[] = {
	    "200 OK", "200 OK", "503 Full", "404 None"};
	int interim_count = below(INTERIM_MAX);

	for (int i = 0; i < interim_count; i++)
		append_interim(out);
	g_string_append_printf(out,
	    "HTTP/1.1 %s\r\nHeatherturn-Attempt-Id: r1\r\n"
	    "Heatherturn-Server-Seal: seal\r\n",
	    status != NULL ? status : lines[below(G_N_ELEMENTS(lines))]);
	append_fields(out, FIELDS_MAX);
}

/* Appends the rest of a head with chunks, and some chunks with events. */
static void
append_chunks(GString *out, bool events)
{
	int count = below(CHUNKS_MAX);

	g_string_append_printf(out,
	    "Content-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	    events ? "text/event-stream" : "text/plain");
	for (int i = 1; i <= count; i++)
		g_string_append_printf(out, "e\r\nid: %d\ndata: 1\n\r\n", i);
}

/*
 * Makes the first bytes of a response and those that are then repeated. Returns
 * whether a limit of bytes ends the response; else its deadline does.
 */
static bool
make_response(enum endless_kind kind, GString *start, GString *repeated)
{
	append_head(start, kind == ENDLESS_EVENT ? "200 OK" : NULL);
	switch (kind) {
	case ENDLESS_HEAD:
		append_field(repeated);
		return true;
	case ENDLESS_HEADER_LINE:
		g_string_append(start, "X-Filler: ");
		append_text(repeated, UNIT_MAX);
		return true;
	case ENDLESS_INTERIM_RESPONSES:
		g_string_assign(start, "");
		append_interim(repeated);
		return true;
	case ENDLESS_TRAILER:
		append_chunks(start, below(2) == 0);
		g_string_append(start, "0\r\n");
		append_field(repeated);
		return true;
	case ENDLESS_CHUNK_EXTENSION:
		append_chunks(start, below(2) == 0);
		g_string_append(start, "10;");
		append_text(repeated, UNIT_MAX);
		return false;
	case ENDLESS_EVENT:
		append_chunks(start, true);
		g_string_append(start, "7fffffff\r\ndata: ");
		append_text(repeated, UNIT_MAX);
		return true;
	case ENDLESS_BODY:
		g_string_append(start, "\r\n");
		append_text(repeated, UNIT_MAX);
		if (below(2) == 0)
			g_string_append(repeated, "\n\n");
		return false;
	}
	g_assert_not_reached();
}

/* Makes all upstreams but i-0 busier. */
static void
prefer_first(struct fixture *f)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (strcmp(upstream->id, "i-0") != 0)
			upstream->peers.running = OTHERS_RUNNING;
	}
}

/* Returns the heap in use; 0 under the address sanitizer. */
static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Sends a request and waits for its end, with a limit of the heap. */
static void
request(struct fixture *f, const char *path)
{
	size_t before = heap_bytes();

	f->done = false;
	fixture_call(f, path, FIXTURE_KEY);
	while (!f->done) {
		ev_run(f->loop, EVRUN_ONCE);
		g_byte_array_set_size(f->body, 0);
		g_assert_cmpuint(heap_bytes(), <, before + HEAP_BYTES_MAX);
	}
}

/* Returns the path of a request that meets a response of this kind. */
static const char *
path_of(enum endless_kind kind, bool limited)
{
	if (kind == ENDLESS_EVENT)
		return "/stream/x";
	return limited ? "/again/x" : "/quick/x";
}

/*
 * Sends a request to an endless upstream. It ends, the upstream's connection is
 * closed, and where there is time the request is served by another upstream, as
 * the next one is.
 */
static void
run_round(enum endless_kind kind)
{
	enum fake_platform_step step = kind == ENDLESS_EVENT ? FAKE_STEP_STREAM
							     : FAKE_STEP_OK;
	const enum fake_platform_step steps[] = {step, step, step, step};
	struct fixture f = {0};
	g_autoptr(GString) start = g_string_new(NULL);
	g_autoptr(GString) repeated = g_string_new(NULL);
	bool limited = make_response(kind, start, repeated);
	const char *path = path_of(kind, limited);
	struct endless_server *server;

	fixture_set_up(&f);
	server = endless_server_new_bytes(f.loop, start, repeated);
	fake_platform_set_upstream_port(
	    f.fake_platform, 0, endless_server_port(server));
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	prefer_first(&f);
	request(&f, path);
	for (int i = 0; i < CLOSE_ROUNDS && !endless_server_is_closed(server);
	     i++)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpuint(endless_server_bytes(server), >, 0);
	g_assert_true(endless_server_is_closed(server));
	if (limited) {
		g_assert_cmpint(f.status, ==, 200);
		g_assert_cmpuint(
		    endless_server_bytes(server), <, LIMITED_BYTES_MAX);
		request(&f, path);
		g_assert_cmpint(f.status, ==, 200);
		g_assert_cmpuint(
		    fake_platform_request_count(f.fake_platform), ==, 2);
	}
	endless_server_free(server);
	fixture_tear_down(&f);
}

/* Runs rounds of one kind. */
static void
test_endless(gconstpointer data)
{
	for (int round = 0; round < ROUNDS; round++)
		run_round((enum endless_kind)GPOINTER_TO_INT(data));
}

static const struct kind_case {
	const char *name;
	enum endless_kind kind;
} cases[] = {
    {"heads without end", ENDLESS_HEAD},
    {"header lines without end", ENDLESS_HEADER_LINE},
    {"series of interim responses without end", ENDLESS_INTERIM_RESPONSES},
    {"trailers without end", ENDLESS_TRAILER},
    {"chunk extensions without end", ENDLESS_CHUNK_EXTENSION},
    {"event lines without end", ENDLESS_EVENT},
    {"bodies without end", ENDLESS_BODY},
};

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/endless/", cases[i].name, NULL);

		g_test_add_data_func(
		    path, GINT_TO_POINTER((int)cases[i].kind), test_endless);
	}
	return g_test_run();
}
