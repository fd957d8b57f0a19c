/*
 * Selects the upstream for a request: which ones are candidates now, and which
 * of them is the best.
 */
#ifndef GATEWAY_EXCHANGE_SELECTION_H
#define GATEWAY_EXCHANGE_SELECTION_H

#include "gateway/exchange_internal.h"

/*
 * The candidates for a request; upstreams has the upstream of each. Those that
 * name a rate come last: they help with no prompt of another upstream.
 */
struct selection {
	struct balance_candidate *candidates;
	struct fleet_upstream **upstreams;
	size_t count;
	size_t rated; /* of these, that name a rate */
	size_t eligible; /* upstreams of the service that accept new requests */
	size_t deferred; /* of these, that take none for some time */
	int64_t deferred_ms; /* until the first of those takes one */
	double rate_per_s; /* sum of the rates that the eligible ones name */
};

/* Filters for upstreams, strictest first; each also applies those below it. */
enum selection_filter {
	SELECTION_RELIABLE, /* on the last retry, none that may reject */
	SELECTION_HEALTHY, /* none that failed recently */
	SELECTION_ANY, /* all that are eligible and not yet tried */
};

/* Why an upstream gets no request. */
enum exclusion {
	EXCLUDED_NOT,
	EXCLUDED_INELIGIBLE, /* it drains, has left or its domain is out */
	EXCLUDED_DEFERRED, /* it takes none for some time */
	EXCLUDED_TRIED, /* for this request */
	EXCLUDED_COLD, /* its rate while cold is used up */
	EXCLUDED_AVOIDED, /* it failed recently */
	EXCLUDED_MAY_REJECT, /* on the last retry */
	EXCLUSIONS,
};

/* What is to be done with a request now. */
enum exchange_decision {
	DECISION_SEND,
	DECISION_WAIT, /* plan it again soon */
	DECISION_REFUSE,
};

void selection_collect(
    struct exchange *, enum selection_filter, struct selection *);
void selection_clear(struct selection *);
enum exclusion selection_exclusion(
    const struct exchange *, struct fleet_upstream *, enum selection_filter);
enum exchange_decision exchange_decide(struct exchange *, struct selection *,
    enum selection_filter *, struct balance_plan *, enum balance_verdict *);
enum refusal exchange_refusal(
    const struct selection *, enum balance_verdict, const char **why);
bool selection_is_deferred(const struct selection *);
enum stream_class exchange_stream_class(const struct exchange *);
bool exchange_has_reliable_upstream(struct exchange *);
bool exchange_may_wait(
    const struct exchange *, enum balance_verdict, const struct balance_plan *);
enum balance_verdict selection_plan(
    struct exchange *, const struct selection *, struct balance_plan *);

void exchange_add_prefill(
    struct exchange *, const struct selection *, const struct balance_plan *);
uint64_t exchange_reserved_tokens(const struct balance_plan *);
void exchange_fill_saved(struct exchange *, struct selection *);
void exchange_begin_prompt(
    struct exchange *, const struct selection *, const struct balance_plan *);
void exchange_set_helpers(
    struct exchange *, const struct selection *, const struct balance_plan *);

#endif
