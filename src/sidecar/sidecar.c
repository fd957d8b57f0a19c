/*
 * The sidecar process: joins the mesh, the requests, the upstream, the orders
 * and the configuration, and stops without cutting a request off.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/settings.h"
#include "commands.h"
#include "node/node.h"
#include "sidecar/drain.h"
#include "sidecar/health.h"
#include "sidecar/orders.h"
#include "sidecar/runs.h"
#include "store/weights.h"

#define LOG_MODULE "sidecar"
#include "base/log.h"

/* The loop wakes far more often than this, unless the process is stopped. */
#define STOPPED_MS 1500
/* After a stop, orders wait this long for a newer placement. */
#define SETTLE_MS 2000
/* Between two looks at whether all is done, while stopping. */
#define STOP_CHECK_MS 50
/* Deletions that the engine does not confirm are left after this. */
#define STOP_DELETIONS_MS 5000
/* A permit that can't be had now is asked for again after this. */
#define PERMIT_RETRY_MS 2000

INVARIANT_DEFINE(nothing_cut, "sidecar_stop_cuts_off_nothing");

struct sidecar {
	struct ev_loop *loop;
	struct clock *clock;
	struct settings settings;
	struct node *node;
	struct upstream *upstream;
	struct runs *runs;
	struct health *health;
	struct orders *orders;
	char *held_model; /* as the engine last reported, NULL before */
	char *held_adapter;
	char *held_version;
	bool warm;
	uint64_t fencing;
	struct weights *weights; /* NULL where no platform is set */
	struct mesh_handler handler;
	struct drain drain;
	ev_timer wake;
	ev_prepare plan;
	ev_check wakened;
	struct timespec slept_at;
	ev_timer stop_timer;
	struct timespec stop_since;
};

/* Sends a message on the link that a peer stands for. */
static bool
send_message(void *data, void *peer, struct message *message)
{
	return link_send(peer, message);
}

/* Keeps heartbeats going on a link that a request needs. */
static void
watch_link(void *data, void *peer, bool on)
{
	if (on)
		link_hold(peer);
	else
		link_unhold(peer);
}

/* How many deaths all processes together know of. */
static uint32_t
count_deaths(void *data, uint64_t fingerprint)
{
	struct sidecar *sidecar = data;

	return fingerprint == 0
	    ? 0
	    : mesh_suspect_deaths(node_mesh(sidecar->node), fingerprint);
}

/* Tells all processes of a death. */
static void
report_death(void *data, uint64_t fingerprint, uint32_t deaths)
{
	struct sidecar *sidecar = data;

	mesh_report_death(node_mesh(sidecar->node), fingerprint);
}

/* A request is about to be given to the upstream. */
static void
check_starting(void *data)
{
	const struct sidecar *sidecar = data;

	drain_check_start(documents_config(node_documents(sidecar->node)),
	    sidecar->settings.upstream);
}

static const struct runs_ops runs_callbacks = {
    .send = send_message,
    .watch = watch_link,
    .starting = check_starting,
    .deaths = count_deaths,
    .died = report_death,
};

/* A message of an entry's has come. */
static void
take_message(void *data, struct link *link, const struct message *message)
{
	struct sidecar *sidecar = data;

	runs_message(
	    sidecar->runs, link, message, link_message_age_ms(link, message));
}

/* A link takes messages again. */
static void
take_writable(void *data, struct link *link)
{
	runs_peer_writable(((struct sidecar *)data)->runs, link);
}

/* A link is gone. */
static void
take_lost(void *data, struct link *link, const GError *error)
{
	runs_peer_lost(((struct sidecar *)data)->runs, link);
}

static const struct mesh_ops mesh_callbacks = {
    .message = take_message,
    .writable = take_writable,
    .lost = take_lost,
};

/* Time to look at deadlines, holds and orphans. */
static void
wake_ready(struct ev_loop *loop, ev_timer *w, int events)
{
	runs_tick(((struct sidecar *)w->data)->runs);
}

/* Before the loop sleeps: sets when it must wake for the requests. */
static void
plan_wake(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct sidecar *sidecar = w->data;
	struct timespec now = clock_monotonic(sidecar->clock);
	struct timespec wake = runs_next_wake(sidecar->runs);
	int64_t left_ms;

	sidecar->slept_at = now;
	ev_timer_stop(loop, &sidecar->wake);
	if (!time_is_set(wake))
		return;
	left_ms = MAX(time_diff_ms(wake, now) + 1, 0);
	ev_timer_set(&sidecar->wake, (double)left_ms / MS_PER_S, 0.0);
	ev_timer_start(loop, &sidecar->wake);
}

/*
 * After each sleep of the loop, before anything else: notices that the process
 * was stopped. What was decided before is not carried out any more.
 */
static void
check_stopped(struct ev_loop *loop, ev_check *w, int events)
{
	struct sidecar *sidecar = w->data;
	int64_t slept_ms = time_diff_ms(
	    clock_monotonic(sidecar->clock), sidecar->slept_at);

	if (slept_ms < STOPPED_MS)
		return;
	LOG_WARN("process was stopped", "{s:I}", "ms", (json_int_t)slept_ms);
	runs_give_back(sidecar->runs);
	orders_hold(sidecar->orders, SETTLE_MS);
}

