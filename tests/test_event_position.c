/*
 * Which events of a stream are sure, and where it can be resumed. Guards
 * against events that no run made, events that are hidden by a wrong id, and
 * sound streams that are cut because others number their events differently.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/event_position.h"

/*
 * Events of a stream, one a word: an id, or ? for none; the letter a or b for
 * other data than usual; ! for lines that no event has. NEXT_RUN: the stream
 * breaks off and is resumed; END: the run ends as complete.
 */
#define NO_ID	  '?'
#define MALFORMED '!'
#define NEXT_RUN  "/"
#define END	  "."

/* What is known of the route. */
#define NEW_ROUTE ""
#define FROM_ONE  "1-3"
#define FROM_40	  "40-42"
#define BY_TEN	  "10-20"
#define NO_IDS	  "?"

/*
 * What becomes of each event: n new, r repeated, h held back, c held back but
 * passed on before this one or at the end, x held back and rejected there, m
 * misplaced. After x and m nothing is added until the next run.
 */
static const struct position_case {
	const char *name;
	const char *route;
	bool resumable;
	const char *events;
	const char *verdicts;
	int64_t resumed_after; /* -1: from the start; -2: not */
} cases[] = {
    {"events in order are new", NEW_ROUTE, true, "1 2 3 .", "nnn", 3},
    {"a stream may begin at 0", NEW_ROUTE, true, "0 1", "nn", 1},
    {"another first id is held back", NEW_ROUTE, true, "40 41", "hcn", 41},
    {"another first id is confirmed by the end", NEW_ROUTE, true, "40 .", "hc",
	40},
    {"a first id that is known is new", FROM_40, true, "40 41", "nn", 41},
    {"a first event that was added is rejected", NEW_ROUTE, true, "90 1", "hx",
	-1},
    {"a lower first event that was added is rejected", FROM_ONE, true, "0 1",
	"hx", -1},
    {"a first id that the route never had is rejected if another run can be "
     "asked",
	FROM_ONE, true, "90 91", "hx", -1},
    {"a first id that the route never had is confirmed by a higher one",
	FROM_ONE, false, "90 91 92", "hcnn", 92},
    {"a first id that the route never had is refuted by a lower one", FROM_ONE,
	false, "90 1 2", "hx", -1},
    {"a first id below the route's is confirmed by a higher one", FROM_ONE,
	false, "0 1 2", "hcnn", 2},
    {"a first id that the route never had may be the only one", FROM_ONE, false,
	"90 .", "hc", 90},
    {"two runs agree on a first id", FROM_ONE, true, "90 91 / 90 91", "hxnn",
	91},
    {"an id that is too high is rejected", NEW_ROUTE, true, "8 9 90 10",
	"hcnhx", 9},
    {"an id that is too high is rejected at the end", NEW_ROUTE, true,
	"1 2 90 .", "nnhx", 1},
    {"an id that is too high is rejected on a route without resumption",
	NEW_ROUTE, false, "1 2 90 3", "nnhx", 2},
    {"a second id that is too high is rejected", NEW_ROUTE, false, "1 90 2",
	"nhx", 1},
    {"a missing event is in doubt", NEW_ROUTE, true, "1 2 4 5", "nnhx", 2},
    {"a missing event is in doubt on a route that is known", FROM_ONE, true,
	"1 2 4 5", "nnhx", 2},
    {"ids that increase are passed on without resumption", FROM_ONE, false,
	"1 2 4 5 9 .", "nnhcnhc", 9},
    {"an id that is too high is refuted by the next one on a route that is "
     "known",
	FROM_ONE, false, "1 2 90 3", "nnhx", 2},
    {"an id far from evenly numbered ones is rejected at the end", FROM_ONE,
	false, "1 2 3 90 .", "nnnhx", 2},
    {"an id far from evenly numbered ones is rejected at the end of a new "
     "route",
	NEW_ROUTE, false, "51 102 153 2000 .", "hchcnhx", 102},
    {"an id farther away than others is passed on where distances vary",
	FROM_ONE, false, "7 19 23 600 .", "hchcnhc", 600},
    {"the next run has the missing event", NEW_ROUTE, true, "1 2 4 5 / 3 4",
	"nnhxnn", 4},
    {"two runs agree on an id far from the last one", NEW_ROUTE, true,
	"1 2 40 41 / 40 41", "nnhxnn", 41},
    {"later ids may jump once two runs agree", NEW_ROUTE, true,
	"1 2 40 41 / 40 41 90 91", "nnhxnnhcn", 91},
    {"an added event is rejected though ids jump", NEW_ROUTE, true,
	"1 2 40 41 / 40 41 90 42", "nnhxnnhx", 41},
    {"two runs that disagree are no evidence", NEW_ROUTE, true,
	"1 2 40 3 / 50 3 / 3", "nnhxhxn", 3},
    {"ids jump on a new route without resumption", NEW_ROUTE, false,
	"10 20 30 .", "hchcn", 30},
    {"two ids that are far apart are a stream of a new route", NEW_ROUTE, false,
	"1 20 .", "nhc", 20},
    {"ids that are as far apart as the route's are new", BY_TEN, true,
	"10 20 25 35", "nnnn", 35},
    {"an id that comes twice puts both events in doubt", NEW_ROUTE, true,
	"1 2 3 3a 4", "nnnhx", 2},
    {"the next run confirms an event whose id came twice", NEW_ROUTE, true,
	"1 2 3 3a 4 / 3 4", "nnnhxrn", 4},
    {"the next run has another event with an id that came twice", NEW_ROUTE,
	true, "1 2 3 3a 4 / 3a 4", "nnnhxm", -2},
    {"the next run lacks the event whose id came twice", NEW_ROUTE, true,
	"1 2 3 3a 4 / 4", "nnnhxm", 2},
    {"a first event whose id comes twice is confirmed from the start",
	NEW_ROUTE, true, "1 1a 2 / 1 2", "nhxrn", 2},
    {"an id that is too low is rejected", NEW_ROUTE, true, "1 2 3 1 4", "nnnhx",
	3},
    {"an event without an id is rejected", NEW_ROUTE, true, "1 2 ? 3", "nnhx",
	2},
    {"a first event without an id is rejected", NEW_ROUTE, true, "? 1", "hx",
	-1},
    {"an event without an id is rejected where streams have none", NO_IDS, true,
	"1 2 ? 3", "nnhx", 2},
    {"two runs agree on an event without an id", NEW_ROUTE, true,
	"1 2 ?a . / 2 ?a .", "nnhxrn", -2},
    {"two runs that report the same error don't agree", NEW_ROUTE, true,
	"1 2 / ?a . / ?a .", "nnhxhx", 2},
    {"two runs with different events without an id don't agree", NEW_ROUTE,
	true, "1 2 ?a . / 2 ?b .", "nnhxrhx", 1},
    {"events without ids are passed on", NEW_ROUTE, true, "? ? ?", "hcnn", -2},
    {"events without ids are passed on at once where streams have none", NO_IDS,
	false, "? ? .", "nn", -2},
    {"a stream of one event without an id is passed on", NEW_ROUTE, false,
	"? .", "hc", -2},
    {"one event without an id is no stream of a route with ids", FROM_ONE,
	false, "? .", "hx", -1},
    {"events without ids are a stream of a route with ids", FROM_ONE, false,
	"? ? ?", "hcnn", -2},
    {"an id in a stream without ids is rejected", NO_IDS, true, "? 1 ?", "nhx",
	-2},
    {"an event with lines that no event has is rejected", NEW_ROUTE, true,
	"1 2! 3", "nhx", 1},
    {"two runs agree on lines that no event has", NEW_ROUTE, true,
	"1 2! 3! / 2! 3! 4", "nhxnnn", 4},
    {"an added event that takes the next id is not confirmed by one after it",
	NEW_ROUTE, true, "1 2a 2! 3 / 2 3", "nnhxm", -2},
    {"two runs don't agree on an id that goes back", NEW_ROUTE, true,
	"1 2 1! 3 / 1! 3 / 3", "nnhxhxn", 3},
    {"two runs don't agree on an event that the next one shows to be added",
	FROM_ONE, true, "2a 1 / 2a 1 / 1 2", "hxhxnn", 2},
    {"an id that comes twice in a resumed run hides no event", NEW_ROUTE, true,
	"1 2 2a . / 2 2a .", "nnhxrhx", 1},
    {"a resumed run goes on", NEW_ROUTE, true, "1 2 / 3 4", "nnnn", 4},
    {"a resumed run may repeat all events", NEW_ROUTE, true, "1 2 / 1 2 3",
	"nnrrn", 3},
    {"a resumed run may repeat the last event", NEW_ROUTE, true, "1 2 3 / 3 4",
	"nnnrn", 4},
    {"a resumed run that does not reach the last event does not join it",
	NEW_ROUTE, true, "1 2 3 / 1 2 4", "nnnrrm", 3},
    {"a wrong id among the repeated events does not join", NEW_ROUTE, true,
	"1 2 3 / 1 20", "nnnrm", 3},
    {"a resumed run whose first id is too high is in doubt", NEW_ROUTE, true,
	"1 2 3 / 40 4", "nnnhx", 3},
    {"a run that is resumed twice", NEW_ROUTE, true, "1 2 / 2 3 / 3 4",
	"nnrnrn", 4},
    {"a run that has sent nothing is resumed", NEW_ROUTE, true, "1 2 / / 3",
	"nnn", 3},
    {"a run that broke off after an event in doubt is resumed before it",
	NEW_ROUTE, true, "1 2 ? / 3", "nnhn", 3},
    {"the run after one that ended in doubt is asked for the last event",
	NEW_ROUTE, true, "1 2 3 ? .", "nnnhx", 2},
    {"the run after one that ended in doubt may go on", NEW_ROUTE, true,
	"1 2 3 ? . / 3 4", "nnnhxrn", 4},
};

