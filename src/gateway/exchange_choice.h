/*
 * Which upstreams may get a request now, and which of them should.
 */
#ifndef GATEWAY_EXCHANGE_CHOICE_H
#define GATEWAY_EXCHANGE_CHOICE_H

#include "gateway/exchange_internal.h"

/* The candidates of a choice, beside the upstreams that they stand for. */
struct choice {
	struct balance_candidate *candidates;
	struct upstream **upstreams;
	size_t count;
	size_t listed; /* upstreams of the service, those left out included */
};

/* Which upstreams are left out, from the most to the fewest. */
enum choice_care {
	CHOICE_SURE, /* before a last send, those that may turn it away */
	CHOICE_USABLE, /* those that failed lately */
	CHOICE_ANY, /* only those that take no new work or were tried */
};

void choice_collect(struct exchange *, enum choice_care, struct choice *);
void choice_clear(struct choice *);
enum stream_class choice_stream_class(const struct exchange *);
bool choice_may_wait(const struct exchange *, enum balance_verdict);
enum balance_verdict choice_plan(
    const struct exchange *, const struct choice *, struct balance_plan *);

void exchange_count_reading(
    struct exchange *, const struct choice *, const struct balance_plan *);
uint64_t exchange_held_tokens(const struct balance_plan *);
void exchange_keep_helpers(
    struct exchange *, const struct choice *, const struct balance_plan *);

#endif