/* A newer configuration: what the upstream bears, and whether it works. */
static void
take_config(void *data, struct config *config)
{
	struct sidecar *sidecar = data;
	const Heatherturn__V1__Upstream *upstream = config_upstream(
	    config, sidecar->settings.upstream);
	struct runs_capacity capacity;

	if (config_version(config) == 0)
		return;
	drain_set(&sidecar->drain, DRAIN_UNCONFIGURED, false);
	if (upstream == NULL) {
		drain_set(&sidecar->drain, DRAIN_CONFIGURED, true);
		return;
	}
	capacity = (struct runs_capacity){.slots = upstream->slots,
	    .cold_slots = upstream->cold_slots,
	    .memory_tokens = upstream->memory_tokens,
	    .prefill_tokens_per_s = upstream->prefill_tokens_per_s};
	runs_configure(sidecar->runs, &capacity);
	drain_set(&sidecar->drain, DRAIN_CONFIGURED,
	    !config_upstream_takes_work(config, upstream));
}

/* A newer placement: what it wants of this upstream. */
static void
take_placement(
    void *data, uint64_t version, const uint8_t *bytes, size_t length)
{
	struct sidecar *sidecar = data;
	const char *self = sidecar->settings.upstream;
	Heatherturn__V1__PlacementDocument *document;
	const Heatherturn__V1__Assignment *one;

	document = heatherturn__v1__placement_document__unpack(
	    NULL, length, bytes);
	if (document == NULL) {
		LOG_ERROR("placement can't be read", "{s:I}", "version",
		    (json_int_t)version);
		return;
	}
	for (size_t i = 0; i < document->n_assignments; i++) {
		one = document->assignments[i];
		if (strcmp(one->upstream, self) != 0)
			continue;
		orders_assign(sidecar->orders, one);
		drain_set(&sidecar->drain, DRAIN_ASSIGNED, one->leaving);
	}
	heatherturn__v1__placement_document__free_unpacked(document, NULL);
}

/* The upstream has reported: the orders go on. */
static void
take_status(void *data, const struct upstream_status *status)
{
	struct sidecar *sidecar = data;

	g_free(sidecar->held_model);
	g_free(sidecar->held_adapter);
	g_free(sidecar->held_version);
	sidecar->held_model = g_strdup(status->model);
	sidecar->held_adapter = g_strdup(status->adapter);
	sidecar->held_version = g_strdup(status->version);
	sidecar->warm = status->warm;
	sidecar->fencing = status->fencing;
	if (upstream_has_runs(sidecar->upstream))
		orders_status(sidecar->orders, status);
}

/* Tells a planner what the engine holds, while it is up. */
static void
report_upstream(void *data, struct message_census_answer *answer)
{
	struct sidecar *sidecar = data;

	if (!health_is_up(sidecar->health))
		return;
	answer->upstream = sidecar->settings.upstream;
	answer->model = sidecar->held_model;
	answer->adapter = sidecar->held_adapter;
	answer->model_version = sidecar->held_version;
	answer->warm = sidecar->warm;
	answer->fencing = sidecar->fencing;
}

/* The weight store has answered. */
static void
take_permit(void *data, const GError *error, int64_t retry_after_ms)
{
	struct sidecar *sidecar = data;

	if (error != NULL)
		LOG_INFO(
		    "no permit to load yet", "{s:s}", "error", error->message);
	orders_permitted(sidecar->orders, error == NULL,
	    retry_after_ms > 0 ? retry_after_ms : PERMIT_RETRY_MS);
}

/* Asks the weight store for a permit to load. */
static void
ask_permit(void *data, const char *model, const char *version)
{
	struct sidecar *sidecar = data;

	if (sidecar->weights == NULL)
		orders_permitted(sidecar->orders, true, 0);
	else
		weights_permit(sidecar->weights, model, version,
		    sidecar->settings.upstream, take_permit, sidecar);
}

/* Takes work from the engine before a load, and gives it back after. */
static void
drain_for_load(void *data, bool on)
{
	drain_set(&((struct sidecar *)data)->drain, DRAIN_LOADING, on);
}

/* Whether nothing runs at the engine. */
static bool
is_idle(void *data)
{
	struct runs_figures figures;

	runs_figures(((struct sidecar *)data)->runs, &figures);
	return figures.running + figures.cancelling + figures.blocks == 0;
}

static const struct orders_ops orders_callbacks = {
    .permit = ask_permit,
    .drain = drain_for_load,
    .idle = is_idle,
};

/*
 * Whether the process does its part. One whose upstream or domain is taken out
 * does: it refuses, which the operators have asked for.
 */
static bool
is_ready(void *data)
{
	const struct sidecar *sidecar = data;

	return !drain_has(&sidecar->drain, DRAIN_STOPPING) &&
	    health_is_up(sidecar->health) &&
	    health_was_cleaned(sidecar->health);
}

