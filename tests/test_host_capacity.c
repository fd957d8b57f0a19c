/*
 * What follows from a host's limits and use, as decisions without a host: one
 * of 0.09 of a core, 160 MB and 20 Mbit/s, and one whose limits are unknown.
 */
#include <glib.h>

#include "cases.h"
#include "policy/host_capacity.h"

#define KIB ((size_t)1024)
#define MB  ((size_t)1000 * 1000)

static const struct host_limits small = {0.09, 160, 20.0};
static const struct host_limits tiny = {.memory_mb = 1};
static const struct host_limits unknown = {0};

static const struct buffer_case {
	const char *name;
	const struct host_limits *limits;
	struct host_use use;
	size_t bytes; /* of a default of 128 KiB */
} buffer_cases[] = {
    {"an unknown host buffers as much as by default", &unknown,
	{.open_requests = 5000, .buffered_bytes = 400 * MB}, 128 * KIB},
    {"few callers get the default", &small, {.open_requests = 20}, 128 * KIB},
    {"many callers share a quarter of the memory", &small,
	{.open_requests = 1000}, 40 * KIB * 1000 / 1024},
    {"callers get little while the buffers are full", &small,
	{.open_requests = 20, .buffered_bytes = 40 * MB}, 4 * KIB},
    {"a caller gets enough for an event, whatever their number", &small,
	{.open_requests = 100000}, 4 * KIB},
    {"no request is open", &small, {.open_requests = 0}, 128 * KIB},
};

/* Guards against buffers that together fill the memory. */
static void
test_buffer(gconstpointer data)
{
	const struct buffer_case *c = &buffer_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpuint(
	    host_capacity_buffer_max(c->limits, &c->use, 128 * KIB), ==,
	    c->bytes);
}

static const struct reader_case {
	const char *name;
	const struct host_limits *limits;
	size_t buffered_bytes;
	struct host_reader reader;
	bool disconnected;
} reader_cases[] = {
    {"no caller is cut at an unknown host", &unknown, 400 * MB,
	{60000, 250, true}, false},
    {"a caller that reads nothing is kept while there is room", &small, MB,
	{1900, 250, true}, false},
    {"a caller that reads nothing is cut before its upstream cuts off", &small,
	MB, {2000, 250, true}, true},
    {"a caller whose upstream is read may take its time", &small, MB,
	{5000, 250, false}, false},
    {"a caller past its gap is cut while the buffers fill up", &small, 20 * MB,
	{1100, 1000, false}, true},
    {"a caller within its gap is kept while the buffers fill up", &small,
	20 * MB, {900, 1000, false}, false},
    {"a lost segment is no reason", &small, 20 * MB, {400, 250, false}, false},
    {"a response without a gap limit has the least one", &small, 20 * MB,
	{600, 0, false}, true},
};

/* Guards against callers that fill the memory, and those cut for nothing. */
static void
test_reader(gconstpointer data)
{
	const struct reader_case *c = &reader_cases[GPOINTER_TO_SIZE(data)];
	const struct host_use use = {.buffered_bytes = c->buffered_bytes};

	g_assert_true(host_capacity_disconnects(c->limits, &use, &c->reader) ==
	    c->disconnected);
}

static const struct request_case {
	const char *name;
	const struct host_limits *limits;
	struct host_use use;
	double target_ms;
	enum host_shortage shortage;
} request_cases[] = {
    {"an unknown host takes all requests", &unknown,
	{1.0, 900.0, 9000, 900 * MB, 900 * MB}, 250.0, HOST_SHORTAGE_NONE},
    {"a busy host that is in time takes requests", &small,
	{.cpu_share = 0.09, .delay_ms = 100.0}, 250.0, HOST_SHORTAGE_NONE},
    {"a late host with time left takes requests", &small,
	{.cpu_share = 0.03, .delay_ms = 900.0}, 250.0, HOST_SHORTAGE_NONE},
    {"a request that would be late is rejected", &small,
	{.cpu_share = 0.085, .delay_ms = 130.0}, 250.0, HOST_SHORTAGE_CPU},
    {"a request with a later target is taken by the same host", &small,
	{.cpu_share = 0.085, .delay_ms = 130.0}, 6000.0, HOST_SHORTAGE_NONE},
    {"a request without a target is taken", &small,
	{.cpu_share = 0.09, .delay_ms = 900.0}, 0.0, HOST_SHORTAGE_NONE},
    {"a link that is full for longer than the target", &small,
	{.queued_bytes = MB}, 250.0, HOST_SHORTAGE_LINK},
    {"a link that is full for less than the target", &small,
	{.queued_bytes = MB}, 600.0, HOST_SHORTAGE_NONE},
    {"no memory is left, whatever the target", &small, {.open_requests = 2500},
	0.0, HOST_SHORTAGE_MEMORY},
    {"buffers and requests take memory together", &small,
	{.open_requests = 1500, .buffered_bytes = 36 * MB}, 0.0,
	HOST_SHORTAGE_MEMORY},
    {"a host of a megabyte has room for some requests", &tiny,
	{.open_requests = 10}, 0.0, HOST_SHORTAGE_NONE},
    {"memory is left", &small,
	{.open_requests = 1500, .buffered_bytes = 30 * MB}, 0.0,
	HOST_SHORTAGE_NONE},
};

/* Guards against requests rejected that this host could serve in time. */
static void
test_request(gconstpointer data)
{
	const struct request_case *c = &request_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpint(
	    host_capacity_check_request(c->limits, &c->use, c->target_ms), ==,
	    c->shortage);
}

static const struct close_case {
	const char *name;
	const struct host_limits *limits;
	struct host_use use;
	bool closes_now;
	bool closes;
} close_cases[] = {
    {"an unknown host keeps connections", &unknown,
	{1.0, 900.0, 9000, 900 * MB, 900 * MB}, false, false},
    {"a busy host in time keeps connections", &small, {0.09, 10.0, 0, 0, 0},
	false, false},
    {"a busy host that becomes late closes connections", &small,
	{0.08, 45.0, 0, 0, 0}, false, true},
    {"a use between both limits changes nothing: kept", &small,
	{0.065, 30.0, 0, 0, 0}, false, false},
    {"a use between both limits changes nothing: closed", &small,
	{0.065, 30.0, 0, 0, 0}, true, true},
    {"connections are kept again once the use has fallen", &small,
	{0.05, 30.0, 0, 0, 0}, true, false},
    {"a host whose memory fills up closes connections", &small,
	{0.0, 0.0, 1800, 0, 0}, false, true},
    {"a host whose link is full closes connections", &small,
	{0.0, 0.0, 0, 0, 200 * 1000}, false, true},
};

/* Guards against decisions that change with each measurement. */
static void
test_close(gconstpointer data)
{
	const struct close_case *c = &close_cases[GPOINTER_TO_SIZE(data)];

	g_assert_true(host_capacity_closes_connections(
			  c->limits, &c->use, c->closes_now) == c->closes);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(buffer_cases, "/host_capacity/buffer", test_buffer);
	ADD_CASES(reader_cases, "/host_capacity/reader", test_reader);
	ADD_CASES(request_cases, "/host_capacity/request", test_request);
	ADD_CASES(close_cases, "/host_capacity/close", test_close);
	return g_test_run();
}
