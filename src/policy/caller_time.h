/* How long callers wait, by what their routes declare. */
#ifndef POLICY_CALLER_TIME_H
#define POLICY_CALLER_TIME_H

double caller_time_stream_ms(double target_ms, double gap_ms);

#endif
