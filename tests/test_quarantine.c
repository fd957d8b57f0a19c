/*
 * Requests that crash their upstream: the rules of the quarantine table, and a
 * simulation of entries and upstreams with a poison request that is sent
 * repeatedly.
 */
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/quarantine.h"

#define ENTRIES	      3
#define UPSTREAMS     8
#define POISONS	      20
#define RUN_MS	      100
#define RESTART_MS    3000
#define SIMULATION_MS 60000
#define REPORT_MAX_MS 80

/* One step of a case. */
struct quarantine_step {
	char kind; /* d: death, l: report, w: ended well, t: time passes */
	uint64_t fingerprint;
	uint64_t death; /* id of the death; for t milliseconds */
};

struct quarantine_case {
	const char *name;
	struct quarantine_step steps[6];
	enum quarantine_verdict verdict; /* on fingerprint 1 */
};

static const struct quarantine_case cases[] = {
    {"/quarantine/a fingerprint without a death is clean", {{'d', 2, 10}},
	QUARANTINE_CLEAN},
    {"/quarantine/one death makes a suspect", {{'d', 1, 10}},
	QUARANTINE_SUSPECT},
    {"/quarantine/the same death twice counts once",
	{{'d', 1, 10}, {'d', 1, 10}, {'l', 1, 10}}, QUARANTINE_SUSPECT},
    {"/quarantine/a fingerprint with two deaths is refused",
	{{'d', 1, 10}, {'d', 1, 11}}, QUARANTINE_REFUSED},
    {"/quarantine/deaths reported by two processes count as two",
	{{'d', 1, 10}, {'l', 1, 11}}, QUARANTINE_REFUSED},
    {"/quarantine/a run that ended well clears the death",
	{{'d', 1, 10}, {'w', 1, 0}, {'l', 1, 10}}, QUARANTINE_CLEAN},
    {"/quarantine/a death after a cleared one makes a suspect again",
	{{'d', 1, 10}, {'w', 1, 0}, {'d', 1, 11}}, QUARANTINE_SUSPECT},
    {"/quarantine/a fingerprint with two deaths since a cleared one is refused",
	{{'d', 1, 10}, {'w', 1, 0}, {'d', 1, 11}, {'d', 1, 12}},
	QUARANTINE_REFUSED},
    {"/quarantine/a death expires", {{'d', 1, 10}, {'t', 0, 1000}},
	QUARANTINE_CLEAN},
    {"/quarantine/the oldest fingerprint is evicted from a full table",
	{{'d', 1, 10}, {'d', 2, 10}, {'d', 3, 10}, {'d', 4, 10}},
	QUARANTINE_CLEAN},
};

/* Runs one case on a table of three entries that expire after a second. */
static void
test_case(gconstpointer data)
{
	const struct quarantine_case *item = data;
	struct quarantine_limits limits = {.entries_max = 3, .expiry_ms = 1000};
	struct quarantine *quarantine = quarantine_new(&limits);
	struct timespec now = time_from_ms(5000);

	for (size_t i = 0; i < G_N_ELEMENTS(item->steps); i++) {
		const struct quarantine_step *step = &item->steps[i];
		struct quarantine_report report = {
		    .fingerprint = step->fingerprint, .death = step->death};

		if (step->kind == 'd')
			quarantine_record_death(quarantine, step->death,
			    &step->fingerprint, 1, now);
		else if (step->kind == 'l')
			quarantine_merge_report(quarantine, &report, now);
		else if (step->kind == 'w')
			quarantine_clear_suspect(
			    quarantine, step->fingerprint, now);
		else if (step->kind == 't')
			now = time_add_ms(now, (int64_t)step->death);
	}
	g_assert_cmpint(
	    quarantine_check(quarantine, 1, now), ==, item->verdict);
	quarantine_free(quarantine);
}

