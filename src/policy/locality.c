#include "policy/locality.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#define BYTES_PER_KB 1000.0

/* Adds the one-way delay between two failure domains, for both directions. */
void
locality_add(struct locality *locality, const char *from, const char *to,
    double delay_ms)
{
	locality->pairs = g_renew(
	    struct locality_pair, locality->pairs, locality->count + 1);
	locality->pairs[locality->count++] = (struct locality_pair){
	    .from = g_strdup(from),
	    .to = g_strdup(to),
	    .delay_ms = delay_ms,
	};
}

/* Frees the delays. */
void
locality_clear(struct locality *locality)
{
	for (size_t i = 0; i < locality->count; i++) {
		g_free(locality->pairs[i].from);
		g_free(locality->pairs[i].to);
	}
	g_free(locality->pairs);
	*locality = (struct locality){0};
}

/*
 * Returns the one-way delay between two failure domains in milliseconds; 0 if
 * they are close, or it is not known.
 */
double
locality_delay_ms(
    const struct locality *locality, const char *from, const char *to)
{
	for (size_t i = 0; i < locality->count; i++) {
		const struct locality_pair *pair = &locality->pairs[i];

		if ((g_strcmp0(pair->from, from) == 0 &&
			g_strcmp0(pair->to, to) == 0) ||
		    (g_strcmp0(pair->from, to) == 0 &&
			g_strcmp0(pair->to, from) == 0))
			return pair->delay_ms < LOCALITY_CLOSE_MS ||
				g_strcmp0(from, to) == 0
			    ? 0.0
			    : pair->delay_ms;
	}
	return 0.0;
}

/*
 * Returns the cost of sending a request to another failure domain, in
 * milliseconds of waiting: the round trips to its first event, and its bytes.
 */
double
locality_request_ms(const struct locality *locality, const char *from,
    const char *to, const struct locality_request *request)
{
	double delay_ms = locality_delay_ms(locality, from, to);
	double body = (double)request->prompt_tokens * LOCALITY_TOKEN_BYTES;
	double events = (double)request->output_tokens /
	    MAX(request->event_tokens, 1);

	if (delay_ms <= 0.0)
		return 0.0;
	/* A connection's window doubles with each round trip. */
	return 2.0 * delay_ms *
	    (LOCALITY_ROUND_TRIPS +
		floor(log2(1.0 + body / LOCALITY_WINDOW_BYTES))) +
	    (body + events * LOCALITY_EVENT_BYTES) / BYTES_PER_KB *
	    LOCALITY_MS_PER_KB;
}

/*
 * Returns by how much an engine is preferable because of the short streams that
 * it has, in milliseconds. Each failure domain packs its own: a far engine is
 * less preferable than an empty one here, and among those the one with the most
 * streams is preferred.
 */
double
locality_pack_gain_ms(double distance_ms, double gain_ms)
{
	if (distance_ms <= 0.0)
		return gain_ms;
	return -distance_ms *
	    (1.0 + BALANCE_PACK_GAIN_MS / (BALANCE_PACK_GAIN_MS + gain_ms));
}
