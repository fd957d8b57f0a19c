/*
 * Which upstreams may get a request now, and which of them should.
 */
#ifndef GATEWAY_EXCHANGE_SELECTION_H
#define GATEWAY_EXCHANGE_SELECTION_H

#include "gateway/exchange_internal.h"

/* The candidates of a choice, beside the upstreams that they stand for. */
struct selection {
	struct balance_candidate *candidates;
	struct upstream **upstreams;
	size_t count;
	size_t eligible; /* upstreams of the service, those left out included */
};

/* Which upstreams are left out, from the most to the fewest. */
enum selection_filter {
	SELECTION_RELIABLE, /* before a last send, those that may turn it away
			     */
	SELECTION_HEALTHY, /* those that failed lately */
	SELECTION_ANY, /* only those that take no new work or were tried */
};

void selection_collect(
    struct exchange *, enum selection_filter, struct selection *);
void selection_clear(struct selection *);
enum stream_class exchange_stream_class(const struct exchange *);
bool exchange_may_wait(const struct exchange *, enum balance_verdict);
enum balance_verdict selection_plan(
    const struct exchange *, const struct selection *, struct balance_plan *);

void exchange_add_prefill(
    struct exchange *, const struct selection *, const struct balance_plan *);
uint64_t exchange_held_tokens(const struct balance_plan *);
void exchange_set_helpers(
    struct exchange *, const struct selection *, const struct balance_plan *);

#endif
