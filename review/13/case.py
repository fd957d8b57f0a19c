"""A new version of the configuration moves a route to another service and has
no list of tenants any more. Checks that the version comes into force.

Exits with 1 if the rule CONFIG was broken, 0 if it held, 2 if the case could
not run. With TROUBLE=0 the version still has the tenants.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
sys.dont_write_bytecode = True

import standin3 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 3
CONFIG_S = 2.0  # ConfigMs
SETTLE_S = 5.0
AFTER_S = 20.0
PAUSE_S = 0.1


class Case:
    """The fleet, and what was run where."""

    def __init__(self, folder):
        self.fleet = s.Fleet(folder, GATEWAYS)
        self.record = self.fleet.record
        self.service = {}  # request id -> service that ran it
        self.sent = {}  # request id -> time
        self.statuses = {}

    async def act(self, worker, method, target, headers, body, writer):
        """Answers, and notes which service has run the request."""
        request_id = headers["heatherturn-attempt-id"]
        self.service[request_id] = worker.service
        writer.write(s.encode(200, "OK", worker.headers(request_id), b"ok"))
        return True

    def configuration(self, version, service):
        """Returns a configuration with one route, to this service."""
        return s.config(version, [s.route("stock", "/stock/", "idempotent",
                                          service)],
                        ["balcao", "balcao-2"], {"t-1": ["key-1"]})

    async def ask(self, number):
        """Makes one request, with the key that it always had."""
        request_id = f"stock-{number}"
        self.sent[request_id] = self.record.now()
        gateway = self.fleet.gateways[number % GATEWAYS]
        status, _, _, _ = await s.call(gateway.front, "GET", "/stock/1",
                                       s.request_headers(request_id))
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.add("answer", id=request_id, gateway=gateway.name,
                        status=status, service=self.service.get(request_id))

    async def send(self, seconds, number):
        """Sends requests for some seconds; returns the next one's number."""
        end = self.record.now() + seconds
        while self.record.now() < end:
            await self.ask(number)
            number += 1
            await asyncio.sleep(PAUSE_S)
        return number

    async def run(self):
        """Runs the case; returns the exit code."""
        for i in range(3):
            for service in ("balcao", "balcao-2"):
                worker = self.fleet.add_worker(f"i-{service}-{i}", service,
                                               zone=f"z-{'abc'[i]}")
                worker.act = self.act
        try:
            await self.fleet.start(self.configuration(7, "balcao"))
            number = await self.send(SETTLE_S, 0)
            newer = self.configuration(11, "balcao-2")
            if TROUBLE:
                del newer["Tenants"]
            self.fleet.store.put("config", "main", newer)
            acknowledged = self.record.now()
            self.record.add("configuration", version=11, service="balcao-2",
                            tenants="Tenants" in newer)
            await self.send(AFTER_S, number)
        finally:
            await self.fleet.stop()
        late = [one for one, at in self.sent.items()
                if at > acknowledged + CONFIG_S]
        old = [one for one in late if self.service.get(one) == "balcao"]
        self.record.add("sum", sent_late=len(late), by_old_service=len(old),
                        statuses=self.statuses)
        print(f"requests sent more than {CONFIG_S} s after the version: "
              f"{len(late)}, run by the old service: {len(old)}; statuses "
              f"{self.statuses}")
        return 1 if old else 0


if __name__ == "__main__":
    s.main(Case(HERE).run(), 60)
