"""Upstreams that fail most requests while gateways start and end.

Checks that no window has more arrivals beyond the first of each request than the
ratio of the requests and the slack, over all gateways.
"""

import asyncio
import bisect

RATIO, SLACK, WINDOW_S = 0.05, 40, 10.0
SETTINGS = (f"--retry-ratio={RATIO}", f"--retry-slack={SLACK}",
            f"--retry-window-s={WINDOW_S:.0f}")
FAILING = 0.8  # of the requests
SHORTEST_S, LONGEST_S = 3.0, 8.0


async def fail_upstreams(soak):
    """Makes all upstreams fail most requests for some time."""
    for upstream in soak.upstreams:
        upstream.faults["fail"] = FAILING
    await asyncio.sleep(soak.random.uniform(SHORTEST_S, LONGEST_S))
    for upstream in soak.upstreams:
        upstream.faults.pop("fail", None)


def count(times, since, until):
    """Returns how many of the sorted times lie in a span."""
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)


def check(soak):
    """Checks the windows that begin with a retry; returns the largest use."""
    sent = sorted(at for at, *_ in soak.sent.values())
    seen, retries = set(), []
    for at, request_id in sorted(
            one for upstream in soak.upstreams for one in upstream.arrivals):
        if request_id in seen:
            retries.append(at)
        seen.add(request_id)
    most = 0.0
    for at in retries:
        requests = max(count(sent, at - back, at - back + WINDOW_S)
                       for back in (0, WINDOW_S / 2, WINDOW_S))
        allowed = RATIO * requests + SLACK
        used = count(retries, at, at + WINDOW_S)
        most = max(most, used / allowed)
        if used > allowed:
            soak.add_violation("more retries than the budget", at=at,
                               retries=used, requests=requests,
                               allowed=allowed)
            break
    return round(most, 2)
