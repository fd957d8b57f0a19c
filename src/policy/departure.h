/*
 * Whether an upstream has left: it gets no new requests then, although its
 * process may go on answering for seconds.
 *
 * Load pattern: during a release, upstreams leave one after the other while the
 * store is unreachable or goes back to a copy in which they had not yet left. A
 * gateway that follows such a list sends a part of all requests to processes
 * that reject them or stop in the middle of a stream.
 *
 * So a departure that is known is not undone by a list from before it: not by
 * the first list of a restored store, until that has had time to hear from the
 * upstream again. What the upstream says of itself is never undone by a list,
 * only by another process that has its id.
 */
#ifndef POLICY_DEPARTURE_H
#define POLICY_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * How long a restored list is not trusted that shows an upstream in service
 * which had left. Live upstreams write to a store that is reachable again
 * within 2 s, and those that don't are removed after three heartbeats, which
 * are about a second apart.
 */
#define DEPARTURE_RESTORE_SETTLE_MS 6000
/*
 * How long an upstream that a restored list lacks is still used: it may have
 * been added after the copy was made, and is back within 2 s.
 */
#define DEPARTURE_RESTORE_RETURN_MS 2000
enum departure_state {
	DEPARTURE_NONE, /* in service, as far as is known */
	DEPARTURE_DRAINING, /* listed as draining */
	DEPARTURE_REMOVED, /* left the list */
};

/* Of one process. Zero-initialised: it has not left. */
struct departure {
	enum departure_state state;
	bool announced; /* by the upstream itself */
	struct timespec doubted_until; /* restored list, see above; or unset */
};

void departure_on_draining(struct departure *);
void departure_on_removed(struct departure *, struct timespec now);
void departure_on_ready(
    struct departure *, bool has_start, bool restored, struct timespec now);
bool departure_on_announced(struct departure *);
bool departure_has_left(const struct departure *, struct timespec now);

#endif
