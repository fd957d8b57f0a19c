"""Fits straight lines to the measurements of script/slopes.

Computes from these lines the table of docs/CAPACITY.md: one process of each
role at the target size.
"""

import math
import statistics
import sys

CONTROL_TRAFFIC = ("handshake", "heartbeat", "document", "offer")

# The target size. Prompts are counted at four bytes per token.
TARGET_SIZE = {"entries": 340, "upstreams": 600, "organisations": 260,
               "requests_per_s": 6500, "tokens_per_s": 1.8e6,
               "first_token_s": 0.62, "between_tokens_s": 0.026,
               "changes_per_s": 1000 / 86400,
               "domains": 5}
BUDGET = {"core_percent": 1.5, "rss_mb": 32, "kb_per_s": 13}
OUTPUT_TOKENS = 16  # per response, by default
PROBES_PER_REQUEST = 3  # sidecars that an entry probes for each request
# For how long after its last use a link sends heartbeats, is reused, and stays
# open. The times of both sides add up: see src/peer/link.h.
HEARTBEAT_S, REUSE_S, CLOSE_S = 6, 7, 8
GOSSIP_LINKS_PER_S = 4  # links opened by gossip rounds of both sides


def fit_line(points):
    """Fits y = a + b x by least squares; returns a, b and r squared."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    sxx = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y)
                for x, y in points) / sxx if sxx else 0
    residual = sum((y - mean_y - slope * (x - mean_x)) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for y in ys)
    r2 = 1 - residual / total if total else 1.0
    return mean_y - slope * mean_x, slope, r2


class CapacityModel:
    """The measured points and the lines fitted to them."""

    def __init__(self):
        self.points = []
        self.fits = {}
        self.changed_config_bytes = 0  # after the changes sweep

    def add(self, sweep, x, measured):
        """Adds the measurements at one size and prints them."""
        for role, figures in measured.items():
            at = x[role] if isinstance(x, dict) else x
            self.points.append(dict(figures, sweep=sweep, role=role, x=at))
            print(f"  {sweep}={at:g} {role}: " + ", ".join(
                f"{key} {value:.3g}" for key, value in figures.items()
                if not key.endswith("_messages")), file=sys.stderr)

    def fit(self, name, role, sweep, x, y):
        """Fits a line to the points of a sweep and prints it."""
        points = [(p[x], p[y]) for p in self.points
                  if p["sweep"] == sweep and p["role"] == role]
        base, slope, r2 = fit_line(points)
        self.fits[name, role] = (base, slope)
        point_list = " ".join(f"{px:.4g}:{py:.4g}" for px, py in points)
        print(f"{role:8} {name:34} {base:10.4g} + {slope:10.4g} x"
              f"  r2 {r2:5.2f}  [{point_list}]")
        return base, slope

    def at(self, name, role, x):
        """Returns a line's value at x, at least 0 despite noise."""
        base, slope = self.fits[name, role]
        return max(base + slope * x, 0)

    def slope(self, name, role):
        """Returns a line's slope, at least 0 despite noise."""
        return max(self.fits[name, role][1], 0)


def fit_all(model):
    """Fits and prints every line that the table needs."""
    print("role     line                                 base       slope"
          "        through [x:y ...]")
    for role in ("entry", "sidecar"):
        # Without requests most links are idle and have no heartbeats.
        for kind in ("heartbeat", "heartbeat_messages"):
            model.fit(f"{kind} per link", role, "upstreams", "links", kind)
        for kind in ("handshake", "handshake_messages"):
            model.fit(f"{kind} per link opened", role, "upstreams-idle",
                      "opened", kind)
        model.fit("CPU % per link", role, "upstreams-idle", "links", "cpu")
        model.fit("links per upstream", role, "upstreams-idle", "x", "links")
        model.fit("links per entry", role, "entries", "x", "links")
        model.fit("anonymous MB per link", role, "upstreams-idle", "links",
                  "own_mb")
        model.fit("anonymous MB per organisation", role, "organisations", "x",
                  "own_mb")
        for kind in ("document", "document_messages", "cpu", "calls"):
            model.fit(f"{kind} per change/s", role, "changes", "x", kind)
        for kind in ("offer", "offer_messages", "work", "work_messages",
                     "cpu"):
            model.fit(f"{kind} per request/s", role, "requests", "x", kind)
        for kind in ("work", "cpu"):
            model.fit(f"{kind} per token/s", role, "tokens", "x", kind)
    for what in ("own_mb", "rss_mb"):
        model.fit(f"{what} per open stream", "entry", "streams", "x", what)
    for sweep in ("config", "config-organisations"):
        model.fit(f"{sweep} bytes", "store", sweep, "x", "bytes")


def expected_links(peers, uses_per_s):
    """Returns open links, those with heartbeats, and links opened per second.

    Each peer is used uses_per_s times a second at random times; a use within
    REUSE_S of the last one finds the link open.
    """
    return (peers * (1 - math.exp(-uses_per_s * CLOSE_S)),
            peers * (1 - math.exp(-uses_per_s * HEARTBEAT_S)),
            peers * uses_per_s * math.exp(-uses_per_s * REUSE_S))


def target_config_bytes(model):
    """Returns the size of the configuration at the target size, in bytes."""
    return (model.at("config bytes", "store", TARGET_SIZE["upstreams"]) +
            model.slope("config-organisations bytes", "store") *
            (TARGET_SIZE["organisations"] - 10))


def work_cost(model, role, what, requests, tokens):
    """Returns the cost of requests and tokens, both per second.

    The measured requests had OUTPUT_TOKENS tokens each; the cost of these is
    subtracted, since tokens have a line of their own.
    """
    token = model.slope(f"{what} per token/s", role)
    request = model.slope(f"{what} per request/s", role) - OUTPUT_TOKENS * token
    return token * tokens + max(request, 0) * requests


