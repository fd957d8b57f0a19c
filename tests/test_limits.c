/*
 * Limits that hold over all gateways without a call between them: repeated
 * sends, and requests a second to a cold upstream.
 */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/cold_rate.h"
#include "policy/retry_window.h"

static const struct retry_window_limits limits = {
    .ratio = 0.2, .slack = 10, .window_ms = 10000};

static const struct window_case {
	const char *name;
	int requests; /* counted at once */
	int64_t wait_ms; /* before the repeats */
	int repeats; /* tried */
	int allowed;
} windows[] = {
    {"the slack alone without requests", 0, 0, 20, 10},
    {"a share of the requests besides", 100, 0, 50, 30},
    {"requests count throughout the window", 100, 9000, 50, 30},
    {"and no longer", 100, 11000, 50, 10},
};

/* Runs one case. */
static void
test_window(gconstpointer data)
{
	const struct window_case *c = &windows[GPOINTER_TO_SIZE(data)];
	struct retry_window window = {0};
	struct timespec now = time_from_ms(1000000);
	int allowed = 0;

	for (int i = 0; i < c->requests; i++)
		retry_window_count_request(&window, &limits, now);
	now = time_add_ms(now, c->wait_ms);
	for (int i = 0; i < c->repeats; i++)
		allowed += retry_window_take(&window, &limits, now) ? 1 : 0;
	g_assert_cmpint(allowed, ==, c->allowed);
}

/* However failures come, no window of that length has more than its share. */
static void
test_window_slides(void)
{
	struct retry_window window = {0};
	struct timespec now = time_from_ms(1000000);
	GQueue taken = G_QUEUE_INIT;

	for (int i = 0; i < 4000; i++) {
		now = time_add_ms(now, 25);
		if (i % 4 == 0)
			retry_window_count_request(&window, &limits, now);
		if (retry_window_take(&window, &limits, now))
			g_queue_push_tail(&taken, GINT_TO_POINTER(i));
		while (!g_queue_is_empty(&taken) &&
		    i - GPOINTER_TO_INT(g_queue_peek_head(&taken)) >= 400)
			g_queue_pop_head(&taken);
		/* 100 requests in any ten seconds. */
		g_assert_cmpuint(g_queue_get_length(&taken), <=, 30);
	}
	g_queue_clear(&taken);
}

static const struct part_case {
	const char *name;
	double bearable;
	uint32_t processes;
	uint32_t part;
} parts[] = {
    {"five gateways share what one bears", 44.0, 5, 8},
    {"many gateways get one each", 44.0, 31, 1},
    {"more gateways than requests get none", 20.0, 31, 0},
    {"one gateway has it all, up to what is remembered", 1000.0, 1,
	COLD_RATE_SENDS_MAX},
};

/* Runs one case: in any second no more than the part is sent. */
static void
test_part(gconstpointer data)
{
	const struct part_case *c = &parts[GPOINTER_TO_SIZE(data)];
	struct cold_rate rate = {0};
	struct timespec now = time_from_ms(5000);
	uint32_t part = cold_rate_share(c->bearable, c->processes);
	uint32_t sent = 0;

	g_assert_cmpuint(part, ==, c->part);
	for (int ms = 0; ms < 1000; ms += 5) {
		now = time_add_ms(now, 5);
		if (!cold_rate_allows(&rate, part, now))
			continue;
		cold_rate_record_send(&rate, now);
		sent++;
	}
	g_assert_cmpuint(sent, ==, part);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(windows, "/retry_window", test_window);
	ADD_CASES(parts, "/cold_rate", test_part);
	g_test_add_func("/retry_window/slides", test_window_slides);
	return g_test_run();
}
