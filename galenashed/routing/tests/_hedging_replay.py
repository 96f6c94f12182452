"""Replays a seeded load with and without hedged requests.

``python -m galenashed.routing.tests._hedging_replay`` prints the figures.
Times of the replay are simulated; targets run all that they get at once.
"""

import collections
import heapq
import itertools
import random

from galenashed import routing

TARGETS = 20
SLOTS = 8
REQUESTS_PER_SECOND = 400.0
SECONDS = 60.0
TIME_LIMIT = 2.0
MEDIAN_SECONDS = 0.04
KEY = routing.HedgeKey("s", "idempotent")
# The scenario is in force from the first to the second time.
FROM, UNTIL = 25.0, 40.0
STALL_EVERY, STALL_SECONDS = 8.0, 0.4
SLOWDOWN = 4.0
CUT_OFF_TARGETS = 4


class Request:
    """A request, the runs that it has, and when it was answered."""

    def __init__(self, arrived_at):
        self.arrived_at = arrived_at
        self.runs = []
        self.overdue = False
        self.ended = False


class Replay:
    """One replay; ``latencies``, ``hedged`` and ``work`` are its results."""

    def __init__(self, *, scenario, share, seed=1):
        self.scenario = scenario
        self.share = share
        self.seed = seed
        self.policy = routing.HedgePolicy(max_share=share)
        self.retries = routing.RetryBudget()
        self.in_flight = [0] * TARGETS
        self.latencies = []
        self.failed = 0
        self.hedged = []
        self.work = 0.0
        self.refusals = collections.Counter()
        self._events = []
        self._order = itertools.count()
        self._rng = random.Random(seed)
        stalls = random.Random(f"stalls {seed}")
        self._stalls = [
            [
                start + stalls.uniform(0, STALL_EVERY - STALL_SECONDS)
                for start in range(0, int(SECONDS), int(STALL_EVERY))
            ]
            for _ in range(TARGETS)
        ]

    def run(self):
        now = 0.0
        while (now := now + self._rng.expovariate(REQUESTS_PER_SECOND)) < (
            SECONDS
        ):
            self._at(now, self._arrive, Request(now))
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)
        return self

    def _at(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def _arrive(self, now, request):
        self.policy.on_request("r", now)
        self._start(now, request)
        self._at(now + TIME_LIMIT, self._fail, request)
        delay = self.policy.delay(KEY, self.share, now)
        if self.share and delay is not None:
            self._at(now + delay, self._overdue, request)

    def _start(self, now, request):
        used = [target for target, _ in request.runs]
        sample = self._rng.sample(range(TARGETS), 4)
        target = min(
            (target for target in sample if target not in used),
            key=lambda target: self.in_flight[target],
        )
        request.runs.append((target, now))
        self.in_flight[target] += 1
        seconds = self._duration(target, now)
        if seconds < TIME_LIMIT:
            self._at(now + seconds, self._answer, request, target)

    def _duration(self, target, now):
        seconds = MEDIAN_SECONDS * self._rng.lognormvariate(0.0, 0.3)
        in_force = FROM <= now < UNTIL
        if self.scenario == "slowdown" and in_force:
            seconds *= SLOWDOWN
        if self.scenario == "partition" and in_force:
            return TIME_LIMIT if target < CUT_OFF_TARGETS else seconds
        if self.scenario in ("tail", "slowdown"):
            for stall in self._stalls[target]:
                if stall < now + seconds and now < stall + STALL_SECONDS:
                    seconds += stall + STALL_SECONDS - max(now, stall)
        return seconds

    def _overdue(self, now, request):
        if request.ended:
            return
        request.overdue = True
        self.policy.on_overdue(KEY, now)
        slow = routing.SlowRequest(
            route="r",
            key=KEY,
            share=self.share,
            runs=1,
            max_targets=2,
            time_left=request.arrived_at + TIME_LIMIT - now,
            suspected=False,
        )
        state = routing.ServiceState(
            running=sum(self.in_flight), slots=TARGETS * SLOTS
        )
        refusal = self.policy.refusal(slow, state, now)
        if refusal is None and not self.retries.try_acquire():
            refusal = routing.HedgeRefusal.RETRY_BUDGET
        if refusal is not None:
            self.refusals[refusal] += 1
            return
        self.policy.on_hedged("r", now)
        self.hedged.append(now)
        self._start(now, request)

    def _answer(self, now, request, target):
        if not request.ended:
            self.latencies.append(now - request.arrived_at)
            self._end(now, request, won=target != request.runs[0][0])

    def _fail(self, now, request):
        if not request.ended:
            self.failed += 1
            self.latencies.append(TIME_LIMIT)
            self._end(now, request, won=False)

    def _end(self, now, request, *, won):
        request.ended = True
        self.retries.on_request()
        for target, started_at in request.runs:
            self.in_flight[target] -= 1
            self.work += now - started_at
        self.policy.on_first_answer(
            KEY, now - request.arrived_at, now, overdue=request.overdue
        )
        if len(request.runs) > 1:
            self.policy.on_hedge_end(KEY, now, won=won)

    def hedged_share(self, start=0.0, end=SECONDS):
        """Returns the hedged share of the requests of a time."""
        hedged = sum(start <= at < end for at in self.hedged)
        return hedged / (REQUESTS_PER_SECOND * (end - start))

    def percentiles(self):
        """Returns p50, p99 and p99.9 in milliseconds."""
        ordered = sorted(self.latencies)
        return [
            round(1000 * ordered[int(len(ordered) * share)])
            for share in (0.5, 0.99, 0.999)
        ]


def main():
    """Prints the figures of all scenarios."""
    for scenario in ("tail", "slowdown", "partition"):
        without = Replay(scenario=scenario, share=0.0).run()
        for share in (0.0, 0.02, 0.05):
            replay = Replay(scenario=scenario, share=share).run()
            print(
                scenario,
                f"share {share}:",
                "p50/p99/p99.9 ms",
                replay.percentiles(),
                f"failed {replay.failed}",
                f"hedged {100 * replay.hedged_share():.2f} %",
                f"in force {100 * replay.hedged_share(FROM, UNTIL):.2f} %",
                f"work {100 * (replay.work / without.work - 1):+.2f} %",
                {str(k): v for k, v in replay.refusals.items()},
            )


if __name__ == "__main__":
    main()
