/*
 * Which upstreams and failure domains are in service while the store goes back
 * to a copy, and when upstreams say that they leave or want no requests.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/departure.h"
#include "policy/quiet.h"
#include "policy/return_time.h"
#include "policy/takeouts.h"
#include "routing/fleet.h"

#define START_MS   10000
#define STEPS_MAX  5
#define STEP_MS	   100
#define SETTLED_MS (DEPARTURE_RESTORE_SETTLE_MS + 1)

/* What becomes known of an upstream, in steps of STEP_MS. */
enum step {
	STEP_NONE,
	STEP_DRAINING,
	STEP_REMOVED,
	STEP_READY,
	STEP_RESTORED, /* a restored list shows it as ready */
	STEP_RESTARTED, /* listed as ready with another start time */
	STEP_RESTORED_RESTARTED, /* the same in a restored list */
	STEP_RESTORED_WITHOUT, /* a restored list lacks it */
	STEP_DRAINING_RESTARTED, /* draining with another start time */
	/* A restored list shows the first start, after another one. */
	STEP_RESTORED_OLDER,
	STEP_RESTORED_OLDER_DRAINING,
	STEP_ANNOUNCED, /* by the upstream itself */
	STEP_SETTLED, /* SETTLED_MS pass */
};

static const struct departure_case {
	const char *name;
	enum step steps[STEPS_MAX];
	bool left; /* at the end */
} departure_cases[] = {
    {"an upstream in service has not left", {STEP_READY}, false},
    {"a draining upstream has left", {STEP_READY, STEP_DRAINING}, true},
    {"an upstream that ends draining is back", {STEP_DRAINING, STEP_READY},
	false},
    {"a restored list does not undo draining",
	{STEP_READY, STEP_DRAINING, STEP_RESTORED}, true},
    {"a restored list does not undo a removal",
	{STEP_READY, STEP_REMOVED, STEP_RESTORED}, true},
    {"a list after the restored one is believed",
	{STEP_REMOVED, STEP_RESTORED, STEP_READY}, false},
    {"a restored list is believed once the store has settled",
	{STEP_DRAINING, STEP_RESTORED, STEP_SETTLED}, false},
    {"draining after a restored list counts",
	{STEP_REMOVED, STEP_RESTORED, STEP_DRAINING}, true},
    {"another process with the id has not left",
	{STEP_REMOVED, STEP_RESTORED_RESTARTED}, false},
    {"a list does not undo what the upstream says",
	{STEP_ANNOUNCED, STEP_READY, STEP_RESTORED, STEP_SETTLED}, true},
    {"what an earlier process said does not count",
	{STEP_READY, STEP_ANNOUNCED, STEP_RESTARTED}, false},
    {"a restored list does not bring an earlier process back",
	{STEP_RESTARTED, STEP_DRAINING_RESTARTED, STEP_RESTORED_OLDER}, true},
    {"a restored list of an earlier process does not undo what it says",
	{STEP_RESTARTED, STEP_ANNOUNCED, STEP_RESTORED_OLDER, STEP_SETTLED},
	true},
    {"an earlier process that was draining says nothing of the next one",
	{STEP_DRAINING, STEP_RESTARTED, STEP_RESTORED_OLDER_DRAINING}, false},
    {"a restored list that lacks it does not undo what it says",
	{STEP_ANNOUNCED, STEP_RESTORED_WITHOUT, STEP_READY, STEP_SETTLED},
	true},
};

/* Applies one step. */
static struct timespec
apply_step(
    struct upstream_process *process, enum step step, struct timespec now)
{
	struct upstream_sight sight = {.start_wall_ms = 1};

