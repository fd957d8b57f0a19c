/* A gateway whose upstreams send given bytes. */
#ifndef TESTS_RAW_GATEWAY_H
#define TESTS_RAW_GATEWAY_H

#include "gateway_fixture.h"
#include "raw_server.h"

struct raw_server *raw_gateway_set_up(
    struct fixture *, const struct raw_response *, size_t count);

#endif
