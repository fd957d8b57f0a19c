/* When a process has a share of the retry slack. */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/retry_share.h"

#define PEERS_MAX 8
#define LAPSE_MS  600

static const struct share_case {
	const char *name;
	uint32_t own_known;
	struct retry_peer peers[PEERS_MAX];
	size_t count;
	bool settled;
	bool held; /* a share, before */
	int64_t agreed_ms; /* for how long the view has been the same */
	double share;
} cases[] = {
    {"a single process has all", 1, {{0}}, 0, true, false, LAPSE_MS, 1.0},
    {"one that has just started has none", 1, {{0}}, 0, false, false, LAPSE_MS,
	0.0},
    {"one that has just started has a share once a holder reports", 3,
	{{3, true}, {3, false}}, 2, false, false, LAPSE_MS, 1.0 / 3},
    {"none before earlier reports have lapsed", 3, {{3, true}, {3, true}}, 2,
	true, false, LAPSE_MS - 1, 0.0},
    {"none while too few agree", 5,
	{{5, true}, {4, true}, {4, true}, {4, true}}, 4, true, false, LAPSE_MS,
	0.0},
    {"the largest number counts", 4,
	{{5, true}, {5, true}, {5, true}, {5, true}}, 4, true, false, LAPSE_MS,
	0.2},
    {"a share that is held follows the number at once", 5,
	{{6, true}, {5, true}, {5, true}, {5, true}}, 4, true, true, 0,
	1.0 / 6},
    {"a share that is held ends without a quorum", 5, {{5, true}, {5, true}}, 2,
	true, true, LAPSE_MS, 0.0},
    {"a share is held with one of five gone", 5,
	{{5, true}, {5, true}, {5, true}}, 3, true, true, LAPSE_MS, 0.2},
    {"peers that report no number do not agree", 3, {{0, false}, {0, false}}, 2,
	true, false, LAPSE_MS, 0.0},
};

/* Runs one case. */
static void
test_share(gconstpointer data)
{
	const struct share_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct retry_share share = {.holds = c->held};
	struct retry_view view = {
	    .is_settled = c->settled, .lapse_ms = LAPSE_MS};
	struct timespec now = time_from_ms(1000000);
	double value;

	retry_view_count(&view, c->own_known, c->peers, c->count);
	retry_share_update(&share, &view, now);
	value = retry_share_update(
	    &share, &view, time_add_ms(now, c->agreed_ms));
	g_assert_cmpfloat_with_epsilon(value, c->share, 1e-9);
}

/* A number that changes while others agree delays the share. */
static void
test_number_changes(void)
{
	const struct retry_peer first[] = {{2, false}};
	const struct retry_peer peers[] = {{3, false}, {3, false}};
	struct retry_share share = {0};
	struct retry_view view = {.is_settled = true, .lapse_ms = LAPSE_MS};
	struct timespec now = time_from_ms(1000000);

	retry_view_count(&view, 2, first, 1);
	retry_share_update(&share, &view, now);
	now = time_add_ms(now, LAPSE_MS);
	retry_view_count(&view, 3, peers, 2);
	g_assert_cmpfloat(retry_share_update(&share, &view, now), ==, 0.0);
	now = time_add_ms(now, LAPSE_MS);
	g_assert_cmpfloat(retry_share_update(&share, &view, now), >, 0.3);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/retry_share", test_share);
	g_test_add_func("/retry_share/a number that changes delays the share",
	    test_number_changes);
	return g_test_run();
}
