#include "store/store.h"

G_DEFINE_QUARK(store_error, store_error)

/*
 * Starts a call. The callback comes from the loop, never from this call; keys
 * are text without NUL, values at most STORE_VALUE_MAX_BYTES.
 */
struct store_call *
store_start(struct store *store, const struct store_request *request,
    store_done_fn *done, void *data)
{
	return store->ops->start(store, request, done, data);
}

/* Ends a call without a callback; what a write did stays unknown. */
void
store_cancel(struct store *store, struct store_call *call)
{
	if (call != NULL)
		store->ops->cancel(store, call);
}

/* Frees a store; NULL is allowed. No call may be under way. */
void
store_free(struct store *store)
{
	if (store != NULL)
		store->ops->free(store);
}
