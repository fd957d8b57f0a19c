"""Stand-ins for a deployment on loopback, for the cases 6 to 10.

A store, workers, clients and the project's gateways as separate processes,
started with the command of deploy/system.toml. The stand-ins follow
PROTOCOL.md; where that page is silent they behave like a sound peer.
"""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import time
import tomllib_lite
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "cards.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
START = time.monotonic()
# Of the site serra-cartas.
BOUNDS = {"ConfigMs": 2000, "GraceS": 8, "BudgetRatio": 0.2,
          "BudgetWindowS": 10, "BudgetSlack": 104, "ColdOver": 1.5,
          "ColdSlack": 5, "FreeMs": 4000}
LIMITS = {"CpuShare": 0.19, "MemoryMb": 260, "LinkMbps": 1000.0}
DRAIN_S = 2.0
STABILITY_S = 3.0
BEAT_S = 1.2
# Performance of a model worker, as the site's configuration names it.
ENGINE = {"Slots": 16, "KvTokens": 315000, "KvBytes": 163840,
          "LinkMbps": 400000.0, "Stride": 51, "Models": [{"Name": "m"}],
          "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
          "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
          "report_lag_ms": 200.0, "LoadsPerS": 0.0, "loads_at_once": 8,
          "delays": [], "usual": {"prompt": 11094, "answer": 1622},
          "HopMs": 0.05}


class Blocked(Exception):
    """The case can't run."""


