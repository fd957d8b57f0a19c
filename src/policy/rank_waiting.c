#include "policy/rank_waiting.h"

/* Counts a prompt that begins to wait. */
void
rank_waiting_add(struct rank_waiting *waiting, uint64_t tokens)
{
	waiting->count++;
	waiting->tokens += tokens;
}

/* Removes a prompt that no longer waits. */
void
rank_waiting_remove(struct rank_waiting *waiting, uint64_t tokens)
{
	waiting->count--;
	waiting->tokens -= tokens;
}

/* Adds what waits of a rank at another gateway. */
void
rank_waiting_sum(struct rank_waiting *sum, const struct rank_waiting *waiting)
{
	sum->count += waiting->count;
	sum->tokens += waiting->tokens;
}

/* Subtracts what was added before. */
void
rank_waiting_subtract(
    struct rank_waiting *sum, const struct rank_waiting *waiting)
{
	sum->count -= waiting->count;
	sum->tokens -= waiting->tokens;
}

/*
 * Returns the prefill time, in milliseconds on each of that many engines, of
 * the prompts of more urgent ranks that wait, as if those of a rank had equal
 * lengths.
 */
double
rank_waiting_ahead_ms(const struct rank_waiting ranks[PRECEDENCE_RANKS],
    uint32_t rank, const struct engine_profile *profile, size_t engines)
{
	double total_ms = 0.0;

	for (uint32_t i = 0; i < rank; i++) {
		if (ranks[i].count > 0)
			total_ms += ranks[i].count *
			    engine_profile_prefill_ms(
				profile, ranks[i].tokens / ranks[i].count);
	}
	return engines > 0 ? total_ms / (double)engines : 0.0;
}
