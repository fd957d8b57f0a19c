#include "policy/upstream_process.h"

/* Returns whether a restored list shows a process that had the id before. */
bool
upstream_process_is_older(
    const struct upstream_process *process, const struct upstream_sight *sight)
{
	return sight->restored && sight->start_wall_ms != 0 &&
	    sight->start_wall_ms < process->start_wall_ms;
}

/* Returns whether the list shows another process than the known one. */
static bool
is_another(
    const struct upstream_process *process, const struct upstream_sight *sight)
{
	return sight->start_wall_ms != 0 && process->start_wall_ms != 0 &&
	    sight->start_wall_ms != process->start_wall_ms;
}

/* The list shows the upstream. */
void
upstream_process_on_listed(struct upstream_process *process,
    const struct upstream_sight *sight, struct timespec now)
{
	if (upstream_process_is_older(process, sight)) {
		/* How the earlier process was does not matter. */
		departure_on_ready(&process->departure, true, true, now);
		return;
	}
	if (is_another(process, sight))
		*process = (struct upstream_process){0};
	if (sight->start_wall_ms != 0)
		process->start_wall_ms = sight->start_wall_ms;
	if (sight->draining)
		departure_on_draining(&process->departure);
	else
		departure_on_ready(&process->departure,
		    sight->start_wall_ms != 0, sight->restored, now);
}

/* The list no longer shows the upstream. A restored one tells nothing. */
void
upstream_process_on_unlisted(
    struct upstream_process *process, bool restored, struct timespec now)
{
	if (!restored)
		departure_on_removed(&process->departure, now);
}
