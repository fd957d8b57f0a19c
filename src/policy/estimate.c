/*
 * Estimates whether a request can be served in time by this upstream, and when
 * it is worth retrying.
 */
#include "base/clock.h"
#include "policy/admission_state.h"

/*
 * Returns the expected time, in ms, until a slot is free for a job with this
 * load queued before it.
 */
static int64_t
slot_wait_ms(const struct admission *admission, enum work_class class,
    const struct fair_load *ahead)
{
	uint32_t limit = ramp_limit(&admission->ramp);

	if (admission->running_count + ahead->items < limit)
		return 0;
	return (int64_t)((double)(ahead->items + 1) *
	    admission->service_ms[class] / limit);
}

/* Returns the time, in ms, for the work queued before a job of that class. */
static int64_t
work_ahead_ms(const struct admission *admission, enum work_class class,
    const struct fair_load *ahead, struct timespec now)
{
	const struct prefill *prefill = &admission->prefill;

	if (class == WORK_SHORT)
		return (int64_t)((double)prefill_ms(prefill,
				     ahead->tokens + prefill->short_tokens) /
		    (1 - prefill->long_share));
	return prefill_long_ms(
	    prefill, ahead->tokens + (uint64_t)prefill->long_remaining_tokens);
}

/*
 * Returns the expected time to the first token of a request that is submitted
 * now, in milliseconds: the longer of the prefill work queued before it and the
 * wait for a slot, plus its own prefill.
 */
int64_t
estimate_wait_ms(const struct admission *admission,
    const struct admission_probe *probe, struct timespec now)
{
	const struct prefill *prefill = &admission->prefill;
	uint64_t cached = MIN(probe->cached_tokens, probe->prompt_tokens);
	uint64_t own = probe->prompt_tokens - cached;
	struct fair_load ahead;
	int64_t work_ms;

	queue_load_ahead(admission->queue, probe->organisation, probe->weight,
	    probe->class, &ahead);
	work_ms = work_ahead_ms(admission, probe->class, &ahead, now);
	return MAX(work_ms, slot_wait_ms(admission, probe->class, &ahead)) +
	    (probe->class == WORK_LONG ? prefill_long_ms(prefill, own)
				       : prefill_ms(prefill, own));
}

/*
 * Returns the time, in ms, until half of the queued work of a class is expected
 * to be done.
 */
int64_t
estimate_retry_after_ms(const struct admission *admission,
    enum work_class class, struct timespec now)
{
	struct fair_load load;
	int64_t work_ms, slots_ms;

	queue_load(admission->queue, class, &load);
	work_ms = work_ahead_ms(admission, class, &load, now);
	slots_ms = (int64_t)((double)load.items * admission->service_ms[class] /
	    ramp_limit(&admission->ramp));
	return CLAMP(
	    MAX(work_ms, slots_ms) / 2, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/*
 * Returns the longest expected wait for the first token with which a request is
 * accepted, in milliseconds. A long request behind others is accepted only with
 * a margin, since the short requests that arrive before its start are not known
 * yet.
 */
static int64_t
wait_limit_ms(
    const struct admission *admission, const struct admission_probe *probe)
{
	struct fair_load longs;

	queue_load(admission->queue, WORK_LONG, &longs);
	if (probe->class == WORK_LONG && longs.items == 0 &&
	    admission->prefill.long_count == 0)
		return probe->remaining_ms;
	if (probe->class == WORK_LONG)
		return probe->remaining_ms * PREFILL_LONG_ACCEPT_PERCENT / 100;
	return MIN(probe->remaining_ms, admission->limits.queue_max_wait_ms);
}

/*
 * Returns whether a request is accepted, given its expected time to the first
 * token in milliseconds; sets the reason if not.
 */
bool
estimate_accepts(const struct admission *admission,
    const struct admission_probe *probe, int64_t wait_ms,
    enum reject_reason *reason)
{
	uint64_t memory = probe->prompt_tokens + probe->output_tokens;

	if (admission->draining)
		*reason = REJECT_DRAINING;
	else if (admission->down)
		*reason = REJECT_DOWN;
	else if (memory_is_counted(admission->memory) &&
	    memory > memory_total(admission->memory))
		*reason = REJECT_TOO_LARGE;
	else if (probe->remaining_ms <= 0)
		*reason = REJECT_EXPIRED;
	else if (wait_ms >= wait_limit_ms(admission, probe))
		*reason = REJECT_BUSY;
	else
		return true;
	return false;
}

/* Fills in an offer: how a request would be served if it were submitted now. */
void
admission_estimate(const struct admission *admission,
    const struct admission_probe *probe, struct timespec now,
    struct admission_offer *offer)
{
	*offer = (struct admission_offer){
	    .wait_ms = estimate_wait_ms(admission, probe, now),
	    .free_tokens = memory_available(admission->memory),
	    .memory_tokens = memory_total(admission->memory),
	    .running = admission->running_count,
	    .queued = (uint32_t)queue_count(admission->queue),
	    .limit = ramp_limit(&admission->ramp),
	};
	offer->accepting = estimate_accepts(
	    admission, probe, offer->wait_ms, &offer->reason);
	if (!offer->accepting)
		offer->retry_after_ms = estimate_retry_after_ms(
		    admission, probe->class, now);
}
