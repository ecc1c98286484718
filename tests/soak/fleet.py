"""The daemons under test, what surrounds them, and the faults."""

import asyncio
import json
import os
import random
import signal
import time

import web
from judge import Judge
from proxy import Proxy
from store import Store
from target import HEARTBEAT, Target

ZONES = ("north", "south")
# Name of the instance, its service, and whether that is divided by key.
PLACES = (
    ("k1", "keyed", True),
    ("k2", "keyed", True),
    ("k3", "keyed", True),
    ("p1", "plain", False),
    ("p2", "plain", False),
)
GRACE = 6


class Daemon:
    """A daemon process with its settings and the proxies before it."""

    def __init__(self, fleet, index, name, service, keyed):
        self.fleet, self.name = fleet, name
        # Loopback addresses of its own keep the fixed metrics port apart.
        self.host = f"127.{fleet.net}.{index + 1}.1"
        self.target = Target(fleet, name, service, keyed, self.host)
        self.process = None
        self.peer_port = 7600

    async def prepare(self, store_port):
        self.to_store = Proxy("127.0.0.1", store_port)
        self.to_peers = Proxy(self.host, self.peer_port)
        await self.to_store.start("127.0.0.1")
        await self.to_peers.start("127.0.0.1")
        await self.target.start()
        self.path = os.path.join(self.fleet.folder, f"{self.name}.json")
        settings = {
            "NodeName": self.name,
            "Zone": self.fleet.zone(self.name),
            "Ip": self.host,
            "Service": self.target.service,
            "AppAddr": f"{self.host}:{self.target.port}",
            "ListenAddrs": {
                "Outbound": f"{self.host}:7700",
                "Ready": f"{self.host}:7701",
                "Control": f"{self.host}:7702",
            },
            "InternalPortRange": [self.peer_port, self.peer_port + 15],
            "Limits": {"MaxFds": 1000},
            "HeartbeatS": HEARTBEAT,
            "Bounds": ["GraceS=6", "DrainS=2.5", "MaxHoldS=10", "EvacuationS=5"],
            "Platform": {"Address": f"127.0.0.1:{self.to_store.port}"},
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.program,
            "--settings",
            self.path,
            "--advertise",
            f"127.0.0.1:{self.to_peers.port}",
            stdout=log,
            stderr=log,
        )
        log.close()
        self.seen_version = 0

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    async def stop(self, number):
        """Ends the process by a signal and waits for its end."""
        if not self.alive():
            return
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), 5 * GRACE)
        except asyncio.TimeoutError:
            self.fleet.judge.fail(f"{self.name} didn't end on signal {number}")
            self.send(signal.SIGKILL)
            await self.process.wait()
        code = self.process.returncode
        if number == signal.SIGTERM and code != 0:
            self.fleet.judge.fail(f"{self.name} ended with {code} on SIGTERM")


