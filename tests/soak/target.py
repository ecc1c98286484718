"""Application servers behind the daemons: they execute requests and hold keys."""

import asyncio
import collections
import json
import time

import web
from oracle import IN_FLIGHT_S, answer_body

HEARTBEAT_S = 0.3
# Number of slots reported to the daemon. Requests are refused while three times
# as many are running.
SLOTS = 4
# The DrainS of the settings.
DRAIN_S = 2.5
# Share of the calls for keys that get no answer, and the longest time after which
# such a grant is applied.
LOST_CALL_SHARE = 0.05
LATE_GRANT_S = 3.0


class Target:
    """An application server; each start is a new incarnation of it."""

    def __init__(self, fleet, name, service, keyed, host):
        self.fleet, self.name, self.service, self.keyed = fleet, name, service, keyed
        self.host, self.port = host, None
        self.start_count = 0
        self.incarnation = None
        self.tasks = []

    async def start(self):
        self.start_count += 1
        self.incarnation = f"t-{self.name}-{self.start_count}"
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.held = {}  # (first, last) -> (fence, end)
        self.running = {}  # request id -> key or None
        self.released = []
        self.seen_fences = []  # (first, last, fence) of all grants
        self.releasing = []  # (first, last) of releases that wait for work to end
        self.draining = False
        self.leaving = False
        self.leaving_since = None  # when an answer has first said so
        self.limit = None  # in requests per second
        self.limited_since = 0.0
        self.arrivals = collections.deque()
        self.server = await web.serve(self.host, self.port or 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self.send_heartbeats())]

    def set_limit(self, limit):
        self.limit, self.limited_since = limit, time.monotonic()

    async def crash(self):
        """Ends the incarnation at once; the requests in progress are lost."""
        self.fleet.oracle.record_end(self.incarnation)
        self.incarnation = None
        for task in self.tasks:
            task.cancel()
        self.server.close()

    # Returns the end of each held range: {(first, last): end}.
    #
    # A range with a request in progress counts as held for another second.
    def lease_ends(self):
        now = time.monotonic()
        busy = [key for key in self.running.values() if key is not None]
        result = {}
        for (first, last), (_, end) in self.held.items():
            in_use = any(first <= key <= last for key in busy)
            result[first, last] = now + 1 if in_use else end
        for first, last in self.releasing:
            if any(first <= key <= last for key in busy):
                result[first, last] = now + 1
        return result

    # Returns the fence of a key, or None if the key isn't held now.
    def fence_of(self, key):
        now = time.monotonic()
        for (first, last), (fence, end) in self.held.items():
            if first <= key <= last and now < end:
                return fence
        return None

    async def handle(self, method, path, headers, body):
        request, incarnation = headers.get("x-request-id"), self.incarnation
        if incarnation is None:
            return None
        if path == "/v1/grant":
            return await self.handle_grant(json.loads(body))
        if path == "/v1/release":
            return await self.handle_release(json.loads(body))
        fields = {"X-Request-Id": request, "X-Server-Load": f"{len(self.running)},0,4"}
        if self.leaving:
            fields["Server-Leaving"] = "1"
            self.leaving_since = self.leaving_since or time.monotonic()
            if time.monotonic() - self.leaving_since > DRAIN_S + IN_FLIGHT_S:
                self.fleet.oracle.fail(f"{incarnation} got a request after it had left")
        if self.limit is not None:
            fields["Server-Limit"] = f"{self.limit:.1f}"
        not_executed = dict(fields) | {"X-Not-Executed": "1"}
        if request is None:
            return 400, {"X-Not-Executed": "1"}, b""
        if headers.get("x-target-instance") not in (None, incarnation):
            return 421, not_executed, b""
        key = None
        if self.keyed:
            key = int(headers["x-shard-key"])
            if self.fence_of(key) is None:
                self.fleet.oracle.count("came to a target that doesn't hold the key")
                return 421, not_executed, b""
        self.fleet.oracle.check_domain(
            self.fleet.zone(self.name), self.name, incarnation
        )
        self.fleet.oracle.check_left(request, self.name, self.fleet.arrival_time())
        self.arrivals.append(time.monotonic())
        if self.limit is not None:
            self.fleet.oracle.record_arrival(
                incarnation, self.arrivals, self.limited_since, self.limit
            )
        if len(self.running) >= 3 * SLOTS:
            return 503, not_executed, b""
        rng = self.fleet.random
        self.running[request] = key
        self.fleet.oracle.record_run(request, incarnation)
        try:
            await asyncio.sleep(rng.choice((0.002, 0.01, 0.04, 0.15)))
        finally:
            self.running.pop(request, None)
        if self.incarnation != incarnation:
            return None
        outcome = rng.random()
        if outcome < self.fleet.broken_answer_share:
            return self.broken_answer(request)
        if outcome < 2 * self.fleet.broken_answer_share:
            return 500, fields | {"X-Server-Signature": f"{incarnation}/0"}, b""
        length = rng.choice((64, 500, 30000))
        fields["X-Server-Signature"] = f"{incarnation}/{length}"
        return 200, fields, answer_body(incarnation, request, length)

    def broken_answer(self, request):
        """Returns an answer that isn't one, or None to close the connection."""
        fields = f"X-Request-Id: {request}\r\nX-Server-Signature: broken\r\n"
        ok, length = "HTTP/1.1 200 X\r\n", "Content-Length: 4\r\n"
        texts = (
            None,
            f"HTTP/1.1 000 X\r\n{fields}{length}\r\npart",
            f"HTTP/1.1 101 X\r\n{fields}{length}\r\npart",
            f"HTTP/1.1 999 X\r\n{fields}{length}\r\npart",
            f"{ok}{fields}X Y: 1\r\n{length}\r\npart",
            f"{ok}{fields} {length}\r\npart",
            f"{ok}{fields}Transfer-Encoding: gzip\r\n{length}\r\npart",
            f"{ok}{fields}\r\npart",
        )
        # Not a draw, so that the rest of a seed's episode stays as it was.
        text = texts[sum(request.encode()) % len(texts)]
        return text and text.encode()

    async def handle_grant(self, call):
        """Grants keys from the arrival of the call on; it may be applied late."""
        incarnation, arrived = self.incarnation, self.fleet.arrival_time()
        if self.fleet.random.random() < LOST_CALL_SHARE:
            delay = self.fleet.random.uniform(0, LATE_GRANT_S)
            asyncio.get_running_loop().call_later(
                delay, self.apply_grant, incarnation, call, arrived
            )
            return None
        return self.apply_grant(incarnation, call, arrived), {}, b""

    def apply_grant(self, incarnation, call, arrived):
        if self.incarnation != incarnation:
            return 503
        first, last, fence = call["From"], call["Target"], call["fence"]
        if any(f <= last and first <= l and seen > fence for f, l, seen in self.seen_fences):
            return 409
        self.seen_fences.append((first, last, fence))
        until = arrived + call["HoldS"]
        if until <= time.monotonic():
            return 200
        self.remove_held(first, last)
        self.held[first, last] = (fence, until)
        self.fleet.oracle.record_grant(incarnation, [(first, last, fence)])
        self.fleet.oracle.record_holds(incarnation, self.lease_ends())
        return 200

    # Ends the holds of a range, and keeps the parts outside of it.
    def remove_held(self, first, last):
        for (f, l), hold in list(self.held.items()):
            if f <= last and first <= l:
                del self.held[f, l]
                for part in subtract_ranges(f, l, [(first, last)]):
                    self.held[part] = hold

    async def handle_release(self, call):
        """Answers when the work on the released keys has ended."""
        incarnation = self.incarnation
        keys = call["From"], call["Target"]
        self.remove_held(*keys)
        self.releasing.append(keys)
        try:
            while any(k is not None and keys[0] <= k <= keys[1] for k in self.running.values()):
                await asyncio.sleep(0.01)
                if self.incarnation != incarnation:
                    return None
        finally:
            if self.incarnation == incarnation:
                self.releasing.remove(keys)
                self.fleet.oracle.record_holds(incarnation, self.lease_ends())
        if self.fleet.random.random() < LOST_CALL_SHARE:
            return None
        return 200, {"X-Lease-Handover": f"h-{incarnation}-{keys[0]}"}, b""

    async def send_heartbeats(self):
        while True:
            send_soon = await self.send_heartbeat()
            await asyncio.sleep(0.05 if send_soon else HEARTBEAT_S)

    # Sends a heartbeat; returns whether the next one should follow soon.
    async def send_heartbeat(self):
        incarnation, sent = self.incarnation, time.monotonic()
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
            "born": self.started_at_ms,
        }
        direct = self.keyed and self.fleet.direct_grants
        if self.keyed and not direct:
            body["Holds"] = [[f, l, fence] for (f, l), (fence, _) in self.held.items()]
            body["Released"] = list(self.released)
        reported = len(self.released)
        host, port = self.fleet.control(self.name)
        try:
            status, _, text = await web.call(
                host,
                port,
                "POST",
                f"/v1/rpc?call=instances.heartbeat&of={incarnation}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                timeout=1.0,
            )
        except (OSError, web.Broken, asyncio.TimeoutError):
            return self.drop_expired()
        if status != 200 or self.incarnation != incarnation:
            return self.drop_expired()
        if len(text) > 4096:
            self.fleet.oracle.fail(f"answer to a heartbeat has {len(text)} bytes")
        del self.released[:reported]
        reply = json.loads(text)
        if direct and "Holds" in reply:
            self.fleet.oracle.fail(f"{incarnation} was granted keys by a heartbeat")
        elif "Holds" in reply:
            self.apply_grants(reply["Holds"], sent + reply["HoldS"])
        return bool(self.released) or self.drop_expired()

    def apply_grants(self, grants, until):
        """Holds the granted ranges; releases all others once they are idle."""
        oracle, incarnation, now = self.fleet.oracle, self.incarnation, time.monotonic()
        granted = {(f, l): (fence, until) for f, l, fence, _ in grants}
        busy = [key for key in self.running.values() if key is not None]
        kept = {}
        for (first, last), (fence, end) in self.held.items():
            for f, l in subtract_ranges(first, last, granted):
                if end <= now:
                    continue
                if any(f <= key <= l for key in busy):
                    kept[f, l] = (fence, end)
                else:
                    self.released.append([f, l, f"h-{incarnation}-{f}-{l}"])
        self.held = granted | kept
        oracle.record_grant(
            incarnation, [(f, l, fence) for (f, l), (fence, _) in granted.items()]
        )
        oracle.record_holds(incarnation, self.lease_ends())

    def drop_expired(self):
        now = time.monotonic()
        self.held = {s: h for s, h in self.held.items() if h[1] > now}
        self.fleet.oracle.record_holds(self.incarnation, self.lease_ends())
        return False


def subtract_ranges(first, last, ranges):
    """Returns the parts of [first, last] outside of the ranges."""
    remaining = []
    for f, l in sorted(ranges):
        if l < first or f > last:
            continue
        if f > first:
            remaining.append((first, f - 1))
        first = l + 1
    if first <= last:
        remaining.append((first, last))
    return remaining
