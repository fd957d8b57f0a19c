#include "policy/quarantine.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "base/list.h"

#define DEFAULT_ENTRIES	  4096
#define DEFAULT_EXPIRY_MS (60 * 60 * 1000)

struct death {
	uint64_t id;
	struct timespec at;
	bool reported; /* to the other processes */
};

struct suspect {
	uint64_t fingerprint;
	struct death deaths[QUARANTINE_DEATHS]; /* in the order of their time */
	uint32_t count;
	uint32_t cleared_count; /* up to cleared_at */
	struct timespec cleared_at; /* last end of a survived run; or unset */
	bool clear_reported; /* to the other processes */
	TAILQ_ENTRY(suspect) entry;
};

TAILQ_HEAD(suspects, suspect);

struct quarantine {
	struct quarantine_limits limits;
	struct suspects suspects; /* in the order of their last death */
	GHashTable *by_fingerprint;
};

INVARIANT_DEFINE(bounded, "quarantine_table_bounded");

/* Sets default limits for a fleet of some hundred upstreams. */
void
quarantine_limits_init(struct quarantine_limits *limits)
{
	*limits = (struct quarantine_limits){
	    .entries_max = DEFAULT_ENTRIES,
	    .expiry_ms = DEFAULT_EXPIRY_MS,
	};
}

/* Creates an empty table. */
struct quarantine *
quarantine_new(const struct quarantine_limits *limits)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->limits = *limits;
	TAILQ_INIT(&quarantine->suspects);
	quarantine->by_fingerprint = g_hash_table_new(
	    g_int64_hash, g_int64_equal);
	return quarantine;
}

/* Removes a suspect and frees it. */
static void
remove_suspect(struct quarantine *quarantine, struct suspect *suspect)
{
	g_hash_table_remove(quarantine->by_fingerprint, &suspect->fingerprint);
	TAILQ_REMOVE(&quarantine->suspects, suspect, entry);
	g_free(suspect);
}

/* Frees the table; NULL is allowed. */
void
quarantine_free(struct quarantine *quarantine)
{
	struct suspect *suspect;

	if (quarantine == NULL)
		return;
	while ((suspect = TAILQ_FIRST(&quarantine->suspects)) != NULL)
		remove_suspect(quarantine, suspect);
	g_hash_table_unref(quarantine->by_fingerprint);
	g_free(quarantine);
}

/*
 * Returns the id of an upstream's death, where incarnation distinguishes its
 * starts.
 */
uint64_t
quarantine_death_id(const char *upstream, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(upstream, strlen(upstream), incarnation);
}

/* Returns the time of a suspect's last death. */
static struct timespec
last_death(const struct suspect *suspect)
{
	return suspect->deaths[suspect->count - 1].at;
}

/* Returns whether a suspect's last death is longer ago than the expiry time. */
static bool
is_expired(const struct quarantine *quarantine, const struct suspect *suspect,
    struct timespec now)
{
	return time_diff_ms(now, last_death(suspect)) >=
	    quarantine->limits.expiry_ms;
}

/* Removes expired suspects, and the oldest ones above the limit. */
static void
evict(struct quarantine *quarantine, struct timespec now)
{
	struct suspect *suspect;

	while ((suspect = TAILQ_FIRST(&quarantine->suspects)) != NULL &&
	    (is_expired(quarantine, suspect, now) ||
		g_hash_table_size(quarantine->by_fingerprint) >
		    quarantine->limits.entries_max))
		remove_suspect(quarantine, suspect);
	invariant_check(&bounded,
	    g_hash_table_size(quarantine->by_fingerprint) <=
		quarantine->limits.entries_max,
	    NULL, NULL);
}

/* Returns the fingerprint's suspect, creating it if it is new. */
static struct suspect *
suspect_of(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct suspect *suspect = g_hash_table_lookup(
	    quarantine->by_fingerprint, &fingerprint);

	if (suspect == NULL) {
		suspect = g_new0(struct suspect, 1);
		suspect->fingerprint = fingerprint;
		g_hash_table_insert(
		    quarantine->by_fingerprint, &suspect->fingerprint, suspect);
		TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, entry);
	}
	return suspect;
}

/* Returns whether a death of the suspect is known already. */
static bool
has_death(const struct suspect *suspect, uint64_t death)
{
	for (uint32_t i = 0; i < suspect->count; i++) {
		if (suspect->deaths[i].id == death)
			return true;
	}
	return false;
}

