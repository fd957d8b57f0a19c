/*
 * An in-memory store on a given clock with random faults: responses lost after
 * the write took effect, writes that take effect after their caller timed out,
 * outages and rate limiting.
 */
#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

#include "base/clock.h"
#include "store/store.h"

struct fake_faults {
	int response_lost_percent; /* no response, effect at once */
	int effect_delayed_percent; /* no response, effect delayed */
	int request_lost_percent; /* no response, no effect */
	int unavailable_percent; /* STORE_ERROR_UNAVAILABLE, no effect */
	int rate_limited_percent; /* STORE_ERROR_RATE_LIMITED, no effect */
	int get_error; /* enum store_error of each get; 0 for none */
	int put_error; /* enum store_error of each put, no effect */
	int latency_max_ms;
	int effect_delay_max_ms;
};

struct store *fake_store_new(struct clock *, GRand *);
void fake_store_set_faults(struct store *, const struct fake_faults *);
void fake_store_run(struct store *);
uint64_t fake_store_put(struct store *, const char *key, const void *, size_t);
const GByteArray *fake_store_value(
    struct store *, const char *key, uint64_t *version);
unsigned int fake_store_call_count(const struct store *);

#endif
