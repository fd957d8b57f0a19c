#include "upstream/engine_position.h"

/* Starts after an event; the ones up to it are unknown. */
void
engine_position_init(struct engine_position *position, uint64_t after)
{
	*position = (struct engine_position){.last_sequence = after,
	    .adopted_after = after,
	    .digests = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
}

/* Frees what a position holds. */
void
engine_position_clear(struct engine_position *position)
{
	g_array_free(position->digests, TRUE);
}

/* Returns whether an event says the same as the one of its number before. */
static bool
is_same(
    const struct engine_position *position, uint64_t sequence, uint64_t digest)
{
	if (sequence <= position->adopted_after)
		return true;
	return g_array_index(position->digests, uint64_t,
		   sequence - position->adopted_after - 1) == digest;
}

/*
 * Handles an event whose number came before. One that differs puts both in
 * doubt: an end is taken back, and a part that was passed on must come again in
 * a resumption.
 */
static enum engine_verdict
take_repeated(
    struct engine_position *position, uint64_t sequence, uint64_t digest)
{
	if (is_same(position, sequence, digest)) {
		if (sequence == position->in_doubt)
			position->in_doubt = 0;
		return ENGINE_EVENT_REPEATED;
	}
	if (sequence == position->in_doubt)
		return ENGINE_EVENT_DENIED;
	engine_position_take_end_back(position);
	if (sequence <= position->last_sequence)
		position->in_doubt = sequence;
	return ENGINE_EVENT_IN_DOUBT;
}

/*
 * Takes a valid event of the stream. Nothing new follows an end, and nothing
 * after a part in doubt is taken before that part has come again. *why is set
 * for events that are neither next nor repeated.
 */
enum engine_verdict
engine_position_take(struct engine_position *position,
    const struct engine_event *event, const char **why)
{
	uint64_t sequence = (uint64_t)event->sequence;
	uint64_t digest = engine_event_digest(event);

	if (position->in_doubt > 0 && sequence > position->in_doubt) {
		*why = "the event in doubt is missing";
		return ENGINE_EVENT_IN_DOUBT;
	}
	if (sequence <= position->last_sequence) {
		*why = "its number came before with other content";
		return take_repeated(position, sequence, digest);
	}
	if (position->at_end) {
		*why = "it follows the end";
		return ENGINE_EVENT_IN_DOUBT;
	}
	if (sequence != position->last_sequence + 1) {
		*why = "an event before it is missing";
		return ENGINE_EVENT_IN_DOUBT;
	}
	position->last_sequence = sequence;
	position->at_end = event->is_end;
	g_array_append_val(position->digests, digest);
	return ENGINE_EVENT_NEXT;
}

/* Takes an end in doubt back, if there is one. */
void
engine_position_take_end_back(struct engine_position *position)
{
	if (!position->at_end)
		return;
	position->at_end = false;
	position->last_sequence--;
	g_array_set_size(position->digests, position->digests->len - 1);
}

/* Returns the number of the last event that is not in doubt. */
uint64_t
engine_position_resume_after(const struct engine_position *position)
{
	return position->in_doubt > 0 ? position->in_doubt - 1
				      : position->last_sequence;
}
