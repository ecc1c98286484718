"""A commit that frees the keys of a silent server is performed seconds later,
when the server is back and has been granted its keys again."""

import asyncio
import base64
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import rig as standin  # noqa: E402
from server import Server  # noqa: E402

SERVERS = 5
# In seconds after the last heartbeat that arrives: the store gives no answers
# from the first to the second, and the heartbeats arrive again.
STORE_SILENT_AT = 7.2
HEARTBEATS_BACK_AT = 9.3
STORE_BACK_AT = 9.8
# How long after a call the store performs it, at least and at most.
LATE_MIN_S, LATE_MAX_S = 1.0, 6.0
PERIOD = 0.87
OWNED = 1  # state of a span in the sidecars' rows


class Overlaps:
    """OWNER: two servers that are up hold the same keys for over half a second."""

    LIMIT_S = 0.5

    def __init__(self, rig, servers):
        self.rig, self.servers = rig, servers
        self.since, self.longest, self.reported = {}, {}, set()

    def took(self, server, first, last, fence):
        pass

    def began(self, server, ident, key):
        now = time.monotonic()
        for other in self.servers:
            if other is not server and other.up and other.held(key):
                self.rig.record.line(
                    f"{server.ident} begins {ident} on key {key}, "
                    f"which {other.ident} holds, too"
                )

    async def watch(self):
        while True:
            now = time.monotonic()
            present = {}
            for index, one in enumerate(self.servers):
                for two in self.servers[index + 1 :]:
                    for a in one.holds:
                        for b in two.holds:
                            if min(a.until, b.until) <= now or not (one.up and two.up):
                                continue
                            first, last = max(a.first, b.first), min(a.last, b.last)
                            if first <= last:
                                present[one.ident, two.ident] = (first, last, a, b)
            for pair in list(self.since):
                if pair not in present:
                    self.rig.record.line(
                        f"{pair[0]} and {pair[1]} held the same keys for "
                        f"{now - self.since.pop(pair):.2f} s"
                    )
            for pair, (first, last, a, b) in present.items():
                since = self.since.setdefault(pair, now)
                if now - since > self.LIMIT_S and pair not in self.reported:
                    self.reported.add(pair)
                    self.rig.record.rule_broken(
                        f"{pair[0]} and {pair[1]} hold keys {first} to {last} for over "
                        f"{self.LIMIT_S} s, with the fences {a.fence} and {b.fence}"
                    )
            await asyncio.sleep(0.01)


def gives_away(request, held):
    """Whether a transaction lets other servers own keys of the cut server."""
    rows = json.loads(base64.b64decode(request["Writes"][0]["Value"]))
    names = [owner[1] for owner in rows.get("owners", [])]
    first, last, fence = held
    return any(
        low <= last and first <= high and state == OWNED and mark != fence
        for low, high, state, owner, _, mark, _ in rows.get("spans", [])
        if owner >= 0 and names[owner]
    )


async def case():
    rig = standin.Rig(FOLDER)
    servers = []
    for index in range(SERVERS):
        sidecar = rig.add(f"k{index + 1}", "keyed")
        # The heartbeats of the last server come just before those of the others.
        phase = 0.0 if index == SERVERS - 1 else 0.06 + 0.02 * index
        servers.append(Server(rig, sidecar, True, PERIOD, phase))
    overlaps = Overlaps(rig, servers)
    cut = servers[-1]
    watch = None
    try:
        await rig.start(
            standin.configuration(
                [standin.service("keyed", True)],
                [standin.rule("read", "/read/", "safe", "keyed")],
            )
        )
        for server in servers:
            await server.start()
            server.observer = overlaps
        watch = asyncio.create_task(overlaps.watch())
        until = time.monotonic() + 30
        while sum(h.last - h.first + 1 for s in servers for h in s.holds) < 65536:
            if time.monotonic() > until:
                raise RuntimeError("the keys were not granted in time")
            await asyncio.sleep(0.1)
        await asyncio.sleep(6)

        async def load(keys):
            number = 0
            while True:
                key = keys[(number * 7919) % len(keys)]
                entrance = servers[number % SERVERS].sidecar
                number += 1
                asyncio.create_task(rig.request(entrance, "GET", "/read/w-30", key=key))
                await asyncio.sleep(0.02)

        # Just after a heartbeat of the server.
        await asyncio.sleep((0.02 - time.monotonic()) % PERIOD)
        last_beat = time.monotonic()
        held = [(h.first, h.last, h.fence) for h in cut.holds]
        rig.record.line(f"{cut.ident} holds {held}")
        if standin.TROUBLE:
            rig.record.line(f"{cut.ident} is cut off from its control address")
            cut.reachable = False
            await asyncio.sleep(last_beat + STORE_SILENT_AT - time.monotonic())
            rig.record.line("the store gives no answers from now on")
            rig.store.silent = True
        await asyncio.sleep(last_beat + HEARTBEATS_BACK_AT - time.monotonic())
        if standin.TROUBLE:
            rig.record.line(f"{cut.ident} reaches its control address again")
            cut.reachable = True
            await asyncio.sleep(last_beat + STORE_BACK_AT - time.monotonic())
            rig.record.line("the store answers again")
            rig.store.silent = False
            # In the order of the calls, each within its time, just after a
            # heartbeat of the server.
            writes = [
                (at, r) for at, r in rig.store.unanswered if r.get("Writes")
            ]
            if not writes:
                raise RuntimeError("no write was left unanswered")
            # The server is granted its keys again.
            while not any(h.until > time.monotonic() for h in cut.holds):
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.03)
            # Several calls are open, of the sidecar and of the planner. Any may be
            # performed first; here the one that gives the keys to others.
            writes.sort(key=lambda each: not gives_away(each[1], held[0]))
            for at, request in writes:
                late = time.monotonic() - at
                if not LATE_MIN_S <= late <= LATE_MAX_S:
                    rig.record.line(f"never performed, {late:.2f} s after the call")
                    continue
                rig.record.line(f"{late:.2f} s after the call")
                await rig.store.perform_late(request)
        first, last, _ = held[0]
        requests = asyncio.create_task(load(range(first, last + 1)))
        await asyncio.sleep(4)
        requests.cancel()
        await asyncio.sleep(1)
        if watch.done():
            watch.result()
    finally:
        if watch:
            watch.cancel()
        await rig.end()
    return standin.BROKEN if rig.record.broken else standin.HELD


standin.run_case(case)
