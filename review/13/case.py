"""A configuration splits a route of streams between two services, whose
workers number their events in different ways, both with increasing ids. Then a
gateway is stopped as planned. Checks that each stream around the stop is
complete.

Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case could not
run. With TROUBLE=0 there is no such configuration.
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
SPLIT_S = 12.0  # of the new configuration before the stop
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
        self.ran = {}  # request id -> service
        self.finished = set()  # ids whose worker has sent the last event

    async def act(self, worker, method, target, headers, body, writer):
        """Streams events; their ids count events, or tokens."""
        request_id = headers["heatherturn-attempt-id"]
        self.ran[request_id] = worker.service
        step = STRIDE if worker.service == "versos-2" else 1
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

    def configuration(self, version, split):
        """Returns a configuration, with the route split or not."""
        route = s.route("verse", "/verse/", "stream", "versos-1", Attempts=1)
        if split:
            del route["Service"]
            route["Split"] = [{"Service": "versos-1", "Weight": 90},
                              {"Service": "versos-2", "Weight": 10}]
        return s.config(version, [route], ["versos-1", "versos-2"],
                        {"t-1": ["key-1"]})

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
                            events=events, service=self.ran.get(request_id),
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
        for i in range(4):
            for service in ("versos-1", "versos-2"):
                worker = self.fleet.add_worker(
                    f"i-{service[-1]}{i}", service, zone=f"z-{'abc'[i % 3]}")
                worker.act = self.act
        try:
            await self.fleet.start(self.configuration(1, False))
            await asyncio.sleep(SETTLE_S)
            if TROUBLE:
                self.fleet.store.put("config", "main",
                                     self.configuration(4, True))
                self.record.add("configuration", version=4)
            gateway = self.fleet.gateways[0]
            end = self.record.now() + SPLIT_S + AROUND_S
            sending = asyncio.ensure_future(
                self.send(lambda: end, [gateway]))
            await asyncio.sleep(SPLIT_S)
            self.stopped_at = self.record.now()
            gateway.signal(signal.SIGTERM)
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