/* Inserts a death among those of its suspect, which must have room. */
static void
insert_death(struct suspect *suspect, const struct death *death)
{
	uint32_t at = suspect->count++;

	for (; at > 0 && time_before(death->at, suspect->deaths[at - 1].at);
	     at--)
		suspect->deaths[at] = suspect->deaths[at - 1];
	suspect->deaths[at] = *death;
}

/* Moves a suspect to its place in the order of the last deaths. */
static void
reorder(struct quarantine *quarantine, struct suspect *suspect)
{
	struct suspect *before;

	TAILQ_REMOVE(&quarantine->suspects, suspect, entry);
	before = TAILQ_LAST(&quarantine->suspects, suspects);
	while (before != NULL &&
	    time_before(last_death(suspect), last_death(before)))
		before = TAILQ_PREV(before, suspects, entry);
	if (before != NULL)
		TAILQ_INSERT_AFTER(
		    &quarantine->suspects, before, suspect, entry);
	else
		TAILQ_INSERT_HEAD(&quarantine->suspects, suspect, entry);
}

/*
 * Adds a death to a fingerprint. Returns false if it was known or makes no
 * difference.
 */
static bool
add_death(struct quarantine *quarantine, uint64_t fingerprint, uint64_t id,
    struct timespec at)
{
	struct suspect *suspect = suspect_of(quarantine, fingerprint);

	if (has_death(suspect, id))
		return false;
	if (suspect->count == QUARANTINE_DEATHS && suspect->cleared_count == 0)
		return false;
	if (suspect->count == QUARANTINE_DEATHS) {
		memmove(&suspect->deaths[0], &suspect->deaths[1],
		    sizeof(suspect->deaths[0]) * (QUARANTINE_DEATHS - 1));
		suspect->count--;
		suspect->cleared_count--;
	}
	insert_death(suspect, &(struct death){.id = id, .at = at});
	if (time_before(at, suspect->cleared_at)) {
		suspect->cleared_count++;
		suspect->clear_reported = false;
	}
	reorder(quarantine, suspect);
	return true;
}

/*
 * Records the death of an upstream that was running requests with these
 * fingerprints; each becomes suspect. A death that is already known changes
 * nothing.
 */
void
quarantine_record_death(struct quarantine *quarantine, uint64_t death,
    const uint64_t *fingerprints, size_t count, struct timespec now)
{
	for (size_t i = 0; i < count; i++)
		add_death(quarantine, fingerprints[i], death, now);
	evict(quarantine, now);
}

/*
 * Clears a suspect of the deaths up to the end of a run that its upstream has
 * survived. They stay cleared when other processes report them again.
 */
static bool
clear_deaths(struct suspect *suspect, struct timespec at)
{
	uint32_t count = 0;

	while (count < suspect->count &&
	    !time_before(at, suspect->deaths[count].at))
		count++;
	if (count <= suspect->cleared_count)
		return false;
	suspect->cleared_count = count;
	suspect->cleared_at = at;
	suspect->clear_reported = false;
	return true;
}

/* An upstream has survived a request; clears it if it is suspect. */
void
quarantine_clear_suspect(
    struct quarantine *quarantine, uint64_t fingerprint, struct timespec now)
{
	struct suspect *suspect = g_hash_table_lookup(
	    quarantine->by_fingerprint, &fingerprint);

	if (suspect != NULL)
		clear_deaths(suspect, now);
}

/*
 * Returns the number of deaths that count against a fingerprint, up to
 * QUARANTINE_DEATHS.
 */
uint32_t
quarantine_count_deaths(const struct quarantine *quarantine,
    uint64_t fingerprint, struct timespec now)
{
	const struct suspect *suspect = g_hash_table_lookup(
	    quarantine->by_fingerprint, &fingerprint);

	if (suspect == NULL || is_expired(quarantine, suspect, now))
		return 0;
	return suspect->count - suspect->cleared_count;
}

/* Returns whether a request with this fingerprint may run, and how. */
enum quarantine_verdict
quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint,
    struct timespec now)
{
	uint32_t deaths = quarantine_count_deaths(quarantine, fingerprint, now);

	if (deaths == 0)
		return QUARANTINE_CLEAN;
	return deaths < QUARANTINE_DEATHS ? QUARANTINE_SUSPECT
					  : QUARANTINE_REFUSED;
}

