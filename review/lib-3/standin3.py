"""Stand-ins of the third review: the platform's store, workers and clients.

They speak what the users' pages say, on loopback addresses, and record what
they see. A worker does only what a test tells it; all else is sound.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
# The bounds of a small deployment.
BOUNDS = {"ConfigMs": 2000, "GraceS": 8, "BudgetRatio": 0.2,
          "BudgetWindowS": 10, "BudgetSlack": 100, "ColdOver": 1.5,
          "ColdSlack": 5, "FreeMs": 4000}
LIMITS = {"CpuShare": 0.19, "MemoryMb": 260, "LinkMbps": 1000.0}
PORTS = (20000, 32000)  # below those that the system gives to clients
RESET = struct.pack("ii", 1, 0)


class Closed(Exception):
    """The peer has closed the connection."""


class Record:
    """What was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        """Returns the time since the start in seconds."""
        return time.monotonic() - self.start

    def add(self, what, **fields):
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


def reset_close(writer):
    """Closes a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as error:
        raise Closed from error
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:] if ":" in line]
    return lines[0], {name.strip().lower(): value.strip()
                      for name, value in pairs}


async def read_chunked(reader):
    """Returns a chunked body, and whether its last chunk has come."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_body(reader, headers):
    """Returns the body of a request."""
    if headers.get("transfer-encoding") == "chunked":
        body, whole = await read_chunked(reader)
        if not whole:
            raise Closed
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error


