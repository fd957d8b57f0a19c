#include "policy/retry.h"

#define HUNDREDTHS 100

/* Starts a budget at its floor; share_percent is of the successes. */
void
retry_budget_init(struct retry_budget *budget, uint32_t share_percent)
{
	budget->share_percent = share_percent;
	budget->hundredths = RETRY_BUDGET_INITIAL * HUNDREDTHS;
}

/* Adds a success's share to the budget. */
void
retry_budget_add_success(struct retry_budget *budget)
{
	budget->hundredths += budget->share_percent;
	if (budget->hundredths > RETRY_BUDGET_MAX * HUNDREDTHS)
		budget->hundredths = RETRY_BUDGET_MAX * HUNDREDTHS;
}

/* Takes one retry from the budget; false where it is used up. */
bool
retry_budget_take(struct retry_budget *budget)
{
	if (budget->hundredths < HUNDREDTHS)
		return false;
	budget->hundredths -= HUNDREDTHS;
	return true;
}
