/*
 * The sidecar process: runs beside one upstream and serves the requests that
 * entries send to it. Connects the mesh, the runs, the upstream, the reconciler
 * and the configuration, and shuts down without interrupting a request.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/settings.h"
#include "commands.h"
#include "node/node.h"
#include "policy/drain.h"
#include "sidecar/drain_reasons.h"
#include "sidecar/health.h"
#include "sidecar/reconciler.h"
#include "sidecar/runs.h"
#include "store/weights.h"

#define LOG_MODULE "sidecar"
#include "base/log.h"

/*
 * A longer sleep of the loop means that the process was suspended; it wakes far
 * more often than this.
 */
#define PROCESS_PAUSE_MIN_MS 1500
/* After a suspension, orders wait this long for a newer placement. */
#define ORDER_DELAY_AFTER_PAUSE_MS 2000
/* Interval between checks for completion during shutdown. */
#define STOP_CHECK_INTERVAL_MS 50
/* Shutdown stops waiting for unconfirmed deletions after this time. */
#define STOP_DELETION_TIMEOUT_MS 5000
/* A permit that was not granted is requested again after this time. */
#define PERMIT_RETRY_MS 2000

INVARIANT_DEFINE(no_request_cut_off, "sidecar_stop_cuts_off_nothing");

struct sidecar {
	struct ev_loop *loop;
	struct clock *clock;
	struct settings settings;
	struct node *node;
	struct upstream *upstream;
	struct runs *runs;
	struct health *health;
	struct reconciler *reconciler;
	char *loaded_model; /* as last reported; NULL before */
	char *loaded_adapter;
	char *loaded_version;
	bool warm;
	uint64_t fencing;
	struct weights *weights; /* NULL if no platform is configured */
	struct mesh_handler handler;
	struct drain_reasons drain_reasons;
	ev_timer wake_timer;
	ev_prepare loop_prepare;
	ev_check loop_check;
	struct timespec sleep_started_at;
	ev_timer stop_timer;
	struct drain drain;
	bool exiting; /* the grace time is over; calls have their answers */
};

/* Sends a message on the link of a peer. */
static bool
send_message(void *data, void *peer, struct message *message)
{
	return link_send(peer, message);
}

/* Starts or stops heartbeats on a link that a request needs. */
static void
set_link_in_use(void *data, void *peer, bool on)
{
	if (on)
		link_add_user(peer);
	else
		link_remove_user(peer);
}

/*
 * Returns the deaths of a fingerprint that all processes together have
 * reported.
 */
static uint32_t
count_deaths(void *data, uint64_t fingerprint)
{
	struct sidecar *sidecar = data;

	return fingerprint == 0
	    ? 0
	    : mesh_suspect_deaths(node_mesh(sidecar->node), fingerprint);
}

/* Reports a death to all processes. */
static void
report_death(void *data, uint64_t fingerprint, uint32_t deaths)
{
	struct sidecar *sidecar = data;

	mesh_report_upstream_death(node_mesh(sidecar->node), fingerprint);
}

/* Reports a survival to all processes. */
static void
report_survival(void *data, uint64_t fingerprint)
{
	struct sidecar *sidecar = data;

	mesh_report_survival(node_mesh(sidecar->node), fingerprint);
}

/* Checks before a start that the configuration allows it. */
static void
check_start_allowed(void *data)
{
	const struct sidecar *sidecar = data;

	drain_reasons_check_start(
	    documents_config(node_documents(sidecar->node)),
	    sidecar->settings.upstream);
}

static const struct runs_ops runs_callbacks = {
    .send = send_message,
    .set_link_in_use = set_link_in_use,
    .before_start = check_start_allowed,
    .deaths = count_deaths,
    .report_death = report_death,
    .report_survival = report_survival,
};

/* Handles a message from an entry. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct sidecar *sidecar = data;

	runs_on_message(
	    sidecar->runs, link, message, link_message_age_ms(link, message));
}

/* Handles a link that is writable again. */
static void
on_writable(void *data, struct link *link)
{
	runs_on_peer_writable(((struct sidecar *)data)->runs, link);
}

