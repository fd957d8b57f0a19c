/*
 * Whether a process watches the platform's store itself or relies on others.
 *
 * Load pattern: hundreds of processes start at the same moment, or come back
 * from a common loss of power. Until they know each other, each lists every
 * kind of object and watches it, and each of the upstreams that also come back
 * then causes one more call of every process. So a process that knows the
 * address of another one lists each kind once, or gets it from there, and
 * relies on the others while it hears from one that can watch. Until it has run
 * for a while others must not leave the watching to it.
 *
 * The others may also be gone, new themselves, or unable to reach the store. A
 * new process that has not heard for a time from one that can watch does so
 * itself, unless enough of those that are as new rank before it: what it listed
 * at its start is soon outdated.
 *
 * One that relies on others must be told by them which configuration is the
 * newest, or it can't tell its callers what does not exist. If they are of a
 * build that does not report it, it watches itself. If they report it with a
 * high age, the store does not answer: then more calls are of no use.
 */
#ifndef POLICY_WATCHING_H
#define POLICY_WATCHING_H

#include <stdbool.h>
#include <stdint.h>

/* Time after which the processes that started together know each other. */
#define WATCHING_SETTLE_MS 5000

/*
 * How long a new process relies on its peers without a report of one that can
 * watch. Its list must not be outdated 3 s after its start.
 */
#define WATCHING_SILENCE_MS 1500
/* Intervals of reports by which that is longer; they grow with the peers. */
#define WATCHING_SILENCE_ROUNDS 2
/*
 * How long before the limit on the age of a report a process does not wait for
 * the next one: it decides once a round, and the store must answer in time.
 */
#define WATCHING_UNREPORTED_MARGIN_MS 250

/*
 * Long-poll time of a watch. A change that comes at its end is an answer as of
 * its start, and the next watch starts 100 ms later and waits as long: both
 * waits must fit into the limit on the age of what a watch shows, with a round
 * of reports to the others. Each call has a cost.
 */
#define WATCHING_WAIT_MIN_MS	750
#define WATCHING_WAIT_MAX_MS	1750
#define WATCHING_WAIT_MARGIN_MS 250

struct watching_input {
	int64_t age_ms; /* since the start of this process */
	int64_t silence_ms; /* since a report of a peer that can watch */
	int64_t unreported_ms; /* since a report of the newest version came */
	int64_t max_age_ms; /* limit on its age; 0 for none */
	int64_t round_ms; /* interval of reports */
	bool is_seed; /* all others know its address from the start */
	bool has_seeds; /* it knows the address of another one */
	bool complete; /* it has received all that it would watch */
	bool elected; /* by rank among the processes that can watch */
	bool elected_new; /* by rank among these and the new ones */
};

bool watching_is_possible(const struct watching_input *);
bool watching_is_needed(const struct watching_input *);
int64_t watching_wait_ms(int64_t max_age_ms);

#endif
