#include "raw_gateway.h"

/*
 * Starts a gateway whose upstreams send these responses in order, and waits
 * until it knows them. To be freed: the server, then the fixture.
 */
struct raw_server *
raw_gateway_set_up(
    struct fixture *f, const struct raw_response *responses, size_t count)
{
	struct raw_server *server;

	fixture_set_up(f);
	server = raw_server_new(f->loop, responses, count);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    f->fake_platform, i, raw_server_port(server, i));
	fixture_wait_for_routing_state(f);
	return server;
}
