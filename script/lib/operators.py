"""Operators' calls of a soak, each in a thread of its own, and their checks."""

import datetime
import json
import threading
import time

import fleet as fleets

PROPAGATION_S = 2.0  # from acceptance until no new work starts
CALL_TIMEOUT_S = 8
RESUME_S = 0.5  # in which a process that was stopped reads what waits
UNDO_TIMEOUT_S = 60  # longest wait until a change is undone
RACED_OBJECT = {"kind": "organisation", "id": "o9"}
RACING_OPERATORS = 3
EXPECTED_ERRORS = {"conflict", "unavailable", "outcome_unknown"}
CRASH_SENDS = 8
CRASH_PROMPT = "standin:crash"
CRASH_DEADLINE_MS = 8000


class Operators:
    """Calls that may take long, so that none holds up the next fault."""

    def __init__(self, fleet, dead_engine_records):
        self.fleet, self.dead_engine_records = fleet, dead_engine_records
        self.threads = []
        self.lock = threading.Lock()
        self.active = set()  # kinds of calls under way, one each
        self.accepted_changes = []  # (monotonic s, configuration version)
        self.late_starts = []
        self.lost_updates, self.untyped_errors = [], []
        self.invisible_changes = []
        self.engine_crashes = []  # of engines, by crashing request
        self.unfinished_calls = []

    # Threads and calls

    def run_in_background(self, kind, work, *args):
        """Runs work(*args) in a thread; false where that kind is under way."""
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
        """Waits for all threads; those that never end are kept by name."""
        end = time.monotonic() + seconds
        for kind, thread in self.threads:
            thread.join(max(end - time.monotonic(), 0))
            if thread.is_alive():
                self.unfinished_calls.append(kind)

    def call(self, method, value, entry):
        """Makes a call; status 0 where the entry gives no answer."""
        try:
            status, answer = self.fleet.call(method, value, entry,
                                             CALL_TIMEOUT_S)
        except OSError:
            return 0, None
        if status == 200 and "config_version" in answer:
            with self.lock:
                self.accepted_changes.append(
                    (time.monotonic(), int(answer["config_version"])))
        elif status != 200 and \
                (answer or {}).get("code") not in EXPECTED_ERRORS:
            self.untyped_errors.append((method, status, answer))
        return status, answer

    def read(self, kind, name, entry):
        """Returns an object, None where the entry gives none."""
        status, answer = self.call("Get", {"kind": kind, "id": name}, entry)
        return answer["object"][kind] if status == 200 else None

    def running_entries(self):
        """Names of the entries that run."""
        return [name for name in self.fleet.entry_names()
                if self.fleet.processes[name].is_running()]

    # Races

    def race_updates(self, weights):
        """Several operators change one object, from the same version."""
        entries = self.running_entries()
        base = entries and self.read("organisation", "o9", entries[0])
        if not base:
            return
        answers = []

        def update(weight, entry):
            value = dict(base, weight=weight)
            status, answer = self.call(
                "Update", {"object": {"organisation": value}}, entry)
            answers.append((status, answer))
            if status == 200:
                self.check_visible(weight, entry, answer)

        threads = [threading.Thread(
            target=update, args=(weight, entries[i % len(entries)]))
            for i, weight in enumerate(weights)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stored = [answer["config_version"] for status, answer in answers
                  if status == 200]
        if len(stored) > 1:
            self.lost_updates.append((base.get("version"), stored))

    def check_visible(self, weight, entry, answer):
        """An accepted change is seen at its entry, or a later one is."""
        seen = self.read("organisation", "o9", entry)
        if seen is None:
            return
        version = int(answer["config_version"])
        if int(seen["version"]) < version or (
                int(seen["version"]) == version and seen["weight"] != weight):
            self.invisible_changes.append((version, weight, seen))

    # Taking out and leaving

    def record_late_starts(self, names, accepted_at, until):
        """Notes the runs that upstreams started when they must not."""
        for name in names:
            records = list(self.dead_engine_records[name])
            try:
                records.append(self.fleet.records(name))
            except OSError:
                pass
            seen = {(start["id"], start["started_wall_ms"] / 1e3)
                    for record in records for start in record["run_starts"]}
            for run, at in seen:
                if accepted_at + PROPAGATION_S < at < until:
                    at = self.sent_to_engine_at(name, run, at)
                if accepted_at + PROPAGATION_S < at < until:
                    self.late_starts.append(
                        (name, run, round(at - accepted_at, 3)))

    def sent_to_engine_at(self, name, run, at):
        """Returns when a run was given to an engine that noted it at a time.

        An engine that was stopped notes when it woke what it had been sent
        before; only there the sidecar's log says when that was.
        """
        process = self.fleet.processes[f"engine-{name}"]
        if not any(0 <= at - woke < RESUME_S for woke in process.resumed_at):
            return at
        request, attempt = run.split("-")[:2]  # sidecar's incarnation follows
        log = self.fleet.processes[f"sidecar-{name}"].log
        for line in log.read_text(errors="replace").splitlines():
            if '"verdict":"start"' not in line or request[1:] not in line:
                continue
            entry = json.loads(line)  # a shard's key differs in its first sign
            if entry["attempt"] == int(attempt):
                return datetime.datetime.fromisoformat(
                    entry["time"].replace("Z", "+00:00")).timestamp()
        return at

    def undo(self, change):
        """Repeats a call at any entry until it is accepted."""
        end = time.monotonic() + UNDO_TIMEOUT_S
        while time.monotonic() < end:
            for entry in self.running_entries():
                if change(entry):
                    return
            time.sleep(0.5)
        self.unfinished_calls.append("undo")

    def take_out(self, domain, seconds, entry):
        """Takes a domain out, watches its engines, brings it back."""
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
        """Sets an upstream's state; true where that was accepted."""
        value = self.read("upstream", upstream, entry)
        if value is None:
            return False
        return self.call("Update", {"object": {"upstream": dict(
            value, state=state)}}, entry)[0] == 200

    def drain_upstream(self, upstream, seconds, entry):
        """Marks an upstream as leaving, watches it, puts it in service."""
        stored = self.set_state(upstream, "leaving", entry)
        accepted_at = time.time()
        time.sleep(seconds)
        if stored:
            self.record_late_starts([upstream], accepted_at, time.time())
        self.undo(lambda at: self.set_state(upstream, "in_service", at))

    # A request that crashes engines

    def send_crashing_request(self, number):
        """Sends one such request again and again, to one entry after another."""
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
        """An engine died as engines do that run such a request."""
        with self.lock:
            if self.engine_crashes:
                self.engine_crashes[-1] += 1
            else:
                self.untyped_errors.append("an engine crashed by itself")
