"""Prompts that share a part which crashes each upstream that begins to answer.

Sound prompts share their key, first part and other parts with them. Gateways
must stop sending the part to upstreams, and go on with the sound ones.
"""

import asyncio
import random
import time

import platform_standin as standin

FIRST_PART = "5c1e07a2:800"
MIDDLE_PARTS = ("91bd3f06:410", "a07be155:300", "0f6d2c31:520")
CRASHING_PART = "c4a5b9ed:350"
OUTPUT_TOKENS = 80
ENGINE = {"Slots": 16, "KvTokens": 315000, "read_per_s": 177000,
          "pairs_per_m": 0.184}
SOUND_CALLERS = 6
SOUND_PAUSE_S = 0.2
CALM_S = 6.0  # with sound prompts only, at the beginning
CRASHING_GAP_S = (0.1, 0.5)  # between two crashing prompts
DOWN_S = (1.0, 3.0)
EXPIRY_S = 1.5  # of the store's entry of an upstream that is gone
CRASHES_KNOWN = 5
WINDOW_S = 3.0
ARRIVALS_MAX = 3
SAMPLES_MIN = 20


class Prompts:
    """The prompts of a soak and the crashes under them."""

    def __init__(self, seed):
        self.random = random.Random(f"prompts {seed}")
        self.crashing, self.sound = set(), set()  # request ids
        self.crashes = []  # wall s
        self.first_crashing = None  # wall s at which the first was sent

    def counts(self):
        """Returns the counts that a soak prints."""
        return {"crashes": len(self.crashes), "crashing": len(self.crashing),
                "sound": len(self.sound)}

    def make_headers(self, request_id, crashes):
        """Returns the header lines of a new prompt, no two of them alike."""
        (self.crashing if crashes else self.sound).add(request_id)
        parts = [FIRST_PART, self.random.choice(MIDDLE_PARTS)]
        if crashes:
            parts.insert(self.random.randint(1, 2), CRASHING_PART)
        parts.append(f"{self.random.getrandbits(32):08x}:"
                     f"{self.random.randint(100, 300)}")
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        return (f"Heatherturn-Model: m\r\n"
                f"Heatherturn-Token-Count: {tokens},{OUTPUT_TOKENS}\r\n"
                f"Heatherturn-Prompt-Prefix: {','.join(parts)}\r\n")


async def send(soak, crashes):
    """Sends one prompt to any gateway, on a connection of its own."""
    gateway = soak.prompts.random.choice(soak.gateways)
    connection = await soak.connect(gateway)
    if connection is None:
        return
    try:
        await asyncio.wait_for(soak.request(
            "/prompt/", soak.prompts.random, gateway, *connection,
            lambda request_id: soak.prompts.make_headers(
                request_id, crashes)), 12)
    except (standin.BrokenConnection, OSError, asyncio.TimeoutError):
        pass
    connection[1].transport.abort()


async def send_sound(soak):
    """Sends sound prompts, one after the other."""
    while time.monotonic() < soak.end:
        await send(soak, False)
        await asyncio.sleep(SOUND_PAUSE_S)


async def send_crashing(soak):
    """Sends crashing prompts from some second on, without waiting for them."""
    active = set()
    await asyncio.sleep(CALM_S)
    soak.prompts.first_crashing = time.time()
    while time.monotonic() < soak.end:
        active.add(asyncio.ensure_future(send(soak, True)))
        await asyncio.sleep(soak.prompts.random.uniform(*CRASHING_GAP_S))
    await asyncio.gather(*active)


async def run(soak):
    """Runs all callers with prompts until the end of the soak."""
    for number, upstream in enumerate(soak.upstreams):
        upstream.crashing_part = CRASHING_PART
        upstream.crash = lambda number=number: asyncio.ensure_future(
            crash(soak, number))
    await asyncio.gather(
        send_crashing(soak), *(send_sound(soak) for _ in range(SOUND_CALLERS)))


async def crash(soak, number):
    """Ends an upstream's process under a crashing prompt."""
    if not soak.upstreams[number].crashed:
        soak.prompts.crashes.append(time.time())
    await end(soak, number, False)


async def end(soak, number, keeps_id):
    """Ends an upstream's process, and starts it again, under another id or not.
    """
    upstream, proxy = soak.upstreams[number], soak.proxies[number]
    if upstream.crashed:
        return
    upstream.crashed = True
    soak.crash_times.append(time.time())
    with soak.path_fault():
        proxy.server.close()
        proxy.reset()
        expiry = asyncio.ensure_future(expire(soak, upstream))
        await asyncio.sleep(soak.random.uniform(*DOWN_S))
        if not keeps_id:
            upstream.name = f"i-{number}-{len(soak.crash_times)}"
        upstream.born = int(time.time() * 1000)
        upstream.crashed = False
        await proxy.start()
    await soak.publish_upstream(number, "ready")
    await expiry


async def expire(soak, upstream):
    """Removes the entry of a process that is gone, once it has lapsed."""
    name, born = upstream.name, upstream.born
    await asyncio.sleep(EXPIRY_S)
    if (upstream.name, upstream.born) == (name, born) or upstream.name != name:
        await soak.write("servers", name, None)


def check(soak):
    """Checks what upstreams got, and whether sound prompts begin."""
    crashes = soak.prompts.crashes
    if not crashes:
        return
    known = crashes[:CRASHES_KNOWN][-1]
    if len(crashes) >= CRASHES_KNOWN:
        check_arrivals(soak, known + WINDOW_S)
    compare_sound(soak, "sound prompts begin seldom", soak.prompts.sound,
                  soak.prompts.first_crashing, known + 2 * WINDOW_S)


def check_arrivals(soak, since):
    """Checks that the crashing part reaches almost no upstream any more."""
    late = [request_id for upstream in soak.upstreams
            for at, request_id in upstream.arrivals
            if at > since and request_id in soak.prompts.crashing
            and soak.sent[request_id][0] > since
            and soak.sent[request_id][1].was_undisturbed(at, at, WINDOW_S)]
    if len(late) > ARRIVALS_MAX:
        soak.add_violation("crashing part sent on", arrivals=len(late),
                           crashes=len(soak.prompts.crashes),
                           requests=late[:3])


def compare_sound(soak, what, requests, until, since):
    """Checks that prompts begin half as often since then as until then."""
    before, after = [], []
    for request_id in requests:
        sent, gateway, _ = soak.sent[request_id]
        if (soak.attempts[request_id][1] == 401  # a revoked key
                or not gateway.was_undisturbed(sent, sent, WINDOW_S)):
            continue
        if sent < until:
            before.append(request_id in soak.begun)
        elif sent > since:
            after.append(request_id in soak.begun)
    if len(before) < SAMPLES_MIN or len(after) < SAMPLES_MIN:
        return
    shares = [sum(one) / len(one) for one in (before, after)]
    soak.begin_shares[what] = [round(one, 2) for one in shares]
    if shares[1] < shares[0] / 2:
        soak.add_violation(what, before=round(shares[0], 2),
                           after=round(shares[1], 2), requests=len(after))
