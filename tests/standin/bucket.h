/*
 * Token bucket that also records the peak number of calls in a second.
 */
#ifndef STANDIN_BUCKET_H
#define STANDIN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct bucket {
	double rate_per_s;
	double capacity;
	double level;
	double refilled_s;
	uint64_t current_s; /* second that calls_in_s counts */
	uint64_t calls_in_s;
	uint64_t peak_per_s; /* calls, the refused ones included */
};

void bucket_init(struct bucket *, double rate_per_s, double capacity);
bool bucket_take(struct bucket *);

#endif
