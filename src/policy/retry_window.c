#include "policy/retry_window.h"

#include <string.h>

#include "base/clock.h"

#define PARTS (RETRY_WINDOW_PARTS + 1)

/* Moves the window on to now, clearing the parts that begin. */
static uint32_t
move(struct retry_window *window, const struct retry_window_limits *limits,
    struct timespec now)
{
	int64_t part_ms = limits->window_ms / RETRY_WINDOW_PARTS;
	int64_t part = time_to_ms(now) / (part_ms > 0 ? part_ms : 1);

	if (part - window->part >= PARTS) {
		memset(window, 0, sizeof(*window));
		window->part = part;
	}
	while (window->part < part) {
		window->part++;
		window->requests[window->part % PARTS] = 0;
		window->repeats[window->part % PARTS] = 0;
	}
	return (uint32_t)(part % PARTS);
}

/* Counts a request's first send. */
void
retry_window_count(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	window->requests[move(window, limits, now)]++;
}

/* Says whether one send beyond the first is within the share. */
bool
retry_window_allows(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	uint32_t requests = 0;
	uint32_t repeats = 0;

	move(window, limits, now);
	for (uint32_t i = 0; i < PARTS; i++) {
		requests += window->requests[i];
		repeats += window->repeats[i];
	}
	return repeats + 1 <= limits->ratio * requests + limits->slack;
}

/* Takes one send beyond the first; false where the share is used up. */
bool
retry_window_take(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	if (!retry_window_allows(window, limits, now))
		return false;
	window->repeats[move(window, limits, now)]++;
	return true;
}
