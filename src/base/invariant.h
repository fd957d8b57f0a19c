/*
 * Invariants: conditions that must hold under any failure. Checks are counted
 * in /metrics. A violation is always logged and counted, and aborts the process
 * after invariant_set_fatal(true), which every test sets.
 */
#ifndef BASE_INVARIANT_H
#define BASE_INVARIANT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

/* Writes the checked module's state for the log line of a violation. */
typedef void invariant_dump_fn(const void *state, GString *out);

struct invariant {
	const char *name;
	uint64_t checks;
	uint64_t violations;
	bool registered;
	TAILQ_ENTRY(invariant) entry;
};

#define INVARIANT_DEFINE(var, text) \
	static struct invariant var = {.name = (text)}

void invariant_set_fatal(bool);
uint64_t invariant_violations(void);
void invariant_check(
    struct invariant *, bool holds, invariant_dump_fn *, const void *state);
void invariants_write_metrics(GString *);
void invariants_log(void);

#endif
