"""Test oracle: checks what callers and targets observe against the guarantees."""

import contextlib
import time

KEY_COUNT = 65536
REFUSAL_STATUSES = (408, 421, 429, 503)


# The ContactS, EvacuationS and MaxStretchS of the platform.
CONTACT_S = 3
EVACUATION_S = 5
MAX_STRETCH_S = 5
# A request may be this long on its way when a limit is reached.
IN_FLIGHT_S = 1.0
# How long after a caller has left its request may reach a target, and how many
# requests may do so later.
LEFT_S = 0.5
MAX_LATE = 3


class Disturbances:
    """Which daemons, or the store, are or have lately been disturbed."""

    def __init__(self):
        self.active = {}  # name -> number of disturbances
        self.ended = {}  # name -> end of the last one

    @contextlib.contextmanager
    def of(self, name):
        self.active[name] = self.active.get(name, 0) + 1
        try:
            yield
        finally:
            self.active[name] -= 1
            self.ended[name] = time.monotonic()

    # Whether there has been no disturbance since a time.
    def none_since(self, name, since):
        return not self.active.get(name) and self.ended.get(name, 0) < since


# Collects violations, and counts of the answers by kind.
class Oracle:
    def __init__(self):
        self.violations = []
        self.runs = {}  # request id -> incarnations that executed it
        self.refused = set()  # ids of unsafe requests answered as not executed
        self.unsafe = set()
        self.highest_fence = [0] * KEY_COUNT
        self.fence_holder = [None] * KEY_COUNT
        self.holders = {}  # incarnation -> {key range: end of its lease}
        self.counts = {}
        self.disturbances = Disturbances()
        self.evacuated = {}  # failure domain -> when the operator was answered
        self.left = {}  # request id -> entrance, and when its caller has left
        self.late = []  # requests that reached a target too long after that

    def fail(self, text):
        if len(self.violations) < 20:
            self.violations.append(f"{time.monotonic():.3f} {text}")

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # Records that a target starts to execute a request.
    def record_run(self, request, incarnation):
        runs = self.runs.setdefault(request, [])
        runs.append(incarnation)
        if request in self.unsafe and len(runs) > 1:
            self.fail(f"unsafe request {request} was executed more than once: {runs}")
        if request in self.refused:
            self.fail(f"{request} was executed after it was answered as not executed")

    def record_arrival(self, target, arrivals, limited_since, limit):
        """Checks the arrivals at a target against the limit that it names.

        From three seconds after it first named the limit, a target allows one and
        a half times the limit, and five requests, in four seconds.
        """
        now = time.monotonic()
        while arrivals and arrivals[0] < now - 4:
            arrivals.popleft()
        if now - limited_since < 7:
            return
        if len(arrivals) > 1.5 * 4 * limit + 5:
            self.fail(f"{target} got {len(arrivals)} requests in 4 s, limit {limit} per s")

    def in_touch(self, daemon):
        """Whether neither the daemon nor the store has lately been disturbed."""
        since = time.monotonic() - CONTACT_S
        return self.disturbances.none_since(
            daemon, since
        ) and self.disturbances.none_since("store", since)

    def record_left(self, request, entrance):
        self.left[request] = entrance, time.monotonic()
        self.count("caller left")

    def check_left(self, request, daemon, arrived):
        """Checks that a request reaches a target while its caller waits for it."""
        entrance, since = self.left.get(request, (None, arrived))
        if arrived - since <= LEFT_S:
            return
        if self.in_touch(entrance) and self.in_touch(daemon):
            self.late.append(f"{request} from {entrance}: {arrived - since:.3f} s")
            if len(self.late) > MAX_LATE:
                self.fail(f"arrived at {daemon} after the callers had left: {self.late}")

    def record_evacuation(self, domain, evacuated):
        if evacuated:
            self.evacuated.setdefault(domain, time.monotonic())
        else:
            self.evacuated.pop(domain, None)

    def check_domain(self, domain, daemon, incarnation):
        """Checks that a target gets requests only while its domain is in service."""
        since = self.evacuated.get(domain)
        if since is None or not self.in_touch(daemon):
            return
        bound = EVACUATION_S + IN_FLIGHT_S
        if not self.disturbances.none_since("store", since):
            bound += MAX_STRETCH_S
        if time.monotonic() - since > bound:
            self.fail(
                f"{incarnation} got a request {time.monotonic() - since:.3f} s after "
                f"the evacuation of {domain}"
            )

    # Checks an answer against the recorded executions.
    def check_answer(self, request, unsafe, status, headers, body):
        self.count(f"{status}")
        if status in REFUSAL_STATUSES:
            if unsafe:
                self.refused.add(request)
                if request in self.runs:
                    self.fail(f"{request} was answered {status} although it was executed")
            return
        if status != 200:
            return
        if headers.get("x-request-id") != request:
            self.fail(f"{request} received the answer to {headers.get('x-request-id')}")
        signature = headers.get("x-server-signature")
        runner = signature.split("/")[0] if signature else None
        if runner not in self.runs.get(request, []):
            self.fail(f"{request} succeeded without being executed")
        elif body != answer_body(runner, request, len(body)):
            self.fail(f"{request} received an altered body")
        elif str(len(body)) != signature.split("/")[1]:
            self.fail(f"{request} received a truncated body")

    def record_grant(self, incarnation, ranges):
        """Records the (first, last, fence) ranges that a target accepted.

        Fences must not decrease, a fence belongs to one incarnation, and no two
        incarnations hold a key at the same time.
        """
        for first, last, fence in ranges:
            for key in range(first, last + 1):
                if fence < self.highest_fence[key]:
                    self.fail(f"key {key}: fence decreased to {fence} at {incarnation}")
                    break
                if (
                    fence == self.highest_fence[key]
                    and self.fence_holder[key] not in (None, incarnation)
                ):
                    self.fail(
                        f"key {key}: fence {fence} granted to both {incarnation} and "
                        f"{self.fence_holder[key]}"
                    )
                    break
                self.highest_fence[key] = fence
                self.fence_holder[key] = incarnation
        now = time.monotonic()
        for other, held in self.holders.items():
            if other == incarnation:
                continue
            for (first, last), end in held.items():
                if end <= now:
                    continue
                for granted_first, granted_last, _ in ranges:
                    if granted_first <= last and first <= granted_last:
                        return self.fail(
                            f"keys {max(first, granted_first)} to {min(last, granted_last)} "
                            f"held by both {incarnation} and {other}"
                        )

    def record_holds(self, incarnation, ranges):
        """Records all ranges that a target holds or executes: {(first, last): end}."""
        self.holders[incarnation] = dict(ranges)

    # Records the end of an incarnation, and with it of its leases.
    def record_end(self, incarnation):
        self.holders.pop(incarnation, None)


def answer_body(incarnation, request, length):
    """Returns the body of an execution: a text that names it, repeated."""
    text = f"{incarnation} ran {request} ".encode()
    return (text * (length // len(text) + 1))[:length]
