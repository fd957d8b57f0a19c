"""Upstreams that name the rate of requests that they take from all gateways.

Checks that they get no more from the gateways that have been told. A gateway
that was paused or restarted counts again once it has been told again.
"""

import asyncio
import time

RATES = (0.3, 0.7, 1.0, 1.4, 2.0, 5.0)
NO_RATES = ("many", "-2", "nan", "1e999", "")
NO_RATE_SHARE = 0.2
SETTLE_S = 3.0  # after an upstream has begun to name a rate
TOLD_S = 0.5  # from a response with the rate until the gateway keeps it
WINDOW_S = 4.0
EXCESS, SLACK = 1.5, 5
LONGEST_S = 9.0
MISSING_SHARES = (0.0, 0.0, 0.3)  # of the responses, which don't name it


async def name_rate(soak):
    """Makes an upstream name a rate, perhaps another one after a while."""
    upstream = soak.random.choice(soak.upstreams)
    if upstream.rate is not None:
        return
    if soak.random.random() < NO_RATE_SHARE:
        upstream.rate = soak.random.choice(NO_RATES)
        await asyncio.sleep(soak.random.uniform(0.5, 2.0))
        upstream.rate = None
        return
    upstream.rate_missing_share = soak.random.choice(MISSING_SHARES)
    episode = []
    upstream.rate_episodes.append(episode)
    for _ in range(soak.random.choice((1, 1, 2))):
        upstream.rate = soak.random.choice(RATES)
        episode.append((time.time(), upstream.rate))
        await asyncio.sleep(soak.random.uniform(SETTLE_S, LONGEST_S))
    episode.append((time.time(), None))
    upstream.rate = None


def first_told(soak, upstream, since, until):
    """Returns when each incarnation of a gateway was told first."""
    told = {}
    for at, request_id in upstream.rate_notices:
        if since <= at < until and request_id in soak.sent:
            told.setdefault(soak.sent[request_id][1:], at)
    return told


def allowed_requests(episode, window_end):
    """Returns how many requests may arrive in the window that ends then."""
    rates = [rate for (_, rate), (end, _) in zip(episode, episode[1:])
             if end > window_end - WINDOW_S]
    return EXCESS * max(rates) * WINDOW_S + SLACK


def check(soak, upstream):
    """Checks all windows of all times in which an upstream named a rate."""
    for episode in upstream.rate_episodes:
        since, until = episode[0][0], episode[-1][0]
        told = first_told(soak, upstream, since, until)
        counted = [
            at for at, request_id in upstream.arrivals
            if since + SETTLE_S <= at < until and request_id in soak.sent
            and told.get(soak.sent[request_id][1:], until) + TOLD_S <= at]
        soak.rated_requests += sum(
            since + SETTLE_S <= at < until for at, _ in upstream.arrivals)
        soak.rated_allowance += sum(
            rate * max(0, end - max(start, since + SETTLE_S))
            for (start, rate), (end, _) in zip(episode, episode[1:]))
        for at in counted:
            window = [one for one in counted if at - WINDOW_S <= one <= at]
            if len(window) > allowed_requests(episode, at):
                soak.add_violation(
                    "more requests than the rate that an upstream names",
                    upstream=upstream.name, at=at, requests=len(window),
                    allowed=allowed_requests(episode, at), episode=episode)
                break
