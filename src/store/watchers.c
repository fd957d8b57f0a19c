#include "store/watchers.h"

#include <string.h>

#include <xxhash.h>

#include "base/metrics.h"
#include "store/claims_collector.h"

#define LOG_MODULE "watchers"
#include "base/log.h"

/* How often the ranking is looked at again. */
#define RANK_EVERY_MS 500
/*
 * A watch without news is asked again after this, which also bounds how long
 * one on a connection that has gone silent hides a newer version.
 */
#define WATCH_MS 5000
/* An object that is not there yet is asked for again this soon. */
#define ABSENT_MS 500
/* After a failure the platform is asked again this soon. */
#define AGAIN_MIN_MS 250
#define AGAIN_MAX_MS 4000

/* One watched object. */
struct watch {
	struct watchers *watchers;
	const char *name;
	struct store_call *call; /* NULL while waiting to ask again */
	struct ev_timer again;
	int64_t again_ms;
};

struct watchers {
	struct ev_loop *loop;
	struct clock *clock;
	struct store *store;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	const struct link_identity *identity;
	struct ev_timer rank_timer;
	struct watch watches[2];
	bool watching;
	bool first; /* no entry of the failure domain is ahead */
	struct claims_collector *collector;
};

METRIC_DEFINE(watching_gauge, METRIC_GAUGE, "heatherturn_watching", NULL,
    "1 while this process watches the platform for its failure domain");

static void ask(struct watch *);

/* Asks again once the time is over. */
static void
take_again(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	ask(timer->data);
}

/* Waits before the platform is asked again. */
static void
ask_later(struct watch *watch, int64_t ms)
{
	ev_timer_set(&watch->again, (double)ms / MS_PER_S, 0);
	ev_timer_start(watch->watchers->loop, &watch->again);
}

/* Says whether a call ended with an error of this code. */
static bool
has_code(const struct store_result *result, enum store_error code)
{
	return g_error_matches(result->error, STORE_ERROR, (int)code);
}

/* Takes what a watch brought. */
static void
take_result(void *data, const struct store_result *result)
{
	struct watch *watch = data;
	struct documents *documents = watch->watchers->documents;

	watch->call = NULL;
	if (result->error == NULL) {
		documents_update(documents, watch->name, result->version,
		    result->value, result->length);
		if (documents_version(documents, watch->name) >=
		    result->version) {
			watch->again_ms = AGAIN_MIN_MS;
			ask(watch);
			return;
		}
		/* Can't be used here; a watch would bring it again at once. */
	}
	if (has_code(result, STORE_ERROR_UNCHANGED)) {
		watch->again_ms = AGAIN_MIN_MS;
		ask(watch);
		return;
	}
	if (has_code(result, STORE_ERROR_NOT_FOUND)) {
		ask_later(watch, ABSENT_MS);
		return;
	}
	ask_later(watch, MAX(watch->again_ms, result->retry_after_ms));
	watch->again_ms = MIN(watch->again_ms * 2, AGAIN_MAX_MS);
}

/* Asks the platform for a version newer than the one that is had. */
static void
ask(struct watch *watch)
{
	struct watchers *watchers = watch->watchers;
	const struct store_request request = {
	    .verb = STORE_WATCH,
	    .key = watch->name,
	    .version = documents_version(watchers->documents, watch->name),
	    .timeout_ms = WATCH_MS,
	};

	watch->call = store_start(
	    watchers->store, &request, take_result, watch);
}

/* Begins or ends watching. */
static void
set_watching(struct watchers *watchers, bool on)
{
	if (watchers->watching == on)
		return;
	watchers->watching = on;
	metric_set(&watching_gauge, on);
	LOG_INFO(on ? "watches the platform" : "watches the platform no more",
	    "{s:s}", "failure_domain", watchers->identity->failure_domain);
	hosts_set_polling(watchers->hosts, on);
	for (size_t i = 0; i < G_N_ELEMENTS(watchers->watches); i++) {
		struct watch *watch = &watchers->watches[i];

		ev_timer_stop(watchers->loop, &watch->again);
		watch->again_ms = AGAIN_MIN_MS;
		if (watch->call != NULL)
			store_cancel(watchers->store, watch->call);
		watch->call = NULL;
		if (on)
			ask(watch);
	}
}

