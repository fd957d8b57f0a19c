/*
 * How long requests of one kind last, by those that were answered.
 */
#ifndef POLICY_DURATION_H
#define POLICY_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/* Zero-initialised: nothing is known. */
struct duration {
	bool known;
	double mean_ms;
	double deviation_ms; /* mean deviation from the mean */
};

void duration_add(struct duration *, int64_t ms);
int64_t duration_likely_ms(const struct duration *);
int64_t duration_expected_ms(
    const struct duration *, int64_t remaining_ms, bool repeatable);

#endif
