"""Some model workers say that they are well and hang. Prompts that need the
memory of several workers are sent. Checks how long memory stays set aside that
no request uses.

Exits with 1 if the rule STUCK was broken, 0 if it held, 2 if the case could not
run. With TROUBLE=0 no worker hangs.
"""

import asyncio
import json
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
sys.dont_write_bytecode = True

import standin3 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The deployment lavallee-appels-grown, with fewer machines.
s.BOUNDS.update({"ConfigMs": 3000, "BudgetSlack": 138})
IDLE_MAX_S = 9.0
KV_TOKENS = 197200
PROMPT_TOKENS = 300000  # at most 600,000
DEADLINE_MS = 15000
WORKERS = 7
HANGING = 1  # of them: a share of 0.15
GATEWAYS = 2
SETTLE_S = 6.0
REQUESTS = 65
PAUSE_S = 0.1
HANG_S = 6.5


class Engine(s.Worker):
    """A model worker with memory that can be set aside."""

    engines = {}  # address -> engine

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.hangs = False
        self.tickets = {}  # id -> [since, until, used]
        self.stuck = []  # (id, seconds)
        self.longest = 0.0
        self.engines[self.address] = self

    def end_ticket(self, ticket, at):
        """Notes how long memory was set aside that nothing has used."""
        since, _, used = self.tickets.pop(ticket)
        idle = 0.0 if used else at - since
        self.longest = max(self.longest, idle)
        self.record.add("free", worker=self.name, ticket=ticket, used=used,
                        held=f"{at - since:.2f}")
        if idle > IDLE_MAX_S:
            self.stuck.append((ticket, round(idle, 2)))

    def expire(self):
        """Ends the reservations whose time is over."""
        now = self.record.now()
        for ticket in [one for one, state in self.tickets.items()
                       if state[1] <= now]:
            self.end_ticket(ticket, self.tickets[ticket][1])

    def order(self, order):
        """Carries out an order; returns the status."""
        self.expire()
        now = self.record.now()
        ticket = order["Id"]
        if order["Op"] == "release":
            if ticket in self.tickets:
                self.end_ticket(ticket, now)
            return 200
        if ticket in self.tickets:
            self.tickets[ticket][1] = now + order["HoldMs"] / 1e3
            return 200
        self.tickets[ticket] = [now, now + order["HoldMs"] / 1e3, False]
        self.record.add("set-aside", worker=self.name, ticket=ticket,
                        tokens=order["Tokens"])
        return 200

    async def handle(self, method, target, headers, body, writer):
        if target == "/order":
            status = self.order(json.loads(body))
            writer.write(s.encode(status, "OK", {
                "Content-Type": "application/json"}, b'{"Free":100000}'))
            return True
        return await super().handle(method, target, headers, body, writer)


class Case:
    """The fleet, and what clients saw."""

    def __init__(self, folder):
        self.fleet = s.Fleet(folder, GATEWAYS)
        self.record = self.fleet.record
        self.answers = {}

    async def act(self, worker, method, target, headers, body, writer):
        """Answers with a stream, or hangs."""
        request_id = headers["heatherturn-attempt-id"]
        helpers = headers.get("heatherturn-helpers", "")
        if worker.hangs:
            self.record.add("hang", worker=worker.name, id=request_id,
                            helpers=helpers.count(","))
            await asyncio.sleep(DEADLINE_MS / 1e3)
            return False
        for helper in helpers.split(","):
            address, _, ticket = helper.strip().partition("/")
            if ticket in Engine.engines.get(address, worker).tickets:
                Engine.engines[address].tickets[ticket][2] = True
        worker.run(method, target, headers, body)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value
                   in worker.headers(request_id).items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(int(headers.get("last-event-id", 0)) + 1, 6):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        return True

    async def ask(self, number):
        """Makes one request; the client leaves at its deadline."""
        headers = s.request_headers(
            f"{number}c", deadline_ms=DEADLINE_MS,
            **{"Heatherturn-Model": "m",
               "Heatherturn-Token-Count": f"{PROMPT_TOKENS},700",
               "Heatherturn-Prompt-Prefix":
               f"5c1e07a2:40,{number}a:{PROMPT_TOKENS - 40}"})
        gateway = self.fleet.gateways[number % GATEWAYS]
        sent = self.record.now()
        try:
            status, _, _, whole = await s.call(
                gateway.front, "POST", "/dossier/1", headers, b"x" * 30000,
                timeout_s=DEADLINE_MS / 1e3)
            what = status if whole else f"{status} cut"
        except (OSError, asyncio.TimeoutError):
            what = "never answered"
        self.answers[what] = self.answers.get(what, 0) + 1
        self.record.add("answer", id=f"{number}c", answer=what,
                        took=f"{self.record.now() - sent:.2f}")

    def configuration(self):
        """Returns the configuration; its figures are those of the sheet."""
        result = s.config(1, [s.route(
            "dossier", "/dossier/", "stream", "modele-lecteur",
            TimeoutMs=15000, LatencyTargetMs=6000, GapTargetMs=1000,
            Priority=2, Sticky=True, CanResume=True)],
                          ["modele-lecteur"], {"t-1": ["key-1"]})
        result["Services"][0]["Engine"] = {
            "Slots": 12, "KvTokens": KV_TOKENS, "KvBytes": 163840,
            "LinkMbps": 400000.0, "Stride": 48, "Models": [{"Name": "m"}],
            "step_ms": 1.02, "per_seq_ms": 0.005, "context_per_k": 0.003,
            "read_per_s": 206000.0, "pairs_per_m": 0.2, "chunk": 2048,
            "report_lag_ms": 200.0, "delays": [],
            "usual": {"prompt": 19000, "answer": 1500}, "HopMs": 0.05}
        return result

    async def run(self):
        """Runs the case; returns the exit code."""
        for i in range(WORKERS):
            engine = Engine(self.record, f"i-{i + 1}", "modele-lecteur",
                            f"z-{'abc'[i % 3]}", 12)
            engine.act = self.act
            self.fleet.workers.append(engine)
        try:
            await self.fleet.start(self.configuration())
            await asyncio.sleep(SETTLE_S)
            for engine in self.fleet.workers[:HANGING]:
                engine.hangs = TROUBLE
            asyncio.get_running_loop().call_later(HANG_S, self.recover)
            calls = []
            for number in range(REQUESTS):
                calls.append(asyncio.ensure_future(self.ask(number)))
                await asyncio.sleep(PAUSE_S)
            await asyncio.gather(*calls)
            await asyncio.sleep(5)
        finally:
            await self.fleet.stop()
        for engine in self.fleet.workers:
            engine.expire()
        stuck = [one for engine in self.fleet.workers for one in engine.stuck]
        longest = max(engine.longest for engine in self.fleet.workers)
        set_aside = any(engine.longest > 0 or engine.runs
                        for engine in self.fleet.workers)
        if not set_aside:
            raise RuntimeError("no memory was set aside")
        self.record.add("sum", answers=self.answers, stuck=stuck)
        print(f"answers {self.answers}; memory set aside and unused for "
              f"{longest:.1f} s at most, {len(stuck)} times over "
              f"{IDLE_MAX_S} s {stuck}")
        return 1 if stuck else 0

    def recover(self):
        """The workers hang no longer."""
        for engine in self.fleet.workers:
            engine.hangs = False


if __name__ == "__main__":
    s.main(Case(HERE).run(), 100)
