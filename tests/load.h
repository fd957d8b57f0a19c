/*
 * Generates a random load on one admission with a fake upstream behind it, in
 * virtual time, and checks that each job gets exactly one final event.
 */
#ifndef TESTS_LOAD_H
#define TESTS_LOAD_H

#include <glib.h>

#include "base/clock.h"
#include "fake_upstream.h"
#include "policy/admission.h"

#define LOAD_STEP_MS	       5
#define LOAD_DEADLINE_SLACK_MS 250
#define ORGANISATIONS	       8

/* Rates and weight of one organisation's requests. */
struct load_source {
	double short_requests_per_s;
	double long_requests_per_s;
	uint32_t weight;
};

struct load_job {
	uint64_t id;
	char request[REQUEST_ID_SIZE];
	uint32_t organisation;
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	struct timespec submitted;
	struct timespec deadline;
	bool suspect;
	bool started;
	int final_event_count;
};

struct load {
	struct clock_manual clock;
	struct fake_upstream fake;
	struct admission *admission;
	struct load_source sources[ORGANISATIONS];
	GRand *short_random; /* separate: not changed by long requests */
	GRand *long_random;
	GRand *fault_random;
	GHashTable *running_jobs; /* started and not ended, by id */
	GPtrArray *all_jobs;
	GArray *short_waits[ORGANISATIONS]; /* ms to first token, int64_t */
	GArray *long_waits[ORGANISATIONS];
	GArray *long_rejection_waits; /* ms to rejection, int64_t */
	uint64_t counter;
	uint32_t submitted[WORK_LONG + 1];
	uint32_t finished[WORK_LONG + 1];
	uint32_t rejected[WORK_LONG + 1];
	uint32_t cancelled[WORK_LONG + 1];
	uint64_t finished_tokens; /* prompts and output, in time */
	uint32_t starts;
	uint32_t releases;
};

struct load *load_new(const struct admission_limits *, uint32_t seed);
void load_free(struct load *);
void load_init_limits(struct admission_limits *);
struct load_job *load_submit(struct load *, uint32_t organisation,
    enum work_class, uint64_t prompt_tokens, bool suspect);
void load_run_actions(struct load *);
void load_step(struct load *);
void load_report_status(struct load *);
void load_crash_upstream(struct load *);
void load_submit_arrivals(struct load *);
void load_wait_until_done(struct load *);
int64_t load_percentile(GArray *, uint32_t percent);
struct timespec load_now(struct load *);

#endif
