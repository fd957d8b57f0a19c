/*
 * Stand-in for a model engine: executes the steps of its model on the event
 * loop, and reports its load with a lag.
 */
#include "engine.h"

#include <unistd.h>

#include "base/clock.h"

#define TICK_S		      0.05
#define ENDED_RUN_RETENTION_S 60.
#define CRASH_EXIT	      137
#define SNAPSHOTS_MAX	      256

static int64_t memory_tokens = 400000;
static int slots = 32;
static int queue = 32;
static int cold_slots = 2;
static int cold_ms = 10000;
static int load_ms = 2000;
static int load_lag_ms = 500;
static int cache_event_lag_ms = 300;
static double cache_event_gap_percent = 5.;
static double prefill_tokens_per_s = 50000.;
static double decode_tokens_per_s = 50.;
static double time_scale = 1.;
static int event_tokens = 1;
static gboolean warm;
static gboolean ignore_fencing;
static char *model_name;
static char *adapter_name;
static char *version_name;

static const GOptionEntry options[] = {
    {"memory-tokens", 0, 0, G_OPTION_ARG_INT64, &memory_tokens,
	"size of the KV memory", "N"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &slots, "concurrent runs", "N"},
    {"queue", 0, 0, G_OPTION_ARG_INT, &queue, "runs that may queue", "N"},
    {"cold-slots", 0, 0, G_OPTION_ARG_INT, &cold_slots,
	"runs that it can take while cold", "N"},
    {"cold-ms", 0, 0, G_OPTION_ARG_INT, &cold_ms, "duration of a cold start",
	"MS"},
    {"load-ms", 0, 0, G_OPTION_ARG_INT, &load_ms, "time to load a model", "MS"},
    {"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_lag_ms,
	"lag of the load in the status", "MS"},
    {"cache-event-lag-ms", 0, 0, G_OPTION_ARG_INT, &cache_event_lag_ms,
	"delay of cache events", "MS"},
    {"cache-event-gap-percent", 0, 0, G_OPTION_ARG_DOUBLE,
	&cache_event_gap_percent, "percentage of cache events that are lost",
	"N"},
    {"prefill-tokens-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &prefill_tokens_per_s,
	"prompt tokens prefilled per second", "N"},
    {"decode-tokens-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &decode_tokens_per_s,
	"tokens per second of a run that decodes alone", "N"},
    {"time-scale", 0, 0, G_OPTION_ARG_DOUBLE, &time_scale,
	"factor by which work and cold starts are sped up", "N"},
    {"event-tokens", 0, 0, G_OPTION_ARG_INT, &event_tokens,
	"tokens per stream event", "N"},
    {"warm", 0, 0, G_OPTION_ARG_NONE, &warm, "start without a cold start",
	NULL},
    {"ignore-fencing", 0, 0, G_OPTION_ARG_NONE, &ignore_fencing,
	"apply orders with stale fencing numbers", NULL},
    {"model", 0, 0, G_OPTION_ARG_STRING, &model_name, "loaded at startup",
	"NAME"},
    {"adapter", 0, 0, G_OPTION_ARG_STRING, &adapter_name, "loaded at startup",
	"NAME"},
    {"version", 0, 0, G_OPTION_ARG_STRING, &version_name, "loaded at startup",
	"NAME"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/* The load at one point in time. */
struct snapshot {
	double taken_s;
	enum engine_state state;
	uint64_t used_tokens;
	unsigned running;
	unsigned waiting;
	double prefill_rate;
};

struct engine engine;

static struct ev_timer step_timer;
static struct ev_timer tick_timer;
static double stalled_until_s;
static double slow_until_s;
static GArray *snapshots; /* oldest first */

/* Exits at once, without clean-up, as in a crash. */
static void
crash(void)
{
	_exit(CRASH_EXIT);
}

static const struct engine_model_ops model_ops = {
    .progressed = run_streams_on_progress,
    .dropped = run_streams_on_dropped,
    .crashed = crash,
};

/* Starts the next step if there is work. */
static void
begin_step(void)
{
	double step_s = engine_model_begin_step(&engine.model);

	if (step_s <= 0.)
		return;
	ev_timer_set(&step_timer, step_s, 0.);
	ev_timer_start(standin_loop(), &step_timer);
}

/* The step has ended; a stall delays its result. */
static void
on_step_end(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	double now_s = standin_now_s();

	if (now_s < stalled_until_s) {
		ev_timer_set(timer, stalled_until_s - now_s, 0.);
		ev_timer_start(loop, timer);
		return;
	}
	engine_model_end_step(&engine.model, now_s);
	begin_step();
}

/* Starts a step unless one is in progress; called after work was added. */
void
engine_schedule_step(void)
{
	if (!ev_is_active(&step_timer))
		begin_step();
}

/* Stops progress for a time; API calls are still answered. */
void
engine_stall(double seconds)
{
	stalled_until_s = standin_now_s() + seconds;
}

/* Slows all work down by a factor for a time. */
void
engine_slow(double factor, double seconds)
{
	engine.model.slow_factor = factor;
	slow_until_s = standin_now_s() + seconds;
}

/* Records the current load and drops snapshots older than the lag. */
static void
take_snapshot(double now_s)
{
	const struct engine_model *model = &engine.model;
	struct snapshot now = {
	    .taken_s = now_s,
	    .state = model->state,
	    .used_tokens = engine_model_unevictable_tokens(model),
	    .running = model->running,
	    .waiting = model->waiting,
	    .prefill_rate = engine_model_prefill_rate(model),
	};
	double visible_s = now_s - model->settings.load_lag_s;

	g_array_append_val(snapshots, now);
	while (snapshots->len > 1 &&
	    (g_array_index(snapshots, struct snapshot, 1).taken_s <=
		    visible_s ||
		snapshots->len > SNAPSHOTS_MAX))
		g_array_remove_index(snapshots, 0);
}

/* Periodic work: state changes, expiry, the load snapshot, cache events. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	double now_s = standin_now_s();

	if (now_s >= slow_until_s)
		engine.model.slow_factor = 1.;
	engine_model_advance(&engine.model, now_s);
	engine_model_expire(&engine.model, now_s - ENDED_RUN_RETENTION_S);
	take_snapshot(now_s);
	cache_events_tick(now_s);
}

/* Returns the status: current orders, and the load as of the lag ago. */
json_t *
engine_status_json(void)
{
	static const char *const states[] = {"cold", "loading", "warm"};
	const struct snapshot *visible = &g_array_index(
	    snapshots, struct snapshot, 0);
	const struct engine_model *model = &engine.model;
	const struct engine_orders *orders = &engine.orders;

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, "
			 "s:I, s:I, s:I}",
	    "model", orders->model, "adapter", orders->adapter, "version",
	    orders->version, "role", orders->role, "state",
	    states[visible->state], "start_count",
	    (json_int_t)model->start_count, "memory_tokens",
	    (json_int_t)model->settings.memory_tokens, "used_tokens",
	    (json_int_t)visible->used_tokens, "slots",
	    (json_int_t)model->settings.slots, "running",
	    (json_int_t)visible->running, "waiting",
	    (json_int_t)visible->waiting, "prefill_tokens_per_s",
	    (json_int_t)visible->prefill_rate, "fencing",
	    (json_int_t)orders->fencing);
}

/* Returns the flags in the model's units. */
static struct engine_settings
read_settings(void)
{
	return (struct engine_settings){
	    .memory_tokens = (uint64_t)memory_tokens,
	    .slots = (unsigned)slots,
	    .queue = (unsigned)queue,
	    .cold_slots = (unsigned)cold_slots,
	    .cold_s = (double)cold_ms / MS_PER_S,
	    .load_s = (double)load_ms / MS_PER_S,
	    .load_lag_s = (double)load_lag_ms / MS_PER_S,
	    .prefill_tokens_per_s = prefill_tokens_per_s,
	    .decode_tokens_per_s = decode_tokens_per_s,
	    .time_scale = time_scale,
	    .event_tokens = (unsigned)MAX(event_tokens, 1),
	};
}

/* Creates the engine. */
static void
start(struct ev_loop *loop)
{
	struct engine_settings settings = read_settings();
	double now_s = standin_now_s();

	engine_model_init(&engine.model, &settings, &model_ops, warm, now_s);
	/* Wall time, so that it also rises when the process restarts. */
	engine.model.start_count = (uint64_t)standin_wall_ms();
	engine.ignore_fencing = ignore_fencing;
	engine.http = http_client_new(loop, NULL);
	engine.run_starts = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)json_decref);
	engine.orders = (struct engine_orders){
	    .model = g_strdup(model_name != NULL ? model_name : "model"),
	    .adapter = g_strdup(adapter_name != NULL ? adapter_name : ""),
	    .version = g_strdup(version_name != NULL ? version_name : "1"),
	    .role = g_strdup("serve"),
	    .log = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref),
	};
	cache_events_init(
	    (double)cache_event_lag_ms / MS_PER_S, cache_event_gap_percent);
	engine.model.cache.changed = cache_events_add;
	snapshots = g_array_new(FALSE, FALSE, sizeof(struct snapshot));
	take_snapshot(now_s);
	ev_timer_init(&step_timer, on_step_end, 0., 0.);
	ev_timer_init(&tick_timer, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &tick_timer);
}

/* Frees the engine. */
static void
stop(void)
{
	engine_model_clear(&engine.model);
	http_client_free(engine.http);
	cache_events_clear();
	g_array_unref(snapshots);
	g_ptr_array_unref(engine.run_starts);
	g_ptr_array_unref(engine.orders.log);
	g_free(engine.orders.model);
	g_free(engine.orders.adapter);
	g_free(engine.orders.version);
	g_free(engine.orders.role);
}

/* A request has ended: notifies what waits on it. */
static void
on_closed(struct httpd_request *request, bool complete)
{
	struct pending_request *pending = httpd_request_data(request);

	if (pending != NULL)
		pending->closed(pending);
}

static const struct standin_program program = {
    .name = "standin-engine",
    .summary = "Stand-in for a model engine.",
    .options = options,
    .start = start,
    .stop = stop,
    .request = engine_on_request,
    .closed = on_closed,
    .drained = run_stream_on_drained,
};

int
main(int argc, char **argv)
{
	return standin_main(&program, argc, argv);
}
