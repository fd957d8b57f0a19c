#include "upstream/upstream.h"

G_DEFINE_QUARK(upstream_error, upstream_error)

/*
 * Sends the upstream a request. request is borrowed for this call, ops until
 * the end.
 */
struct upstream_call *
upstream_start(struct upstream *upstream,
    const struct upstream_request *request, const struct upstream_call_ops *ops,
    void *data)
{
	return upstream->ops->start(upstream, request, ops, data);
}

/* Pauses or resumes reading events; a few may still follow a pause. */
void
upstream_call_pause(struct upstream_call *call, bool on)
{
	call->upstream->ops->pause(call, on);
}

/*
 * Drops a call without further callbacks; at an engine the run goes on until it
 * is cancelled. Returns whether the upstream may have received it.
 */
bool
upstream_call_drop(struct upstream_call *call)
{
	return call->upstream->ops->drop(call);
}

/* Returns whether the dialect has runs and blocks that outlive a call. */
bool
upstream_has_runs(const struct upstream *upstream)
{
	return upstream->ops->list_runs != NULL;
}

/* Frees the upstream with all its calls; NULL is allowed. */
void
upstream_free(struct upstream *upstream)
{
	if (upstream != NULL)
		upstream->ops->free(upstream);
}
