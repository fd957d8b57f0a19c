/*
 * Whether the status of an upstream's response is believed, by the reason
 * phrase beside it and by what another upstream responded.
 *
 * Load pattern: an upstream now and then sends a wrong byte in its status line.
 * With a wrong digit a success reads as an error that blames the caller, who
 * then does not repeat the request, or a failure reads as a success. The reason
 * phrase is still that of the right status. A phrase of the upstream's own, or
 * none, tells nothing: then a second upstream is asked where the request may
 * run twice, until two have agreed on that status for the route.
 */
#ifndef POLICY_STATUS_EVIDENCE_H
#define POLICY_STATUS_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* What a reason phrase says of the status before it. */
enum reason_match {
	REASON_UNKNOWN, /* no standard phrase */
	REASON_FITS, /* that of a status with the same first digit */
	REASON_CONTRADICTS,
};

enum status_verdict {
	STATUS_BELIEVED,
	STATUS_ASK_AGAIN, /* another upstream */
	STATUS_NOT_BELIEVED, /* and no other upstream may be asked */
};

#define STATUS_EVIDENCE_WORD_BITS 32
/* Statuses from 300 to 499, in bits. */
#define STATUS_EVIDENCE_WORDS 7

/*
 * The errors that two upstreams have agreed on, of a route. Zero-initialised:
 * none so far.
 */
struct status_evidence {
	uint32_t agreed[STATUS_EVIDENCE_WORDS];
};

enum status_verdict status_evidence_judge(const struct status_evidence *,
    int status, enum reason_match, int earlier, bool may_ask);
void status_evidence_add(struct status_evidence *, int status);

#endif