/* Returns the events of streams of a route that were complete before. */
static struct event_numbering
learn_route(const char *route)
{
	struct event_numbering numbering = {0};
	uint64_t step = strcmp(route, BY_TEN) == 0 ? 10 : 1;
	uint64_t first, second;

	if (strcmp(route, NO_IDS) == 0)
		event_numbering_add_unnumbered(&numbering);
	else if (sscanf(route, "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
		     &first, &second) == 2)
		for (int i = 0; i < EVENT_NUMBERING_STREAMS_MIN; i++) {
			event_numbering_add_first(&numbering, first);
			event_numbering_add_stream(&numbering, step, step);
		}
	return numbering;
}

/* Parses an event; its data is the letter. */
static struct event_mark
parse_event(const char *word)
{
	char *rest = (char *)word + (*word == NO_ID);
	struct event_mark event = {.has_id = *word != NO_ID};

	if (event.has_id)
		event.id = g_ascii_strtoull(word, &rest, 10);
	event.is_malformed = *rest == MALFORMED;
	event.hash = 1 + event.id * 1000 + (uint64_t)*rest;
	return event;
}

/* Adds an event; returns whether the send goes on. */
static bool
add(struct event_position *position, const struct event_numbering *numbering,
    const char *word, GString *verdicts)
{
	static const char letters[] = {[EVENT_NEW] = 'n',
	    [EVENT_REPEATED] = 'r',
	    [EVENT_HELD] = 'h',
	    [EVENT_MISPLACED] = 'm'};
	struct event_mark event = parse_event(word);
	enum event_verdict verdict;
	bool confirmed;

	if (position->held_doubt != EVENT_SURE) {
		confirmed = event_position_accept_held(
		    position, numbering, &event);
		g_string_append_c(verdicts, confirmed ? 'c' : 'x');
		if (!confirmed) {
			event_position_reject_held(position, false);
			return false;
		}
	}
	verdict = event_position_add(position, numbering, &event);
	g_string_append_c(verdicts, letters[verdict]);
	return verdict != EVENT_MISPLACED;
}

