/*
 * Accounting of an upstream's KV memory in tokens: what running requests have
 * reserved and what is held for groups (policy/group.h). A hold is memory that
 * the sidecar sets aside for a group's requests, by id and with an expiry time.
 * It counts as used until the upstream has confirmed that the blocks are freed.
 */
#ifndef POLICY_MEMORY_H
#define POLICY_MEMORY_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "peer/message.h"

/*
 * After a hold was refused, memory that becomes free is kept for it for this
 * long.
 */
#define MEMORY_WAITING_HOLD_MS 1500

enum memory_hold_state {
	MEMORY_HELD,
	MEMORY_ENDING, /* released or expired; requests still run under it */
	MEMORY_FREEING, /* the upstream was asked to free its blocks */
};

struct memory_hold {
	char id[REQUEST_ID_SIZE];
	uint64_t tokens;
	uint32_t users; /* number of requests running under it */
	struct timespec expires;
	enum memory_hold_state state;
	TAILQ_ENTRY(memory_hold) entry;
};

TAILQ_HEAD(memory_holds, memory_hold);

struct memory;

struct memory *memory_new(uint64_t total);
void memory_free(struct memory *);
void memory_set_total(struct memory *, uint64_t total);
uint64_t memory_total(const struct memory *);
uint64_t memory_available(const struct memory *);
bool memory_is_counted(const struct memory *);

bool memory_reserve(struct memory *, uint64_t tokens);
void memory_free_reserved(struct memory *, uint64_t tokens);
uint64_t memory_reserved(const struct memory *);

bool memory_hold(struct memory *, const char *id, uint64_t tokens,
    struct timespec expires, struct timespec now);
struct memory_hold *memory_find_hold(const struct memory *, const char *id);
bool memory_attach(struct memory *, const char *id);
void memory_detach(struct memory *, const char *id);
void memory_end_hold(struct memory *, const char *id);
const char *memory_expire_hold(struct memory *, struct timespec now);
const char *memory_next_release(struct memory *);
void memory_on_hold_freed(struct memory *, const char *id);
void memory_drop_holds(struct memory *);
bool memory_has_waiting_hold(const struct memory *, struct timespec now);
struct timespec memory_next_expiry(const struct memory *);

#endif
