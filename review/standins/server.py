"""An application server: takes keys, runs requests, and sends heartbeats.

It follows the pages: a hold is counted from when the heartbeat was sent, or from
the arrival of a grant; a release stops new work at once and is answered when the
work on its keys has ended.
"""

import asyncio
import json
import time

import web

SLOTS = 9


class Hold:
    def __init__(self, first, last, fence, until):
        self.first, self.last, self.fence, self.until = first, last, fence, until

    def covers(self, key):
        return self.first <= key <= self.last


class Server:
    def __init__(self, rig, sidecar, sharded, period=0.87, phase=0.0):
        self.rig, self.sidecar, self.sharded = rig, sidecar, sharded
        self.period, self.phase = period, phase
        self.name = sidecar.name
        self.starts = 0
        self.up = False
        self.reachable = True  # heartbeats reach the control address
        self.first_beat_delay = 0.0
        self.observer = None  # told of grants and of runs that begin
        self.state = "ready"

    def line(self, text):
        self.rig.record.line(f"server {self.ident}: {text}")

    async def start(self, ident=None):
        self.starts += 1
        self.ident = ident or f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.holds, self.released, self.fences = [], [], []
        self.running = {}  # request id -> (key, hold end)
        self.runs = []
        self.up = True
        self.listener = await asyncio.start_server(
            self.connection, self.sidecar.host, self.sidecar.app_port
        )
        self.line("starts")
        self.beats = asyncio.create_task(self.send_beats())

    async def crash(self):
        self.line("ends")
        self.up = False
        self.beats.cancel()
        self.listener.close()
        for writer in list(getattr(self, "writers", [])):
            writer.close()
        self.holds, self.running = [], {}

    # Requests.

    def held(self, key):
        now = time.monotonic()
        for hold in self.holds:
            if hold.covers(key) and now < hold.until:
                return hold
        return None

    async def connection(self, reader, writer):
        self.writers = getattr(self, "writers", set())
        self.writers.add(writer)
        state = {}
        incarnation = self.ident, self.born
        try:
            while True:
                message = await web.read_message(reader)
                if message is None or (self.ident, self.born) != incarnation:
                    return
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                await self.before_answer(state, method, path, writer)
                reply = await self.handle(method, path, headers, body)
                if reply is None or (self.ident, self.born) != incarnation:
                    return
                status, fields, text = reply
                encoded = web.encode(f"HTTP/1.1 {status} X", fields, text)
                writer.write(encoded)
                await writer.drain()
                self.after_answer(state, method, path, encoded)
        except (web.Broken, ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    # For faults of a case.

    async def before_answer(self, state, method, path, writer):
        pass

    def after_answer(self, state, method, path, encoded):
        pass

    async def handle(self, method, path, headers, body):
        if path == "/v1/grant":
            return self.grant(json.loads(body)), {}, b""
        if path == "/v1/release":
            return await self.release(json.loads(body))
        ident = headers.get("x-request-id")
        fields = {
            "X-Request-Id": ident,
            "X-Server-Load": f"{len(self.running)},0,{SLOTS},100",
        }
        refused = fields | {"X-Not-Executed": "1"}
        if headers.get("x-target-instance") not in (None, self.ident):
            return 421, {"X-Instance-Id": self.ident} | refused, b""
        key, hold = None, None
        if self.sharded:
            key = int(headers["x-shard-key"])
            hold = self.held(key)
            if hold is None:
                self.line(f"does not hold the key {key} of {ident}: 421")
                return 421, refused, b""
        if len(self.running) >= 4 * SLOTS:
            return 503, refused, b""
        self.line(f"runs {ident}" + (f", key {key}" if key is not None else ""))
        self.runs.append(ident)
        self.running[ident] = (key, hold.until if hold else 0)
        if self.observer:
            self.observer.began(self, ident, key)
        work = int(path.rsplit("-", 1)[1]) / 1000 if "-" in path else 0.1
        try:
            await asyncio.sleep(work)
        finally:
            self.running.pop(ident, None)
        self.line(f"ends {ident}")
        text = f"{self.ident} ran {ident}".encode()
        return 200, fields | {"X-Server-Signature": f"{self.ident}.{ident}"}, text

    # Keys by calls.

    def grant(self, call):
        first, last, fence = call["From"], call["Target"], call["fence"]
        if any(f <= last and first <= l and seen > fence for f, l, seen in self.fences):
            return 409
        self.fences.append((first, last, fence))
        new = not any(
            h.fence == fence and h.first <= first and last <= h.last for h in self.holds
        )
        self.remove(first, last)
        until = time.monotonic() + call["HoldS"]
        self.holds.append(Hold(first, last, fence, until))
        if new:
            self.line(f"takes keys {first} to {last}, fence {fence}")
            if self.observer:
                self.observer.took(self, first, last, fence)
        return 200

    def remove(self, first, last):
        kept = []
        for h in self.holds:
            if h.last < first or h.first > last:
                kept.append(h)
                continue
            if h.first < first:
                kept.append(Hold(h.first, first - 1, h.fence, h.until))
            if h.last > last:
                kept.append(Hold(last + 1, h.last, h.fence, h.until))
        self.holds = kept

    async def release(self, call):
        first, last = call["From"], call["Target"]
        self.remove(first, last)
        busy = [i for i, (k, _) in self.running.items() if k is not None and first <= k <= last]
        self.line(f"is to release keys {first} to {last}; at work on them: {busy}")
        while any(
            k is not None and first <= k <= last for k, _ in self.running.values()
        ):
            await asyncio.sleep(0.005)
        self.line(f"has released keys {first} to {last}")
        return 200, {"X-Lease-Handover": f"{first:08x}{last:08x}"}, b""

    # Heartbeats.

    async def send_beats(self):
        if self.first_beat_delay:
            await asyncio.sleep(self.first_beat_delay)
        while True:
            # Beats of this server come at fixed times of its period.
            soon = await self.beat()
            if soon:
                await asyncio.sleep(0.09)
                continue
            now = time.monotonic()
            wait = (self.phase - now) % self.period
            await asyncio.sleep(wait if wait > 0.02 else wait + self.period)

    async def beat(self):
        sent = time.monotonic()
        self.sequence += 1
        direct = self.rig.grants == "direct"
        body = {
            "born": self.born,
            "Service": self.sidecar.service,
            "Address": f"{self.sidecar.host}:{self.sidecar.app_port}",
            "Zone": self.sidecar.zone,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "ColdRemainingS": 0,
            "Sequence": self.sequence,
        }
        if self.sharded and not direct:
            body["Holds"] = [
                [h.first, h.last, h.fence] for h in self.holds if h.until > sent
            ]
            body["Released"] = list(self.released)
        reported = len(self.released)
        if not self.reachable:
            return False
        ident = self.ident
        try:
            status, _, text = await web.call(
                self.sidecar.host,
                self.sidecar.control,
                "POST",
                f"/v1/rpc?call=instances.heartbeat&of={ident}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                timeout=1.0,
            )
        except (OSError, web.Broken, asyncio.TimeoutError):
            return False
        if status != 200 or not self.up or ident != self.ident:
            return False
        del self.released[:reported]
        reply = json.loads(text)
        if "Holds" in reply:
            return self.take(reply["Holds"], sent + reply["HoldS"])
        return False

    async def deregister(self):
        self.line("deregisters")
        await web.call(
            self.sidecar.host,
            self.sidecar.control,
            "POST",
            f"/v1/rpc?call=instances.deregister&of={self.ident}",
            {"Content-Type": "application/json"},
            json.dumps({"born": self.born}).encode(),
            timeout=1.0,
        )

    def take(self, grants, until):
        """Applies the grants in the answer to a heartbeat."""
        before = self.holds
        now = time.monotonic()
        kept, left_out = [], False
        granted = [Hold(f, l, fence, until) for f, l, fence, _ in grants]
        for h in before:
            if h.until <= now:
                continue
            for first, last in outside(h.first, h.last, granted):
                left_out = True
                busy = any(
                    k is not None and first <= k <= last
                    for k, _ in self.running.values()
                )
                if busy:
                    kept.append(Hold(first, last, h.fence, h.until))
                else:
                    self.released.append([first, last, f"{first:08x}{last:08x}"])
                    self.line(f"gives up keys {first} to {last}, fence {h.fence}")
        self.holds = granted + kept
        for g in granted:
            if not any(
                h.fence == g.fence
                and h.first <= g.first
                and g.last <= h.last
                and h.until > now
                for h in before
            ):
                self.line(f"takes keys {g.first} to {g.last}, fence {g.fence}")
                if self.observer:
                    self.observer.took(self, g.first, g.last, g.fence)
        return left_out


def outside(first, last, ranges):
    """The parts of [first, last] outside of the ranges."""
    result = []
    for each in sorted(ranges, key=lambda r: r.first):
        if each.last < first or each.first > last:
            continue
        if each.first > first:
            result.append((first, each.first - 1))
        first = each.last + 1
    if first <= last:
        result.append((first, last))
    return result
