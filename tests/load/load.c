/*
 * standin-load: sends an open-loop load to entries and prints the outcome; the
 * last line is a summary in JSON.
 */
#include "load.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/exit_code.h"

/* How long to wait for final responses after the last deadline. */
#define ABANDON_AFTER_S 5.

struct load load = {
    .settings =
	{
	    .rate_per_s = 10.,
	    .duplicate_share = 0.1,
	    .min_tokens = 1000,
	    .max_tokens = 1000000,
	    .tail = 1.,
	    .shared_share = 0.5,
	    .shared_count = 20,
	    .shared_part = 0.75,
	    .output_tokens = 32,
	    .event_tokens = 1,
	    .long_tokens = 32768,
	    .deadline_short_ms = 30000,
	    .deadline_long_ms = 300000,
	    .open_max_bytes = (int64_t)1 << 30,
	},
};

static struct load_settings *const settings = &load.settings;
static int seed = 1;
static char **weights;
static struct ev_timer arrival_timer;
static struct ev_timer abandon_timer;

static const GOptionEntry options[] = {
    {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.settings.entries,
	"base URL of an entry; may be repeated", "URL"},
    {"key", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.settings.keys,
	"API key of an organisation; may be repeated", "KEY"},
    {"weight", 0, 0, G_OPTION_ARG_STRING_ARRAY, &weights,
	"share of the load of each key, in order; default: equal", "N"},
    {"model", 0, 0, G_OPTION_ARG_STRING, &load.settings.model,
	"model to request", "NAME"},
    {"order-path", 0, 0, G_OPTION_ARG_STRING, &load.settings.plain_call_path,
	"path of plain calls", "PATH"},
    {"order-share", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.plain_call_share,
	"share of requests that are plain calls", "SHARE"},
    {"twice-share", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.duplicate_share,
	"share of plain calls that are sent twice", "SHARE"},
    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.rate_per_s,
	"requests per second", "N"},
    {"count", 0, 0, G_OPTION_ARG_INT64, &load.settings.count,
	"total number of requests", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.seconds,
	"duration of sending", "S"},
    {"min-tokens", 0, 0, G_OPTION_ARG_INT64, &load.settings.min_tokens,
	"minimum prompt length", "N"},
    {"max-tokens", 0, 0, G_OPTION_ARG_INT64, &load.settings.max_tokens,
	"maximum prompt length", "N"},
    {"skip-from", 0, 0, G_OPTION_ARG_INT64, &load.settings.skip_from,
	"prompts of this length and more are drawn, not sent", "N"},
    {"tail", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.tail,
	"Pareto exponent of prompt lengths; smaller: longer tail", "X"},
    {"shared-share", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.shared_share,
	"share of prompts with a shared prefix", "SHARE"},
    {"shared-count", 0, 0, G_OPTION_ARG_INT, &load.settings.shared_count,
	"number of shared prefixes", "N"},
    {"shared-part", 0, 0, G_OPTION_ARG_DOUBLE, &load.settings.shared_part,
	"part of such a prompt that is the shared prefix", "SHARE"},
    {"output-tokens", 0, 0, G_OPTION_ARG_INT64, &load.settings.output_tokens,
	"output tokens of each response", "N"},
    {"event-tokens", 0, 0, G_OPTION_ARG_INT, &load.settings.event_tokens,
	"tokens per stream event of the engines", "N"},
    {"long-tokens", 0, 0, G_OPTION_ARG_INT64, &load.settings.long_tokens,
	"prompts of this length and more have the long deadline", "N"},
    {"deadline-short-ms", 0, 0, G_OPTION_ARG_INT64,
	&load.settings.deadline_short_ms, "deadline of other requests", "MS"},
    {"deadline-long-ms", 0, 0, G_OPTION_ARG_INT64,
	&load.settings.deadline_long_ms, "deadline of long prompts", "MS"},
    {"open-max-bytes", 0, 0, G_OPTION_ARG_INT64, &load.settings.open_max_bytes,
	"bodies of open requests; above it, arrivals are skipped", "N"},
    {"balance", 0, 0, G_OPTION_ARG_NONE, &load.settings.balance,
	"send nothing to entries that report not ready", NULL},
    {"resume", 0, 0, G_OPTION_ARG_NONE, &load.settings.resume,
	"resume interrupted streams", NULL},
    {"direct", 0, 0, G_OPTION_ARG_NONE, &load.settings.direct,
	"the URLs are engines, called with their own API", NULL},
    {"lines", 0, 0, G_OPTION_ARG_NONE, &load.settings.lines,
	"print a line for each request", NULL},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/* Returns the monotonic time in seconds. */
