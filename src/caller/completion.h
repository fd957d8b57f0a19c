/*
 * OpenAI-compatible bodies: parses completion and chat requests, and writes
 * responses and the events of a stream.
 */
#ifndef CALLER_COMPLETION_H
#define CALLER_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Estimated bytes of prompt per token. */
#define PROMPT_BYTES_PER_TOKEN 4
/* Length of the shortest prefix that is hashed; each next one is twice it. */
#define PROMPT_PREFIX_MIN_BYTES 4096
/* Maximum hashed prefixes: 4096 x 2^15 bytes is longer than any prompt. */
#define PREFIXES_MAX	  16
#define OUTPUT_MAX_TOKENS 131072

/* A parsed request. */
struct completion {
	char *model;
	GBytes *prompt;
	uint64_t prompt_tokens;
	uint64_t output_tokens; /* 0 if the caller gave no limit */
	bool chat;
	bool stream;
	bool stream_usage;
	uint64_t prefixes[PREFIXES_MAX];
	size_t prefix_count;
};

/* Members that each event and response of one request repeats. */
struct completion_metadata {
	const char *request;
	const char *model;
	bool chat;
	int64_t created_s;
};

struct completion_usage {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t cached_tokens;
};

struct completion *completion_parse(
    const uint8_t *, size_t, bool chat, GError **);
void completion_free(struct completion *);
uint64_t prompt_estimate_tokens(size_t bytes);
size_t prompt_hash_prefixes(
    const uint8_t *, size_t, uint64_t prefixes[PREFIXES_MAX]);

void completion_write_event(GString *, const struct completion_metadata *,
    const char *id, const char *text, size_t length);
void completion_write_end(GString *, const struct completion_metadata *,
    const char *id, const char *finish_reason, const struct completion_usage *);
void completion_write_response(GString *, const struct completion_metadata *,
    const char *text, size_t length, const char *finish_reason,
    const struct completion_usage *);

#endif
