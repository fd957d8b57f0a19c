#include "standin.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/exit_code.h"
#include "base/invariant.h"

#define LOG_MODULE "standin"
#include "base/log.h"

static const struct standin_program *program;
static struct ev_loop *main_loop;
static struct httpd *server;
static GRand *prng;
static char *listen_address;
static int seed = 1;

static const GOptionEntry common_options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_address,
	"address to listen on", "HOST:PORT"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/* Returns the event loop. */
struct ev_loop *
standin_loop(void)
{
	return main_loop;
}

/* Returns the port that the server listens on. */
int
standin_port(void)
{
	return httpd_port(server);
}

/* Returns the wall time in milliseconds. */
int64_t
standin_wall_ms(void)
{
	return time_to_ms(clock_wall(clock_system()));
}

/* Returns the monotonic time in seconds. */
double
standin_now_s(void)
{
	struct timespec now = clock_monotonic(clock_system());

	return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

/* Returns the seeded random number generator. */
GRand *
standin_random(void)
{
	return prng;
}

/* Returns true for a percentage of calls, at random. */
bool
standin_chance(double percent)
{
	return percent > 0. && g_rand_double_range(prng, 0., 100.) < percent;
}

/* Returns the request's body as JSON; an empty object if it isn't JSON. */
json_t *
standin_body_json(struct httpd_request *request)
{
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);
	json_t *json = json_loadb(
	    (const char *)body, length, JSON_ALLOW_NUL, NULL);

	return json == NULL ? json_object() : json;
}

/* Returns a number from the query string, or the default. */
int64_t
standin_query_number(
    struct httpd_request *request, const char *name, int64_t default_value)
{
	const char *text = httpd_request_query(request, name);

	return text == NULL ? default_value : g_ascii_strtoll(text, NULL, 10);
}

/* Responds with JSON; takes over the reference. */
void
standin_respond_json(struct httpd_request *request, int status, json_t *json)
{
	static const struct http_header headers[] = {
	    {"Content-Type", "application/json"}};
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_respond(request, status, headers, 1, text, strlen(text));
	free(text);
	json_decref(json);
}

/* Responds with an error object that has a type and a message. */
void
standin_respond_error(struct httpd_request *request, int status,
    const char *type, const char *message)
{
	standin_respond_json(request, status,
	    json_pack(
		"{s:{s:s, s:s}}", "error", "type", type, "message", message));
}

/* Sends a prepared response and frees it. */
static void
send_response(struct standin_response *response)
{
	struct httpd_request *request = response->request;
	g_autofree char *retry_after = g_strdup_printf(
	    "%d", response->retry_after_s);
	struct http_header headers[3];
	size_t count = 0;

	httpd_request_set_data(request, NULL);
	headers[count++] = (struct http_header){
	    "Content-Type", "application/octet-stream"};
	if (response->etag[0] != '\0')
		headers[count++] = (struct http_header){"ETag", response->etag};
	if (response->retry_after_s > 0)
		headers[count++] = (struct http_header){
		    "Retry-After", retry_after};
	if (response->abort_connection)
		httpd_abort(request);
	else
		httpd_respond(request, response->status, headers, count,
		    response->body, response->length);
	g_free(response->body);
	g_free(response);
}

/* The delay of a response has passed. */
static void
on_delay_expired(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	send_response(timer->data);
}

/* Takes over a response and sends it after the delay. */
void
standin_respond_later(struct standin_response *response, int64_t delay_ms)
{
	httpd_request_set_data(response->request, response);
	if (delay_ms <= 0) {
		send_response(response);
		return;
	}
	ev_timer_init(&response->timer, on_delay_expired,
	    (double)delay_ms / MS_PER_S, 0.);
	response->timer.data = response;
	ev_timer_start(main_loop, &response->timer);
}