/* Handles a lost link. */
static void
on_link_lost(void *data, struct link *link, const GError *error)
{
	runs_on_peer_lost(((struct sidecar *)data)->runs, link);
}

static const struct mesh_ops mesh_callbacks = {
    .message = on_message,
    .writable = on_writable,
    .lost = on_link_lost,
};

/* Handles the deadlines of the runs. */
static void
on_wake_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	runs_tick(((struct sidecar *)w->data)->runs);
}

/* Sets the wake timer for the runs before the loop sleeps. */
static void
schedule_wake(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct sidecar *sidecar = w->data;
	struct timespec now = clock_monotonic(sidecar->clock);
	struct timespec wake = runs_next_wake(sidecar->runs);
	int64_t left_ms;

	sidecar->sleep_started_at = now;
	ev_timer_stop(loop, &sidecar->wake_timer);
	if (!time_is_set(wake))
		return;
	left_ms = MAX(time_diff_ms(wake, now) + 1, 0);
	ev_timer_set(&sidecar->wake_timer, (double)left_ms / MS_PER_S, 0.0);
	ev_timer_start(loop, &sidecar->wake_timer);
}

/*
 * Detects after each sleep of the loop, before other events, that the process
 * was suspended. Decisions from before the suspension are not executed.
 */
static void
detect_process_pause(struct ev_loop *loop, ev_check *w, int events)
{
	struct sidecar *sidecar = w->data;
	int64_t slept_ms = time_diff_ms(
	    clock_monotonic(sidecar->clock), sidecar->sleep_started_at);

	if (slept_ms < PROCESS_PAUSE_MIN_MS)
		return;
	LOG_WARN("process was stopped", "{s:I}", "ms", (json_int_t)slept_ms);
	runs_reject_queued(sidecar->runs);
	reconciler_delay(sidecar->reconciler, ORDER_DELAY_AFTER_PAUSE_MS);
}

/*
 * Applies a newer configuration: the upstream's capacity and whether it accepts
 * work.
 */
static void
on_config(void *data, struct config *config)
{
	struct sidecar *sidecar = data;
	const Heatherturn__V1__Upstream *upstream = config_find_upstream(
	    config, sidecar->settings.upstream);
	struct runs_capacity capacity;

	if (config_version(config) == 0)
		return;
	drain_reasons_set(&sidecar->drain_reasons, DRAIN_UNCONFIGURED, false);
	if (upstream == NULL) {
		drain_reasons_set(
		    &sidecar->drain_reasons, DRAIN_BY_CONFIG, true);
		return;
	}
	capacity = (struct runs_capacity){.slots = upstream->slots,
	    .cold_slots = upstream->cold_slots,
	    .memory_tokens = upstream->memory_tokens,
	    .prefill_tokens_per_s = upstream->prefill_tokens_per_s};
	runs_configure(sidecar->runs, &capacity);
	drain_reasons_set(&sidecar->drain_reasons, DRAIN_BY_CONFIG,
	    !config_upstream_accepts_work(config, upstream));
}

/* Applies this upstream's assignment from a newer placement. */
static void
on_placement(void *data, uint64_t version, const uint8_t *bytes, size_t length)
{
	struct sidecar *sidecar = data;
	const char *self = sidecar->settings.upstream;
	Heatherturn__V1__PlacementDocument *document;
	const Heatherturn__V1__Assignment *one;

	document = heatherturn__v1__placement_document__unpack(
	    NULL, length, bytes);
	if (document == NULL) {
		LOG_ERROR("placement document can't be decoded", "{s:I}",
		    "version", (json_int_t)version);
		return;
	}
	for (size_t i = 0; i < document->n_assignments; i++) {
		one = document->assignments[i];
		if (strcmp(one->upstream, self) != 0)
			continue;
		reconciler_assign(sidecar->reconciler, one);
		drain_reasons_set(
		    &sidecar->drain_reasons, DRAIN_BY_PLACEMENT, one->leaving);
	}
	heatherturn__v1__placement_document__free_unpacked(document, NULL);
}

