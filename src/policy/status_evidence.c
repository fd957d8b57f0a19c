#include "policy/status_evidence.h"

#define ERROR_MIN 300
#define ERROR_MAX 499

/* Returns whether a status is a redirection or blames the caller. */
static bool
is_callers_error(int status)
{
	return status >= ERROR_MIN && status <= ERROR_MAX;
}

/* Returns whether two upstreams of the route have agreed on this error. */
static bool
is_agreed(const struct status_evidence *evidence, int status)
{
	unsigned int bit = (unsigned int)(status - ERROR_MIN);

	return (evidence->agreed[bit / STATUS_EVIDENCE_WORD_BITS] >>
		       (bit % STATUS_EVIDENCE_WORD_BITS) &
		   1) != 0;
}

/*
 * Judges the status of a response. Earlier is the status of the request's
 * previous response, which was not believed; 0 for none. Another upstream may
 * be asked if the request may run once more.
 */
enum status_verdict
status_evidence_judge(const struct status_evidence *evidence, int status,
    enum reason_match reason, int earlier, bool may_ask)
{
	if (status == earlier || reason == REASON_FITS)
		return STATUS_BELIEVED;
	if (reason == REASON_CONTRADICTS)
		return may_ask ? STATUS_ASK_AGAIN : STATUS_NOT_BELIEVED;
	if (is_callers_error(status) && !is_agreed(evidence, status) && may_ask)
		return STATUS_ASK_AGAIN;
	return STATUS_BELIEVED;
}

/*
 * Records that two upstreams have responded with this status; only those from
 * 300 to 499 are kept.
 */
void
status_evidence_add(struct status_evidence *evidence, int status)
{
	unsigned int bit = (unsigned int)(status - ERROR_MIN);

	if (is_callers_error(status))
		evidence->agreed[bit / STATUS_EVIDENCE_WORD_BITS] |= UINT32_C(1)
		    << (bit % STATUS_EVIDENCE_WORD_BITS);
}
