"""Routes and keys that come and go, asked for directly at each gateway.

An operator writes versions that add, remove and move several routes and keys.
Probes ask each gateway for them with GET, on new connections, on kept ones, on
ones that were idle over a change, and behind a POST on the same connection.
Each response is compared with the configurations that may be in force when the
request is sent: the newest that the store acknowledged more than CONFIG_S
before, and all later ones. Only a signal, a start, a freeze or a reset of the
gateway in the last STABILITY_S excuses a refusal of what all of them allow, or
a response that none of them allows. Nothing excuses a process that goes back.
"""

import asyncio
import calendar
import collections
import json
import random
import time

import gateways
import platform_standin as standin
from added_routes_faults import SCENARIOS, STREAMED
from added_routes_fleet import NAMES, SEEDS, STABILITY_S, Gateway
from added_routes_operator import HOSTS, SERVICES, Operator, allows

CONFIG_S = 2.0  # from an acknowledgement until all gateways apply it
ROLLBACK_SLACK_S = 0.25
PROBED_S = 5.0  # after a change
PROBE_PAUSE_S = 0.1
PROBES = 5  # of one gateway at a time, besides those of never known routes
IDLE = 70  # connections to a gateway, of which one is used at a time
LONG_EVENTS = 150  # 12 s
OWN_STATUSES = {408, 421, 429}


