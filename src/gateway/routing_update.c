#include "gateway/routing_update.h"

#include <string.h>

#include <malloc.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "platform/config_change.h"
#include "platform/config_items.h"
#include "platform/decode.h"

#define LOG_MODULE "routing_update"
#include "base/log.h"

/* Elements between two checks of the time; each takes some microseconds. */
#define STEP_ELEMENTS 8

/* Where a change came from. */
enum change_source {
	SOURCE_STORE, /* the whole object, which can't fail once it has begun */
	SOURCE_PEER,
	SOURCES,
};

struct routing_update {
	struct ev_loop *loop;
	struct clock *clock;
	const struct routing_update_ops *ops;
	void *data;
	ev_timer timer; /* starts the next slice */
	struct config_items *items;
	struct routing_table *table; /* of the items; NULL before the first */
	struct config_change *running; /* NULL for none */
	struct config_change *waiting[SOURCES]; /* the newest; NULL for none */
	bool is_damaged; /* the items are not those of their version */
	/* The latest that could not be used, of the store or of a peer. */
	uint64_t missed_version;
	bool settling; /* what the last change replaced is being released */
	uint64_t refused_version; /* the last that could not be begun */
	struct timespec started; /* of the running change */
	bool applied; /* a change whose cost was not logged yet */
	int64_t longest_slice_us; /* of the running change */
	unsigned int slices; /* the same */
};

METRIC_DEFINE(applied_count, METRIC_COUNTER,
    "heatherturn_configuration_changes", NULL,
    "Changes of the configuration that were applied.");
METRIC_DEFINE(failed_count, METRIC_COUNTER,
    "heatherturn_configuration_changes_ignored", NULL,
    "Changes of the configuration that could not be used.");
METRIC_DEFINE(merged_count, METRIC_COUNTER,
    "heatherturn_configuration_changes_merged", NULL,
    "Changes of the configuration that a newer one replaced before they were "
    "applied.");
METRIC_DEFINE(dropped_count, METRIC_COUNTER,
    "heatherturn_configuration_changes_dropped", NULL,
    "Changes of the configuration that were not newer than what was known.");
METRIC_DEFINE(slice_gauge, METRIC_GAUGE, "heatherturn_configuration_slice_us",
    NULL,
    "Longest time without other work in the last change of the configuration.");

static void on_slice_timer(struct ev_loop *, ev_timer *, int events);

/*
 * Makes the allocator merge free blocks as they are freed. By default it merges
 * all small ones when a large one is freed, which took 80 ms of CPU time after
 * a configuration with 20,000 routes had been freed in slices.
 */
void
routing_update_init_process(void)
{
	if (mallopt(M_MXFAST, 0) == 0)
		LOG_WARN("the allocator can't merge free blocks at once", "{}");
}

/* Creates the updates of a table that does not exist yet. */
struct routing_update *
routing_update_new(struct ev_loop *loop, struct clock *clock,
    const struct routing_update_ops *ops, void *data)
{
	struct routing_update *update = g_new0(struct routing_update, 1);

	update->loop = loop;
	update->clock = clock;
	update->ops = ops;
	update->data = data;
	ev_timer_init(&update->timer, on_slice_timer, 0.0, 0.0);
	update->timer.data = update;
	update->items = config_items_new(routing_table_new());
	return update;
}

/* Frees the updates and the table; NULL is allowed. */
void
routing_update_free(struct routing_update *update)
{
	if (update == NULL)
		return;
	ev_timer_stop(update->loop, &update->timer);
	config_change_free(update->running);
	for (int i = 0; i < SOURCES; i++)
		config_change_free(update->waiting[i]);
	routing_table_free(config_items_table(update->items));
	config_items_free(update->items);
	g_free(update);
}

/* Returns the table in force; NULL before the first. */
struct routing_table *
routing_update_table(const struct routing_update *update)
{
	return update->table;
}

/* Returns the version of the configuration in force; 0 for none. */
static uint64_t
version_in_force(const struct routing_update *update)
{
	return update->table == NULL ? 0 : update->table->version;
}

/*
 * Logs and counts a change that can't be used. Unless it is older than what is
 * in force, it shows that the configuration has changed; an object of the store
 * does so also if a peer of an earlier build has raised the version in force.
 */
static void
ignore_change(struct routing_update *update, bool is_object, uint64_t version,
    const GError *error)
{
	uint64_t missed = version;

	if (is_object)
		missed = MAX(missed, config_items_version(update->items) + 1);
	metric_add(&failed_count, 1);
	if (!g_error_matches(error, DECODE_ERROR, DECODE_ERROR_OLDER))
		update->missed_version = MAX(update->missed_version, missed);
	LOG_WARN("configuration change ignored", "{s:s, s:I, s:I}", "why",
	    error->message, "revision", (json_int_t)version, "in_force",
	    (json_int_t)version_in_force(update));
}

