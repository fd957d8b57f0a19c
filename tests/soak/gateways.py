"""Soak of gateway processes between stand-ins, with faults drawn from a seed.

Checks what callers and upstreams see: a non-idempotent request runs at most
once, a request refused as not run did not run, a response is complete and
belongs to its request, a stream has each event once, no caller gets bytes of a
stream that no run made, a status from 300 to 499 has a reason, upstreams that
drain or are in a taken-out failure domain get no new requests, revoked keys are
rejected, a key that a process has rejected as revoked is not accepted by it
again, upstreams that say that they leave or want no requests get none, those
that name a rate get no more than that, endless responses are not read on, and
no process exits unexpectedly.
"""

import asyncio
import contextlib
import fcntl
import functools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time

import crashing_part
import denied
import foreign_events
import named_rates
import planned_stops
import platform_standin as standin
import repeated
import retry_budget
from planned_stops import DRAIN_MS, GRACE_S

UPSTREAM_COUNT = 5
DOMAINS = ("a", "b")
PROPAGATION_S = 2.0  # from an acknowledged change until all gateways apply it
DISTURBANCE_S = 2.5  # for which a disturbance excuses a gateway
STORE_FAULT_S = 6.0  # duration of a store fault and of the recovery from it
START_TIMEOUT_S = 10.0  # until all gateways are ready
RESTORE_AGE_S = (0.5, 4.0)  # of the copy that the store goes back to
REWRITE_S = 2.0  # until all that it lost is written again
QUIET_FROM_S = 0.5  # after a response that asks for quiet
QUIET_REQUESTS_MAX = 2
ROLLBACK_SLACK_S = 0.25
PORTS = (20000, 32000)
PORTS_PER_SOAK = 600
CALLER_COUNT = 12
DEADLINE_MS = 4000
LONG_DEADLINE_MS = 10000
LONG_EVENTS = (12, 50)  # 1 to 4 s
LONG_CALLER_COUNT = 4  # who only ask for long streams
REFUSED_PAUSE_S = 0.1  # of callers, while crashes leave few upstreams
NOT_RUN_STATUSES = {408, 421, 429, 503}
ROUTES = (("/stream/", "stream", True), ("/once/", "non_idempotent", False),
          ("/again/", "idempotent", False), ("/long/", "stream", True),
          ("/prompt/", "stream", True), (foreign_events.PATH, "stream", False),
          (denied.PATH, "idempotent", False))
SHORT_PATHS = ("/stream/", "/once/", "/again/")


def deadline_ms(path):
    """Returns the time in milliseconds that a request may take."""
    return LONG_DEADLINE_MS if path.startswith("/long/") else DEADLINE_MS


def make_config(version, keys, service, left_out=()):
    """Returns a configuration with these API keys and this service.

    It lacks the routes with the paths that are left out.
    """
    return {
        "Version": version,
        "Routes": [{"Name": path, "Host": "h", "PathPrefix": path,
                    "Kind": kind, "TimeoutMs": deadline_ms(path),
                    "Attempts": 2, "LatencyTargetMs": 300, "GapTargetMs": 250,
                    "CanResume": resume, "Sticky": path == "/prompt/",
                    "Service": "s"}
                   for path, kind, resume in ROUTES
                   if path not in left_out],
        "Services": [service],
        "Limits": {"BodyBytes": 100000},
        "Tenants": [{"Name": f"o{key}", "Keys": [key]} for key in keys]}


FAULTS = ("kill", "stop", "pause", "hang_up", "store_fault", "cut_store",
          "cut_upstream", "upstream_fault", "crash_upstream", "drain",
          "take_out", "revoke", "change", "restore_store", "leave", "roll",
          "name_rate")
# Drawn only if asked for.
RARE_FAULTS = ("cut_peer", "crashing_part", "fail_upstreams", "spoil_bytes",
               "foreign_events", "give_errors", "grant", "crashing_request",
               "end_upstream", "end_domain", "renumber")