class Soak(Operator):
    """A run of one scenario, from a seed."""

    def __init__(self, binary, folder, seed, seconds, scenario):
        super().__init__(random.Random(seed), standin.Store())
        self.seed, self.seconds, self.scenario = seed, seconds, scenario
        self.binary, self.folder = binary, folder
        self.upstreams = [standin.Upstream(f"i-{i}", seed * 100 + i)
                          for i in range(4)]
        self.gateways = []
        self.violations, self.statuses = [], collections.Counter()
        self.not_current = 0  # of requests that all configurations allow
        self.requests = self.late_drain = 0
        self.events = []  # (wall s, what the scenario did)

    # Probes

    def draw_probes(self):
        """Returns some of (host, path, key) that have changed, and others."""
        now = time.time()
        recent = [one for one in self.recent if one[0] > now - PROBED_S]
        drawn = self.random.sample(recent, min(PROBES, len(recent)))
        drawn.append((0, HOSTS[0], f"/{self.word()}/x", "none"))
        return [one[1:] for one in drawn]

    def encode(self, probe, method="GET"):
        """Returns a request's id and bytes."""
        host, path, key = probe
        self.requests += 1
        request_id = f"{self.seed}-{self.requests}"
        body = "asks" if method == "POST" else ""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return request_id, (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{length}"
            f"Heatherturn-Attempt-Id: {request_id}\r\n"
            f"Heatherturn-Deadline-Remaining-Ms: 4000\r\n"
            f"Authorization: Bearer {key}\r\n\r\n{body}").encode()

    async def ask_all(self, gateway, connection, probes, how):
        """Sends requests at once on one connection; true if it may be kept."""
        reader, writer = connection
        sent, incarnation = time.time(), gateway.incarnation
        requests = []
        for number, probe in enumerate(probes):
            method = "POST" if how == "post" and number == 0 else "GET"
            requests.append((probe, *self.encode(probe, method)))
        writer.write(b"".join(data for *_, data in requests))
        kept = True
        for probe, request_id, _ in requests:
            line, headers = await asyncio.wait_for(
                standin.read_header(reader), 6)
            body = await asyncio.wait_for(
                standin.read_body(reader, headers), 6)
            kept = headers.get("connection") != "close"
            self.judge(gateway, incarnation, probe, request_id, sent,
                       int(line.split(" ")[1]), headers, body, how)
            if not kept:
                break
        return kept

    async def probe(self, gateway, how):
        """Asks a gateway in one way until the end."""
        connection = None
        idle = collections.deque()  # connections that were opened before
        while time.time() < self.end:
            await asyncio.sleep(PROBE_PAUSE_S * self.random.uniform(0.7, 1.3))
            probes = self.draw_probes()
            try:
                if how == "idle":
                    if not gateway.stopping and len(idle) < IDLE:
                        idle.append(await self.connect(gateway))
                    if len(idle) < (1 if gateway.stopping else IDLE):
                        continue
                    connection = idle.popleft()
                if connection is None:
                    connection = await self.connect(gateway)
                count = {"new": 1, "idle": 1, "kept": 1}.get(how, len(probes))
                if not await self.ask_all(gateway, connection, probes[:count]
                                          if how != "new" else
                                          self.random.sample(probes, 1), how):
                    raise standin.BrokenConnection
                if how == "idle":
                    idle.append(connection)
                if how == "new":
                    raise standin.BrokenConnection
            except (OSError, standin.BrokenConnection, asyncio.TimeoutError):
                if connection is not None:
                    connection[1].transport.abort()
                connection = None
            except ValueError as error:
                self.violations.append({"what": f"no response: {error}"})
                connection = None

    async def connect(self, gateway):
        """Returns a connection to a gateway."""
        return await asyncio.wait_for(asyncio.open_connection(
            "127.0.0.1", gateway.callers), 1)

    async def hold_streams(self, gateway):
        """Asks a gateway for long streams until the end."""
        while time.time() < self.end:
            try:
                reader, writer = await self.connect(gateway)
                _, data = self.encode(
                    (HOSTS[2], f"/long/{LONG_EVENTS}", "none"), "POST")
                writer.write(data)
                while await reader.read(4096):
                    pass
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)

    # The checks

    def judge(self, gateway, incarnation, probe, request_id, sent, status,
              headers, body, how):
        """Compares a response with the configurations that may be in force."""
        now = time.time()
        self.statuses[status] += 1
        if gateway.stopping and not gateway.is_excused(sent):
            self.late_drain += 1
        sealed = "heatherturn-server-seal" in headers
        last = len(self.versions)
        while last > 1 and self.versions[last - 1][0] > now:
            last -= 1
        first = max([0] + [i for i, one in enumerate(self.versions)
                           if one[1] <= sent - CONFIG_S])
        expected = [allows(one[2], *probe) for one in self.versions[:last]]
        if sealed and status == 200:
            words = body.decode("latin-1").split(" ")
            seal = headers["heatherturn-server-seal"]
            got = (SERVICES[int(seal[2:]) % 2],
                   None if words[1].startswith("None") else
                   words[1].removesuffix("asks"))
            fits = [i for i, one in enumerate(expected) if one == got]
        elif status == 503:
            if (b"not_current" in body or "not_current" in str(headers)) and \
                    all(isinstance(one, tuple) for one in expected[first:]):
                self.not_current += 1
            return
        elif status in OWN_STATUSES or status >= 500:
            return
        else:
            got = status
            fits = [i for i, one in enumerate(expected) if one == status]
        details = {
            "gateway": gateway.name, "request": request_id, "how": how,
            "probe": probe, "got": got, "sent": sent,
            "since_ack_s": round(sent - max(
                [one[1] for one in self.versions[first:first + 1]]), 3),
            "allowed": expected[first:][:3], "body": body[-300:].decode()}
        if not any(i >= first for i in fits) and not gateway.is_excused(sent):
            self.violations.append({"what": "older configuration", **details})
        if gateway.incarnation != incarnation or not fits:
            return
        at, newest = gateway.newest_seen
        if sent > at + ROLLBACK_SLACK_S and max(fits) < newest:
            self.violations.append({"what": "went back", **details})
        if min(fits) > newest:
            gateway.newest_seen = (now, min(fits))

    def find_delays(self):
        """Returns the longest time until a version was in force, by the logs.

        The first value leaves out gateways that were disturbed before that.
        """
        calm = worst = (0.0, "", 0)
        for gateway in self.gateways:
            in_force = [
                (calendar.timegm(time.strptime(line["time"][:19],
                                               "%Y-%m-%dT%H:%M:%S"))
                 + float(line["time"][19:-1]), line["version"])
                for line in gateway.lines("routes in force")]
            for _, acknowledged, config in self.versions:
                if acknowledged > self.end - 8:
                    continue
                at = min((at for at, version in in_force
                          if version >= config["Version"]
                          and at > acknowledged - 1), default=time.time())
                delay = (round(at - acknowledged, 3), gateway.name,
                         config["Version"])
                worst = max(worst, delay)
                if not any(start < at and end > acknowledged - STABILITY_S
                           for start, end in gateway.excused):
                    calm = max(calm, delay)
        return calm, worst

    # The run

    async def start(self, ready_s=10.0):
        """Starts the stand-ins and the gateways, and waits until ready."""
        await self.store.start()
        asyncio.ensure_future(self.store.make_copies())
        self.tenants = {"oa": ["ka", "kb"], "ob": ["kc", "kd"]}
        for name, prefix, kind, public in (
                ("base", "/base/", "idempotent", False),
                ("long", "/long/", "stream", True)):
            self.add_route(HOSTS[2], prefix)
            self.routes[name] = dict(self.routes.popitem()[1], Name=name,
                                     Kind=kind, Public=public,
                                     TimeoutMs=20000, GapTargetMs=500)
        await self.write()
        for number, upstream in enumerate(self.upstreams):
            await upstream.start()
            await self.store.put("servers", upstream.name, {
                "Service": SERVICES[number % 2],
                "Zone": "abca"[number],
                "Slots": 256, "Address": f"127.0.0.1:{upstream.port}",
                "State": "ready", "ColdMs": 0, "born": upstream.born})
        ports = gateways.find_free_ports(3 * len(NAMES))
        for number in range(len(NAMES)):
            self.gateways.append(Gateway(
                self.binary, self.folder, number, self.store, ports))
        for one in self.gateways:
            await one.peer_proxy.start()
        for one in self.gateways:
            one.peers = ",".join(
                f"127.0.0.1:{self.gateways[i].peer_proxy.port}" for i in SEEDS)
        await asyncio.gather(*(one.start() for one in self.gateways))
        for one in self.gateways:
            one.excuse()
        end = time.time() + ready_s
        while not all([await one.is_ready() for one in self.gateways]):
            if time.time() > end:
                raise TimeoutError("gateways not ready")
            await asyncio.sleep(0.05)

    async def run(self):
        """Runs the scenario; returns its result."""
        await self.start()
        self.end = time.time() + self.seconds
        tasks = [self.run_operator(), self.run_scenario()]
        for gateway in self.gateways:
            tasks += [self.probe(gateway, how)
                      for how in ("new", "kept", "idle", "post", "pipelined")]
            if self.scenario in STREAMED:
                tasks.append(self.hold_streams(gateway))
        await asyncio.gather(*tasks)
        calm, worst = self.find_delays()
        return {"seed": self.seed, "fleet": "added-routes",
                "scenario": self.scenario, "seconds": self.seconds,
                "requests": self.requests, "versions": len(self.versions),
                "statuses": self.statuses, "not_current": self.not_current,
                "late_in_drain": self.late_drain,
                "ignored": sum(len(one.lines("configuration change ignored"))
                               for one in self.gateways),
                "in_force_s": calm, "in_force_disturbed_s": worst,
                "events": len(self.events),
                "violations": len(self.violations),
                "first": self.violations[:3]}

    async def run_scenario(self):
        """Repeats the disturbances of the scenario until near the end."""
        await asyncio.sleep(3.5)
        while self.scenario != "calm" and time.time() < self.end - 12:
            await asyncio.gather(*(SCENARIOS[one](self)
                                   for one in self.scenario.split("+")))
            await asyncio.sleep(self.random.uniform(0.5, 4.5))

    def note(self, what, *gateways_):
        """Notes what the scenario does."""
        self.events.append((time.time(), what, [g.name for g in gateways_]))

    def pick(self):
        """Returns a random gateway that runs."""
        return self.random.choice(
            [one for one in self.gateways if not one.stopping]
            or self.gateways)


async def run_seed(soak):
    """Runs a soak and kills the processes that it left running."""
    try:
        return await soak.run()
    finally:
        for one in soak.gateways:
            if one.process and one.process.returncode is None:
                one.stopping = True
                one.process.kill()


def run(binary, folder, seed, seconds, scenario):
    """Runs one scenario; returns whether there was no violation."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    soak = Soak(binary, folder, seed, seconds, scenario)
    line = asyncio.run(run_seed(soak))
    (folder / "violations.json").write_text(json.dumps(
        {"events": soak.events, "violations": soak.violations,
         "versions": soak.versions}, default=str))
    if line["violations"]:
        line["logs"] = gateways.keep_logs(folder)
    print(json.dumps(line), flush=True)
    return not line["violations"]
