#include "policy/duration.h"

#include <math.h>

#include <glib.h>

/* Weights of a new sample and its deviation, as in RFC 6298. */
#define MEAN_WEIGHT	 0.125
#define DEVIATION_WEIGHT 0.25
/* Mean deviations above the mean that hardly any request exceeds. */
#define SAFE_DEVIATIONS 4

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

/*
 * Returns how long a request is expected to last, in milliseconds, where its
 * process exits soon; at most the time until its deadline. A repeatable one is
 * expected to last as long as most. Another one is lost if the exit cuts it, so
 * the estimate is cautious: as long as nearly all requests last, or until the
 * deadline if none has been answered yet.
 */
int64_t
duration_expected_ms(
    const struct duration *duration, int64_t remaining_ms, bool repeatable)
{
	int64_t safe_ms = (int64_t)(duration->mean_ms +
	    SAFE_DEVIATIONS * duration->deviation_ms);

	if (repeatable)
		return MIN(remaining_ms, duration_likely_ms(duration));
	return duration->known ? MIN(remaining_ms, safe_ms) : remaining_ms;
}
