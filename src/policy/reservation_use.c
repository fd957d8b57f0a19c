#include "policy/reservation_use.h"

/*
 * Returns what to do when a reservation of some age in milliseconds is due to
 * be renewed: memory that is renewed now and not at the next time expires
 * hold_ms after that.
 */
enum reservation_step
reservation_use_next(const struct reservation_use *use, int64_t age_ms)
{
	if (use->used)
		return RESERVATION_RENEW;
	if (age_ms + use->renew_ms + use->hold_ms > use->unused_max_ms)
		return RESERVATION_GIVE_UP;
	return age_ms >= use->expected_ms ? RESERVATION_RENEW_AND_ASK
					  : RESERVATION_RENEW;
}
