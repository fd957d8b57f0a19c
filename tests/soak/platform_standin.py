"""Stand-ins for the platform and its upstreams, in one event loop.

An object store with lists and watches, upstreams that run requests and stream
events, and TCP proxies on loopback that delay, stall, refuse and reset
connections.
"""

import asyncio
import collections
import http
import json
import random
import socket
import struct
import time
import urllib.parse

import denied
import foreign_events

EVENTS = 8
EVENT_GAP_S = 0.08
HEADER_MAX_BYTES = 65536
COPY_INTERVAL_S = 0.5  # between copies of the store
COPIES = 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ENDLESS_MAX_BYTES = 32 * 1024 * 1024  # a caller must close long before
ENDLESS_FILLER = b"X-Filler: 0123456789012345678901234567890123\r\n" * 64


def not_executed(request_id):
    """Returns the headers of a response to a request that was not run."""
    return {"Heatherturn-Attempt-Id": request_id,
            "Heatherturn-Not-Executed": "1"}


class BrokenConnection(Exception):
    """The peer closed the connection early or sent malformed HTTP."""


async def read_header(reader):
    """Returns the first line and the headers, with names in lower case."""
    try:
        header = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise BrokenConnection from error
    lines = header.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip()
                      for name, value in pairs}


async def read_chunks(reader):
    """Yields the chunks of a body; raises if the last chunk is missing."""
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
    """Returns a complete body, chunked or with a Content-Length."""
    try:
        if headers.get("transfer-encoding") == "chunked":
            return b"".join([chunk async for chunk in read_chunks(reader)])
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise BrokenConnection from error


def event_count(path):
    """Returns the number of events that a stream's path asks for."""
    return int(path.rpartition("/")[2])


def is_stream(path):
    """Whether the response to a request with this path is a stream."""
    return path.startswith(("/stream/", "/long/", "/prompt/",
                            foreign_events.PATH))


def spoil_digit(data, rng):
    """Replaces a random digit by another one or by a letter."""
    places = [i for i, byte in enumerate(data) if chr(byte).isdigit()]
    at = rng.choice(places)
    others = [byte for byte in b"0123456789x" if byte != data[at]]
    return data[:at] + bytes([rng.choice(others)]) + data[at + 1:]


def make_response(status, headers, body, reason=None):
    """Returns an encoded HTTP response."""
    lines = [f"HTTP/1.1 {status} {reason or http.HTTPStatus(status).phrase}", f"Content-Length: {len(body)}",
             *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server that passes each request to handle_request()."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.reserved = None  # socket that keeps the port from others

    def reserve_port(self):
        """Takes a free port, which nobody else gets while nothing listens."""
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.reserved.bind(("127.0.0.1", 0))
        self.port = self.reserved.getsockname()[1]

    async def start(self):
        """Listens on a free port, or on the previous one after a restart."""
        if self.reserved is None:
            self.reserve_port()
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", self.port,
            limit=HEADER_MAX_BYTES, reuse_port=True)

    async def stop(self):
        """Stops listening; open connections stay open."""
        self.server.close()
        await self.server.wait_closed()

    async def handle_connection(self, reader, writer):
        """Serves the requests of one connection."""
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
        """Responds to one request."""
        raise NotImplementedError


STORE_FORMS = ("pages", "beats", "pieces", "closes", "refuses", "statuses",
               "gathers")
PAGE_ITEMS = 2
PIECE_BYTES = 53
REFUSED_SHARE = 0.1
OTHER_WRITES_S = (0.02, 0.2)  # between changes that concern no gateway


def draw_forms(seed):
    """Draws which of a store's forms one has, about two of them."""
    rng = random.Random(f"store of {seed}")
    return {form for form in STORE_FORMS if rng.random() < 0.3}