double
load_now_s(void)
{
	struct timespec now = clock_monotonic(clock_system());

	return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

/* Prints a JSON object as one line and frees it. */
static void
print(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	puts(text);
	free(text);
	json_decref(json);
}

/* Ends the loop once arrivals have ended and no request is open. */
static void
check_end(void)
{
	if (load.arrivals_ended && load.open == 0)
		ev_break(load.loop, EVBREAK_ALL);
}

/* Records the outcome of a request that ended. */
void
load_request_ended(const struct outcome *outcome)
{
	report_add(outcome);
	if (settings->lines)
		print(outcome_json(outcome));
	load.open--;
	check_end();
}

/* The time to wait for open requests is over. */
static void
on_abandon_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	requests_abandon();
	ev_break(loop, EVBREAK_ALL);
}

/* Stops sending and waits for open requests. */
static void
end_arrivals(void)
{
	double max_ms = (double)MAX(
	    settings->deadline_long_ms, settings->deadline_short_ms);

	if (load.arrivals_ended)
		return;
	load.arrivals_ended = true;
	ev_timer_stop(load.loop, &arrival_timer);
	ev_timer_init(&abandon_timer, on_abandon_timer,
	    max_ms / MS_PER_S + ABANDON_AFTER_S, 0.);
	ev_timer_start(load.loop, &abandon_timer);
	check_end();
}

/* Whether the requested count or duration is reached. */
static bool
is_load_sent(double now_s)
{
	if (settings->count > 0 && load.sent >= (uint64_t)settings->count)
		return true;
	return settings->seconds > 0. &&
	    now_s - load.started_s >= settings->seconds;
}

/* Sends one request: a completion or a plain call. */
static void
send_one(void)
{
	uint64_t number = load.sent++;
	bool plain_call = settings->plain_call_path != NULL &&
	    g_rand_double(load.random) < settings->plain_call_share;

	if (load.open_bytes > settings->open_max_bytes) {
		load.left_out++;
		return;
	}
	load.open++;
	if (plain_call || settings->model == NULL)
		plain_call_send(number);
	else
		request_send(number);
}

/* Sends all requests that are due and schedules the next (Poisson arrivals). */
static void
on_arrival(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	static double due_s;
	double now_s = load_now_s();

	if (due_s == 0.)
		due_s = now_s;
	while (due_s <= now_s && !is_load_sent(now_s)) {
		send_one();
		due_s -= log(1. - g_rand_double(load.random)) /
		    settings->rate_per_s;
	}
	if (is_load_sent(now_s)) {
		end_arrivals();
		return;
	}
	ev_timer_set(timer, due_s - now_s, 0.);
	ev_timer_start(loop, timer);
}

/* SIGTERM: stops sending and waits for open requests. */
static void
on_stop_signal(struct ev_loop *loop, struct ev_signal *watcher, int events)
{
	end_arrivals();
}

/* Parses the shares of the keys and normalises their sum to 1. */
static void
read_weights(void)
{
	guint count = g_strv_length(settings->keys);
	guint given = weights == NULL ? 0 : g_strv_length(weights);
	double sum = 0.;

	settings->key_weights = g_new0(double, count);
	for (guint i = 0; i < count; i++) {
		settings->key_weights[i] = i < given
		    ? g_ascii_strtod(weights[i], NULL)
		    : 1.;
		sum += settings->key_weights[i];
	}
	for (guint i = 0; i < count; i++)
		settings->key_weights[i] /= sum;
}

/* Parses the command line; false, with a message on stderr, if invalid. */
static bool
parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	g_autoptr(GError) error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!ok)
		fprintf(stderr, "standin-load: %s\n", error->message);
	else if (argc > 1 || settings->entries == NULL ||
	    settings->keys == NULL ||
	    (settings->model == NULL && settings->plain_call_path == NULL) ||
	    (settings->count == 0 && settings->seconds == 0.))
		fprintf(stderr,
		    "standin-load: --entry, --key, --model or --order-path, "
		    "and --count or --seconds are required\n");
	else
		return true;
	return false;
}

/* Runs the load until all requests have ended. */
static void
run(void)
{
	struct ev_signal stop;

	ev_signal_init(&stop, on_stop_signal, SIGTERM);
	ev_signal_start(load.loop, &stop);
	ev_timer_init(&arrival_timer, on_arrival, 0., 0.);
	load.started_s = load_now_s();
	ev_timer_start(load.loop, &arrival_timer);
	ev_run(load.loop, 0);
}

int
main(int argc, char **argv)
{
	if (!parse_options(argc, argv))
		return EXIT_CODE_USAGE;
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	load.loop = ev_default_loop(EVFLAG_AUTO);
	load.http = http_client_new(load.loop, NULL);
	load.random = g_rand_new_with_seed((guint32)seed);
	read_weights();
	prompts_init();
	report_init();
	ready_init();
	run();
	print(report_summary());
	http_client_free(load.http);
	ready_free();
	prompts_free();
	report_free();
	g_rand_free(load.random);
	g_free(settings->key_weights);
	return EXIT_CODE_OK;
}
