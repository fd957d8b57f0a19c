#include "policy/retry_share.h"

#include <glib.h>

#include "base/clock.h"

#define PERCENT 100

/*
 * Sets the numbers of a view from what this process knows and the peers have
 * reported.
 */
void
retry_view_count(struct retry_view *view, uint32_t own_known,
    const struct retry_peer *peers, size_t count)
{
	view->known = MAX(own_known, (uint32_t)count + 1);
	view->live = (uint32_t)count + 1;
	view->has_holder = false;
	for (size_t i = 0; i < count; i++) {
		view->known = MAX(view->known, peers[i].known);
		view->has_holder |= peers[i].holds;
	}
	view->agreeing = 1;
	for (size_t i = 0; i < count; i++)
		view->agreeing += peers[i].known >= view->known;
}

/* Returns whether a number of processes is a quorum of the known ones. */
static bool
is_quorum(const struct retry_view *view, uint32_t number)
{
	return number * PERCENT > view->known * RETRY_SHARE_QUORUM_PERCENT;
}

/* Returns whether this process may begin to hold a share. */
static bool
may_begin(struct retry_share *share, const struct retry_view *view,
    struct timespec now)
{
	if (!is_quorum(view, view->agreeing) ||
	    !(view->is_settled || view->has_holder)) {
		share->agreed_since = (struct timespec){0};
		return false;
	}
	if (!time_is_set(share->agreed_since) || share->known != view->known)
		share->agreed_since = now;
	/* By then the reports from before the agreement have lapsed. */
	return time_diff_ms(now, share->agreed_since) >= view->lapse_ms;
}

/*
 * Returns the share that this process has now, from 0 for none to 1 for all. A
 * share that is held follows the number of processes at once and ends as soon
 * as less than a quorum report.
 */
double
retry_share_update(struct retry_share *share, const struct retry_view *view,
    struct timespec now)
{
	if (share->holds)
		share->holds = is_quorum(view, view->live);
	else
		share->holds = may_begin(share, view, now);
	if (share->holds)
		share->agreed_since = (struct timespec){0};
	share->known = view->known;
	return share->holds ? 1.0 / view->known : 0.0;
}
