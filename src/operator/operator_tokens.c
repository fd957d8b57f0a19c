#include "operator/operator_tokens.h"

#include <string.h>

#include <sodium.h>

#include "base/bearer.h"
#include "operator/rpc_error.h"

/* Name of the operator whose token has none. */
#define UNNAMED_OPERATOR "operator"

struct operator_token {
	char *name;
	unsigned char digest[crypto_hash_sha256_BYTES];
};

struct operator_tokens {
	GPtrArray *items; /* struct operator_token */
};

/* Frees one token. */
static void
free_token(void *data)
{
	struct operator_token *token = data;

	g_free(token->name);
	g_free(token);
}

/* Parses one line: TOKEN, or NAME TOKEN separated by spaces or tabs. */
static struct operator_token *
parse_line(const char *line)
{
	struct operator_token *token = g_new0(struct operator_token, 1);
	const char *space = strpbrk(line, " \t");
	const char *secret = line;

	if (space != NULL)
		secret = space + strspn(space, " \t");
	token->name = space == NULL ? g_strdup(UNNAMED_OPERATOR)
				    : g_strndup(line, (gsize)(space - line));
	crypto_hash_sha256(
	    token->digest, (const unsigned char *)secret, strlen(secret));
	return token;
}

/* Parses the contents of a token file; empty lines are skipped. */
struct operator_tokens *
operator_tokens_new(const char *text)
{
	struct operator_tokens *tokens = g_new0(struct operator_tokens, 1);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

	tokens->items = g_ptr_array_new_with_free_func(free_token);
	for (size_t i = 0; lines[i] != NULL; i++) {
		g_strstrip(lines[i]);
		if (lines[i][0] != '\0')
			g_ptr_array_add(tokens->items, parse_line(lines[i]));
	}
	return tokens;
}

/* Frees the tokens; NULL is allowed. */
void
operator_tokens_free(struct operator_tokens *tokens)
{
	if (tokens == NULL)
		return;
	g_ptr_array_unref(tokens->items);
	g_free(tokens);
}

/*
 * Returns the name of the operator whose token an Authorization header carries,
 * owned by the tokens; NULL with RPC_ERROR for a missing or unknown token. The
 * time does not depend on where a wrong token differs from a valid one.
 */
const char *
operator_tokens_check(const struct operator_tokens *tokens,
    const char *authorisation, GError **error)
{
	unsigned char given_digest[crypto_hash_sha256_BYTES];
	const char *given = bearer_token(authorisation);
	const char *name = NULL;

	if (given == NULL) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_NO_TOKEN,
		    "the request has no bearer token");
		return NULL;
	}
	crypto_hash_sha256(
	    given_digest, (const unsigned char *)given, strlen(given));
	for (guint i = 0; i < tokens->items->len; i++) {
		const struct operator_token *token = tokens->items->pdata[i];

		if (sodium_memcmp(
			given_digest, token->digest, sizeof(given_digest)) == 0)
			name = token->name;
	}
	if (name == NULL)
		g_set_error(error, RPC_ERROR, RPC_ERROR_WRONG_TOKEN,
		    "the operator token is not valid");
	return name;
}
