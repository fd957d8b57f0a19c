#include "policy/start_wait.h"

#include <glib.h>

/*
 * Returns when a caller should come back, in milliseconds: soon, or while the
 * store does not answer as late as the caller would wait. left_ms is the time
 * until its deadline, if it has one.
 */
int64_t
start_wait_retry_after_ms(
    bool store_disconnected, bool has_deadline, int64_t left_ms)
{
	double patience_ms = (double)MAX(left_ms, 0) *
	    START_WAIT_PATIENCE_SHARE;

	if (!store_disconnected)
		return START_WAIT_MS;
	if (!has_deadline)
		return START_WAIT_MAX_MS;
	return CLAMP((int64_t)patience_ms, START_WAIT_MS, START_WAIT_MAX_MS);
}
