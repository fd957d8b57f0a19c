/*
 * The OpenAI-compatible bodies: reading completion and chat requests, and
 * writing whole answers and events of a stream.
 */
#ifndef CALLER_COMPLETION_H
#define CALLER_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Bytes of prompt that are counted as one token. */
#define PROMPT_BYTES_PER_TOKEN 4
/* The shortest prompt prefix that is hashed; the next is twice as long. */
#define PROMPT_PREFIX_MIN_BYTES 4096
/* Prefixes hashed at the most: 4096 x 2^15 bytes is past any prompt. */
#define PREFIXES_MAX	  16
#define OUTPUT_MAX_TOKENS 131072

/* A request as the caller gave it. */
struct completion {
	char *model;
	GBytes *prompt;
	uint64_t prompt_tokens;
	uint64_t output_tokens; /* 0 where the caller gave no limit */
	bool chat;
	bool stream;
	bool stream_usage;
	uint64_t prefixes[PREFIXES_MAX];
	size_t prefix_count;
};

/* What every event and answer of one request repeats. */
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
