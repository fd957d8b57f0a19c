/*
 * Ids of a streamed answer's events, by which a caller resumes it:
 * UPSTREAM.ATTEMPT.SEQUENCE.
 */
#ifndef ENTRY_EVENT_ID_H
#define ENTRY_EVENT_ID_H

#include <stdbool.h>
#include <stddef.h>

#include "entry/job.h"

void event_id_format(
    char *out, size_t size, const struct job_stream_position *);
bool event_id_parse(const char *event, char *upstream, size_t size,
    struct job_stream_position *);

#endif