class Gateway:
    """A gateway process, which reaches the store through its own proxy."""

    def __init__(self, binary, folder, number, store, ports, seed_port):
        self.binary, self.number = binary, number
        self.log = folder / f"gateway-{number}.log"
        self.proxy = standin.Proxy(store.port)
        self.listen, self.http, self.callers = ports
        self.peer_proxy = None  # if its links can be cut
        self.seed_port = seed_port
        self.process = None
        self.disturbances = []  # (from, to) in wall seconds
        self.unplanned = []  # those that may lose requests
        self.stops = []  # (SIGTERM, exit) in wall seconds
        self.stopping = False
        self.incarnation = 0  # rises with each start and pause
        self.rejected_keys = {}  # key -> (incarnation, wall s of rejection)
        self.bad_exits = []
        self.retry_settings = ("--retry-slack=1000",)

    async def start(self):
        """Starts the process and watches for its exit."""
        if not self.proxy.server:
            await self.proxy.start()
        local = "127.0.0.1"
        advertised = self.peer_proxy.port if self.peer_proxy else self.listen
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "gateway", f"--id=g{self.number}",
                f"--failure-domain={DOMAINS[self.number % 2]}",
                f"--listen={local}:{self.listen}",
                f"--advertise={local}:{advertised}",
                f"--http={local}:{self.http}",
                f"--callers={local}:{self.callers}",
                f"--objects={local}:{self.proxy.port}",
                f"--peers={local}:{self.seed_port}",
                f"--grace-s={GRACE_S}", f"--drain-notice-ms={DRAIN_MS}",
                *self.retry_settings, stdout=log, stderr=log)
        self.stopping = False
        self.incarnation += 1
        asyncio.ensure_future(self.watch_exit(self.process))

    async def watch_exit(self, process):
        """Records an unexpected exit or exit code."""
        code = await process.wait()
        if not self.stopping or code not in (0, -signal.SIGKILL):
            self.bad_exits.append(code)

    def add_disturbance(self, seconds=0.0, planned=False):
        """Records a disturbance that lasts some seconds from now on."""
        period = (time.time(), time.time() + seconds)
        self.disturbances.append(period)
        if not planned:
            self.unplanned.append(period)

    def was_undisturbed(self, since, until, before_s=DISTURBANCE_S):
        """Whether it was undisturbed from before_s before since on."""
        return not any(start < until and end > since - before_s
                       for start, end in self.disturbances)

    def was_calm(self, since, until):
        """Whether only planned work disturbed it from then on."""
        return not any(start < until and end > since - DISTURBANCE_S
                       for start, end in self.unplanned)

    def signal(self, number):
        """Sends a signal to the process if it still exists."""
        self.add_disturbance(
            planned=number in (signal.SIGTERM, signal.SIGHUP))
        if self.process.returncode is None:
            self.process.send_signal(number)

    def hang_up(self):
        """Sends SIGHUP, which reloads the settings."""
        self.signal(signal.SIGHUP)

    async def restart(self, number):
        """Stops the process by a signal and starts it again."""
        self.stopping = True
        asked = time.time()
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S + 1)
        except asyncio.TimeoutError:
            self.process.kill()
            self.bad_exits.append("did not exit in time")
            await self.process.wait()
        if number == signal.SIGTERM:
            self.stops.append((asked, time.time()))
        await self.start()
        self.add_disturbance(planned=number == signal.SIGTERM)

    async def is_listening(self):
        """Whether the process accepts connections yet, or has exited."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.http)
            writer.close()
        except OSError:
            return self.process.returncode is not None
        return True

    async def is_ready(self):
        """Whether /readyz returns 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.http)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            line, _ = await asyncio.wait_for(standin.read_header(reader), 1)
            writer.close()
        except (OSError, standin.BrokenConnection, asyncio.TimeoutError):
            return False
        return " 200 " in line


