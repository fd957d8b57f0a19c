#include "upstream/engine_event.h"

#include <string.h>

#include <xxhash.h>

#include "upstream/upstream.h"

/* Sets the error of a member with a wrong type or value. */
static bool
set_member_error(GError **error, const char *member, const char *what)
{
	g_set_error(error, UPSTREAM_ERROR, UPSTREAM_ERROR_MALFORMED,
	    "engine's event is malformed: its member %s is %s", member, what);
	return false;
}

/* Reads an integer from min to max; a missing one leaves *out as it is. */
static bool
read_integer(const struct engine_event *event, const char *member,
    json_int_t min, json_int_t max, json_int_t *out, GError **error)
{
	const json_t *value = json_object_get(event->json, member);

	if (value == NULL)
		return true;
	if (!json_is_integer(value))
		return set_member_error(error, member, "no integer");
	if (json_integer_value(value) < min || json_integer_value(value) > max)
		return set_member_error(error, member, "out of range");
	*out = json_integer_value(value);
	return true;
}

/* Reads the members of a part of the text. */
static bool
read_part(struct engine_event *event, GError **error)
{
	const json_t *text = json_object_get(event->json, "text");

	if (!json_is_string(text))
		return set_member_error(error, "text", "missing or no string");
	event->text = json_string_value(text);
	event->length = json_string_length(text);
	return read_integer(
	    event, "tokens", 0, UINT32_MAX, &event->tokens, error);
}

/* Reads the members of an end. */
static bool
read_end(struct engine_event *event, GError **error)
{
	const json_t *reason = json_object_get(event->json, "finish_reason");

	if (json_object_get(event->json, "text") != NULL)
		return set_member_error(error, "text", "one of an end");
	if (reason != NULL && !json_is_string(reason))
		return set_member_error(error, "finish_reason", "no string");
	event->finish_reason = json_string_value(reason);
	return read_integer(event, "prompt_tokens", 0, G_MAXINT64,
		   &event->prompt_tokens, error) &&
	    read_integer(event, "output_tokens", 0, G_MAXINT64,
		&event->output_tokens, error) &&
	    read_integer(event, "cached_tokens", 0, G_MAXINT64,
		&event->cached_tokens, error);
}

/* Reads all members of an event. */
static bool
read_members(struct engine_event *event, GError **error)
{
	const json_t *done = json_object_get(event->json, "done");

	if (!read_integer(event, "seq", 1, G_MAXINT64, &event->sequence, error))
		return false;
	if (event->sequence == 0)
		return set_member_error(error, "seq", "missing");
	if (done != NULL && !json_is_boolean(done))
		return set_member_error(error, "done", "no boolean");
	event->is_end = json_is_true(done);
	return event->is_end ? read_end(event, error) : read_part(event, error);
}

/*
 * Decodes the data of an event. Members that the dialect lacks are ignored.
 * Returns false with UPSTREAM_ERROR_MALFORMED if any other part of it is wrong;
 * else engine_event_clear() frees it.
 */
bool
engine_event_decode(
    struct engine_event *event, const char *data, size_t length, GError **error)
{
	json_error_t json_error;

	*event = (struct engine_event){
	    .json = json_loadb(
		data, length, JSON_REJECT_DUPLICATES, &json_error)};
	if (event->json == NULL) {
		g_set_error(error, UPSTREAM_ERROR, UPSTREAM_ERROR_MALFORMED,
		    "engine's event is malformed: %s at byte %d",
		    json_error_code(&json_error) == json_error_duplicate_key
			? "a member comes twice"
			: "it is no JSON",
		    json_error.position);
		return false;
	}
	if (read_members(event, error))
		return true;
	engine_event_clear(event);
	return false;
}

/* Returns a hash of what an event says, whatever its number and its JSON. */
uint64_t
engine_event_digest(const struct engine_event *event)
{
	const json_int_t counts[] = {
	    event->prompt_tokens, event->output_tokens, event->cached_tokens};
	const char *reason = event->finish_reason != NULL ? event->finish_reason
							  : "";

	if (!event->is_end)
		return XXH3_64bits_withSeed(
		    event->text, event->length, (XXH64_hash_t)event->tokens);
	return XXH3_64bits_withSeed(
	    reason, strlen(reason), XXH3_64bits(counts, sizeof(counts)));
}

/* Frees what a decoded event holds. */
void
engine_event_clear(struct engine_event *event)
{
	json_decref(event->json);
	event->json = NULL;
}