def target_row(model, role):
    """Returns the estimates for one process of a role at the target size."""
    own_key, peer_key = ("entries", "upstreams") if role == "entry" else (
        "upstreams", "entries")
    requests = TARGET_SIZE["requests_per_s"] / TARGET_SIZE[own_key]
    tokens = TARGET_SIZE["tokens_per_s"] / TARGET_SIZE[own_key]
    uses = PROBES_PER_REQUEST * TARGET_SIZE["requests_per_s"] / (
        TARGET_SIZE["entries"] * TARGET_SIZE["upstreams"])
    links, active_links, opened_per_s = expected_links(
        TARGET_SIZE[peer_key], uses)
    gossip_links = GOSSIP_LINKS_PER_S * CLOSE_S
    links += gossip_links
    active_links += GOSSIP_LINKS_PER_S * HEARTBEAT_S
    opened_per_s += GOSSIP_LINKS_PER_S
    size = target_config_bytes(model)
    config_growth = size / max(model.changed_config_bytes, 1)
    change = TARGET_SIZE["changes_per_s"]
    streams = TARGET_SIZE["requests_per_s"] / TARGET_SIZE[own_key] * (
        TARGET_SIZE["first_token_s"] + TARGET_SIZE["tokens_per_s"] /
        TARGET_SIZE["requests_per_s"] * TARGET_SIZE["between_tokens_s"])
    # The memory of a stream was measured at the entry only.
    stream_mb = model.slope("own_mb per open stream", "entry")
    row = {
        "links": links, "links with heartbeats": active_links,
        "links opened/s": opened_per_s,
        "requests/s": requests, "tokens/s": tokens, "open streams": streams,
        "heartbeat B/s": model.slope("heartbeat per link", role) * active_links,
        "handshake B/s": model.slope("handshake per link opened", role) *
        opened_per_s,
        "offer B/s": model.slope("offer per request/s", role) * requests,
        "document B/s": model.at("document per change/s", role, 0) +
        config_growth * change * model.slope("document per change/s", role),
        "control messages/s": (
            model.slope("heartbeat_messages per link", role) * active_links +
            model.slope("handshake_messages per link opened", role) *
            opened_per_s +
            model.slope("offer_messages per request/s", role) * requests +
            model.at("document_messages per change/s", role, 0)),
        "work KB/s": work_cost(model, role, "work", requests, tokens) / 1e3,
        "idle and links CPU %": model.at("CPU % per link", role, links),
        "changes CPU %": config_growth * change * model.slope(
            "cpu per change/s", role),
        "work CPU %": work_cost(model, role, "cpu", requests, tokens),
        "anonymous MB": (model.at("anonymous MB per link", role, links) +
                         model.slope("anonymous MB per organisation", role) *
                         TARGET_SIZE["organisations"] + stream_mb * streams),
        "platform calls/s of all": 0,
    }
    row["control KB/s"] = sum(
        row[f"{kind} B/s"] for kind in CONTROL_TRAFFIC) / 1e3
    row["control CPU %"] = row["idle and links CPU %"] + row["changes CPU %"]
    files = [p["rss_mb"] - p["own_mb"] for p in model.points
             if p["role"] == role]
    row["resident MB"] = row["anonymous MB"] + statistics.mean(files)
    # There are two watchers in each failure domain at any size.
    row["platform calls/s of all"] = TARGET_SIZE["domains"] * 2 * model.at(
        "calls per change/s", "entry", change)
    return row


def print_table(model):
    """Prints the table of docs/CAPACITY.md and whether targets are met."""
    rows = {role: target_row(model, role) for role in ("entry", "sidecar")}
    print("configuration at target size: "
          f"{target_config_bytes(model):.0f} bytes")
    print("| one process | entry | sidecar |\n| --- | --- | --- |")
    for key in rows["entry"]:
        print(f"| {key} | " + " | ".join(
            f"{rows[role][key]:.3g}" for role in rows) + " |")
    for key, bound in (("control CPU %", BUDGET["core_percent"]),
                       ("resident MB", BUDGET["rss_mb"]),
                       ("control KB/s", BUDGET["kb_per_s"])):
        for role, row in rows.items():
            print(f"{'met   ' if row[key] <= bound else 'missed'} {role} "
                  f"{key} {row[key]:.3g}, at most {bound}")
    idle = [p for p in model.points
            if p["sweep"] == "upstreams-idle" and p["role"] == "sidecar"][0]
    for key, bound in (("rss_mb", 8), ("cpu", 0.2)):
        print(f"{'met   ' if idle[key] <= bound else 'missed'} idle sidecar "
              f"{key} {idle[key]:.3g} (anonymous {idle['own_mb']:.3g} MB), "
              f"at most {bound}")
    largest = [p for p in model.points if p["sweep"] == "streams"][-2]
    print(f"{'met   ' if largest['rss_mb'] <= 32 else 'missed'} entry with "
          f"{largest['x']} open streams {largest['rss_mb']:.1f} MB, "
          "at most 32")


def print_added_latency(first_tokens):
    """Prints how much entry and sidecar add to the time to first token."""
    for key, bound in (("p50", 2), ("p99", 5)):
        values = {way: [one[key] for one in rounds]
                  for way, rounds in first_tokens.items()}
        added = statistics.mean(values["through"]) - statistics.mean(
            values["direct"])
        print(f"{'met   ' if added <= bound else 'missed'} added time {key} "
              f"{added:.2f} ms, at most {bound}: through heatherturn "
              f"{values['through']}, direct {values['direct']}")
