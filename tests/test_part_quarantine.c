/*
 * Which prompt parts are refused because they crash upstreams. Guards against
 * parts that crash one upstream after the other, and against sound parts that
 * are refused because they stood beside them.
 */
#include "base/clock.h"
#include "cases.h"
#include "policy/part_quarantine.h"

#define START_MS  100000
#define STEPS_MAX 12
#define REQUEST	  PART_DEPTH_REQUEST
#define PARTS	  4

/* One event, or the time at which it ends if part is 0. */
struct step {
	uint64_t part; /* or request */
	uint64_t death; /* 0 for a survival */
	enum part_event_kind kind; /* of a death */
	int64_t at_ms;
	uint32_t depth;
};

static const struct quarantine_case {
	const char *name;
	struct step steps[STEPS_MAX];
	int64_t now_ms;
	bool refused[PARTS]; /* by part, from 1 */
} cases[] = {
    {"two deaths do not refuse a part",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 2, PART_CHARGED, 9, 0}}, 10, {false}},
    {"three deaths at begun responses refuse a part",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 2, PART_CHARGED, 5, 0},
	    {1, 3, PART_CHARGED, 9, 0}},
	10, {true}},
    {"a death that several gateways report counts once",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 1, PART_CHARGED, 1, 0},
	    {1, 1, PART_CHARGED, 2, 0}},
	10, {false}},
    {"five deaths before the response began do not refuse a part",
	{{1, 1, PART_CHARGED_WEAKLY, 0, 0}, {1, 2, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 3, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 4, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 5, PART_CHARGED_WEAKLY, 0, 0}},
	10, {false}},
    {"six deaths before the response began refuse a part",
	{{1, 1, PART_CHARGED_WEAKLY, 0, 0}, {1, 2, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 3, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 4, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 5, PART_CHARGED_WEAKLY, 0, 0},
	    {1, 6, PART_CHARGED_WEAKLY, 0, 0}},
	10, {true}},
    {"a report that the response had begun replaces one that it had not",
	{{1, 1, PART_CHARGED_WEAKLY, 0, 0}, {1, 1, PART_CHARGED, 0, 0},
	    {1, 2, PART_CHARGED, 0, 0}, {1, 3, PART_CHARGED, 0, 0}},
	10, {true}},
    {"a survival refutes charges before it",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 2, PART_CHARGED, 5, 0},
	    {1, 0, PART_SURVIVED, 6, 0}, {1, 3, PART_CHARGED, 9, 0}},
	10, {false}},
    {"a survival refutes charges shortly after its response began",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 900, 0},
	    {1, 2, PART_CHARGED, 950, 0}, {1, 3, PART_CHARGED, 1000, 0}},
	1000, {false}},
    {"a part that has survived before is accepted after five deaths",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 2000, 0},
	    {1, 2, PART_CHARGED, 3000, 0}, {1, 3, PART_CHARGED, 4000, 0},
	    {1, 4, PART_CHARGED, 5000, 0}, {1, 5, PART_CHARGED, 6000, 0}},
	6000, {false}},
    {"a survival does not refute six charges long after it",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 2000, 0},
	    {1, 2, PART_CHARGED, 3000, 0}, {1, 3, PART_CHARGED, 4000, 0},
	    {1, 4, PART_CHARGED, 5000, 0}, {1, 5, PART_CHARGED, 6000, 0},
	    {1, 6, PART_CHARGED, 7000, 0}},
	7000, {true}},
    {"six deaths of one moment do not refuse a part that has survived before",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 2000, 0},
	    {1, 2, PART_CHARGED, 2050, 0}, {1, 3, PART_CHARGED, 2100, 0},
	    {1, 4, PART_CHARGED, 2100, 0}, {1, 5, PART_CHARGED, 2100, 0},
	    {1, 6, PART_CHARGED, 2100, 0}},
	2100, {false}},
    {"of deaths of one moment the heaviest counts, in any order of reports",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 9, PART_CHARGED, 9000, 0},
	    {1, 1, PART_CHARGED_WEAKLY, 2000, 0}, {1, 2, PART_CHARGED, 2900, 0},
	    {1, 3, PART_CHARGED, 3000, 0}, {1, 4, PART_CHARGED, 4000, 0},
	    {1, 5, PART_CHARGED, 5000, 0}, {1, 6, PART_CHARGED, 6000, 0}},
	9000, {true}},
    {"a sound part beside two that crash is accepted",
	{{1, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 2000, 0},
	    {2, 1, PART_CHARGED, 2000, 1}, {1, 2, PART_CHARGED, 2000, 0},
	    {3, 2, PART_CHARGED, 2000, 1}, {1, 3, PART_CHARGED, 2000, 0},
	    {2, 3, PART_CHARGED, 2000, 1}, {1, 4, PART_CHARGED, 2000, 0},
	    {3, 4, PART_CHARGED, 2000, 1}},
	2000, {false, false, false}},
    {"a refused part that survives is accepted again",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 2, PART_CHARGED, 5, 0},
	    {1, 3, PART_CHARGED, 9, 0}, {1, 0, PART_SURVIVED, 8, 0}},
	10, {false}},
    {"of parts that stand together the deepest is refused",
	{{1, 1, PART_CHARGED, 0, 0}, {2, 1, PART_CHARGED, 0, 1},
	    {1, 2, PART_CHARGED, 5, 0}, {2, 2, PART_CHARGED, 5, 1},
	    {1, 3, PART_CHARGED, 9, 0}, {2, 3, PART_CHARGED, 9, 1}},
	10, {false, true}},
    {"of parts that stand together one that has survived before is accepted",
	{{2, 0, PART_SURVIVED, 0, 0}, {1, 1, PART_CHARGED, 2000, 0},
	    {2, 1, PART_CHARGED, 2000, 1}, {1, 2, PART_CHARGED, 2000, 0},
	    {2, 2, PART_CHARGED, 2000, 1}, {1, 3, PART_CHARGED, 2000, 0},
	    {2, 3, PART_CHARGED, 2000, 1}},
	2000, {true, false}},
    {"a first part that crashes beside others is refused",
	{{1, 1, PART_CHARGED, 0, 0}, {2, 1, PART_CHARGED, 0, 1},
	    {1, 2, PART_CHARGED, 5, 0}, {3, 2, PART_CHARGED, 5, 1},
	    {1, 3, PART_CHARGED, 9, 0}, {4, 3, PART_CHARGED, 9, 1}},
	10, {true, false, false, false}},
    {"charges end with time",
	{{1, 1, PART_CHARGED, 0, 0}, {1, 2, PART_CHARGED, 5, 0},
	    {1, 3, PART_CHARGED, 9, 0}},
	PART_QUARANTINE_MS + 9, {false}},

    /* Whole requests. */
    {"two deaths of a request that ran alone refuse it",
	{{1, 1, PART_CHARGED_ALONE, 0, REQUEST},
	    {1, 2, PART_CHARGED_ALONE, 9, REQUEST}},
	10, {true}},
    {"one death of a request that ran alone does not refuse it",
	{{1, 1, PART_CHARGED_ALONE, 0, REQUEST},
	    {1, 1, PART_CHARGED, 0, REQUEST}},
	10, {false}},
    {"two deaths of a request beside others do not refuse it",
	{{1, 1, PART_CHARGED, 0, REQUEST}, {1, 2, PART_CHARGED, 9, REQUEST}},
	10, {false}},
    {"three deaths of a request beside others refuse it",
	{{1, 1, PART_CHARGED, 0, REQUEST}, {1, 2, PART_CHARGED, 5, REQUEST},
	    {1, 3, PART_CHARGED, 9, REQUEST}},
	10, {true}},
    {"deaths between which a request is answered do not refuse it",
	{{1, 1, PART_CHARGED_ALONE, 0, REQUEST},
	    {1, 0, PART_SURVIVED, 1000, REQUEST},
	    {1, 2, PART_CHARGED_ALONE, 3000, REQUEST},
	    {1, 0, PART_SURVIVED, 4000, REQUEST},
	    {1, 3, PART_CHARGED_ALONE, 6000, REQUEST},
	    {1, 0, PART_SURVIVED, 7000, REQUEST},
	    {1, 4, PART_CHARGED_ALONE, 9000, REQUEST}},
	9000, {false}},
    {"deaths of one moment do not refuse a request that was answered before",
	{{1, 0, PART_SURVIVED, 0, REQUEST},
	    {1, 1, PART_CHARGED_ALONE, 2000, REQUEST},
	    {1, 2, PART_CHARGED_ALONE, 2100, REQUEST},
	    {1, 3, PART_CHARGED_ALONE, 2200, REQUEST}},
	2200, {false}},
    {"deaths of one moment refuse a request that nobody has answered",
	{{1, 1, PART_CHARGED, 2000, REQUEST},
	    {1, 2, PART_CHARGED, 2000, REQUEST},
	    {1, 3, PART_CHARGED, 2000, REQUEST}},
	2000, {true}},
    {"deaths that a refused part explains do not refuse a request",
	{{1, 1, PART_CHARGED, 0, 0}, {2, 1, PART_CHARGED, 0, REQUEST},
	    {1, 2, PART_CHARGED, 5, 0}, {2, 2, PART_CHARGED, 5, REQUEST},
	    {1, 3, PART_CHARGED, 9, 0}, {2, 3, PART_CHARGED, 9, REQUEST}},
	10, {true, false}},
    {"deaths of a request that is sent again are those of its part too",
	{{1, 1, PART_CHARGED, 0, 0}, {2, 1, PART_CHARGED, 0, REQUEST},
	    {1, 2, PART_CHARGED, 5, 0}, {2, 2, PART_CHARGED, 5, REQUEST},
	    {1, 3, PART_CHARGED_WEAKLY, 9, 0}, {2, 3, PART_CHARGED, 9, REQUEST},
	    {1, 4, PART_CHARGED_WEAKLY, 9, 0},
	    {3, 4, PART_CHARGED, 9, REQUEST}},
	10, {true, false, false}},
    {"of requests that ran together the one at more deaths is refused",
	{{1, 1, PART_CHARGED, 0, REQUEST}, {2, 1, PART_CHARGED, 0, REQUEST},
	    {1, 2, PART_CHARGED, 5, REQUEST}, {2, 2, PART_CHARGED, 5, REQUEST},
	    {1, 3, PART_CHARGED, 7, REQUEST}, {2, 3, PART_CHARGED, 7, REQUEST},
	    {2, 4, PART_CHARGED, 9, REQUEST}},
	10, {false, true}},
};

