/*
 * Stand-in for the platform: the object API with its rate limits and outages,
 * the lagging list of hosts, and the weight store's permits.
 */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define PERMITS_MAX	4096
#define RETRY_AFTER_S	1
#define SECONDS_PER_MIN 60

static double writes_per_s = 400.;
static double reads_per_s = 2000.;
static double permits_per_minute = 60.;
static int hosts_lag_ms = 1000;
static double latency_ms = 2.;

static const GOptionEntry options[] = {
    {"writes-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &writes_per_s,
	"writes allowed per second", "N"},
    {"reads-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &reads_per_s,
	"reads allowed per second; a watch counts as one", "N"},
    {"permits-per-minute", 0, 0, G_OPTION_ARG_DOUBLE, &permits_per_minute,
	"weight loads permitted per minute", "N"},
    {"hosts-lag-ms", 0, 0, G_OPTION_ARG_INT, &hosts_lag_ms,
	"lag of the list of hosts", "MS"},
    {"latency-ms", 0, 0, G_OPTION_ARG_DOUBLE, &latency_ms,
	"latency of each call", "MS"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const char *const call_names[CALL_KINDS] = {
    "reads", "watches", "lists", "writes", "deletes", "hosts", "permits"};

struct platform platform;

/* Initialises the state. */
static void
start(struct ev_loop *loop)
{
	platform.objects = objects_new();
	bucket_init(&platform.reads, reads_per_s, reads_per_s);
	bucket_init(&platform.writes, writes_per_s, writes_per_s);
	bucket_init(&platform.permits, permits_per_minute / SECONDS_PER_MIN,
	    MAX(1., permits_per_minute / 10.));
	TAILQ_INIT(&platform.watches);
	platform.hosts = json_array();
	platform.fault_percent = 100.;
	platform.write_log = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)json_decref);
	platform.permit_log = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)json_decref);
}

/* Frees the state. */
static void
stop(void)
{
	objects_free(platform.objects);
	json_decref(platform.hosts);
	json_decref(platform.pending_hosts);
	g_ptr_array_unref(platform.write_log);
	g_ptr_array_unref(platform.permit_log);
}

/* Creates a response without body. */
struct standin_response *
platform_response_new(struct httpd_request *request, int status)
{
	struct standin_response *response = g_new0(struct standin_response, 1);

	response->request = request;
	response->status = status;
	return response;
}

/* Whether this call is affected by a fault, if that is set. */
bool
platform_fault_applies(bool fault_set)
{
	return fault_set && standin_chance(platform.fault_percent);
}

/* Sends a response after the API's latency, longer during a slow fault. */
void
platform_respond(struct standin_response *response)
{
	double delay_ms = latency_ms;

	if (platform_fault_applies(platform.slow))
		delay_ms += (double)platform.fault_ms;
	standin_respond_later(response, (int64_t)delay_ms);
}

/* Responds with JSON after the API's latency; takes over the reference. */
void
platform_respond_json(struct httpd_request *request, json_t *json)
{
	struct standin_response *response = platform_response_new(request, 200);

	response->body = json_dumps(json, JSON_COMPACT);
	response->length = strlen(response->body);
	json_decref(json);
	platform_respond(response);
}

/* Responds with a status and no body. */
void
platform_respond_status(struct httpd_request *request, int status)
{
	struct standin_response *response = platform_response_new(
	    request, status);

	if (status == 429 || status == 503)
		response->retry_after_s = RETRY_AFTER_S;
	platform_respond(response);
}

/* Counts a call; false if refused: API down (503) or over the rate (429). */
bool
platform_admit(struct httpd_request *request, enum call_kind kind)
{
	bool write = kind == CALL_WRITE || kind == CALL_DELETE;
	struct bucket *bucket = write ? &platform.writes : &platform.reads;

	platform.calls[kind]++;
	if (platform_fault_applies(platform.down)) {
		platform.refused_down++;
		platform_respond_status(request, 503);
		return false;
	}
	if (bucket_take(bucket))
		return true;
	platform.rate_limited++;
	platform_respond_status(request, 429);
	return false;
}

/* The lag has passed: publishes the new list of hosts. */
static void
on_hosts_lag_expired(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	json_decref(platform.hosts);
	platform.hosts = platform.pending_hosts;
	platform.pending_hosts = NULL;
}

/* Sets the list of hosts, which is published after the lag. */
static void
set_hosts(struct httpd_request *request)
{
	json_t *body = standin_body_json(request);
	json_t *hosts = json_object_get(body, "hosts");

	if (!json_is_array(hosts)) {
		json_decref(body);
		standin_respond_error(
		    request, 400, "malformed", "hosts is not an array");
		return;
	}
	json_decref(platform.pending_hosts);
	platform.pending_hosts = json_incref(hosts);
	json_decref(body);
	ev_timer_stop(standin_loop(), &platform.hosts_timer);
	ev_timer_init(&platform.hosts_timer, on_hosts_lag_expired,
	    (double)hosts_lag_ms / MS_PER_S, 0.);
	ev_timer_start(standin_loop(), &platform.hosts_timer);
	standin_respond_json(request, 200, json_object());
}