/* Records a status report and passes it to the reconciler. */
static void
on_status(void *data, const struct upstream_status *status)
{
	struct sidecar *sidecar = data;

	g_free(sidecar->loaded_model);
	g_free(sidecar->loaded_adapter);
	g_free(sidecar->loaded_version);
	sidecar->loaded_model = g_strdup(status->model);
	sidecar->loaded_adapter = g_strdup(status->adapter);
	sidecar->loaded_version = g_strdup(status->version);
	sidecar->warm = status->warm;
	sidecar->fencing = status->fencing;
	if (upstream_has_runs(sidecar->upstream))
		reconciler_update(sidecar->reconciler, status);
}

/* Fills a status answer with the engine's model, while it is up. */
static void
fill_status_answer(void *data, struct message_status_answer *answer)
{
	struct sidecar *sidecar = data;

	if (!health_is_up(sidecar->health))
		return;
	answer->upstream = sidecar->settings.upstream;
	answer->model = sidecar->loaded_model;
	answer->adapter = sidecar->loaded_adapter;
	answer->model_version = sidecar->loaded_version;
	answer->warm = sidecar->warm;
	answer->fencing = sidecar->fencing;
}

/* Handles the weight store's response to a permit request. */
static void
on_permit(void *data, const GError *error, int64_t retry_after_ms)
{
	struct sidecar *sidecar = data;

	if (error != NULL)
		LOG_INFO("permit to load not granted; will be retried", "{s:s}",
		    "error", error->message);
	reconciler_set_permit(sidecar->reconciler, error == NULL,
	    retry_after_ms > 0 ? retry_after_ms : PERMIT_RETRY_MS);
}

/*
 * Requests a permit to load from the weight store; granted at once without one.
 */
static void
request_permit(void *data, const char *model, const char *version)
{
	struct sidecar *sidecar = data;

	if (sidecar->weights == NULL)
		reconciler_set_permit(sidecar->reconciler, true, 0);
	else
		weights_request_permit(sidecar->weights, model, version,
		    sidecar->settings.upstream, on_permit, sidecar);
}

/* Drains the engine before a load, and ends the drain after it. */
static void
drain_for_load(void *data, bool on)
{
	drain_reasons_set(
	    &((struct sidecar *)data)->drain_reasons, DRAIN_LOADING, on);
}

/* Returns whether the engine has neither runs nor blocks. */
static bool
is_idle(void *data)
{
	struct runs_stats stats;

	runs_stats(((struct sidecar *)data)->runs, &stats);
	return stats.running + stats.cancelling + stats.blocks == 0;
}

static const struct reconciler_ops reconciler_callbacks = {
    .request_permit = request_permit,
    .set_draining = drain_for_load,
    .is_idle = is_idle,
};

/*
 * Returns whether the process is ready. One whose upstream or failure domain is
 * taken out is ready: it rejects requests, as the operators configured.
 */
static bool
is_ready(void *data)
{
	const struct sidecar *sidecar = data;

	return !drain_reasons_has(&sidecar->drain_reasons, DRAIN_STOPPING) &&
	    health_is_up(sidecar->health) && health_has_listed(sidecar->health);
}

static const struct node_ops node_callbacks = {.ready = is_ready};

/*
 * Returns whether the shutdown is complete: the entries had time to notice the
 * drain, each request has its final answer, and all of it is written to the
 * sockets.
 */
static bool
is_drained(const struct sidecar *sidecar, struct timespec now)
{
	struct timespec stop_waiting = time_add_ms(
	    sidecar->drain.accept_until, STOP_DELETION_TIMEOUT_MS);
	struct runs_stats stats;

	runs_stats(sidecar->runs, &stats);
	if (time_before(now, sidecar->drain.accept_until) ||
	    stats.queued + stats.running + stats.unanswered > 0 ||
	    mesh_queued_bytes(node_mesh(sidecar->node)) > 0)
		return false;
	return stats.deletions + stats.blocks == 0 ||
	    !time_before(now, stop_waiting);
}

/*
 * During shutdown: ends the loop once the shutdown is complete or the grace
 * time ends.
 */
