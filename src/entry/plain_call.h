/*
 * Calls to plain services (not models): their body is forwarded unchanged. A
 * call with an Idempotency-Key that must not be repeated is claimed before it
 * is sent. An error response says whether the call may have run.
 */
#ifndef ENTRY_PLAIN_CALL_H
#define ENTRY_PLAIN_CALL_H

#include "entry/frontend.h"

void plain_call_serve(struct frontend *, const struct frontend_request *,
    const Heatherturn__V1__Service *);

#endif
