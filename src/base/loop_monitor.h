/*
 * Measures the iterations of the event loop: the time from each wake-up to the
 * next wait, and which work took most of it. One monitor per process, as for
 * the log and the metrics; without one, marking work has no effect.
 */
#ifndef BASE_LOOP_MONITOR_H
#define BASE_LOOP_MONITOR_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"

/*
 * Priorities of libev watchers. In each iteration all events of a higher
 * priority are handled before any of a lower one; a priority does not keep an
 * event past the iteration. Upstreams come before callers, so that the events
 * that several upstreams have sent are passed on in one run of the HTTP server.
 */
enum loop_priority {
	LOOP_PRIORITY_LAST = -1, /* writes what the others have queued */
	LOOP_PRIORITY_BACKGROUND = 0, /* libev's default */
	LOOP_PRIORITY_CALLER = 1,
	LOOP_PRIORITY_UPSTREAM = 2,
};

/* Kinds of work that an iteration is divided into. */
enum loop_work {
	LOOP_WORK_CALLER,
	LOOP_WORK_UPSTREAM,
	LOOP_WORK_STORE,
	LOOP_WORK_ROUTES,
	LOOP_WORK_LOAD_REPORT,
	LOOP_WORK_DIGEST,
	LOOP_WORK_LOG,
	LOOP_WORK_METRICS,
	LOOP_WORK_OTHER, /* not marked */
	LOOP_WORKS,
};

/* An iteration that took longer than this is logged. */
#define LOOP_MONITOR_LONG_MS 50
/* Period over which the longest iteration is kept. */
#define LOOP_MONITOR_PERIOD_S 60

/* The longest iteration of a period. */
struct loop_longest {
	int64_t us;
	enum loop_work work; /* that took most of it */
};

struct loop_monitor;

struct loop_monitor *loop_monitor_new(struct ev_loop *, struct clock *);
void loop_monitor_free(struct loop_monitor *);
struct loop_longest loop_monitor_longest(struct loop_monitor *);

enum loop_work loop_work_begin(enum loop_work);
void loop_work_end(enum loop_work previous);

/* For tests, in place of the loop: the wake-up and the next wait. */
void loop_monitor_wake_up(struct loop_monitor *);
void loop_monitor_wait(struct loop_monitor *);

#endif