class Store(Server):
    """The object store: objects by kind and name, one revision counter.

    Its forms are what a store may also do: lists in pages, changes of the
    revision that no list shows, answers in pieces, on one connection each, late
    with several events, or refused, and a changed status.
    """

    def __init__(self, forms=(), seed=0):
        super().__init__()
        self.forms = set(forms)
        self.random = random.Random(seed)
        self.objects = {}  # (kind, name) -> object
        self.revision = 1
        self.history = []  # (revision, kind, object, whether deleted)
        self.compacted_revision = 0  # history up to here was dropped
        self.state = "up"  # or busy, silent, slow
        self.changed = asyncio.Event()  # replaced at each change
        self.era = 1  # rises with each restore
        self.copies = collections.deque(maxlen=COPIES)

    async def write_others(self):
        """Changes what no gateway uses, until it is cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*OTHER_WRITES_S))
            if "beats" in self.forms and self.state == "up":
                self.revision += self.random.randint(1, 3)
            if "statuses" in self.forms and self.state == "up" and \
                    ("config", "main") in self.objects:
                await self.set_status("config", "main")

    async def set_status(self, kind, name):
        """Changes the status of an object, and nothing else of it."""
        self.revision += 1
        obj = self.objects[kind, name]
        self.objects[kind, name] = {
            "Metadata": {**obj["Metadata"], "Revision": self.revision},
            "Spec": obj["Spec"], "Status": {"Seen": self.revision}}
        await self.record_change(kind, self.objects[kind, name], False)

    async def make_copies(self):
        """Copies the store now and then, until it is cancelled."""
        while True:
            self.copies.append((time.monotonic(), self.revision,
                                dict(self.objects)))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore(self, age_s):
        """Goes back to the newest copy that is at least age_s old.

        Revisions are assigned again, and waiting watches are cut off.
        """
        now = time.monotonic()
        copies = [one for one in self.copies if now - one[0] >= age_s]
        if not copies:
            return
        _, self.revision, objects = copies[-1]
        self.objects = dict(objects)
        self.history = [one for one in self.history
                        if one[0] <= self.revision]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.copies.clear()
        self.era += 1
        self.wake_watches()

    async def put(self, kind, name, spec):
        """Creates or replaces an object and notifies the watches.

        Without a difference there is neither a revision nor an event.
        """
        old = self.objects.get((kind, name))
        if old and old["Spec"] == spec:
            return
        self.revision += 1
        created = old["Metadata"]["CreateRevision"] if old else self.revision
        self.objects[kind, name] = {
            "Metadata": {"Name": name, "Revision": self.revision,
                         "CreateRevision": created, "Finalizers": [],
                         "Deleting": False},
            "Spec": spec, "Status": {}}
        await self.record_change(kind, self.objects[kind, name], False)

    async def delete(self, kind, name):
        """Deletes an object and notifies the watches."""
        removed = self.objects.pop((kind, name), None)
        if removed is not None:
            self.revision += 1
            await self.record_change(kind, removed, True)

    async def record_change(self, kind, obj, removed):
        """Adds a change to the history and notifies the watches."""
        self.history.append((self.revision, kind, obj, removed))
        self.wake_watches()

    def wake_watches(self):
        """Wakes the watches that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drops the history: watches from older revisions get 410."""
        self.compacted_revision = self.revision

    def list(self, kind, after=""):
        """Returns the objects after a name, in order of their names."""
        items = [obj for (of, name), obj in sorted(self.objects.items())
                 if of == kind and name > after]
        count = PAGE_ITEMS if "pages" in self.forms else len(items)
        return {"Items": items[:count], "HasMore": len(items) > count,
                "StoreRevision": self.revision}

    async def watch(self, kind, since, wait_s):
        """Returns the events after a revision; None if it was compacted."""
        end = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.era != era:
                raise BrokenConnection
            if since < self.compacted_revision or since > self.revision:
                return None
            events = [{"Tombstone": removed, "Object": obj}
                      for at, of, obj, removed in self.history
                      if of == kind and at > since]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    async def handle_request(self, request, headers, body, writer):
        """Responds to a request as the state of the store demands."""
        while self.state == "silent":
            await asyncio.sleep(0.05)
        if self.state == "slow":
            await asyncio.sleep(0.3)
        if self.state == "busy":
            writer.write(make_response(503, self.era_header(), b"{}"))
            return
        method, target = request
        path, _, query = target.partition("?")
        kind = path.split("/")[2]
        options = dict(urllib.parse.parse_qsl(query))
        if method != "GET":
            obj = json.loads(body)
            await self.put(kind, obj["Metadata"]["Name"], obj["Spec"])
            writer.write(make_response(200, self.era_header(), b"{}"))
            return
        if "refuses" in self.forms and self.random.random() < REFUSED_SHARE:
            writer.write(make_response(self.random.choice((429, 503)),
                                       self.era_header(), b"{}"))
            return
        if "Watch" not in options:
            page = self.list(kind, options.get("After", ""))
        else:
            if "gathers" in self.forms:
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
            page = await self.watch(
                kind, int(options["Watch"]), int(options["WaitMs"]) / 1e3)
        await self.send(writer, make_response(
            410 if page is None else 200, self.era_header(),
            json.dumps(page or {}).encode()))

    async def send(self, writer, response):
        """Sends a response as the store's forms have it."""
        step = PIECE_BYTES if "pieces" in self.forms else len(response)
        for at in range(0, len(response), step):
            writer.write(response[at:at + step])
            if step < len(response):
                await writer.drain()
        if "closes" in self.forms:
            await writer.drain()
            raise BrokenConnection

    def era_header(self):
        """Returns the header that all responses have."""
        return {"Store-Era": self.era}