class Soak:
    """A run with one seed."""

    def __init__(self, binary, folder, seed, seconds, gateway_count, faults):
        self.random = random.Random(seed)
        self.crash_kinds = [one for one in faults if one in repeated.FAULTS]
        self.fault_kinds = [one for one in faults
                            if not one.startswith("crashing_")]
        self.prompts = (crashing_part.Prompts(seed)
                        if "crashing_part" in faults else None)
        self.repeated = repeated.Repeated(seed) if self.crash_kinds else None
        self.begun = set()  # ids of streams with a first event
        self.crash_times = []  # wall s, of all upstreams that ended
        self.begin_shares = {}  # kind of sound prompts -> before, after
        self.paths = SHORT_PATHS
        if {"foreign_events", "renumber"} & set(faults):
            self.paths += (foreign_events.PATH,)
        if "grant" in faults:
            self.paths += (denied.PATH,)
        self.propagation_s = PROPAGATION_S
        self.seed, self.seconds = seed, seconds
        self.end = 0.0
        self.store = standin.Store(standin.draw_forms(seed), seed)
        self.upstreams = [standin.Upstream(f"i-{i}", seed * 100 + i)
                          for i in range(UPSTREAM_COUNT)]
        self.proxies = []
        self.gateways = []
        ports = find_free_ports(3 * gateway_count)
        self.make_gateway = lambda number: Gateway(
            binary, folder, number, self.store,
            ports[3 * number:3 * number + 3], ports[0])
        self.wanted = {}  # (kind, name) -> what its writer wrote last
        self.restoring = False
        self.gateway_count = gateway_count
        self.keys = ["k1", "k2", "k3"]
        self.revoked = {}  # key -> wall time of its revocation
        self.granted = {}  # key -> wall time of its coming back, or first
        self.route_added = None  # wall time, of the route of denied.PATH
        self.excluded_periods = []  # (upstream, from wall s, to wall s)
        self.excluded_now = {}  # upstream or failure domain -> True
        self.version = 1
        self.violations = []
        self.attempts = {}  # request id -> (path, status, gateway)
        self.sent = {}  # request id -> (wall s, gateway, its incarnation)
        self.received = {}  # request id -> bytes of a body in chunks
        self.completed = {}  # request id -> wall s of its complete response
        self.cuts = planned_stops.Cuts()
        self.retry_budget_used = 0.0  # the largest part in a window
        self.rated_requests = 0  # that upstreams got while they named a rate
        self.rated_allowance = 0.0  # that these rates add up to
        self.statuses = {}
        self.faults = {}
        self.requests = 0

    def add_violation(self, what, **details):
        """Records a violation."""
        self.violations.append({"what": what, **details})

    # Setting up

    async def start(self):
        """Starts the stand-ins, then the gateways, and waits until ready."""
        await self.store.start()
        asyncio.ensure_future(self.store.make_copies())
        asyncio.ensure_future(self.store.write_others())
        await self.write_config()
        for number, upstream in enumerate(self.upstreams):
            await upstream.start()
            proxy = standin.Proxy(upstream.port)
            await proxy.start()
            self.proxies.append(proxy)
            await self.publish_upstream(number, "ready")
        for number in range(self.gateway_count):
            self.gateways.append(self.make_gateway(number))
            if "fail_upstreams" in self.fault_kinds:
                self.gateways[-1].retry_settings = retry_budget.SETTINGS
            await self.start_peer_proxy(self.gateways[number])
            await self.gateways[number].start()
        end = time.monotonic() + START_TIMEOUT_S
        while not all([await one.is_ready() for one in self.gateways]):
            if time.monotonic() > end:
                raise TimeoutError(
                    f"gateways not ready within {START_TIMEOUT_S:.0f} s")
            await asyncio.sleep(0.05)

    async def start_peer_proxy(self, gateway):
        """Starts a proxy for the links to a gateway, if they can be cut."""
        if "cut_peer" in self.fault_kinds:
            gateway.peer_proxy = standin.Proxy(gateway.listen)
            await gateway.peer_proxy.start()
            gateway.seed_port = self.gateways[0].peer_proxy.port

    async def publish_upstream(self, number, state):
        """Writes an upstream's object to the store."""
        await self.write("servers", self.upstreams[number].name, {
            "Service": "s", "Zone": DOMAINS[number % 2], "Slots": 16,
            "Address": f"127.0.0.1:{self.proxies[number].port}",
            "State": state, "ColdMs": 0,
            "born": self.upstreams[number].born})

    async def write(self, kind, name, spec):
        """Writes an object, or deletes it if spec is None.

        Waits while the store is being restored: nothing is acknowledged then.
        """
        while self.restoring:
            await asyncio.sleep(0.02)
        self.wanted[kind, name] = spec
        if spec is None:
            await self.store.delete(kind, name)
        else:
            await self.store.put(kind, name, spec)

    # Callers

    async def run_caller(self, number):
        """Sends requests one after the other on keep-alive connections."""
        rng = random.Random(self.seed * 1000 + number)
        connection = connected_gateway = None
        while time.monotonic() < self.end:
            gateway = rng.choice(self.gateways)
            if connection is None or rng.random() < 0.3:
                if connection is not None:
                    connection[1].close()
                connection = await self.connect(gateway)
                connected_gateway = gateway
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            path = ("/long/" if number >= CALLER_COUNT
                    else rng.choice(self.paths))
            try:
                keep_alive = await asyncio.wait_for(
                    self.request(path, rng, connected_gateway, *connection),
                    12)
            except (standin.BrokenConnection, OSError, asyncio.TimeoutError):
                keep_alive = False
            if not keep_alive:
                connection[1].transport.abort()
                connection = None
        if connection is not None:
            connection[1].close()

    async def connect(self, gateway):
        """Returns a connection to a gateway; None if there is no connection."""
        try:
            return await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", gateway.callers), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def request(self, path, rng, gateway, reader, writer,
                      make_headers=lambda request_id: "", key=None):
        """Makes a request; returns whether the connection can be reused."""
        self.requests += 1
        request_id = f"{self.seed}-{self.requests}"
        key = key or rng.choice(self.keys + list(self.revoked))
        if path == "/long/":
            path += str(rng.randint(*LONG_EVENTS))
        elif path in ("/stream/", foreign_events.PATH):
            path += str(standin.EVENTS)
        elif path == "/prompt/":
            path += f"{request_id}/{standin.EVENTS}"
        sent = time.time()
        self.attempts[request_id] = (path, None, gateway)
        self.sent[request_id] = (sent, gateway, gateway.incarnation)
        writer.write((
            f"POST {path} HTTP/1.1\r\nContent-Length: 4\r\n"
            f"Heatherturn-Attempt-Id: {request_id}\r\n"
            f"Heatherturn-Deadline-Remaining-Ms: {deadline_ms(path)}\r\n"
            f"{make_headers(request_id)}"
            f"{denied.request_headers(request_id, key)}\r\nasks").encode())
        headers, body = await self.cuts.watch(
            request_id, self.read_response(request_id, reader, rng),
            self.attempts)
        self.completed[request_id] = time.time()
        self.check_response(request_id, key, sent, headers, body)
        if self.crash_kinds and self.attempts[request_id][1] == 503:
            await asyncio.sleep(REFUSED_PAUSE_S)
        return headers.get("connection") != "close"

    async def read_response(self, request_id, reader, rng):
        """Returns the headers and the body of a response."""
        line, headers = await standin.read_header(reader)
        status = int(line.split(" ")[1])
        path, _, gateway = self.attempts[request_id]
        self.attempts[request_id] = (path, status, gateway)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if headers.get("transfer-encoding") == "chunked":
            return headers, await self.read_events(request_id, reader, rng)
        return headers, await standin.read_body(reader, headers)

    async def read_events(self, request_id, reader, rng):
        """Reads a stream; disconnects early with 1% probability per chunk."""
        body = b""
        async for chunk in standin.read_chunks(reader):
            body += chunk
            self.received[request_id] = body
            self.begun.add(request_id)
            if rng.random() < 0.01:
                raise planned_stops.CallerLeft
        return body

    def check_response(self, request_id, key, sent, headers, body):
        """Checks a complete response."""
        path, status, gateway = self.attempts[request_id]
        if status == 200 and \
                headers.get("heatherturn-attempt-id") != request_id:
            self.add_violation("response of another request",
                               request=request_id)
        if status == 200 and standin.is_stream(path):
            if not self.is_whole_stream(request_id, path, body):
                self.add_violation("stream incomplete or out of order",
                                   request=request_id,
                                   got=body.decode("latin-1"))
        elif status == 200 and body != f"{request_id} o{key}asks".encode():
            self.add_violation("response body incomplete or wrong",
                               request=request_id)
        if status == 503 and "retry-after" not in headers:
            self.add_violation("503 without Retry-After",
                               request=request_id)
        since = self.revoked.get(key)
        if (since is not None and sent > since + PROPAGATION_S
                and status == 200 and gateway.was_undisturbed(since, sent)):
            self.add_violation("revoked key accepted",
                               request=request_id)
        self.check_rollback(request_id, key)
        denied.check_status(self, request_id, key, sent, headers)

    def is_whole_stream(self, request_id, path, body, is_cut=False):
        """Whether a body has each event of a run once.

        A gateway that knows nothing of the route can't tell a first id of 0 from
        1. Where no run continues another one, nothing refutes a wrong id between
        its neighbours. A stream that was cut may end after any byte of them.
        """
        count = standin.event_count(path)
        once = path.startswith(foreign_events.PATH)
        tokens = next((one.counted[request_id] for one in self.upstreams
                       if request_id in one.counted), 1)
        for number in range(1, count + 1):
            events = [b"id: %d\ndata: %d\n\n" % (number * tokens, number)]
            after = (number + 1) * tokens if number < count else None
            events += [
                one.spoilt[request_id][1] for one in self.upstreams
                if one.spoilt.get(request_id, (0,))[0] == number
                and (number == 1 or once and foreign_events.is_between(
                    one.spoilt[request_id][1], (number - 1) * tokens, after))]
            event = next((one for one in events if body.startswith(one)), None)
            if event is None:
                return is_cut and any(one.startswith(body) for one in events)
            body = body[len(event):]
        return body == b""

    def check_cut_streams(self):
        """Checks that streams without an end have no bytes but their runs'."""
        for request_id, body in self.received.items():
            path, status, _ = self.attempts[request_id]
            if (status == 200 and standin.is_stream(path)
                    and request_id not in self.completed
                    and not self.is_whole_stream(request_id, path, body,
                                                 True)):
                self.add_violation("bytes that no run made in a cut stream",
                                   request=request_id,
                                   got=body.decode("latin-1"))

    def check_rollback(self, request_id, key):
        """Checks that a process does not accept a key that it has rejected."""
        sent, gateway, incarnation = self.sent[request_id]
        status = self.attempts[request_id][1]
        if gateway.incarnation != incarnation:
            return
        if status == 401 and key in self.revoked:
            gateway.rejected_keys.setdefault(key, (incarnation, time.time()))
        before, at = gateway.rejected_keys.get(key, (None, 0))
        if (status == 200 and before == incarnation
                and sent > at + ROLLBACK_SLACK_S):
            self.add_violation("revoked key accepted again",
                               request=request_id)

    # Faults

    async def inject_faults(self):
        """Starts faults, which may overlap, until 4 s before the end."""
        active = set()
        while self.fault_kinds and time.monotonic() < self.end - 4:
            kind = self.random.choice(self.fault_kinds)
            self.faults[kind] = self.faults.get(kind, 0) + 1
            active.add(asyncio.ensure_future(getattr(self, kind)()))
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
        await asyncio.gather(*active)

    def pick(self):
        """Returns a random gateway that is not being restarted."""
        free = [one for one in self.gateways if not one.stopping]
        return self.random.choice(free) if free else None

    async def kill(self):
        """Kills a gateway."""
        if gateway := self.pick():
            await gateway.restart(signal.SIGKILL)

    async def stop(self):
        """Restarts a gateway gracefully."""
        if gateway := self.pick():
            await self.stop_gateway(gateway)

    async def stop_gateway(self, gateway):
        """Restarts a gateway gracefully, while callers press on it."""
        callers = [asyncio.ensure_future(planned_stops.call_stopping(
            self, gateway, random.Random(self.random.random())))
            for _ in range(planned_stops.CALLERS_PER_STOP)]
        await gateway.restart(signal.SIGTERM)
        await asyncio.gather(*callers)

    async def roll(self):
        """Restarts all gateways, one after the other or overlapping."""
        await planned_stops.roll(self)

    async def pause(self):
        """Pauses a gateway, as a frozen host would."""
        if gateway := self.pick():
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            gateway.signal(signal.SIGCONT)
            gateway.incarnation += 1

    async def hang_up(self):
        """Sends SIGHUP to a gateway."""
        if gateway := self.pick():
            gateway.hang_up()

    async def store_fault(self):
        """Makes the store busy, silent or slow, and drops its history."""
        for one in self.gateways:
            one.add_disturbance(STORE_FAULT_S)
        self.store.compact()
        self.store.state = self.random.choice(("busy", "silent", "slow"))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.store.state = "up"

    async def restore_store(self):
        """Makes the store unreachable, then goes back to a copy.

        What the operator and the upstreams have written since is written again,
        one object after the other.
        """
        if self.restoring:
            return
        self.restoring = True
        for one in self.gateways:
            one.add_disturbance(STORE_FAULT_S + REWRITE_S)
        self.store.state = self.random.choice(("busy", "silent"))
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await self.store.restore(self.random.uniform(*RESTORE_AGE_S))
        self.store.state = "up"
        self.restoring = False
        lost = [key for key, spec in self.wanted.items()
                if self.store.objects.get(key, {}).get("Spec") != spec]
        self.random.shuffle(lost)
        for kind, name in lost:
            await asyncio.sleep(self.random.uniform(0, REWRITE_S / len(lost)))
            await self.write(kind, name, self.wanted[kind, name])

    async def leave(self):
        """Makes an upstream say that it leaves, then replaces its process."""
        number = self.random.randrange(UPSTREAM_COUNT)
        upstream = self.upstreams[number]
        if any(one.leaving for one in self.upstreams):
            return
        upstream.leaving = True
        await asyncio.sleep(self.random.uniform(3.0, 5.0))
        self.check_leaving(upstream, time.time())
        upstream.leaving = False
        upstream.born = int(time.time() * 1000)
        # Its drain, if one still runs, ends by itself.
        drains = f"i-{number}" in self.excluded_now
        await self.publish_upstream(
            number, "draining" if drains else "ready")

    async def name_rate(self):
        """Makes an upstream name the rate of requests that it takes."""
        await named_rates.name_rate(self)

    async def cut_store(self):
        """Disturbs one gateway's path to the store."""
        gateway = self.random.choice(self.gateways)
        gateway.add_disturbance(STORE_FAULT_S)
        await self.disturb_proxy(gateway.proxy, 3.0)

    async def cut_peer(self):
        """Disturbs the links that other gateways have opened to one."""
        gateway = self.random.choice(self.gateways)
        period = [time.time(), float("inf")]
        gateway.disturbances.append(period)
        await self.disturb_proxy(gateway.peer_proxy, 3.0)
        period[1] = time.time()

    async def cut_upstream(self):
        """Disturbs the path to one upstream."""
        with self.path_fault():
            await self.disturb_proxy(self.random.choice(self.proxies), 2.0)

    @contextlib.contextmanager
    def path_fault(self):
        """Records for how long requests at upstreams may be lost."""
        period = [time.time(), float("inf")]
        self.cuts.path_faults.append(period)
        yield
        period[1] = time.time()

    async def disturb_proxy(self, proxy, longest_s):
        """Disturbs the connections of a proxy for some time."""
        state = self.random.choice(
            ("silent", "one_way", "slow", "refuse", "reset"))
        if state == "reset":
            proxy.reset()
            return
        proxy.state = state
        await asyncio.sleep(self.random.uniform(0.3, longest_s))
        proxy.state = "open"
        proxy.reset()

    async def upstream_fault(self):
        """Makes an upstream reject, break off, fail or cut some requests."""
        upstream = self.random.choice(self.upstreams)
        kind = self.random.choice(("full", "break", "fail", "cut", "quiet",
                                   "endless", "earlier_refusal"))
        upstream.faults[kind] = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random.uniform(1.0, 4.0))
        upstream.faults.pop(kind, None)

    async def spoil_bytes(self):
        """Makes an upstream spoil a byte of some responses.

        It is a digit of an event's id, or one of a head, or a Content-Length
        gets a letter.
        """
        upstream = self.random.choice(self.upstreams)
        upstream.faults["spoil"] = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random.uniform(1.0, 4.0))
        upstream.faults.pop("spoil", None)

    async def foreign_events(self):
        """Makes an upstream add bytes to some streams."""
        await foreign_events.add(self)

    async def renumber(self):
        """Lets an upstream count tokens in the ids of events, or events."""
        upstream = self.random.choice(self.upstreams)
        upstream.event_tokens = self.random.choice((1, 2, 51))

    async def give_errors(self):
        """Makes an upstream answer some requests with errors."""
        await denied.give_errors(self)

    async def grant(self):
        """Adds a key or a route, or gives a key back."""
        await denied.grant(self)

    async def end_upstream(self):
        """Ends an upstream's process, which starts again."""
        await repeated.end_upstream(self)

    async def end_domain(self):
        """Ends all upstreams of a failure domain at once."""
        await repeated.end_domain(self, len(DOMAINS))

    async def fail_upstreams(self):
        """Makes all upstreams fail most requests for some time."""
        await retry_budget.fail_upstreams(self)

    async def crash_upstream(self):
        """Makes an upstream unreachable for some time."""
        number = self.random.randrange(UPSTREAM_COUNT)
        with self.path_fault():
            self.proxies[number].state = "refuse"
            self.proxies[number].reset()
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            self.proxies[number].state = "open"

    async def drain(self):
        """Drains an upstream for some time."""
        number = self.random.randrange(UPSTREAM_COUNT)
        if self.excluded_now:
            return
        self.excluded_now[f"i-{number}"] = True
        await self.publish_upstream(number, "draining")
        since = time.time()
        await asyncio.sleep(self.random.uniform(3.0, 5.0))
        self.excluded_periods.append((f"i-{number}", since, time.time()))
        await self.publish_upstream(number, "ready")
        self.excluded_now.pop(f"i-{number}")

    async def take_out(self):
        """Takes out a failure domain for some time."""
        domain = self.random.choice(DOMAINS)
        if self.excluded_now:
            return
        self.excluded_now[domain] = True
        await self.write("evacuations", domain, {})
        since = time.time()
        await asyncio.sleep(self.random.uniform(3.0, 5.0))
        for number in range(UPSTREAM_COUNT):
            if DOMAINS[number % 2] == domain:
                self.excluded_periods.append(
                    (f"i-{number}", since, time.time()))
        await self.write("evacuations", domain, None)
        self.excluded_now.pop(domain)

    async def revoke(self):
        """Revokes an API key."""
        if len(self.keys) > 1:
            key = self.keys.pop()
            await self.change()
            self.revoked[key] = time.time()

    async def change(self):
        """Writes a new configuration."""
        self.version += self.random.randrange(1, 4)
        await self.write_config()

    async def write_config(self):
        """Writes the configuration to the store."""
        service = {"Name": "s"}
        if self.crash_kinds:
            service["Engine"] = crashing_part.ENGINE
        await self.write("config", "main",
                         make_config(
                             self.version, self.keys, service,
                             () if self.route_added else (denied.PATH,)))

    # The end

    def find_arrivals(self, upstream, gateway, incarnation):
        """Yields (arrived, sent by its caller, id) of one gateway's requests."""
        for at, request_id in upstream.arrivals:
            sent, sender, number = self.sent.get(request_id, (0, None, 0))
            if sender is gateway and number == incarnation:
                yield at, sent, request_id

    def check_leaving(self, upstream, until):
        """Checks that an upstream that leaves gets no new requests."""
        told = {}  # (gateway, incarnation) -> wall s of the first response
        for at, request_id, notice in upstream.notices:
            if notice == "leaving" and request_id in self.sent:
                told.setdefault(self.sent[request_id][1:], at)
        for (gateway, incarnation), at in told.items():
            late = [request_id for arrived, sent, request_id
                    in self.find_arrivals(upstream, gateway, incarnation)
                    if sent > at + PROPAGATION_S and arrived < until]
            if late:
                self.add_violation("request sent to leaving upstream",
                                   upstream=upstream.name, requests=late[:3])
        upstream.notices = [one for one in upstream.notices
                            if one[2] != "leaving"]

    def check_quiet(self, upstream):
        """Checks that an upstream that wants no requests gets almost none."""
        for at, asked_id, quiet_s in upstream.notices:
            if quiet_s == "leaving" or asked_id not in self.sent:
                continue
            _, gateway, incarnation = self.sent[asked_id]
            early = [request_id for arrived, _, request_id
                     in self.find_arrivals(upstream, gateway, incarnation)
                     if at + QUIET_FROM_S < arrived < at + quiet_s]
            if len(early) > QUIET_REQUESTS_MAX:
                self.add_violation("requests sent to quiet upstream",
                                   upstream=upstream.name, requests=early[:4])

    def check_upstreams(self):
        """Compares what the upstreams ran with the responses to callers."""
        runs = {}
        for upstream in self.upstreams:
            self.check_quiet(upstream)
            named_rates.check(self, upstream)
            self.cuts.cut_by_upstream |= upstream.broken_off
            if upstream.read_on:
                self.add_violation("endless response read on",
                                   upstream=upstream.name,
                                   times=upstream.read_on)
            for request_id, times in upstream.runs.items():
                runs[request_id] = runs.get(request_id, 0) + times
        for request_id, times in runs.items():
            path, status, _ = self.attempts.get(request_id, (None, None, None))
            if path is None:
                self.add_violation("unknown request ran", request=request_id)
                continue
            once = path.startswith(("/once/", foreign_events.PATH))
            if once and times > 1:
                self.add_violation("non-idempotent request ran twice",
                                   request=request_id, times=times)
            if once and status in NOT_RUN_STATUSES:
                self.add_violation("request refused as not run had run",
                                   request=request_id)
        self.check_excluded()

    def check_excluded(self):
        """Checks that drained and taken-out upstreams got no new requests.

        Leaves out requests of gateways that were disturbed meanwhile: these may
        not have received the change.
        """
        for name, since, until in self.excluded_periods:
            upstream = self.upstreams[int(name[2:])]
            late_arrivals = [request_id for at, request_id in upstream.arrivals
                             if since + PROPAGATION_S < at < until
                             and self.attempts[request_id][2].was_undisturbed(
                                 since, at)]
            if late_arrivals:
                self.add_violation("request sent to excluded upstream",
                                   upstream=name, requests=late_arrivals[:3])

    async def run(self):
        """Runs the soak; returns its result."""
        await self.start()
        self.end = time.monotonic() + self.seconds
        await asyncio.gather(
            self.inject_faults(),
            *([crashing_part.run(self)] if self.prompts else []),
            *([repeated.run(self)] if self.repeated else []),
            *(self.run_caller(i)
              for i in range(CALLER_COUNT + LONG_CALLER_COUNT)))
        await asyncio.sleep(0.5)
        for gateway in self.gateways:
            gateway.stopping = True
            gateway.signal(signal.SIGTERM)
        await asyncio.gather(*(asyncio.wait_for(
            one.process.wait(), GRACE_S + 2) for one in self.gateways))
        self.check_upstreams()
        self.check_cut_streams()
        added = foreign_events.check(self)
        planned_stops.check_answers(self)
        if "fail_upstreams" in self.fault_kinds:
            self.retry_budget_used = retry_budget.check(self)
        if self.prompts:
            crashing_part.check(self)
        if self.repeated:
            repeated.check(self)
        for gateway in self.gateways:
            for code in gateway.bad_exits:
                self.add_violation("unexpected exit of a process",
                                   gateway=gateway.number, code=code)
        return {"seed": self.seed, "fleet": "gateways",
                "seconds": self.seconds, "gateways": self.gateway_count,
                "requests": self.requests, "statuses": self.statuses,
                "faults": self.faults,
                "store_forms": sorted(self.store.forms),
                "rated_requests": self.rated_requests,
                "rated_allowance": round(self.rated_allowance, 1),
                "retry_budget_used": self.retry_budget_used,
                "violations": self.violations,
                **({"foreign_events": added} if added else {}),
                **({"crashes_in_all": len(self.crash_times),
                    "begin_shares": self.begin_shares}
                   if self.crash_kinds else {}),
                **({"request_crashes": len(self.repeated.crashes)}
                   if "crashing_request" in self.crash_kinds else {}),
                **(self.prompts.counts() if self.prompts else {})}