/* Responds with the published list of hosts. */
static void
list_hosts(struct httpd_request *request)
{
	if (platform_admit(request, CALL_HOSTS))
		platform_respond_json(
		    request, json_pack("{s:O}", "hosts", platform.hosts));
}

/* Grants a permit to load weights, or responds 429 with Retry-After. */
static void
permit(struct httpd_request *request)
{
	struct standin_response *response;
	json_t *body;

	platform.calls[CALL_PERMIT]++;
	if (platform_fault_applies(platform.down)) {
		platform_respond_status(request, 503);
		return;
	}
	response = platform_response_new(request, 200);
	if (bucket_take(&platform.permits)) {
		body = standin_body_json(request);
		json_object_set_new(body, "wall_ms",
		    json_integer((json_int_t)standin_wall_ms()));
		standin_history_add(platform.permit_log, body, PERMITS_MAX);
	} else {
		platform.rate_limited++;
		response->status = 429;
		response->retry_after_s = (int)MAX(
		    1., SECONDS_PER_MIN / permits_per_minute);
	}
	platform_respond(response);
}

/* Sets the current fault, replacing the previous one. */
static void
set_fault(struct httpd_request *request)
{
	json_t *json = standin_body_json(request);
	const char *kind = json_string_value(json_object_get(json, "kind"));
	json_int_t ms = 0, percent = 100;

	json_unpack(json, "{s?I, s?I}", "ms", &ms, "percent", &percent);
	platform.fault_ms = ms;
	platform.fault_percent = (double)percent;
	platform.down = g_strcmp0(kind, "down") == 0;
	platform.slow = g_strcmp0(kind, "slow") == 0;
	platform.lose_write_responses = g_strcmp0(kind, "lose_write_answers") ==
	    0;
	json_decref(json);
	if (platform.down)
		watches_notify(NULL);
	standin_respond_json(request, 200, json_object());
}

/* Responds with all records. */
static void
respond_records(struct httpd_request *request)
{
	json_t *json = json_pack(
	    "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o}",
	    "objects", (json_int_t)objects_count(platform.objects), "waiting",
	    (json_int_t)platform.waiting, "peak_waiting",
	    (json_int_t)platform.peak_waiting, "conflicts",
	    (json_int_t)platform.conflicts, "limited",
	    (json_int_t)platform.rate_limited, "refused_down",
	    (json_int_t)platform.refused_down, "lost_answers",
	    (json_int_t)platform.lost_responses, "peak_reads_per_s",
	    (json_int_t)platform.reads.peak_per_s, "peak_writes_per_s",
	    (json_int_t)platform.writes.peak_per_s, "peak_permits_per_s",
	    (json_int_t)platform.permits.peak_per_s, "write_log",
	    standin_history_json(platform.write_log), "permit_log",
	    standin_history_json(platform.permit_log));

	for (int kind = 0; kind < CALL_KINDS; kind++)
		json_object_set_new(json, call_names[kind],
		    json_integer((json_int_t)platform.calls[kind]));
	standin_respond_json(request, 200, json);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle)(struct httpd_request *);
} routes[] = {
    {"GET", "/objects", objects_on_list},
    {"GET", "/hosts", list_hosts},
    {"POST", "/weights/permits", permit},
    {"POST", "/standin/hosts", set_hosts},
    {"POST", "/standin/fault", set_fault},
    {"GET", "/standin/records", respond_records},
};

/* Dispatches a request to its route. */
static void
on_request(struct httpd_request *request)
{
	const char *method = httpd_request_method(request);
	const char *path = httpd_request_path(request);

	if (g_str_has_prefix(path, "/objects/") && strlen(path) > 9) {
		objects_on_request(request, path + strlen("/objects/"));
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_str_equal(method, routes[i].method) &&
		    g_str_equal(path, routes[i].path)) {
			routes[i].handle(request);
			return;
		}
	}
	standin_respond_error(request, 404, "path", path);
}

/* Frees the watch or pending response of a closed request. */
static void
on_closed(struct httpd_request *request, bool complete)
{
	if (!watches_remove(request))
		standin_response_cancel(request);
}

static const struct standin_program program = {
    .name = "standin-platform",
    .summary = "Stand-in for the platform's object API and weight store.",
    .options = options,
    .start = start,
    .stop = stop,
    .request = on_request,
    .closed = on_closed,
};

int
main(int argc, char **argv)
{
	return standin_main(&program, argc, argv);
}