class Upstream(Server):
    """An upstream that records its requests for the checks."""

    def __init__(self, name, seed):
        super().__init__()
        self.name = name
        self.random = random.Random(seed)
        self.arrivals = []  # (wall s, request id)
        self.runs = {}  # request id -> number of runs
        self.broken_off = set()  # ids of requests that it did not finish
        self.faults = {}  # kind -> probability for a request
        self.born = int(time.time() * 1000)
        self.leaving = False  # says so in all responses
        self.notices = []  # (wall s, request id, "leaving" or quiet s)
        self.rate = None  # of requests that it names
        self.rate_missing_share = 0.0  # of responses, which don't name it
        self.rate_episodes = []  # of lists of (wall s, rate), the last None
        self.rate_notices = []  # (wall s, request id)
        self.crashing_part = None  # of prompts that end its process
        self.crash = None  # ends its process and starts it again
        self.crashed = False
        self.crashing_request = None  # last part of the prompt that does so
        self.crashes_early = False  # under it, before the response begins
        self.crash_under_request = None  # as crash
        self.read_on = 0  # endless responses that were read to the end
        self.spoilt = {}  # request id -> (number of an event, its bytes)
        self.additions = []  # (request id, bytes that its run did not make)
        self.event_tokens = 1  # that the ids of an event count
        self.counted = {}  # request id -> tokens of its events, if not 1
        self.failed = set()  # ids of requests that it answered with 500
        self.own_errors = set()  # (request id, status) that it meant

    def rejection_status(self, headers):
        """Returns the status of a rejection, 0 if the request is run."""
        expected_instance = headers.get("heatherturn-expect-instance")
        if expected_instance != self.name:
            return 421
        return 503 if self.draws_fault("full") else 0

    def draws_fault(self, kind):
        """Draws whether a fault applies to this request."""
        return self.random.random() < self.faults.get(kind, 0.0)

    async def handle_request(self, request, headers, body, writer):
        """Responds to one request, or fails it."""
        request_id = headers.get("heatherturn-attempt-id", "")
        self.arrivals.append((time.time(), request_id))
        rejection = self.rejection_status(headers)
        if self.leaving and rejection != 421:
            self.notices.append((time.time(), request_id, "leaving"))
        if rejection == 0 and self.draws_fault("quiet"):
            quiet_s = self.random.uniform(0.8, 3.0)
            self.notices.append((time.time(), request_id, quiet_s))
            writer.write(make_response(
                503, {**not_executed(request_id),
                      **self.own_headers(request_id),
                      "Retry-After": f"{quiet_s:.2f}"}, b""))
            return
        if rejection:
            own = self.own_headers(request_id) if rejection != 421 else {}
            writer.write(make_response(
                rejection, {**not_executed(request_id), **own}, b""))
            return
        if self.draws_fault("endless"):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.broken_off.add(request_id)
            await self.respond_without_end(request, writer)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if self.draws_fault("break"):
            self.broken_off.add(request_id)
            raise BrokenConnection
        if self.draws_fault("earlier_refusal"):
            self.broken_off.add(request_id)
            earlier = self.random.choice(self.arrivals)[1]
            if earlier != request_id:
                writer.write(make_response(
                    503, not_executed(earlier), b""))
                return
        response_headers = {"Heatherturn-Attempt-Id": request_id,
                            "Heatherturn-Server-Seal": self.name,
                            **self.own_headers(request_id)}
        if self.crashes_early and self.is_crashing_request(headers):
            await asyncio.sleep(EVENT_GAP_S)
            self.crash_under_request()
            raise BrokenConnection
        if "error" in self.faults and self.draws_fault("error"):
            status, reason, error_headers = denied.draw_error(
                self, request_id, response_headers)
            writer.write(make_response(status, error_headers, b"error",
                                       reason))
        elif self.draws_fault("fail"):
            self.failed.add(request_id)
            writer.write(make_response(500, response_headers, b"failed"))
        elif is_stream(request[1]):
            await self.stream(request[1], headers, response_headers, writer)
        else:
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
            text = f"{request_id} {headers.get('heatherturn-tenant')}".encode()
            response = make_response(200, response_headers, text + body)
            if self.draws_fault("spoil"):
                spoil = self.random.choice((self.spoil_length,
                                            self.spoil_head))
                writer.write(spoil(request_id, response))
                raise BrokenConnection
            writer.write(response)

    def spoil_length(self, request_id, response):
        """Returns a response with a letter in its Content-Length."""
        self.broken_off.add(request_id)
        before, name, rest = response.partition(b"Content-Length: ")
        length, end, rest = rest.partition(b"\r\n")
        at = self.random.randrange(len(length))
        return (before + name + length[:at] + b"x" + length[at + 1:] + end +
                rest)

    def spoil_head(self, request_id, response):
        """Returns a response with another character in its head.

        It is in the status line or in the lines of the id and the seal, line
        ends included, but not in the seal's value.
        """
        self.broken_off.add(request_id)
        places, at = [], 0
        for number, line in enumerate(response.split(b"\r\n\r\n")[0].split(
                b"\r\n")):
            end = at + len(line) + 2
            if b"Seal" in line:
                places += range(at, at + line.index(b":") + 1)
            elif number == 0 or b"Attempt-Id" in line:
                places += range(at, end)
            at = end
        at = self.random.choice(places)
        other = self.random.choice(
            [one for one in range(33, 127) if one != response[at]])
        return response[:at] + bytes([other]) + response[at + 1:]

    def own_headers(self, request_id):
        """Returns what the upstream says of itself in each response."""
        headers = {"Server-Leaving": 1} if self.leaving else {}
        if self.rate is not None and \
                self.random.random() >= self.rate_missing_share:
            headers["Server-Limit"] = self.rate
            self.rate_notices.append((time.time(), request_id))
        return headers

    async def respond_without_end(self, request, writer):
        """Sends a head, or an event, until the caller closes."""
        lines = b"HTTP/1.1 200 X\r\n"
        if is_stream(request[1]) and self.random.random() < 0.5:
            lines += b"Content-Type: text/event-stream\r\n\r\ndata: "
        writer.write(lines)
        sent = 0
        while sent < ENDLESS_MAX_BYTES:
            writer.write(ENDLESS_FILLER)
            await writer.drain()
            sent += len(ENDLESS_FILLER)
        self.read_on += 1
        raise BrokenConnection

    def crashes_under(self, headers):
        """Whether a request's prompt has the part that ends the process."""
        return self.crashing_part is not None and self.crashing_part in \
            headers.get("heatherturn-prompt-prefix", "").split(",")

    def is_crashing_request(self, headers):
        """Whether this is the request that ends the process each time."""
        return self.crashing_request is not None and \
            headers.get("heatherturn-prompt-prefix", "").endswith(
                self.crashing_request)

    async def stream(self, path, headers, response_headers, writer):
        """Streams the events after Last-Event-ID.

        Where no run continues another one, the ids may count tokens.
        """
        count = event_count(path)
        first = int(headers.get("last-event-id", 0)) + 1
        request_id = response_headers["Heatherturn-Attempt-Id"]
        tokens = (self.event_tokens
                  if path.startswith(foreign_events.PATH) else 1)
        if tokens > 1:
            self.counted[request_id] = tokens
        spoils = self.draws_fault("spoil") and first <= count
        wrong = self.random.randint(first, count) if spoils else None
        added = None
        if not spoils and tokens == 1 and "foreign" in self.faults and \
                self.draws_fault("foreign"):
            added = foreign_events.draw(self.random, first, count)
            self.additions.append((request_id, added))
        framed = not added or added.framing != foreign_events.UNFRAMED
        joined = added and added.framing == foreign_events.JOINED
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked" if framed
                 else "Connection: close",
                 *(f"{name}: {value}"
                   for name, value in response_headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

        def write(data):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framed
                         else data)

        for number in range(first, count + 1):
            if added and number == added.before and not joined:
                write(added.data)
            await asyncio.sleep(EVENT_GAP_S)
            if self.crashes_under(headers):
                self.crash()
                raise BrokenConnection
            if self.is_crashing_request(headers):
                self.crash_under_request()
                raise BrokenConnection
            event = f"id: {number * tokens}\ndata: {number}\n\n".encode()
            if number == wrong:
                line, end, rest = event.partition(b"\n")
                event = spoil_digit(line, self.random) + end + rest
                self.spoilt[request_id] = (number, event)
            if not spoils and not added and self.draws_fault("cut"):
                writer.write(b"%x\r\n%s" % (len(event), event[:4]))
                self.broken_off.add(request_id)
                raise BrokenConnection
            if joined and number == added.before:
                event = added.data + event
            elif joined and number == count < added.before:
                event += added.data
            write(event)
            await writer.drain()
        if added and added.before > count and not (joined and first <= count):
            write(added.data)
        if not framed:
            raise BrokenConnection
        write(b"")


class Proxy(Server):
    """A TCP proxy to a port that can disturb its connections."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.state = "open"  # or silent, one_way, slow, refuse
        self.writers = set()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            if not writer.transport.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def handle_connection(self, reader, writer):
        """Forwards a connection to the target."""
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
        """Copies one way; waits in state "silent" and in stalled_state."""
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
