"""Rolling restarts, callers of stopping gateways, and a check of what is lost.

A request that a gateway has read is answered, with any status. Only its exit
may cut one, late in the grace time, and only if the request was sent early.
"""

import asyncio
import time

import platform_standin as standin

GRACE_S = 6.0
DRAIN_MS = 2025
LATE_S = GRACE_S * 3 / 8  # after SIGTERM, by the caller's clock
CUTS_FROM_S = GRACE_S * 5 / 6  # after SIGTERM
LOSS_SLACK_S = 0.2  # a connection that is closed sooner was not read from
EXIT_SEEN_S = 0.5  # after an exit, until its callers have seen it
CALLERS_PER_STOP = 8
STOPPING_PATHS = ("/long/", "/long/", "/stream/", "/again/", "/once/")


class CallerLeft(standin.BrokenConnection):
    """A caller has closed its connection before the end of a response."""


class Cuts:
    """Requests that ended without a complete answer, and when they did."""

    def __init__(self):
        self.ended = {}  # request id -> (wall s, whether a response had begun)
        self.cut_by_upstream = set()  # request ids
        self.path_faults = []  # [from, to] in wall s, of any upstream's path

    async def watch(self, request_id, answer, attempts):
        """Waits for the answer to a request; records an early end."""
        try:
            return await answer
        except CallerLeft:
            raise
        except (standin.BrokenConnection, OSError):
            begun = attempts[request_id][1] is not None
            self.ended[request_id] = (time.time(), begun)
            raise

    def has_path_fault(self, since, until):
        """Whether a path to an upstream was disturbed in this period."""
        return any(start < until and end > since
                   for start, end in self.path_faults)


async def call_stopping(soak, gateway, rng):
    """Sends requests to a stopping gateway until its process has exited.

    Opens each connection some time before the request.
    """
    process = gateway.process
    while process.returncode is None and time.monotonic() < soak.end:
        connection = await soak.connect(gateway)
        await asyncio.sleep(rng.uniform(0, LATE_S) if connection else 0.02)
        if connection is None:
            continue
        try:
            if (process.returncode is None and not connection[0].at_eof()
                    and time.monotonic() < soak.end):
                path = rng.choice(STOPPING_PATHS)
                await asyncio.wait_for(
                    soak.request(path, rng, gateway, *connection), 12)
        except (standin.BrokenConnection, OSError, asyncio.TimeoutError):
            pass
        connection[1].transport.abort()


async def roll(soak):
    """Restarts the gateways in turn, also while others or they still start."""
    active = set()
    order = list(soak.gateways)
    soak.random.shuffle(order)
    for gateway in order:
        if time.monotonic() > soak.end - 4:
            break
        active.add(asyncio.ensure_future(restart(soak, gateway)))
        await asyncio.sleep(soak.random.uniform(0.2, GRACE_S))
        if soak.random.random() < 0.5:
            soak.random.choice(soak.gateways).hang_up()
        if soak.random.random() < 0.5:
            await soak.change()
    await asyncio.gather(*active)


async def restart(soak, gateway):
    """Restarts a gateway; with some probability again while it starts.

    SIGTERM ends a process that does not listen yet: nothing can be lost then.
    """
    for again in (True, False):
        while not await gateway.is_listening():
            await asyncio.sleep(0.01)
        if not gateway.stopping:
            await soak.stop_gateway(gateway)
        if not again or soak.random.random() < 0.6:
            return


def find_stop(gateway, sent, ended):
    """Returns when the process of a request had SIGTERM; None if it had not."""
    for asked, gone in gateway.stops:
        if sent <= gone and asked <= ended <= gone + EXIT_SEEN_S:
            return asked
    return None


def check_answers(soak):
    """Checks that gateways, also stopping ones, answer what they have read."""
    arrived = {request_id for upstream in soak.upstreams
               for _, request_id in upstream.arrivals}
    for request_id, (ended, begun) in soak.cuts.ended.items():
        sent, gateway, _ = soak.sent[request_id]
        was_read = (begun or request_id in arrived
                    or ended > sent + LOSS_SLACK_S)
        if (not was_read or request_id in soak.cuts.cut_by_upstream
                or soak.cuts.has_path_fault(sent, ended)
                or not gateway.was_calm(sent, ended)):
            continue
        asked = find_stop(gateway, sent, ended)
        if asked is None:
            what = "request lost by a running gateway"
        elif sent > asked + LATE_S:
            what = "request taken late after a stop and cut"
        elif ended < asked + CUTS_FROM_S:
            what = "request cut early in a stop"
        else:
            continue
        soak.add_violation(
            what, request=request_id, gateway=gateway.number,
            path=soak.attempts[request_id][0],
            after_send_s=round(ended - sent, 3),
            sent_after_stop_s=asked and round(sent - asked, 3),
            cut_after_stop_s=asked and round(ended - asked, 3))
