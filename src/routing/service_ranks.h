/*
 * Ranks that the routes of each service and the organisations have, kept up to
 * date route by route, so that a request finds them by one lookup.
 */
#ifndef ROUTING_SERVICE_RANKS_H
#define ROUTING_SERVICE_RANKS_H

#include "policy/precedence.h"

struct route;
struct organisation;
struct service_ranks;

struct service_ranks *service_ranks_new(void);
void service_ranks_free(struct service_ranks *);
void service_ranks_add_route(struct service_ranks *, const struct route *);
void service_ranks_remove_route(struct service_ranks *, const struct route *);
void service_ranks_add_organisation(
    struct service_ranks *, const struct organisation *);
void service_ranks_remove_organisation(
    struct service_ranks *, const struct organisation *);
struct precedence_ranks service_ranks_find(
    const struct service_ranks *, const char *service);

#endif