class Gone(Exception):
    """The peer has closed the connection."""


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder, "record.txt"), "w",
                         encoding="utf-8")

    def add(self, text):
        """Writes a line with the time."""
        self.file.write(f"{now():8.3f}  {text}\n")
        self.file.flush()

    def close(self):
        """Closes the file."""
        self.file.close()


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as error:
        raise Gone from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at the end."""
    try:
        size = int(await reader.readuntil(b"\r\n"), 16)
        return (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Gone from error


async def read_body(reader, headers):
    """Returns a complete body."""
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Gone from error


def response(status, headers, body=b""):
    """Returns an encoded response with a length."""
    phrases = {200: "OK", 201: "Created", 202: "Accepted",
               400: "Bad Request", 404: "Not Found", 409: "Conflict",
               410: "Gone", 421: "Misdirected Request",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {phrases[status]}",
             f"Content-Length: {len(body)}",
             *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server on loopback."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self):
        """Listens; on the earlier port, if there was one."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        """Resets all connections and listens no more."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serves the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target = line.split(" ")[:2]
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (Gone, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        """Responds to one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}  # (kind, name) -> object
        self.revision = 100
        self.history = []  # (revision, kind, object, tombstone)
        self.oldest = 0  # history up to this revision is gone
        self.era = 1
        self.busy = False
        self.changed = asyncio.Event()

    def wake(self):
        """Wakes the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Creates or replaces an object; no event without a change."""
        old = self.objects.get((kind, name))
        if old is not None and old["Spec"] == spec:
            return old
        self.revision += 1
        obj = {"Metadata": {
            "Name": name, "Revision": self.revision,
            "CreateRevision": old["Metadata"]["CreateRevision"]
            if old else self.revision,
            "Finalizers": [], "Deleting": False}, "Spec": spec,
            "Status": None}
        self.objects[kind, name] = obj
        self.history.append((self.revision, kind, obj, False))
        self.wake()
        return obj

    def delete(self, kind, name):
        """Removes an object."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.history.append((self.revision, kind, obj, True))
            self.wake()

    def copy(self):
        """Returns a copy, to which restore() goes back."""
        return self.revision, dict(self.objects), list(self.history)

    def restore(self, copy):
        """Goes back to a copy: its acknowledged writes since are lost."""
        self.revision, objects, history = copy
        self.objects, self.history = dict(objects), list(history)
        self.era += 1
        self.wake()

    async def watch(self, kind, since, wait_s):
        """Returns the events after a revision; None if they are gone."""
        end = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.busy or self.era != era:
                raise Gone
            if since < self.oldest or since > self.revision:
                return None
            events = [{"Tombstone": dead, "Object": obj}
                      for at, of, obj, dead in self.history
                      if of == kind and at > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body, writer):
        era = {"Store-Era": self.era, "Content-Type": "application/json"}
        await asyncio.sleep(0.004)
        if self.busy:
            writer.write(response(503, era, b"{}"))
            return
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        status, answer = 200, {}
        if method == "POST":
            sent = json.loads(body)
            name = sent["Metadata"]["Name"]
            if (kind, name) in self.objects:
                status, answer = 409, self.objects[kind, name]
            else:
                status, answer = 201, self.put(kind, name, sent["Spec"])
        elif method == "PUT":
            if (kind, name) in self.objects:
                answer = self.put(kind, name, json.loads(body)["Spec"])
            else:
                status = 404
        elif method == "DELETE":
            self.delete(kind, name)
        elif name is not None:
            answer = self.objects.get((kind, name))
            status = 200 if answer else 404
        elif "Watch" in options:
            answer = await self.watch(kind, int(options["Watch"]),
                                      int(options.get("WaitMs", 0)) / 1e3)
            status = 200 if answer is not None else 410
        else:
            items = [obj for (of, one), obj in sorted(self.objects.items())
                     if of == kind and one > options.get("After", "")]
            answer = {"Items": items[:500], "HasMore": len(items) > 500,
                      "StoreRevision": self.revision}
        writer.write(response(status, era, json.dumps(answer or {}).encode()))


class Worker(Server):
    """A worker, which registers itself in the store."""

    def __init__(self, record, store, name, service="balcao", zone="z-a",
                 slots=6, work_s=0.06):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False  # says so in all its answers
        self.state = "ready"  # as it reports to the store
        self.reaches_store = True
        self.arrivals = []  # (s, request id, gateway)
        self.quiet = []  # (s, gateway, Retry-After in s) that it has asked for
        self.asks_quiet = {}  # gateway -> s to ask for with the next answer
        self.runs = {}  # request id -> times
        self.cut = []  # ids of requests that ended without an answer
        self.leaving_told = {}  # gateway -> s of the first such answer

    def entry(self):
        """Returns its entry in the store."""
        return {"Service": self.service,
                "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdMs": 0, "Sequence": self.sequence, "born": self.born}

    def beat(self):
        """Writes its entry, if the store takes it."""
        if self.reaches_store and not self.store.busy:
            self.store.put("servers", self.name, self.entry())

    def own_headers(self, headers, gateway):
        """Returns the headers of all its answers."""
        own = {"Heatherturn-Attempt-Id":
               headers.get("heatherturn-attempt-id", "")}
        if self.leaving:
            own["Server-Leaving"] = 1
            self.leaving_told.setdefault(gateway, now())
        return own

    def seal(self, request_id):
        """Returns the headers of an answer of its own."""
        return {"Heatherturn-Server-Seal": f"{self.name}.{request_id}"}

    async def handle(self, method, target, headers, body, writer):
        if target == "/health":
            writer.write(response(
                503 if self.leaving else 200,
                {"Heatherturn-Instance-Id": self.name}))
            return
        request_id = headers.get("heatherturn-attempt-id", "")
        # Clients name the gateway that they send to in a header of their own.
        gateway = headers.get("x-sent-to", "")
        own = self.own_headers(headers, gateway)
        if headers.get("heatherturn-expect-instance") not in (None, self.name):
            writer.write(response(421, {
                **own, "Heatherturn-Instance-Id": self.name}))
            return
        self.arrivals.append((now(), request_id, gateway))
        self.record.add(f"{self.name} gets {request_id} from {gateway}")
        if gateway in self.asks_quiet:
            seconds = self.asks_quiet.pop(gateway)
            self.quiet.append((now(), gateway, seconds))
            self.record.add(f"{self.name} answers {gateway} 503 with "
                            f"Retry-After: {seconds}, not run")
            writer.write(response(503, {
                **own, "Heatherturn-Not-Executed": 1,
                "Retry-After": seconds}))
            return
        await self.run(request_id, headers, gateway, writer)

    async def run(self, request_id, headers, gateway, writer):
        """Runs a request and answers it."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await asyncio.sleep(self.work_s)
        if writer.transport.is_closing():
            self.cut.append(request_id)
            return
        own = self.own_headers(headers, gateway)
        writer.write(response(200, {**own, **self.seal(request_id)},
                              f"done {request_id}".encode()))


class ModelWorker(Worker):
    """A model worker: streams events, and sets memory aside for prompts."""

    def __init__(self, record, store, name, zone="z-a", events=20,
                 gap_s=0.06):
        super().__init__(record, store, name, "versos", zone, slots=16)
        self.events, self.gap_s = events, gap_s
        self.crashing_part = None
        self.on_crash = None  # called when a prompt has crashed it

    async def run(self, request_id, headers, gateway, writer):
        """Runs a request: reads its prompt and streams events."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        parts = [one.split(":")[0] for one in headers.get(
            "heatherturn-prompt-prefix", "").split(",")]
        await asyncio.sleep(self.work_s)
        self.begin(headers, request_id, gateway, writer)
        if self.crashing_part in parts[:-1]:
            await writer.drain()
            await self.on_crash(self, request_id)
            raise Gone
        for number in range(int(headers.get("last-event-id", 0)) + 1,
                            self.events + 1):
            await asyncio.sleep(self.gap_s)
            if writer.transport.is_closing():
                raise Gone
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    def begin(self, headers, request_id, gateway, writer):
        """Writes the head of a stream."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value in
                   {**self.own_headers(headers, gateway),
                    **self.seal(request_id)}.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


class Gateway:
    """A gateway process."""

    def __init__(self, record, folder, number, store, zone):
        self.record, self.store, self.zone = record, store, zone
        self.name = f"front-{zone}-{number}"
        self.log = pathlib.Path(folder, f"{self.name}.log")
        self.front, self.ready, self.control = free_ports_once(3)
        self.process = None

    async def start(self, seeds):
        """Starts the process with the command of the deploy file."""
        values = {
            "NodeName": self.name, "Zone": self.zone,
            "Listen.Control": f"127.0.0.1:{self.control}",
            "Listen.Ready": f"127.0.0.1:{self.ready}",
            "Listen.Front": f"127.0.0.1:{self.front}",
            "Seeds": ",".join(f"127.0.0.1:{one.control}" for one in seeds),
            "Platform.Address": f"127.0.0.1:{self.store.port}",
            **{f"Bounds.{name}": value for name, value in BOUNDS.items()},
            **{f"Limits.{name}": value for name, value in LIMITS.items()}}
        command = tomllib_lite.run_line(ROOT / "deploy" / "system.toml",
                                        "gateway")
        for name, value in values.items():
            command = command.replace("{{" + name + "}}", str(value))
        if "{{" in command:
            raise Blocked(f"unknown setting in the deploy file: {command}")
        words = shlex.split(command)
        if not (ROOT / words[0]).exists():
            raise Blocked(f"{words[0]} is not built")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log)
        self.record.add(f"{self.name} started")

    async def is_ready(self):
        """Whether it answers the ready check with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, Gone, asyncio.TimeoutError):
            return False

    def kill(self):
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


