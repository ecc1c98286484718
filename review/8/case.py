"""A machine is stopped in order while requests that it has taken wait elsewhere."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
sys.dont_write_bytecode = True
import rig as r

MACHINES = [
    ("m1", "comptoir", "a", False), ("m2", "registre", "b", False),
    ("m3", "registre", "c", False),
]
# Slow lookups that can wait: two servers with nine slots finish 12 a second.
WORK_S = 1.5
AIM_S = 10.0
DEADLINE_S = 12.0
PER_S = 24
GRACE_S = 6.0
LOSS_SLACK_S = 0.2


async def main(trouble):
    rig = r.Rig(HERE, MACHINES)
    for machine in rig.machines.values():
        machine.server.work_s = WORK_S
    lookups = r.route("lookups", "/l/", "safe", "registre", DEADLINE_S)
    lookups["TargetLatencyS"] = AIM_S
    notices = r.route("notices", "/n/", "unsafe", "registre", DEADLINE_S)
    notices["TargetLatencyS"] = AIM_S
    results = []  # (sent, ended, id, what)
    requests = set()
    missed = 0

    async def client(machine, target, method):
        sent = time.monotonic()
        request, status = await rig.request(
            machine, target, method=method, deadline_s=DEADLINE_S
        )
        results.append((sent, time.monotonic(), request, status))

    async def send(machine):
        number = 0
        while True:
            if missed < 2:
                number += 1
                target, method = (("/l/x", "GET"), ("/n/x", "POST"))[number % 2]
                task = asyncio.create_task(client(machine, target, method))
                requests.add(task)
                task.add_done_callback(requests.discard)
            await asyncio.sleep(1 / PER_S)

    async def ask_ready(machine):
        nonlocal missed
        while True:
            try:
                status, _, _ = await r.call(
                    machine.ip, rig.ports["Ready"], "GET", "/v1/ready", {}, b"", 1.0
                )
            except (OSError, r.Broken, asyncio.TimeoutError):
                status = 0
            missed = 0 if status == 200 else missed + 1
            await asyncio.sleep(1.0)

    try:
        services = [r.service("registre"), r.service("comptoir")]
        await rig.start(r.config(7, services, [lookups, notices]))
        machine = rig.machines["m1"]
        await rig.all_served([(machine, "/l/x", None)])
        loads = [
            asyncio.create_task(send(machine)), asyncio.create_task(ask_ready(machine))
        ]
        await asyncio.sleep(12)
        stopped = time.monotonic()
        if trouble:
            machine.planned = True
            rig.record("the platform sends SIGTERM to the sidecar of m1")
            machine.send(signal.SIGTERM)
            while machine.running() and time.monotonic() < stopped + GRACE_S:
                await asyncio.sleep(0.02)
            rig.record(
                f"the sidecar of m1 {'runs on' if machine.running() else 'has ended'} "
                f"{time.monotonic() - stopped:.2f} s after the SIGTERM"
            )
            machine.send(signal.SIGKILL)
            machine.process.wait()
            await asyncio.sleep(0.3)
            machine.start()
            machine.planned = False
        await asyncio.sleep(4)
        for load in loads:
            load.cancel()
        await asyncio.wait(set(requests), timeout=DEADLINE_S)
    finally:
        rig.end()
    cut = [
        (request, sent - stopped, ended - sent)
        for sent, ended, request, status in results
        if str(status).startswith("closed")
        and ended - sent > LOSS_SLACK_S
        and ended - sent < DEADLINE_S
        and request not in rig.runs  # No server was at work on it, then or later.
    ]
    served = sum(1 for each in results if each[3] == 200)
    print(f"served: {served} of {len(results)}")
    for request, sent, took in cut[:3]:
        print(f"cut: {request}, sent {sent:.2f} s after the SIGTERM, after {took:.2f} s")
    return len(cut)


if __name__ == "__main__":
    r.run_case(main)