/*
 * Logs and counts a change of the store (an object) or of a peer (items) that
 * is not newer than a version that is in force or waits.
 */
static void
count_dropped(bool is_object, uint64_t version, uint64_t known)
{
	metric_add(&dropped_count, 1);
	LOG_INFO("configuration change dropped as not newer", "{s:s, s:I, s:I}",
	    "form", is_object ? "object" : "items", "revision",
	    (json_int_t)version, "known", (json_int_t)known);
}

/* Makes the running change visible. */
static void
commit(struct routing_update *update)
{
	uint64_t version = config_change_version(update->running);

	config_change_commit(update->running);
	config_change_free(update->running);
	update->running = NULL;
	update->table = config_items_table(update->items);
	update->is_damaged = false;
	update->settling = true;
	update->applied = true;
	metric_add(&applied_count, 1);
	update->ops->applied(update->data, version);
}

/*
 * Gives up the running change. What it has staged is not visible; later changes
 * go on from there.
 */
static void
fail(struct routing_update *update, const GError *error)
{
	uint64_t version = config_change_version(update->running);
	bool had_all = config_change_is_object(update->running) ||
	    config_change_base(update->running) == 0;

	ignore_change(
	    update, config_change_is_object(update->running), version, error);
	config_change_free(update->running);
	update->running = NULL;
	update->is_damaged = true;
	update->ops->failed(update->data, version, had_all);
}

/* Returns whether a change waits. */
static bool
has_waiting(const struct routing_update *update)
{
	return update->waiting[SOURCE_STORE] != NULL ||
	    update->waiting[SOURCE_PEER] != NULL;
}

/*
 * Takes the newest of the changes that wait; of one version, the store's. The
 * other one goes on waiting: it is needed if this one fails.
 */
static struct config_change *
take_waiting(struct routing_update *update)
{
	struct config_change *store = update->waiting[SOURCE_STORE];
	struct config_change *peer = update->waiting[SOURCE_PEER];

	if (store != NULL &&
	    (peer == NULL ||
		config_change_version(store) >= config_change_version(peer)))
		return g_steal_pointer(&update->waiting[SOURCE_STORE]);
	return g_steal_pointer(&update->waiting[SOURCE_PEER]);
}

/* Starts a waiting change, if any. */
static void
start_waiting(struct routing_update *update)
{
	g_autoptr(GError) error = NULL;
	struct config_change *change = take_waiting(update);
	uint64_t known;

	if (change == NULL)
		return;
	known = config_items_version(update->items);
	/* A peer of an earlier build may have raised the known version. */
	if (config_change_version(change) <= known &&
	    config_change_rebase(change, known, update->table) <= known) {
		count_dropped(config_change_is_object(change),
		    config_change_version(change), known);
		config_change_free(change);
		return;
	}
	update->started = clock_monotonic(update->clock);
	update->longest_slice_us = 0;
	update->slices = 0;
	if (config_change_begin(change, update->items, update->table, &error)) {
		update->running = change;
		return;
	}
	update->refused_version = config_change_version(change);
	ignore_change(update, config_change_is_object(change),
	    update->refused_version, error);
	config_change_free(change);
}

/* Does a small part of what is to be done. */
static void
step(struct routing_update *update)
{
	g_autoptr(GError) error = NULL;

	if (update->settling) {
		update->settling = !routing_table_settle(
		    config_items_table(update->items), STEP_ELEMENTS);
		return;
	}
	if (update->running == NULL) {
		start_waiting(update);
		return;
	}
	switch (config_change_step(update->running, STEP_ELEMENTS, &error)) {
	case CONFIG_CHANGE_RUNNING:
		break;
	case CONFIG_CHANGE_READY:
		commit(update);
		break;
	case CONFIG_CHANGE_FAILED:
		fail(update, error);
		break;
	}
}

/* Returns whether a change is being applied or waits. */
bool
routing_update_is_busy(const struct routing_update *update)
{
	return update->running != NULL || has_waiting(update) ||
	    update->settling;
}

/*
 * Returns whether a newer configuration than the one in force has arrived and
 * could not be used.
 */
bool
routing_update_has_missed(const struct routing_update *update)
{
	return update->missed_version > config_items_version(update->items);
}

/*
 * Returns whether there is a newer configuration than the one in force, as far
 * as is known here.
 */
bool
routing_update_is_behind(const struct routing_update *update)
{
	return update->running != NULL || has_waiting(update) ||
	    routing_update_has_missed(update);
}

