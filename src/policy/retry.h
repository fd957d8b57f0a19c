/*
 * Retry budget of one service: retries are limited to a share of successful
 * requests, so that a failing fleet is not loaded further by retries.
 */
#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Initial budget, for retries before any request has succeeded. */
#define RETRY_BUDGET_INITIAL 10
/* Upper limit of accumulated retries. */
#define RETRY_BUDGET_MAX 100

struct retry_budget {
	uint32_t share_percent;
	uint32_t hundredths; /* budget in hundredths of a retry */
};

void retry_budget_init(struct retry_budget *, uint32_t share_percent);
void retry_budget_add_success(struct retry_budget *);
bool retry_budget_take(struct retry_budget *);

#endif
