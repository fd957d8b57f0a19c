"""Faults that a soak provokes in a fleet, drawn from its seed."""

import collections
import json
import time

import fleet as fleets
from operators import RACING_OPERATORS, Operators

CRASH_EXIT = 137  # of an engine that ran a request that crashes it
CHECKED_PREFIXES = ("entry", "sidecar")


class FaultInjector:
    """Provokes faults one after the other, some overlapping and some twice."""

    def __init__(self, fleet, random):
        self.fleet, self.random = fleet, random
        self.counts = collections.Counter()
        self.pending_restarts = []  # (due, process name)
        self.pending_resumes = []
        self.platform_fault_end = 0.0
        self.platform_down_at = 0.0  # when it goes down, after a call
        self.dead_engine_records = collections.defaultdict(list)  # by name
        self.operators = Operators(fleet, self.dead_engine_records)
        self.unexpected_exits = []  # of our processes
        self.wrong_hosts_end = 0.0
        self.remaining_kinds = []

    # Choosing

    def engine_names(self):
        """Names of the engines' upstreams."""
        return [name for name, kind, _ in self.fleet.upstreams()
                if kind == "engine"]

    def pick_running(self, names):
        """Chooses a process that is up and not stopped, or None."""
        candidates = [name for name in names
                      if self.fleet.processes[name].is_running()]
        return self.random.choice(candidates) if candidates else None

    def sidecar_names(self):
        """Names of the sidecars' processes."""
        return [f"sidecar-{name}" for name, _, _ in self.fleet.upstreams()]

    def schedule_restart(self, name, low=0.3, high=2.5):
        """Starts a process again after a while."""
        self.pending_restarts.append((time.monotonic()
                                      + self.random.uniform(low, high), name))

    # The faults; each returns whether it could be provoked

    def kill_entry(self):
        """SIGKILL of an entry while another one is up."""
        candidates = self.operators.running_entries()
        if len(candidates) < 2:
            return False
        name = self.random.choice(candidates)
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def kill_sidecar(self):
        """SIGKILL of a sidecar."""
        name = self.pick_running(self.sidecar_names())
        if name is None:
            return False
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def kill_engine(self):
        """SIGKILL of an engine; what it recorded is kept."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        if name is None:
            return False
        self.save_records(name[7:])
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def save_records(self, name):
        """Keeps the records of an engine that is about to die."""
        try:
            self.dead_engine_records[name].append(self.fleet.records(name))
        except OSError:
            pass

    def pause(self, names, low=0.5, high=5.0):
        """SIGSTOP, and SIGCONT after a while."""
        name = self.pick_running(names)
        if name is None:
            return False
        self.fleet.processes[name].pause()
        self.pending_resumes.append((time.monotonic()
                                     + self.random.uniform(low, high), name))
        return True

    def pause_entry(self):
        """A frozen entry, while another one runs."""
        if len(self.operators.running_entries()) < 2:
            return False
        return self.pause(self.fleet.entry_names())

    def pause_sidecar(self):
        """A frozen sidecar."""
        return self.pause(self.sidecar_names())

    def pause_engine(self):
        """A frozen engine."""
        return self.pause([f"engine-{name}" for name in self.engine_names()])

    def cold_engine(self):
        """A warm engine falls cold without notice."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        return name is not None and \
            self.fleet.inject_fault(name[7:], {"kind": "cold"}) == 200

    def cold_domain(self):
        """All engines of a failure domain fall cold at once."""
        domain = self.random.choice(fleets.DOMAINS)
        return any([self.fleet.inject_fault(name, {"kind": "cold"}) == 200
                    for name, kind, where in self.fleet.upstreams()
                    if kind == "engine" and where == domain
                    and self.fleet.processes[f"engine-{name}"].is_running()])

    def stall_engine(self):
        """An engine's streams go silent for a while."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        return name is not None and self.fleet.inject_fault(
            name[7:], {"kind": "stall",
                       "ms": self.random.randint(500, 6000)}) == 200

    def platform_fault(self, kind, low, high, percent=100):
        """A fault of the platform for some seconds."""
        if time.monotonic() < self.platform_fault_end:
            return False
        self.fleet.inject_fault("platform", {"kind": kind, "ms": 400,
                                             "percent": percent})
        self.platform_fault_end = time.monotonic() + \
            self.random.uniform(low, high)
        return True

    def platform_down(self):
        """The platform is down, now and then for long."""
        return self.platform_fault("down", 1, 12)

    def platform_slow(self):
        """The platform is slow."""
        return self.platform_fault("slow", 1, 6)

    def platform_loses_answers(self):
        """Writes take effect and their answers are lost."""
        return self.platform_fault("lose_write_answers", 1, 6, 50)

    def send_relay_command(self, command):
        """Cuts or stalls the links that go through a relay."""
        names = [name for name in self.fleet.processes
                 if name.startswith("relay-")]
        if not names:
            return False
        process = self.fleet.processes[self.random.choice(names)]
        process.popen.stdin.write(command.encode() + b"\n")
        process.popen.stdin.flush()
        return True

    def cut_links(self):
        """Open links are reset."""
        return self.send_relay_command("cut")

    def stall_links(self):
        """Open links go silent for good while new ones work."""
        return self.send_relay_command("stall")

    def roll_sidecar(self):
        """A sidecar is replaced with notice."""
        name = self.pick_running(self.sidecar_names())
        if name is None:
            return False
        process = self.fleet.processes[name]
        process.stop_requested = True
        process.signal(15)
        self.schedule_restart(name, 4.0, 6.0)
        return True

    def wrong_hosts(self):
        """The list of hosts lacks some, and says that others leave."""
        if self.wrong_hosts_end:
            return False
        names = self.fleet.entry_names() + self.sidecar_names()
        self.fleet.publish_hosts(
            leaving=self.random.sample(names, len(names) // 4),
            without=self.random.sample(names, len(names) // 4))
        self.wrong_hosts_end = time.monotonic() + self.random.uniform(2, 8)
        return True

    # Operators' calls, which go on beside the faults

    def race(self):
        """Operators of both firms update the same object at once."""
        first = self.random.randint(2, 900)
        return self.operators.run_in_background(
            "race", self.operators.race_updates,
            [first + i for i in range(RACING_OPERATORS)])

    def take_out(self):
        """A failure domain is taken out and watched."""
        domain = self.random.choice(fleets.DOMAINS)
        seconds, down = self.random.uniform(5, 9), self.random.random() < 0.4
        entry = self.pick_running(self.fleet.entry_names())
        if entry is None or not self.operators.run_in_background(
                "out", self.operators.take_out, domain, seconds, entry):
            return False
        if down:
            self.platform_down_at = time.monotonic() + 0.3
        return True

    def leave(self):
        """An upstream is marked as leaving and watched."""
        name = self.random.choice(self.engine_names())
        seconds = self.random.uniform(4, 7)
        entry = self.pick_running(self.fleet.entry_names())
        return entry is not None and self.operators.run_in_background(
            "out", self.operators.drain_upstream, name, seconds, entry)

    def crash_request(self):
        """A request that crashes engines is sent again and again."""
        return self.operators.run_in_background(
            "crash", self.operators.send_crashing_request,
            self.random.randint(0, 1 << 30))

    KINDS = ("kill_entry", "kill_sidecar", "kill_engine", "pause_entry",
             "pause_sidecar", "pause_engine", "cold_engine", "cold_domain",
             "stall_engine", "platform_down", "platform_slow",
             "platform_loses_answers", "cut_links", "stall_links",
             "roll_sidecar", "race", "race", "take_out", "leave",
             "crash_request", "wrong_hosts")

    # The course of a soak

    def end_due_faults(self):
        """Ends the faults whose time is over."""
        now = time.monotonic()
        for due, name in [r for r in self.pending_resumes if r[0] <= now]:
            self.pending_resumes.remove((due, name))
            self.fleet.processes[name].resume()
        for due, name in [r for r in self.pending_restarts if r[0] <= now]:
            process = self.fleet.processes[name]
            if process.is_alive():
                continue  # still ends what it has begun
            self.check_exit(process)
            self.pending_restarts.remove((due, name))
            process.start()
        self.restart_dead()
        if self.platform_fault_end and now >= self.platform_fault_end:
            self.platform_fault_end = 0.0
            self.fleet.inject_fault("platform", {"kind": "none"})
        if self.platform_down_at and now >= self.platform_down_at:
            self.platform_down_at = 0.0
            self.platform_down()
        if self.wrong_hosts_end and now >= self.wrong_hosts_end:
            self.wrong_hosts_end = 0.0
            self.fleet.publish_hosts()

    def check_exit(self, process):
        """Notes an end that is not the one that was asked for."""
        code = process.popen.returncode
        if process.name.startswith(CHECKED_PREFIXES) and \
                not process.exit_seen and \
                code != (0 if process.stop_requested else -9):
            self.unexpected_exits.append(f"{process.name}: {code}")

    def restart_dead(self):
        """Finds processes that ended by themselves; they are started again."""
        expected = {name for _, name in self.pending_restarts}
        for name, process in self.fleet.processes.items():
            if process.is_alive() or name in expected:
                continue
            if name.startswith("engine") and \
                    process.popen.returncode == CRASH_EXIT:
                self.operators.count_engine_crash()
                self.counts["engine_crashed"] += 1
            else:
                self.unexpected_exits.append(
                    f"{name}: {process.popen.returncode}")
            process.exit_seen = True
            self.schedule_restart(name)

    def next_kind(self):
        """Draws the next kind: each comes once before any comes again."""
        if not self.remaining_kinds:
            self.remaining_kinds = self.random.sample(self.KINDS,
                                                      len(self.KINDS))
        return self.remaining_kinds.pop()

    def run(self, seconds):
        """Provokes faults for so long, then lets everything come back."""
        end = time.monotonic() + seconds
        due = time.monotonic() + 1.0
        while time.monotonic() < end:
            self.end_due_faults()
            if time.monotonic() >= due:
                kind = self.next_kind()
                if getattr(self, kind)():
                    self.counts[kind] += 1
                    print(json.dumps({"fault": kind,
                                      "at_s": round(seconds - end
                                                    + time.monotonic(), 2)}),
                          flush=True)
                due = time.monotonic() + self.random.uniform(0.2, 2.5)
            time.sleep(0.02)
        stop = time.monotonic() + 90
        while (self.pending_resumes or self.pending_restarts
               or self.platform_fault_end or self.platform_down_at
               or self.wrong_hosts_end or self.operators.active) and time.monotonic() < stop:
            if self.platform_fault_end:
                self.platform_fault_end = time.monotonic()
            self.end_due_faults()
            time.sleep(0.05)
        self.operators.join(10)