/* A report is passed on once, and is listed for new processes. */
static void
test_reports(void)
{
	struct quarantine_limits limits;
	struct quarantine *a, *b;
	struct quarantine_report report, list[4];
	uint64_t fingerprints[] = {7, 8};
	struct timespec now = time_from_ms(1000);

	quarantine_limits_init(&limits);
	a = quarantine_new(&limits);
	b = quarantine_new(&limits);
	quarantine_record_death(a, 99, fingerprints, 2, now);
	now = time_add_ms(now, 40);
	while (quarantine_next_report(a, &report, now)) {
		g_assert_cmpuint(report.age_ms, ==, 40);
		g_assert_true(quarantine_merge_report(b, &report, now));
		g_assert_false(quarantine_merge_report(b, &report, now));
	}
	g_assert_cmpint(quarantine_check(b, 7, now), ==, QUARANTINE_SUSPECT);
	g_assert_cmpint(quarantine_check(b, 8, now), ==, QUARANTINE_SUSPECT);
	g_assert_cmpuint(quarantine_list_reports(b, list, 4, now), ==, 2);
	g_assert_cmpuint(quarantine_list_reports(b, list, 1, now), ==, 1);
	quarantine_free(a);
	quarantine_free(b);
}

/*
 * A report of an earlier death neither shortens nor extends the time for which
 * its suspect and the others are kept.
 */
static void
test_late_report(void)
{
	struct quarantine_limits limits;
	struct quarantine *quarantine;
	uint64_t first = 7;
	uint64_t second = 8;
	struct timespec now = time_from_ms(100000);
	const struct quarantine_report late = {
	    .fingerprint = first, .death = 5, .age_ms = 900};

	quarantine_limits_init(&limits);
	limits.expiry_ms = 1000;
	quarantine = quarantine_new(&limits);
	quarantine_record_death(quarantine, 1, &first, 1, now);
	quarantine_record_death(
	    quarantine, 2, &second, 1, time_add_ms(now, 500));
	now = time_add_ms(now, 600);
	g_assert_true(quarantine_merge_report(quarantine, &late, now));
	now = time_add_ms(now, 300);
	g_assert_cmpint(
	    quarantine_check(quarantine, first, now), !=, QUARANTINE_CLEAN);
	now = time_add_ms(now, 200);
	g_assert_cmpint(
	    quarantine_check(quarantine, first, now), ==, QUARANTINE_CLEAN);
	g_assert_cmpint(
	    quarantine_check(quarantine, second, now), ==, QUARANTINE_SUSPECT);
	quarantine_free(quarantine);
}

/* An upstream with its sidecar's table and its runs. */
struct upstream {
	char id[8];
	struct quarantine *quarantine;
	uint64_t incarnation;
	int64_t up_at_ms;
	bool runs_suspect; /* alone, as suspects do */
	GArray *running; /* struct run */
};

struct run {
	uint64_t fingerprint;
	int64_t ends_ms;
};

struct report {
	struct quarantine_report report;
	size_t to; /* index of the table: entries first, then upstreams */
	int64_t deliver_at_ms;
};

struct fleet {
	GRand *rand;
	int64_t now_ms;
	struct quarantine *entries[ENTRIES];
	struct upstream upstreams[UPSTREAMS];
	const char *ids[UPSTREAMS];
	GArray *reports; /* struct report, not yet delivered */
	uint32_t deaths[POISONS];
	uint32_t refused[POISONS];
	int64_t report_ms; /* maximum delay of reports; 0 for none */
	bool has_affinity; /* clean copies go to one upstream, by prefix */
};

/* Returns a table of the fleet by its index. */
static struct quarantine *
find_table(struct fleet *fleet, size_t index)
{
	if (index < ENTRIES)
		return fleet->entries[index];
	return fleet->upstreams[index - ENTRIES].quarantine;
}

