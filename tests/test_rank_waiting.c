/*
 * What waits by rank, and its exchange between gateways. Guards against counts
 * of a gateway that is gone, and against prompts that are taken for waiting
 * after they were sent.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "gateway/rank_sync.h"
#include "peer/message.h"
#include "users_engine.h"

#define ENGINES 4

/* Only what is more urgent counts as ahead, evenly on all engines. */
static void
test_ahead(void)
{
	const struct rank_waiting ranks[PRECEDENCE_RANKS] = {
	    {2, 10000}, {1, 45000}, {1, 154000}};
	double short_ms = 2.0 * engine_profile_prefill_ms(&users_engine, 5000);
	double medium_ms = engine_profile_prefill_ms(&users_engine, 45000);

	g_assert_cmpfloat(
	    rank_waiting_ahead_ms(ranks, 0, &users_engine, ENGINES), ==, 0.0);
	g_assert_cmpfloat_with_epsilon(
	    rank_waiting_ahead_ms(ranks, 1, &users_engine, ENGINES),
	    short_ms / ENGINES, 0.01);
	g_assert_cmpfloat_with_epsilon(
	    rank_waiting_ahead_ms(ranks, 2, &users_engine, ENGINES),
	    (short_ms + medium_ms) / ENGINES, 0.01);
	g_assert_cmpfloat(
	    rank_waiting_ahead_ms(ranks, 2, &users_engine, 0), ==, 0.0);
}

/* Reports what waits at one gateway to another. */
static void
report(const struct rank_sync *from, struct rank_sync *to, struct timespec now)
{
	g_autoptr(GArray) numbers = rank_sync_encode(from);

	rank_sync_on_report(to, "a", (const uint64_t *)(void *)numbers->data,
	    numbers->len, now);
}

/*
 * A gateway adds what waits at its peers to its own, by service, replaces it
 * with the next report, and drops that of a peer that is silent.
 */
static void
test_exchange(void)
{
	struct rank_sync *a = rank_sync_new();
	struct rank_sync *b = rank_sync_new();
	struct rank_waiting sums[PRECEDENCE_RANKS];
	struct timespec now = time_from_ms(1000);

	rank_waiting_add(rank_sync_own(a, "s", 2), 100);
	rank_waiting_add(rank_sync_own(b, "s", 2), 50);
	rank_waiting_add(rank_sync_own(a, "s", 0), 5000);
	report(a, b, now);
	report(a, b, now);
	rank_sync_sum(b, "s", sums);
	g_assert_cmpuint(sums[2].count, ==, 2);
	g_assert_cmpuint(sums[2].tokens, ==, 150);
	g_assert_cmpuint(sums[0].tokens, ==, 5000);
	rank_sync_sum(b, "t", sums);
	g_assert_cmpuint(sums[2].count, ==, 0);
	rank_waiting_remove(rank_sync_own(a, "s", 0), 5000);
	report(a, b, now);
	rank_sync_sum(b, "s", sums);
	g_assert_cmpuint(sums[0].count, ==, 0);
	g_assert_cmpuint(sums[0].tokens, ==, 0);
	rank_sync_expire(b, 500, time_add_ms(now, 600));
	rank_sync_sum(b, "s", sums);
	g_assert_cmpuint(sums[2].count, ==, 1);
	rank_sync_free(a);
	rank_sync_free(b);
}

/* Rows that are cut off or have an invalid rank are left out. */
static void
test_malformed(void)
{
	struct rank_sync *sync = rank_sync_new();
	uint64_t numbers[2 * RANK_SYNC_ROW_NUMBERS] = {1, UINT64_MAX, 7};
	struct rank_waiting sums[PRECEDENCE_RANKS];

	for (size_t i = 0; i <= G_N_ELEMENTS(numbers); i++)
		rank_sync_on_report(sync, "a", numbers, i, time_from_ms(1000));
	rank_sync_sum(sync, "s", sums);
	for (size_t i = 0; i < PRECEDENCE_RANKS; i++)
		g_assert_cmpuint(sums[i].count, ==, 0);
	rank_sync_free(sync);
}

/* Returns the bytes of a load report with these numbers. */
static size_t
report_bytes(const GArray *numbers)
{
	const struct message message = {
	    .kind = MESSAGE_LOAD,
	    .load = {.queued = {(uint64_t *)(void *)numbers->data,
			 numbers->len}},
	};
	g_autoptr(GByteArray) bytes = message_encode(&message, NULL);

	return bytes->len;
}

/* What waits of a rank takes at most 18 bytes in a report. */
static void
test_bytes(void)
{
	struct rank_sync *sync = rank_sync_new();
	g_autoptr(GArray) none = rank_sync_encode(sync);
	g_autoptr(GArray) numbers = NULL;
	size_t bytes;

	for (uint32_t rank = 0; rank < 3; rank++)
		rank_waiting_add(rank_sync_own(sync, "s", rank), 190000);
	numbers = rank_sync_encode(sync);
	g_assert_cmpuint(numbers->len, ==, 3 * RANK_SYNC_ROW_NUMBERS);
	bytes = report_bytes(numbers) - report_bytes(none);
	g_test_message("%zu bytes for 3 ranks", bytes);
	g_assert_cmpuint(bytes, <=, 3 * 18);
	rank_sync_free(sync);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/rank_waiting/only more urgent ranks are ahead", test_ahead);
	g_test_add_func(
	    "/rank_sync/gateways exchange what waits", test_exchange);
	g_test_add_func(
	    "/rank_sync/malformed rows are left out", test_malformed);
	g_test_add_func("/rank_sync/a report stays short", test_bytes);
	return g_test_run();
}
