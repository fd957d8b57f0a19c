/*
 * Retry budget of one service: retries are a share of what succeeded, so that
 * a failing fleet is not loaded further by its own retries.
 */
#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Retries that a service may make before anything has succeeded. */
#define RETRY_BUDGET_INITIAL 10
/* Retries that unused shares add up to at the most. */
#define RETRY_BUDGET_MAX 100

struct retry_budget {
	uint32_t share_percent;
	uint32_t hundredths; /* of a retry, as saved up */
};

void retry_budget_init(struct retry_budget *, uint32_t share_percent);
void retry_budget_add_success(struct retry_budget *);
bool retry_budget_take(struct retry_budget *);

#endif
