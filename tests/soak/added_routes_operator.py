"""An operator that adds, removes and moves several routes and keys a version.

It also knows what a configuration allows.
"""

import asyncio
import collections
import time

HOSTS = ("one.example", "two.example", "h")
SERVICES = ("s0", "s1")
COMMON_NAMES = ("a", "ab", "abc", "b", "bc", "orders", "stock")


def allows(config, host, path, key):
    """Returns the service and tenant of a request, or the refusal's status."""
    matching = [route for route in config["Routes"] if route["Host"] == host
                and path.startswith(route["PathPrefix"])]
    if not matching:
        return 404
    route = max(matching, key=lambda one: len(one["PathPrefix"]))
    if route["Public"]:
        return route["Service"], None
    for tenant in config["Tenants"]:
        if key in tenant["Keys"]:
            return route["Service"], tenant["Name"]
    return 401


class Operator:
    """The writer of the configurations, and what it has written."""

    def __init__(self, rng, store):
        self.random, self.store = rng, store
        self.versions = []  # (sent s, acknowledged s, configuration)
        self.routes, self.tenants = {}, {}
        self.recent = collections.deque(maxlen=60)  # (wall s, host, path, key)
        self.end = float("inf")  # wall s
        self.writing = True

    def word(self):
        """Returns a random name, one of few or one that is new."""
        if self.random.random() < 0.4:
            return self.random.choice(COMMON_NAMES)
        return "".join(self.random.choices("abdefgilmnoprstuwxz0123456789",
                                           k=self.random.randint(4, 12)))

    def add_route(self, host, prefix):
        """Adds a route unless there is one, and asks for it from now on."""
        if any((one["Host"], one["PathPrefix"]) == (host, prefix)
               for one in self.routes.values()):
            return
        name = f"r{len(self.versions)}-{self.random.getrandbits(30)}"
        public = self.random.random() < 0.7
        self.routes[name] = {
            "Name": name, "Host": host, "PathPrefix": prefix,
            "Kind": "idempotent", "TimeoutMs": 4000, "Attempts": 2,
            "LatencyTargetMs": 300, "Public": public, "CanResume": False,
            "Sticky": False, "Service": self.random.choice(SERVICES)}
        if prefix != "/long/":
            self.ask(self.routes[name])

    def ask(self, route):
        """Notes that a route has changed."""
        keys = [key for keys in self.tenants.values() for key in keys]
        key = self.random.choice(keys) if keys else "none"
        self.recent.append((time.time(), route["Host"],
                            route["PathPrefix"] + "x", key))

    def change_routes(self):
        """Adds, removes and moves some routes and keys."""
        rng = self.random
        for _ in range(rng.randint(1, 3)):
            self.add_route(rng.choice(HOSTS), f"/{self.word()}/")
        inside = rng.choice(list(self.routes.values()))
        if inside["Name"] != "long" and rng.random() < 0.6:
            self.add_route(inside["Host"],
                           f"{inside['PathPrefix']}{self.word()}/")
        for _ in range(rng.randint(0, 3)):
            name = rng.choice(list(self.routes))
            route = self.routes[name]
            if name in ("base", "long"):
                continue
            if rng.random() < 0.6 or len(self.routes) > 60:
                del self.routes[name]
            else:
                self.routes[name] = dict(
                    route, Service=rng.choice(SERVICES),
                    Public=rng.random() < 0.7)
            self.ask(route)
        self.change_keys()

    def change_keys(self):
        """Adds, removes or moves a key."""
        rng = self.random
        name = rng.choice(list(self.tenants))
        keys = self.tenants[name]
        kind = rng.choice(("add", "remove", "move", "none"))
        base = self.routes["base"]
        if kind == "add":
            keys.append(f"k{self.random.getrandbits(40)}")
        elif len(keys) > 1 and kind != "none":
            key = keys.pop()
            if kind == "move":
                self.tenants[rng.choice(list(self.tenants))].append(key)
            self.recent.append((time.time(), base["Host"], "/base/x", key))
            return
        if len(self.tenants) < 6 and rng.random() < 0.2:
            name, key = rng.getrandbits(40), rng.getrandbits(40)
            self.tenants[f"o{name}"] = [f"k{key}"]
        self.recent.append((time.time(), base["Host"], "/base/x", keys[-1]))

    async def write(self):
        """Writes the next version; returns when it was acknowledged."""
        config = {
            "Version": (self.versions[-1][2]["Version"]
                        + self.random.randint(1, 4)) if self.versions else 1,
            "Routes": [dict(one) for one in self.routes.values()],
            "Services": [{"Name": name} for name in SERVICES],
            "Limits": {"BodyBytes": 100000, "HeaderBytes": 16384,
                       "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
            "Tenants": [{"Name": name, "Keys": list(keys)}
                        for name, keys in self.tenants.items()]}
        sent = time.time()
        self.versions.append((sent, float("inf"), config))
        await self.store.put("config", "main", config)
        self.versions[-1] = (sent, time.time(), config)
        return time.time()

    async def change(self):
        """Changes routes and writes them."""
        self.change_routes()
        return await self.write()

    async def run_operator(self):
        """Writes versions, alone and in series, until the end."""
        while time.time() < self.end:
            if self.writing:
                for _ in range(self.random.choice((1, 1, 1, 2, 5))):
                    await self.change()
                    await asyncio.sleep(self.random.uniform(0, 0.15))
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
