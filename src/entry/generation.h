/*
 * Completion and chat requests: turns the caller's request into a job for a
 * model engine, and the job's output into a stream of events or one response.
 * Also resumes streams.
 */
#ifndef ENTRY_GENERATION_H
#define ENTRY_GENERATION_H

#include "entry/frontend.h"

void generation_serve(
    struct frontend *, const struct frontend_request *, bool chat);
void generation_resume(
    struct frontend *, const struct frontend_request *, const char *stream);

#endif
