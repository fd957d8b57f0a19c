#include "base/invariant.h"

#include <inttypes.h>
#include <stdlib.h>

#define LOG_MODULE "invariant"
#include "base/log.h"

static TAILQ_HEAD(
    invariant_list, invariant) invariants = TAILQ_HEAD_INITIALIZER(invariants);
static bool fatal;
static uint64_t violations;

/* Sets whether a violation aborts the process. */
void
invariant_set_fatal(bool yes)
{
	fatal = yes;
}

/* Returns the number of violations in this process. */
uint64_t
invariant_violations(void)
{
	return violations;
}

/* Logs a violation with the module's state and aborts if set to fatal. */
static void
report_violation(
    struct invariant *invariant, invariant_dump_fn *dump, const void *state)
{
	g_autoptr(GString) text = g_string_new(NULL);

	violations++;
	invariant->violations++;
	if (dump != NULL)
		dump(state, text);
	LOG_ERROR("invariant violated", "{s:s, s:s}", "invariant",
	    invariant->name, "state", text->str);
	if (fatal)
		abort();
}

/*
 * Counts a check of the invariant and reports a violation. The dump function
 * may be NULL; it is called only on a violation.
 */
void
invariant_check(struct invariant *invariant, bool holds,
    invariant_dump_fn *dump, const void *state)
{
	if (!invariant->registered) {
		invariant->registered = true;
		TAILQ_INSERT_TAIL(&invariants, invariant, entry);
	}
	invariant->checks++;
	if (!holds)
		report_violation(invariant, dump, state);
}

/* Logs the number of checks per invariant, when the process ends. */
void
invariants_log(void)
{
	const struct invariant *invariant;
	json_t *checks;

	if (!log_enabled(LOG_LEVEL_INFO))
		return;
	checks = json_object();
	TAILQ_FOREACH (invariant, &invariants, entry)
		json_object_set_new(checks, invariant->name,
		    json_integer((json_int_t)invariant->checks));
	LOG_INFO("invariants checked", "{s:o, s:I}", "checks", checks,
	    "violations", (json_int_t)violations);
}

/* Writes checks and violations per invariant in the Prometheus text format. */
void
invariants_write_metrics(GString *out)
{
	const struct invariant *invariant;

	g_string_append(out, "# TYPE heatherturn_invariant_checks counter\n");
	TAILQ_FOREACH (invariant, &invariants, entry)
		g_string_append_printf(out,
		    "heatherturn_invariant_checks{name=\"%s\"} %" PRIu64 "\n",
		    invariant->name, invariant->checks);
	g_string_append(
	    out, "# TYPE heatherturn_invariant_violations counter\n");
	TAILQ_FOREACH (invariant, &invariants, entry)
		g_string_append_printf(out,
		    "heatherturn_invariant_violations{name=\"%s\"} %" PRIu64
		    "\n",
		    invariant->name, invariant->violations);
}