@functools.lru_cache(maxsize=None)
def claim_port_block():
    """Returns the first port of a block that no other soak has, and its lock.

    The block is this process's for as long as it runs, for all its seeds, also
    while no gateway of its own listens there: gateways are restarted at their
    ports. The lock is an open file.
    """
    first, end = PORTS
    blocks = (end - first) // PORTS_PER_SOAK
    for offset in range(blocks):
        block = (os.getpid() + offset) % blocks
        path = pathlib.Path(tempfile.gettempdir(),
                            f"heatherturn-soak-ports-{block}.lock")
        lock = open(path, "w", encoding="ascii")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return first + block * PORTS_PER_SOAK, lock
    raise OSError(f"other soaks have all ports from {first} to {end}")


def find_free_ports(count):
    """Returns ports on loopback that nothing listens on.

    They are below those that the system gives to outgoing connections, one of
    which could otherwise take a port before its gateway listens, and in a
    block that no other soak uses.
    """
    first, _ = claim_port_block()
    ports = []
    for port in range(first, first + PORTS_PER_SOAK):
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} free ports from {first} on")


def keep_logs(folder):
    """Copies the logs of a run that failed; returns the folder's name."""
    kept = folder.parent / f"failed-{folder.name}-{time.time_ns()}"
    shutil.copytree(folder, kept)
    return str(kept)


async def run_seed(soak):
    """Runs a soak and kills the processes that it left running."""
    try:
        return await soak.run()
    finally:
        for one in soak.gateways:
            if one.process and one.process.returncode is None:
                one.stopping = True
                one.process.kill()


def run(binary, folder, seed, seconds, gateway_count, faults):
    """Runs one seed; returns whether there were requests and no violation."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    try:
        line = asyncio.run(run_seed(
            Soak(binary, folder, seed, seconds, gateway_count, faults)))
    except (TimeoutError, asyncio.TimeoutError) as error:
        line = {"seed": seed, "requests": 0,
                "violations": [{"what": f"timed out: {error}"}]}
    if line["violations"] or not line["requests"]:
        line["logs"] = keep_logs(folder)
    print(json.dumps(line), flush=True)
    return not line["violations"] and line["requests"] > 0