/* Sets what has changed, by part. */
static void
on_refused(void *data, uint64_t part, bool refused)
{
	((bool *)data)[part] = refused;
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct quarantine_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct part_quarantine *quarantine = part_quarantine_new();
	struct timespec now = time_from_ms(START_MS + c->now_ms);
	bool refused[PARTS + 1] = {false};

	for (const struct step *step = c->steps; step->part != 0; step++) {
		const struct part_event event = {
		    .kind = step->kind,
		    .part = step->part,
		    .depth = step->depth,
		    .death = step->death,
		    .at = time_from_ms(START_MS + step->at_ms),
		};

		part_quarantine_add(quarantine, &event, event.at);
	}
	part_quarantine_update(quarantine, now, on_refused, refused);
	for (size_t i = 0; i < PARTS; i++) {
		g_assert_cmpint(refused[i + 1], ==, c->refused[i]);
		g_assert_cmpint(
		    part_quarantine_left_ms(quarantine, i + 1, now) > 0, ==,
		    c->refused[i]);
	}
	part_quarantine_free(quarantine);
}

/* What a request and its parts are charged with when their upstream dies. */
static const struct stage_case {
	const char *name;
	struct part_death_stage stage;
	uint32_t depth;
	bool charged;
	enum part_event_kind kind;
} stage_cases[] = {
    {"a part before the response began", {0}, 0, true, PART_CHARGED_WEAKLY},
    {"a part at a response that has begun", {.begun = true}, 1, true,
	PART_CHARGED},
    {"a part that has survived", {.begun = true, .events = 2}, 0, false, 0},
    {"a request beside others", {0}, REQUEST, true, PART_CHARGED},
    {"a request alone", {.alone = true}, REQUEST, true, PART_CHARGED_ALONE},
    {"a part at an upstream that leaves", {.begun = true, .leaving = true}, 0,
	false, 0},
    {"a request at an upstream that leaves", {.alone = true, .leaving = true},
	REQUEST, false, 0},
    {"a request whose response goes on", {.begun = true, .events = 2}, REQUEST,
	true, PART_CHARGED_WEAKLY},
};