static void
on_stop_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct sidecar *sidecar = w->data;
	struct timespec now = clock_monotonic(sidecar->clock);
	struct runs_stats stats;

	if (is_drained(sidecar, now)) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	if (drain_left_ms(&sidecar->drain, now) > 0)
		return;
	if (sidecar->exiting) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	/* The answers are sent before the next check. */
	sidecar->exiting = true;
	runs_stats(sidecar->runs, &stats);
	LOG_WARN("exiting with open requests", "{s:I, s:I}", "running",
	    (json_int_t)stats.running, "unanswered",
	    (json_int_t)stats.unanswered);
	runs_end_calls(sidecar->runs);
}

/*
 * Starts the shutdown: node_start_draining() marks this process as draining on
 * its links, drain_reasons_set() makes the runs reject queued and new requests,
 * and the stop timer ends the loop once the running ones have their final
 * answers.
 */
static void
start_draining(void *data)
{
	struct sidecar *sidecar = data;
	const struct drain_limits limits = {
	    .notice_ms = sidecar->settings.drain_notice_ms,
	    .grace_ms = (int64_t)(sidecar->settings.grace_s * MS_PER_S),
	};

	if (drain_is_started(&sidecar->drain))
		return;
	drain_start(&sidecar->drain, &limits, clock_monotonic(sidecar->clock));
	node_start_draining(sidecar->node);
	drain_reasons_set(&sidecar->drain_reasons, DRAIN_STOPPING, true);
	ev_timer_start(sidecar->loop, &sidecar->stop_timer);
}

/* Creates the upstream for the configured dialect. */
static void
open_upstream(struct sidecar *sidecar)
{
	struct http_client *http = node_http_client(sidecar->node);
	const char *url = sidecar->settings.upstream_url;

	if (strcmp(sidecar->settings.dialect, "plain") == 0)
		sidecar->upstream = upstream_plain_new(http, url);
	else
		sidecar->upstream = upstream_engine_new(http, url);
}

/* Creates the runs. */
static void
open_runs(struct sidecar *sidecar)
{
	const char *url = sidecar->settings.upstream_url;
	const char *address = strstr(url, "://");
	struct runs_settings with = {.upstream = sidecar->upstream,
	    .clock = sidecar->clock,
	    .upstream_address = address != NULL ? address + 3 : url};

	admission_limits_init(&with.limits);
	sidecar->runs = runs_new(&with, &runs_callbacks, sidecar);
	drain_reasons_init(&sidecar->drain_reasons, sidecar->runs);
}

/* Registers the callbacks with the mesh, the documents and the loop. */
static void
register_callbacks(struct sidecar *sidecar)
{
	struct documents *documents = node_documents(sidecar->node);

	sidecar->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_PROBE) | MESH_KIND(MESSAGE_SUBMIT) |
		MESH_KIND(MESSAGE_CANCEL) | MESH_KIND(MESSAGE_RESUME) |
		MESH_KIND(MESSAGE_WINDOW) | MESH_KIND(MESSAGE_HOLD) |
		MESH_KIND(MESSAGE_RELEASE),
	    .ops = &mesh_callbacks,
	    .data = sidecar};
	mesh_add_handler(node_mesh(sidecar->node), &sidecar->handler);
	mesh_set_status_callback(
	    node_mesh(sidecar->node), fill_status_answer, sidecar);
	documents_subscribe_config(documents, on_config, sidecar);
	documents_subscribe(
	    documents, DOCUMENT_PLACEMENT, on_placement, sidecar);
	ev_timer_init(&sidecar->wake_timer, on_wake_timer, 0.0, 0.0);
	ev_prepare_init(&sidecar->loop_prepare, schedule_wake);
	ev_check_init(&sidecar->loop_check, detect_process_pause);
	ev_set_priority(&sidecar->loop_check, EV_MAXPRI);
	ev_timer_init(&sidecar->stop_timer, on_stop_timer, 0.0,
	    (double)STOP_CHECK_INTERVAL_MS / MS_PER_S);
	sidecar->wake_timer.data = sidecar;
	sidecar->loop_prepare.data = sidecar;
	sidecar->loop_check.data = sidecar;
	sidecar->stop_timer.data = sidecar;
	sidecar->sleep_started_at = clock_monotonic(sidecar->clock);
	ev_prepare_start(sidecar->loop, &sidecar->loop_prepare);
	ev_check_start(sidecar->loop, &sidecar->loop_check);
	drain_reasons_set(&sidecar->drain_reasons, DRAIN_UNCONFIGURED, true);
}

