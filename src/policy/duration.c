#include "policy/duration.h"

#include <math.h>

/* Weights of a new sample and its deviation, as in RFC 6298. */
#define MEAN_WEIGHT	 0.125
#define DEVIATION_WEIGHT 0.25

/* Adds the time in milliseconds that a request has taken. */
void
duration_add(struct duration *duration, int64_t ms)
{
	double sample = (double)ms;

	if (!duration->known) {
		*duration = (struct duration){
		    .known = true,
		    .mean_ms = sample,
		    .deviation_ms = sample / 2,
		};
		return;
	}
	duration->deviation_ms += DEVIATION_WEIGHT *
	    (fabs(sample - duration->mean_ms) - duration->deviation_ms);
	duration->mean_ms += MEAN_WEIGHT * (sample - duration->mean_ms);
}

/*
 * Returns a time in milliseconds that most requests don't exceed; 0 if none has
 * been answered yet.
 */
int64_t
duration_likely_ms(const struct duration *duration)
{
	return (int64_t)(duration->mean_ms + duration->deviation_ms);
}