	switch (step) {
	case STEP_NONE:
		break;
	case STEP_DRAINING:
		sight.draining = true;
		upstream_process_on_listed(process, &sight, now);
		break;
	case STEP_REMOVED:
		upstream_process_on_unlisted(process, false, now);
		break;
	case STEP_RESTORED_WITHOUT:
		upstream_process_on_unlisted(process, true, now);
		break;
	case STEP_RESTORED:
	case STEP_READY:
		sight.restored = step == STEP_RESTORED;
		upstream_process_on_listed(process, &sight, now);
		break;
	case STEP_RESTARTED:
	case STEP_RESTORED_RESTARTED:
		sight.start_wall_ms = 2;
		sight.restored = step == STEP_RESTORED_RESTARTED;
		upstream_process_on_listed(process, &sight, now);
		break;
	case STEP_RESTORED_OLDER:
	case STEP_RESTORED_OLDER_DRAINING:
		sight.start_wall_ms = 1;
		sight.restored = true;
		sight.draining = step == STEP_RESTORED_OLDER_DRAINING;
		upstream_process_on_listed(process, &sight, now);
		break;
	case STEP_DRAINING_RESTARTED:
		sight.start_wall_ms = 2;
		sight.draining = true;
		upstream_process_on_listed(process, &sight, now);
		break;
	case STEP_ANNOUNCED:
		departure_on_announced(&process->departure);
		break;
	case STEP_SETTLED:
		return time_add_ms(now, SETTLED_MS);
	}
	return time_add_ms(now, STEP_MS);
}

/* Runs one case. */
static void
test_departure(gconstpointer data)
{
	const struct departure_case
	    *c = &departure_cases[GPOINTER_TO_SIZE(data)];
	struct upstream_process process = {.start_wall_ms = 1};
	struct timespec now = time_from_ms(START_MS);

	for (size_t i = 0; i < STEPS_MAX; i++)
		now = apply_step(&process, c->steps[i], now);
	g_assert_cmpint(
	    departure_has_left(&process.departure, now), ==, c->left);
}

/* Returns the report of an upstream that is ready. */
static struct upstream_report
report(const char *id)
{
	return (struct upstream_report){.id = id,
	    .service = "s",
	    .address = "127.0.0.1:1",
	    .failure_domain = "z",
	    .slots = 16,
	    .start_wall_ms = 1};
}

/*
 * A release while the store goes back: "a" left before the restore and is
 * listed again by the copy, "b" was added after the copy was made and is
 * missing from it. Neither may change the upstreams that get requests: not one
 * request goes to "a", and "b" is used until it is back, or 2 s at the most.
 */
static void
test_release_during_restore(void)
{
	struct fleet *fleet = fleet_new();
	struct timespec now = time_from_ms(START_MS);
	const struct upstream_report both[] = {report("a"), report("b")};
	const char *a = "a";
	const char *b = "b";

	fleet_apply(fleet,
	    &(struct upstream_list){.version = 1, .reports = both, .count = 2},
	    now);
	fleet_apply(fleet,
	    &(struct upstream_list){
		.version = 2, .removed = &a, .removed_count = 1},
	    now);
	now = time_add_ms(now, FLEET_UNLISTED_GRACE_MS + 1);
	fleet_apply(fleet, &(struct upstream_list){.version = 3}, now);
	g_assert_null(fleet_find(fleet, "a"));
	fleet_apply(fleet,
	    &(struct upstream_list){.version = 4,
		.restored = true,
		.reports = both,
		.count = 1,
		.removed = &b,
		.removed_count = 1},
	    now);
	for (int ms = 0; ms < DEPARTURE_RESTORE_RETURN_MS; ms += STEP_MS) {
		struct timespec at = time_add_ms(now, ms);

		g_assert_false(fleet_upstream_is_eligible(
		    fleet, fleet_find(fleet, "a"), at));
		g_assert_true(fleet_upstream_is_eligible(
		    fleet, fleet_find(fleet, "b"), at));
	}
	now = time_add_ms(now, DEPARTURE_RESTORE_RETURN_MS);
	g_assert_false(
	    fleet_upstream_is_eligible(fleet, fleet_find(fleet, "b"), now));
	fleet_apply(fleet,
	    &(struct upstream_list){
		.version = 5, .reports = &both[1], .count = 1},
	    now);
	g_assert_true(
	    fleet_upstream_is_eligible(fleet, fleet_find(fleet, "b"), now));
	fleet_free(fleet);
}

