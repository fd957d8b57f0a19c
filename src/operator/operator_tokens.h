/*
 * Bearer tokens of operators. The token file has one token per line, optionally
 * preceded by a name and a space or tab; the name identifies the caller in
 * logs. Only digests are kept in memory.
 */
#ifndef OPERATOR_OPERATOR_TOKENS_H
#define OPERATOR_OPERATOR_TOKENS_H

#include <glib.h>

struct operator_tokens;

struct operator_tokens *operator_tokens_new(const char *text);
void operator_tokens_free(struct operator_tokens *);
const char *operator_tokens_check(
    const struct operator_tokens *, const char *authorisation, GError **);

#endif
