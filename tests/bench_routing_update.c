/*
 * Cost of configurations in CPU time and memory: the first one and the change
 * of one route, at a gateway that watches the store and at one that gets items.
 * Run by hand for the design size; --routes N sets another size. In the tests,
 * --short runs it with few routes and checks what is sent, not the time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ev.h>
#include <glib.h>
#include <malloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "gateway/routing_update.h"

#define DESIGN_ROUTES	     20000
#define DESIGN_ORGANISATIONS 260
#define SHORT_ROUTES	     1400
#define HOSTS		     40
#define SERVICES	     40
#define BYTES_PER_KB	     1024
/* Bytes of an update for one route, with the version item. */
#define CHANGE_MAX_BYTES 1024

/* Settings of a run. */
struct run {
	int routes;
};

/* One gateway's configuration. */
struct gateway {
	struct ev_loop *loop;
	struct routing_update *update;
	uint64_t version; /* that was applied last */
	int64_t longest_us; /* iteration of the loop in the last change */
	int64_t total_us; /* the same */
	int iterations;
};

static void
on_applied(void *data, uint64_t version)
{
	((struct gateway *)data)->version = version;
}

static void
on_failed(void *data, uint64_t version, bool had_all)
{
	g_error("a change could not be applied");
}

static const struct routing_update_ops ops = {
    .applied = on_applied, .failed = on_failed};

/* Returns the text of a configuration; `changed` is the name of one route. */
static char *
make_object(int routes, int version, const char *changed)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "{\"Metadata\":{\"Name\":\"main\",\"Revision\":%d},\"Spec\":{"
	    "\"Version\":%d,\"Routes\":[",
	    version, version);
	for (int i = 0; i < routes; i++) {
		g_autofree char *name = g_strdup_printf("route-%d", i);

		g_string_append_printf(text,
		    "%s{\"Name\":\"%s\",\"Host\":\"host-%d.example\","
		    "\"PathPrefix\":\"/v1/p%d/\",\"Kind\":\"stream\","
		    "\"Service\":\"service-%d\",\"TimeoutMs\":20000,"
		    "\"LatencyTargetMs\":250,\"GapTargetMs\":250,"
		    "\"Priority\":%d,\"Attempts\":2,\"Sticky\":true}",
		    i > 0 ? "," : "", i == 7 ? changed : name, i % HOSTS, i,
		    i % SERVICES, i % 3);
	}
	g_string_append(text, "],\"Services\":[");
	for (int i = 0; i < SERVICES; i++)
		g_string_append_printf(text,
		    "%s{\"Name\":\"service-%d\",\"ColdS\":1.5,\"ColdPerS\":26,"
		    "\"Engine\":{\"read_per_s\":206000,\"KvTokens\":197200,"
		    "\"Slots\":12,\"step_ms\":1.02}}",
		    i > 0 ? "," : "", i);
	g_string_append(text, "],\"Tenants\":[");
	for (int i = 0; i < DESIGN_ORGANISATIONS; i++)
		g_string_append_printf(text,
		    "%s{\"Name\":\"organisation-%d\",\"Keys\":[\"key-%d-a\","
		    "\"key-%d-b\"],\"Priority\":%d}",
		    i > 0 ? "," : "", i, i, i, i % 3);
	g_string_append(text, "],\"Limits\":{\"BodyBytes\":8000000}}}");
	return g_string_free(text, FALSE);
}

/* Returns the CPU time of this thread in microseconds. */
static int64_t
now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return time_diff_us(now, (struct timespec){0});
}

/* Returns the allocated heap in KiB. */
static size_t
heap_kb(void)
{
	const struct mallinfo2 info = mallinfo2();

	return (info.uordblks + info.hblkhd) / BYTES_PER_KB;
}

/* Counts CPU time without other work since a start. */
static void
count_slice(struct gateway *gateway, int64_t start)
{
	int64_t spent = now_us() - start;

	gateway->iterations++;
	gateway->total_us += spent;
	gateway->longest_us = MAX(gateway->longest_us, spent);
}

