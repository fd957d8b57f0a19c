/*
 * A weighted fair queue by organisation, charged in tokens that have to be
 * computed. Each organisation has a virtual time that rises with what it is
 * charged over its weight; the one that is furthest behind is served next. An
 * organisation that was away starts at the present virtual time, so it neither
 * saves up a claim nor is slowed by what others queued.
 */
#ifndef POLICY_FAIR_H
#define POLICY_FAIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

struct fair;
struct fair_share;

/* Made a member of what is queued. */
struct fair_item {
	uint64_t cost; /* tokens to be computed */
	struct fair_share *share; /* its organisation's, while queued */
	TAILQ_ENTRY(fair_item) entry;
};

/* Work in a queue, or in a part of it. */
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