PORTS = (20000, 32000)  # below those that the system gives out
next_port = [PORTS[0] + os.getpid() * 131 % 11000]


def free_ports_once(count):
    """Returns ports on which nothing listens now, none of them twice."""
    ports = []
    while len(ports) < count:
        port, next_port[0] = next_port[0], next_port[0] + 1
        if port >= PORTS[1]:
            raise Blocked("not enough free ports")
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Answer:
    """What a client has got for a request."""

    def __init__(self, request_id, gateway):
        self.request_id, self.gateway = request_id, gateway
        self.sent = now()
        self.ended = None
        self.status = None  # None: the connection ended without one
        self.headers = {}
        self.body = b""
        self.complete = False


class Fleet:
    """A store, workers and gateways, and the requests of clients."""

    def __init__(self, folder, record, gateways, zones=("a", "b")):
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.workers = []
        self.gateways = []
        self.gateway_count, self.zones = gateways, zones
        self.answers = []
        self.beats = None
        self.count = 0

    async def start(self, config):
        """Starts the store, the workers' entries and the gateways."""
        await self.store.listen()
        self.store.put("config", "main", config)
        for worker in self.workers:
            await worker.listen()
            worker.beat()
        self.beats = asyncio.ensure_future(self.beat())
        for number in range(self.gateway_count):
            self.gateways.append(Gateway(
                self.record, self.folder, number + 1, self.store,
                self.zones[number % len(self.zones)]))
        for gateway in self.gateways:
            await gateway.start(self.gateways[:3])
        end = now() + 10
        while not all([await one.is_ready() for one in self.gateways]):
            if now() > end:
                raise Blocked("the gateways are not ready after 10 s")
            await asyncio.sleep(0.05)
        self.record.add("all gateways are ready")

    async def beat(self):
        """Lets each worker write to the store each BeatMs."""
        due = {worker.name: now() + BEAT_S * (i + 1) / len(self.workers)
               for i, worker in enumerate(self.workers)}
        while True:
            await asyncio.sleep(0.02)
            for worker in self.workers:
                if now() >= due.get(worker.name, 0):
                    due[worker.name] = now() + BEAT_S
                    worker.beat()

    async def request(self, gateway, method, path, extra="", body=b"",
                      deadline_ms=4000, key=KEY):
        """Sends one request on a connection of its own; returns its Answer."""
        self.count += 1
        answer = Answer(f"q{self.count:05d}", gateway)
        self.answers.append(answer)
        self.record.add(f"client sends {answer.request_id} {method} {path} "
                        f"to {gateway.name}")
        try:
            await asyncio.wait_for(
                self.exchange(answer, method, path,
                              f"Authorization: Bearer {key}\r\n{extra}",
                              body, deadline_ms),
                deadline_ms / 1e3 + 1)
        except (OSError, Gone, asyncio.TimeoutError):
            pass
        answer.ended = now()
        self.record.add(
            f"client has {answer.request_id}: {answer.status} "
            f"{'complete' if answer.complete else 'incomplete'}")
        return answer

    async def exchange(self, answer, method, path, extra, body, deadline_ms):
        """Sends a request and reads its answer."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", answer.gateway.front, limit=1 << 20)
        try:
            writer.write((
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Heatherturn-Attempt-Id: {answer.request_id}\r\n"
                f"Heatherturn-Deadline-Remaining-Ms: {deadline_ms}\r\n"
                f"X-Sent-To: {answer.gateway.name}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            if answer.headers.get("transfer-encoding") == "chunked":
                while chunk := await read_chunk(reader):
                    answer.body += chunk
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.complete = True
        finally:
            writer.close()

    async def stop(self):
        """Ends all processes that were started."""
        if self.beats is not None:
            self.beats.cancel()
        for gateway in self.gateways:
            gateway.kill()
            if gateway.process is not None:
                await gateway.process.wait()


def make_config(routes, services, version=7):
    """Returns a configuration; a route is (prefix, kind, service, more)."""
    return {
        "Version": version,
        "Routes": [{"Name": f"r-{prefix.strip('/')}", "Host": HOST,
                    "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 4000,
                    "LatencyTargetMs": 300, "Priority": 1, "Attempts": 2,
                    "Public": False, "Sticky": False, "CanResume": False,
                    "Service": service, **more}
                   for prefix, kind, service, more in routes],
        "Services": services,
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "Keys": [KEY], "Priority": 1}]}


PLAIN = {"Name": "balcao", "HealthPath": "/health", "MaxConns": 110,
         "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}
MODEL = {"Name": "versos", "HealthPath": "/health", "MaxConns": 304,
         "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0,
         "Engine": ENGINE}


def main(case, folder, run):
    """Runs a case; exits with 1 if the rule was broken, 2 if it can't run.

    run(fleet folder, record, trouble) returns the lines that show how the rule
    was broken, none if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add(f"case {case}, {'with' if trouble else 'without'} the "
               "disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(
            run(os.environ["CASE_TEMPORARY"], record, trouble), 110))
    except (Blocked, OSError, asyncio.TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        print(f"case {case}: could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.add(f"BROKEN: {line}")
    verdict = "the rule is broken" if broken else "the rule holds"
    record.add(verdict)
    print(f"case {case}: {verdict}")
    for line in broken[:8]:
        print(f"  {line}")
    record.close()
    sys.exit(1 if broken else 0)
