"""The daemons under test, their targets, proxies and store, and the faults."""

import asyncio
import json
import os
import random
import signal
import time

import web
from oracle import IN_FLIGHT_S, Oracle
from proxy import Proxy
from store import Store
from target import HEARTBEAT_S, Target

ZONES = ("north", "south")
# Name of each instance, its service, and whether the service is divided by key.
INSTANCES = (
    ("k1", "keyed", True),
    ("k2", "keyed", True),
    ("k3", "keyed", True),
    ("p1", "plain", False),
    ("p2", "plain", False),
)
# The GraceS of the settings; a daemon may take five times as long to end.
GRACE_S = 6
# The ConfigApplyS of the settings.
CONFIG_APPLY_S = 2.5
# The event loop of this process counts as stalled when a task that runs at this
# interval is late by more than the second time.
STALL_CHECK_S = 0.05
STALL_S = 0.5
# Share of the callers that leave before the deadline.
LEAVING_SHARE = 0.15


class Daemon:
    """A daemon process with its settings, its target and its proxies."""

    def __init__(self, fleet, index, name, service, keyed):
        self.fleet, self.name = fleet, name
        # Each daemon has its own loopback address because the metrics port is
        # the same for all.
        self.host = f"127.{fleet.net}.{index + 1}.1"
        self.target = Target(fleet, name, service, keyed, self.host)
        self.process = None
        self.peer_port = 7600

    async def prepare(self, store_port):
        self.store_proxy = Proxy("127.0.0.1", store_port)
        self.peer_proxy = Proxy(self.host, self.peer_port)
        await self.store_proxy.start("127.0.0.1")
        await self.peer_proxy.start("127.0.0.1")
        await self.target.start()
        self.path = os.path.join(self.fleet.folder, f"{self.name}.json")
        self.settings = {
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
            "HeartbeatS": HEARTBEAT_S,
            "Bounds": [
                "GraceS=6",
                "DrainS=2.5",
                "MaxHoldS=10",
                "EvacuationS=5",
                f"ConfigApplyS={CONFIG_APPLY_S}",
            ],
            "Platform": {"Address": f"127.0.0.1:{self.store_proxy.port}"},
        }

    async def start(self):
        # Only the first start is one of the whole system.
        bootstrap = self.process is None
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings | {"Bootstrap": bootstrap}, file)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        # The daemon learns the limit again from the next answer.
        if self.target.limit is not None:
            self.target.limited_since = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.program,
            "--settings",
            self.path,
            "--advertise",
            f"127.0.0.1:{self.peer_proxy.port}",
            stdout=log,
            stderr=log,
        )
        log.close()
        self.highest_seen_version = 0

    def alive(self):
        return self.process is not None and self.process.returncode is None

    # Sends a signal to the process, if it runs.
    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    async def stop(self, number):
        """Ends the process by a signal, waits for it and checks the exit code."""
        if not self.alive():
            return
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), 5 * GRACE_S)
        except asyncio.TimeoutError:
            self.fleet.oracle.fail(f"{self.name} did not exit after signal {number}")
            self.send(signal.SIGKILL)
            await self.process.wait()
        code = self.process.returncode
        if number == signal.SIGTERM and code != 0:
            self.fleet.oracle.fail(f"{self.name} exited with code {code} after SIGTERM")


