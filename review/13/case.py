"""Case 13: keys stay with servers that are gone, as their zone is evacuated."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import mesh  # noqa: E402

RATE = 50  # requests a second
BEFORE_S = 6
DOWN_S = 1.2
RECOVERY_S = 15
MEASURED_S = 10


class Load:
    def __init__(self, fleet):
        self.fleet, self.ended, self.tasks = fleet, [], set()

    async def one(self):
        fleet, sent = self.fleet, time.monotonic()
        _, status, _ = await fleet.request(fleet.random.choice(fleet.machines), "/read/x",
                                           fleet.random.randrange(mesh.KEYS))
        self.ended.append((sent, status))

    async def run(self, until):
        next_at = time.monotonic()
        while time.monotonic() < until():
            task = asyncio.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_at += self.fleet.random.expovariate(RATE)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    def share(self, what, since, until):
        found = [status for sent, status in self.ended if since <= sent < until]
        counts = {status: found.count(status) for status in set(found)}
        share = counts.get(200, 0) / len(found) if found else 0.0
        self.fleet.record.say(f"{what}: {counts}, served {share:.3f}")
        return share


async def case(trouble):
    # Four servers in one zone and one in the other.
    fleet = mesh.Mesh(FOLDER, ["z1", "z2"], [
        ("side-1", "z2", "notes", True)]
        + [(f"side-{i}", "z1", "notes", True) for i in range(2, 6)])
    try:
        await fleet.start()
        await fleet.store.operator_put("config", fleet.config(
            [("read", "/read/", "safe", "notes", 1.5)], {"notes": True}))
        for machine in fleet.machines:
            await machine.start(bootstrap=True)
        await fleet.wait_ready()
        for machine in fleet.machines:
            await machine.start_server()
        await asyncio.sleep(4)
        started = time.monotonic()
        end = [started + 100]
        load = Load(fleet)
        traffic = asyncio.create_task(load.run(lambda: end[0]))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            await fleet.store.operator_put("evacuate/z1", {})
        fleet.record.say("all machines lose power")
        fault = time.monotonic()
        await asyncio.gather(*(machine.end() for machine in fleet.machines),
                             *(machine.server.stop() for machine in fleet.machines))
        await asyncio.sleep(DOWN_S)
        for machine in fleet.machines:
            await machine.start(bootstrap=False)
            await machine.start_server()
        back = time.monotonic()
        fleet.record.say("all machines are back")
        end[0] = back + RECOVERY_S + MEASURED_S
        await traffic
        await asyncio.sleep(2)
        before = load.share("before the final fault", started, fault)
        after = load.share(f"later than {RECOVERY_S} s after the machines were back",
                           back + RECOVERY_S, end[0])
        for machine in fleet.machines:
            keys = sum(l - f + 1 for f, l, _ in machine.server.ranges())
            fleet.record.say(f"the server on {machine.name} ({machine.zone}) holds {keys} keys")
        if before < 0.25:
            raise mesh.CannotRun("too little is served before the final fault")
        return after >= 0.25
    finally:
        await fleet.end()


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    mesh.run(case, trouble=os.environ.get("TROUBLE", "1") != "0")
