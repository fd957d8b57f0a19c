/*
 * Entries that say they are ready: asked again and again as a balancer does, so
 * that requests go to no entry that is leaving.
 */
#include "base/clock.h"
#include "load.h"

#define READY_PATH	 "/readyz"
#define READY_TICK_S	 0.25
#define READY_TIMEOUT_MS 1000

struct entry_check {
	char *url;
	bool ready;
	bool in_flight; /* an answer is awaited */
};

static struct entry_check *checks; /* NULL where nobody asks */
static unsigned check_count;
static struct ev_timer poll_timer;

/* An entry has said whether it is ready, or nothing in time. */
static void
on_response(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct entry_check *check = data;

	check->in_flight = false;
	check->ready = result->error == NULL && result->status == 200;
}

/* Asks each entry that is not being asked. */
static void
poll_entries(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	static const struct http_call_ops ops = {.done = on_response};

	for (unsigned i = 0; i < check_count; i++) {
		const struct http_call_request call = {
		    .method = "GET",
		    .url = checks[i].url,
		    .timeout_ms = READY_TIMEOUT_MS,
		};

		if (checks[i].in_flight)
			continue;
		checks[i].in_flight = true;
		http_client_start(load.http, &call, &ops, &checks[i]);
	}
}

/* Begins to ask, where the settings want it; all count as ready until then. */
void
ready_init(void)
{
	if (!load.settings.balance)
		return;
	check_count = g_strv_length(load.settings.entries);
	checks = g_new0(struct entry_check, check_count);
	for (unsigned i = 0; i < check_count; i++) {
		checks[i].url = g_strconcat(
		    load.settings.entries[i], READY_PATH, NULL);
		checks[i].ready = true;
	}
	ev_timer_init(&poll_timer, poll_entries, 0., READY_TICK_S);
	ev_timer_start(load.loop, &poll_timer);
}

/* Returns the entry for a number, the next ready one where it is not. */
const char *
load_pick_entry(uint64_t number)
{
	char **entries = load.settings.entries;
	unsigned count = g_strv_length(entries);
	unsigned first = (unsigned)(number % count);

	for (unsigned i = 0; i < check_count; i++) {
		if (checks[(first + i) % count].ready)
			return entries[(first + i) % count];
	}
	return entries[first];
}

/* Frees what was kept. To be called after the client was freed. */
void
ready_free(void)
{
	for (unsigned i = 0; i < check_count; i++)
		g_free(checks[i].url);
	g_free(checks);
	checks = NULL;
	check_count = 0;
}
