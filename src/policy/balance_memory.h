/*
 * Memory of engines as far as it concerns the placement of prompts: what is
 * free, and how the KV cache of a prompt is distributed.
 */
#ifndef POLICY_BALANCE_MEMORY_H
#define POLICY_BALANCE_MEMORY_H

#include "policy/balance.h"

uint64_t balance_free_tokens(
    const struct engine_profile *, const struct balance_candidate *);
bool balance_fits_memory(const struct engine_profile *,
    const struct balance_candidate *, const struct balance_prompt *);
bool balance_ever_fits_memory(
    const struct engine_profile *, size_t count, const struct balance_prompt *);
bool balance_divide_memory(const struct engine_profile *,
    const struct balance_candidate *, const struct balance_prompt *,
    struct balance_plan *);

#endif
