/*
 * Calls to plain services: passed through unchanged, claimed first where they
 * must not be repeated, and told truly what became of them.
 */
#ifndef ENTRY_PLAIN_CALL_H
#define ENTRY_PLAIN_CALL_H

#include "entry/frontend.h"

void plain_call_serve(struct frontend *, const struct frontend_request *,
    const Heatherturn__V1__Service *);

#endif
