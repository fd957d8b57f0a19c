#include "policy/memory.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"

struct memory {
	uint64_t total;
	uint64_t reserved; /* by running requests */
	uint64_t held; /* by all holds */
	char waiting_hold[REQUEST_ID_SIZE]; /* refused hold, served next */
	struct timespec waiting_hold_expires;
	struct memory_holds holds;
};

INVARIANT_DEFINE(conserved, "memory_conserved");
INVARIANT_DEFINE(within, "memory_within_total");

/* Writes the counters for an invariant's report. */
static void
dump(const void *state, GString *out)
{
	const struct memory *memory = state;

	g_string_append_printf(out,
	    "total %" PRIu64 " reserved %" PRIu64 " held %" PRIu64,
	    memory->total, memory->reserved, memory->held);
}

/* Checks that the held tokens are the sum of the holds. */
static void
check(const struct memory *memory)
{
	const struct memory_hold *hold;
	uint64_t sum = 0;

	TAILQ_FOREACH (hold, &memory->holds, entry)
		sum += hold->tokens;
	invariant_check(&conserved, sum == memory->held, dump, memory);
}

/*
 * Creates the accounting for total tokens; 0 means that memory is not accounted
 * for.
 */
struct memory *
memory_new(uint64_t total)
{
	struct memory *memory = g_new0(struct memory, 1);

	memory->total = total;
	TAILQ_INIT(&memory->holds);
	return memory;
}

/* Frees the accounting with all its holds. */
void
memory_free(struct memory *memory)
{
	if (memory == NULL)
		return;
	memory_drop_holds(memory);
	g_free(memory);
}

/* Sets the total that the upstream reports; reservations and holds stay. */
void
memory_set_total(struct memory *memory, uint64_t total)
{
	memory->total = total;
}

/* Returns the upstream's total tokens, or 0 if memory is not accounted for. */
uint64_t
memory_total(const struct memory *memory)
{
	return memory->total;
}

/* Returns whether memory is accounted for; plain services have none. */
bool
memory_is_counted(const struct memory *memory)
{
	return memory->total > 0;
}

/* Returns the tokens that are neither reserved nor held. */
uint64_t
memory_available(const struct memory *memory)
{
	uint64_t used = memory->reserved + memory->held;

	return used < memory->total ? memory->total - used : 0;
}

/*
 * Reserves tokens for a request that starts. Returns false if they are not
 * available.
 */
bool
memory_reserve(struct memory *memory, uint64_t tokens)
{
	if (tokens > memory_available(memory))
		return false;
	memory->reserved += tokens;
	invariant_check(&within,
	    memory->reserved + memory->held <= memory->total, dump, memory);
	return true;
}

/* Frees tokens that memory_reserve() reserved. */
void
memory_free_reserved(struct memory *memory, uint64_t tokens)
{
	invariant_check(&conserved, tokens <= memory->reserved, dump, memory);
	memory->reserved -= MIN(tokens, memory->reserved);
}

/* Returns the tokens reserved by running requests. */
uint64_t
memory_reserved(const struct memory *memory)
{
	return memory->reserved;
}

/* Returns the hold with this id, or NULL. */
struct memory_hold *
memory_find_hold(const struct memory *memory, const char *id)
{
	struct memory_hold *hold;

	TAILQ_FOREACH (hold, &memory->holds, entry) {
		if (strcmp(hold->id, id) == 0)
			return hold;
	}
	return NULL;
}

/*
 * Keeps memory that becomes free for a refused hold, unless another one is
 * waiting already.
 */
static void
set_waiting_hold(struct memory *memory, const char *id, struct timespec now)
{
	if (memory_has_waiting_hold(memory, now) &&
	    strcmp(memory->waiting_hold, id) != 0)
		return;
	g_strlcpy(memory->waiting_hold, id, sizeof(memory->waiting_hold));
	memory->waiting_hold_expires = time_add_ms(now, MEMORY_WAITING_HOLD_MS);
}

/*
 * Holds tokens under an id until expires, or renews the hold. Returns false if
 * the tokens are not available, if another refused hold is served first, or if
 * the blocks of the last hold with this id are still being freed.
 */
bool
memory_hold(struct memory *memory, const char *id, uint64_t tokens,
    struct timespec expires, struct timespec now)
{
	struct memory_hold *hold = memory_find_hold(memory, id);

