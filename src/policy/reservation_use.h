/*
 * How long memory that engines reserve for a prompt may go unused.
 *
 * Load pattern: an engine takes prompts and begins none of them, or takes them
 * into a queue that does not move, while its helpers keep memory for them that
 * other prompts need. A prefill that goes on uses the memory, however slow it
 * is. So from the time on at which the first token was expected the helper is
 * asked whether the memory is used. While it is not, it is kept only as long as
 * it would expire within the limit even if no release arrived.
 */
#ifndef POLICY_RESERVATION_USE_H
#define POLICY_RESERVATION_USE_H

#include <stdbool.h>
#include <stdint.h>

struct reservation_use {
	int64_t hold_ms; /* for which engines keep memory after a renewal */
	int64_t renew_ms; /* between renewals */
	int64_t unused_max_ms; /* for which memory may go unused */
	int64_t expected_ms; /* from the reservation to the first token */
	bool used; /* an engine or a response has said so */
};

enum reservation_step {
	RESERVATION_RENEW,
	RESERVATION_RENEW_AND_ASK, /* an engine whether the memory is used */
	RESERVATION_GIVE_UP,
};

enum reservation_step reservation_use_next(
    const struct reservation_use *, int64_t age_ms);

#endif
