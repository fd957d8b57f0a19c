#include "policy/part_quarantine.h"

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/list.h"

#define WEIGHT_REFUSED 6
/* Of a part with which a request has survived before. */
#define WEIGHT_REFUSED_SURVIVED (2 * WEIGHT_REFUSED)
/* Maximum number of charges of a part; the oldest is dropped. */
#define CHARGES_MAX 32
/*
 * Deaths within this time are of one moment: a failure domain or a service
 * that went as a whole ends all its upstreams at once.
 */
#define MOMENT_MS 1000
/*
 * A survival refutes charges up to this long after its response began: a part
 * is as sound then as it was.
 */
#define SURVIVAL_COVERS_MS 1000

static const unsigned int weights[PART_EVENT_KINDS] = {
    [PART_CHARGED_WEAKLY] = 1,
    [PART_CHARGED] = 2,
    [PART_CHARGED_ALONE] = 4,
};

struct charge {
	uint64_t death;
	struct timespec at;
	enum part_event_kind kind;
};

/* A part of prompts, or a whole request. */
struct part {
	uint64_t id;
	bool is_request;
	uint32_t depth; /* the least deep position in a prompt */
	bool refused;
	GArray *charges; /* of struct charge, by time; NULL for none */
	struct timespec survived_at; /* latest begin of a survivor; or unset */
	struct timespec probed_at; /* by this process; or unset */
	TAILQ_ENTRY(part) entry;
};

TAILQ_HEAD(parts, part);

/* The least recently used one first. */
struct part_list {
	struct parts parts;
	size_t count;
};

struct part_quarantine {
	GHashTable *by_id;
	bool changed; /* charges have changed since the last update */
	struct part_list parts;
	struct part_list requests;
};

/* Creates an empty table. */
struct part_quarantine *
part_quarantine_new(void)
{
	struct part_quarantine *quarantine = g_new0(struct part_quarantine, 1);

	quarantine->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&quarantine->parts.parts);
	TAILQ_INIT(&quarantine->requests.parts);
	return quarantine;
}

/* Returns the list of a part or a whole request. */
static struct part_list *
list_of(struct part_quarantine *quarantine, bool is_request)
{
	return is_request ? &quarantine->requests : &quarantine->parts;
}

/* Removes a part and frees it. */
static void
remove_part(struct part_quarantine *quarantine, struct part *part)
{
	struct part_list *list = list_of(quarantine, part->is_request);

	g_hash_table_remove(quarantine->by_id, &part->id);
	TAILQ_REMOVE(&list->parts, part, entry);
	list->count--;
	if (part->charges != NULL)
		g_array_unref(part->charges);
	g_free(part);
}

/* Frees the table; NULL is allowed. */
void
part_quarantine_free(struct part_quarantine *quarantine)
{
	struct part *part;

	if (quarantine == NULL)
		return;
	while ((part = TAILQ_FIRST(&quarantine->parts.parts)) != NULL ||
	    (part = TAILQ_FIRST(&quarantine->requests.parts)) != NULL)
		remove_part(quarantine, part);
	g_hash_table_unref(quarantine->by_id);
	g_free(quarantine);
}

/*
 * Returns as what a part, or a whole request, at some depth is charged with an
 * upstream's death; false if it is not, since it has survived or the upstream
 * was about to end.
 */
bool
part_quarantine_charge(const struct part_death_stage *stage, uint32_t depth,
    enum part_event_kind *out)
{
	bool survived = stage->events >= PART_QUARANTINE_SURVIVED_EVENTS;

	if (stage->leaving)
		return false;
	if (depth != PART_DEPTH_REQUEST) {
		*out = stage->begun ? PART_CHARGED : PART_CHARGED_WEAKLY;
		return !survived;
	}
	if (stage->alone)
		*out = PART_CHARGED_ALONE;
	else
		*out = survived ? PART_CHARGED_WEAKLY : PART_CHARGED;
	return true;
}

/* Returns whether a charge is too old to count. */
static bool
is_expired(const struct charge *charge, struct timespec now)
{
	return time_diff_ms(now, charge->at) >= PART_QUARANTINE_MS;
}

/* Returns the number of charges. */
static size_t
count_charges(const struct part *part)
{
	return part->charges != NULL ? part->charges->len : 0;
}

/* Returns one of the charges. */
static struct charge *
charge_at(const struct part *part, size_t i)
{
	return &g_array_index(part->charges, struct charge, i);
}

/* Returns the time of the last charge. */
static struct timespec
last_charge(const struct part *part)
{
	struct timespec last = {0};

	for (size_t i = 0; i < count_charges(part); i++) {
		if (time_before(last, charge_at(part, i)->at))
			last = charge_at(part, i)->at;
	}
	return last;
}