/* Sends the new reports of one table to all others. */
static void
send_reports(struct fleet *fleet, size_t from)
{
	struct timespec now = time_from_ms(fleet->now_ms);
	struct quarantine_report report;

	while (quarantine_next_report(find_table(fleet, from), &report, now)) {
		for (size_t to = 0; to < ENTRIES + UPSTREAMS; to++) {
			struct report sent = {.report = report, .to = to};

			sent.deliver_at_ms = fleet->now_ms;
			if (fleet->report_ms > 0)
				sent.deliver_at_ms += g_rand_int_range(
				    fleet->rand, 1, (gint32)fleet->report_ms);
			if (to != from)
				g_array_append_val(fleet->reports, sent);
		}
	}
}

/* Delivers the reports that are due. */
static void
deliver_reports(struct fleet *fleet)
{
	struct timespec now = time_from_ms(fleet->now_ms);

	for (guint i = 0; i < fleet->reports->len;) {
		struct report report = g_array_index(
		    fleet->reports, struct report, i);

		if (report.deliver_at_ms > fleet->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(fleet->reports, i);
		quarantine_merge_report(
		    find_table(fleet, report.to), &report.report, now);
	}
}

/* Crashes an upstream with all of its runs. */
static void
crash_upstream(struct fleet *fleet, size_t index)
{
	struct upstream *upstream = &fleet->upstreams[index];
	uint64_t death = quarantine_death_id(
	    upstream->id, upstream->incarnation++);
	bool counted[POISONS] = {false};

	for (guint i = 0; i < upstream->running->len; i++) {
		uint64_t fingerprint =
		    g_array_index(upstream->running, struct run, i).fingerprint;

		quarantine_record_death(upstream->quarantine, death,
		    &fingerprint, 1, time_from_ms(fleet->now_ms));
		if (!counted[fingerprint])
			fleet->deaths[fingerprint]++;
		counted[fingerprint] = true;
	}
	g_array_set_size(upstream->running, 0);
	upstream->runs_suspect = false;
	upstream->up_at_ms = fleet->now_ms + RESTART_MS;
	send_reports(fleet, ENTRIES + index);
	deliver_reports(fleet);
}

/* Runs a request at an upstream if its sidecar accepts it. */
static void
run_at(struct fleet *fleet, size_t index, uint64_t fingerprint)
{
	struct upstream *upstream = &fleet->upstreams[index];
	struct run run = {fingerprint, fleet->now_ms + RUN_MS};
	enum quarantine_verdict verdict = quarantine_check(
	    upstream->quarantine, fingerprint, time_from_ms(fleet->now_ms));

	if (verdict == QUARANTINE_REFUSED ||
	    fleet->now_ms < upstream->up_at_ms || upstream->runs_suspect)
		return;
	if (verdict == QUARANTINE_SUSPECT && upstream->running->len > 0)
		return;
	upstream->runs_suspect = verdict == QUARANTINE_SUSPECT;
	g_array_append_val(upstream->running, run);
}

/* Sends a poison request through a random entry. */
static void
send_request(struct fleet *fleet, uint64_t fingerprint)
{
	int entry = g_rand_int_range(fleet->rand, 0, ENTRIES);
	size_t index = (size_t)g_rand_int_range(fleet->rand, 0, UPSTREAMS);
	enum quarantine_verdict verdict = quarantine_check(
	    fleet->entries[entry], fingerprint, time_from_ms(fleet->now_ms));

	if (verdict == QUARANTINE_REFUSED) {
		fleet->refused[fingerprint]++;
		return;
	}
	if (verdict == QUARANTINE_SUSPECT)
		index = quarantine_choose_upstream(
		    fingerprint, fleet->ids, UPSTREAMS);
	else if (fleet->has_affinity)
		index = quarantine_choose_upstream(
		    ~fingerprint, fleet->ids, UPSTREAMS);
	run_at(fleet, index, fingerprint);
}

/* Ends the runs that are due; as all are poison, their upstreams crash. */
static void
finish_runs(struct fleet *fleet)
{
	for (size_t i = 0; i < UPSTREAMS; i++) {
		struct upstream *upstream = &fleet->upstreams[i];

		if (upstream->running->len > 0 &&
		    g_array_index(upstream->running, struct run, 0).ends_ms <=
			fleet->now_ms)
			crash_upstream(fleet, i);
	}
}

static void
set_up(struct fleet *fleet, uint32_t seed)
{
	struct quarantine_limits limits;

	quarantine_limits_init(&limits);
	fleet->rand = g_rand_new_with_seed(seed);
	fleet->now_ms = 1000;
	fleet->reports = g_array_new(FALSE, FALSE, sizeof(struct report));
	for (int i = 0; i < ENTRIES; i++)
		fleet->entries[i] = quarantine_new(&limits);
	for (int i = 0; i < UPSTREAMS; i++) {
		struct upstream *upstream = &fleet->upstreams[i];

		g_snprintf(upstream->id, sizeof(upstream->id), "u%d", i);
		fleet->ids[i] = upstream->id;
		upstream->quarantine = quarantine_new(&limits);
		upstream->running = g_array_new(
		    FALSE, FALSE, sizeof(struct run));
	}
}

static void
tear_down(struct fleet *fleet)
{
	for (int i = 0; i < ENTRIES; i++)
		quarantine_free(fleet->entries[i]);
	for (int i = 0; i < UPSTREAMS; i++) {
		quarantine_free(fleet->upstreams[i].quarantine);
		g_array_unref(fleet->upstreams[i].running);
	}
	g_array_unref(fleet->reports);
	g_rand_free(fleet->rand);
}

struct fleet_case {
	const char *name;
	uint32_t copies; /* sent at once at the start; one at a time later */
	bool has_affinity;
	int64_t report_ms;
	int64_t resend_ms;
	uint32_t deaths_max; /* limit for each poison request */
};

static const struct fleet_case fleet_cases[] = {
    {"/quarantine/one copy sent repeatedly causes at most two crashes", 1, true,
	REPORT_MAX_MS, 2 * RUN_MS, 2},
    {"/quarantine/copies through all entries at once cause at most two crashes",
	6, true, REPORT_MAX_MS, 2 * RUN_MS, 2},
    {"/quarantine/crashes by copies at random upstreams are bounded by the "
     "copies",
	4, false, REPORT_MAX_MS, 2 * RUN_MS, 5},
};

/* Each poison request is sent repeatedly to a new fleet. */
static void
test_fleet(gconstpointer data)
{
	const struct fleet_case *item = data;
	uint32_t max_deaths = 0, sum = 0, refused = 0;

	for (uint32_t poison = 0; poison < POISONS; poison++) {
		struct fleet fleet = {.report_ms = item->report_ms,
		    .has_affinity = item->has_affinity};

		set_up(&fleet, poison + 1);
		for (uint32_t i = 0; i < item->copies; i++)
			send_request(&fleet, poison);
		for (; fleet.now_ms < SIMULATION_MS; fleet.now_ms += 5) {
			deliver_reports(&fleet);
			finish_runs(&fleet);
			if (fleet.now_ms % item->resend_ms == 0)
				send_request(&fleet, poison);
		}
		max_deaths = MAX(max_deaths, fleet.deaths[poison]);
		sum += fleet.deaths[poison];
		refused += fleet.refused[poison] > 0;
		g_assert_cmpuint(fleet.deaths[poison], <=, item->deaths_max);
		tear_down(&fleet);
	}
	g_test_message("poisons %d, deaths in total %u, maximum of one %u, "
		       "refused at the end %u",
	    POISONS, sum, max_deaths, refused);
	g_assert_cmpuint(refused, ==, POISONS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_case);
	for (gsize i = 0; i < G_N_ELEMENTS(fleet_cases); i++)
		g_test_add_data_func(
		    fleet_cases[i].name, &fleet_cases[i], test_fleet);
	g_test_add_func("/quarantine/reports are passed on once", test_reports);
	g_test_add_func(
	    "/quarantine/a late report does not change when suspects expire",
	    test_late_report);
	return g_test_run();
}
