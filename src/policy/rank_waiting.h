/*
 * The prompts of a service that wait, by rank.
 *
 * Load pattern: all engines are busy, and prompts of several ranks wait at
 * several gateways for the next room. A less urgent one that is planned at the
 * right moment would take the room that a more urgent one waits for at another
 * gateway. So each knows what waits ahead of its prompts everywhere. Who was
 * served or rejected before decides nothing.
 */
#ifndef POLICY_RANK_WAITING_H
#define POLICY_RANK_WAITING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/engine_profile.h"
#include "policy/precedence.h"

/* Prompts of one rank. */
struct rank_waiting {
	uint32_t count;
	uint64_t tokens; /* of all of them */
};

void rank_waiting_add(struct rank_waiting *, uint64_t tokens);
void rank_waiting_remove(struct rank_waiting *, uint64_t tokens);
void rank_waiting_sum(struct rank_waiting *sum, const struct rank_waiting *);
void rank_waiting_subtract(
    struct rank_waiting *sum, const struct rank_waiting *);
double rank_waiting_ahead_ms(const struct rank_waiting ranks[PRECEDENCE_RANKS],
    uint32_t rank, const struct engine_profile *, size_t engines);

#endif
