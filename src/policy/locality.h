/*
 * What the distance between failure domains costs a request, weighed against
 * the waiting that a farther upstream saves.
 *
 * Load pattern: the load of one failure domain rises while the others have
 * room. Without distances all upstreams are alike, and two of three requests
 * cross to another failure domain although their own has room: each waits for
 * some round trips, and its bytes are charged for. With distances a request
 * stays where it arrived while that costs less waiting than the way, and uses
 * the room of another failure domain as soon as it costs more.
 */
#ifndef POLICY_LOCALITY_H
#define POLICY_LOCALITY_H

#include <stddef.h>
#include <stdint.h>

#include "policy/balance.h"

/*
 * One-way delay in milliseconds below which failure domains are close: it is of
 * the size of an engine's step.
 */
#define LOCALITY_CLOSE_MS 1.0
/*
 * Round trips from the connection to the first event, besides those of a body
 * that does not fit into the first window of a connection, in bytes.
 */
#define LOCALITY_ROUND_TRIPS  2.0
#define LOCALITY_WINDOW_BYTES 14600.0
/* Bytes of a prompt's token in its body, and of an event of its stream. */
#define LOCALITY_TOKEN_BYTES 0.25
#define LOCALITY_EVENT_BYTES 80.0
/*
 * Milliseconds of waiting that 1,000 bytes between failure domains are worth:
 * one short request and its stream, about 3 KB, weigh less than 1 ms, and the
 * longest prompts about as much as their round trips.
 */
#define LOCALITY_MS_PER_KB 0.1
/* One-way delay between two failure domains. */
struct locality_pair {
	char *from;
	char *to;
	double delay_ms;
};

/* Zero-initialised: all failure domains are close. */
struct locality {
	struct locality_pair *pairs;
	size_t count;
};

/* What a request moves between a gateway and its upstream. */
struct locality_request {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint32_t event_tokens; /* tokens in one event; 0 counts as 1 */
};

void locality_add(
    struct locality *, const char *from, const char *to, double delay_ms);
void locality_clear(struct locality *);
double locality_delay_ms(
    const struct locality *, const char *from, const char *to);
double locality_request_ms(const struct locality *, const char *from,
    const char *to, const struct locality_request *);
double locality_pack_gain_ms(double distance_ms, double gain_ms);

#endif
