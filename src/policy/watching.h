/*
 * Whether a process watches the platform's store itself or relies on others.
 *
 * Load pattern: hundreds of processes start at the same moment, or come back
 * from a common loss of power. Until they know each other, each lists every
 * kind of object and watches it, and each of the upstreams that also come back
 * then causes one more call of every process. So a process that knows the
 * address of another one lists each kind once, or gets it from there, and does
 * not watch until it knows enough others to tell who does. Until then others
 * must not leave the watching to it.
 */
#ifndef POLICY_WATCHING_H
#define POLICY_WATCHING_H

#include <stdbool.h>
#include <stdint.h>

/* Time after which the processes that started together know each other. */
#define WATCHING_SETTLE_MS 5000

struct watching_input {
	int64_t age_ms; /* since the start of this process */
	bool is_seed; /* all others know its address from the start */
	bool has_seeds; /* it knows the address of another one */
	bool complete; /* it has received all that it would watch */
	bool elected; /* by rank among the processes that reach the store */
};

bool watching_is_possible(const struct watching_input *);
bool watching_is_needed(const struct watching_input *);

#endif
