/*
 * Simulates a model engine in virtual time, for tests of policies. Runs of the
 * best priority are prefilled first and share the speed evenly; output is
 * generated at a fixed speed. Memory and overload are counted independently of
 * the admission.
 */
#ifndef TESTS_FAKE_UPSTREAM_H
#define TESTS_FAKE_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

struct fake_run {
	uint64_t id;
	uint32_t priority;
	uint64_t memory_tokens;
	double prefill_left; /* tokens */
	double output_left;
	bool first_token;
	TAILQ_ENTRY(fake_run) entry;
};

TAILQ_HEAD(fake_runs, fake_run);

struct fake_upstream {
	uint32_t slots;
	uint32_t cold_slots;
	uint64_t memory_tokens;
	double prefill_tokens_per_s;
	double output_tokens_per_s; /* per run */
	double cold_speed; /* factor on the speed while cold */
	bool ignore_priority;
	bool cold;
	int64_t cold_since_ms;
	int64_t now_ms;
	uint64_t start_count;
	uint32_t running;
	uint64_t used_tokens;
	uint64_t held_tokens; /* in exported blocks */
	uint32_t rejected; /* starts above its limit */
	uint32_t over_cold_limit; /* of these, known to be cold */
	uint32_t over_memory_limit;
	struct fake_runs runs;
};

struct fake_events {
	void (*first_token)(void *data, uint64_t id);
	void (*finished)(void *data, uint64_t id, bool lost);
};

void fake_upstream_init(struct fake_upstream *);
void fake_upstream_clear(struct fake_upstream *);
bool fake_upstream_start(struct fake_upstream *, uint64_t id, uint32_t priority,
    uint64_t prompt_tokens, uint64_t uncached_tokens, uint64_t output_tokens);
bool fake_upstream_cancel(struct fake_upstream *, uint64_t id);
void fake_upstream_set_cold(struct fake_upstream *);
void fake_upstream_set_warm(struct fake_upstream *);
void fake_upstream_crash(
    struct fake_upstream *, const struct fake_events *, void *data);
void fake_upstream_step(
    struct fake_upstream *, int64_t ms, const struct fake_events *, void *data);

#endif
