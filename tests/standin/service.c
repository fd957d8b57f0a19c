/*
 * Stand-in for a plain service: responds on every path, and counts the
 * executions per Idempotency-Key and per request id.
 */
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define ECHO_MAX_BYTES 4096
#define CRASH_EXIT     137

static double latency_ms = 5.;
static double jitter_ms;
static double error_percent;
static double lost_response_percent;
static double hang_percent;

static const GOptionEntry options[] = {
    {"latency-ms", 0, 0, G_OPTION_ARG_DOUBLE, &latency_ms,
	"duration of an execution", "MS"},
    {"jitter-ms", 0, 0, G_OPTION_ARG_DOUBLE, &jitter_ms,
	"maximum random extra duration", "MS"},
    {"error-percent", 0, 0, G_OPTION_ARG_DOUBLE, &error_percent,
	"percentage of calls executed and answered with 500", "N"},
    {"lost-answer-percent", 0, 0, G_OPTION_ARG_DOUBLE, &lost_response_percent,
	"percentage of calls executed, then disconnected", "N"},
    {"hang-percent", 0, 0, G_OPTION_ARG_DOUBLE, &hang_percent,
	"percentage of calls executed and never answered", "N"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static struct {
	uint64_t executions;
	uint64_t in_flight;
	uint64_t peak_in_flight;
	uint64_t caller_disconnects; /* before the response */
	uint64_t lost_responses;
	uint64_t errors;
	uint64_t without_key;
	GHashTable *by_key;
	GHashTable *by_request;
} records;

/* Creates the counters. */
static void
start(struct ev_loop *loop)
{
	records.by_key = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	records.by_request = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees the counters. */
static void
stop(void)
{
	g_hash_table_unref(records.by_key);
	g_hash_table_unref(records.by_request);
}

/* Increments the counter of a name; returns its value, 0 for no name. */
static guint
increment(GHashTable *counts, const char *name)
{
	guint before;

	if (name == NULL)
		return 0;
	before = GPOINTER_TO_UINT(g_hash_table_lookup(counts, name));
	g_hash_table_replace(
	    counts, g_strdup(name), GUINT_TO_POINTER(before + 1));
	return before + 1;
}

/* Returns counters as JSON; sets the highest. */
static json_t *
counts_json(GHashTable *counts, guint *highest)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer name, value;

	*highest = 0;
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		json_object_set_new(
		    json, name, json_integer(GPOINTER_TO_UINT(value)));
		*highest = MAX(*highest, GPOINTER_TO_UINT(value));
	}
	return json;
}

/* Responds with all records. */
static void
respond_records(struct httpd_request *request)
{
	guint max_per_key, max_per_request;
	json_t *by_key = counts_json(records.by_key, &max_per_key);
	json_t *by_request = counts_json(records.by_request, &max_per_request);

	standin_respond_json(request, 200,
	    json_pack("{s:I, s:o, s:i, s:o, s:i, s:I, s:I, s:I, s:I, s:I, s:I}",
		"executions", (json_int_t)records.executions, "by_key", by_key,
		"max_per_key", (int)max_per_key, "by_request", by_request,
		"max_per_request", (int)max_per_request, "in_flight",
		(json_int_t)records.in_flight, "peak_in_flight",
		(json_int_t)records.peak_in_flight, "hung_up",
		(json_int_t)records.caller_disconnects, "lost_answers",
		(json_int_t)records.lost_responses, "errors",
		(json_int_t)records.errors, "without_key",
		(json_int_t)records.without_key));
}

/* Updates one setting from JSON if it is given. */
static void
read_setting(json_t *json, const char *name, double *value)
{
	json_t *setting = json_object_get(json, name);

	if (json_is_number(setting))
		*value = json_number_value(setting);
}

/* Changes latency and fault percentages, or crashes the process. */
static void
on_fault(struct httpd_request *request)
{
	json_t *json = standin_body_json(request);

	if (json_is_true(json_object_get(json, "crash")))
		_exit(CRASH_EXIT);
	read_setting(json, "latency_ms", &latency_ms);
	read_setting(json, "jitter_ms", &jitter_ms);
	read_setting(json, "error_percent", &error_percent);
	read_setting(json, "lost_answer_percent", &lost_response_percent);
	read_setting(json, "hang_percent", &hang_percent);
	json_decref(json);
	standin_respond_json(request, 200, json_object());
}

/* Returns the JSON text that describes an execution, with a short body. */
static char *
describe_execution(
    struct httpd_request *request, const char *key, guint execution)
{
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);
	json_t *json = json_pack("{s:I, s:s?, s:i, s:s?, s:s, s:s, s:I}",
	    "execution", (json_int_t)records.executions, "key", key,
	    "execution_of_key", (int)execution, "request_id",
	    httpd_request_header(request, "X-Request-Id"), "method",
	    httpd_request_method(request), "target",
	    httpd_request_target(request), "length", (json_int_t)length);
	char *text;

	if (length <= ECHO_MAX_BYTES)
		json_object_set_new(
		    json, "echo", json_stringn((const char *)body, length));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/* Executes a call; it is counted before any fault is simulated. */
static void
execute(struct httpd_request *request)
{
	const char *key = httpd_request_header(request, "Idempotency-Key");
	struct standin_response *response = g_new0(struct standin_response, 1);
	guint execution = increment(records.by_key, key);
	double delay_ms = latency_ms;

	records.executions++;
	records.in_flight++;
	records.peak_in_flight = MAX(records.peak_in_flight, records.in_flight);
	if (key == NULL)
		records.without_key++;
	increment(
	    records.by_request, httpd_request_header(request, "X-Request-Id"));
	if (jitter_ms > 0.)
		delay_ms += g_rand_double_range(
		    standin_random(), 0., jitter_ms);
	response->request = request;
	response->status = 200;
	response->body = describe_execution(request, key, execution);
	response->length = strlen(response->body);
	if (standin_chance(hang_percent))
		delay_ms = G_MAXINT32;
	if (standin_chance(lost_response_percent)) {
		response->abort_connection = true;
		records.lost_responses++;
	} else if (standin_chance(error_percent)) {
		response->status = 500;
		records.errors++;
	}
	httpd_request_drop_body(request);
	standin_respond_later(response, (int64_t)delay_ms);
}

/* Dispatches a request by its path. */
static void
on_request(struct httpd_request *request)
{
	const char *path = httpd_request_path(request);

	if (g_str_equal(path, "/standin/records"))
		respond_records(request);
	else if (g_str_equal(path, "/standin/fault"))
		on_fault(request);
	else if (g_str_equal(path, "/healthz"))
		standin_respond_json(request, 200, json_object());
	else
		execute(request);
}

/* Counts early disconnects; the execution stays counted. */
static void
on_closed(struct httpd_request *request, bool complete)
{
	const char *path = httpd_request_path(request);

	standin_response_cancel(request);
	if (g_str_has_prefix(path, "/standin/") ||
	    g_str_equal(path, "/healthz"))
		return;
	records.in_flight--;
	if (!complete)
		records.caller_disconnects++;
}

static const struct standin_program program = {
    .name = "standin-service",
    .summary = "Stand-in for a plain service.",
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
