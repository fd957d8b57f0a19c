#include "entry/placement_log.h"

#include <string.h>

#include <glib.h>

#define LOG_MODULE "planner"
#include "base/log.h"

/* Formats MODEL+ADAPTER@VERSION; freed with g_free(). */
char *
model_spec_text(const char *model, const char *adapter, const char *version)
{
	return g_strdup_printf("%s+%s@%s", model, adapter, version);
}

/* Formats an assignment's model, "none" for NULL; freed with g_free(). */
char *
assignment_text(const Heatherturn__V1__Assignment *assignment)
{
	return assignment == NULL
	    ? g_strdup("none")
	    : model_spec_text(assignment->model, assignment->adapter,
		  assignment->model_version);
}

/* Returns an upstream's assignment in a placement, NULL for none. */
const Heatherturn__V1__Assignment *
placement_find_assignment(
    const Heatherturn__V1__PlacementDocument *document, const char *upstream)
{
	for (size_t i = 0; i < document->n_assignments; i++) {
		if (strcmp(document->assignments[i]->upstream, upstream) == 0)
			return document->assignments[i];
	}
	return NULL;
}

/* Returns the reason for a changed assignment, for the log. */
static const char *
change_reason(const struct config *config,
    const Heatherturn__V1__Assignment *before,
    const Heatherturn__V1__Assignment *after)
{
	const Heatherturn__V1__Upstream *upstream = config_find_upstream(
	    config, after->upstream);
	const Heatherturn__V1__Rollout *rollout;

	if (before != NULL && before->leaving != after->leaving)
		return after->leaving ? "taken out" : "back in service";
	if (upstream == NULL || upstream->service[0] == '\0')
		return before == NULL ||
			strcmp(before->model, after->model) != 0 ||
			strcmp(before->adapter, after->adapter) != 0
		    ? "pool follows demand"
		    : "pool follows rollout";
	rollout = config_find_rollout(config, upstream->service);
	if (rollout != NULL &&
	    strcmp(after->model_version, rollout->model_version) != 0)
		return "rollout's previous version";
	return "rollout's new version";
}

/* Logs each assignment that a stored placement changes. */
void
placement_log_changes(const struct config *config,
    const Heatherturn__V1__PlacementDocument *current,
    const Heatherturn__V1__PlacementDocument *next, uint64_t version)
{
	for (size_t i = 0; i < next->n_assignments; i++) {
		const Heatherturn__V1__Assignment
		    *after = next->assignments[i],
		    *before = placement_find_assignment(
			current, after->upstream);
		g_autofree char *from = assignment_text(before);
		g_autofree char *to = assignment_text(after);

		if (before != NULL && before->fencing == after->fencing)
			continue;
		LOG_INFO("placement decision", "{s:s, s:s, s:s, s:s, s:I, s:I}",
		    "upstream", after->upstream, "from", from, "to", to,
		    "reason", change_reason(config, before, after), "fencing",
		    (json_int_t)after->fencing, "placement_version",
		    (json_int_t)version);
	}
}
