/*
 * Division of a prompt among engines, for policy/balance: in how many parts it
 * is prefilled, where, and who would be late because of it.
 */
#ifndef POLICY_BALANCE_DIVISION_H
#define POLICY_BALANCE_DIVISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/balance.h"

/* A candidate with its cost, to be sorted by; tie is random. */
struct balance_option {
	size_t index;
	double cost;
	uint32_t tie;
};

void balance_sort_options(struct balance_option *, size_t count);
bool balance_is_too_late(
    const struct balance_prompt *, const struct balance_plan *);
bool balance_delays_others(
    const struct balance_prompt *, const struct balance_plan *);
void balance_plan_divided(const struct engine_profile *,
    const struct balance_candidate *, size_t count, double prefill_ms,
    const struct balance_prompt *, struct balance_plan *);
bool balance_plan_for_memory(const struct engine_profile *,
    const struct balance_candidate *, size_t count, double prefill_ms,
    const struct balance_prompt *, struct balance_plan *);

#endif
