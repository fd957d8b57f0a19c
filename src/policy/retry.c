#include "policy/retry.h"

#define HUNDREDTHS 100

/*
 * Initialises a budget; share_percent is the number of retries allowed per 100
 * successful requests.
 */
void
retry_budget_init(struct retry_budget *budget, uint32_t share_percent)
{
	budget->share_percent = share_percent;
	budget->hundredths = RETRY_BUDGET_INITIAL * HUNDREDTHS;
}

/* Adds the share of one successful request to the budget. */
void
retry_budget_add_success(struct retry_budget *budget)
{
	budget->hundredths += budget->share_percent;
	if (budget->hundredths > RETRY_BUDGET_MAX * HUNDREDTHS)
		budget->hundredths = RETRY_BUDGET_MAX * HUNDREDTHS;
}

/* Takes one retry from the budget. Returns false if it is used up. */
bool
retry_budget_take(struct retry_budget *budget)
{
	if (budget->hundredths < HUNDREDTHS)
		return false;
	budget->hundredths -= HUNDREDTHS;
	return true;
}