/* Logs the cost of a change once nothing of it is left to do. */
static void
log_cost(const struct routing_update *update)
{
	metric_set(&slice_gauge, update->longest_slice_us);
	LOG_INFO("configuration change applied", "{s:I, s:i, s:I, s:I}",
	    "version", (json_int_t)version_in_force(update), "slices",
	    (int)update->slices, "longest_slice_us",
	    (json_int_t)update->longest_slice_us, "took_ms",
	    (json_int_t)time_diff_ms(
		clock_monotonic(update->clock), update->started));
}

/* Works for one slice and schedules the next one if there is more to do. */
static void
run_slice(struct routing_update *update)
{
	struct timespec start = clock_monotonic(update->clock);
	enum loop_work previous;
	int64_t spent_us = 0;

	if (ev_is_active(&update->timer))
		return;
	previous = loop_work_begin(LOOP_WORK_ROUTES);
	while (routing_update_is_busy(update) &&
	    spent_us < ROUTING_UPDATE_SLICE_US) {
		step(update);
		spent_us = time_diff_us(clock_monotonic(update->clock), start);
	}
	loop_work_end(previous);
	update->slices++;
	update->longest_slice_us = MAX(update->longest_slice_us, spent_us);
	if (!routing_update_is_busy(update)) {
		if (update->applied)
			log_cost(update);
		update->applied = false;
		return;
	}
	ev_timer_set(&update->timer, 0.0, 0.0);
	ev_timer_start(update->loop, &update->timer);
}

/* Runs the next slice. */
static void
on_slice_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_slice(timer->data);
}

/*
 * Adds a change; while another is being applied, the newest one of the store
 * and the newest one of the peers wait.
 */
static void
add(struct routing_update *update, struct config_change *change)
{
	struct config_change **waiting =
	    &update->waiting[config_change_is_object(change) ? SOURCE_STORE
							     : SOURCE_PEER];

	if (*waiting != NULL) {
		metric_add(&merged_count, 1);
		if (config_change_version(change) <=
		    config_change_version(*waiting)) {
			count_dropped(config_change_is_object(change),
			    config_change_version(change),
			    config_change_version(*waiting));
			config_change_free(change);
			return;
		}
		config_change_free(*waiting);
	}
	*waiting = change;
	run_slice(update);
}

/*
 * Adds the configuration's object, as the store has it in this version. One
 * that can't be used is logged, and the configuration in force stays.
 */
void
routing_update_add_object(
    struct routing_update *update, json_t *object, uint64_t version)
{
	g_autoptr(GError) error = NULL;
	struct config_change *change = config_change_new_object(
	    object, version, &error);

	if (change == NULL)
		ignore_change(update, true, version, error);
	else
		add(update, change);
}

/*
 * Adds the items that another process has sent. Returns false if it is known
 * at once that they can't be used; a later failure is reported.
 */
bool
routing_update_add_items(struct routing_update *update, uint64_t base,
    uint64_t version, const uint8_t *text, size_t length)
{
	g_autoptr(GError) error = NULL;
	struct config_change *change;

	if (version <= config_items_version(update->items)) {
		count_dropped(
		    false, version, config_items_version(update->items));
		return false;
	}
	change = config_change_new_items(base, version, text, length, &error);
	if (change == NULL) {
		ignore_change(update, false, version, error);
		return false;
	}
	add(update, change);
	return update->refused_version != version;
}

/* Returns whether the items are those of a version, and not of a part of it. */
static bool
is_consistent(const struct routing_update *update)
{
	return update->running == NULL && !update->is_damaged &&
	    update->table != NULL;
}

/*
 * Encodes the items that changed after a version, see object_set_encode(). NULL
 * while a change is being applied, before the first one, or after a failure.
 */
GString *
routing_update_encode(
    const struct routing_update *update, uint64_t since, uint64_t *base)
{
	if (!is_consistent(update))
		return NULL;
	return config_items_encode(update->items, since, base);
}

/* Writes the checksums of the items, and returns their number. */
size_t
routing_update_describe(const struct routing_update *update, uint64_t *sums)
{
	memcpy(sums, config_items_sums(update->items),
	    CONFIG_ITEMS_BUCKETS * sizeof(*sums));
	return CONFIG_ITEMS_BUCKETS;
}

/*
 * Encodes what differs from another process's items, by their checksums. NULL
 * as above, or if their number is unknown.
 */
GString *
routing_update_encode_repair(
    const struct routing_update *update, const uint64_t *sums, size_t count)
{
	if (!is_consistent(update) || count != CONFIG_ITEMS_BUCKETS)
		return NULL;
	return config_items_encode_repair(update->items, sums);
}

/* Encodes the configuration as the store's object; NULL as above. */
GString *
routing_update_encode_object(const struct routing_update *update)
{
	if (!is_consistent(update))
		return NULL;
	return config_items_encode_object(update->items);
}
