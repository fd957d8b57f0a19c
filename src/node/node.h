/*
 * A node is one process of a deployment: an entry, a gateway or a sidecar. This
 * is what each has, whatever its role: its identity, the mesh of peer
 * links, the shared documents, the connection to the platform, and the
 * monitoring endpoints.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/exit_code.h"
#include "base/http_client.h"
#include "base/httpd.h"
#include "base/settings.h"
#include "peer/documents.h"
#include "peer/link.h"
#include "peer/mesh.h"
#include "store/hosts.h"
#include "store/store.h"

struct node;

/* Callbacks of the process; reload and serve may be NULL. */
struct node_ops {
	bool (*ready)(void *data);
	/* On SIGHUP: reload certificates; open connections are kept. */
	void (*reload)(void *data);
	/* Responds to a request on --http; false if the path is not known. */
	bool (*serve)(void *data, struct httpd_request *);
};

void node_block_signals(void);
struct node *node_new(struct ev_loop *, struct clock *, const struct settings *,
    const struct node_ops *, void *data, GError **);
void node_free(struct node *);
struct mesh *node_mesh(const struct node *);
struct documents *node_documents(const struct node *);
struct http_client *node_http_client(const struct node *);
struct store *node_store(const struct node *);
struct hosts *node_hosts(const struct node *);
struct link_identity *node_identity(struct node *);
void node_start_draining(struct node *);
void node_run(struct node *, struct ev_loop *, void (*stop)(void *data));
enum exit_code node_exit_code(const GError *);

#endif