/* Creates all modules; on false error is set. */
static bool
open_sidecar(struct sidecar *sidecar, GError **error)
{
	const char *platform = sidecar->settings.platform;

	sidecar->node = node_new(sidecar->loop, sidecar->clock,
	    &sidecar->settings, &node_callbacks, sidecar, error);
	if (sidecar->node == NULL)
		return false;
	open_upstream(sidecar);
	open_runs(sidecar);
	if (platform != NULL && platform[0] != '\0')
		sidecar->weights = weights_new(
		    node_http_client(sidecar->node), platform);
	sidecar->reconciler = reconciler_new(
	    sidecar->upstream, sidecar->clock, &reconciler_callbacks, sidecar);
	sidecar->health = health_new(sidecar->loop, sidecar->upstream,
	    sidecar->runs, on_status, sidecar);
	register_callbacks(sidecar);
	return true;
}

/*
 * Frees all modules; the runs and the upstream first, so that no callback
 * follows.
 */
static void
close_sidecar(struct sidecar *sidecar)
{
	if (sidecar->node != NULL && sidecar->runs != NULL) {
		mesh_remove_handler(
		    node_mesh(sidecar->node), &sidecar->handler);
		ev_prepare_stop(sidecar->loop, &sidecar->loop_prepare);
		ev_check_stop(sidecar->loop, &sidecar->loop_check);
		ev_timer_stop(sidecar->loop, &sidecar->wake_timer);
		ev_timer_stop(sidecar->loop, &sidecar->stop_timer);
	}
	runs_free(sidecar->runs);
	upstream_free(sidecar->upstream);
	health_free(sidecar->health);
	reconciler_free(sidecar->reconciler);
	weights_free(sidecar->weights);
	node_free(sidecar->node);
	g_free(sidecar->loaded_model);
	g_free(sidecar->loaded_adapter);
	g_free(sidecar->loaded_version);
	settings_clear(&sidecar->settings);
}

/*
 * Checks that the shutdown left no request without its final answer. At the end
 * of the grace time, runs at the engine are left to the next process.
 */
static void
check_no_request_cut_off(const struct sidecar *sidecar)
{
	struct runs_stats stats;
	size_t cut_off;

	runs_stats(sidecar->runs, &stats);
	cut_off = stats.queued +
	    (sidecar->exiting ? stats.running_calls
			      : stats.running + stats.unanswered);
	invariant_check(&no_request_cut_off, cut_off == 0, NULL, NULL);
	invariants_log();
}

/* Runs a sidecar until it is asked to stop. Returns the process's exit code. */
int
command_sidecar(int argc, char **argv)
{
	struct sidecar sidecar = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

	node_block_signals();
	if (!settings_load_or_report(
		&sidecar.settings, ROLE_SIDECAR, argc, argv, &code))
		return code;
	if (sodium_init() < 0)
		return EXIT_CODE_FAILED;
	log_init(sidecar.settings.log_level,
	    &(struct log_identity){.process = sidecar.settings.id,
		.role = "sidecar",
		.failure_domain = sidecar.settings.failure_domain});
	sidecar.loop = ev_default_loop(0);
	if (!open_sidecar(&sidecar, &error)) {
		fprintf(stderr, "heatherturn sidecar: %s\n", error->message);
		code = node_exit_code(error);
		goto out;
	}
	LOG_INFO("sidecar serves", "{s:s, s:s}", "upstream",
	    sidecar.settings.upstream, "url", sidecar.settings.upstream_url);
	node_run(sidecar.node, sidecar.loop, start_draining);
	check_no_request_cut_off(&sidecar);
	LOG_INFO("sidecar stopped", "{}");
out:
	close_sidecar(&sidecar);
	return code;
}
