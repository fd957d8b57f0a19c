"""Restarts all entries and sidecars of a fleet gracefully, under load."""

import time

import fleet as fleets

SIDECAR_BATCH = 4  # sidecars restarted at once
NOT_READY_TIMEOUT_S = 1.0
EXIT_TIMEOUT_S = 60


class RollingRestart:
    """One rolling restart and the faults that it found."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.still_ready, self.bad_exits = [], []
        self.restarted = 0

    def is_ready(self, name):
        """Whether /readyz of a process returns 200."""
        try:
            return fleets.http("GET", self.fleet.address(f"{name}-http"),
                               "/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def restart(self, names):
        """Restarts processes together and waits until they are ready.

        Records those that stay ready after SIGTERM and those that exit with
        another code than 0.
        """
        processes = [self.fleet.processes[name] for name in names]
        for process in processes:
            process.signal(15)
        end = time.monotonic() + NOT_READY_TIMEOUT_S
        still_ready_names = set(names)
        while still_ready_names and time.monotonic() < end:
            still_ready_names = {name for name in still_ready_names
                                 if self.is_ready(name)}
            time.sleep(0.02)
        self.still_ready += sorted(still_ready_names)
        for process in processes:
            code = process.stop(EXIT_TIMEOUT_S)
            if code != 0:
                self.bad_exits.append(f"{process.name}: {code}")
        for process in processes:
            process.start()
        for name in names:
            fleets.wait_for(f"{name} to be ready", lambda: self.is_ready(name))
            self.restarted += 1

    def run(self):
        """Restarts one entry after the other, then sidecars in batches."""
        for name in self.fleet.entry_names():
            self.restart([name])
        sidecars = [f"sidecar-{name}" for name, _, _ in self.fleet.upstreams()]
        batches = -(-len(sidecars) // SIDECAR_BATCH)
        for first in range(batches):  # strided: no batch has all of a service
            self.restart(sidecars[first::batches])
