/*
 * The order of ranks by what was served and rejected lately, and its exchange
 * between gateways. Guards against a rank that is rejected more often than a
 * less urgent one, or never served, and against counts of a gateway that is
 * gone.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "gateway/rank_sync.h"
#include "peer/message.h"

#define WAITED_TOO_LONG_MS 400.0
#define TARGET_MS	   1000.0

static const struct rule_case {
	const char *name;
	struct rank_counts counts[3];
	uint32_t rank;
	bool is_large;
	double waited_ms;
	enum balance_verdict planned;
	enum balance_verdict verdict;
} rule_cases[] = {
    {"a prompt that costs too much may still wait",
	{{.served = 9}, {.served = 9}, {.served = 9}}, 0, false, 0,
	BALANCE_TOO_COSTLY, BALANCE_TOO_COSTLY},
    {"it is served if no less urgent prompt was rejected",
	{{.served = 9}, {.served = 9}, {.served = 9}}, 1, false,
	WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_SERVE},
    {"it is rejected if less urgent ones are rejected as often",
	{{.served = 9}, {.served = 9, .recent_served = 9},
	    {.served = 4,
		.rejected = 4,
		.recent_served = 2,
		.recent_rejected = 2}},
	1, false, WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_TOO_COSTLY},
    {"it is served if less urgent ones were rejected only some time ago",
	{{.served = 9}, {.served = 9, .recent_served = 9},
	    {.served = 4, .rejected = 4, .recent_served = 4}},
	1, false, WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_SERVE},
    {"one of the least urgent rank is rejected",
	{{.served = 9}, {.served = 9}, {.served = 9}}, 2, false,
	WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_TOO_COSTLY},
    {"it is served if its rank was served too seldom",
	{{.served = 90}, {.served = 90}, {.served = 2, .rejected = 18}}, 2,
	false, WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_SERVE},
    {"it is served if none of its rank was",
	{{.served = 90}, {.served = 90}, {0}}, 2, false, WAITED_TOO_LONG_MS,
	BALANCE_TOO_COSTLY, BALANCE_SERVE},
    {"a large one is served if large ones were served too seldom",
	{{.served = 9}, {.served = 9},
	    {.served = 9,
		.aged_served = 90,
		.aged_decided = 100,
		.large_served = 3,
		.large_decided = 9}},
	2, true, WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_SERVE},
    {"a large one is rejected if they were served often enough",
	{{.served = 9}, {.served = 9},
	    {.served = 9,
		.aged_served = 90,
		.aged_decided = 100,
		.large_served = 6,
		.large_decided = 9}},
	2, true, WAITED_TOO_LONG_MS, BALANCE_TOO_COSTLY, BALANCE_TOO_COSTLY},
    {"a rank yields to a more urgent one that was rejected more often",
	{{.served = 9}, {.served = 8, .rejected = 1}, {.served = 9}}, 2, false,
	0, BALANCE_SERVE, BALANCE_TOO_COSTLY},
    {"it yields to one that was served at any cost",
	{{.served = 9}, {.served = 9, .forced = 1}, {.served = 9}}, 2, false, 0,
	BALANCE_HELD_BACK, BALANCE_TOO_COSTLY},
    {"it does not yield below its least share",
	{{.served = 90, .rejected = 80}, {.served = 9},
	    {.served = 1, .rejected = 9}},
	2, false, 0, BALANCE_SERVE, BALANCE_SERVE},
    {"a more urgent rank does not yield",
	{{.served = 9}, {.served = 9}, {.served = 2, .rejected = 7}}, 0, false,
	0, BALANCE_SERVE, BALANCE_SERVE},
    {"a lack of memory is not changed", {{0}, {.served = 9}, {.served = 9}}, 0,
	false, WAITED_TOO_LONG_MS, BALANCE_NO_MEMORY, BALANCE_NO_MEMORY},
};

/* Runs one case. */
static void
test_rule(gconstpointer data)
{
	const struct rule_case *c = &rule_cases[GPOINTER_TO_SIZE(data)];
	struct rank_counts sums[PRECEDENCE_RANKS] = {0};
	const struct balance_prompt prompt = {
	    .target_ms = TARGET_MS,
	    .waited_ms = c->waited_ms,
	    .has_ranks = true,
	    .rank = c->rank,
	    .is_large = c->is_large,
	};

	memcpy(sums, c->counts, sizeof(c->counts));
	g_assert_cmpint(
	    rank_counts_rule(sums, &prompt, c->planned), ==, c->verdict);
}

/* What was decided on is forgotten after the window, what waits is not. */
static void
test_window(void)
{
	struct rank_ledger ledger = {0};
	const struct rank_prompt prompt = {.rank = 1, .tokens = 100};
	struct rank_counts sums[PRECEDENCE_RANKS];

	rank_ledger_add(&ledger, &prompt, RANK_FORCED, time_from_ms(0));
	rank_ledger_add(&ledger, &prompt, RANK_REJECTED, time_from_ms(3000));
	rank_ledger_add_waiting(&ledger, 1, 70);
	rank_ledger_sum(&ledger, time_from_ms(4000), sums);
	g_assert_cmpuint(sums[1].served, ==, 1);
	g_assert_cmpuint(sums[1].forced, ==, 1);
	g_assert_cmpuint(sums[1].rejected, ==, 1);
	g_assert_cmpuint(sums[1].recent_served, ==, 0);
	g_assert_cmpuint(sums[1].recent_rejected, ==, 1);
	rank_ledger_sum(&ledger, time_from_ms(6000), sums);
	g_assert_cmpuint(sums[1].served, ==, 0);
	g_assert_cmpuint(sums[1].rejected, ==, 1);
	rank_ledger_sum(&ledger, time_from_ms(60000), sums);
	g_assert_cmpuint(sums[1].rejected, ==, 0);
	g_assert_cmpuint(sums[1].waiting_tokens, ==, 70);
	rank_ledger_remove_waiting(&ledger, 1, 70);
	rank_ledger_sum(&ledger, time_from_ms(60000), sums);
	g_assert_true(rank_counts_is_empty(&sums[1]));
}

