#include "policy/ramp.h"

#include <stddef.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"

/* Weight of one first token in the average latency ratio. */
#define LATENCY_RATIO_WEIGHT (1.0 / 64)

INVARIANT_DEFINE(within_capacity, "limit_never_above_what_upstream_bears");

/* Writes the state for an invariant's report. */
static void
dump(const void *state, GString *out)
{
	const struct ramp *ramp = state;

	g_string_append_printf(out, "limit %u slots %u cold_slots %u warm %d",
	    ramp->limit, ramp->slots, ramp->cold_slots, ramp->warm);
}

/* Clamps the limit between cold_slots and the current capacity. */
static void
clamp_limit(struct ramp *ramp)
{
	ramp->limit = CLAMP(ramp->limit, ramp->cold_slots, ramp_capacity(ramp));
	invariant_check(
	    &within_capacity, ramp->limit <= ramp_capacity(ramp), dump, ramp);
}

/* Initialises the limit to cold_slots concurrent requests, at least one. */
void
ramp_init(struct ramp *ramp, uint32_t slots, uint32_t cold_slots)
{
	*ramp = (struct ramp){.latency_ratio = 1.0};
	ramp->slots = MAX(slots, 1);
	ramp->cold_slots = CLAMP(cold_slots, 1, ramp->slots);
	ramp->limit = ramp->cold_slots;
}

/* Sets how many concurrent requests the warm upstream can handle. */
void
ramp_set_slots(struct ramp *ramp, uint32_t slots)
{
	ramp->slots = MAX(slots, ramp->cold_slots);
	clamp_limit(ramp);
}

/*
 * Sets how many concurrent requests the upstream can handle during a cold
 * start.
 */
void
ramp_set_cold_slots(struct ramp *ramp, uint32_t cold_slots)
{
	ramp->cold_slots = CLAMP(cold_slots, 1, ramp->slots);
	clamp_limit(ramp);
}

/*
 * Records the upstream's report that it is warm. The report may be older than
 * the last trigger, so it is ignored until RAMP_WARM_HOLDOFF_MS
 * after that.
 */
void
ramp_on_reported_warm(struct ramp *ramp, struct timespec now)
{
	ramp->reported_warm = true;
	if (time_is_set(ramp->trigger_at) &&
	    time_diff_ms(now, ramp->trigger_at) < RAMP_WARM_HOLDOFF_MS)
		return;
	ramp->warm = true;
}

/* Records a trigger: the limit drops to cold_slots. */
void
ramp_on_trigger(
    struct ramp *ramp, enum ramp_trigger trigger, struct timespec now)
{
	ramp->triggers[trigger]++;
	ramp->warm = false;
	if (trigger == RAMP_TRIGGER_REPORT)
		ramp->reported_warm = false;
	if (trigger != RAMP_TRIGGER_REPORT)
		ramp->trigger_at = now;
	ramp->slow_count = 0;
	ramp->limit = ramp->cold_slots;
	clamp_limit(ramp);
}

/*
 * Raises the limit by one if at least half of it was in use: a completion at
 * low load does not show that a higher load is safe.
 */
static void
raise_limit(struct ramp *ramp, uint32_t running)
{
	if (!ramp->warm || running * 2 < ramp->limit)
		return;
	ramp->limit++;
	clamp_limit(ramp);
}

/*
 * Returns whether a wait exceeds a multiple of the prediction, corrected by the
 * latency ratio, plus a grace period.
 */
static bool
is_beyond(const struct ramp *ramp, int factor, int64_t predicted_ms,
    int64_t waited_ms)
{
	double corrected_ms = (double)predicted_ms * ramp->latency_ratio;

	return (double)waited_ms > corrected_ms * factor + RAMP_SLOW_GRACE_MS;
}

/* Returns whether a wait is far beyond the predicted time to first token. */
bool
ramp_is_overdue(
    const struct ramp *ramp, int64_t predicted_ms, int64_t waited_ms)
{
	return is_beyond(ramp, RAMP_SLOW_FACTOR, predicted_ms, waited_ms);
}

/*
 * Records a first token after took_ms that was predicted for predicted_ms,
 * with this number of requests running. Returns whether it was healthy, which
 * is stricter than not slow. The latency ratio adapts slowly, so that a wrongly
 * configured speed does not keep the limit down permanently.
 */
bool
ramp_on_first_token(
    struct ramp *ramp, int64_t predicted_ms, int64_t took_ms, uint32_t running)
{
	double ratio = (double)MAX(took_ms - RAMP_SLOW_GRACE_MS, 0) /
	    (double)MAX(predicted_ms, 1);

	if (ramp->reported_warm)
		ramp->latency_ratio = MAX(ramp->latency_ratio +
			LATENCY_RATIO_WEIGHT * (ratio - ramp->latency_ratio),
		    1.0);
	if (is_beyond(ramp, RAMP_HEALTHY_FACTOR, predicted_ms, took_ms))
		return false;
	raise_limit(ramp, running);
	return true;
}

/*
 * Counts consecutive slow first tokens. Returns true if they are a trigger; the
 * limit is not changed.
 */
bool
ramp_count_slow(struct ramp *ramp, int64_t predicted_ms, int64_t took_ms)
{
	bool slow = ramp_is_overdue(ramp, predicted_ms, took_ms);

	ramp->slow_count = slow ? ramp->slow_count + 1 : 0;
	return ramp->slow_count >= RAMP_SLOW_COUNT;
}

/*
 * Records a healthy, complete answer with this number of requests running. A
 * request that was started before the last trigger does not count.
 */
void
ramp_on_completed(struct ramp *ramp, struct timespec started, uint32_t running)
{
	if (time_before(started, ramp->trigger_at))
		return;
	raise_limit(ramp, running);
}

/* Returns the current limit of concurrent requests. */
uint32_t
ramp_limit(const struct ramp *ramp)
{
	return ramp->limit;
}

/*
 * Returns how many concurrent requests the upstream can handle in its known
 * state.
 */
uint32_t
ramp_capacity(const struct ramp *ramp)
{
	return ramp->warm ? ramp->slots : ramp->cold_slots;
}

/* Returns a trigger's name for log messages. */
const char *
ramp_trigger_name(enum ramp_trigger trigger)
{
	static const char *const names[RAMP_TRIGGERS] = {
	    [RAMP_TRIGGER_REPORT] = "report",
	    [RAMP_TRIGGER_RESTART] = "restart",
	    [RAMP_TRIGGER_SLOW] = "slow",
	    [RAMP_TRIGGER_REFUSED] = "refused",
	    [RAMP_TRIGGER_LOST] = "lost",
	};

	return trigger < RAMP_TRIGGERS ? names[trigger] : "unknown";
}