/* Returns whether the id is that of a known request, and not of a part. */
bool
part_quarantine_is_request(
    const struct part_quarantine *quarantine, uint64_t part_id)
{
	const struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &part_id);

	return part != NULL && part->is_request;
}

/*
 * Returns for how many milliseconds requests with a part are refused from now
 * on; 0 if they are not.
 */
int64_t
part_quarantine_left_ms(const struct part_quarantine *quarantine,
    uint64_t part_id, struct timespec now)
{
	const struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &part_id);

	if (part == NULL || !part->refused)
		return 0;
	return MAX(
	    PART_QUARANTINE_MS - time_diff_ms(now, last_charge(part)), 0);
}

/*
 * Returns the weight of the first charges, as many as count, whose deaths no
 * refused part explains. For
 * a part that has survived before, deaths of one moment weigh as the heaviest
 * of them: what many ask for runs at many upstreams, and if these die at once
 * the cause is another one.
 */
static unsigned int
weigh_first(const struct part *part, size_t count, GHashTable *explained)
{
	bool has_survived = time_is_set(part->survived_at);
	unsigned int weight = 0, heaviest = 0;
	struct timespec moment = {0};

	for (size_t i = 0; i < count; i++) {
		const struct charge *charge = charge_at(part, i);

		if (explained != NULL &&
		    g_hash_table_contains(explained, &charge->death))
			continue;
		if (!has_survived || !time_is_set(moment) ||
		    time_diff_ms(charge->at, moment) >= MOMENT_MS) {
			weight += heaviest;
			heaviest = 0;
			moment = charge->at;
		}
		heaviest = MAX(heaviest, weights[charge->kind]);
	}
	return weight + heaviest;
}

/* Returns the weight of all charges whose deaths no refused part explains. */
static unsigned int
weigh(const struct part *part, GHashTable *explained)
{
	return weigh_first(part, count_charges(part), explained);
}

/* Returns whether charges of this weight are enough to refuse the part. */
static bool
is_enough(const struct part *part, unsigned int weight)
{
	return weight >= (time_is_set(part->survived_at)
				 ? WEIGHT_REFUSED_SURVIVED
				 : WEIGHT_REFUSED);
}

/*
 * Returns whether the last charge is a probe's: it came late after the one
 * before it, and those before were enough to refuse the part.
 */
static bool
was_probed(const struct part *part)
{
	size_t count = count_charges(part);

	return count > 1 &&
	    time_diff_ms(charge_at(part, count - 1)->at,
		charge_at(part, count - 2)->at) >= PART_QUARANTINE_PROBE_MS &&
	    is_enough(part, weigh_first(part, count - 1, NULL));
}

/*
 * Returns after how many milliseconds a refused part may be accepted again; 0
 * if it is accepted now. That is when its probe is due, or as much later again
 * as the probe has been due for: it may be under way, or wait for a request at
 * the gateway that sends it. After a probe that has failed it is the end of the
 * refusal.
 */
int64_t
part_quarantine_retry_after_ms(const struct part_quarantine *quarantine,
    uint64_t part_id, struct timespec now)
{
	const struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &part_id);
	int64_t left_ms = part_quarantine_left_ms(quarantine, part_id, now);
	int64_t until_probe_ms;

	if (left_ms == 0 || was_probed(part))
		return left_ms;
	until_probe_ms = PART_QUARANTINE_PROBE_MS -
	    time_diff_ms(now, last_charge(part));
	if (until_probe_ms > 0)
		return until_probe_ms;
	return MIN(left_ms, MAX(-until_probe_ms, PART_QUARANTINE_RETRY_MIN_MS));
}

/* Returns whether a request with a refused part should be sent as a probe. */
bool
part_quarantine_is_probe_due(const struct part_quarantine *quarantine,
    uint64_t part_id, struct timespec now)
{
	const struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &part_id);

	if (part_quarantine_left_ms(quarantine, part_id, now) == 0 ||
	    time_diff_ms(now, last_charge(part)) < PART_QUARANTINE_PROBE_MS ||
	    was_probed(part))
		return false;
	return !time_is_set(part->probed_at) ||
	    time_diff_ms(now, part->probed_at) >= PART_QUARANTINE_MS;
}

/* A probe with a part begins. */
void
part_quarantine_on_probe(
    struct part_quarantine *quarantine, uint64_t part_id, struct timespec now)
{
	struct part *part = g_hash_table_lookup(quarantine->by_id, &part_id);

	if (part != NULL)
		part->probed_at = now;
}

/*
 * Makes room in a full list: removes the least recently used part without
 * charges, else the first one that is not refused, else the first one.
 */
