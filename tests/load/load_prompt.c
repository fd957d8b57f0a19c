/*
 * Prompts of heavy-tailed lengths, some with a shared prefix. All are cut from
 * one text; a marker after the shared prefix and one at the end of the prompt
 * make each unique.
 */
#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "load.h"

#define BYTES_PER_TOKEN 4
#define MARKER_BYTES	64
/* Bytes at a prompt's end that determine the engine's output text. */
#define DIGEST_BYTES 256

static char *base_text;
static size_t base_text_bytes;

/* Generates the text that all prompts are cut from. */
void
prompts_init(void)
{
	GRand *random = g_rand_new_with_seed(1);

	base_text_bytes = (size_t)load.settings.max_tokens * BYTES_PER_TOKEN;
	base_text_bytes = MAX(base_text_bytes, DIGEST_BYTES);
	base_text = g_malloc(base_text_bytes + 1);
	for (size_t i = 0; i < base_text_bytes; i++)
		base_text[i] = (char)(i % 6 == 5
			? ' '
			: g_rand_int_range(random, 'a', 'z' + 1));
	base_text[base_text_bytes] = '\0';
	g_rand_free(random);
}

/* Frees the text. */
void
prompts_free(void)
{
	g_free(base_text);
}

/* Draws a length in tokens: bounded Pareto between the two limits. */
int64_t
prompt_draw_tokens(void)
{
	const struct load_settings *settings = &load.settings;
	double min = (double)settings->min_tokens;
	double max = (double)settings->max_tokens;
	double share = g_rand_double(load.random);
	double truncated_share = 1. - pow(min / max, settings->tail);
	double tokens = min /
	    pow(1. - share * truncated_share, 1. / settings->tail);

	return (int64_t)CLAMP(tokens, min, max);
}

/* Overwrites a part of the prompt with a marker of fixed length. */
static void
write_marker(char *position, const char *kind, uint64_t number)
{
	char marker[MARKER_BYTES + 1];

	g_snprintf(marker, sizeof(marker), "%-10s%-53" G_GUINT64_FORMAT " ",
	    kind, number);
	memcpy(position, marker, MARKER_BYTES);
}

/* Makes a prompt, which the caller frees, and the digest of its end. */
char *
prompt_make(uint64_t number, int64_t tokens, uint32_t *digest)
{
	const struct load_settings *settings = &load.settings;
	size_t bytes = MAX(
	    (size_t)tokens * BYTES_PER_TOKEN, (size_t)DIGEST_BYTES);
	size_t own_start = 0;
	char *prompt = g_strndup(base_text, bytes);
	guint32 group = g_rand_int_range(
	    load.random, 0, MAX(settings->shared_count, 1));

	if (g_rand_double(load.random) < settings->shared_share) {
		write_marker(prompt, "shared", group);
		own_start = (size_t)((double)bytes * settings->shared_part);
		own_start = MIN(own_start, bytes - MARKER_BYTES);
		own_start = MAX(own_start, MARKER_BYTES);
	}
	write_marker(prompt + own_start, "own", number);
	write_marker(prompt + bytes - MARKER_BYTES, "end", number);
	*digest = XXH32(prompt + bytes - DIGEST_BYTES, DIGEST_BYTES, 0);
	return prompt;
}