/* Sends the counts of one gateway to another. */
static void
report(const struct rank_sync *from, struct rank_sync *to, struct timespec now)
{
	g_autoptr(GArray) numbers = rank_sync_encode(from, now);

	rank_sync_on_report(to, "a", (const uint64_t *)(void *)numbers->data,
	    numbers->len, now);
}

/*
 * A gateway adds the counts of its peers to its own, by service, replaces them
 * with the next report, and drops those of a peer that is silent.
 */
static void
test_exchange(void)
{
	struct rank_sync *a = rank_sync_new();
	struct rank_sync *b = rank_sync_new();
	const struct rank_prompt prompt = {.rank = 2, .tokens = 100};
	struct rank_counts sums[PRECEDENCE_RANKS];
	struct timespec now = time_from_ms(1000);

	rank_ledger_add(rank_sync_ledger(a, "s"), &prompt, RANK_SERVED, now);
	rank_ledger_add(rank_sync_ledger(b, "s"), &prompt, RANK_REJECTED, now);
	rank_ledger_add_waiting(rank_sync_ledger(a, "s"), 0, 5000);
	report(a, b, now);
	report(a, b, now);
	rank_sync_sum(b, "s", now, sums);
	g_assert_cmpuint(sums[2].served, ==, 1);
	g_assert_cmpuint(sums[2].rejected, ==, 1);
	g_assert_cmpuint(sums[2].aged_tokens, ==, 200);
	g_assert_cmpuint(sums[0].waiting_tokens, ==, 5000);
	rank_sync_sum(b, "t", now, sums);
	g_assert_true(rank_counts_is_empty(&sums[2]));
	rank_ledger_remove_waiting(rank_sync_ledger(a, "s"), 0, 5000);
	report(a, b, now);
	rank_sync_sum(b, "s", now, sums);
	g_assert_cmpuint(sums[0].waiting, ==, 0);
	rank_sync_expire(b, 500, time_add_ms(now, 600));
	rank_sync_sum(b, "s", now, sums);
	g_assert_cmpuint(sums[2].served, ==, 0);
	g_assert_cmpuint(sums[2].rejected, ==, 1);
	rank_sync_free(a);
	rank_sync_free(b);
}

/* Rows that are cut off or have an invalid rank are left out. */
static void
test_malformed(void)
{
	struct rank_sync *sync = rank_sync_new();
	uint64_t numbers[2 * RANK_SYNC_ROW_NUMBERS] = {1, UINT64_MAX, 7};
	struct rank_counts sums[PRECEDENCE_RANKS];

	for (size_t i = 0; i <= G_N_ELEMENTS(numbers); i++)
		rank_sync_on_report(sync, "a", numbers, i, time_from_ms(1000));
	rank_sync_sum(sync, "s", time_from_ms(1000), sums);
	for (size_t i = 0; i < PRECEDENCE_RANKS; i++)
		g_assert_true(rank_counts_is_empty(&sums[i]));
	rank_sync_free(sync);
}

/* Returns the bytes of a load report with these numbers. */
static size_t
report_bytes(const GArray *numbers)
{
	const struct message message = {
	    .kind = MESSAGE_LOAD,
	    .load = {.waiting = {(uint64_t *)(void *)numbers->data,
			 numbers->len}},
	};
	g_autoptr(GByteArray) bytes = message_encode(&message, NULL);

	return bytes->len;
}

/*
 * The counts of a rank at a busy gateway take at most 32 bytes in a report.
 */
static void
test_bytes(void)
{
	struct rank_sync *sync = rank_sync_new();
	g_autoptr(GArray) none = rank_sync_encode(sync, time_from_ms(0));
	g_autoptr(GArray) numbers = NULL;
	size_t bytes;

	for (uint32_t rank = 0; rank < 3; rank++) {
		for (uint32_t i = 0; i < 100; i++) {
			const struct rank_prompt prompt = {
			    .rank = rank, .tokens = 190000, .is_large = i == 0};

			rank_ledger_add(rank_sync_ledger(sync, "s"), &prompt,
			    i % 9 == 0 ? RANK_REJECTED : RANK_SERVED,
			    time_from_ms(1000));
		}
		rank_ledger_add_waiting(
		    rank_sync_ledger(sync, "s"), rank, 190000);
	}
	numbers = rank_sync_encode(sync, time_from_ms(1000));
	g_assert_cmpuint(numbers->len, ==, 3 * RANK_SYNC_ROW_NUMBERS);
	bytes = report_bytes(numbers) - report_bytes(none);
	g_test_message("%zu bytes for 3 ranks", bytes);
	g_assert_cmpuint(bytes, <=, 3 * 32);
	rank_sync_free(sync);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(rule_cases, "/rank_ledger/rule", test_rule);
	g_test_add_func("/rank_ledger/decisions are forgotten after the window",
	    test_window);
	g_test_add_func(
	    "/rank_sync/gateways exchange their counts", test_exchange);
	g_test_add_func(
	    "/rank_sync/malformed rows are left out", test_malformed);
	g_test_add_func("/rank_sync/a report stays short", test_bytes);
	return g_test_run();
}