/*
 * Merges another process's report. Returns true if it was new;
 * quarantine_next_report() then returns it too, to be forwarded.
 */
bool
quarantine_merge_report(struct quarantine *quarantine,
    const struct quarantine_report *report, struct timespec now)
{
	struct timespec at = time_add_ms(now, -(int64_t)report->age_ms);
	struct suspect *suspect;
	bool added;

	if (report->age_ms >= quarantine->limits.expiry_ms)
		return false;
	if (report->cleared) {
		suspect = g_hash_table_lookup(
		    quarantine->by_fingerprint, &report->fingerprint);
		return suspect != NULL && clear_deaths(suspect, at);
	}
	added = add_death(quarantine, report->fingerprint, report->death, at);
	evict(quarantine, now);
	return added;
}

/* Fills in a report of one of a suspect's deaths. */
static void
fill_report(const struct suspect *suspect, uint32_t index,
    struct quarantine_report *report, struct timespec now)
{
	int64_t age_ms = time_diff_ms(now, suspect->deaths[index].at);

	*report = (struct quarantine_report){
	    .fingerprint = suspect->fingerprint,
	    .death = suspect->deaths[index].id,
	    .deaths = suspect->count,
	    .age_ms = (uint32_t)CLAMP(age_ms, 0, UINT32_MAX),
	};
}

/* Fills in a report that a suspect is cleared. */
static void
fill_clear_report(const struct suspect *suspect,
    struct quarantine_report *report, struct timespec now)
{
	int64_t age_ms = time_diff_ms(now, suspect->cleared_at);

	*report = (struct quarantine_report){
	    .fingerprint = suspect->fingerprint,
	    .cleared = true,
	    .deaths = suspect->count - suspect->cleared_count,
	    .age_ms = (uint32_t)CLAMP(age_ms, 0, UINT32_MAX),
	};
}

/* Fetches the next report of a suspect; false if there is none. */
static bool
next_report_of(struct suspect *suspect, struct quarantine_report *report,
    struct timespec now)
{
	for (uint32_t i = 0; i < suspect->count; i++) {
		if (suspect->deaths[i].reported)
			continue;
		suspect->deaths[i].reported = true;
		fill_report(suspect, i, report, now);
		return true;
	}
	if (suspect->cleared_count == 0 || suspect->clear_reported)
		return false;
	suspect->clear_reported = true;
	fill_clear_report(suspect, report, now);
	return true;
}

/*
 * Fetches the next report for the other processes. Returns false if there is
 * none.
 */
bool
quarantine_next_report(struct quarantine *quarantine,
    struct quarantine_report *report, struct timespec now)
{
	struct suspect *suspect;

	TAILQ_FOREACH_REVERSE (
	    suspect, &quarantine->suspects, suspects, entry) {
		if (next_report_of(suspect, report, now))
			return true;
	}
	return false;
}

/*
 * Fills in up to max reports of all deaths that count, and of suspects that are
 * cleared of others, the latest deaths first, for a process that has just
 * started. Returns their number.
 */
size_t
quarantine_list_reports(const struct quarantine *quarantine,
    struct quarantine_report *reports, size_t max, struct timespec now)
{
	const struct suspect *suspect;
	size_t count = 0;

	TAILQ_FOREACH_REVERSE (
	    suspect, &quarantine->suspects, suspects, entry) {
		for (uint32_t i = suspect->cleared_count;
		     i < suspect->count && count < max; i++)
			fill_report(suspect, i, &reports[count++], now);
		if (suspect->cleared_count > 0 && count < max)
			fill_clear_report(suspect, &reports[count++], now);
	}
	return count;
}

/*
 * Returns the index of the one upstream at which a suspect may run, out of all
 * that are configured for the service, up or down. All processes that know the
 * same list get the same result. Count must be at least 1.
 */
size_t
quarantine_choose_upstream(
    uint64_t fingerprint, const char *const *upstreams, size_t count)
{
	size_t best = 0;
	uint64_t highest = 0, score;

	for (size_t i = 0; i < count; i++) {
		score = XXH3_64bits_withSeed(
		    upstreams[i], strlen(upstreams[i]), fingerprint);
		if (score > highest ||
		    (score == highest &&
			strcmp(upstreams[i], upstreams[best]) < 0)) {
			best = i;
			highest = score;
		}
	}
	return best;
}
