"""Prompts that callers repeat while upstreams crash.

Sound prompts, the same few at all gateways, must go on being served, whatever
ends the upstreams that run them: one prompt that is the same each time and
crashes whatever runs it, a crashing part, a process that ends by itself, or a
failure domain that goes as a whole. The crashing prompt must stop arriving.
"""

import asyncio
import random
import time

import crashing_part
import platform_standin as standin

KEY = "k1"
SOUND_PROMPTS = 9
SOUND_CALLERS = 6
SOUND_PAUSE_S = (0.1, 0.3)
CRASHING_REQUEST = "dead0001:400"  # last part of the prompt, which none shares
CRASHING_PAUSE_S = (0.2, 3.0)
COPIES = (1, 4)  # of the crashing prompt, at different gateways at once
CRASHES_KNOWN = 3
RETRIES_MAX = 3
FAULTS = ("crashing_part", "crashing_request", "end_upstream", "end_domain")


class Repeated:
    """The repeated prompts of a soak."""

    def __init__(self, seed):
        self.random = random.Random(f"repeated {seed}")
        self.crashing, self.sound = set(), set()  # request ids
        self.crashes = []  # wall s, of upstreams that ran the crashing prompt

    def make_headers(self, request_id, last_part):
        """Returns the header lines of a prompt with this last part."""
        (self.crashing if last_part == CRASHING_REQUEST
         else self.sound).add(request_id)
        parts = [crashing_part.FIRST_PART, crashing_part.MIDDLE_PARTS[0],
                 last_part]
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        return (f"Heatherturn-Model: m\r\n"
                f"Heatherturn-Token-Count: {tokens},"
                f"{crashing_part.OUTPUT_TOKENS}\r\n"
                f"Heatherturn-Prompt-Prefix: {','.join(parts)}\r\n")


async def send(soak, gateway, last_part):
    """Sends one prompt, whose path, key and body are its last part's."""
    connection = await soak.connect(gateway)
    if connection is None:
        return
    path = f"/prompt/{last_part.partition(':')[0]}/{standin.EVENTS}"
    try:
        await asyncio.wait_for(soak.request(
            path, soak.repeated.random, gateway, *connection,
            lambda request_id: soak.repeated.make_headers(
                request_id, last_part), KEY), 12)
    except (standin.BrokenConnection, OSError, asyncio.TimeoutError):
        pass
    connection[1].transport.abort()


async def send_sound(soak):
    """Sends sound prompts, one after the other."""
    rng = soak.repeated.random
    while time.monotonic() < soak.end:
        await send(soak, rng.choice(soak.gateways),
                   f"50{rng.randrange(SOUND_PROMPTS):06}:200")
        await asyncio.sleep(rng.uniform(*SOUND_PAUSE_S))


async def send_crashing(soak):
    """Sends copies of the crashing prompt, to several gateways at once."""
    rng, active = soak.repeated.random, set()
    await asyncio.sleep(crashing_part.CALM_S)
    while time.monotonic() < soak.end:
        copies = min(rng.randint(*COPIES), len(soak.gateways))
        active |= {asyncio.ensure_future(send(soak, one, CRASHING_REQUEST))
                   for one in rng.sample(soak.gateways, copies)}
        await asyncio.sleep(rng.uniform(*CRASHING_PAUSE_S))
    await asyncio.gather(*active)


async def run(soak):
    """Runs all callers with repeated prompts until the end of the soak."""
    for number, upstream in enumerate(soak.upstreams):
        upstream.crashing_request = CRASHING_REQUEST
        upstream.crashes_early = soak.seed % 2 == 0
        upstream.crash_under_request = \
            lambda number=number: asyncio.ensure_future(end(soak, number, True))
    await asyncio.gather(
        *([send_crashing(soak)] if "crashing_request" in soak.crash_kinds
          else []),
        *(send_sound(soak) for _ in range(SOUND_CALLERS)))


def is_calm(soak):
    """Whether the soak is still to show how prompts begin without crashes."""
    return time.monotonic() < soak.end - soak.seconds + crashing_part.CALM_S


async def end(soak, number, under_request):
    """Ends an upstream's process, and starts it again."""
    if not soak.upstreams[number].crashed and under_request:
        soak.repeated.crashes.append(time.time())
    await crashing_part.end(soak, number, soak.repeated.random.random() < 0.4)


async def end_upstream(soak):
    """A random upstream ends by itself."""
    if is_calm(soak):
        return
    await end(soak, soak.random.randrange(len(soak.upstreams)), False)


async def end_domain(soak, domains):
    """All upstreams of a failure domain end at once."""
    if is_calm(soak):
        return
    domain = soak.random.randrange(domains)
    await asyncio.gather(*(
        end(soak, number, False) for number in range(len(soak.upstreams))
        if number % domains == domain))


def check(soak):
    """Checks what upstreams got, and whether sound prompts begin."""
    check_arrivals(soak)
    crashes = soak.crash_times
    if crashes:
        crashing_part.compare_sound(
            soak, "repeated sound prompts begin seldom", soak.repeated.sound,
            crashes[0], crashes[0])


def check_arrivals(soak):
    """Checks that the crashing prompt reaches almost no upstream any more."""
    crashes = soak.repeated.crashes
    if len(crashes) < CRASHES_KNOWN:
        return
    since = crashes[CRASHES_KNOWN - 1] + crashing_part.WINDOW_S
    late = [request_id for upstream in soak.upstreams
            for at, request_id in upstream.arrivals
            if at > since and request_id in soak.repeated.crashing
            and soak.sent[request_id][0] > since
            and soak.sent[request_id][1].was_undisturbed(
                at, at, crashing_part.WINDOW_S)]
    if len(late) > RETRIES_MAX:
        soak.add_violation("crashing request sent on", arrivals=len(late),
                           crashes=len(crashes), requests=late[:3])