def encode(status, reason, headers, body=b""):
    """Returns an encoded response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}",
             *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server on a loopback port that it keeps when it stops."""

    def __init__(self):
        self.keeper = socket.socket()
        self.keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.keeper.bind((LOCAL, 0))
        self.port = self.keeper.getsockname()[1]
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """Returns the address as the pages write it."""
        return f"{LOCAL}:{self.port}"

    async def start(self):
        """Listens."""
        self.server = await asyncio.start_server(
            self.serve, LOCAL, self.port, reuse_port=True, limit=1 << 20)

    async def stop(self, reset=True):
        """Ends as a crash does: nothing listens, connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            if reset:
                reset_close(writer)
            else:
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target = line.split(" ")[:2]
                if not await self.handle(method, target, headers, body,
                                         writer):
                    return
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        """Responds to a request; returns whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.revision = 100
        self.history = []
        self.era = None
        self.changed = asyncio.Event()

    def wake(self):
        """Wakes the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Creates or replaces an object."""
        old = self.objects.get((kind, name))
        if old is not None and old["Spec"] == spec:
            return
        self.revision += 1
        created = old["Metadata"]["CreateRevision"] if old else self.revision
        self.objects[kind, name] = {
            "Metadata": {"Name": name, "Revision": self.revision,
                         "CreateRevision": created, "Finalizers": [],
                         "Deleting": False}, "Spec": spec, "Status": {}}
        self.history.append((self.revision, kind, self.objects[kind, name],
                             False))
        self.wake()

    def delete(self, kind, name):
        """Removes an object."""
        old = self.objects.pop((kind, name), None)
        if old is None:
            return
        self.revision += 1
        self.history.append((self.revision, kind, old, True))
        self.wake()

    async def watch(self, kind, since, wait_s):
        """Returns the events after a revision."""
        end = time.monotonic() + wait_s
        era = self.era
        while True:
            if era != self.era:
                raise Closed
            if since > self.revision:
                return None
            events = [{"Object": one, "Tombstone": gone}
                      for at, of, one, gone in self.history
                      if of == kind and at > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        parts = path.split("/")[2:]
        options = dict(urllib.parse.parse_qsl(query))
        era = {} if self.era is None else {"Store-Era": self.era}
        status, answer = 200, {}
        if method in ("POST", "PUT"):
            one = json.loads(body)
            name = one["Metadata"]["Name"]
            if method == "POST" and (parts[0], name) in self.objects:
                status, answer = 409, self.objects[parts[0], name]
            else:
                self.put(parts[0], name, one["Spec"])
                answer = self.objects[parts[0], name]
        elif method == "DELETE":
            self.delete(*parts[:2])
        elif "Watch" in options:
            answer = await self.watch(parts[0], int(options["Watch"]),
                                      int(options["WaitMs"]) / 1e3)
            if answer is None:
                status, answer = 410, {}
        elif len(parts) > 1:
            answer = self.objects.get((parts[0], parts[1]))
            if answer is None:
                status, answer = 404, {}
        else:
            after = options.get("After", "")
            answer = {"Items": [one for (kind, name), one
                                in sorted(self.objects.items())
                                if kind == parts[0] and name > after],
                      "HasMore": False, "StoreRevision": self.revision}
        writer.write(encode(status, "OK", {
            "Content-Type": "application/json", **era},
            json.dumps(answer).encode()))
        return True


class Worker(Server):
    """A worker; act(request) decides what it does with a request."""

    def __init__(self, record, name, service, zone="z-a", slots=16):
        super().__init__()
        self.record = record
        self.name, self.service, self.zone = name, service, zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, method, target, body, headers)
        self.arrivals = []
        self.act = None

    def spec(self, state="ready", **more):
        """Returns its entry."""
        return {"Service": self.service, "Address": self.address,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": state, "ColdMs": 0, "Stage": "combined",
                "Models": [], "Sequence": 1, "born": self.born, **more}

    def headers(self, request_id):
        """Returns the headers of its own response."""
        return {"Heatherturn-Attempt-Id": request_id,
                "Heatherturn-Server-Seal": f"seal.{self.name}.{request_id}"}

    def run(self, method, target, headers, body):
        """Begins to work on a request."""
        request_id = headers.get("heatherturn-attempt-id", "-")
        self.runs.append((self.record.now(), request_id, method, target,
                          body, headers))
        self.record.add("run", worker=self.name, id=request_id, method=method,
                        target=target, bytes=len(body),
                        tenant=headers.get("heatherturn-tenant"))

    async def handle(self, method, target, headers, body, writer):
        request_id = headers.get("heatherturn-attempt-id", "-")
        expected = headers.get("heatherturn-expect-instance")
        self.arrivals.append((self.record.now(), request_id, target))
        if expected not in (None, self.name):
            writer.write(encode(421, "Misdirected Request", {
                "Heatherturn-Attempt-Id": request_id,
                "Heatherturn-Instance-Id": self.name}))
            return True
        if target == "/health":
            writer.write(encode(200, "OK", {
                "Heatherturn-Instance-Id": self.name}))
            return True
        if self.act is not None:
            return await self.act(self, method, target, headers, body, writer)
        self.run(method, target, headers, body)
        writer.write(encode(200, "OK", self.headers(request_id),
                            f"{self.name}:{request_id}".encode()))
        return True


def fill(template, values):
    """Fills in the placeholders of the deploy file's line."""
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: str(values[match[1]]),
                  template)


def deploy_line():
    """Returns the gateway's line `run` of the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    return re.search(r'^run = """(.*?)"""', text, re.M | re.S)[1]


def free_port():
    """Returns a port that is free, and that no client is given by the system.

    A process that starts again gets the port that it had.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as one:
            try:
                one.bind((LOCAL, port))
            except OSError:
                continue
        return port