/* Runs one case. */
static void
test_stage(gconstpointer data)
{
	const struct stage_case *c = &stage_cases[GPOINTER_TO_SIZE(data)];
	enum part_event_kind kind;

	g_assert_cmpint(
	    part_quarantine_charge(&c->stage, c->depth, &kind), ==, c->charged);
	if (c->charged)
		g_assert_cmpint(kind, ==, c->kind);
}

/*
 * When a refused part is probed, after deaths at 0 and 5 ms, and 9 ms or later,
 * and what callers are told.
 */
static const struct probe_case {
	const char *name;
	int64_t now_ms;
	int64_t probed_ms; /* by this process; 0 for never */
	int64_t death_ms; /* of one more upstream; 0 for none */
	bool due;
	int64_t retry_after_ms;
	int64_t third_ms; /* of the third death; 0 for 9 ms */
} probe_cases[] = {
    {"no part is probed at once", 1000, 0, 0, false,
	PART_QUARANTINE_PROBE_MS - 991, 0},
    {"a part is probed a minute after the last death",
	PART_QUARANTINE_PROBE_MS + 9, 0, 0, true, PART_QUARANTINE_RETRY_MIN_MS,
	0},
    {"a part is probed once", 2 * PART_QUARANTINE_PROBE_MS,
	PART_QUARANTINE_PROBE_MS + 9, 0, false, PART_QUARANTINE_PROBE_MS - 9,
	0},
    {"callers of a probe that nobody sends come back ever later",
	PART_QUARANTINE_PROBE_MS + 20009, 0, 0, true, 20000, 0},
    {"no caller is told to come back after the refusal",
	PART_QUARANTINE_MS - 991, 0, 0, true, 1000, 0},
    {"a part is not probed after another gateway's probe has failed",
	4 * PART_QUARANTINE_PROBE_MS, 0, PART_QUARANTINE_PROBE_MS + 50, false,
	PART_QUARANTINE_MS - 3 * PART_QUARANTINE_PROBE_MS + 50, 0},
    {"one more death of the first moment does not count as a probe's",
	PART_QUARANTINE_PROBE_MS + 50, 0, 50, true,
	PART_QUARANTINE_RETRY_MIN_MS, 0},
    {"a part that is accepted again is not probed", PART_QUARANTINE_MS + 9, 0,
	0, false, 0, 0},
    {"a third death long after the first two is no probe's",
	2 * PART_QUARANTINE_PROBE_MS + 10, 0, 0, true,
	PART_QUARANTINE_RETRY_MIN_MS, PART_QUARANTINE_PROBE_MS + 10},
};

