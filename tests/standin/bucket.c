#include "bucket.h"

#include "standin.h"

/* Initialises a full bucket. */
void
bucket_init(struct bucket *bucket, double rate_per_s, double capacity)
{
	*bucket = (struct bucket){.rate_per_s = rate_per_s,
	    .capacity = capacity,
	    .level = capacity,
	    .refilled_s = standin_now_s()};
}

/* Takes one token; returns false if there is none. Counts calls per second. */
bool
bucket_take(struct bucket *bucket)
{
	double now = standin_now_s();

	if ((uint64_t)now != bucket->current_s) {
		bucket->current_s = (uint64_t)now;
		bucket->calls_in_s = 0;
	}
	bucket->calls_in_s++;
	bucket->peak_per_s = MAX(bucket->peak_per_s, bucket->calls_in_s);
	bucket->level = MIN(bucket->capacity,
	    bucket->level + (now - bucket->refilled_s) * bucket->rate_per_s);
	bucket->refilled_s = now;
	if (bucket->level < 1.)
		return false;
	bucket->level -= 1.;
	return true;
}
