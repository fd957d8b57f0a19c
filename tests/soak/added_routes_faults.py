"""What happens to gateways and to the store while routes come and go."""

import asyncio
import signal
import time

from added_routes_fleet import SEEDS, STABILITY_S


async def drain(soak):
    """Ends a gateway by SIGTERM while long streams are open."""
    gateway = soak.pick()
    soak.note("drain", gateway)
    if not gateway.stopping:
        await gateway.end(signal.SIGTERM)


async def roll(soak):
    """Restarts all gateways in turn, before the previous one is back."""
    tasks = []
    for gateway in soak.random.sample(soak.gateways, len(soak.gateways)):
        if not gateway.stopping:
            soak.note("roll", gateway)
            tasks.append(asyncio.ensure_future(gateway.end(signal.SIGTERM)))
        await asyncio.sleep(soak.random.uniform(0.9, 4.0))
    await asyncio.gather(*tasks)


async def freeze(soak):
    """Freezes one or more gateways for some time."""
    frozen = soak.random.sample(
        soak.gateways, soak.random.choice((1, 1, 2, 4)))
    frozen = [one for one in frozen if not one.stopping]
    soak.note("freeze", *frozen)
    await asyncio.gather(*(one.freeze(soak.random.uniform(0.5, 6))
                           for one in frozen))


async def kill(soak):
    """Kills some gateways and starts them again a little later."""
    killed = [one for one in soak.random.sample(
        soak.gateways, soak.random.randint(1, 4)) if not one.stopping]
    soak.note("kill", *killed)
    await asyncio.gather(*(one.end(signal.SIGKILL, soak.random.uniform(0, 2))
                           for one in killed))


async def kill_all(soak):
    """Kills all gateways right after an acknowledgement."""
    soak.writing = False
    await asyncio.sleep(0.5)
    await soak.change()
    await asyncio.sleep(soak.random.choice((0, 0.005, 0.05)))
    soak.note("kill all")
    pause_s = soak.random.uniform(0.3, 3)
    await asyncio.gather(*(
        one.end(signal.SIGKILL, pause_s + soak.random.choice((0, 0.5, 2)))
        for one in soak.gateways if not one.stopping))
    await asyncio.sleep(soak.random.uniform(2, 4))
    soak.writing = True


async def start_without_store(soak):
    """Starts a gateway while the store rejects it or is silent to it."""
    gateway = soak.pick()
    state = soak.random.choice(("busy", "limited", "refuse", "silent", "slow"))
    soak.note(f"start, {state}", gateway)
    gateway.proxy.state = state
    if not gateway.stopping:
        await gateway.end(signal.SIGKILL, 0.3)
    await asyncio.sleep(soak.random.uniform(1, 9))
    gateway.proxy.state = "open"


async def reject_one(soak):
    """Makes the store reject one gateway, or be silent to it."""
    gateway = soak.pick()
    gateway.proxy.state = soak.random.choice(
        ("busy", "limited", "refuse", "silent", "slow"))
    soak.note(gateway.proxy.state, gateway)
    if gateway.proxy.state == "refuse":
        gateway.excuse()
        gateway.proxy.reset()
    await asyncio.sleep(soak.random.uniform(1, 6))
    gateway.proxy.state = "open"


async def silence(soak):
    """Makes all connections to the store silent that are open now."""
    soak.note("silence")
    for gateway in soak.gateways:
        gateway.proxy.silence()
    await asyncio.sleep(soak.random.uniform(3, 5))


async def silence_after_change(soak):
    """Makes them silent just after a change, when all watches begin."""
    soak.writing = False
    await asyncio.sleep(1)
    await soak.change()
    await asyncio.sleep(soak.random.uniform(0.15, 0.5))
    soak.note("silence after change")
    for gateway in soak.gateways:
        gateway.proxy.silence()
    await soak.change()
    await asyncio.sleep(4)
    soak.writing = True


async def seeds_gone(soak):
    """Ends all seeds while the others have just started."""
    others = [soak.gateways[i] for i in (1, 3)]
    seeds = [soak.gateways[i] for i in SEEDS]
    soak.note("others start", *others)
    await asyncio.gather(*(one.end(signal.SIGKILL, 0.3) for one in others))
    await asyncio.sleep(soak.random.uniform(1.5, 4.9))
    how = soak.random.choice(("kill", "freeze", "term"))
    soak.note(f"seeds gone, {how}", *seeds)
    for one in seeds:
        if how == "freeze":
            asyncio.ensure_future(one.freeze(6))
        else:
            asyncio.ensure_future(one.end(
                signal.SIGKILL if how == "kill" else signal.SIGTERM, 6))
    await asyncio.sleep(soak.random.uniform(0, 0.3))
    await soak.change()
    await asyncio.sleep(12)


async def restore(soak):
    """Restores the store from a copy; what has listed in it then goes.

    All gateways have seen changes that the restored store lacks, and the
    operator writes the newest version again. One that has listed the
    configurations since is killed, stopped, or rejected by the store.
    """
    soak.writing = False
    begun = time.time()
    for _ in range(6):
        await soak.change()
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.5)
    soak.store.state = "silent"
    await asyncio.sleep(0.6)
    await soak.store.restore(time.time() - begun)
    soak.store.state = "up"
    for one in soak.gateways:  # the core was unstable
        one.excused.append([begun, time.time()])
    await soak.store.put("config", "main", soak.versions[-1][2])
    await asyncio.sleep(0.5)
    await soak.change()
    await asyncio.sleep(1)
    listed = [one for one in soak.gateways if one.proxy.listed_at > begun]
    how = soak.random.choice(("kill", "term", "busy"))
    soak.note(f"era {soak.store.era}, {how}, listed by", *listed)
    gone = asyncio.gather(*(lose(one, how) for one in listed[:2]))
    await asyncio.sleep(STABILITY_S)
    await soak.change()
    await gone
    soak.writing = True


async def lose(gateway, how):
    """Takes a gateway, or its path to the store, away for some seconds."""
    if how == "busy":
        gateway.proxy.state = how
        gateway.excuse()
        gateway.proxy.reset()
        await asyncio.sleep(8)
        gateway.proxy.state = "open"
    else:
        await gateway.end(
            signal.SIGKILL if how == "kill" else signal.SIGTERM, 8)


SCENARIOS = {
    "silence_after_change": silence_after_change, "seeds_gone": seeds_gone,
    "restore": restore,
    "drain": drain, "roll": roll, "freeze": freeze, "kill": kill,
    "kill_all": kill_all, "start_without_store": start_without_store,
    "reject_one": reject_one, "silence": silence}
STREAMED = ("drain", "roll", "roll+freeze", "drain+freeze", "drain+silence",
            "roll+reject_one", "drain+kill", "roll+kill")