static const struct node_ops node_callbacks = {.ready = is_ready};

/*
 * While stopping: ends the process once every request here has its final
 * answer and that is with the system, but not before the entries had time to
 * notice that it leaves.
 */
static void
check_stop(struct ev_loop *loop, ev_timer *w, int events)
{
	struct sidecar *sidecar = w->data;
	struct timespec now = clock_monotonic(sidecar->clock);
	int64_t waited_ms = time_diff_ms(now, sidecar->stop_since);
	struct runs_figures figures;

	runs_figures(sidecar->runs, &figures);
	if (waited_ms < sidecar->settings.drain_notice_ms ||
	    figures.queued + figures.running + figures.unanswered > 0 ||
	    mesh_queued_bytes(node_mesh(sidecar->node)) > 0)
		return;
	if (figures.deletions + figures.blocks > 0 &&
	    waited_ms < sidecar->settings.drain_notice_ms + STOP_DELETIONS_MS)
		return;
	ev_break(loop, EVBREAK_ALL);
}

/* Begins to stop: no new work, what waits is given back, what runs ends. */
static void
stop(void *data)
{
	struct sidecar *sidecar = data;

	if (drain_has(&sidecar->drain, DRAIN_STOPPING))
		return;
	node_leave(sidecar->node);
	sidecar->stop_since = clock_monotonic(sidecar->clock);
	drain_set(&sidecar->drain, DRAIN_STOPPING, true);
	ev_timer_start(sidecar->loop, &sidecar->stop_timer);
}

/* Makes the adapter of the upstream's dialect. */
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

/* Makes what holds the requests. */
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
	drain_init(&sidecar->drain, sidecar->runs);
}

/* Joins the parts to the mesh and the documents. */
static void
connect_parts(struct sidecar *sidecar)
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
	mesh_set_census_report(
	    node_mesh(sidecar->node), report_upstream, sidecar);
	documents_subscribe_config(documents, take_config, sidecar);
	documents_subscribe(
	    documents, DOCUMENT_PLACEMENT, take_placement, sidecar);
	ev_timer_init(&sidecar->wake, wake_ready, 0.0, 0.0);
	ev_prepare_init(&sidecar->plan, plan_wake);
	ev_check_init(&sidecar->wakened, check_stopped);
	ev_set_priority(&sidecar->wakened, EV_MAXPRI);
	ev_timer_init(&sidecar->stop_timer, check_stop, 0.0,
	    (double)STOP_CHECK_MS / MS_PER_S);
	sidecar->wake.data = sidecar;
	sidecar->plan.data = sidecar;
	sidecar->wakened.data = sidecar;
	sidecar->stop_timer.data = sidecar;
	sidecar->slept_at = clock_monotonic(sidecar->clock);
	ev_prepare_start(sidecar->loop, &sidecar->plan);
	ev_check_start(sidecar->loop, &sidecar->wakened);
	drain_set(&sidecar->drain, DRAIN_UNCONFIGURED, true);
}

/* Brings all parts up; false with the error of the one that failed. */
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
	sidecar->orders = orders_new(
	    sidecar->upstream, sidecar->clock, &orders_callbacks, sidecar);
	sidecar->health = health_new(sidecar->loop, sidecar->upstream,
	    sidecar->runs, take_status, sidecar);
	connect_parts(sidecar);
	return true;
}

/* Takes all parts down; the upstream first, so that no callback comes. */
static void
close_sidecar(struct sidecar *sidecar)
{
	if (sidecar->node != NULL && sidecar->runs != NULL) {
		mesh_remove_handler(
		    node_mesh(sidecar->node), &sidecar->handler);
		ev_prepare_stop(sidecar->loop, &sidecar->plan);
		ev_check_stop(sidecar->loop, &sidecar->wakened);
		ev_timer_stop(sidecar->loop, &sidecar->wake);
		ev_timer_stop(sidecar->loop, &sidecar->stop_timer);
	}
	runs_free(sidecar->runs);
	upstream_free(sidecar->upstream);
	health_free(sidecar->health);
	orders_free(sidecar->orders);
	weights_free(sidecar->weights);
	node_free(sidecar->node);
	g_free(sidecar->held_model);
	g_free(sidecar->held_adapter);
	g_free(sidecar->held_version);
	settings_clear(&sidecar->settings);
}

/* Checks that a planned stop left no request without its answer. */
static void
check_stopped_whole(const struct sidecar *sidecar)
{
	struct runs_figures figures;

	runs_figures(sidecar->runs, &figures);
	invariant_check(&nothing_cut,
	    figures.queued + figures.running + figures.unanswered == 0, NULL,
	    NULL);
	invariants_log();
}

/* Runs a sidecar until it is asked to stop. */
int
command_sidecar(int argc, char **argv)
{
	struct sidecar sidecar = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

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
	node_run(sidecar.node, sidecar.loop, stop);
	check_stopped_whole(&sidecar);
	LOG_INFO("sidecar stopped", "{}");
out:
	close_sidecar(&sidecar);
	return code;
}
