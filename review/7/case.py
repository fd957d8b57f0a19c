"""Sound requests that come again are refused after crashes of workers."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import fleet  # noqa: E402

WORKERS = 4
PROMPTS = 6  # different sound requests, which clients ask again and again
SOUND_PER_S = 14
BAD_PER_S = 1.5  # requests with the part that crashes workers
DOWN_S = 3.0  # from a worker's crash until it is back
CALM_S = 6.0  # before the first of them
TROUBLE_S = 24.0
FIRST_PART = "5c1e07a2:40"
BAD_PART = "bad0c0de"


class Case:
    """The requests of the case, and the crashes."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.random = random.Random(6)
        self.crashes = []
        self.sound, self.bad = [], []
        self.tasks = []

    async def crash(self, worker, request_id):
        """A worker crashes; it is back after some seconds, with a new id."""
        self.crashes.append(fleet.now())
        worker.reaches_store = False
        self.record.add(f"{worker.name} crashes when it begins to answer "
                        f"{request_id}")
        await worker.crash()
        asyncio.ensure_future(self.come_back(worker))

    async def come_back(self, worker):
        """Starts a crashed worker again."""
        old = worker.name
        lapse = asyncio.ensure_future(self.lapse(old))
        await asyncio.sleep(DOWN_S)
        worker.name = f"{old.split('.')[0]}.{len(self.crashes)}"
        worker.born = int(time.time() * 1000)
        await worker.listen()
        worker.reaches_store = True
        worker.beat()
        self.record.add(f"{worker.name} is back in place of {old}")
        await lapse

    async def lapse(self, name):
        """Removes the entry of a crashed worker after three beats."""
        await asyncio.sleep(3 * fleet.BEAT_S)
        self.deployment.store.delete("servers", name)

    def send(self, path, parts, body, kind):
        """Sends a request to a random gateway."""
        gateway = self.random.choice(self.deployment.gateways)
        extra = ("Heatherturn-Model: m\r\n"
                 "Heatherturn-Token-Count: 5000,1000\r\n"
                 f"Heatherturn-Prompt-Prefix: {parts}\r\n")

        async def ask():
            kind.append(await self.deployment.request(
                gateway, "POST", path, extra, body, 10000))

        self.tasks.append(asyncio.ensure_future(ask()))

    async def send_sound(self, until):
        """Sends sound requests: the same few, again and again."""
        while fleet.now() < until:
            one = self.random.randrange(PROMPTS)
            self.send("/verse/", f"{FIRST_PART},50{one:02}:4960",
                      b"a verse, number %d" % one, self.sound)
            await asyncio.sleep(1 / SOUND_PER_S)

    async def send_bad(self, until):
        """Sends requests with the crashing part, no two alike."""
        number = 0
        while fleet.now() < until:
            number += 1
            self.send("/verse/",
                      f"{FIRST_PART},{BAD_PART}:400,b{number:04}:4560",
                      b"a bad prompt, number %d" % number, self.bad)
            await asyncio.sleep(1 / BAD_PER_S)


async def run(folder, record, trouble):
    """Runs the case; returns how the rule was broken."""
    deployment = fleet.Fleet(folder, record, 3)
    case = Case(deployment, record)
    deployment.workers = [
        fleet.ModelWorker(record, deployment.store, f"w{i}",
                          zone="ab"[i % 2]) for i in range(WORKERS)]
    for worker in deployment.workers:
        worker.on_crash = case.crash
        worker.crashing_part = BAD_PART
    try:
        await deployment.start(fleet.make_config(
            [("/verse/", "stream", "versos",
              {"TimeoutMs": 10000, "GapTargetMs": 250, "Sticky": True,
               "CanResume": True})], [fleet.MODEL]))
        await asyncio.sleep(2)
        begin = fleet.now() + CALM_S
        end = begin + TROUBLE_S
        load = [asyncio.ensure_future(case.send_sound(end))]
        await asyncio.sleep(CALM_S)
        if trouble:
            load.append(asyncio.ensure_future(case.send_bad(end)))
        await asyncio.gather(*load)
        await asyncio.gather(*case.tasks)
    finally:
        await deployment.stop()
    return check(case, begin, end)


def check(case, begin, end):
    """Compares how often sound requests begin, before and afterwards."""
    began = {one for worker in case.deployment.workers
             for one in worker.runs}
    crashes = case.crashes[:5]
    since = max(crashes, default=begin) + 2 * fleet.STABILITY_S
    before = [one for one in case.sound if one.sent < begin - 1]
    after = [one for one in case.sound if since <= one.sent < end]
    if len(before) < 20 or len(after) < 20:
        raise fleet.Blocked("fewer than 20 sound requests to compare")
    share = [sum(one.request_id in began for one in some) / len(some)
             for some in (before, after)]
    refused = [one for one in after if one.status == 503]
    text = (f"of {len(before)} sound requests before, {share[0]:.0%} began at "
            f"the first attempt; of {len(after)} from {since:.3f} on, "
            f"{share[1]:.0%}; {len(refused)} of these were refused with 503; "
            f"crashes: {len(case.crashes)}")
    case.record.add(text)
    return [text] if share[1] < share[0] / 2 else []


fleet.main(7, FOLDER, run)
