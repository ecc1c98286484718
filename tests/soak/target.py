"""Application servers beside the daemons: they run requests and hold keys."""

import asyncio
import json
import time

import web
from judge import answer_body

HEARTBEAT = 0.3
SLOTS = 4


class Target:
    """One place for a server: its incarnations follow each other there."""

    def __init__(self, fleet, name, service, keyed, host):
        self.fleet, self.name, self.service, self.keyed = fleet, name, service, keyed
        self.host, self.port = host, None
        self.births = 0
        self.incarnation = None
        self.tasks = []

    async def start(self):
        self.births += 1
        self.incarnation = f"t-{self.name}-{self.births}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.held = {}  # (first, last) -> (fence, end)
        self.running = {}  # request id -> key or None
        self.released = []
        self.draining = False
        self.server = await web.serve(self.host, self.port or 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self.beat_forever())]

    async def crash(self):
        """Ends at once; whatever it ran is lost."""
        self.fleet.judge.ended(self.incarnation)
        self.incarnation = None
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def lease_ends(self):
        now = time.monotonic()
        busy = [key for key in self.running.values() if key is not None]
        result = {}
        for (first, last), (_, end) in self.held.items():
            works = any(first <= key <= last for key in busy)
            result[first, last] = now + 1 if works else end
        return result

    def fence_of(self, key):
        now = time.monotonic()
        for (first, last), (fence, end) in self.held.items():
            if first <= key <= last and now < end:
                return fence
        return None

    async def handle(self, method, path, headers, body):
        request, me = headers.get("x-request-id"), self.incarnation
        if me is None:
            return None
        fields = {"X-Request-Id": request, "X-Server-Load": f"{len(self.running)},0,4"}
        not_run = dict(fields) | {"X-Not-Executed": "1"}
        if request is None:
            return 400, {"X-Not-Executed": "1"}, b""
        if headers.get("x-target-instance") not in (None, me):
            return 421, not_run, b""
        key = None
        if self.keyed:
            key = int(headers["x-shard-key"])
            if self.fence_of(key) is None:
                self.fleet.judge.count("came to a target that doesn't hold the key")
                return 421, not_run, b""
        if len(self.running) >= 3 * SLOTS:
            return 503, not_run, b""
        random = self.fleet.random
        self.running[request] = key
        self.fleet.judge.ran(request, me)
        try:
            await asyncio.sleep(random.choice((0.002, 0.01, 0.04, 0.15)))
        finally:
            self.running.pop(request, None)
        if self.incarnation != me:
            return None
        ending = random.random()
        if ending < self.fleet.broken_answers:
            return None
        if ending < 2 * self.fleet.broken_answers:
            return 500, fields | {"X-Server-Signature": f"{me}/0"}, b""
        length = random.choice((64, 500, 30000))
        fields["X-Server-Signature"] = f"{me}/{length}"
        return 200, fields, answer_body(me, request, length)

    async def beat_forever(self):
        while True:
            soon = await self.beat()
            await asyncio.sleep(0.05 if soon else HEARTBEAT)

    async def beat(self):
        me, sent = self.incarnation, time.monotonic()
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.fleet.zone(self.name),
            "Version": "v1",
            "Slots": SLOTS,
            "State": "draining" if self.draining else "ready",
            "ColdRemainingS": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.keyed:
            body["Holds"] = [[f, l, fence] for (f, l), (fence, _) in self.held.items()]
            body["Released"] = list(self.released)
        told = len(self.released)
        host, port = self.fleet.control(self.name)
        try:
            status, _, text = await web.call(
                host,
                port,
                "POST",
                f"/v1/rpc?call=instances.heartbeat&of={me}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                timeout=1.0,
            )
        except (OSError, web.Broken, asyncio.TimeoutError):
            return self.drop_expired()
        if status != 200 or self.incarnation != me:
            return self.drop_expired()
        if len(text) > 4096:
            self.fleet.judge.fail(f"answer of {len(text)} bytes to a heartbeat")
        del self.released[:told]
        reply = json.loads(text)
        if "Holds" in reply:
            self.take(reply["Holds"], sent + reply["HoldS"])
        return bool(self.released) or self.drop_expired()

    def take(self, grants, until):
        """Takes the granted rows; releases what they leave out, once idle."""
        judge, me, now = self.fleet.judge, self.incarnation, time.monotonic()
        wanted = {(f, l): (fence, until) for f, l, fence, _ in grants}
        busy = [key for key in self.running.values() if key is not None]
        kept = {}
        for (first, last), (fence, end) in self.held.items():
            for f, l in without(first, last, wanted):
                if end <= now:
                    continue
                if any(f <= key <= l for key in busy):
                    kept[f, l] = (fence, end)
                else:
                    self.released.append([f, l, f"h-{me}-{f}-{l}"])
        self.held = wanted | kept
        judge.granted(me, [(f, l, fence) for (f, l), (fence, _) in wanted.items()])
        judge.holds(me, self.lease_ends())

    def drop_expired(self):
        now = time.monotonic()
        self.held = {s: h for s, h in self.held.items() if h[1] > now}
        self.fleet.judge.holds(self.incarnation, self.lease_ends())
        return False


def without(first, last, spans):
    """What is left of [first, last] without the spans."""
    pieces = []
    for f, l in sorted(spans):
        if l < first or f > last:
            continue
        if f > first:
            pieces.append((first, f - 1))
        first = l + 1
    if first <= last:
        pieces.append((first, last))
    return pieces
