/*
 * Open-loop load generator: shared declarations. Requests are sent when due,
 * whether or not earlier ones were answered, and each response is checked to be
 * complete, in order and the one to its own prompt.
 */
#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/http_client.h"

enum work {
	WORK_1K, /* prompts below 4,096 tokens */
	WORK_4K,
	WORK_16K,
	WORK_64K,
	WORK_256K,
	WORK_PLAIN_CALL,
	WORK_KINDS,
};

/* How a request ended. */
enum verdict {
	VERDICT_WHOLE, /* the right response, complete and in order */
	VERDICT_REFUSED, /* status 400 or above, before any text */
	VERDICT_CUT, /* error or disconnect after text */
	VERDICT_BROKEN, /* disconnect before any response */
	VERDICT_WRONG, /* text of another prompt, or out of order */
	VERDICT_NONE, /* no final response until the end of the run */
	VERDICTS,
};

struct load_settings {
	char **entries; /* base URLs */
	char **keys; /* API keys of organisations */
	double *key_weights; /* share of the load of each key */
	char *model;
	char *plain_call_path;
	double rate_per_s;
	int64_t count; /* 0 for no limit */
	double seconds; /* 0 for no limit */
	double plain_call_share;
	double duplicate_share; /* of plain calls that are sent twice */
	int64_t min_tokens;
	int64_t max_tokens;
	int64_t skip_from; /* drawn, not sent from this length on; 0: none */
	double tail; /* exponent of the Pareto distribution of lengths */
	double shared_share; /* of prompts with a shared prefix */
	int shared_count; /* number of shared prefixes */
	double shared_part; /* of a prompt that is shared prefix */
	int64_t output_tokens;
	int event_tokens; /* tokens per stream event of the engines */
	int64_t long_tokens;
	int64_t deadline_short_ms;
	int64_t deadline_long_ms;
	int64_t open_max_bytes; /* of bodies; above it, arrivals are skipped */
	gboolean balance;
	gboolean resume;
	gboolean lines;
	gboolean direct; /* entries are engines */
};

struct load {
	struct load_settings settings;
	struct ev_loop *loop;
	struct http_client *http;
	GRand *random;
	double started_s;
	uint64_t sent;
	uint64_t open;
	uint64_t left_out;
	int64_t open_bytes;
	bool arrivals_ended;
};

struct outcome {
	enum work work;
	enum verdict verdict;
	uint64_t number;
	unsigned organisation;
	int64_t tokens;
	int status;
	char outcome[24]; /* Heatherturn-Outcome header, if any */
	char code[48]; /* of the error */
	char id[48]; /* X-Request-Id */
	char key[64]; /* Idempotency-Key of a plain call */
	unsigned attempt; /* of a plain call: 1 for the duplicate */
	unsigned resumes;
	double start_s; /* since the start of the load */
	double first_ms; /* until the first text; below 0: none */
	double final_ms;
	int64_t deadline_ms;
	int64_t retry_after_s; /* below 0: none */
	int64_t cached_tokens;
	int64_t prompt_tokens; /* as counted by the response */
};

extern struct load load;

double load_now_s(void);
void load_request_ended(const struct outcome *);

/* load_prompt.c */
void prompts_init(void);
void prompts_free(void);
int64_t prompt_draw_tokens(void);
char *prompt_make(uint64_t number, int64_t tokens, uint32_t *digest);

/* load_ready.c */
void ready_init(void);
const char *load_pick_entry(uint64_t number);
void ready_free(void);

/* load_request.c */
void request_send(uint64_t number);
void requests_abandon(void);
bool load_should_try_next_entry(const struct http_result *, unsigned *tries);

/* load_plain_call.c */
void plain_call_send(uint64_t number);

/* load_report.c */
void report_init(void);
void report_add(const struct outcome *);
json_t *report_summary(void);
void report_free(void);
json_t *outcome_json(const struct outcome *);

#endif