/* How an upstream's entry in the list is lost, and what the list shows next. */
static const struct path_case {
	const char *name;
	bool removed; /* the list lacks it at first */
	bool restored; /* by a store that went back to a copy */
	int64_t away_ms; /* until the list shows it */
	int64_t start_wall_ms; /* that it shows then; 2 is the known one */
	bool kept; /* what was learned of the process */
} path_cases[] = {
    {"an entry that is written again", false, false, 0, 2, true},
    {"an entry that lapses and comes back at once", true, false,
	FLEET_UNLISTED_GRACE_MS / 2, 2, true},
    {"an entry that lapses and comes back later", true, false, 10000, 2, true},
    {"an entry that comes back without its start", true, false, 10000, 0, true},
    {"an entry that a restored list lacks", true, true, 500, 2, true},
    {"an entry that comes back late after a restore", true, true, 10000, 2,
	true},
    {"a restored list with an earlier process", false, true, 0, 1, true},
    {"a restored list with a later process", false, true, 0, 3, false},
    {"another process with the id", false, false, 0, 3, false},
    {"another process with the id and an earlier clock", false, false, 0, 1,
	false},
    {"another process with the id after a lapse", true, false, 10000, 3, false},
    {"an entry that comes back after all is forgotten", true, false,
	UPSTREAM_PROCESS_MEMORY_MS + 10000, 2, false},
};

/* Applies a list that shows "a" with a start, or lacks it with a start of -1.
 */
static void
apply_list(struct fleet *fleet, bool restored, int64_t start_wall_ms,
    struct timespec now)
{
	const char *a = "a";
	struct upstream_report shown = report("a");
	const struct upstream_list list = {
	    .version = fleet->version + 1,
	    .restored = restored,
	    .reports = &shown,
	    .count = start_wall_ms >= 0 ? 1 : 0,
	    .removed = &a,
	    .removed_count = start_wall_ms < 0 ? 1 : 0,
	};

	shown.start_wall_ms = start_wall_ms;
	fleet_apply(fleet, &list, now);
}

/* What an upstream has said, and how it answered, against one path. */
static void
test_path(gconstpointer data)
{
	const struct path_case *c = &path_cases[GPOINTER_TO_SIZE(data)];
	struct fleet *fleet = fleet_new();
	struct timespec now = time_from_ms(START_MS);
	struct fleet_upstream *upstream;
	/* Without a start, one that left the list and is back may be another.
	 */
	bool leaves = c->kept && c->start_wall_ms != 0;

	apply_list(fleet, false, 2, now);
	upstream = fleet_find(fleet, "a");
	fleet_upstream_on_leaving(upstream, "response", now);
	fleet_upstream_on_quiet(upstream, QUIET_MAX_MS, now);
	named_rate_on_named(&upstream->process.named_rate, 1.5, now);
	upstream->process.avoid_until = time_add_ms(now, QUIET_MAX_MS);
	if (c->removed) {
		apply_list(fleet, c->restored, -1, now);
		now = time_add_ms(now, c->away_ms);
		fleet_apply(fleet,
		    &(struct upstream_list){.version = fleet->version}, now);
		fleet_expire(fleet, now);
	}
	apply_list(fleet, c->restored && !c->removed, c->start_wall_ms, now);
	upstream = fleet_find(fleet, "a");
	g_assert_cmpint(
	    fleet_upstream_is_eligible(fleet, upstream, now), ==, !leaves);
	g_assert_cmpint(
	    quiet_is_wanted(&upstream->process.quiet, now), ==, c->kept);
	g_assert_cmpint(upstream->process.named_rate.named, ==, c->kept);
	g_assert_cmpint(fleet_upstream_is_avoided(upstream, now), ==, c->kept);
	fleet_free(fleet);
}

