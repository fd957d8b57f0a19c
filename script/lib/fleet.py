"""Runs a fleet of real processes with stand-in upstreams on loopback.

Used by the scripts demo, soak, measure and slopes. Signals only processes that
it started, by process id. All addresses are on 127.0.0.1.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("HEATHERTURN_BUILD", ROOT / "build"))
HEATHERTURN = BUILD / "heatherturn"
STANDIN = BUILD / "tests" / "standin"
LOAD = BUILD / "tests" / "load" / "standin-load"
TOKEN = "operator-token-of-the-scripts"
STOP_TIMEOUT_S = 60  # from SIGTERM to SIGKILL
DOMAINS = ("a", "b", "c")

# Current deployments: numbers of model and plain upstreams, model name, path.
PROFILES = {
    "serra": {"models": 16, "plain": 3, "model": "verse", "path": "/orders"},
    "vestiario": {"models": 14, "plain": 3, "model": "stylist",
                  "path": "/bookings"},
}


class Ports:
    """Allocates TCP ports from blocks below the ephemeral range.

    A port of the ephemeral range may be taken by any connection between its
    choice and its use. A block is reserved by a socket bound to its first
    port, so that scripts that run at once use different blocks.
    """

    FIRST, LAST, BLOCK = 10000, 32000, 200

    def __init__(self):
        self.reserved_sockets = []
        self.next = self.end = 0

    @staticmethod
    def try_bind(port, probe):
        """Binds a socket to a port; returns whether that succeeded."""
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True

    def reserve_block(self):
        """Reserves the first block that no other script has reserved."""
        self.reserved_sockets.append(socket.socket())
        for start in range(self.FIRST, self.LAST, self.BLOCK):
            if self.try_bind(start, self.reserved_sockets[-1]):
                self.next, self.end = start + 1, start + self.BLOCK
                return
        raise SystemExit("no block of ports is free between "
                         f"{self.FIRST} and {self.LAST}")

    def allocate(self):
        """Returns the next port that can be bound."""
        while True:
            if self.next == self.end:
                self.reserve_block()
            port, self.next = self.next, self.next + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if self.try_bind(port, probe):
                    return port


PORTS = Ports()


def free_port():
    """Returns a port that is not in use."""
    return PORTS.allocate()


def http(method, address, path, body=None, headers=None, timeout=5):
    """Makes an HTTP request; returns status, headers and body."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


def http_json(method, address, path, value=None, headers=None, timeout=5):
    """Makes a JSON request; returns status and value, None if not JSON."""
    body = None if value is None else json.dumps(value).encode()
    headers = dict(headers or {}, **{"Content-Type": "application/json"})
    status, _, text = http(method, address, path, body, headers, timeout)
    try:
        return status, json.loads(text or b"null")
    except ValueError:
        return status, None


