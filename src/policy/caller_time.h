/*
 * How long callers wait, by what their routes declare and by what callers are
 * known to do.
 */
#ifndef POLICY_CALLER_TIME_H
#define POLICY_CALLER_TIME_H

#include <stdbool.h>

/* Share of its remaining time for which a caller honours Retry-After. */
#define CALLER_TIME_RETRY_SHARE (1.0 / 3.0)

/* A request that has not been sent. Times in milliseconds. */
struct caller_time_ask {
	double target_ms; /* of its route; 0: none */
	double gap_ms; /* likewise */
	double waited_ms; /* since it arrived */
	double remaining_ms; /* until its deadline */
	bool is_stream;
};

/* What is left of the caller's time, in milliseconds. */
struct caller_time {
	double target_ms; /* from the arrival to the first event */
	double slack_ms; /* of that; below 0 if it has passed */
	double left_ms; /* until the caller gives up */
};

double caller_time_stream_ms(double target_ms, double gap_ms);
double caller_time_stall_ms(
    double target_ms, double gap_ms, double remaining_ms);
struct caller_time caller_time_left(const struct caller_time_ask *);

#endif