	if (hold != NULL) {
		if (hold->state != MEMORY_HELD || tokens > hold->tokens)
			return false;
		hold->expires = expires;
		return true;
	}
	if (!memory_is_counted(memory) || tokens > memory->total)
		return false;
	if (tokens > memory_available(memory) ||
	    (memory_has_waiting_hold(memory, now) &&
		strcmp(memory->waiting_hold, id) != 0)) {
		set_waiting_hold(memory, id, now);
		return false;
	}
	if (strcmp(memory->waiting_hold, id) == 0)
		memory->waiting_hold_expires = (struct timespec){0};
	hold = g_new0(struct memory_hold, 1);
	g_strlcpy(hold->id, id, sizeof(hold->id));
	hold->tokens = tokens;
	hold->expires = expires;
	TAILQ_INSERT_TAIL(&memory->holds, hold, entry);
	memory->held += tokens;
	check(memory);
	invariant_check(&within,
	    memory->reserved + memory->held <= memory->total, dump, memory);
	return true;
}

/*
 * Adds a request that runs under a hold. Returns false if the hold does not
 * exist or was released.
 */
bool
memory_attach(struct memory *memory, const char *id)
{
	struct memory_hold *hold = memory_find_hold(memory, id);

	if (hold == NULL || hold->state != MEMORY_HELD)
		return false;
	hold->users++;
	return true;
}

/* Removes a request that ran under a hold. */
void
memory_detach(struct memory *memory, const char *id)
{
	struct memory_hold *hold = memory_find_hold(memory, id);

	if (hold != NULL && hold->users > 0)
		hold->users--;
}

/* Releases a hold. Its blocks are freed once nothing runs under it. */
void
memory_end_hold(struct memory *memory, const char *id)
{
	struct memory_hold *hold = memory_find_hold(memory, id);

	if (strcmp(memory->waiting_hold, id) == 0)
		memory->waiting_hold_expires = (struct timespec){0};
	if (hold != NULL && hold->state == MEMORY_HELD)
		hold->state = MEMORY_ENDING;
}

/* Ends one expired hold and returns its id, or NULL if there is none. */
const char *
memory_expire_hold(struct memory *memory, struct timespec now)
{
	struct memory_hold *hold;

	TAILQ_FOREACH (hold, &memory->holds, entry) {
		if (hold->state != MEMORY_HELD ||
		    time_before(now, hold->expires))
			continue;
		hold->state = MEMORY_ENDING;
		return hold->id;
	}
	return NULL;
}

/*
 * Returns the id of an ended hold that nothing runs under any more and whose
 * blocks the upstream must now free, or NULL. Each is returned once.
 */
const char *
memory_next_release(struct memory *memory)
{
	struct memory_hold *hold;

	TAILQ_FOREACH (hold, &memory->holds, entry) {
		if (hold->state != MEMORY_ENDING || hold->users > 0)
			continue;
		hold->state = MEMORY_FREEING;
		return hold->id;
	}
	return NULL;
}

/* Removes a hold and frees it. */
static void
drop_hold(struct memory *memory, struct memory_hold *hold)
{
	memory->held -= hold->tokens;
	TAILQ_REMOVE(&memory->holds, hold, entry);
	g_free(hold);
	check(memory);
}

/*
 * Removes a hold whose blocks the upstream has freed; its tokens are available
 * again.
 */
void
memory_on_hold_freed(struct memory *memory, const char *id)
{
	struct memory_hold *hold = memory_find_hold(memory, id);

	if (hold != NULL && hold->state == MEMORY_FREEING)
		drop_hold(memory, hold);
}

/* Removes all holds, after the upstream has restarted. */
void
memory_drop_holds(struct memory *memory)
{
	struct memory_hold *hold;

	while ((hold = TAILQ_FIRST(&memory->holds)) != NULL)
		drop_hold(memory, hold);
}

/* Returns whether a refused hold is waiting for memory. */
bool
memory_has_waiting_hold(const struct memory *memory, struct timespec now)
{
	return time_before(now, memory->waiting_hold_expires);
}

/* Returns the time at which the next hold expires, or zero if none does. */
struct timespec
memory_next_expiry(const struct memory *memory)
{
	const struct memory_hold *hold;
	struct timespec next = {0};

	TAILQ_FOREACH (hold, &memory->holds, entry) {
		if (hold->state != MEMORY_HELD)
			continue;
		if (!time_is_set(next) || time_before(hold->expires, next))
			next = hold->expires;
	}
	return next;
}
