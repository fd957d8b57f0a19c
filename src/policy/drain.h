/*
 * Which requests a process takes that was asked to stop.
 *
 * Load pattern: gateways are restarted one after the other. For some seconds
 * the load balancer still sends connections to one that stops, and some
 * requests need longer than the process has left; they would be cut in the
 * middle of their responses. Another gateway can serve them whole, so those
 * that are likely to be cut are refused at once, before they run anywhere, and
 * so is every request after the notice. Not all that might be cut are refused:
 * where half of the gateways stop, a refused caller often meets another one.
 */
#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * Exit this long before the platform kills the process; requests still open are
 * answered until then.
 */
#define DRAIN_EXIT_RESERVE_MS 700

struct drain_limits {
	int64_t notice_ms; /* until the load balancer sends no connections */
	int64_t grace_ms; /* until the platform kills the process */
};

/* Zero-initialised: a process that was not asked to stop. */
struct drain {
	struct timespec started_at; /* when the stop was requested; or unset */
	struct timespec accept_until;
	struct timespec exit_at;
};

void drain_start(
    struct drain *, const struct drain_limits *, struct timespec now);
bool drain_is_started(const struct drain *);
int64_t drain_left_ms(const struct drain *, struct timespec now);
bool drain_may_begin(
    const struct drain *, int64_t expected_ms, struct timespec now);
bool drain_may_repeat(
    const struct drain *, int64_t expected_ms, struct timespec now);

#endif