static void
evict(struct part_quarantine *quarantine, struct part_list *list)
{
	struct part *part, *accepted = NULL;

	if (list->count < PART_QUARANTINE_PARTS_MAX)
		return;
	TAILQ_FOREACH (part, &list->parts, entry) {
		if (count_charges(part) == 0)
			break;
		if (accepted == NULL && !part->refused)
			accepted = part;
	}
	if (part == NULL)
		part = accepted != NULL ? accepted : TAILQ_FIRST(&list->parts);
	remove_part(quarantine, part);
}

/* Returns an event's part, as the one used last; adds it if it is new. */
static struct part *
find_or_add(struct part_quarantine *quarantine, const struct part_event *event)
{
	bool is_request = event->depth == PART_DEPTH_REQUEST;
	struct part_list *list = list_of(quarantine, is_request);
	struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &event->part);

	if (part != NULL) {
		list = list_of(quarantine, part->is_request);
		TAILQ_REMOVE(&list->parts, part, entry);
		TAILQ_INSERT_TAIL(&list->parts, part, entry);
		return part;
	}
	evict(quarantine, list);
	part = g_new0(struct part, 1);
	part->id = event->part;
	part->is_request = is_request;
	part->depth = PART_DEPTH_REQUEST;
	g_hash_table_insert(quarantine->by_id, &part->id, part);
	TAILQ_INSERT_TAIL(&list->parts, part, entry);
	list->count++;
	return part;
}

/* Returns whether the part's last survivor refutes a charge of this time. */
static bool
is_refuted(const struct part *part, struct timespec at)
{
	return time_is_set(part->survived_at) &&
	    time_diff_ms(at, part->survived_at) <= SURVIVAL_COVERS_MS;
}

/* Removes the charges that are refuted or too old; true if there were any. */
static bool
drop_charges(struct part *part, struct timespec now)
{
	size_t count = count_charges(part);

	for (size_t i = count; i > 0; i--) {
		const struct charge *charge = charge_at(part, i - 1);

		if (is_refuted(part, charge->at) || is_expired(charge, now))
			g_array_remove_index(part->charges, (guint)(i - 1));
	}
	return count_charges(part) < count;
}

/* A request with the part has survived. */
static enum part_effect
add_survival(struct part *part, struct timespec began_at, struct timespec now)
{
	bool is_first = !time_is_set(part->survived_at);

	if (!time_before(part->survived_at, began_at))
		return PART_KNOWN;
	part->survived_at = began_at;
	return drop_charges(part, now) || (is_first && count_charges(part) > 0)
	    ? PART_NEW
	    : PART_KNOWN;
}

/* Returns the charge with a death; NULL if there is none. */
static struct charge *
find_charge(const struct part *part, uint64_t death)
{
	for (size_t i = 0; i < count_charges(part); i++) {
		if (charge_at(part, i)->death == death)
			return charge_at(part, i);
	}
	return NULL;
}

/* Charges the part with an upstream's death. */
static enum part_effect
add_charge(
    struct part *part, const struct part_event *event, struct timespec now)
{
	struct charge *known = find_charge(part, event->death);
	const struct charge charge = {
	    .death = event->death,
	    .at = event->at,
	    .kind = event->kind,
	};
	guint at;

	if (is_refuted(part, event->at))
		return PART_REFUTED;
	part->depth = MIN(part->depth, event->depth);
	if (known != NULL) {
		if (known->kind >= charge.kind)
			return PART_KNOWN;
		known->kind = charge.kind;
		return PART_NEW;
	}
	drop_charges(part, now);
	if (part->charges == NULL)
		part->charges = g_array_new(
		    FALSE, FALSE, sizeof(struct charge));
	if (part->charges->len == CHARGES_MAX)
		g_array_remove_index(part->charges, 0);
	at = part->charges->len;
	while (at > 0 && time_before(charge.at, charge_at(part, at - 1)->at))
		at--;
	g_array_insert_val(part->charges, at, charge);
	return PART_NEW;
}

/* Adds what this gateway or another one has seen of a part. */
enum part_effect
part_quarantine_add(struct part_quarantine *quarantine,
    const struct part_event *event, struct timespec now)
{
	struct part *part;
	enum part_effect effect;

	if (time_diff_ms(now, event->at) >= PART_QUARANTINE_MS)
		return PART_KNOWN;
	part = find_or_add(quarantine, event);
	if (event->kind == PART_SURVIVED)
		effect = add_survival(part, event->at, now);
	else
		effect = add_charge(part, event, now);
	quarantine->changed |= effect == PART_NEW;
	return effect;
}

/* Returns whether a part is likelier to crash upstreams than another one. */
static bool
is_likelier(const struct part *part, const struct part *other)
{
	bool survived = time_is_set(part->survived_at);

	if (survived != time_is_set(other->survived_at))
		return !survived;
	if (part->depth != other->depth)
		return part->depth > other->depth;
	if (count_charges(part) != count_charges(other))
		return count_charges(part) > count_charges(other);
	return part->id < other->id;
}

