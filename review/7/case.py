"""A service leaves the configuration while the store turns two machines away."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
sys.dont_write_bytecode = True
import rig as r

MACHINES = [
    ("m1", "orari", "a", True), ("m2", "orari", "b", True), ("m3", "orari", "c", True),
    ("m4", "annunci", "a", False), ("m5", "annunci", "b", False),
    ("m6", "annunci", "c", False),
]
TURNED_AWAY = ("m1", "m4")  # a share of 0.33, as in the sites' lists
DOWN_S = 9.0
CHANGE_AFTER_S = 4.0
# From the sending of a version until this long after it, LOST counts cut requests.
CONFIG_APPLY_S = 2.0


def version_1():
    return r.config(
        7, [r.service("orari", True), r.service("annunci")],
        [
            r.route("timetables", "/t/", "safe", "orari"),
            r.route("lookups", "/l/", "safe", "annunci"),
            r.route("notices", "/n/", "unsafe", "annunci"),
        ],
    )


def version_2():
    # The route of orari moves to annunci; no route leads to orari any more.
    return r.config(
        9, [r.service("annunci")],
        [
            r.route("timetables", "/t/", "safe", "annunci"),
            r.route("lookups", "/l/", "safe", "annunci"),
            r.route("notices", "/n/", "unsafe", "annunci"),
        ],
    )


async def main(trouble):
    rig = r.Rig(HERE, MACHINES)
    cut = []  # (sent, machine, id, what) of requests without a complete answer
    try:
        await rig.start(version_1())
        await rig.all_served(
            [(m, "/l/x", None) for m in rig.machines.values()]
            + [(m, "/t/x", k) for m in rig.machines.values() for k in (0, 30000, 65535)]
        )
        loads = []

        async def client(machine, target, method):
            while True:
                sent = time.monotonic()
                request, status = await rig.request(machine, target, method=method)
                # Only requests that a server ran were certainly read whole.
                if str(status).startswith("closed") and request in rig.runs:
                    cut.append((sent, machine.name, request, status))
                if isinstance(status, str):
                    await asyncio.sleep(0.2)

        for machine in rig.machines.values():
            for target, method in 2 * (("/l/x", "GET"), ("/n/x", "POST")):
                loads.append(asyncio.create_task(client(machine, target, method)))
        await asyncio.sleep(5)
        if trouble:
            rig.record(f"the store turns {TURNED_AWAY} away, silently")
            for name in TURNED_AWAY:
                rig.store.turned_away[name] = "silent"
        await asyncio.sleep(CHANGE_AFTER_S)
        sending = time.monotonic()
        await rig.configure(version_2())
        await asyncio.sleep(DOWN_S - CHANGE_AFTER_S)
        rig.store.turned_away.clear()
        rig.record("the store serves all machines")
        await asyncio.sleep(4)
        for load in loads:
            load.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
    finally:
        rig.end()
    around = [c for c in cut if sending - 2 <= c[0] <= sending + CONFIG_APPLY_S + 1]
    ends = {m.name: m.ends for m in rig.machines.values() if m.ends}
    print(f"cut around the change: {len(around)}, at other times: {len(cut) - len(around)}")
    print(f"sidecars that ended by themselves: {ends}")
    return len(around) if ends else 0


if __name__ == "__main__":
    r.run_case(main)