class Gateway:
    """A gateway process."""

    def __init__(self, record, name, zone, store_address, folder, limits=None):
        self.record, self.name, self.zone = record, name, zone
        self.store_address = store_address
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.control, self.ready, self.front = (free_port() for _ in range(3))
        self.seeds = []
        self.process = None
        self.starts = 0
        self.limits = dict(LIMITS, **(limits or {}))

    async def start(self):
        """Starts the process with the command of the deploy file."""
        values = {"NodeName": self.name, "Zone": self.zone,
                  "Listen.Control": f"{LOCAL}:{self.control}",
                  "Listen.Ready": f"{LOCAL}:{self.ready}",
                  "Listen.Front": f"{LOCAL}:{self.front}",
                  "Seeds": ",".join(self.seeds),
                  "Platform.Address": self.store_address,
                  **{f"Bounds.{name}": v for name, v in BOUNDS.items()},
                  **{f"Limits.{name}": v for name, v in self.limits.items()}}
        arguments = fill(deploy_line(), values).split()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *arguments, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"]})
        self.starts += 1
        self.record.add("start", gateway=self.name, pid=self.process.pid)

    async def is_ready(self):
        """Returns whether it says that it is ready."""
        try:
            status, _, _, _ = await asyncio.wait_for(
                call(self.ready, "GET", "/readyz", {}), 1)
        except (OSError, Closed, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=10):
        """Waits until it is ready."""
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.add("signal", gateway=self.name, number=number)
            self.process.send_signal(number)

    async def kill(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def call(port, method, target, headers, body=b"", timeout_s=20.0,
               host="h.example"):
    """Makes one request on a new connection.

    Returns status, headers, body and whether the answer is complete; the
    status is 0 if the connection ends before an answer.
    """
    reader, writer = await asyncio.open_connection(LOCAL, port, limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
                 *(f"{name}: {value}" for name, value in headers.items())]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    finally:
        writer.close()


async def read_answer(reader):
    """Reads an answer, see call()."""
    try:
        line, headers = await read_head(reader)
    except Closed:
        return 0, {}, b"", False
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, whole = await read_chunked(reader)
        return status, headers, body, whole
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return status, headers, await reader.readexactly(size), True
        except asyncio.IncompleteReadError as error:
            return status, headers, error.partial, False
        except ConnectionError:
            return status, headers, b"", False
    body = b""
    try:
        while data := await reader.read(65536):
            body += data
    except ConnectionError:
        return status, headers, body, False
    return status, headers, body, True


def route(name, prefix, kind, service, **more):
    """Returns a route of the configuration."""
    return {"Name": name, "Host": "h.example", "PathPrefix": prefix,
            "Kind": kind, "TimeoutMs": 10000, "LatencyTargetMs": 300,
            "Priority": 1, "Service": service, "Attempts": 2, "Public": False,
            "Sticky": False, "CanResume": False, "GapTargetMs": 250, **more}


def config(version, routes, services, tenants):
    """Returns a configuration; tenants are name -> keys."""
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": one, "HealthPath": "/health",
                          "MaxConns": 334, "Protocol": "h1", "Tls": False,
                          "ColdS": 0.0, "ColdPerS": 0.0} for one in services],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": name, "Keys": keys, "Priority": 1}
                        for name, keys in tenants.items()]}


class Fleet:
    """A store, workers and gateways, which end with the fleet."""

    def __init__(self, folder, gateways=3):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.store = Store()
        self.workers = []
        self.logs = tempfile.TemporaryDirectory()
        self.gateways = []
        self.gateway_count = gateways

    def add_worker(self, name, service, **more):
        """Adds a worker."""
        self.workers.append(Worker(self.record, name, service, **more))
        return self.workers[-1]

    async def start(self, configuration):
        """Starts all, with a configuration that is there before traffic."""
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.name, worker.spec())
        self.store.put("config", "main", configuration)
        for i in range(self.gateway_count):
            self.gateways.append(Gateway(
                self.record, f"front-{i + 1}", f"z-{'abc'[i % 3]}",
                self.store.address, self.logs.name))
        seeds = [f"{LOCAL}:{one.control}" for one in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def stop(self):
        """Ends all processes."""
        for gateway in self.gateways:
            await gateway.kill()
        for server in [self.store, *self.workers]:
            if server.server is not None:
                server.server.close()
        self.logs.cleanup()


def request_headers(request_id, key="key-1", deadline_ms=10000, **more):
    """Returns the headers of a client's request."""
    return {"Heatherturn-Attempt-Id": request_id,
            "Heatherturn-Deadline-Remaining-Ms": deadline_ms,
            "Authorization": f"Bearer {key}",
            **{name.replace("_", "-"): v for name, v in more.items()}}


def main(work, limit_s):
    """Runs a case's coroutine and exits with its result.

    What stops the case from running is no result: the exit code is 2 then.
    """
    try:
        code = asyncio.run(asyncio.wait_for(work, limit_s))
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
