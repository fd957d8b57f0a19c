#include "peer_gateway.h"

/* Starts a gateway. */
void
peer_gateway_start(struct peer_gateway *gateway, struct ev_loop *loop,
    const struct fake_platform *platform,
    const struct load_sync_settings *settings)
{
	const struct mesh_settings mesh = {
	    .identity = &gateway->identity, .listen = "127.0.0.1:0"};
	struct load_sync_settings own = *settings;

	gateway->identity = (struct link_identity){.process = settings->self,
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .cluster_key = "secret"};
	clock_manual_init(&gateway->clock, 1000);
	gateway->http = http_client_new(loop, NULL);
	gateway->mesh = mesh_new(loop, clock_system(), &mesh, NULL);
	g_assert_nonnull(gateway->mesh);
	gateway->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(gateway->mesh));
	gateway->identity.address = gateway->address;
	own.address = gateway->address;
	gateway->documents = documents_new(
	    loop, clock_system(), gateway->mesh, &gateway->identity);
	gateway->store = object_store_new(gateway->http, clock_system(),
	    fake_platform_store_address(platform), NULL);
	gateway->routing_state = routing_state_new(loop, clock_system(),
	    gateway->store, gateway->documents, !settings->has_seeds);
	gateway->registry = registry_new(
	    loop, gateway->store, gateway->mesh, &gateway->identity);
	gateway->load_sync = load_sync_new(loop, &gateway->clock.clock,
	    gateway->mesh, &own, gateway->registry, gateway->routing_state);
}

/* Stops a gateway. */
void
peer_gateway_stop(struct peer_gateway *gateway)
{
	load_sync_free(gateway->load_sync);
	registry_free(gateway->registry);
	routing_state_free(gateway->routing_state);
	object_store_free(gateway->store);
	documents_free(gateway->documents);
	mesh_free(gateway->mesh);
	http_client_free(gateway->http);
	g_free(gateway->address);
}
