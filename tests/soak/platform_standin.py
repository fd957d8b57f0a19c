"""Stand-ins for the users' platform, in one event loop.

An object store with lists and watches, upstreams that run requests and stream
events, and proxies on loopback that delay, cut and silence what goes through.
"""

import asyncio
import json
import random
import time
import urllib.parse

EVENTS = 8
EVENT_GAP_S = 0.08
HEADER_MAX_BYTES = 65536
NOT_EXECUTED = {"Heatherturn-Not-Executed": "1"}


class BrokenConnection(Exception):
    """The other side broke off or sent what is no HTTP."""


async def read_header(reader):
    """Returns a message's first line and its headers in lower case."""
    try:
        header = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise BrokenConnection from error
    lines = header.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip()
                      for name, value in pairs}


async def read_chunks(reader):
    """Yields the chunks of a body; ends well at its last one alone."""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield chunk[:-2]
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise BrokenConnection from error


async def read_body(reader, headers):
    """Returns a whole body."""
    try:
        if headers.get("transfer-encoding") == "chunked":
            return b"".join([chunk async for chunk in read_chunks(reader)])
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise BrokenConnection from error


def make_response(status, headers, body):
    """Returns an answer's bytes."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}",
             *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Takes connections and hands each request to serve()."""

    def __init__(self):
        self.server = None
        self.port = 0

    async def start(self):
        """Listens on a port of its own, the same one when started again."""
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", self.port,
            limit=HEADER_MAX_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening; open connections go on."""
        self.server.close()
        await self.server.wait_closed()

    async def handle_connection(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                line, headers = await read_header(reader)
                body = await read_body(reader, headers)
                await self.handle_request(line.split(" ")[:2], headers, body,
                                          writer)
                await writer.drain()
        except (BrokenConnection, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle_request(self, request, headers, body, writer):
        """Answers one request."""
        raise NotImplementedError


class Store(Server):
    """Objects by kind and name, with one revision over all."""

    def __init__(self):
        super().__init__()
        self.objects = {}  # (kind, name) -> object
        self.revision = 1
        self.history = []  # (revision, kind, object, gone)
        self.compacted_revision = 0  # history up to here is gone
        self.state = "up"  # or busy, silent, slow
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        """Creates or replaces an object; returns when that was acknowledged."""
        self.revision += 1
        self.objects[kind, name] = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": spec}
        await self.record_change(kind, self.objects[kind, name], False)

    async def delete(self, kind, name):
        """Removes an object."""
        removed = self.objects.pop((kind, name), None)
        if removed is not None:
            self.revision += 1
            await self.record_change(kind, removed, True)

    async def record_change(self, kind, obj, removed):
        """Tells the watches of a change."""
        self.history.append((self.revision, kind, obj, removed))
        async with self.changed:
            self.changed.notify_all()

    def compact(self):
        """Drops the history."""
        self.compacted_revision = self.revision

    def list(self, kind):
        """Returns a whole list; these are short."""
        return {"Items": [obj for (of, _), obj in self.objects.items()
                          if of == kind],
                "HasMore": False, "StoreRevision": self.revision}

    async def watch(self, kind, since, wait_s):
        """Returns the events after a revision, or None where they are gone."""
        end = time.monotonic() + wait_s
        while True:
            if since < self.compacted_revision:
                return None
            events = [{"Tombstone": removed, "Object": obj}
                      for at, of, obj, removed in self.history
                      if of == kind and at > since]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    async def handle_request(self, request, headers, body, writer):
        """Answers a call, in the state that the store is in."""
        while self.state == "silent":
            await asyncio.sleep(0.05)
        if self.state == "slow":
            await asyncio.sleep(0.3)
        if self.state == "busy":
            writer.write(make_response(503, {}, b"{}"))
            return
        method, target = request
        path, _, query = target.partition("?")
        kind = path.split("/")[2]
        options = dict(urllib.parse.parse_qsl(query))
        if method != "GET":
            obj = json.loads(body)
            await self.put(kind, obj["Metadata"]["Name"], obj["Spec"])
            writer.write(make_response(200, {}, b"{}"))
            return
        if "Watch" not in options:
            page = self.list(kind)
        else:
            page = await self.watch(
                kind, int(options["Watch"]), int(options["WaitMs"]) / 1e3)
        writer.write(make_response(410 if page is None else 200, {},
                                   json.dumps(page or {}).encode()))


class Upstream(Server):
    """Runs requests; what it ran and when is kept for the checks."""

    def __init__(self, name, seed):
        super().__init__()
        self.name = name
        self.random = random.Random(seed)
        self.arrivals = []  # (wall s, request id)
        self.runs = {}  # request id -> times it ran
        self.faults = {}  # kind -> share of requests

    def rejection_status(self, headers):
        """Says whether it refuses a request without running it."""
        expected_instance = headers.get("heatherturn-expect-instance")
        if expected_instance != self.name:
            return 421
        return 503 if self.draws_fault("full") else 0

    def draws_fault(self, kind):
        """Says whether a fault hits this request."""
        return self.random.random() < self.faults.get(kind, 0.0)

    async def handle_request(self, request, headers, body, writer):
        """Answers one request, or fails at it."""
        request_id = headers.get("heatherturn-attempt-id", "")
        self.arrivals.append((time.time(), request_id))
        rejection = self.rejection_status(headers)
        if rejection:
            writer.write(make_response(rejection, NOT_EXECUTED, b""))
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if self.draws_fault("break"):
            raise BrokenConnection
        response_headers = {"Heatherturn-Attempt-Id": request_id,
                            "Heatherturn-Server-Seal": self.name}
        if self.draws_fault("fail"):
            writer.write(make_response(500, response_headers, b"failed"))
        elif request[1].startswith("/stream/"):
            await self.stream(headers, response_headers, writer)
        else:
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
            text = f"{request_id} {headers.get('heatherturn-tenant')}".encode()
            writer.write(make_response(200, response_headers, text + body))

    async def stream(self, headers, response_headers, writer):
        """Streams the events after the last that the caller has."""
        first = int(headers.get("last-event-id", 0)) + 1
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}"
                   for name, value in response_headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self.draws_fault("cut"):
                writer.write(b"%x\r\n%s" % (len(event), event[:4]))
                raise BrokenConnection
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Proxy(Server):
    """Passes connections on to a port, and harms them."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.state = "open"  # or silent, one_way, slow, refuse
        self.writers = set()

    def reset(self):
        """Resets all connections that are open now."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(self, reader, writer):
        """Joins a connection with one to the target."""
        if self.state == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self.copy(reader, target_writer, "silent"),
                                 self.copy(target_reader, writer, "one_way"))
        finally:
            self.writers -= {writer, target_writer}

    async def copy(self, reader, writer, stalled_state):
        """Copies one way; stands still in the states that stop it."""
        try:
            while data := await reader.read(16384):
                while self.state in (stalled_state, "silent"):
                    await asyncio.sleep(0.02)
                if self.state == "slow":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            return
        writer.close()