/* Returns a candidate's rank; the higher goes first. */
static uint64_t
rank_of(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

/*
 * Says whether self is among the wanted highest ranked of the candidates that
 * answer. Self always counts as answering, also where it is not listed.
 */
bool
watchers_rank(const struct watcher_candidate *candidates, size_t count,
    const char *self, size_t wanted)
{
	uint64_t own = rank_of(self);
	size_t ahead = 0;

	for (size_t i = 0; i < count; i++) {
		if (!candidates[i].answers ||
		    strcmp(candidates[i].id, self) == 0)
			continue;
		if (rank_of(candidates[i].id) > own)
			ahead++;
	}
	return ahead < wanted;
}

/*
 * Says whether an entry of the list is up: a link to it is open. The ping
 * counts as use, so that the link's own heartbeats go on until the next look.
 */
static bool
answers(struct watchers *watchers, const struct host *host)
{
	struct message ping = {.kind = MESSAGE_PING};
	struct link *link = mesh_get_link(watchers->mesh, host->address);

	link_send(link, &ping);
	return link_is_open(link);
}

/* Says whether a host could watch in our place. */
static bool
is_rival(const struct watchers *watchers, const struct host *host)
{
	const struct link_identity *self = watchers->identity;

	return host->role == ROLE_ENTRY && !host->leaving &&
	    strcmp(host->failure_domain, self->failure_domain) == 0 &&
	    strcmp(host->id, self->process) != 0;
}

/* Orders hosts by rank, the highest first. */
static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	uint64_t rank_a = rank_of((*(const struct host *const *)a)->id);
	uint64_t rank_b = rank_of((*(const struct host *const *)b)->id);

	return (rank_a < rank_b) - (rank_a > rank_b);
}

/*
 * Says whether this entry does what one entry of all does, such as collecting
 * old claims: none of its failure domain is ahead of it, and none of a failure
 * domain with a smaller name is on the list. Two may say so for a while.
 */
bool
watchers_is_first(const struct watchers *watchers)
{
	const char *domain = watchers->identity->failure_domain;
	size_t count;
	const struct host *const *list = hosts_list(watchers->hosts, &count);

	if (!watchers->first)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (list[i]->role == ROLE_ENTRY && !list[i]->leaving &&
		    strcmp(list[i]->failure_domain, domain) < 0)
			return false;
	}
	return true;
}

/*
 * Looks at the ranking again: who is gone is replaced, whoever returns yields.
 * Links are opened only to those ahead of this entry, and only until enough of
 * them answer: in a large failure domain nearly all entries ask the same two.
 */
static void
rank(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct watchers *watchers = timer->data;
	const char *self = watchers->identity->process;
	g_autoptr(GPtrArray) rivals = g_ptr_array_new();
	struct watcher_candidate ahead[WATCHERS_PER_DOMAIN];
	size_t found = 0;
	size_t count;
	const struct host *const *list = hosts_list(watchers->hosts, &count);

	for (size_t i = 0; i < count; i++) {
		if (is_rival(watchers, list[i]))
			g_ptr_array_add(rivals, (void *)list[i]);
	}
	g_ptr_array_sort(rivals, compare_ranks);
	for (guint i = 0; i < rivals->len && found < WATCHERS_PER_DOMAIN; i++) {
		const struct host *host = g_ptr_array_index(rivals, i);

		if (rank_of(host->id) < rank_of(self))
			break;
		if (answers(watchers, host))
			ahead[found++] = (struct watcher_candidate){
			    host->id, true};
	}
	watchers->first = found == 0;
	claims_collector_set_active(
	    watchers->collector, watchers_is_first(watchers));
	set_watching(
	    watchers, watchers_rank(ahead, found, self, WATCHERS_PER_DOMAIN));
}

/*
 * Makes the part that decides whether this entry watches the platform, and does
 * so. Until a host list is had, every entry watches. All is borrowed and
 * outlives it.
 */
struct watchers *
watchers_new(struct ev_loop *loop, struct clock *clock, struct store *store,
    struct mesh *mesh, struct documents *documents, struct hosts *hosts,
    const struct link_identity *identity)
{
	static const char *const names[] = {
	    DOCUMENT_CONFIG,
	    DOCUMENT_PLACEMENT,
	};
	struct watchers *watchers = g_new0(struct watchers, 1);

	watchers->loop = loop;
	watchers->clock = clock;
	watchers->store = store;
	watchers->mesh = mesh;
	watchers->documents = documents;
	watchers->hosts = hosts;
	watchers->identity = identity;
	watchers->collector = claims_collector_new(loop, clock, store);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct watch *watch = &watchers->watches[i];

		watch->watchers = watchers;
		watch->name = names[i];
		ev_timer_init(&watch->again, take_again, 0, 0);
		watch->again.data = watch;
	}
	ev_timer_init(&watchers->rank_timer, rank, 0, RANK_EVERY_MS / 1e3);
	watchers->rank_timer.data = watchers;
	ev_timer_start(loop, &watchers->rank_timer);
	return watchers;
}

/* Stops watching; NULL is allowed. */
void
watchers_free(struct watchers *watchers)
{
	if (watchers == NULL)
		return;
	ev_timer_stop(watchers->loop, &watchers->rank_timer);
	set_watching(watchers, false);
	claims_collector_free(watchers->collector);
	g_free(watchers);
}

/* Says whether this process watches the platform now. */
bool
watchers_is_watching(const struct watchers *watchers)
{
	return watchers->watching;
}
