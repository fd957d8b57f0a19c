/* Decodes one event of an engine's run, checked as a whole. */
#ifndef UPSTREAM_ENGINE_EVENT_H
#define UPSTREAM_ENGINE_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/* A part of the text, or the end of the run. */
struct engine_event {
	json_t *json; /* owns the strings below */
	json_int_t sequence; /* from 1 */
	bool is_end;
	const char *text; /* of a part */
	size_t length;
	json_int_t tokens;
	const char *finish_reason; /* of an end, as the counts; may be NULL */
	json_int_t prompt_tokens;
	json_int_t output_tokens;
	json_int_t cached_tokens;
};

bool engine_event_decode(
    struct engine_event *, const char *data, size_t length, GError **);
uint64_t engine_event_digest(const struct engine_event *);
void engine_event_clear(struct engine_event *);

#endif
