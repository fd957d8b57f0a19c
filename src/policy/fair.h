/*
 * Weighted fair queue by organisation, charged in tokens to compute. Each
 * organisation is one flow with its own queue and a virtual time that increases
 * by the charged tokens divided by its weight; the organisation with the lowest
 * virtual time is served next. An organisation that had nothing queued starts
 * at the current virtual time, so it neither accumulates credit while idle nor
 * is delayed by what others queued.
 */
#ifndef POLICY_FAIR_H
#define POLICY_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

struct fair;
struct fair_flow;

/* Embed as a member in the queued objects. */
struct fair_item {
	uint64_t cost; /* tokens to compute */
	struct fair_flow *flow; /* of its organisation, while queued */
	TAILQ_ENTRY(fair_item) entry;
};

/* Work in a queue or in part of it. */
struct fair_load {
	uint64_t tokens;
	size_t items;
};

typedef bool fair_fits_fn(const struct fair_item *, void *data);

struct fair *fair_new(void);
void fair_free(struct fair *);
void fair_push(struct fair *, const char *organisation, uint32_t weight,
    struct fair_item *);
void fair_remove(struct fair *, struct fair_item *);
struct fair_item *fair_pick(
    const struct fair *, fair_fits_fn *fits, void *data);
void fair_dequeue(struct fair *, struct fair_item *);
struct fair_item *fair_newest_of_largest(const struct fair *);
void fair_load_ahead(const struct fair *, const char *organisation,
    uint32_t weight, struct fair_load *);
uint64_t fair_cost(const struct fair *);
size_t fair_count(const struct fair *);

#endif