# All daemons of an episode, their store, callers and faults.
class Fleet:
    def __init__(self, program, seed, folder, net):
        self.program, self.folder, self.net = program, folder, net
        self.seed, self.random = seed, random.Random(seed)
        self.oracle = Oracle()
        self.store = Store(seed)
        self.broken_answer_share = 0.0
        # Whether keys are granted by calls.
        self.direct_grants = seed % 2 == 1
        self.rolling_back = False
        self.last_loop_check = time.monotonic()
        self.stall = (0.0, 0.0)  # start and end of the last stall
        self.version = 1
        self.version_set_at = 0.0
        self.daemons = {
            name: Daemon(self, index, name, service, keyed)
            for index, (name, service, keyed) in enumerate(INSTANCES)
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
            {
                "Name": "keyed",
                "MaxConnections": 60,
                "Sharded": True,
                "Grants": "direct" if self.direct_grants else "heartbeat",
            },
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

    async def watch_stalls(self):
        """Records stalls of this process, in which store and targets stand still."""
        self.last_loop_check = time.monotonic()
        while True:
            await asyncio.sleep(STALL_CHECK_S)
            now = time.monotonic()
            if now - self.last_loop_check > STALL_S:
                self.stall = (self.last_loop_check, now)
                with self.oracle.disturbances.of("store"):
                    print(f"  stalled for {now - self.last_loop_check:.1f} s", flush=True)
            self.last_loop_check = now

    def arrival_time(self):
        """Returns when a call that is read now may first have arrived."""
        now = time.monotonic()
        if now - self.last_loop_check > STALL_S:
            return self.last_loop_check
        return self.stall[0] if now - self.stall[1] < STALL_S else now

    # Load.

    # Sends a request and checks its answer.
    #
    # Returns the status, or None when no answer came.
    async def request(self, daemon, kind, key=None, timeout=3.5):
        number = self.random.getrandbits(64)
        request = f"{number:016x}"
        unsafe = kind in ("write", "keywrite")
        if unsafe:
            self.oracle.unsafe.add(request)
        headers = {"Host": "h", "X-Request-Id": request, "X-Deadline-Ms": "3000"}
        if kind in ("key", "keywrite"):
            headers["X-Shard-Key"] = key
        method, body = ("POST", b"x" * 200) if unsafe else ("GET", b"")
        try:
            status, fields, text = await web.call(
                daemon.host, 7700, method, f"/{kind}/x", headers, body, timeout
            )
        except (OSError, web.Broken, asyncio.TimeoutError) as error:
            self.oracle.count(f"no answer: {type(error).__name__}")
            if isinstance(error, asyncio.TimeoutError):
                self.oracle.record_left(request, daemon.name)
            return None
        self.oracle.check_answer(request, unsafe, status, fields, text)
        return status

    def draw_key(self):
        """Draws a key; the busy keys are close together, as on the platform."""
        if self.random.random() < 0.4:
            return 9000 + self.random.randrange(40)
        return self.random.randrange(65536)

    async def generate_load(self, rate):
        """Starts requests at a mean rate per second until it is cancelled."""
        pending = set()
        while True:
            daemon = self.random.choice(list(self.daemons.values()))
            kind = self.random.choice(("read", "write", "key", "key", "keywrite"))
            leaves = self.random.random() < LEAVING_SHARE
            patience = self.random.uniform(0.01, 0.8) if leaves else 3.5
            task = asyncio.create_task(
                self.request(daemon, kind, self.draw_key(), patience)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(rate))

    async def check_route_versions(self):
        """Checks that each daemon applies a configuration in time and keeps it.

        Each version adds a route: a daemon process that has served the route of a
        version has to serve it from then on.
        """
        while True:
            for daemon in self.daemons.values():
                process, version = daemon.process, self.version
                if version < 2 or not daemon.alive():
                    continue
                known = daemon.highest_seen_version
                requested = known if known > 1 and self.random.random() < 0.5 else version
                set_at, sent = self.version_set_at, time.monotonic()
                status = await self.request(daemon, f"v{requested}", timeout=1.0)
                if daemon.process is not process:
                    continue
                if status == 200:
                    daemon.highest_seen_version = max(
                        daemon.highest_seen_version, requested
                    )
                elif status == 404 and requested <= known:
                    self.oracle.fail(
                        f"{daemon.name} returned to a version older than {known}"
                    )
                elif (
                    status == 404
                    and sent - set_at > CONFIG_APPLY_S + IN_FLIGHT_S
                    and self.oracle.in_touch(daemon.name)
                    and self.oracle.disturbances.none_since("store", set_at)
                ):
                    self.oracle.fail(
                        f"{daemon.name} does not apply version {requested} after "
                        f"{sent - set_at:.3f} s"
                    )
            await asyncio.sleep(0.1)

    # Faults.

    async def change_config(self, rng):
        self.version += 1
        await self.store.put("op", "config", self.config())
        self.version_set_at = time.monotonic()

    async def set_evacuated(self, zone, evacuated):
        if not evacuated:
            self.oracle.record_evacuation(zone, False)
        await self.store.put("op", f"evacuate/{zone}", {} if evacuated else None)
        if evacuated:
            self.oracle.record_evacuation(zone, True)

    async def evacuate(self, rng):
        """Evacuates a failure domain, at times twice in quick succession."""
        zone = rng.choice(ZONES)
        if rng.random() < 0.3:
            await self.set_evacuated(zone, True)
            await asyncio.sleep(rng.uniform(0, 4))
            await self.set_evacuated(zone, False)
            await asyncio.sleep(rng.uniform(0, 0.5))
        await self.set_evacuated(zone, True)
        await asyncio.sleep(rng.choice((rng.uniform(0.5, 3), 7.5)))
        await self.set_evacuated(zone, False)

    async def check_evacuation(self):
        """Evacuates a failure domain while the news of it is impaired at a daemon."""
        rng = random.Random(f"{self.seed}/evacuation")
        daemon = rng.choice(list(self.daemons.values()))
        impair = rng.choice(
            (
                lambda: self.pause(daemon, rng, 2.5),
                lambda: self.restart(daemon, signal.SIGKILL, rng),
                lambda: self.degrade_proxy(daemon, daemon.store_proxy, "both", rng),
                lambda: self.degrade_proxy(daemon, daemon.peer_proxy, "out", rng),
                lambda: self.compact_store(rng),
                lambda: self.change_config(rng),
            )
        )
        impaired = asyncio.create_task(impair())
        await asyncio.sleep(rng.uniform(0, 0.4))
        await self.set_evacuated(self.zone(daemon.name), True)
        await asyncio.sleep(8.5)
        await self.set_evacuated(self.zone(daemon.name), False)
        await impaired

    async def pause(self, daemon, rng, seconds=None):
        with self.oracle.disturbances.of(daemon.name):
            daemon.send(signal.SIGSTOP)
            await asyncio.sleep(seconds or rng.choice((0.2, 1.0, 4.0, 8.0)))
            daemon.send(signal.SIGCONT)

    async def restart(self, daemon, number, rng):
        with self.oracle.disturbances.of(daemon.name):
            await daemon.stop(number)
            await asyncio.sleep(rng.choice((0.0, 0.3, 2.0)))
            await daemon.start()

    async def restart_target(self, daemon, rng):
        await daemon.target.crash()
        await asyncio.sleep(rng.choice((0.1, 1.0, 3.0)))
        await daemon.target.start()

    async def retire_target(self, daemon, rng, announced=True):
        """Lets a target leave; its answers say so, its heartbeats if announced."""
        daemon.target.draining = announced
        daemon.target.leaving = True
        await asyncio.sleep(3.5)
        await self.restart_target(daemon, rng)

    async def retire_unannounced(self, daemon, rng):
        await self.retire_target(daemon, rng, announced=False)

    # The target names a limit in its answers for some seconds.
    async def limit_target(self, daemon, rng):
        daemon.target.set_limit(rng.choice((0.8, 2.5, 7.0, 15.0)))
        await asyncio.sleep(rng.choice((3.0, 9.0, 12.0)))
        daemon.target.set_limit(None)

    # The store refuses all requests ("refuse") or never answers ("silent").
    async def interrupt_store(self, mode, rng):
        with self.oracle.disturbances.of("store"):
            self.store.outage = mode
            await asyncio.sleep(rng.choice((0.5, 3.0, 7.0)))
            self.store.outage = None

    # The store is slow and loses a share of the answers to writes.
    async def degrade_store(self, rng):
        with self.oracle.disturbances.of("store"):
            self.store.lost_answer_share, self.store.delay = 0.3, 0.1
            await asyncio.sleep(rng.uniform(1, 5))
            self.store.lost_answer_share, self.store.delay = 0.0, 0.0

    # Resets, refuses, delays or silences the connections of a proxy.
    async def degrade_proxy(self, daemon, proxy, mode, rng):
        with self.oracle.disturbances.of(daemon.name):
            if mode == "reset":
                return proxy.reset()
            if mode == "cut":
                proxy.refusing = True
                proxy.reset()
            elif mode == "delay":
                proxy.delay = rng.choice((0.05, 0.4))
            else:
                proxy.silent_directions = {mode} if mode != "both" else {"in", "out"}
            await asyncio.sleep(rng.choice((0.5, 2.0, 6.0)))
            proxy.restore()

    # Targets fail a share of the answers: none at all, or an error.
    async def break_answers(self, rng):
        self.broken_answer_share = 0.1
        await asyncio.sleep(3)
        self.broken_answer_share = 0.0

    def draw_fault(self, index):
        """Draws the fault of this index.

        Returns (name, coroutine function, arguments), the daemon that it concerns
        and the time in seconds until the next fault. Each fault has its own random
        number generator, so that a seed gives the same faults regardless of what
        the load draws.
        """
        rng = random.Random(f"{self.seed}/{index}")
        daemon = rng.choice(list(self.daemons.values()))
        proxy, proxy_name = rng.choice(
            ((daemon.store_proxy, "store"), (daemon.peer_proxy, "peers"))
        )
        mode = rng.choice(("reset", "cut", "delay", "in", "out", "both"))
        outage = rng.choice(("refuse", "silent"))
        faults = [
            (f"pause {daemon.name}", self.pause, (daemon,)),
            (f"kill {daemon.name}", self.restart, (daemon, signal.SIGKILL)),
            (f"term {daemon.name}", self.restart, (daemon, signal.SIGTERM)),
            (f"crash target {daemon.name}", self.restart_target, (daemon,)),
            (f"retire target {daemon.name}", self.retire_target, (daemon,)),
            (f"retire unannounced {daemon.name}", self.retire_unannounced, (daemon,)),
            (f"limit target {daemon.name}", self.limit_target, (daemon,)),
            (f"store {outage}", self.interrupt_store, (outage,)),
            ("store poor", self.degrade_store, ()),
            (f"{proxy_name} of {daemon.name}: {mode}", self.degrade_proxy, (daemon, proxy, mode)),
            (f"{proxy_name} of {daemon.name}: {mode}", self.degrade_proxy, (daemon, proxy, mode)),
            ("config", self.change_config, ()),
            ("evacuate", self.evacuate, ()),
            ("poor answers", self.break_answers, ()),
            ("history lost", self.compact_store, ()),
            ("store rolled back", self.roll_back_store, ()),
        ]
        name, fault, arguments = rng.choice(faults)
        return (name, fault, arguments + (rng,)), daemon, rng.expovariate(1.2)

    # The store drops the history that its watches read from.
    async def compact_store(self, rng):
        self.store.compact()

    # The store is away for a moment and returns from a copy some seconds old;
    # then the operator writes its rows again.
    async def roll_back_store(self, rng):
        if self.rolling_back:
            return
        self.rolling_back = True
        copy = self.store.copy()
        await asyncio.sleep(rng.uniform(0.1, 5))
        with self.oracle.disturbances.of("store"):
            self.store.version += rng.randrange(40)  # Writes of others, lost as well.
            self.store.away = rng.choice(("refuse", "silent"))
            await asyncio.sleep(rng.uniform(0.1, 1))
            await self.store.roll_back(copy)
            self.store.away = None
            await asyncio.sleep(rng.uniform(0, 2))
            await self.store.rewrite()
        self.rolling_back = False

    # Recovery.

    async def wait_until_served(self, limit):
        """Waits until every daemon serves every kind of request.

        Reports a violation if that takes longer than the limit, in seconds.
        """
        until = time.monotonic() + limit
        unserved = [
            (daemon, kind, key)
            for daemon in self.daemons.values()
            for kind in ("read", "key", f"v{self.version}")
            for key in ((0, 9010, 30000, 65535) if kind == "key" else (None,))
            if kind != "v1"
        ]
        while unserved and time.monotonic() < until:
            daemon, kind, key = unserved[0]
            if await self.request(daemon, kind, key, timeout=4) == 200:
                unserved.pop(0)
            else:
                await asyncio.sleep(0.1)
        for daemon, kind, key in unserved:
            self.oracle.fail(
                f"{daemon.name} does not serve {kind} {key} after the faults"
            )
            break
