"""Faults that a soak injects into a fleet, drawn from its seed."""

import collections
import json
import time

import fleet as fleets
from operators import RACING_OPERATORS, Operators

CRASH_EXIT = 137  # exit code of a stand-in engine that a request crashed
CHECKED_PREFIXES = ("entry", "sidecar")


class FaultInjector:
    """Injects faults one after the other; their effects may overlap."""

    def __init__(self, fleet, random):
        self.fleet, self.random = fleet, random
        self.counts = collections.Counter()
        self.pending_restarts = []  # (due, process name)
        self.pending_resumes = []
        self.platform_fault_end = 0.0
        self.platform_down_at = 0.0  # set to follow a take-out call
        self.dead_engine_records = collections.defaultdict(list)  # by upstream
        self.operators = Operators(fleet, self.dead_engine_records)
        self.unexpected_exits = []  # name and exit code
        self.wrong_hosts_end = 0.0
        self.remaining_kinds = []

    # Choice of processes

    def engine_names(self):
        """Returns the names of the engine upstreams."""
        return [name for name, kind, _ in self.fleet.upstreams()
                if kind == "engine"]

    def pick_running(self, names):
        """Chooses a running process at random; None if there is none."""
        candidates = [name for name in names
                      if self.fleet.processes[name].is_running()]
        return self.random.choice(candidates) if candidates else None

    def sidecar_names(self):
        """Returns the names of the sidecar processes."""
        return [f"sidecar-{name}" for name, _, _ in self.fleet.upstreams()]

    def schedule_restart(self, name, low=0.3, high=2.5):
        """Schedules a restart of a process after a random delay in seconds."""
        self.pending_restarts.append((time.monotonic()
                                      + self.random.uniform(low, high), name))

    # The faults; each returns whether it could be injected

    def kill_entry(self):
        """Kills an entry while another one runs."""
        candidates = self.operators.running_entries()
        if len(candidates) < 2:
            return False
        name = self.random.choice(candidates)
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def kill_sidecar(self):
        """Kills a sidecar."""
        name = self.pick_running(self.sidecar_names())
        if name is None:
            return False
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def kill_engine(self):
        """Kills an engine, whose records are saved first."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        if name is None:
            return False
        self.save_records(name[7:])
        self.fleet.processes[name].kill()
        self.schedule_restart(name)
        return True

    def save_records(self, name):
        """Saves the records of an engine that is about to be killed."""
        try:
            self.dead_engine_records[name].append(self.fleet.records(name))
        except OSError:
            pass

    def pause(self, names, low=0.5, high=5.0):
        """Pauses one of the processes for a random time in seconds."""
        name = self.pick_running(names)
        if name is None:
            return False
        self.fleet.processes[name].pause()
        self.pending_resumes.append((time.monotonic()
                                     + self.random.uniform(low, high), name))
        return True

    def pause_entry(self):
        """Pauses an entry while another one runs."""
        if len(self.operators.running_entries()) < 2:
            return False
        return self.pause(self.fleet.entry_names())

    def pause_sidecar(self):
        """Pauses a sidecar."""
        return self.pause(self.sidecar_names())

    def pause_engine(self):
        """Pauses an engine."""
        return self.pause([f"engine-{name}" for name in self.engine_names()])

    def cold_engine(self):
        """Makes a warm engine cold without notice."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        return name is not None and \
            self.fleet.inject_fault(name[7:], {"kind": "cold"}) == 200

    def cold_domain(self):
        """Makes all engines of a failure domain cold at once."""
        domain = self.random.choice(fleets.DOMAINS)
        return any([self.fleet.inject_fault(name, {"kind": "cold"}) == 200
                    for name, kind, where in self.fleet.upstreams()
                    if kind == "engine" and where == domain
                    and self.fleet.processes[f"engine-{name}"].is_running()])

    def stall_engine(self):
        """Stalls an engine's streams for 0.5 to 6 s."""
        name = self.pick_running(
            [f"engine-{name}" for name in self.engine_names()])
        return name is not None and self.fleet.inject_fault(
            name[7:], {"kind": "stall",
                       "ms": self.random.randint(500, 6000)}) == 200

    def platform_fault(self, kind, low, high, percent=100):
        """Injects a platform fault for a random time in seconds."""
        if time.monotonic() < self.platform_fault_end:
            return False
        self.fleet.inject_fault("platform", {"kind": kind, "ms": 400,
                                             "percent": percent})
        self.platform_fault_end = time.monotonic() + \
            self.random.uniform(low, high)
        return True

    def platform_down(self):
        """Makes the platform unavailable for 1 to 12 s."""
        return self.platform_fault("down", 1, 12)

    def platform_slow(self):
        """Delays responses of the platform."""
        return self.platform_fault("slow", 1, 6)

    def platform_loses_answers(self):
        """Applies writes at the platform but drops half of the responses."""
        return self.platform_fault("lose_write_answers", 1, 6, 50)

    def send_relay_command(self, command):
        """Sends a command to one of the relays."""
        names = [name for name in self.fleet.processes
                 if name.startswith("relay-")]
        if not names:
            return False
        process = self.fleet.processes[self.random.choice(names)]
        process.popen.stdin.write(command.encode() + b"\n")
        process.popen.stdin.flush()
        return True

    def cut_links(self):
        """Resets the open links of one relay."""
        return self.send_relay_command("cut")

    def stall_links(self):
        """Stalls the open links of one relay for good; new ones work."""
        return self.send_relay_command("stall")

    def roll_sidecar(self):
        """Restarts a sidecar gracefully."""
        name = self.pick_running(self.sidecar_names())
        if name is None:
            return False
        process = self.fleet.processes[name]
        process.stop_requested = True
        process.signal(15)
        self.schedule_restart(name, 4.0, 6.0)
        return True

    def wrong_hosts(self):
        """Publishes a host list without some hosts and with others leaving."""
        if self.wrong_hosts_end:
            return False
        names = self.fleet.entry_names() + self.sidecar_names()
        self.fleet.publish_hosts(
            leaving=self.random.sample(names, len(names) // 4),
            without=self.random.sample(names, len(names) // 4))
        self.wrong_hosts_end = time.monotonic() + self.random.uniform(2, 8)
        return True

    # Calls to the operator API, which run concurrently with the faults

    def race(self):
        """Several operators update the same object at once."""
        first = self.random.randint(2, 900)
        return self.operators.run_in_background(
            "race", self.operators.race_updates,
            [first + i for i in range(RACING_OPERATORS)])

    def take_out(self):
        """Takes out a failure domain and checks that no new work starts."""
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
        """Marks an upstream as leaving and checks that no new work starts."""
        name = self.random.choice(self.engine_names())
        seconds = self.random.uniform(4, 7)
        entry = self.pick_running(self.fleet.entry_names())
        return entry is not None and self.operators.run_in_background(
            "out", self.operators.drain_upstream, name, seconds, entry)

    def crash_request(self):
        """Sends a request that crashes engines repeatedly."""
        return self.operators.run_in_background(
            "crash", self.operators.send_crashing_request,
            self.random.randint(0, 1 << 30))

    KINDS = ("kill_entry", "kill_sidecar", "kill_engine", "pause_entry",
             "pause_sidecar", "pause_engine", "cold_engine", "cold_domain",
             "stall_engine", "platform_down", "platform_slow",
             "platform_loses_answers", "cut_links", "stall_links",
             "roll_sidecar", "race", "race", "take_out", "leave",
             "crash_request", "wrong_hosts")

    # Schedule

    def end_due_faults(self):
        """Ends the faults that are due and restarts dead processes."""
        now = time.monotonic()
        for due, name in [r for r in self.pending_resumes if r[0] <= now]:
            self.pending_resumes.remove((due, name))
            self.fleet.processes[name].resume()
        for due, name in [r for r in self.pending_restarts if r[0] <= now]:
            process = self.fleet.processes[name]
            if process.is_alive():
                continue  # still draining
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
        """Records the exit of a process that is not the requested one."""
        code = process.popen.returncode
        if process.name.startswith(CHECKED_PREFIXES) and \
                not process.exit_seen and \
                code != (0 if process.stop_requested else -9):
            self.unexpected_exits.append(f"{process.name}: {code}")

    def restart_dead(self):
        """Records processes that exited by themselves and restarts them."""
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
        """Draws a kind of fault; all kinds are drawn before any is repeated."""
        if not self.remaining_kinds:
            self.remaining_kinds = self.random.sample(self.KINDS,
                                                      len(self.KINDS))
        return self.remaining_kinds.pop()

    def run(self, seconds):
        """Injects faults for a time, then waits until all have ended."""
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
               or self.wrong_hosts_end or self.operators.active) \
                and time.monotonic() < stop:
            if self.platform_fault_end:
                self.platform_fault_end = time.monotonic()
            self.end_due_faults()
            time.sleep(0.05)
        self.operators.join(10)
