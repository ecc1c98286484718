"""Case 12: a heartbeat whose id can't be read ends the sidecar."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import mesh  # noqa: E402

CLIENTS = 8  # kept connections at each machine
WORK_S = 0.3
ALLOWED = 3  # "more than three times"
ENDS = 3  # "end by themselves three times in the day"
MACHINES_ENDED = 2  # "on a tenth of the machines in use (two at least)"


class Client:
    """Sends one unsafe request after the other on a kept connection."""

    def __init__(self, fleet, machine, lost):
        self.fleet, self.machine, self.lost = fleet, machine, lost
        self.answered = 0

    async def run(self, until):
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.machine.outbound)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while time.monotonic() < until and await self.one(reader, writer):
                    pass
            except OSError:
                pass
            finally:
                writer.close()

    async def one(self, reader, writer):
        fleet = self.fleet
        request = f"{fleet.random.getrandbits(64):016x}"
        key = fleet.random.randrange(mesh.KEYS)
        fleet.record.line(f"client at {self.machine.name} sends {request} key {key}")
        writer.write(mesh.message("POST /write/x HTTP/1.1", {
            "Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": "2000",
            "X-Shard-Key": key}, b"notice"))
        status = None
        try:
            await writer.drain()
            head = await asyncio.wait_for(mesh.read_head(reader), 2.2)
            if head is not None:
                status = int(head[0].split(" ")[1])
                await mesh.read_body(reader, head[1])
        except asyncio.TimeoutError:
            fleet.record.line(f"{request}: no answer in time")
            return False
        except (OSError, asyncio.IncompleteReadError):
            status = None
        fleet.record.line(f"client at {self.machine.name} gets {status} for {request}")
        if status is None:
            if request in fleet.runs:
                self.lost.append(request)
            return False
        self.answered += 1
        return head[1].get("connection") != "close"


async def keep_running(fleet, machine, ends):
    """The platform: a process that exits is started again after a short delay."""
    while True:
        code = await machine.process.wait()
        ends.append(machine.name)
        fleet.record.say(f"the process of {machine.name} has ended by itself, code {code}")
        await asyncio.sleep(0.5)
        await machine.start(bootstrap=False)


async def odd_heartbeat(fleet, machine):
    """A heartbeat of another writer, with bytes in its id that can't be read."""
    body = json.dumps({
        "Service": machine.service, "Address": "%s:%d" % machine.app, "Zone": machine.zone,
        "Version": "v1", "Slots": 9, "State": "ready", "ColdRemainingS": 0, "Sequence": 1,
        "born": int(time.time() * 1000), "Holds": [], "Released": []}).encode()
    fleet.record.say(f"other writer: a heartbeat with the id i-\\xff to {machine.name}")
    try:
        _, writer = await asyncio.open_connection(*machine.control)
        writer.write(b"POST /v1/rpc?call=instances.heartbeat&of=i-\xff HTTP/1.1\r\nHost: c\r\n"
                     b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                     + body)
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.close()
    except OSError as error:
        fleet.record.say(f"not sent: {error!r}")


async def case(trouble):
    fleet = mesh.Mesh(FOLDER, ["z1", "z2"], [
        ("side-1", "z1", "notes", True), ("side-2", "z2", "notes", True),
        ("side-3", "z1", "notes", True)])
    keepers = []
    try:
        await fleet.start()
        await fleet.store.operator_put("config", fleet.config(
            [("write", "/write/", "unsafe", "notes", 2.0)], {"notes": True}))
        for machine in fleet.machines:
            await machine.start(bootstrap=True)
        await fleet.wait_ready()
        for machine in fleet.machines:
            await machine.start_server(WORK_S)
        await asyncio.sleep(5)
        lost, ends = [], []
        keepers = [asyncio.create_task(keep_running(fleet, machine, ends))
                   for machine in fleet.machines]
        until = time.monotonic() + 24
        clients = [Client(fleet, machine, lost)
                   for machine in fleet.machines for _ in range(CLIENTS)]
        traffic = [asyncio.create_task(client.run(until)) for client in clients]
        await asyncio.sleep(4)
        if sum(client.answered for client in clients) < 50 or lost:
            raise mesh.CannotRun("requests aren't served before the disruption")
        for _ in range(ENDS):
            for machine in fleet.machines[:MACHINES_ENDED]:
                if trouble:
                    await odd_heartbeat(fleet, machine)
            await asyncio.sleep(5)
        await asyncio.gather(*traffic)
        fleet.record.say(f"{sum(client.answered for client in clients)} answered; {len(lost)} "
                         "requests of kept connections were passed on to a sound server and "
                         "their connections ended without an answer")
        often = [name for name in set(ends) if ends.count(name) >= ENDS]
        fleet.record.say(f"ended by themselves {ENDS} times: {sorted(often)}")
        return len(lost) <= ALLOWED and len(often) < MACHINES_ENDED
    finally:
        for keeper in keepers:
            keeper.cancel()
        await fleet.end()


if __name__ == "__main__":
    # TROUBLE=0: the same without the disruption.
    mesh.run(case, trouble=os.environ.get("TROUBLE", "1") != "0")