/* The run ends as complete. */
static void
end(struct event_position *position, const struct event_numbering *numbering,
    GString *verdicts)
{
	if (position->held_doubt == EVENT_SURE)
		return;
	if (event_position_accept_held_at_end(position, numbering)) {
		g_string_append_c(verdicts, 'c');
	} else {
		g_string_append_c(verdicts, 'x');
		event_position_reject_held(position, true);
	}
}

/* Feeds the events of a case; checks each verdict and where it ends. */
static void
test_position(gconstpointer data)
{
	const struct position_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct event_numbering numbering = learn_route(c->route);
	struct event_position position = {.resumable = c->resumable};
	g_auto(GStrv) words = g_strsplit(c->events, " ", -1);
	g_autoptr(GString) verdicts = g_string_new(NULL);
	bool going_on = true;
	uint64_t after = 0;

	event_position_begin_run(&position);
	for (size_t i = 0; words[i] != NULL; i++) {
		if (strcmp(words[i], NEXT_RUN) == 0) {
			event_position_begin_run(&position);
			going_on = true;
		} else if (strcmp(words[i], END) == 0) {
			end(&position, &numbering, verdicts);
		} else if (going_on) {
			going_on = add(
			    &position, &numbering, words[i], verdicts);
		}
	}
	g_assert_cmpstr(verdicts->str, ==, c->verdicts);
	g_assert_cmpint(
	    event_position_can_resume(&position), ==, c->resumed_after != -2);
	if (c->resumed_after == -2)
		return;
	g_assert_cmpint(event_position_resume_after(&position, &after), ==,
	    c->resumed_after >= 0);
	if (c->resumed_after >= 0)
		g_assert_cmpuint(after, ==, (uint64_t)c->resumed_after);
}

