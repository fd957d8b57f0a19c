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
EVENT_PAUSE_S = 0.08
HEAD_MAX = 65536
REFUSAL = {"Heatherturn-Not-Executed": "1"}


class Broken(Exception):
    """The other side broke off or sent what is no HTTP."""


async def read_head(reader):
    """Returns a message's first line and its headers in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise Broken from error
    lines = head.decode("latin-1").split("\r\n")
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
        raise Broken from error


async def read_body(reader, headers):
    """Returns a whole body."""
    try:
        if headers.get("transfer-encoding") == "chunked":
            return b"".join([chunk async for chunk in read_chunks(reader)])
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise Broken from error


def answer(status, headers, body):
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
            self.take, "127.0.0.1", self.port, limit=HEAD_MAX)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening; open connections go on."""
        self.server.close()
        await self.server.wait_closed()

    async def take(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.serve(line.split(" ")[:2], headers, body, writer)
                await writer.drain()
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, request, headers, body, writer):
        """Answers one request."""
        raise NotImplementedError


class Store(Server):
    """Objects by kind and name, with one revision over all."""

    def __init__(self):
        super().__init__()
        self.objects = {}  # (kind, name) -> object
        self.revision = 1
        self.log = []  # (revision, kind, object, gone)
        self.forgotten = 0  # history up to here is gone
        self.state = "up"  # or busy, silent, slow
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        """Creates or replaces an object; returns when that was acknowledged."""
        self.revision += 1
        self.objects[kind, name] = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": spec}
        await self.note(kind, self.objects[kind, name], False)

    async def delete(self, kind, name):
        """Removes an object."""
        gone = self.objects.pop((kind, name), None)
        if gone is not None:
            self.revision += 1
            await self.note(kind, gone, True)

    async def note(self, kind, thing, gone):
        """Tells the watches of a change."""
        self.log.append((self.revision, kind, thing, gone))
        async with self.changed:
            self.changed.notify_all()

    def forget(self):
        """Drops the history."""
        self.forgotten = self.revision

    def list(self, kind):
        """Returns a whole list; these are short."""
        return {"Items": [thing for (of, _), thing in self.objects.items()
                          if of == kind],
                "HasMore": False, "StoreRevision": self.revision}

    async def watch(self, kind, since, wait_s):
        """Returns the events after a revision, or None where they are gone."""
        end = time.monotonic() + wait_s
        while True:
            if since < self.forgotten:
                return None
            events = [{"Tombstone": gone, "Object": thing}
                      for at, of, thing, gone in self.log
                      if of == kind and at > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, request, headers, body, writer):
        """Answers a call, in the state that the store is in."""
        while self.state == "silent":
            await asyncio.sleep(0.05)
        if self.state == "slow":
            await asyncio.sleep(0.3)
        if self.state == "busy":
            writer.write(answer(503, {}, b"{}"))
            return
        method, target = request
        path, _, query = target.partition("?")
        kind = path.split("/")[2]
        options = dict(urllib.parse.parse_qsl(query))
        if method != "GET":
            thing = json.loads(body)
            await self.put(kind, thing["Metadata"]["Name"], thing["Spec"])
            writer.write(answer(200, {}, b"{}"))
            return
        if "Watch" not in options:
            page = self.list(kind)
        else:
            page = await self.watch(
                kind, int(options["Watch"]), int(options["WaitMs"]) / 1e3)
        writer.write(answer(410 if page is None else 200, {},
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

    def turns_away(self, headers):
        """Says whether it refuses a request without running it."""
        meant = headers.get("heatherturn-expect-instance")
        if meant != self.name:
            return 421
        return 503 if self.hit("full") else 0

    def hit(self, kind):
        """Says whether a fault hits this request."""
        return self.random.random() < self.faults.get(kind, 0.0)

    async def serve(self, request, headers, body, writer):
        """Answers one request, or fails at it."""
        known = headers.get("heatherturn-attempt-id", "")
        self.arrivals.append((time.time(), known))
        refusal = self.turns_away(headers)
        if refusal:
            writer.write(answer(refusal, REFUSAL, b""))
            return
        self.runs[known] = self.runs.get(known, 0) + 1
        if self.hit("break"):
            raise Broken
        own = {"Heatherturn-Attempt-Id": known,
               "Heatherturn-Server-Seal": self.name}
        if self.hit("fail"):
            writer.write(answer(500, own, b"failed"))
        elif request[1].startswith("/stream/"):
            await self.stream(headers, own, writer)
        else:
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
            text = f"{known} {headers.get('heatherturn-tenant')}".encode()
            writer.write(answer(200, own, text + body))

    async def stream(self, headers, own, writer):
        """Streams the events after the last that the caller has."""
        first = int(headers.get("last-event-id", 0)) + 1
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value in own.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self.hit("cut"):
                writer.write(b"%x\r\n%s" % (len(event), event[:4]))
                raise Broken
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Proxy(Server):
    """Passes connections on to a port, and harms them."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.state = "open"  # or silent, one_way, slow, refuse
        self.links = set()

    def reset(self):
        """Resets all connections that are open now."""
        for writer in list(self.links):
            writer.transport.abort()

    async def take(self, reader, writer):
        """Joins a connection with one to the target."""
        if self.state == "refuse":
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.links |= {writer, back}
        try:
            await asyncio.gather(self.pump(reader, back, "silent"),
                                 self.pump(there, writer, "one_way"))
        finally:
            self.links -= {writer, back}

    async def pump(self, reader, writer, stops):
        """Copies one way; stands still in the states that stop it."""
        try:
            while data := await reader.read(16384):
                while self.state in (stops, "silent"):
                    await asyncio.sleep(0.02)
                if self.state == "slow":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            return
        writer.close()