class Fleet:
    def __init__(self, program, seed, folder, net):
        self.program, self.folder, self.net = program, folder, net
        self.seed, self.random = seed, random.Random(seed)
        self.judge = Judge()
        self.store = Store(seed)
        self.broken_answers = 0.0
        self.version = 1
        self.daemons = {
            name: Daemon(self, index, name, service, keyed)
            for index, (name, service, keyed) in enumerate(PLACES)
        }

    @staticmethod
    def zone(name):
        return ZONES[int(name[1]) % 2]

    def control(self, name):
        return self.daemons[name].host, 7702

    def config(self):
        def rule(name, prefix, kind, service):
            return {
                "Name": name,
                "Prefix": prefix,
                "Kind": kind,
                "TimeoutS": 3,
                "TargetLatencyS": 0.8,
                "MaxAttempts": 2,
                "Priority": 1,
                "Service": service,
            }

        rules = [
            rule("read", "/read/", "safe", "plain"),
            rule("write", "/write/", "unsafe", "plain"),
            rule("key", "/key/", "safe", "keyed"),
            rule("keywrite", "/keywrite/", "unsafe", "keyed"),
        ]
        rules += [
            rule(f"v{v}", f"/v{v}/", "safe", "plain") for v in range(2, self.version + 1)
        ]
        services = [
            {"Name": "plain", "MaxConnections": 60},
            {"Name": "keyed", "MaxConnections": 60, "Sharded": True},
        ]
        hosts = [{"Host": "h", "PathRules": rules}]
        return {"Version": self.version, "Services": services, "VirtualHosts": hosts}

    async def start(self):
        port = await self.store.start("127.0.0.1")
        await self.store.put("op", "config", self.config())
        for daemon in self.daemons.values():
            await daemon.prepare(port)
        for daemon in self.daemons.values():
            await daemon.start()

    async def end(self):
        for daemon in self.daemons.values():
            await daemon.stop(signal.SIGTERM)
            await daemon.target.crash()

    # Callers.

    async def request(self, daemon, kind, key=None, timeout=3.5):
        number = self.random.getrandbits(64)
        request = f"{number:016x}"
        unsafe = kind in ("write", "keywrite")
        if unsafe:
            self.judge.unsafe.add(request)
        headers = {"Host": "h", "X-Request-Id": request, "X-Deadline-Ms": "3000"}
        if kind in ("key", "keywrite"):
            headers["X-Shard-Key"] = key
        method, body = ("POST", b"x" * 200) if unsafe else ("GET", b"")
        try:
            status, fields, text = await web.call(
                daemon.host, 7700, method, f"/{kind}/x", headers, body, timeout
            )
        except (OSError, web.Broken, asyncio.TimeoutError) as error:
            self.judge.count(f"no answer: {type(error).__name__}")
            return None
        self.judge.answered(request, unsafe, status, fields, text)
        return status

    def draw_key(self):
        """Busy keys are near each other, as on the platform."""
        if self.random.random() < 0.4:
            return 9000 + self.random.randrange(40)
        return self.random.randrange(65536)

    async def callers(self, rate):
        """Starts requests until it is cancelled."""
        pending = set()
        while True:
            daemon = self.random.choice(list(self.daemons.values()))
            kind = self.random.choice(("read", "write", "key", "key", "keywrite"))
            task = asyncio.create_task(self.request(daemon, kind, self.draw_key()))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(rate))

    async def probe_versions(self):
        """A daemon that has served a version's route serves it ever after."""
        while True:
            for daemon in self.daemons.values():
                process, version = daemon.process, self.version
                if version < 2 or not daemon.alive():
                    continue
                before = daemon.seen_version
                asked = before if before > 1 and self.random.random() < 0.5 else version
                status = await self.request(daemon, f"v{asked}", timeout=1.0)
                if daemon.process is not process:
                    continue
                if status == 200:
                    daemon.seen_version = max(daemon.seen_version, asked)
                elif status == 404 and asked <= before:
                    self.judge.fail(f"{daemon.name} went back behind version {before}")
            await asyncio.sleep(0.1)

    # Faults.

    async def change_config(self, draw):
        self.version += 1
        await self.store.put("op", "config", self.config())

    async def evacuate(self, draw):
        zone = draw.choice(ZONES)
        await self.store.put("op", f"evacuate/{zone}", {})
        await asyncio.sleep(draw.uniform(0.5, 3))
        await self.store.put("op", f"evacuate/{zone}", None)

    async def pause(self, daemon, draw):
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(draw.choice((0.2, 1.0, 4.0, 8.0)))
        daemon.send(signal.SIGCONT)

    async def restart(self, daemon, number, draw):
        await daemon.stop(number)
        await asyncio.sleep(draw.choice((0.0, 0.3, 2.0)))
        await daemon.start()

    async def restart_target(self, daemon, draw):
        await daemon.target.crash()
        await asyncio.sleep(draw.choice((0.1, 1.0, 3.0)))
        await daemon.target.start()

    async def retire_target(self, daemon, draw):
        daemon.target.draining = True
        await asyncio.sleep(3.5)
        await self.restart_target(daemon, draw)

    async def store_down(self, how, draw):
        self.store.down = how
        await asyncio.sleep(draw.choice((0.5, 3.0, 7.0)))
        self.store.down = None

    async def store_poor(self, draw):
        self.store.lost_answers, self.store.delay = 0.3, 0.1
        await asyncio.sleep(draw.uniform(1, 5))
        self.store.lost_answers, self.store.delay = 0.0, 0.0

    async def harm(self, proxy, how, draw):
        if how == "reset":
            return proxy.reset()
        if how == "cut":
            proxy.cut = True
            proxy.reset()
        elif how == "delay":
            proxy.delay = draw.choice((0.05, 0.4))
        else:
            proxy.silent = {how} if how != "both" else {"in", "out"}
        await asyncio.sleep(draw.choice((0.5, 2.0, 6.0)))
        proxy.heal()

    async def poor_answers(self, draw):
        self.broken_answers = 0.1
        await asyncio.sleep(3)
        self.broken_answers = 0.0

    def draw_fault(self, index):
        """(name, coroutine function, arguments), daemon, pause of a fault.

        Each fault has a generator of its own, so that a seed repeats the same
        faults whatever the traffic draws.
        """
        draw = random.Random(f"{self.seed}/{index}")
        daemon = draw.choice(list(self.daemons.values()))
        proxy, where = draw.choice(
            ((daemon.to_store, "store"), (daemon.to_peers, "peers"))
        )
        how = draw.choice(("reset", "cut", "delay", "in", "out", "both"))
        down = draw.choice(("refuse", "silent"))
        faults = [
            (f"pause {daemon.name}", self.pause, (daemon,)),
            (f"kill {daemon.name}", self.restart, (daemon, signal.SIGKILL)),
            (f"term {daemon.name}", self.restart, (daemon, signal.SIGTERM)),
            (f"crash target {daemon.name}", self.restart_target, (daemon,)),
            (f"retire target {daemon.name}", self.retire_target, (daemon,)),
            (f"store {down}", self.store_down, (down,)),
            ("store poor", self.store_poor, ()),
            (f"{where} of {daemon.name}: {how}", self.harm, (proxy, how)),
            (f"{where} of {daemon.name}: {how}", self.harm, (proxy, how)),
            ("config", self.change_config, ()),
            ("evacuate", self.evacuate, ()),
            ("poor answers", self.poor_answers, ()),
            ("history lost", self.lose_history, ()),
        ]
        name, fault, arguments = draw.choice(faults)
        return (name, fault, arguments + (draw,)), daemon, draw.expovariate(1.2)

    async def lose_history(self, draw):
        self.store.compact()

    # The end of an episode.

    async def served_again(self, limit):
        """Whether every daemon serves every kind of request within the limit."""
        until = time.monotonic() + limit
        left = [
            (daemon, kind, key)
            for daemon in self.daemons.values()
            for kind in ("read", "key", f"v{self.version}")
            for key in ((0, 9010, 30000, 65535) if kind == "key" else (None,))
            if kind != "v1"
        ]
        while left and time.monotonic() < until:
            daemon, kind, key = left[0]
            if await self.request(daemon, kind, key, timeout=4) == 200:
                left.pop(0)
            else:
                await asyncio.sleep(0.1)
        for daemon, kind, key in left:
            self.judge.fail(f"{kind} {key} isn't served at {daemon.name} after all faults")
            break
