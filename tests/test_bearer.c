/*
 * Tokens of Authorization headers. Guards against a proper token that is
 * rejected because of how its header is written.
 */
#include "base/bearer.h"
#include "cases.h"

static const struct bearer_case {
	const char *name;
	const char *authorization;
	const char *token;
} cases[] = {
    {"a token after one blank", "Bearer k1", "k1"},
    {"a token after several blanks", "Bearer   k1", "k1"},
    {"a scheme in other letters", "bEARER k1", "k1"},
    {"no header", NULL, NULL},
    {"another scheme", "Basic k1", NULL},
    {"a scheme that only begins alike", "Bearers k1", NULL},
    {"a scheme without a token", "Bearer", NULL},
    {"a scheme and a blank have an empty token", "Bearer ", ""},
};

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct bearer_case *c = &cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpstr(bearer_token(c->authorization), ==, c->token);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/bearer", test_case);
	return g_test_run();
}
