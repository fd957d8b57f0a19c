#include "routing/service_ranks.h"

#include <glib.h>

#include "routing/routing_table.h"

/* Routes of a service that are alike as far as ranks go. */
struct kind {
	uint32_t rank;
	enum stream_class class;
	double gap_ms;
	size_t routes;
};

struct service_ranks {
	GHashTable *services; /* name -> GArray of struct kind */
	size_t organisations[PRECEDENCE_RANKS]; /* by their own rank */
};

/* Frees the kinds of a service. */
static void
kinds_free(void *data)
{
	g_array_unref(data);
}

/* Returns an empty set. */
struct service_ranks *
service_ranks_new(void)
{
	struct service_ranks *ranks = g_new0(struct service_ranks, 1);

	ranks->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, kinds_free);
	return ranks;
}

/* Frees the set; NULL is allowed. */
void
service_ranks_free(struct service_ranks *ranks)
{
	if (ranks == NULL)
		return;
	g_hash_table_unref(ranks->services);
	g_free(ranks);
}

/* Returns the index of a kind in an array; its length if it is not there. */
static guint
find_kind(const GArray *kinds, const struct kind *wanted)
{
	guint at;

	for (at = 0; at < kinds->len; at++) {
		const struct kind *kind = &g_array_index(
		    kinds, struct kind, at);

		if (kind->rank == wanted->rank &&
		    kind->class == wanted->class &&
		    kind->gap_ms == wanted->gap_ms)
			break;
	}
	return at;
}

/* Describes a route. */
static struct kind
describe(const struct route *route)
{
	return (struct kind){
	    .rank = route->priority,
	    .class = balance_stream_class((double)route->gap_target_ms),
	    .gap_ms = (double)route->gap_target_ms,
	};
}

/* Counts a route for each service that gets its requests. */
void
service_ranks_add_route(struct service_ranks *ranks, const struct route *route)
{
	const struct kind added = describe(route);

	for (size_t i = 0; i < route->share_count; i++) {
		const char *service = route->shares[i].service;
		GArray *kinds = g_hash_table_lookup(ranks->services, service);
		guint at;

		if (kinds == NULL) {
			kinds = g_array_new(FALSE, FALSE, sizeof(struct kind));
			g_hash_table_insert(
			    ranks->services, g_strdup(service), kinds);
		}
		at = find_kind(kinds, &added);
		if (at == kinds->len)
			g_array_append_val(kinds, added);
		g_array_index(kinds, struct kind, at).routes++;
	}
}

/* Removes a route that was added with the same members. */
void
service_ranks_remove_route(
    struct service_ranks *ranks, const struct route *route)
{
	const struct kind removed = describe(route);

	for (size_t i = 0; i < route->share_count; i++) {
		const char *service = route->shares[i].service;
		GArray *kinds = g_hash_table_lookup(ranks->services, service);
		guint at = kinds != NULL ? find_kind(kinds, &removed) : 0;

		if (kinds == NULL || at == kinds->len)
			continue;
		if (--g_array_index(kinds, struct kind, at).routes > 0)
			continue;
		g_array_remove_index_fast(kinds, at);
		if (kinds->len == 0)
			g_hash_table_remove(ranks->services, service);
	}
}

/* Counts an organisation that has a valid rank of its own. */
void
service_ranks_add_organisation(
    struct service_ranks *ranks, const struct organisation *organisation)
{
	if (organisation->has_priority &&
	    organisation->priority <= PRECEDENCE_RANK_MAX)
		ranks->organisations[organisation->priority]++;
}

/* Removes an organisation that was added with the same rank. */
void
service_ranks_remove_organisation(
    struct service_ranks *ranks, const struct organisation *organisation)
{
	if (organisation->has_priority &&
	    organisation->priority <= PRECEDENCE_RANK_MAX)
		ranks->organisations[organisation->priority]--;
}

/*
 * Adds a kind of routes to the summary of its service. An invalid rank counts
 * as the least urgent one.
 */
static void
add_class(struct precedence_ranks *out, const struct kind *kind)
{
	struct precedence_class *class = &out->classes[kind->class];
	uint32_t rank = MIN(kind->rank, out->least_urgent);

	class->rank = class->used ? MIN(class->rank, rank) : rank;
	if (kind->gap_ms > 0.0)
		class->gap_ms = class->gap_ms > 0.0
		    ? MIN(class->gap_ms, kind->gap_ms)
		    : kind->gap_ms;
	class->used = true;
}

/*
 * Returns the ranks of a service: those of its routes, and those that
 * organisations have of their own, since these go before the routes'.
 */
struct precedence_ranks
service_ranks_find(const struct service_ranks *ranks, const char *service)
{
	const GArray *kinds = g_hash_table_lookup(ranks->services, service);
	struct precedence_ranks out = {0};
	size_t count = 0;

	if (kinds == NULL)
		return out;
	for (guint i = 0; i < kinds->len; i++) {
		uint32_t rank = g_array_index(kinds, struct kind, i).rank;

		if (rank <= PRECEDENCE_RANK_MAX)
			out.used[rank] = true;
	}
	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++) {
		out.used[i] |= ranks->organisations[i] > 0;
		count += out.used[i];
		if (out.used[i])
			out.least_urgent = i;
	}
	out.has_ranks = count > 1;
	for (guint i = 0; i < kinds->len; i++)
		add_class(&out, &g_array_index(kinds, struct kind, i));
	return out;
}
