"""Proper requests that get a status below 500 as if they were wrong.

Upstreams answer with errors of their own and with ones that they did not mean:
without a seal, or with a wrong digit in the status. Keys are given back or
added, and a route comes and goes. Checks each status from 300 to 499: it is an
upstream's own, with its seal, or the configuration does not allow the request.
"""

import asyncio
import math
import time
import zlib

PATH = "/added/"  # of the route that comes and goes
STATUSES = (300, 301, 302, 304, 307, 308, 400, 401, 403, 404, 405, 406, 409,
            410, 412, 413, 414, 415, 422, 425, 431)
OWN_ERRORS = ((404, "Not Found"), (409, "Conflict"), (422, "Unprocessable"))
UNSEALED, WRONG_DIGIT, OWN = "unsealed", "wrong digit", "own"
# Both headers with blanks that are no part of their values.
HEADERS = ("Host: h\r\nAuthorization: Bearer {key}\r\n",
           "Host: h \r\nAuthorization: Bearer {key}\r\n",
           "Host:\th\r\nAuthorization:  Bearer {key} \r\n",
           "Host: H:80\t\r\nAuthorization: bearer  {key}\r\n")


def request_headers(request_id, key):
    """Returns a request's host and key, written in one of several ways."""
    return HEADERS[zlib.crc32(request_id.encode()) % len(HEADERS)].format(
        key=key)


def draw_error(upstream, request_id, seal):
    """Draws an upstream's error: its status, its reason and its headers."""
    kind = upstream.random.choice((UNSEALED, WRONG_DIGIT, OWN))
    if kind == OWN:
        status, reason = upstream.random.choice(OWN_ERRORS)
        upstream.own_errors.add((request_id, status))
        return status, reason, seal
    status = upstream.random.choice(STATUSES)
    if kind == WRONG_DIGIT:
        return status, "OK", seal
    return status, None, {"Heatherturn-Attempt-Id": request_id}


async def give_errors(soak):
    """Makes one upstream answer some requests with errors."""
    upstream = soak.random.choice(soak.upstreams)
    if any("error" in one.faults for one in soak.upstreams):
        return
    upstream.faults["error"] = soak.random.uniform(0.05, 0.5)
    await asyncio.sleep(soak.random.uniform(1.0, 4.0))
    upstream.faults.pop("error")


async def grant(soak):
    """Gives a revoked key back, adds a key, or adds or removes the route."""
    kind = soak.random.choice(("key", "route"))
    if kind == "route":
        soak.route_added = None if soak.route_added else math.inf
        await soak.change()
        if soak.route_added:
            soak.route_added = time.time()
        return
    key = (soak.revoked and soak.random.choice(list(soak.revoked))
           or f"k{len(soak.keys) + len(soak.granted) + 10}")
    soak.revoked.pop(key, None)
    for gateway in soak.gateways:
        gateway.rejected_keys.pop(key, None)
    soak.granted[key] = math.inf
    soak.keys.append(key)
    await soak.change()
    soak.granted[key] = time.time()


def is_known(soak, gateway, since, sent):
    """Whether a gateway has to know what was added then, -inf for ever."""
    return since == -math.inf or (
        sent > since + soak.propagation_s
        and gateway.was_undisturbed(since, sent))


def check_status(soak, request_id, key, sent, headers):
    """Checks that a status from 300 to 499 has a reason."""
    path, status, gateway = soak.attempts[request_id]
    if not 300 <= status < 500:
        return
    own = any((request_id, status) in one.own_errors
              for one in soak.upstreams)
    if own and "heatherturn-server-seal" in headers:
        return
    if status == 401 and (key not in soak.keys or not is_known(
            soak, gateway, soak.granted.get(key, -math.inf), sent)):
        return
    if status == 404 and path == PATH and (
            not soak.route_added
            or not is_known(soak, gateway, soak.route_added, sent)):
        return
    soak.add_violation("proper request rejected", request=request_id,
                       status=status)
