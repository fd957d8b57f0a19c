/*
 * Statuses that are believed by their reason phrases and by two upstreams.
 * Guards against a status with a wrong digit that ends a request, and against a
 * second run for each error of a route.
 */
#include <stddef.h>

#include "cases.h"
#include "policy/status_evidence.h"

#define RESPONSES_MAX 6

/* A response of the request's route, and what becomes of it. */
struct response {
	int status; /* 0 ends the list */
	enum reason_match reason;
	bool may_ask;
	enum status_verdict verdict;
};

/* A response after one that is asked again for is the second upstream's. */
static const struct evidence_case {
	const char *name;
	struct response responses[RESPONSES_MAX];
} cases[] = {
    {"a fitting reason needs no second run",
	{{200, REASON_FITS, true, STATUS_BELIEVED},
	    {404, REASON_FITS, true, STATUS_BELIEVED},
	    {500, REASON_FITS, true, STATUS_BELIEVED}}},
    {"a contradiction is asked again for each time",
	{{404, REASON_CONTRADICTS, true, STATUS_ASK_AGAIN},
	    {404, REASON_CONTRADICTS, true, STATUS_BELIEVED},
	    {404, REASON_CONTRADICTS, true, STATUS_ASK_AGAIN},
	    {200, REASON_FITS, true, STATUS_BELIEVED}}},
    {"a contradiction is not believed where nobody may be asked",
	{{200, REASON_CONTRADICTS, false, STATUS_NOT_BELIEVED},
	    {400, REASON_CONTRADICTS, false, STATUS_NOT_BELIEVED},
	    {500, REASON_CONTRADICTS, false, STATUS_NOT_BELIEVED}}},
    {"an error that two upstreams agree on needs no more second runs",
	{{404, REASON_UNKNOWN, true, STATUS_ASK_AGAIN},
	    {404, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {404, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {400, REASON_UNKNOWN, true, STATUS_ASK_AGAIN}}},
    {"upstreams that differ agree on nothing",
	{{400, REASON_UNKNOWN, true, STATUS_ASK_AGAIN},
	    {404, REASON_UNKNOWN, true, STATUS_ASK_AGAIN},
	    {300, REASON_UNKNOWN, false, STATUS_BELIEVED},
	    {400, REASON_UNKNOWN, true, STATUS_ASK_AGAIN}}},
    {"the first and the last error are told apart",
	{{300, REASON_UNKNOWN, true, STATUS_ASK_AGAIN},
	    {300, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {499, REASON_UNKNOWN, true, STATUS_ASK_AGAIN},
	    {499, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {300, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {498, REASON_UNKNOWN, true, STATUS_ASK_AGAIN}}},
    {"a success or a failure needs no reason",
	{{200, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {299, REASON_UNKNOWN, true, STATUS_BELIEVED},
	    {500, REASON_UNKNOWN, true, STATUS_BELIEVED}}},
};

/* Judges the responses of a case in order. */
static void
test_case(gconstpointer data)
{
	const struct evidence_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct status_evidence evidence = {0};
	int earlier = 0;

	for (size_t i = 0; i < RESPONSES_MAX && c->responses[i].status != 0;
	     i++) {
		const struct response *response = &c->responses[i];
		enum status_verdict verdict = status_evidence_judge(&evidence,
		    response->status, response->reason, earlier,
		    response->may_ask);

		g_assert_cmpint(verdict, ==, response->verdict);
		if (response->status == earlier)
			status_evidence_add(&evidence, response->status);
		earlier = verdict == STATUS_ASK_AGAIN ? response->status : 0;
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/status_evidence", test_case);
	return g_test_run();
}
