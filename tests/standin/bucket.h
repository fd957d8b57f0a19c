/*
 * Tokens that come back at a steady rate up to a level; counts what is asked.
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
	uint64_t current_s; /* that spent counts */
	uint64_t calls_in_s;
	uint64_t peak_per_s;
};

void bucket_init(struct bucket *, double rate_per_s, double capacity);
bool bucket_take(struct bucket *);

#endif
