#include "store/store.h"

G_DEFINE_QUARK(store_error, store_error)

/*
 * Starts a call. The callback runs from the event loop, never from within this
 * function. Values may have at most STORE_VALUE_MAX_BYTES.
 */
struct store_call *
store_start(struct store *store, const struct store_request *request,
    store_done_fn *done, void *data)
{
	return store->ops->start(store, request, done, data);
}

/* Cancels a call without a callback; the outcome of a write stays unknown. */
void
store_call_cancel(struct store *store, struct store_call *call)
{
	if (call != NULL)
		store->ops->cancel(store, call);
}

/* Frees a store; NULL is allowed. No call may be in progress. */
void
store_free(struct store *store)
{
	if (store != NULL)
		store->ops->free(store);
}
