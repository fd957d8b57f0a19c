#include "store/claim_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#define KEY_HASH_BYTES 16

static const char *const state_names[] = {
    [CLAIM_STATE_CLAIMED] = "claimed",
    [CLAIM_STATE_DONE] = "done",
    [CLAIM_STATE_RELEASED] = "released",
};

/* Returns the key of a claim's object in the store; freed by the caller. */
char *
claim_record_key(const char *organisation, const char *idempotency_key)
{
	uint8_t hash[KEY_HASH_BYTES];
	char text[2 * KEY_HASH_BYTES + 1];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)idempotency_key,
	    strlen(idempotency_key), NULL, 0);
	sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
	return g_strdup_printf("claims/%s/%s", organisation, text);
}

/* Encodes a record as JSON; the caller frees it with free(). */
char *
claim_record_encode(const struct claim_record *record)
{
	char fingerprint[17];
	json_t *root;
	char *text;

	snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
	    record->fingerprint);
	root = json_pack("{s:s, s:s, s:s, s:I}", "attempt", record->attempt,
	    "fingerprint", fingerprint, "state", state_names[record->state],
	    "claimed_wall_ms", (json_int_t)record->claimed_wall_ms);
	if (record->state == CLAIM_STATE_DONE) {
		json_object_set_new(
		    root, "status", json_integer(record->status));
		json_object_set_new(
		    root, "content_type", json_string(record->content_type));
	}
	if (record->body != NULL) {
		g_autofree char *body = g_base64_encode(
		    record->body->data, record->body->len);

		json_object_set_new(root, "body", json_string(body));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Parses a state's name; false if it is unknown. */
static bool
read_state(const char *name, enum claim_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(name, state_names[i]) == 0) {
			*state = (enum claim_state)i;
			return true;
		}
	}
	return false;
}

/* Fills a record from JSON; false if a member is missing or invalid. */
static bool
read_record(json_t *root, struct claim_record *record)
{
	const char *attempt, *fingerprint, *state;
	const char *type = "", *body = NULL;
	json_int_t claimed_wall_ms, status = 0;

	if (json_unpack(root, "{s:s, s:s, s:s, s:I, s?I, s?s, s?s}", "attempt",
		&attempt, "fingerprint", &fingerprint, "state", &state,
		"claimed_wall_ms", &claimed_wall_ms, "status", &status,
		"content_type", &type, "body", &body) != 0 ||
	    strlen(attempt) >= CLAIM_ATTEMPT_SIZE ||
	    !g_ascii_string_to_unsigned(
		fingerprint, 16, 0, UINT64_MAX, &record->fingerprint, NULL) ||
	    !read_state(state, &record->state))
		return false;
	strcpy(record->attempt, attempt);
	record->claimed_wall_ms = claimed_wall_ms;
	record->status = (uint32_t)status;
	record->content_type = g_strdup(type);
	if (body != NULL) {
		gsize length;
		guchar *bytes = g_base64_decode(body, &length);

		record->body = g_byte_array_new_take(bytes, length);
	}
	return true;
}

/* Decodes a JSON record; if invalid, returns false and allocates nothing. */
bool
claim_record_decode(
    const uint8_t *data, size_t length, struct claim_record *record)
{
	json_t *root = json_loadb((const char *)data, length, 0, NULL);
	bool good;

	memset(record, 0, sizeof(*record));
	good = root != NULL && read_record(root, record);
	json_decref(root);
	return good;
}

/* Frees a record's members. */
void
claim_record_clear(struct claim_record *record)
{
	g_clear_pointer(&record->content_type, g_free);
	if (record->body != NULL)
		g_byte_array_unref(record->body);
	record->body = NULL;
}