/* Marks the deaths charged to a part as explained. */
static void
explain_deaths(const struct part *part, GHashTable *explained)
{
	for (size_t i = 0; i < count_charges(part); i++)
		g_hash_table_add(explained, &charge_at(part, i)->death);
}

/* Returns the likeliest of the parts that are to be refused; NULL for none. */
static struct part *
find_crashing_part(const struct part_list *list, GHashTable *explained)
{
	struct part *part, *found = NULL;

	TAILQ_FOREACH (part, &list->parts, entry) {
		if (!part->refused && is_enough(part, weigh(part, explained)) &&
		    (found == NULL || is_likelier(part, found)))
			found = part;
	}
	return found;
}

/*
 * Decides again which parts of a list are refused, and calls back for each for
 * which that has changed. Returns the deaths that these explain, and those
 * already explained, whose set it frees.
 */
static GHashTable *
update_list(struct part_list *list, GHashTable *explained_before,
    struct timespec now, part_refused_fn *callback, void *data)
{
	GHashTable *explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter iter;
	void *death;
	struct part *part;

	g_hash_table_iter_init(&iter, explained_before);
	while (g_hash_table_iter_next(&iter, &death, NULL))
		g_hash_table_add(explained, death);
	TAILQ_FOREACH (part, &list->parts, entry) {
		drop_charges(part, now);
		if (!part->refused)
			continue;
		if (is_enough(part, weigh(part, explained_before))) {
			explain_deaths(part, explained);
			continue;
		}
		part->refused = false;
		callback(data, part->id, false);
	}
	while ((part = find_crashing_part(list, explained)) != NULL) {
		part->refused = true;
		explain_deaths(part, explained);
		callback(data, part->id, true);
	}
	g_hash_table_unref(explained_before);
	return explained;
}

/*
 * Decides again which parts and requests are refused, after all events of a
 * request or a message were added, and calls back for each for which that has
 * changed. A request of whose deaths a refused part explains enough is accepted
 * again.
 */
void
part_quarantine_update(struct part_quarantine *quarantine, struct timespec now,
    part_refused_fn *callback, void *data)
{
	GHashTable *explained;

	if (!quarantine->changed)
		return;
	quarantine->changed = false;
	explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	explained = update_list(
	    &quarantine->parts, explained, now, callback, data);
	explained = update_list(
	    &quarantine->requests, explained, now, callback, data);
	g_hash_table_unref(explained);
}

/* Returns the latest survival of a part in out; false if there is none. */
bool
part_quarantine_survival(const struct part_quarantine *quarantine,
    uint64_t part_id, struct part_event *out)
{
	const struct part *part = g_hash_table_lookup(
	    quarantine->by_id, &part_id);

	if (part == NULL || !time_is_set(part->survived_at))
		return false;
	*out = (struct part_event){
	    .kind = PART_SURVIVED,
	    .part = part_id,
	    .depth = part->is_request ? PART_DEPTH_REQUEST : 0,
	    .at = part->survived_at,
	};
	return true;
}

/* Calls back for each charge of a list that counts. */
static void
for_each_charge_of(const struct part_list *list, struct timespec now,
    part_event_fn *callback, void *data)
{
	const struct part *part;

	TAILQ_FOREACH (part, &list->parts, entry) {
		for (size_t i = 0; i < count_charges(part); i++) {
			const struct charge *charge = charge_at(part, i);
			const struct part_event event = {
			    .kind = charge->kind,
			    .part = part->id,
			    .depth = part->depth,
			    .death = charge->death,
			    .at = charge->at,
			};

			if (!is_expired(charge, now))
				callback(data, &event);
		}
	}
}

/* Calls back for each charge that counts. */
void
part_quarantine_for_each_charge(const struct part_quarantine *quarantine,
    struct timespec now, part_event_fn *callback, void *data)
{
	for_each_charge_of(&quarantine->parts, now, callback, data);
	for_each_charge_of(&quarantine->requests, now, callback, data);
}

/* Adds a charge to a digest, in any order. */
static void
add_to_digest(void *data, const struct part_event *event)
{
	uint64_t *digest = data;
	const uint64_t values[] = {event->part, event->death, event->kind};

	*digest ^= XXH3_64bits(values, sizeof(values));
}

/*
 * Returns a hash of all charges, the same in all gateways that know the same;
 * 0 if there are none.
 */
uint64_t
part_quarantine_digest(
    const struct part_quarantine *quarantine, struct timespec now)
{
	uint64_t digest = 0;

	part_quarantine_for_each_charge(
	    quarantine, now, add_to_digest, &digest);
	return digest;
}
