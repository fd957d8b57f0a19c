/* Decides which upstreams of a service run the new version of its model. */
#include <string.h>

#include <xxhash.h>

#include "policy/placement_state.h"

/* Returns the model spec of a rollout's new or previous version. */
static struct model_spec
rollout_model_spec(const Heatherturn__V1__Rollout *rollout, bool new)
{
	return (struct model_spec){
	    .model = rollout->model,
	    .adapter = rollout->adapter,
	    .version = new ? rollout->model_version
			   : rollout->previous_model_version,
	};
}

/* Returns whether there is a previous version to roll back to. */
static bool
has_previous(const Heatherturn__V1__Rollout *rollout)
{
	return rollout->previous_model_version[0] != '\0' &&
	    strcmp(rollout->previous_model_version, rollout->model_version) !=
	    0;
}

/*
 * Returns whether an upstream is in service and belongs to the rollout's
 * service.
 */
static bool
in_rollout(const struct planned_upstream *planned,
    const Heatherturn__V1__Rollout *rollout)
{
	return planned->usable && strcmp(planned->service, rollout->id) == 0;
}

/* Returns whether an upstream is assigned the new version. */
static bool
desires_new(const struct planned_upstream *planned,
    const Heatherturn__V1__Rollout *rollout)
{
	struct model_spec new = rollout_model_spec(rollout, true);

	return planned->assigned && model_spec_equal(&planned->desired, &new);
}

/*
 * Returns the number of the service's upstreams that are assigned the new
 * version, in one failure domain or, if NULL, in all.
 */
static size_t
count_desired_new(const struct plan *plan,
    const Heatherturn__V1__Rollout *rollout, const char *failure_domain)
{
	size_t count = 0;

	for (size_t i = 0; i < plan->count; i++) {
		const struct planned_upstream
		    *planned = &plan->planned_upstreams[i];

		if (in_rollout(planned, rollout) &&
		    desires_new(planned, rollout) &&
		    (failure_domain == NULL ||
			strcmp(planned->upstream->failure_domain,
			    failure_domain) == 0))
			count++;
	}
	return count;
}

/* Returns how many of the service's upstreams should run the new version. */
static size_t
desired_new_count(
    const struct plan *plan, const Heatherturn__V1__Rollout *rollout)
{
	size_t all = plan_count_usable(plan, rollout->id);
	uint32_t percent = 100;

	if (rollout->state ==
	    HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_PAUSED)
		return count_desired_new(plan, rollout, NULL);
	if (!has_previous(rollout))
		return all;
	if (rollout->state ==
	    HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK)
		return 0;
	if (rollout->n_step_percent > 0)
		percent = rollout->step_percent[MIN(
		    rollout->step, rollout->n_step_percent - 1)];
	return (all * percent + 99) / 100;
}

/*
 * Returns the rank of an upstream for a change of version; the lowest changes
 * first. Upstreams that are not warm precede warm ones, then come failure
 * domains with the fewest upstreams on the new version (the most when rolling
 * back), then a fixed order.
 */
static uint64_t
rank(const struct plan *plan, const struct planned_upstream *planned,
    const Heatherturn__V1__Rollout *rollout, bool to_new)
{
	size_t domain_count = count_desired_new(
	    plan, rollout, planned->upstream->failure_domain);
	uint64_t order = XXH3_64bits(
	    planned->upstream->id, strlen(planned->upstream->id));

	if (!to_new)
		domain_count = plan->count - domain_count;
	return ((uint64_t)planned->warm << 63) |
	    ((uint64_t)domain_count << 40) | (order >> 24);
}

/*
 * Returns the next upstream to move to or from the new version, or NULL if none
 * may move now.
 */
static struct planned_upstream *
next_to_move(
    struct plan *plan, const Heatherturn__V1__Rollout *rollout, bool to_new)
{
	struct model_spec spec = rollout_model_spec(rollout, to_new);
	struct planned_upstream *best = NULL;
	uint64_t best_rank = 0, its_rank;

	for (size_t i = 0; i < plan->count; i++) {
		struct planned_upstream *planned = &plan->planned_upstreams[i];

		if (!in_rollout(planned, rollout) || !planned->assigned ||
		    desires_new(planned, rollout) == to_new ||
		    !plan_may_assign(plan, planned, &spec))
			continue;
		its_rank = rank(plan, planned, rollout, to_new);
		if (best == NULL || its_rank < best_rank) {
			best = planned;
			best_rank = its_rank;
		}
	}
	return best;
}

/* Assigns a version to upstreams that have no assignment. */
static void
assign_missing(
    struct plan *plan, const Heatherturn__V1__Rollout *rollout, size_t want_new)
{
	size_t have_new = count_desired_new(plan, rollout, NULL);

	for (size_t i = 0; i < plan->count; i++) {
		struct planned_upstream *planned = &plan->planned_upstreams[i];
		bool new = !has_previous(rollout) || have_new < want_new;
		struct model_spec spec = rollout_model_spec(rollout, new);

		if (!in_rollout(planned, rollout) || planned->assigned ||
		    !plan_may_assign(plan, planned, &spec))
			continue;
		plan_assign(plan, planned, &spec);
		have_new += new;
	}
}

/*
 * Assigns the previous version to upstreams that are assigned neither version.
 */
static void
replace_other_versions(
    struct plan *plan, const Heatherturn__V1__Rollout *rollout)
{
	struct model_spec previous = rollout_model_spec(rollout, false);

	if (!has_previous(rollout))
		return;
	for (size_t i = 0; i < plan->count; i++) {
		struct planned_upstream *planned = &plan->planned_upstreams[i];

		if (in_rollout(planned, rollout) && planned->assigned &&
		    !desires_new(planned, rollout) &&
		    !model_spec_equal(&planned->desired, &previous) &&
		    plan_may_assign(plan, planned, &previous))
			plan_assign(plan, planned, &previous);
	}
}

/*
 * Changes the assignments of one service's upstreams towards its rollout's
 * state.
 */
void
placement_roll_out(struct plan *plan, const Heatherturn__V1__Rollout *rollout)
{
	struct model_spec new = rollout_model_spec(rollout, true);
	struct model_spec previous = rollout_model_spec(rollout, false);
	size_t want_new = desired_new_count(plan, rollout);
	struct planned_upstream *planned;

	assign_missing(plan, rollout, want_new);
	while (count_desired_new(plan, rollout, NULL) < want_new &&
	    (planned = next_to_move(plan, rollout, true)) != NULL)
		plan_assign(plan, planned, &new);
	while (has_previous(rollout) &&
	    count_desired_new(plan, rollout, NULL) > want_new &&
	    (planned = next_to_move(plan, rollout, false)) != NULL)
		plan_assign(plan, planned, &previous);
	if (rollout->state !=
	    HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_PAUSED)
		replace_other_versions(plan, rollout);
}
