#include "policy/part_quarantine.h"

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/list.h"

#define WEIGHT_WAITING 1
#define WEIGHT_BEGUN   2
#define WEIGHT_REFUSED 6
/* Of a part with which a request has survived before. */
#define WEIGHT_REFUSED_SURVIVED (2 * WEIGHT_REFUSED)
/* Maximum number of charges of a part; the oldest is dropped. */
#define CHARGES_MAX 32
/*
 * A survival refutes charges up to this long after its response began: a part
 * is as sound then as it was.
 */
#define SURVIVAL_COVERS_MS 1000

struct charge {
	uint64_t death;
	struct timespec at;
	bool begun;
};

struct part {
	uint64_t id;
	uint32_t depth; /* the least deep position in a prompt */
	bool refused;
	GArray *charges; /* of struct charge; NULL for none */
	struct timespec survived_at; /* latest begin of a survivor; or unset */
	struct timespec probed_at; /* by this process; or unset */
	TAILQ_ENTRY(part) entry;
};

TAILQ_HEAD(parts, part);

struct part_quarantine {
	GHashTable *by_id;
	bool changed; /* charges have changed since the last update */
	struct parts parts; /* the least recently used one first */
};

/* Creates an empty table. */
struct part_quarantine *
part_quarantine_new(void)
{
	struct part_quarantine *quarantine = g_new0(struct part_quarantine, 1);

	quarantine->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&quarantine->parts);
	return quarantine;
}

/* Removes a part and frees it. */
static void
remove_part(struct part_quarantine *quarantine, struct part *part)
{
	g_hash_table_remove(quarantine->by_id, &part->id);
	TAILQ_REMOVE(&quarantine->parts, part, entry);
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
	while ((part = TAILQ_FIRST(&quarantine->parts)) != NULL)
		remove_part(quarantine, part);
	g_hash_table_unref(quarantine->by_id);
	g_free(quarantine);
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
 * Returns whether the last charge came so late after the one before it that it
 * is a probe's.
 */
static bool
was_probed(const struct part *part)
{
	struct timespec last = last_charge(part);
	size_t late = 0;

	for (size_t i = 0; i < count_charges(part); i++)
		late += time_diff_ms(last, charge_at(part, i)->at) <
		    PART_QUARANTINE_PROBE_MS;
	return late == 1 && count_charges(part) > 1;
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

/* Removes parts above the limit; refused ones stay while there are others. */
static void
evict(struct part_quarantine *quarantine, struct timespec now)
{
	size_t left = g_hash_table_size(quarantine->by_id);
	struct part *part, *next;

	if (left <= PART_QUARANTINE_PARTS_MAX)
		return;
	TAILQ_FOREACH_SAFE (part, &quarantine->parts, entry, next) {
		if (part_quarantine_left_ms(quarantine, part->id, now) > 0)
			continue;
		remove_part(quarantine, part);
		return;
	}
	remove_part(quarantine, TAILQ_FIRST(&quarantine->parts));
}

/* Returns a part, as the one used last; adds it if it is new. */
static struct part *
find_or_add(
    struct part_quarantine *quarantine, uint64_t id, struct timespec now)
{
	struct part *part = g_hash_table_lookup(quarantine->by_id, &id);

	if (part != NULL) {
		TAILQ_REMOVE(&quarantine->parts, part, entry);
		TAILQ_INSERT_TAIL(&quarantine->parts, part, entry);
		return part;
	}
	part = g_new0(struct part, 1);
	part->id = id;
	part->depth = UINT32_MAX;
	g_hash_table_insert(quarantine->by_id, &part->id, part);
	TAILQ_INSERT_TAIL(&quarantine->parts, part, entry);
	evict(quarantine, now);
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
	    .begun = event->kind == PART_CHARGED_BEGUN,
	};

	if (is_refuted(part, event->at))
		return PART_REFUTED;
	part->depth = MIN(part->depth, event->depth);
	if (known != NULL) {
		if (known->begun || !charge.begun)
			return PART_KNOWN;
		known->begun = true;
		return PART_NEW;
	}
	drop_charges(part, now);
	if (part->charges == NULL)
		part->charges = g_array_new(
		    FALSE, FALSE, sizeof(struct charge));
	if (part->charges->len == CHARGES_MAX)
		g_array_remove_index(part->charges, 0);
	g_array_append_val(part->charges, charge);
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
	part = find_or_add(quarantine, event->part, now);
	if (event->kind == PART_SURVIVED)
		effect = add_survival(part, event->at, now);
	else
		effect = add_charge(part, event, now);
	quarantine->changed |= effect == PART_NEW;
	return effect;
}

/* Returns the weight of the charges whose deaths no refused part explains. */
static unsigned int
weigh(const struct part *part, GHashTable *explained)
{
	unsigned int weight = 0;

	for (size_t i = 0; i < count_charges(part); i++) {
		const struct charge *charge = charge_at(part, i);

		if (!g_hash_table_contains(explained, &charge->death))
			weight += charge->begun ? WEIGHT_BEGUN : WEIGHT_WAITING;
	}
	return weight;
}

/* Returns whether charges of this weight are enough to refuse the part. */
static bool
is_enough(const struct part *part, unsigned int weight)
{
	return weight >= (time_is_set(part->survived_at)
				 ? WEIGHT_REFUSED_SURVIVED
				 : WEIGHT_REFUSED);
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
find_crashing_part(
    const struct part_quarantine *quarantine, GHashTable *explained)
{
	struct part *part, *found = NULL;

	TAILQ_FOREACH (part, &quarantine->parts, entry) {
		if (!part->refused && is_enough(part, weigh(part, explained)) &&
		    (found == NULL || is_likelier(part, found)))
			found = part;
	}
	return found;
}

/*
 * Decides again which parts are refused, after all events of a request or a
 * message were added, and calls back for each part for which that has changed.
 */
void
part_quarantine_update(struct part_quarantine *quarantine, struct timespec now,
    part_refused_fn *callback, void *data)
{
	g_autoptr(GHashTable) explained = NULL;
	g_autoptr(GHashTable) none = NULL;
	struct part *part;

	if (!quarantine->changed)
		return;
	quarantine->changed = false;
	explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	none = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_FOREACH (part, &quarantine->parts, entry) {
		drop_charges(part, now);
		if (!part->refused)
			continue;
		if (is_enough(part, weigh(part, none))) {
			explain_deaths(part, explained);
			continue;
		}
		part->refused = false;
		callback(data, part->id, false);
	}
	while ((part = find_crashing_part(quarantine, explained)) != NULL) {
		part->refused = true;
		explain_deaths(part, explained);
		callback(data, part->id, true);
	}
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
	    .kind = PART_SURVIVED, .part = part_id, .at = part->survived_at};
	return true;
}

/* Calls back for each charge that counts. */
void
part_quarantine_for_each_charge(const struct part_quarantine *quarantine,
    struct timespec now, part_event_fn *callback, void *data)
{
	const struct part *part;

	TAILQ_FOREACH (part, &quarantine->parts, entry) {
		for (size_t i = 0; i < count_charges(part); i++) {
			const struct charge *charge = charge_at(part, i);
			const struct part_event event = {
			    .kind = charge->begun ? PART_CHARGED_BEGUN
						  : PART_CHARGED_WAITING,
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
