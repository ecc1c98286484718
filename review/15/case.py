"""Case 15: a route that is added later is never served beside slower ones."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import mesh  # noqa: E402

# path: (work in seconds, deadline in milliseconds)
OLD, NEW = ("/history/", 1.0, 5000), ("/check/", 0.03, 500)
OLD_RATE, NEW_RATE = 6, 6  # requests a second; the three servers can run 27 at a time
CONFIG_APPLY_S, CONTACT_S = 2, 3
MEASURED_S = 20


class Server(mesh.Server):
    """A sound server whose routes take different times."""

    async def handle(self, method, target, fields, body):
        # One request at a time changes it, since nothing is awaited before it is read.
        self.work_s = OLD[1] if target.startswith(OLD[0]) else NEW[1]
        return await super().handle(method, target, fields, body)


class Load:
    def __init__(self, fleet):
        self.fleet, self.ended, self.tasks = fleet, [], set()

    async def one(self, path, deadline_ms):
        fleet, sent = self.fleet, time.monotonic()
        _, status, _ = await fleet.request(fleet.random.choice(fleet.machines),
                                           path + "x", deadline_ms=deadline_ms)
        self.ended.append((path, sent, status))

    async def run(self, route, rate, until):
        next_at = time.monotonic()
        while time.monotonic() < until:
            task = asyncio.create_task(self.one(route[0], route[2]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_at += self.fleet.random.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    def share(self, path, since, until):
        found = [s for p, sent, s in self.ended if p == path and since <= sent < until]
        counts = {s: found.count(s) for s in set(found)}
        self.fleet.record.say(f"{path}: {counts}")
        return (counts.get(200, 0) / len(found) if found else 0.0), len(found)


async def case(trouble):
    fleet = mesh.Mesh(FOLDER, ["z1", "z2", "z3"], [
        (f"side-{i + 1}", f"z{i + 1}", "records", False) for i in range(3)])
    old = ("history", OLD[0], "safe", "records", OLD[2] / 1000)
    new = ("check", NEW[0], "safe", "records", NEW[2] / 1000)
    try:
        await fleet.start()
        # With TROUBLE=0 both routes are there from the start.
        first = [old] if trouble else [old, new]
        await fleet.store.operator_put("config", fleet.config(first, {"records": False}))
        for machine in fleet.machines:
            await machine.start(bootstrap=True)
        await fleet.wait_ready()
        for machine in fleet.machines:
            machine.server = Server(fleet, machine)
            await machine.server.start()
        await asyncio.sleep(3)
        load = Load(fleet)
        change = time.monotonic() + 15
        began = change + CONFIG_APPLY_S + CONTACT_S
        end = began + MEASURED_S
        traffic = [asyncio.create_task(load.run(OLD, OLD_RATE, end))]
        if not trouble:
            traffic.append(asyncio.create_task(load.run(NEW, NEW_RATE, end)))
        await asyncio.sleep(15)
        if trouble:
            await fleet.store.operator_put("config", fleet.config([old, new],
                                                                  {"records": False}))
            await asyncio.sleep(CONFIG_APPLY_S)
            traffic.append(asyncio.create_task(load.run(NEW, NEW_RATE, end)))
        await asyncio.gather(*traffic)
        await asyncio.sleep(5)
        old_share, _ = load.share(OLD[0], began, end)
        new_share, number = load.share(NEW[0], began, end)
        fleet.record.say(f"served of the first route: {old_share:.3f}; of the route added "
                         f"later: {new_share:.3f} of {number}")
        if number < 20 or old_share < 0.5:
            raise mesh.CannotRun("too few requests")
        return new_share >= old_share / 4
    finally:
        await fleet.end()


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    mesh.run(case, trouble=os.environ.get("TROUBLE", "1") != "0")