static const struct takeout_case {
	const char *name;
	bool restored; /* by a store that lacks the takeout */
	bool ended; /* reported as removed after that */
	bool confirmed; /* written again after that */
	int64_t after_ms;
	bool taken_out;
} takeout_cases[] = {
    {"a domain that is no longer listed returns", false, false, false, 0,
	false},
    {"a takeout that a restored store lacks stays", true, false, false, 0,
	true},
    {"such a takeout stays until its time ends", true, false, false,
	TAKEOUTS_KEEP_MS - 1, true},
    {"such a takeout ends after its time", true, false, false, TAKEOUTS_KEEP_MS,
	false},
    {"such a takeout stays when it is written again", true, false, true,
	TAKEOUTS_KEEP_MS, true},
    {"such a takeout ends when it is removed", true, true, false, 0, false},
};

/* Counts the changes that are reported. */
static void
on_takeout(void *data, const char *domain, bool returned, struct timespec now)
{
	*(int *)data += returned ? -1 : 1;
}

/* Runs one case; another domain's takeout in between changes nothing. */
static void
test_takeout(gconstpointer data)
{
	const struct takeout_case *c = &takeout_cases[GPOINTER_TO_SIZE(data)];
	static const char *const domains[] = {"y", "z"};
	int reported = 0;
	struct takeouts *takeouts = takeouts_new(on_takeout, &reported);
	struct timespec now = time_from_ms(START_MS);

	takeouts_apply(takeouts, domains, 2, false, now);
	g_assert_cmpint(reported, ==, 2);
	takeouts_apply(takeouts, domains, 1, c->restored, now);
	takeouts_apply(takeouts, domains, 1, false, now);
	if (c->ended)
		takeouts_end(takeouts, "z", now);
	if (c->confirmed)
		takeouts_apply(takeouts, domains, 2, false, now);
	takeouts_expire(takeouts, time_add_ms(now, c->after_ms));
	g_assert_true(takeouts_contains(takeouts, "y"));
	g_assert_cmpint(takeouts_contains(takeouts, "z"), ==, c->taken_out);
	g_assert_cmpint(reported, ==, c->taken_out ? 2 : 1);
	takeouts_free(takeouts);
}

/*
 * An overloaded service whose upstreams have all asked for quiet: its rejected
 * callers return after the first is back, and not together.
 */
static void
test_quiet_callers(void)
{
	enum {
		CALLERS = 200,
		LEFT_MS = 1000,
		BIN_MS = 100
	};
	g_autoptr(GRand) random = g_rand_new_with_seed(1);
	int bins[2 * LEFT_MS / BIN_MS] = {0};
	struct quiet quiet = {0};
	struct timespec now = time_from_ms(START_MS);

	quiet_on_request(&quiet, LEFT_MS, now);
	quiet_on_request(&quiet, LEFT_MS / 2, now);
	g_assert_cmpint(quiet_left_ms(&quiet, now), ==, LEFT_MS);
	g_assert_true(quiet_is_wanted(&quiet, time_add_ms(now, LEFT_MS - 1)));
	g_assert_false(quiet_is_wanted(&quiet, time_add_ms(now, LEFT_MS)));
	for (int i = 0; i < CALLERS; i++) {
		const struct return_ask ask = {
		    .room_ms = (double)quiet_left_ms(&quiet, now),
		    .left_ms = 10.0 * LEFT_MS,
		    .phase = g_rand_double(random),
		};
		int64_t after_ms = return_time_ms(&ask);

		g_assert_cmpint(after_ms, >=, LEFT_MS);
		g_assert_cmpint(after_ms, <, 2 * LEFT_MS);
		bins[after_ms / BIN_MS]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bins); i++)
		g_assert_cmpint(bins[i], <, CALLERS / 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(path_cases, "/process", test_path);
	ADD_CASES(departure_cases, "/departure", test_departure);
	ADD_CASES(takeout_cases, "/takeouts", test_takeout);
	g_test_add_func("/departure/a release while the store is restored",
	    test_release_during_restore);
	g_test_add_func("/quiet/rejected callers do not return together",
	    test_quiet_callers);
	return g_test_run();
}
