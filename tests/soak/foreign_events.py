"""Upstreams that add bytes to streams that their runs did not make.

Checks that streams with such bytes go on at another upstream, where they may be
resumed. That no caller gets the bytes is part of the checks of all streams.
"""

import asyncio
import collections
import json

PATH = "/live/"  # of streams that can't be resumed
KINDS = {"no id": "data: {mark}\n\n", "empty id": "id:\ndata: {mark}\n\n",
         "id of letters": "id: x\ndata: {mark}\n\n",
         "id far too high": "id: {high}\ndata: {mark}\n\n",
         "last id again": "id: {last}\ndata: {mark}\n\n",
         "plain bytes": "{mark}\n\n", "line before an event": "{mark}\n"}
JOINED, UNFRAMED = "chunk of an event", "ends with its connection"
FRAMINGS = ("own chunk", JOINED, UNFRAMED)
HIGH_IDS = (1000, 1 << 30)  # no two runs add the same bytes

Addition = collections.namedtuple(
    "Addition", "kind place framing before mark data")
SPOILT_ID = Addition("spoilt id", "in place", "own chunk", 0, b"", b"")


def draw(rng, first, count):
    """Draws what a run that streams the events from first to count adds."""
    kind = rng.choice(list(KINDS))
    places = ["after the last"]
    if first < count:
        places.append("between two")
    if first <= count and (kind != "last id again" or first > 1):
        places.append("before the first")
    place = rng.choice(places)
    before = {"before the first": first, "after the last": count + 1}.get(
        place) or rng.randint(first + 1, count)
    high = rng.randrange(*HIGH_IDS)
    mark = f"added-{high}"
    data = KINDS[kind].format(mark=mark, high=high, last=before - 1)
    return Addition(kind, place, rng.choice(FRAMINGS), before, mark.encode(),
                    data.encode())


def is_between(event, last, following):
    """Whether an event's id is above the last one and below the next, if any."""
    value = event.partition(b"\n")[0].removeprefix(b"id: ")
    return value.isdigit() and last < int(value) and (
        following is None or int(value) < following)


async def add(soak):
    """Makes an upstream add bytes to some of its streams."""
    upstream = soak.random.choice(soak.upstreams)
    upstream.faults["foreign"] = soak.random.uniform(0.2, 0.7)
    await asyncio.sleep(soak.random.uniform(1.0, 4.0))
    upstream.faults.pop("foreign", None)


def has_other_fault(soak, request_id):
    """Whether other upstreams failed or refused a request as well."""
    arrivals = sum(one == request_id for upstream in soak.upstreams
                   for _, one in upstream.arrivals)
    runs = sum(one.runs.get(request_id, 0) for one in soak.upstreams)
    return arrivals > runs or any(
        request_id in one.failed for one in soak.upstreams)


def find_denied(soak):
    """Returns the ids of requests that the retry budget did not let go on."""
    denied = set()
    for gateway in soak.gateways:
        for line in gateway.log.read_text(errors="replace").splitlines():
            if "retry denied by the budget" in line:
                denied.add(json.loads(line)["request"])
    return denied


def is_half_event(addition):
    """Whether a run seems to have broken off inside an event."""
    return (addition.kind == "line before an event"
            and addition.place == "after the last")


def check(soak):
    """Checks the streams that had bytes added; returns counts of these.

    A row is a kind of bytes, with a column for each place: added, received by
    the caller, received as part of a complete stream.
    """
    added, table, denied = {}, {}, find_denied(soak)
    for upstream in soak.upstreams:
        for request_id, addition in upstream.additions:
            added.setdefault(request_id, []).append(addition)
            body = soak.received.get(request_id, b"")
            is_complete = request_id in soak.completed
            if not is_complete and request_id not in soak.cuts.ended:
                continue  # its caller has left
            counts = table.setdefault(addition.kind, {}).setdefault(
                addition.place, [0, 0, 0])
            counts[0] += 1
            counts[1] += addition.mark in body
            counts[2] += addition.mark in body and is_complete
        for request_id in upstream.spoilt:
            added.setdefault(request_id, []).append(SPOILT_ID)
    for request_id, additions in added.items():
        path, status, gateway = soak.attempts[request_id]
        sent = soak.sent[request_id][0]
        ended = soak.completed.get(request_id)
        if (path.startswith(PATH) or len(additions) > 1
                or is_half_event(additions[0]) or request_id in denied
                or has_other_fault(soak, request_id)
                or "fail_upstreams" in soak.fault_kinds):  # no budget left
            soak.cuts.cut_by_upstream.add(request_id)
        elif (ended and status != 200
              and request_id not in soak.cuts.cut_by_upstream
              and not soak.cuts.has_path_fault(sent, ended)
              and gateway.was_calm(sent, ended)):
            soak.add_violation("stream with added bytes did not go on",
                               request=request_id, status=status,
                               added=additions[0][:3])
    return table