/* Frees the pending response, if any, of a request that has closed. */
void
standin_response_cancel(struct httpd_request *request)
{
	struct standin_response *response = httpd_request_data(request);

	if (response == NULL)
		return;
	ev_timer_stop(main_loop, &response->timer);
	g_free(response->body);
	g_free(response);
}

/* Adds to a bounded list of records; when full, drops the older half. */
void
standin_history_add(GPtrArray *records, json_t *record, guint max)
{
	if (records->len >= max)
		g_ptr_array_remove_range(records, 0, records->len / 2);
	g_ptr_array_add(records, record);
}

/* Returns the records as a JSON array. */
json_t *
standin_history_json(const GPtrArray *records)
{
	json_t *array = json_array();

	for (guint i = 0; i < records->len; i++)
		json_array_append(array, records->pdata[i]);
	return array;
}

/* Passes a request to the program. */
static void
on_request(void *data, struct httpd_request *request)
{
	program->request(request);
}

/* Notifies the program of a request's end. */
static void
on_request_closed(void *data, struct httpd_request *request, bool complete)
{
	if (program->closed != NULL)
		program->closed(request, complete);
}

/* Notifies the program that a stream can be written again. */
static void
on_stream_drained(void *data, struct httpd_request *request)
{
	if (program->drained != NULL)
		program->drained(request);
}

static const struct httpd_ops server_ops = {
    .request = on_request,
    .closed = on_request_closed,
    .drained = on_stream_drained,
};

/* SIGTERM or SIGINT: ends the loop. */
static void
on_stop_signal(struct ev_loop *loop, struct ev_signal *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Parses the command line; false if invalid. GLib exits on --help. */
static bool
parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	g_autoptr(GError) error = NULL;

	g_option_context_set_summary(context, program->summary);
	g_option_context_add_main_entries(context, common_options, NULL);
	if (program->options != NULL)
		g_option_context_add_main_entries(
		    context, program->options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc > 1 || listen_address == NULL)
		LOG_ERROR("invalid command line", "{s:s}", "cause",
		    error != NULL
			? error->message
			: "--listen is required and no arguments are allowed");
	else
		argc = 0;
	g_option_context_free(context);
	return argc == 0;
}

/* Runs the loop until a signal ends it. */
static void
serve(void)
{
	struct ev_signal signals[2];

	ev_signal_init(&signals[0], on_stop_signal, SIGTERM);
	ev_signal_init(&signals[1], on_stop_signal, SIGINT);
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		ev_signal_start(main_loop, &signals[i]);
	LOG_INFO("listening", "{s:i}", "port", httpd_port(server));
	ev_run(main_loop, 0);
}

/* Serves until SIGTERM or SIGINT; returns the exit code. */
int
standin_main(const struct standin_program *new_program, int argc, char **argv)
{
	static struct log_identity identity = {.role = "standin"};
	struct httpd_settings settings = {
	    .body_max_bytes = STANDIN_BODY_MAX_BYTES,
	    .bodies_max_bytes = STANDIN_BODIES_MAX_BYTES,
	};
	g_autoptr(GError) error = NULL;

	program = new_program;
	identity.process = new_program->name;
	log_init(LOG_LEVEL_INFO, &identity);
	invariant_set_fatal(true);
	signal(SIGPIPE, SIG_IGN);
	if (!parse_options(argc, argv))
		return EXIT_CODE_USAGE;
	main_loop = ev_default_loop(EVFLAG_AUTO);
	prng = g_rand_new_with_seed((guint32)seed);
	settings.address = listen_address;
	server = httpd_new(main_loop, &settings, &server_ops, NULL, &error);
	if (server == NULL) {
		LOG_ERROR("HTTP server did not start", "{s:s}", "cause",
		    error->message);
		return EXIT_CODE_FAILED;
	}
	new_program->start(main_loop);
	serve();
	httpd_free(server);
	new_program->stop();
	g_rand_free(prng);
	return EXIT_CODE_OK;
}
