/*
 * Limit on retried sends, which each gateway keeps without calls to the others.
 */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/retry_window.h"

static const struct retry_window_limits limits = {
    .ratio = 0.2, .slack = 10, .window_ms = 10000};

static const struct window_case {
	const char *name;
	int requests; /* at the start */
	int64_t wait_ms; /* before the retries */
	int retries; /* attempted */
	int allowed;
} windows[] = {
    {"without requests only the slack is allowed", 0, 0, 20, 10},
    {"a share of the requests is allowed in addition", 100, 0, 50, 30},
    {"requests count throughout the window", 100, 9000, 50, 30},
    {"requests do not count after the window", 100, 11000, 50, 10},
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
	for (int i = 0; i < c->retries; i++)
		allowed += retry_window_take(&window, &limits, now) ? 1 : 0;
	g_assert_cmpint(allowed, ==, c->allowed);
}

/*
 * No period as long as the window has more retries than its share, however
 * failures are distributed.
 */
static void
test_window_slides(void)
{
	struct retry_window window = {0};
	struct timespec now = time_from_ms(1000000);
	GQueue allowed_at = G_QUEUE_INIT;

	for (int i = 0; i < 4000; i++) {
		now = time_add_ms(now, 25);
		if (i % 4 == 0)
			retry_window_count_request(&window, &limits, now);
		if (retry_window_take(&window, &limits, now))
			g_queue_push_tail(&allowed_at, GINT_TO_POINTER(i));
		while (!g_queue_is_empty(&allowed_at) &&
		    i - GPOINTER_TO_INT(g_queue_peek_head(&allowed_at)) >= 400)
			g_queue_pop_head(&allowed_at);
		/* There are 100 requests in any ten seconds. */
		g_assert_cmpuint(g_queue_get_length(&allowed_at), <=, 30);
	}
	g_queue_clear(&allowed_at);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(windows, "/retry_window", test_window);
	g_test_add_func("/retry_window/no period of the window's length has "
			"more than its share",
	    test_window_slides);
	return g_test_run();
}
