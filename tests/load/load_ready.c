/*
 * Readiness of entries: polled as a load balancer does, so that no request goes
 * to an entry that is draining.
 */
#include "base/clock.h"
#include "load.h"

#define READY_PATH	 "/readyz"
#define READY_TICK_S	 0.25
#define READY_TIMEOUT_MS 1000

struct entry_check {
	char *url;
	bool ready;
	bool in_flight; /* a poll awaits its response */
};

static struct entry_check *checks; /* NULL without --balance */
static unsigned check_count;
static struct ev_timer poll_timer;

/* A poll has ended; a failure counts as not ready. */
static void
on_response(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct entry_check *check = data;

	check->in_flight = false;
	check->ready = result->error == NULL && result->status == 200;
}

/* Polls each entry that has no poll in flight. */
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

/* Starts polling if --balance is set; entries count as ready at first. */
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

/* Returns the entry for a request number, or the next one that is ready. */
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

/* Frees the checks; call after the HTTP client was freed. */
void
ready_free(void)
{
	for (unsigned i = 0; i < check_count; i++)
		g_free(checks[i].url);
	g_free(checks);
	checks = NULL;
	check_count = 0;
}