static const struct end_case {
	const char *name;
	const char *first_run; /* that has the events 1 to 3 */
	const char *second_run;
	bool is_agreed; /* that 3 is the last event */
} end_cases[] = {
    {"two runs agree on the end", "1 2 3 ? .", "3 .", true},
    {"a run that sends nothing is no evidence of the end", "1 2 3 ? .", ".",
	false},
    {"a run that broke off is no evidence of the end", "1 2 3 ?", "3 .", false},
    {"a run that goes on is no evidence of the end", "1 2 3 ? 4", "3 .", false},
    {"a run that ended without doubt was no end", "1 2 3", "3 .", false},
};

/* A stream whose run added an event behind the last one. */
static void
test_end(gconstpointer data)
{
	const struct end_case *c = &end_cases[GPOINTER_TO_SIZE(data)];
	const char *const runs[] = {c->first_run, c->second_run};
	struct event_numbering numbering = {0};
	struct event_position position = {.resumable = true};

	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
		g_auto(GStrv) words = g_strsplit(runs[i], " ", -1);
		g_autoptr(GString) verdicts = g_string_new(NULL);

		event_position_begin_run(&position);
		for (size_t j = 0; words[j] != NULL; j++) {
			if (strcmp(words[j], END) == 0)
				end(&position, &numbering, verdicts);
			else
				add(&position, &numbering, words[j], verdicts);
		}
	}
	g_assert_cmpint(
	    event_position_is_end_agreed(&position), ==, c->is_agreed);
}

/* A caller resumes the stream itself, and gets only what follows. */
static void
test_start_after(void)
{
	struct event_numbering numbering = {0};
	struct event_position position = {.resumable = true};
	g_autoptr(GString) verdicts = g_string_new(NULL);
	uint64_t after;

	event_position_start_after(&position, 5);
	event_position_begin_run(&position);
	add(&position, &numbering, "5", verdicts);
	add(&position, &numbering, "6", verdicts);
	add(&position, &numbering, "6a", verdicts);
	add(&position, &numbering, "7", verdicts);
	g_assert_cmpstr(verdicts->str, ==, "rnhx");
	g_assert_true(event_position_resume_after(&position, &after));
	g_assert_cmpuint(after, ==, 5);
}

/* Plays one run of a stream on a route; returns whether it is whole. */
static bool
play_stream(
    struct event_numbering *numbering, const char *events, bool resumable)
{
	struct event_position position = {.resumable = resumable};
	g_auto(GStrv) words = g_strsplit(events, " ", -1);
	g_autoptr(GString) verdicts = g_string_new(NULL);
	bool whole = true;

	event_position_begin_run(&position);
	for (size_t i = 0; words[i] != NULL && whole; i++)
		whole = add(&position, numbering, words[i], verdicts);
	if (whole)
		end(&position, numbering, verdicts);
	whole = whole && strchr(verdicts->str, 'x') == NULL;
	if (whole)
		event_position_learn_end(&position, numbering);
	else
		event_numbering_add_doubt(numbering);
	return whole;
}

static const struct route_case {
	const char *name;
	const char *streams[4]; /* played in turn */
	const char *last; /* then this one */
	bool whole;
} route_cases[] = {
    {"streams that are not in a row do not tell how far apart ids are",
	{"1 9 17", "1 2 3", "1 9 17", "1 2 3"}, "1 2 10 11", false},
    {"streams in a row tell how far apart ids are",
	{"1 9 17", "1 9 17", "1 9 17"}, "1 9 17", true},
    {"a distance says little where distances vary",
	{"1 2 9", "1 3 11", "1 6 7"}, "1 2 41 42", true},
    {"an id that is far too high is rejected though distances vary",
	{"1 2 9", "1 3 11", "1 6 7"}, "1 2 900 3", false},
    {"streams that begin with different ids may begin with another one",
	{"40 41", "57 58", "90 91"}, "99 100", true},
    {"an added first event is rejected though first ids differ",
	{"40 41", "57 58", "59 60"}, "90 61 62", false},
    {"a stream without ids does not make an event without one the first",
	{"1 2 3", "1 2 3", "1 2 3", "? ? ?"}, "? 1 2", false},
    {"a stream without ids stays whole on a route with ids",
	{"1 2 3", "1 2 3", "1 2 3"}, "? ? ?", true},
};

