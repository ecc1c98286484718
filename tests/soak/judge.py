"""What callers and targets see, checked against the product's promises."""

import time

KEYS = 65536
REFUSALS = (408, 421, 429, 503)


class Judge:
    def __init__(self):
        self.violations = []
        self.runs = {}  # request id -> incarnations that ran it
        self.refused = set()  # ids of unsafe requests that were told "not run"
        self.unsafe = set()
        self.highest_fence = [0] * KEYS
        self.fence_holder = [None] * KEYS
        self.holders = {}  # incarnation -> {key range: end of hold}
        self.counts = {}

    def fail(self, text):
        if len(self.violations) < 20:
            self.violations.append(f"{time.monotonic():.3f} {text}")

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def ran(self, request, incarnation):
        runs = self.runs.setdefault(request, [])
        runs.append(incarnation)
        if request in self.unsafe and len(runs) > 1:
            self.fail(f"unsafe {request} ran at {runs}")
        if request in self.refused:
            self.fail(f"{request} ran after its caller was told 'not run'")

    def answered(self, request, unsafe, status, headers, body):
        self.count(f"{status}")
        if status in REFUSALS:
            if unsafe:
                self.refused.add(request)
                if request in self.runs:
                    self.fail(f"{request} was told {status} and had run")
            return
        if status != 200:
            return
        if headers.get("x-request-id") != request:
            self.fail(f"{request} got the answer of {headers.get('x-request-id')}")
        signature = headers.get("x-server-signature")
        runner = signature.split("/")[0] if signature else None
        if runner not in self.runs.get(request, []):
            self.fail(f"{request} got a success that nobody ran")
        elif body != answer_body(runner, request, len(body)):
            self.fail(f"{request} got a changed body")
        elif str(len(body)) != signature.split("/")[1]:
            self.fail(f"{request} got a cut body")

    def granted(self, incarnation, spans):
        """A target accepted these (first, last, fence) rows."""
        for first, last, fence in spans:
            for key in range(first, last + 1):
                if fence < self.highest_fence[key]:
                    self.fail(f"key {key}: fence fell to {fence} at {incarnation}")
                    break
                if (
                    fence == self.highest_fence[key]
                    and self.fence_holder[key] not in (None, incarnation)
                ):
                    self.fail(
                        f"key {key}: fence {fence} at {incarnation} and "
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
                for mine_first, mine_last, _ in spans:
                    if mine_first <= last and first <= mine_last:
                        return self.fail(
                            f"keys {max(first, mine_first)} to {min(last, mine_last)} "
                            f"at {incarnation} and {other}"
                        )

    def holds(self, incarnation, spans):
        """All that a target holds or works on: {(first, last): end}."""
        self.holders[incarnation] = dict(spans)

    def ended(self, incarnation):
        self.holders.pop(incarnation, None)


def answer_body(incarnation, request, length):
    """The body of a run: text that names it, repeated to the length."""
    text = f"{incarnation} ran {request} ".encode()
    return (text * (length // len(text) + 1))[:length]
