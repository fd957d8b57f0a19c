"""Samples all processes of a soak periodically while faults are injected."""

import concurrent.futures
import json
import threading
import time

import fleet as fleets

PERIOD_S = 0.25
SCRAPE_TIMEOUT_S = 1.0
PROPAGATION_S = 3.0  # from acceptance, or from a process's start or resume
VERSION_METRIC = "heatherturn_config_version"
CHECKS_METRIC = 'heatherturn_invariant_checks{name="'
STOP_INVARIANT_SUFFIX = "_stop_cuts_off_nothing"
VIOLATIONS_METRIC = 'heatherturn_invariant_violations{name="'


class Monitor:
    """Samples configuration versions, invariants and platform calls.

    Runs in its own thread.
    """

    def __init__(self, fleet, accepted_changes):
        self.fleet, self.accepted_changes = fleet, accepted_changes
        self.process_names = fleet.entry_names() + [
            f"sidecar-{name}" for name, _, _ in fleet.upstreams()]
        self.highest_versions = {}  # (name, start) -> highest version
        self.version_decreases, self.outdated = [], []
        self.sample_count = 0
        self.invariant_counts = {}  # (name, start, metric) -> value
        self.peak_calls_per_s = 0.0
        self.last_platform_sample = None
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Starts sampling."""
        self.thread.start()

    def stop(self):
        """Stops sampling and takes a last sample of each process."""
        self.stopping.set()
        self.thread.join()
        for name in self.process_names:
            self.sample(name)

    def run(self):
        """Samples until stopped."""
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            while not self.stopping.wait(PERIOD_S):
                list(pool.map(self.sample, self.process_names))
                self.sample_platform()

    def sample(self, name):
        """Takes a sample of a process, dropped if the process changed state."""
        process = self.fleet.processes[name]
        state_changes, sampled_at = process.state_changes, time.monotonic()
        running_since = process.running_since
        if not process.is_running():
            return
        try:
            text = fleets.http("GET", self.fleet.address(f"{name}-http"),
                               "/metrics",
                               timeout=SCRAPE_TIMEOUT_S)[2].decode()
        except OSError:
            return
        if process.state_changes != state_changes:
            return
        values = dict(line.rsplit(" ", 1) for line in text.splitlines()
                      if line.startswith((VERSION_METRIC, CHECKS_METRIC,
                                          VIOLATIONS_METRIC)))
        self.check_sample(name, process.start_count, running_since,
                          sampled_at, values)

    def check_sample(self, name, start, running_since, sampled_at, values):
        """Checks that the version does not decrease and is not outdated."""
        self.sample_count += 1
        version = int(values.get(VERSION_METRIC, 0))
        before = self.highest_versions.get((name, start), 0)
        if version < before:
            self.version_decreases.append((name, before, version))
        self.highest_versions[name, start] = max(before, version)
        if sampled_at - running_since > PROPAGATION_S:
            expected_versions = [
                v for accepted_at, v in list(self.accepted_changes)
                if sampled_at - accepted_at > PROPAGATION_S]
            if expected_versions and version < max(expected_versions):
                self.outdated.append((name, max(expected_versions), version,
                                      round(sampled_at - running_since, 1)))
        for key, value in values.items():
            if key != VERSION_METRIC:
                self.invariant_counts[name, start, key] = int(value)

    def sample_platform(self):
        """Updates the peak rate of calls that the platform received."""
        try:
            records = self.fleet.records("platform")
        except OSError:
            return
        now = time.monotonic()
        calls = sum(records[kind] for kind in (
            "reads", "watches", "lists", "writes", "deletes", "hosts"))
        if self.last_platform_sample is None:
            self.last_platform_sample = (now, calls)
        then, before = self.last_platform_sample
        if now - then >= 1.0:
            self.peak_calls_per_s = max(self.peak_calls_per_s,
                                        (calls - before) / (now - then))
            self.last_platform_sample = (now, calls)

    def invariants(self):
        """Returns numbers of checks and violations by invariant."""
        sums = {}
        for (_, _, key), value in self.invariant_counts.items():
            metric, name = key.split('{name="')
            pair = sums.setdefault(name.rstrip('"}'), [0, 0])
            pair["violations" in metric] += value
        for name, checks in self.stop_checks().items():
            sums.setdefault(name, [0, 0])[0] += checks
        return sums

    def stop_checks(self):
        """Returns numbers of checks made at a stop, from the logs."""
        sums = {}
        for name in self.process_names:
            log = self.fleet.processes[name].log
            for line in log.read_text(errors="replace").splitlines():
                if '"invariants checked"' not in line:
                    continue
                for check, count in json.loads(line)["checks"].items():
                    if check.endswith(STOP_INVARIANT_SUFFIX):
                        sums[check] = sums.get(check, 0) + count
        return sums