/* Runs one case. */
static void
test_probe(gconstpointer data)
{
	const struct probe_case *c = &probe_cases[GPOINTER_TO_SIZE(data)];
	struct part_quarantine *quarantine = part_quarantine_new();
	struct timespec now = time_from_ms(START_MS + c->now_ms);
	const int64_t deaths_ms[] = {
	    0, 5, c->third_ms > 0 ? c->third_ms : 9, c->death_ms};
	bool refused[PARTS + 1] = {false};

	for (size_t i = 0; i < G_N_ELEMENTS(deaths_ms); i++) {
		const struct part_event event = {
		    .kind = PART_CHARGED,
		    .part = 1,
		    .death = i + 1,
		    .at = time_from_ms(START_MS + deaths_ms[i]),
		};

		if (i < 3 || c->death_ms > 0)
			part_quarantine_add(quarantine, &event, event.at);
	}
	part_quarantine_update(quarantine,
	    time_from_ms(START_MS + MAX(c->death_ms, deaths_ms[2])), on_refused,
	    refused);
	if (c->probed_ms > 0)
		part_quarantine_on_probe(
		    quarantine, 1, time_from_ms(START_MS + c->probed_ms));
	g_assert_cmpint(
	    part_quarantine_is_probe_due(quarantine, 1, now), ==, c->due);
	g_assert_false(part_quarantine_is_probe_due(quarantine, 2, now));
	g_assert_cmpint(part_quarantine_retry_after_ms(quarantine, 1, now), ==,
	    c->retry_after_ms);
	g_assert_cmpint(
	    part_quarantine_retry_after_ms(quarantine, 2, now), ==, 0);
	part_quarantine_free(quarantine);
}

/* Nothing to do. */
static void
ignore_refused(void *data, uint64_t part, bool refused)
{
}

/*
 * The table is bounded, and parts or requests that only survive do not push out
 * one that is refused or charged, even if there is no other.
 */
static void
test_bound(gconstpointer data)
{
	struct part_quarantine *quarantine = part_quarantine_new();
	struct timespec now = time_from_ms(START_MS);
	struct part_event event = {.kind = PART_CHARGED,
	    .part = UINT64_MAX,
	    .depth = (uint32_t)GPOINTER_TO_UINT(data),
	    .at = now};

	for (event.death = 1; event.death <= 3; event.death++)
		part_quarantine_add(quarantine, &event, now);
	part_quarantine_update(quarantine, now, ignore_refused, NULL);
	for (event.part = 1; event.part < PART_QUARANTINE_PARTS_MAX;
	     event.part++)
		part_quarantine_add(quarantine, &event, now);
	event.kind = PART_SURVIVED;
	for (; event.part <= 2 * PART_QUARANTINE_PARTS_MAX; event.part++)
		part_quarantine_add(quarantine, &event, now);
	g_assert_cmpint(
	    part_quarantine_left_ms(quarantine, UINT64_MAX, now), >, 0);
	g_assert_false(part_quarantine_survival(
	    quarantine, PART_QUARANTINE_PARTS_MAX, &event));
	g_assert_true(part_quarantine_survival(
	    quarantine, 2 * PART_QUARANTINE_PARTS_MAX, &event));
	part_quarantine_free(quarantine);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/part quarantine", test_case);
	ADD_CASES(probe_cases, "/part quarantine/probe", test_probe);
	ADD_CASES(stage_cases, "/part quarantine/charge", test_stage);
	g_test_add_data_func(
	    "/part quarantine/a refused part is kept when the table is full",
	    GUINT_TO_POINTER(0), test_bound);
	g_test_add_data_func(
	    "/part quarantine/a refused request is kept when the table is full",
	    GUINT_TO_POINTER(REQUEST), test_bound);
	return g_test_run();
}
