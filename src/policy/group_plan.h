/*
 * Divides a prompt that is larger than one engine's memory: which upstreams
 * are members of the group, in the order of their ids, and which part of the
 * prompt each of them prefills. See policy/group.h for the terms.
 */
#ifndef POLICY_GROUP_PLAN_H
#define POLICY_GROUP_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/group.h"

/* A member and its part of the prompt. */
struct group_part {
	char *upstream;
	uint64_t capacity; /* tokens for which the member has memory */
	uint64_t tokens; /* of the prompt */
	uint64_t offset;
	uint64_t hold_tokens; /* its hold: the part; leader: also output */
};

struct group_plan {
	struct group_part *parts; /* by id */
	size_t count;
	size_t leader; /* index; prefills the last part and generates */
};

bool group_plan_make(struct group_plan *, const struct group_request *,
    const struct group_candidate *, size_t count);
void group_plan_clear(struct group_plan *);

#endif
