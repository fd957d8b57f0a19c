/*
 * Completions and chats: from the caller's body to a job at a model engine and
 * back, as a stream or whole; and streams that are taken up again.
 */
#ifndef ENTRY_GENERATION_H
#define ENTRY_GENERATION_H

#include "entry/frontend.h"

void generation_serve(
    struct frontend *, const struct frontend_request *, bool chat);
void generation_resume(
    struct frontend *, const struct frontend_request *, const char *stream);

#endif
