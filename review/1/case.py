"""A spoilt answer: a refusal of a key (421) comes twice, the second time late."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import rig as standin  # noqa: E402
from server import Server  # noqa: E402

SERVERS = 5
GARBLED_SERVERS = 3  # a share of 0.6
ANSWERS_PER_EXTRA = 34  # at most 3 in 100
# The answers are spoilt for 5 s, again and again.
GARBLED_S, SOUND_S = 5.0, 1.0
REQUESTS_PER_S = 40
# The busy keys change; a share of the requests is for one of them.
BUSY_KEYS, BUSY_SHARE, BUSY_S = 200, 0.35, 5.5
# The other servers are restarted in turn, as planned work.
RESTART_EVERY_S, DRAIN_S, DOWN_S = 8.0, 3.0, 1.0
LENGTH_S = 100  # at most; less once a request has run twice
REFUSALS = (408, 421, 429, 503)


class GarbledServer(Server):
    """Sends one answer a second time, where the next one is expected."""

    garbled = False
    answers = 0
    extras = 0

    async def before_answer(self, state, method, path, writer):
        extra = state.pop("extra", None)
        if extra:
            self.line("sends an earlier answer again: " + describe(extra))
            writer.write(extra)
            await writer.drain()

    def after_answer(self, state, method, path, encoded):
        if not self.garbled:
            return
        self.answers += 1
        allowed = self.answers // ANSWERS_PER_EXTRA
        if encoded.startswith(b"HTTP/1.1 421") and self.extras < allowed:
            self.extras += 1
            state["extra"] = encoded


def describe(answer):
    lines = answer.decode("latin-1").split("\r\n")
    return ", ".join([lines[0]] + [l for l in lines if l.startswith("X-Request-Id")])


def ran_twice(servers):
    runs = [ident for server in servers for ident in server.runs]
    return len(runs) > len(set(runs))


async def restart_in_turn(rig, servers):
    while True:
        for server in servers:
            await asyncio.sleep(RESTART_EVERY_S - DRAIN_S - DOWN_S)
            rig.record.line(f"{server.ident} says that it drains")
            server.state = "draining"
            await asyncio.sleep(DRAIN_S)
            await server.deregister()
            await server.crash()
            await asyncio.sleep(DOWN_S)
            await server.start()


async def case():
    rig = standin.Rig(FOLDER)
    servers = []
    for index in range(SERVERS):
        sidecar = rig.add(f"k{index + 1}", "keyed")
        servers.append(GarbledServer(rig, sidecar, True, phase=0.17 * index))
    try:
        await rig.start(
            standin.configuration(
                [standin.service("keyed", True)],
                [standin.rule("write", "/write/", "unsafe", "keyed")],
            )
        )
        for server in servers:
            await server.start()
        until = time.monotonic() + 30
        while sum(h.last - h.first + 1 for s in servers for h in s.holds) < 65536:
            if time.monotonic() > until:
                raise RuntimeError("the keys were not granted in time")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        garbled = servers[:GARBLED_SERVERS]
        tasks = []
        restarts = asyncio.create_task(
            restart_in_turn(rig, servers[GARBLED_SERVERS:])
        )
        started = time.monotonic()
        while time.monotonic() - started < LENGTH_S:
            passed = time.monotonic() - started
            if len(tasks) % REQUESTS_PER_S == 0 and ran_twice(servers):
                break
            spoilt = standin.TROUBLE and passed % (GARBLED_S + SOUND_S) < GARBLED_S
            for server in garbled:
                server.garbled = spoilt
            number = len(tasks)
            key = (number * 7919) % 65536
            if number % 100 < 100 * BUSY_SHARE:
                busy = int(passed / BUSY_S) * 24001 % 65000
                key = busy + number * 31 % BUSY_KEYS
            entrance = servers[number % SERVERS].sidecar
            request = rig.request(entrance, "POST", "/write/w-100", b"x", key)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        restarts.cancel()
        answers = [task for task in await asyncio.gather(*tasks)]
        await asyncio.sleep(1.5)
    finally:
        await rig.end()
    for server in garbled:
        rig.record.line(
            f"{server.ident} sent {server.extras} of {server.answers} answers twice"
        )
    runs = {}
    for server in servers:
        for ident in server.runs:
            runs.setdefault(ident, []).append(server.ident)
    for ident, where in runs.items():
        if len(where) > 1:
            rig.record.rule_broken(f"TWICE: {ident} ran at {', '.join(where)}")
    for ident, status, _, _ in answers:
        if status in REFUSALS and ident in runs:
            rig.record.rule_broken(
                f"REFUSED: {ident} was answered {status} and ran at {runs[ident]}"
            )
    return standin.BROKEN if rig.record.broken else standin.HELD


standin.run_case(case)
