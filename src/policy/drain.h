/*
 * The times of a process that was asked to stop: until when it accepts
 * connections, and when it exits even if requests are open.
 */
#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

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

#endif
