"""Gateways in three failure domains, and their paths.

Each gateway reaches the store through a proxy of its own, and others reach it
through one that delays what they send, as a network between zones does.
"""

import asyncio
import contextlib
import json
import signal
import time

import gateways
import platform_standin as standin

STABILITY_S = 3.0  # for which a disturbance excuses a gateway
GRACE_S = 8.0
# Failure domain and number. By the rank of these names the second one, which is
# no seed, is the first choice to watch the store.
NAMES = ("rack-a-1", "rack-a-2", "rack-b-1", "rack-b-2", "rack-c-1")
SEEDS = (0, 2, 4)
PEER_DELAY_S = 0.003  # each way between two gateways


class StoreProxy(standin.Proxy):
    """A gateway's path to the store.

    Connections that are open can go silent for good, while new ones work. In
    state "busy" or "limited", requests get 503 or 429 from it.
    """

    def __init__(self, target):
        super().__init__(target)
        self.silent = set()
        self.listed_at = 0.0  # wall s of the last list of configurations

    def silence(self):
        """Makes the open connections silent for good."""
        self.silent |= self.writers

    async def handle_connection(self, reader, writer):
        """Forwards a connection, or answers its requests."""
        status = {"busy": 503, "limited": 429}.get(self.state)
        if status is None:
            with contextlib.suppress(asyncio.CancelledError):
                await super().handle_connection(reader, writer)
            return
        try:
            while self.state in ("busy", "limited"):
                _, headers = await standin.read_header(reader)
                await standin.read_body(reader, headers)
                writer.write(standin.make_response(status, {}, b"{}"))
            writer.close()
        except (standin.BrokenConnection, ConnectionError):
            writer.close()

    async def copy(self, reader, writer, stalled_state):
        """Copies one way, unless the connection is silent."""
        try:
            while data := await reader.read(16384):
                while (writer in self.silent
                       or self.state in (stalled_state, "silent")):
                    await asyncio.sleep(0.02)
                if self.state == "slow":
                    await asyncio.sleep(0.1)
                if b"GET /objects/config HTTP" in data:
                    self.listed_at = time.time()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            return
        writer.close()


class PeerProxy(standin.Proxy):
    """The links that others open to a gateway, with a delay each way."""

    async def handle_connection(self, reader, writer):
        """Forwards a connection until the run ends."""
        with contextlib.suppress(asyncio.CancelledError):
            await super().handle_connection(reader, writer)

    async def copy(self, reader, writer, stalled_state):
        """Copies one way, with the delay of a network between zones."""
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(PEER_DELAY_S)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            return
        writer.close()


class Gateway(gateways.Gateway):
    """A gateway process in one of three failure domains."""

    def __init__(self, binary, folder, number, store, ports):
        super().__init__(binary, folder, number, store,
                         ports[3 * number:3 * number + 3], 0)
        self.name = NAMES[number]
        self.log = folder / f"{self.name}.log"
        self.proxy = StoreProxy(store.port)
        self.peer_proxy = PeerProxy(self.listen)
        self.peers = ""  # addresses of the seeds
        self.excused = []  # [from, to] in wall seconds
        self.newest_seen = (0.0, 0)  # wall s, index of a version, of a process

    async def start(self):
        """Starts the process and watches for its exit."""
        if not self.proxy.server:
            await self.proxy.start()
        local = "127.0.0.1"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "gateway", f"--id={self.name}",
                f"--failure-domain={self.name[5]}",
                f"--listen={local}:{self.listen}",
                f"--advertise={local}:{self.peer_proxy.port}",
                f"--http={local}:{self.http}",
                f"--callers={local}:{self.callers}",
                f"--objects={local}:{self.proxy.port}",
                f"--peers={self.peers}", f"--grace-s={GRACE_S}",
                "--retry-ratio=0.2", "--retry-window-s=10",
                "--retry-slack=1000", "--cold-ratio=1.5", "--cold-slack=4",
                "--hold-ms=2000", "--cpu-share=1", "--drain-notice-ms=2700",
                "--memory-mb=256", "--link-mbps=100", stdout=log, stderr=log)
        self.stopping = False
        self.incarnation += 1
        self.newest_seen = (0.0, 0)
        asyncio.ensure_future(self.watch_exit(self.process))

    def lines(self, text):
        """Returns the log's lines with a text."""
        return [json.loads(line) for line in self.log.read_text(
            errors="replace").splitlines() if f'"{text}"' in line]

    def excuse(self):
        """Records a disturbance at this moment."""
        self.excused.append([time.time(), time.time()])

    def is_excused(self, sent):
        """Whether it was disturbed in the time before a request."""
        return any(start <= sent <= end + STABILITY_S
                   for start, end in self.excused)

    def send_signal(self, number):
        """Sends a signal to the process if it still exists."""
        self.excuse()
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def freeze(self, seconds):
        """Stops the process for some time, as a frozen machine would."""
        period = [time.time(), float("inf")]
        self.excused.append(period)
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
        period[1] = time.time()

    async def end(self, number, pause_s=0.0):
        """Ends the process by a signal and starts it again after a pause."""
        self.stopping = True
        self.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S + 0.5)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        period = [time.time(), float("inf")]
        self.excused.append(period)
        await asyncio.sleep(pause_s)
        await self.start()
        period[1] = time.time()
