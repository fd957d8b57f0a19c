"""Operator API calls of a soak, each in its own thread, and their checks."""

import datetime
import json
import threading
import time

import fleet as fleets

PROPAGATION_S = 2.0  # from acceptance until no new work starts
CALL_TIMEOUT_S = 8
RESUME_S = 0.5  # for a resumed process to read what was sent meanwhile
UNDO_TIMEOUT_S = 60  # until a change is undone
RACED_OBJECT = {"kind": "organisation", "id": "o9"}
RACING_OPERATORS = 3
EXPECTED_ERRORS = {"conflict", "unavailable", "outcome_unknown"}
CRASH_SENDS = 8
CRASH_PROMPT = "standin:crash"
CRASH_DEADLINE_MS = 8000


class Operators:
    """Runs operator actions in threads, so that they do not delay faults."""

    def __init__(self, fleet, dead_engine_records):
        self.fleet, self.dead_engine_records = fleet, dead_engine_records
        self.threads = []
        self.lock = threading.Lock()
        self.active = set()  # kinds of actions that run, at most one of each
        self.accepted_changes = []  # (monotonic s, configuration version)
        self.late_starts = []
        self.lost_updates, self.untyped_errors = [], []
        self.invisible_changes = []
        self.engine_crashes = []  # number per crashing request
        self.unfinished_calls = []

    # Threads and calls

    def run_in_background(self, kind, work, *args):
        """Runs work(*args) in a thread; false if that kind already runs."""
        with self.lock:
            if kind in self.active:
                return False
            self.active.add(kind)

        def body():
            try:
                work(*args)
            finally:
                with self.lock:
                    self.active.discard(kind)

        thread = threading.Thread(target=body, daemon=True)
        thread.start()
        self.threads.append((kind, thread))
        return True

    def join(self, seconds):
        """Waits for all threads and records those that do not end."""
        end = time.monotonic() + seconds
        for kind, thread in self.threads:
            thread.join(max(end - time.monotonic(), 0))
            if thread.is_alive():
                self.unfinished_calls.append(kind)

    def call(self, method, value, entry):
        """Makes a call; status 0 if the entry does not respond."""
        try:
            status, response = self.fleet.call(method, value, entry,
                                               CALL_TIMEOUT_S)
        except OSError:
            return 0, None
        if status == 200 and "config_version" in response:
            with self.lock:
                self.accepted_changes.append(
                    (time.monotonic(), int(response["config_version"])))
        elif status != 200 and \
                (response or {}).get("code") not in EXPECTED_ERRORS:
            self.untyped_errors.append((method, status, response))
        return status, response

    def read(self, kind, name, entry):
        """Returns an object; None if the call fails."""
        status, response = self.call("Get", {"kind": kind, "id": name}, entry)
        return response["object"][kind] if status == 200 else None

    def running_entries(self):
        """Returns the names of the running entries."""
        return [name for name in self.fleet.entry_names()
                if self.fleet.processes[name].is_running()]

    # Races

    def race_updates(self, weights):
        """Lets several operators update an object based on the same version.

        At most one update may be accepted.
        """
        entries = self.running_entries()
        base = entries and self.read("organisation", "o9", entries[0])
        if not base:
            return
        responses = []

        def update(weight, entry):
            value = dict(base, weight=weight)
            status, response = self.call(
                "Update", {"object": {"organisation": value}}, entry)
            responses.append((status, response))
            if status == 200:
                self.check_visible(weight, entry, response)

        threads = [threading.Thread(
            target=update, args=(weight, entries[i % len(entries)]))
            for i, weight in enumerate(weights)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stored = [response["config_version"] for status, response in responses
                  if status == 200]
        if len(stored) > 1:
            self.lost_updates.append((base.get("version"), stored))

    def check_visible(self, weight, entry, response):
        """Checks that its entry returns an accepted update or a later one."""
        found = self.read("organisation", "o9", entry)
        if found is None:
            return
        version = int(response["config_version"])
        if int(found["version"]) < version or (
                int(found["version"]) == version and found["weight"] != weight):
            self.invisible_changes.append((version, weight, found))

    # Taking out failure domains and draining upstreams

    def record_late_starts(self, names, accepted_at, until):
        """Records runs that upstreams started after new work had to stop."""
        for name in names:
            records = list(self.dead_engine_records[name])
            try:
                records.append(self.fleet.records(name))
            except OSError:
                pass
            found = {(start["id"], start["started_wall_ms"] / 1e3)
                     for record in records for start in record["run_starts"]}
            for run, at in found:
                if accepted_at + PROPAGATION_S < at < until:
                    at = self.sent_to_engine_at(name, run, at)
                if accepted_at + PROPAGATION_S < at < until:
                    self.late_starts.append(
                        (name, run, round(at - accepted_at, 3)))

    def sent_to_engine_at(self, name, run, at):
        """Returns the wall time at which a run was sent to an engine.

        An engine that was paused records a run that was sent to it meanwhile
        only when it is resumed; for these, the time is that of the sidecar's
        log. In other cases it is the time that the engine recorded.
        """
        process = self.fleet.processes[f"engine-{name}"]
        if not any(0 <= at - resumed < RESUME_S
                   for resumed in process.resumed_at):
            return at
        # The run's id ends with the sidecar's incarnation; the id of a shard
        # differs from its request's in the first character.
        request, attempt = run.split("-")[:2]
        log = self.fleet.processes[f"sidecar-{name}"].log
        for line in log.read_text(errors="replace").splitlines():
            if '"verdict":"start"' not in line or request[1:] not in line:
                continue
            entry = json.loads(line)
            if entry["attempt"] == int(attempt):
                return datetime.datetime.fromisoformat(
                    entry["time"].replace("Z", "+00:00")).timestamp()
        return at

    def undo(self, change):
        """Retries a call at all running entries until one accepts it."""
        end = time.monotonic() + UNDO_TIMEOUT_S
        while time.monotonic() < end:
            for entry in self.running_entries():
                if change(entry):
                    return
            time.sleep(0.5)
        self.unfinished_calls.append("undo")

    def take_out(self, domain, seconds, entry):
        """Takes a domain out, checks its engines, and brings it back."""
        status, _ = self.call("TakeOut", {"failure_domain": domain}, entry)
        accepted_at = time.time()
        time.sleep(seconds)
        if status == 200:
            self.record_late_starts(
                [name for name, kind, where in self.fleet.upstreams()
                 if kind == "engine" and where == domain],
                accepted_at, time.time())
        self.undo(lambda at: self.call(
            "BringBack", {"failure_domain": domain}, at)[0] == 200)

    def set_state(self, upstream, state, entry):
        """Sets an upstream's state; returns whether that was accepted."""
        value = self.read("upstream", upstream, entry)
        if value is None:
            return False
        return self.call("Update", {"object": {"upstream": dict(
            value, state=state)}}, entry)[0] == 200

    def drain_upstream(self, upstream, seconds, entry):
        """Marks an upstream as leaving, checks it, and puts it back."""
        stored = self.set_state(upstream, "leaving", entry)
        accepted_at = time.time()
        time.sleep(seconds)
        if stored:
            self.record_late_starts([upstream], accepted_at, time.time())
        self.undo(lambda at: self.set_state(upstream, "in_service", at))

    # A request that crashes engines

    def send_crashing_request(self, number):
        """Sends a request that crashes engines to one entry after another."""
        with self.lock:
            self.engine_crashes.append(0)
        body = {"model": self.fleet.profile["model"], "max_tokens": 8,
                "prompt": f"{CRASH_PROMPT} {number} " + "word " * 2000}
        for i in range(CRASH_SENDS):
            entries = self.running_entries()
            if not entries:
                continue
            try:
                fleets.http_json(
                    "POST", self.fleet.address(
                        f"{entries[i % len(entries)]}-callers"),
                    "/v1/completions", body,
                    {"Authorization": f"Bearer {self.fleet.api_key(3)}",
                     "Heatherturn-Deadline-Ms": str(CRASH_DEADLINE_MS)},
                    CRASH_DEADLINE_MS / 1e3 + 2)
            except OSError:
                pass
            time.sleep(0.3)
        time.sleep(1)

    def count_engine_crash(self):
        """Counts an engine crash against the latest crashing request."""
        with self.lock:
            if self.engine_crashes:
                self.engine_crashes[-1] += 1
            else:
                self.untyped_errors.append(
                    "an engine crashed without a crashing request")
