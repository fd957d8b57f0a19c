/*
 * Status queries: ask many processes for the configuration in force and their
 * state.
 */
#ifndef PEER_STATUS_QUERY_H
#define PEER_STATUS_QUERY_H

#include <ev.h>

#include "base/list.h"
#include "peer/mesh.h"

struct status_query;
TAILQ_HEAD(status_query_list, status_query);

void status_query_start(struct status_query_list *, struct mesh *,
    struct ev_loop *, const struct link_identity *,
    const char *const *addresses, size_t count, int64_t timeout_ms,
    mesh_status_fn *, void *data);
void status_query_handle_answer(
    struct status_query_list *, const struct message *answer);
void status_query_handle_lost_link(
    struct status_query_list *, const struct link *);
void status_query_cancel_all(struct status_query_list *);

#endif
