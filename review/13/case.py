"""Two of five workers are replaced by a new version of their software, which
numbers the events of its streams in another way, also with increasing ids. A
gateway is stopped as planned meanwhile. Checks that each stream around the
stop is complete.

Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case could not
run. With TROUBLE=0 no worker is replaced.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
sys.dont_write_bytecode = True

import standin3 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 2
STRIDE = 51  # tokens that an event holds
EVENTS = 8
GAP_S = 0.1
SETTLE_S = 6.0
BEFORE_S = 5.0  # of traffic before the stop
DRAIN_S = 3.0  # a replaced worker goes on for DrainMs and a little longer
WORKERS = 5
REPLACED = 2  # of them: a share of 0.4
RATE_S = 0.05  # between requests
AROUND_S = 2.0  # for which requests are sent after the stop
GRACE_S = 8.0


class Case:
    """The fleet, and what clients saw."""

    def __init__(self, folder):
        self.fleet = s.Fleet(folder, GATEWAYS)
        self.record = self.fleet.record
        self.random = random.Random(13)
        self.stopped_at = None
        self.counts = {"before": [0, 0], "around": [0, 0]}  # complete, lost
        self.tasks = set()
        self.ran = {}  # request id -> worker
        self.finished = set()  # ids whose worker has sent the last event

    async def act(self, worker, method, target, headers, body, writer):
        """Streams events; their ids count events, or tokens."""
        request_id = headers["heatherturn-attempt-id"]
        self.ran[request_id] = worker.name
        step = STRIDE if worker.name.startswith("j-") else 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value
                   in worker.headers(request_id).items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(step, EVENTS * step + 1, step):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished.add(request_id)
        return True

    async def replace(self, number):
        """Starts a worker of the new version, and drains an old one."""
        worker = self.fleet.add_worker(f"j-{number}", "versos",
                                       zone=f"z-{'abc'[number % 3]}")
        worker.act = self.act
        await worker.start()
        self.fleet.store.put("servers", worker.name,
                             worker.spec(Version="v2"))
        old = self.fleet.workers[number]
        self.fleet.store.put("servers", old.name, old.spec("draining"))
        self.record.add("replace", old=old.name, new=worker.name)
        await asyncio.sleep(DRAIN_S)
        old.server.close()
        self.fleet.store.delete("servers", old.name)

    async def ask(self, request_id, gateway):
        """Makes one request and notes whether its answer is complete."""
        sent = self.record.now()
        try:
            status, _, body, whole = await s.call(
                gateway.front, "POST", "/verse/1",
                s.request_headers(request_id), request_id.encode())
        except (OSError, asyncio.TimeoutError):
            return
        ended = self.record.now()
        events = body.count(b"data: ")
        if not whole or (status == 200 and events < EVENTS):
            self.record.add("lost", id=request_id, status=status,
                            events=events, worker=self.ran.get(request_id),
                            took=f"{ended - sent:.2f}")
        elif status != 200:
            self.record.add("answer", id=request_id, status=status)
        if request_id not in self.ran:
            return
        around = gateway is self.fleet.gateways[0] and \
            self.stopped_at is not None and ended > self.stopped_at
        self.counts["around" if around else "before"][0 if whole else 1] += 1

    async def send(self, end, gateways):
        """Sends requests until a time."""
        number = 0
        while self.record.now() < end():
            number += 1
            task = asyncio.ensure_future(self.ask(
                f"{gateways[0].name}-{number}", self.random.choice(gateways)))
            self.tasks.add(task)
            await asyncio.sleep(RATE_S)

    async def run(self):
        """Runs the case; returns the exit code."""
        for i in range(WORKERS):
            worker = self.fleet.add_worker(f"i-{i}", "versos",
                                           zone=f"z-{'abc'[i % 3]}")
            worker.act = self.act
        try:
            await self.fleet.start(s.config(
                1, [s.route("verse", "/verse/", "stream", "versos",
                            Attempts=1)],
                ["versos"], {"t-1": ["key-1"]}))
            await asyncio.sleep(SETTLE_S)
            gateway = self.fleet.gateways[0]
            end = self.record.now() + BEFORE_S + AROUND_S
            sending = asyncio.ensure_future(
                self.send(lambda: end, [gateway]))
            await asyncio.sleep(BEFORE_S)
            self.stopped_at = self.record.now()
            gateway.signal(signal.SIGTERM)
            for number in range(REPLACED if TROUBLE else 0):
                self.tasks.add(asyncio.ensure_future(self.replace(number)))
            await sending
            await asyncio.gather(*self.tasks)
            await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        finally:
            await self.fleet.stop()
        if self.counts["around"][0] == 0:
            raise RuntimeError("no stream around the stop")
        self.record.add("sum", **self.counts)
        print("streams complete and lost: before the stop "
              f"{self.counts['before']}, around it {self.counts['around']}")
        return 1 if self.counts["around"][1] else 0


if __name__ == "__main__":
    s.main(Case(HERE).run(), 100)