/* Plays the streams of a route often, and then one more. */
static void
test_route(gconstpointer data)
{
	const struct route_case *c = &route_cases[GPOINTER_TO_SIZE(data)];
	struct event_numbering numbering = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(c->streams); i++) {
		if (c->streams[i] != NULL)
			play_stream(&numbering, c->streams[i], false);
	}
	g_assert_cmpint(play_stream(&numbering, c->last, true), ==, c->whole);
}

/* A route whose streams change is learned anew after some were cut. */
static void
test_changed_route(void)
{
	struct event_numbering numbering = learn_route(FROM_ONE);

	for (int i = 0; i < EVENT_NUMBERING_DOUBTS_MAX; i++)
		g_assert_false(
		    play_stream(&numbering, "100 120 150 180", true));
	for (int i = 0; i <= EVENT_NUMBERING_STREAMS_MIN; i++)
		g_assert_true(
		    play_stream(&numbering, "100 120 150 180", false));
	g_assert_true(event_numbering_is_first(&numbering, 100));
	g_assert_false(event_numbering_is_first(&numbering, 1));
	g_assert_true(event_numbering_is_next(&numbering, 120, 0, 150));
	g_assert_false(event_numbering_is_outdated(&numbering));
}

#define RISING_STREAMS 220
#define RISING_EVENTS  12

/*
 * Streams of a route, in turn, that no other upstream can continue. The ids of
 * drawn ones count tokens.
 */
static const struct rising_case {
	const char *name;
	const char *route;
	const char *streams[2]; /* drawn if NULL */
	int tokens_max; /* of an event */
} rising_cases[] = {
    {"events of a new version that hold 51 tokens", FROM_ONE,
	{"51 102 153 204", "51 102 153 204"}, 0},
    {"first ids of a new version", FROM_ONE, {"10 11 12", "2 3 4"}, 0},
    {"a new version counts from 0", FROM_ONE, {"0 1 2", "0 1 2"}, 0},
    {"a last event far from the others", FROM_ONE, {"7 19 23 60", "7 19 23 60"},
	0},
    {"two services number their events differently", NEW_ROUTE,
	{"1 2 3 4", "51 102 153 204"}, 0},
    {"events of up to 2 tokens on a new route", NEW_ROUTE, {NULL, NULL}, 2},
    {"events of up to 8 tokens on a new route", NEW_ROUTE, {NULL, NULL}, 8},
    {"events of up to 64 tokens on a new route", NEW_ROUTE, {NULL, NULL}, 64},
    {"events of up to 2 tokens", FROM_ONE, {NULL, NULL}, 2},
    {"events of up to 64 tokens", FROM_ONE, {NULL, NULL}, 64},
};

/* Draws a stream whose events hold one to tokens_max tokens. */
static char *
draw_stream(GRand *random, int tokens_max)
{
	GString *text = g_string_new(NULL);
	int id = 0;

	for (int i = 0; i < RISING_EVENTS; i++) {
		id += g_rand_int_range(random, 1, tokens_max + 1);
		g_string_append_printf(text, "%s%d", i > 0 ? " " : "", id);
	}
	return g_string_free(text, FALSE);
}

/* Guards against sound streams that are cut since only others are known. */
static void
test_rising(gconstpointer data)
{
	const struct rising_case *c = &rising_cases[GPOINTER_TO_SIZE(data)];
	struct event_numbering numbering = learn_route(c->route);
	GRand *random = g_rand_new_with_seed(1);
	int whole = 0;

	for (int i = 0; i < RISING_STREAMS; i++) {
		const char *stream = c->streams[i % 2];
		g_autofree char *drawn = stream == NULL
		    ? draw_stream(random, c->tokens_max)
		    : NULL;

		whole += play_stream(
		    &numbering, stream == NULL ? drawn : stream, false);
	}
	g_rand_free(random);
	g_assert_cmpint(whole, ==, RISING_STREAMS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/event_position", test_position);
	ADD_CASES(end_cases, "/event_position", test_end);
	g_test_add_func(
	    "/event_position/a caller resumes its stream", test_start_after);
	ADD_CASES(route_cases, "/event_position", test_route);
	ADD_CASES(rising_cases, "/event_position/rising", test_rising);
	g_test_add_func(
	    "/event_position/a changed route is learned", test_changed_route);
	return g_test_run();
}
