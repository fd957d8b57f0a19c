/*
 * The stored record of a claim, for a call that must not run twice: a JSON
 * object under claims/ORGANISATION/HASH. HASH is that of the idempotency key.
 */
#ifndef STORE_CLAIM_RECORD_H
#define STORE_CLAIM_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* An attempt's id as text: 32 hex digits and a NUL. */
#define CLAIM_ATTEMPT_SIZE 33

enum claim_state {
	CLAIM_STATE_CLAIMED, /* may be running, or its outcome is unknown */
	CLAIM_STATE_DONE, /* ran; the result is in the record */
	CLAIM_STATE_RELEASED, /* certainly did not run: may be claimed again */
};

struct claim_record {
	char attempt[CLAIM_ATTEMPT_SIZE];
	uint64_t fingerprint;
	enum claim_state state;
	int64_t claimed_wall_ms;
	uint32_t status;
	char *content_type;
	GByteArray *body; /* NULL if it was too long to store */
};

char *claim_record_key(const char *organisation, const char *idempotency_key);
char *claim_record_encode(const struct claim_record *);
bool claim_record_decode(const uint8_t *, size_t, struct claim_record *);
void claim_record_clear(struct claim_record *);

#endif
