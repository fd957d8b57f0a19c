/*
 * Intrusive lists: the system's TAILQ macros, plus TAILQ_FOREACH_SAFE, which
 * allows the current element to be removed and is missing from the C library's
 * header.
 */
#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <sys/queue.h>

#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, next)                  \
	for ((var) = TAILQ_FIRST(head);                             \
	     (var) != NULL && ((next) = TAILQ_NEXT(var, field), 1); \
	     (var) = (next))
#endif

#endif
