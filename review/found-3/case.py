"""Left out: a client that waits longer has the downloads of all others refused."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import mesh  # noqa: E402

RATE = 60  # requests a second, at all machines together
USUAL_MS, LONGER_MS = 1500, 4000  # how long clients wait
LONGER_SHARE = 0.05
BEFORE_S = 10
RECOVERY_S = 15
MEASURED_S = 5


class Load:
    def __init__(self, fleet):
        self.fleet, self.ended, self.tasks = fleet, [], set()
        self.longer = False  # whether clients that wait longer come, too

    async def one(self):
        fleet = self.fleet
        longer = self.longer and fleet.random.random() < LONGER_SHARE
        sent = time.monotonic()
        _, status, _ = await fleet.request(
            fleet.random.choice(fleet.machines), "/files/year",
            deadline_ms=LONGER_MS if longer else USUAL_MS)
        self.ended.append((sent, status, longer))

    async def run(self, until):
        next_at = time.monotonic()
        while time.monotonic() < until():
            task = asyncio.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_at += self.fleet.random.expovariate(RATE)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    def share(self, since, until):
        found = [s == 200 for sent, s, _ in self.ended if since <= sent < until]
        return (sum(found) / len(found) if found else 0.0), len(found)

    def tell(self, what, since, until):
        counts = {}
        for sent, status, longer in self.ended:
            if since <= sent < until:
                kind = f"{status} for {'longer' if longer else 'usual'}"
                counts[kind] = counts.get(kind, 0) + 1
        self.fleet.record.say(f"{what}: {counts}")


async def case(trouble):
    fleet = mesh.Mesh(FOLDER, ["z1", "z2"], [
        (f"side-{i + 1}", f"z{i % 2 + 1}", "pages" if i < 7 else "files", False)
        for i in range(8)])
    try:
        await fleet.start()
        await fleet.store.operator_put("config", fleet.config(
            [("files", "/files/", "download", "files", 1.5),
             ("pages", "/pages/", "safe", "pages", 1.5)],
            {"pages": False, "files": False}))
        for machine in fleet.machines:
            await machine.start(bootstrap=True)
        await fleet.wait_ready()
        for machine in fleet.machines:
            await machine.start_server()
        await asyncio.sleep(3)
        started = time.monotonic()
        end = [started + 100]
        load = Load(fleet)
        traffic = asyncio.create_task(load.run(lambda: end[0]))
        await asyncio.sleep(BEFORE_S)
        fleet.record.say("all sidecars are killed")
        fault = time.monotonic()
        await asyncio.gather(*(machine.end() for machine in fleet.machines))
        await asyncio.sleep(0.9)
        for machine in fleet.machines:
            await machine.start(bootstrap=False)
        back = time.monotonic()
        load.longer = trouble
        end[0] = back + RECOVERY_S + MEASURED_S
        await traffic
        await asyncio.sleep(2)
        load.tell("before the final fault", started, fault)
        load.tell(f"later than {RECOVERY_S} s after the machines were back",
                  back + RECOVERY_S, end[0])
        before, number = load.share(started, fault)
        after, counted = load.share(back + RECOVERY_S, end[0])
        fleet.record.say(f"served before: {before:.3f} of {number}; after: {after:.3f} "
                         f"of {counted}")
        if before < 0.25:
            raise mesh.CannotRun("too little is served before the final fault")
        return after >= 0.25
    finally:
        await fleet.end()


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    mesh.run(case, trouble=os.environ.get("TROUBLE", "1") != "0")
