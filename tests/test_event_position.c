/*
 * Which events of a stream are new to its caller, and where it can be resumed.
 * Guards against events that are hidden by a wrong id before them.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/event_position.h"

/* Events of a stream, one a word: an id, or one of these. */
#define UNNUMBERED "?"
#define NEXT_RUN   "/" /* the stream broke off and is resumed */

static const struct position_case {
	const char *name;
	const char *events;
	const char
	    *verdicts; /* n new, r repeated, m misplaced; of each event */
	bool can_resume; /* after the last event */
	uint64_t last;
} cases[] = {
    {"events in order are new", "1 2 3", "nnn", true, 3},
    {"the first event may have any id", "40 41", "nn", true, 41},
    {"an id that is too high hides no event", "8 9 90 11 12", "nnnnn", true,
	12},
    {"a stream is not resumed after an id that is too high", "8 9 90", "nnn",
	false, 90},
    {"a stream is not resumed right after one that was too high", "8 9 90 11",
	"nnnn", false, 11},
    {"an id that is too low hides no event", "8 9 1 11 12", "nnnnn", true, 12},
    {"a stream is not resumed after an id that is too low", "8 9 1", "nnn",
	false, 1},
    {"an id that comes twice hides no event", "8 9 9 11 12", "nnnnn", true, 12},
    {"a stream is not resumed until two ids follow each other", "8 9 9 11",
	"nnnn", false, 11},
    {"a stream is not resumed after an id that comes twice", "8 9 9", "nnn",
	false, 9},
    {"a stream is not resumed after an id that can't be read", "8 9 ?", "nnn",
	false, 9},
    {"a stream is resumed once ids follow again", "8 9 ? 11 12", "nnnnn", true,
	12},
    {"a stream without ids is not resumed", "? ?", "nn", false, 0},
    {"ids that are equally far apart follow", "10 20 30", "nnn", true, 30},
    {"ids that come closer follow", "10 20 25", "nnn", true, 25},
    {"a larger distance is in doubt once", "10 20 40 60", "nnnn", true, 60},
    {"a resumed run goes on", "1 2 / 3 4", "nnnn", true, 4},
    {"a resumed run may repeat all events", "1 2 / 1 2 3", "nnrrn", true, 3},
    {"a resumed run may repeat the last event", "1 2 3 / 3 4", "nnnrn", true,
	4},
    {"a resumed run that does not reach the last event does not join it",
	"1 2 3 / 1 2 4", "nnnrrm", true, 3},
    {"a wrong id among the repeated events does not join", "1 2 3 / 1 20",
	"nnnrm", true, 3},
    {"a resumed run whose first id is too low does not join", "1 2 3 / 1 5",
	"nnnrm", true, 3},
    {"an id that is too low in a resumed run hides no event", "1 2 3 / 4 1 6 7",
	"nnnnnnn", true, 7},
    {"an id that is too high in a resumed run hides no event", "1 2 3 / 40 5 6",
	"nnnnnn", true, 6},
    {"a run that is resumed twice", "1 2 / 2 3 / 3 4", "nnrnrn", true, 4},
    {"a run that has sent nothing is resumed", "1 2 / / 3", "nnn", true, 3},
};

/* Feeds the events of a case; checks each verdict and where it ends. */
static void
test_position(gconstpointer data)
{
	const struct position_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct event_position position = {0};
	g_auto(GStrv) events = g_strsplit(c->events, " ", -1);
	const char *verdict = c->verdicts;

	event_position_begin_run(&position);
	for (size_t i = 0; events[i] != NULL; i++) {
		enum event_verdict expected;

		if (strcmp(events[i], NEXT_RUN) == 0) {
			event_position_begin_run(&position);
			continue;
		}
		expected = *verdict == 'n' ? EVENT_NEW
		    : *verdict == 'r'	   ? EVENT_REPEATED
					   : EVENT_MISPLACED;
		verdict++;
		if (strcmp(events[i], UNNUMBERED) == 0)
			event_position_add_unnumbered(&position);
		else
			g_assert_cmpint(
			    event_position_add(&position,
				g_ascii_strtoull(events[i], NULL, 10)),
			    ==, expected);
	}
	g_assert_cmpint(*verdict, ==, '\0');
	g_assert_cmpint(
	    event_position_can_resume(&position), ==, c->can_resume);
	g_assert_cmpuint(position.last, ==, c->last);
}

/* A caller resumes the stream itself, and gets only what follows. */
static void
test_start_after(void)
{
	struct event_position position = {0};

	event_position_start_after(&position, 5);
	event_position_begin_run(&position);
	g_assert_cmpint(event_position_add(&position, 5), ==, EVENT_REPEATED);
	g_assert_cmpint(event_position_add(&position, 6), ==, EVENT_NEW);
	g_assert_cmpint(event_position_add(&position, 6), ==, EVENT_NEW);
	g_assert_false(event_position_can_resume(&position));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/event_position", test_position);
	g_test_add_func(
	    "/event_position/a caller resumes its stream", test_start_after);
	return g_test_run();
}