/* Runs the loop until the change that began at a time is applied. */
static void
finish(struct gateway *gateway, const char *what, int64_t start)
{
	count_slice(gateway, start);
	while (routing_update_is_busy(gateway->update)) {
		start = now_us();
		ev_run(gateway->loop, EVRUN_ONCE);
		count_slice(gateway, start);
	}
	printf("# %-38s %8.2f ms, longest slice %6.2f ms of %3d, heap %zu KB\n",
	    what, (double)gateway->total_us / US_PER_MS,
	    (double)gateway->longest_us / US_PER_MS, gateway->iterations,
	    heap_kb());
	gateway->total_us = 0;
	gateway->longest_us = 0;
	gateway->iterations = 0;
}

/* Starts a gateway without a configuration. */
static void
gateway_init(struct gateway *gateway)
{
	*gateway = (struct gateway){.loop = ev_loop_new(EVFLAG_AUTO)};
	gateway->update = routing_update_new(
	    gateway->loop, clock_system(), &ops, gateway);
}

/* Stops a gateway. */
static void
gateway_clear(struct gateway *gateway)
{
	routing_update_free(gateway->update);
	ev_loop_destroy(gateway->loop);
}

/* Gives the watching gateway an object, as the store's response has it. */
static void
take_object(struct gateway *gateway, const struct run *run, int version,
    const char *changed, const char *what)
{
	g_autofree char *text = make_object(run->routes, version, changed);
	int64_t start = now_us();
	json_t *object = json_loads(text, 0, NULL);

	printf("# %-38s %8.2f ms for %zu KB\n", "parse the object",
	    (double)(now_us() - start) / US_PER_MS,
	    strlen(text) / BYTES_PER_KB);
	start = now_us();
	routing_update_add_object(gateway->update, object, (uint64_t)version);
	json_decref(object);
	finish(gateway, what, start);
}

/* Sends one gateway's changes to another; returns their size in bytes. */
static size_t
send_changes(const struct gateway *from, struct gateway *to, const char *what)
{
	uint64_t base;
	int64_t start = now_us();
	g_autoptr(GString)
	    text = routing_update_encode(from->update, to->version, &base);

	printf("# %-38s %8.2f ms for %zu bytes\n", "encode for a peer",
	    (double)(now_us() - start) / US_PER_MS, text->len);
	start = now_us();
	g_assert_true(routing_update_add_items(to->update, base, from->version,
	    (const uint8_t *)text->str, text->len));
	finish(to, what, start);
	return text->len;
}

/* Both gateways get a configuration and a change of one route. */
static void
test_sizes(gconstpointer data)
{
	const struct run *run = data;
	struct gateway watcher;
	struct gateway peer;
	const struct route *route;

	gateway_init(&watcher);
	gateway_init(&peer);
	printf("# %d routes, %d organisations, heap %zu KB\n", run->routes,
	    DESIGN_ORGANISATIONS, heap_kb());
	take_object(&watcher, run, 1, "a", "first object at a watcher");
	send_changes(&watcher, &peer, "first items at a peer");
	take_object(&watcher, run, 2, "b", "change of a route at a watcher");
	g_assert_cmpuint(
	    send_changes(&watcher, &peer, "change of a route at a peer"), <,
	    CHANGE_MAX_BYTES);
	route = routing_table_find_route(
	    routing_update_table(peer.update), "host-7.example", "/v1/p7/x");
	g_assert_cmpstr(route->name, ==, "b");
	g_assert_cmpuint(routing_update_table(peer.update)->version, ==, 2);
	gateway_clear(&peer);
	gateway_clear(&watcher);
}

int
main(int argc, char **argv)
{
	struct run run = {.routes = DESIGN_ROUTES};

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--short") == 0)
			run.routes = SHORT_ROUTES;
		else if (strcmp(argv[i], "--routes") == 0 && i + 1 < argc)
			run.routes = atoi(argv[i + 1]);
	}
	g_test_init(&argc, &argv, NULL);
	routing_update_init_process();
	g_test_add_data_func("/routing_update/a change of one route costs a "
			     "peer what it changes",
	    &run, test_sizes);
	return g_test_run();
}