def wait_for(what, check, seconds=20.0):
    """Waits until check() is true; exits the script after a time-out."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise SystemExit(f"timed out after {seconds:.0f} s waiting for {what}")


class Process:
    """One process of the fleet, which can be stopped and restarted."""

    def __init__(self, name, args, log):
        self.name, self.args, self.log = name, [str(a) for a in args], log
        self.popen = None
        self.paused = False
        self.stop_requested = False  # by SIGTERM
        self.exit_seen = False  # an unexpected exit was recorded
        self.start_count = 0
        self.state_changes = 0  # starts, pauses and resumes
        self.running_since = 0.0  # monotonic time of last start or resume
        self.resumed_at = []  # wall times of SIGCONT

    def start(self):
        """Starts the process; its log is appended to the same file."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.args, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.paused = self.stop_requested = self.exit_seen = False
        self.start_count += 1
        self.mark_running()

    def mark_running(self):
        """Records that the process runs from now on."""
        self.running_since = time.monotonic()
        self.state_changes += 1

    def is_running(self):
        """Whether it can answer requests: not paused, not asked to stop."""
        return self.is_alive() and not self.paused and not self.stop_requested

    def is_alive(self):
        """Whether the process exists, paused or not."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        """Sends a signal if the process still exists."""
        if self.is_alive():
            self.popen.send_signal(number)

    def kill(self):
        """Sends SIGKILL and waits for the exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def pause(self):
        """Sends SIGSTOP, which simulates a frozen host."""
        self.state_changes += 1
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Sends SIGCONT."""
        self.resumed_at.append(time.time())
        self.signal(signal.SIGCONT)
        self.mark_running()
        self.paused = False

    def stop(self, seconds=STOP_TIMEOUT_S):
        """Sends SIGTERM and waits; returns the exit code, None if killed."""
        if self.popen is None:
            return None
        if self.paused:
            self.resume()
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Fleet:
    """Platform, engines, plain services, sidecars and entries."""

    def __init__(self, folder, profile="serra", entries=2, models=None,
                 plain=None, engine=(), service=(), platform=(), entry=(),
                 sidecar=(), memory_tokens=262144, slots=8, cold_slots=2,
                 prefill=20000, organisations=10, large_organisations=3):
        self.folder = pathlib.Path(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.profile = PROFILES[profile]
        self.models = self.profile["models"] if models is None else models
        self.plain = self.profile["plain"] if plain is None else plain
        self.options = {"engine": engine, "service": service,
                        "platform": platform, "entry": entry,
                        "sidecar": sidecar}
        self.memory_tokens, self.slots = memory_tokens, slots
        self.cold_slots, self.prefill = cold_slots, prefill
        self.organisations = organisations
        self.large_organisations = large_organisations
        self.entry_count = entries
        self.processes = {}
        self.addresses = {}
        self.token_file = self.folder / "token"
        self.token_file.write_text(TOKEN + "\n")

    # Addresses and processes

    def address(self, name):
        """Returns the address of a listener by name, allocated on first use."""
        if name not in self.addresses:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
        return self.addresses[name]

    def start_process(self, name, args):
        """Starts a process whose output goes to a log file of its name."""
        process = Process(name, args, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
        return process

    def upstreams(self):
        """Returns (id, kind, failure domain) of each upstream."""
        names = [(f"m{i}", "engine") for i in range(self.models)]
        names += [(f"p{i}", "plain") for i in range(self.plain)]
        return [(name, kind, DOMAINS[i % len(DOMAINS)])
                for i, (name, kind) in enumerate(names)]

    def entry_names(self):
        """Returns the entries' names."""
        return [f"entry{i}" for i in range(self.entry_count)]

    def start_upstream(self, name, kind, domain):
        """Starts the stand-in of an upstream and its sidecar."""
        if kind == "engine":
            self.start_process(f"engine-{name}", [
                STANDIN / "standin-engine", "--listen", self.address(name),
                "--memory-tokens", self.memory_tokens, "--slots", self.slots,
                "--cold-slots", self.cold_slots, "--prefill-tokens-per-s",
                self.prefill, *self.options["engine"]])
        else:
            self.start_process(f"service-{name}", [
                STANDIN / "standin-service", "--listen", self.address(name),
                *self.options["service"]])
        self.start_process(f"sidecar-{name}", [
            HEATHERTURN, "sidecar", "--id", f"sidecar-{name}",
            "--failure-domain", domain, "--upstream", name, "--upstream-url",
            f"http://{self.address(name)}", "--dialect", kind, "--listen",
            self.address(f"sidecar-{name}"), "--http",
            self.address(f"sidecar-{name}-http"), "--platform",
            f"http://{self.address('platform')}", "--peers",
            self.address("entry0"), "--grace-s", STOP_TIMEOUT_S,
            *self.options["sidecar"]])

    def start_entry(self, name):
        """Starts one entry."""
        domain = DOMAINS[int(name[5:]) % len(DOMAINS)]
        peers = [self.address(other) for other in self.entry_names()
                 if other != name]
        self.start_process(name, [
            HEATHERTURN, "entry", "--id", name, "--failure-domain", domain,
            "--listen", self.address(name), "--callers",
            self.address(f"{name}-callers"), "--operators",
            self.address(f"{name}-operators"), "--operator-token-file",
            self.token_file, "--http", self.address(f"{name}-http"),
            "--platform", f"http://{self.address('platform')}",
            *(["--peers", ",".join(peers)] if peers else []),
            "--grace-s", STOP_TIMEOUT_S,
            *self.options["entry"]])

    def start(self):
        """Starts all processes, creates the objects, and waits until ready."""
        self.start_process("platform", [
            STANDIN / "standin-platform", "--listen",
            self.address("platform"), *self.options["platform"]])
        wait_for("the platform", lambda: http(
            "GET", self.address("platform"), "/hosts")[0] == 200)
        for upstream in self.upstreams():
            self.start_upstream(*upstream)
        for name in self.entry_names():
            self.start_entry(name)
        self.publish_hosts()
        wait_for("an entry's operator API", lambda: self.call(
            "List", {"kind": "organisation"})[0] == 200)
        self.create_objects()
        self.wait_ready()

    def wait_ready(self):
        """Waits until /readyz of every entry and sidecar returns 200."""
        names = self.entry_names()
        names += [f"sidecar-{name}" for name, _, _ in self.upstreams()]
        for name in names:
            wait_for(f"{name} to be ready", lambda: http(
                "GET", self.address(f"{name}-http"), "/readyz")[0] == 200)

    def publish_hosts(self, leaving=(), without=()):
        """Sets the host list of the platform stand-in, correct by default."""
        hosts = [{"id": name, "address": self.address(name), "role": "entry",
                  "failure_domain": DOMAINS[int(name[5:]) % len(DOMAINS)],
                  "state": "leaving" if name in leaving else "live"}
                 for name in self.entry_names()]
        for name, _, domain in self.upstreams():
            sidecar = f"sidecar-{name}"
            hosts.append({"id": sidecar, "address": self.address(sidecar),
                          "role": "sidecar", "failure_domain": domain,
                          "state": "leaving" if sidecar in leaving
                          else "live"})
        http_json("POST", self.address("platform"), "/standin/hosts",
                  {"hosts": [host for host in hosts
                             if host["id"] not in without]})

    # Operator API

    def call(self, method, value, entry="entry0", timeout=10):
        """Calls the operator API; returns status and response."""
        return http_json(
            "POST", self.address(f"{entry}-operators"),
            f"/heatherturn.v1.Operator/{method}", value,
            {"Authorization": f"Bearer {TOKEN}"}, timeout)

    def create(self, kind, value):
        """Creates an object; exits the script if that fails."""
        status, response = self.call("Create", {"object": {kind: value}})
        if status != 200:
            raise SystemExit(
                f"create {kind} {value['id']}: {status} {response}")

    def api_key(self, organisation):
        """Returns the API key of an organisation by its number."""
        return f"key-of-organisation-{organisation}"

    def create_objects(self):
        """Creates failure domains, services, upstreams and organisations."""
        import hashlib
        for domain in DOMAINS:
            self.create("failure_domain", {"id": domain, "region": "r1",
                                           "state": "in_service"})
        if self.models:
            self.create("service", {
                "id": self.profile["model"], "kind": "model",
                "retry_share_percent": 10,
                "long_threshold_tokens": 32768})
        if self.plain:
            self.create("service", {
                "id": self.profile["path"][1:], "kind": "plain",
                "path_prefix": self.profile["path"]})
        for name, kind, domain in self.upstreams():
            value = {"id": name, "failure_domain": domain, "dialect": kind,
                     "sidecar_address": self.address(f"sidecar-{name}"),
                     "state": "in_service"}
            if kind == "engine":
                value.update(service=self.profile["model"],
                             memory_tokens=self.memory_tokens,
                             slots=self.slots, cold_slots=self.cold_slots,
                             prefill_tokens_per_s=self.prefill)
            else:
                value.update(service=self.profile["path"][1:], slots=64,
                             cold_slots=64)
            self.create("upstream", value)
        for i in range(self.organisations):
            digest = hashlib.sha256(self.api_key(i).encode()).hexdigest()
            self.create("organisation", {
                "id": f"o{i}", "display_name": f"Organisation {i}",
                "weight": 10 if i < self.large_organisations else 1,
                "api_key_sha256": [digest]})

    # Metrics, records and faults

    def metrics(self, name):
        """Returns a process's metrics: values by name with labels."""
        text = http("GET", self.address(f"{name}-http"), "/metrics")[2]
        pairs = (line.rsplit(" ", 1) for line in text.decode().splitlines()
                 if line and not line.startswith("#"))
        return {key: float(value) for key, value in pairs}

    def records(self, name):
        """Returns the records that a stand-in keeps of its requests."""
        path = "/v1/standin/records" if name.startswith("m") else \
            "/standin/records"
        return http_json("GET", self.address(name), path)[1]

    def list_held(self, name, kind):
        """Returns an engine's list of runs or of blocks, "runs" or "kv"."""
        return http_json("GET", self.address(name), f"/v1/{kind}")[1]

    def inject_fault(self, name, value):
        """Injects a fault into a stand-in; returns the status."""
        path = "/v1/standin/fault" if name.startswith("m") else \
            "/standin/fault"
        return http_json("POST", self.address(name), path, value)[0]

    def stop(self):
        """Stops all processes gracefully: entries, sidecars, then the rest.

        Returns name and exit code of entries and sidecars that did not exit 0.
        """
        names_in_order = [name for name in self.processes
                          if name.startswith("entry")]
        names_in_order += [name for name in self.processes
                           if name not in names_in_order]
        failed = []
        for group in ("entry", "sidecar", ""):
            names = [name for name in names_in_order if name.startswith(group)
                     and self.processes[name].is_alive()]
            for name in names:
                process = self.processes[name]
                if process.paused:
                    process.resume()
                process.signal(signal.SIGTERM)
            for name in names:
                code = self.processes[name].stop()
                if code != 0 and group:
                    failed.append(f"{name}: {code}")
        return failed

    def kill_all(self):
        """Kills all processes that still run."""
        for process in self.processes.values():
            if process.is_alive():
                process.kill()
