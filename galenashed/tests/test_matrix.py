"""Fault matrix: injects every fault at every step of a request.

The results are checked from outside, by the responses, the bills and the
executions at the targets.

``GALENASHED_MATRIX=all`` runs every cell, as ``make matrix`` does; any other
value, such as ``call/dispatched/``, runs the cells whose titles contain it.
If it is not set, a fixed sample is run.  ``GALENASHED_MATRIX_PAGE`` is the
path of a Markdown file to which the results are written.

In every cell the caller sends its request through entry e1 until it reaches
the step, where the fault is injected.  During the fault and afterwards the
caller retries the request through e2 with the same key until it gets a final
response.
"""

import contextlib
import http.client
import itertools
import os
import pathlib
import signal
import threading
import time

import testtools

from galenashed.tests import _fleet

FREEZE_SECONDS = 1.5
PARTITION_SECONDS = 2.5
TIMEOUT_SECONDS = 60.0
TOKENS = 32
SAMPLE_STRIDE = 9

NOTE = _fleet.NOTE.replace("concurrency = 64", "concurrency = 1").replace(
    "tokens = 1000000", "tokens = 100000000"
)
POLICY = '[policy]\npreset = "refusals-first"\n'


class Cell:
    """Request that is brought to a step, and its responses."""

    def __init__(self, *, fleet: _fleet.Fleet, key: str):
        self.fleet = fleet
        self.key = key
        self.responses: list = []
        self.threads: list[threading.Thread] = []

    def start_thread(self, function) -> None:
        thread = threading.Thread(target=function, daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self) -> None:
        for thread in self.threads:
            thread.join(TIMEOUT_SECONDS)
            assert not thread.is_alive(), "a request never ended"

    def links(self, kind: str, name: str = "") -> list:
        """Returns the links from e1 to control, of a leader or to targets."""
        if kind == "control":
            links = self.fleet.control_links.items()
            return [link for (source, _), link in links if source == "e1"]
        if kind == "leader":
            links = self.fleet.control_links.items()
            return [link for pair, link in links if name in pair]
        return list(self.fleet.target_links.values())

    def set_link_modes(
        self, kind: str, direction: str, mode: str, name=""
    ) -> None:
        for link in self.links(kind, name):
            setattr(link, direction, mode)

    def heal_links(self) -> None:
        for link in self.fleet.proxy.links:
            link.heal()

    def wait_for_held_chunk(self) -> None:
        links = self.links("target")
        _fleet.wait_for(
            lambda: any(link.held_chunks for link in links),
            "a request on its way",
        )

    def reset_held_chunks(self) -> None:
        for link in self.links("target"):
            link.held_chunks = 0

    def at_dispatched(self) -> None:
        """Its bytes have left e1 and reached no target."""
        self.reset_held_chunks()
        self.set_link_modes("target", "forward", "hold")
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        self.wait_for_held_chunk()


class ModelCell(Cell):
    """Idempotent model request."""

    kind = "model"

    @property
    def text(self) -> str:
        return f"ask {self.key}"

    def send(self, entry: str, events: int = 10**9):
        """Sends the request and returns its stream after some events."""
        stream = _fleet.Stream(
            self.fleet.addresses[entry], self.text, key=self.key
        )
        self.responses.append(stream)
        return stream.read(events)

    def send_ignoring_errors(self, entry: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.send(entry)

    def read_to_end(self, stream) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            stream.read()

    # Steps

    def at_reserved(self) -> None:
        """Waits at e1 for room, its tokens reserved."""
        filler_numbers = itertools.count()

        def occupy_engine():
            """Sends requests until both engines are busy."""
            while not self.engines_busy:
                key = f"{self.key}-filler-{next(filler_numbers)}"
                ModelCell(fleet=self.fleet, key=key).send_ignoring_errors("e1")

        self.engines_busy = False
        for _ in range(2):
            self.start_thread(occupy_engine)
        self.wait_running(2)
        self.engines_busy = True
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        time.sleep(0.1)

    def wait_running(self, count: int) -> None:
        def is_running():
            stats = [self.fleet.stats(n) for n in self.fleet.engine_names]
            return sum(item["running"] for item in stats) >= count

        _fleet.wait_for(is_running, f"{count} running")

    def at_first_byte(self) -> None:
        """One event has reached the caller."""
        stream = self.send("e1", 1)
        self.start_thread(lambda: self.read_to_end(stream))

    def at_mid_stream(self) -> None:
        """A third of the events have reached the caller."""
        stream = self.send("e1", TOKENS // 3)
        self.start_thread(lambda: self.read_to_end(stream))

    def at_unsettled(self) -> None:
        """It is answered, and its bill can't reach control."""
        stream = self.send("e1", TOKENS // 3)
        self.set_link_modes("control", "forward", "hold")
        self.read_to_end(stream)

    def at_settled(self) -> None:
        """It is answered and billed."""
        stream = self.send("e1")
        _fleet.wait_for(lambda: self.bills(stream.request_id), "the bill")

    # Checks

    def is_complete(self, stream) -> bool:
        """Returns whether a stream has ended; checks its words if so."""
        if not stream.finished:
            return False
        assert stream.words == self.expected(), "a wrong answer"
        return True

    def expected(self) -> list[str]:
        if not hasattr(self, "_expected"):
            body = {
                "model": _fleet.MODEL,
                "messages": [{"role": "user", "content": self.text}],
                "max_tokens": TOKENS,
            }
            response = _fleet.fetch(
                self.fleet.addresses[self.fleet.engine_names[0]],
                "/v1/chat/completions",
                method="POST",
                body=body,
                key="",
            ).json()
            content = response["choices"][0]["message"]["content"]
            self._expected = [word + " " for word in content.split()]
            self._expected_tokens = response["usage"]["total_tokens"]
        return self._expected

    def resend_until_answered(self) -> None:
        def is_answered():
            try:
                return self.is_complete(self.send("e2"))
            except (OSError, http.client.HTTPException):
                return False

        _fleet.wait_for(is_answered, "a whole answer", TIMEOUT_SECONDS)

    def check(self) -> None:
        """Checks that complete responses are correct and billed once."""
        complete = [s for s in self.responses if self.is_complete(s)]
        request_id = complete[0].request_id
        _fleet.wait_for(lambda: self.bills(request_id), "the bill")
        bills = self.bills(request_id)
        assert len(bills) == 1, f"{len(bills)} bills"
        tokens = sum(part[1] for part in bills[0]["parts"])
        assert tokens == self._expected_tokens, f"{tokens} billed"

    def bills(self, request_id: str) -> list:
        return self.fleet.bills(request_id)


class CallCell(Cell):
    """Non-idempotent call of a plain service."""

    kind = "call"
    delay = 0.6

    def send(self, entry: str):
        """Sends the call and checks its response immediately."""
        response = self.fleet.call_service(
            entry, f"/book?delay={self.delay}", key=self.key, timeout=60.0
        )
        self.responses.append(response)
        if response.status == 200:
            assert self.executions() == 1, "answered, and not run once"
            assert response.json()["query"] == f"delay={self.delay}"
        elif response.headers["Galenashed-Run"] == "not run":
            assert self.executions() == 0, "run, and called not run"
        return response

    def send_ignoring_errors(self, entry: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            try:
                self.send(entry)
            except AssertionError as exc:
                self.responses.append(exc)

    def executions(self) -> int:
        total = sum(self.executions_before_kill().values())
        for name in self.fleet.service_names:
            with contextlib.suppress(OSError):
                executions = self.fleet.stats(name)["executions"]
                total += executions.get(self.key, 0)
        return total

    def executions_before_kill(self) -> dict:
        """Returns the executions by target name from before a kill."""
        return getattr(self, "_executions_before_kill", {})

    def record_executions(self) -> None:
        """Stores the executions of the targets before one is killed."""
        self._executions_before_kill = {
            name: self.fleet.stats(name)["executions"].get(self.key, 0)
            for name in self.fleet.service_names
        }

    # Steps

    def at_reserved(self) -> None:
        """It is claimed, and waits at e1 for room."""
        filler = CallCell(fleet=self.fleet, key=f"{self.key}-filler")
        self.start_thread(lambda: filler.send_ignoring_errors("e1"))
        _fleet.wait_for(lambda: filler.executions(), "the filler")
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        time.sleep(0.1)

    def at_first_byte(self) -> None:
        """It runs at the target."""
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        _fleet.wait_for(lambda: self.executions(), "the run")

    def at_mid_stream(self) -> None:
        """It has run, and its answer has not reached e1."""
        self.reset_held_chunks()
        self.set_link_modes("target", "backward", "hold")
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        self.wait_for_held_chunk()

    def at_unsettled(self) -> None:
        """It has run, and its outcome can't reach control."""
        self.start_thread(lambda: self.send_ignoring_errors("e1"))
        _fleet.wait_for(lambda: self.executions(), "the run")
        self.set_link_modes("control", "forward", "hold")
        time.sleep(self.delay)

    def at_settled(self) -> None:
        """It is answered and recorded."""
        self.send("e1")

    # Checks

    def resend_until_answered(self) -> None:
        def is_final():
            try:
                response = self.send("e2")
            except (OSError, http.client.HTTPException):
                return False
            # The response comes from the service, whatever its status: its
            # server sends 408 for a request that was only partly received.
            if response.headers["Galenashed-Run"] == "run":
                return True
            error = response.json()["error"]
            return error["code"] == "outcome_unknown"

        _fleet.wait_for(is_final, "a final answer", TIMEOUT_SECONDS)

    def check(self) -> None:
        """Checks that it ran at most once and every response was correct."""
        for response in self.responses:
            if isinstance(response, AssertionError):
                raise response
        assert self.executions() <= 1, f"run {self.executions()} times"
        bodies = {r.body for r in self.responses if r.status == 200}
        assert len(bodies) <= 1, "different answers"
        if bodies:
            assert self.executions() == 1


class Fault:
    """Fault that is injected and later healed."""

    def __init__(self, name: str, inject, heal=None):
        self.name = name
        self._inject = inject
        self._heal = heal

    def inject(self, cell: Cell) -> None:
        self._inject(cell)

    def heal(self, cell: Cell) -> None:
        if self._heal is not None:
            self._heal(cell)


def freeze(cell: Cell, name: str) -> None:
    process = cell.fleet.processes[name]
    process.signal(signal.SIGSTOP)
    time.sleep(FREEZE_SECONDS)
    process.signal(signal.SIGCONT)


def find_serving_target(cell: Cell) -> str:
    """Returns the target that runs the request, or the first target."""
    names = (
        cell.fleet.engine_names
        if cell.kind == "model"
        else cell.fleet.service_names
    )
    for name in names:
        if cell.fleet.stats(name).get("running"):
            return name
    return names[0]


def kill_target(cell: Cell) -> None:
    name = find_serving_target(cell)
    if cell.kind == "call":
        cell.record_executions()
    cell.fleet.processes[name].kill()
    cell.fleet.processes[name].start()


def make_restart(name: str):
    def inject(cell: Cell) -> None:
        cell.fleet.processes[name].kill()

    def heal(cell: Cell) -> None:
        cell.fleet.processes[name].start()

    return inject, heal


def partition(kind: str, *directions: str):
    def inject(cell: Cell) -> None:
        for direction in directions:
            cell.set_link_modes(kind, direction, "drop")
        time.sleep(PARTITION_SECONDS)

    return inject


def kill_leader(cell: Cell) -> None:
    leader = cell.fleet.leader()
    cell.fleet.processes[leader].kill()
    time.sleep(0.2)
    cell.fleet.processes[leader].start()


def isolate_leader(cell: Cell) -> None:
    leader = cell.fleet.leader()
    for direction in ("forward", "backward"):
        cell.set_link_modes("leader", direction, "drop", leader)
    time.sleep(PARTITION_SECONDS)


def reset_targets(cell: Cell) -> None:
    for link in cell.links("target"):
        cell.fleet.proxy.reset(link)


def delay_targets(cell: Cell) -> None:
    for link in cell.links("target"):
        link.delay = 0.3
    time.sleep(1.0)


FAULTS = [
    Fault("caller sends twice", lambda cell: None),
    Fault("entry: kill -9", *make_restart("e1")),
    Fault("entry: frozen", lambda cell: freeze(cell, "e1")),
    Fault("entry-control: cut", partition("control", "forward", "backward")),
    Fault("entry-control: one way", partition("control", "backward")),
    Fault("entry-target: reset", reset_targets),
    Fault("entry-target: cut", partition("target", "forward", "backward")),
    Fault("entry-target: one way", partition("target", "backward")),
    Fault("entry-target: delay", delay_targets),
    Fault("target: kill -9", kill_target),
    Fault(
        "target: frozen", lambda cell: freeze(cell, find_serving_target(cell))
    ),
    Fault("leader: kill -9", kill_leader),
    Fault("leader: frozen", lambda cell: freeze(cell, cell.fleet.leader())),
    Fault("leader: cut", isolate_leader),
]
STEPS = {
    "reserved": "at_reserved",
    "dispatched": "at_dispatched",
    "first byte": "at_first_byte",
    "mid-stream": "at_mid_stream",
    "unsettled": "at_unsettled",
    "settled": "at_settled",
}
KINDS = [ModelCell, CallCell]


def all_cells():
    """Returns every combination of kind, step and fault."""
    return [
        (kind, step, fault)
        for kind in KINDS
        for step in STEPS
        for fault in FAULTS
    ]


def select_cells(substring: str):
    """Returns all cells, the sample, or those with a text in the title."""
    cells = all_cells()
    if substring == "all":
        return cells
    if not substring:
        return cells[::SAMPLE_STRIDE]
    return [
        (kind, step, fault)
        for kind, step, fault in cells
        if substring in f"{kind.kind}/{step}/{fault.name}"
    ]


class Matrix:
    """Runs cells sequentially on one fleet."""

    def __init__(self) -> None:
        self.fleet = _fleet.Fleet(
            entries=2,
            engines=2,
            services=1,
            note=NOTE,
            policy=POLICY,
            engine_args=("--token-seconds", "0.02"),
            proxied_targets=True,
        )
        self.results: dict[tuple[str, str, str], str] = {}

    def run(self, kind, step: str, fault: Fault) -> None:
        """Runs a cell; its result is the failure, or empty if it passed."""
        title = (kind.kind, step, fault.name)
        key = "-".join(title).replace(" ", "_").replace(":", "")
        cell = kind(fleet=self.fleet, key=key)
        try:
            self._run(cell, step, fault)
            self.results[title] = ""
        except Exception as exc:
            self.results[title] = f"{type(exc).__name__}: {exc}"
            self._recover()

    def _run(self, cell: Cell, step: str, fault: Fault) -> None:
        self._warm_up()
        getattr(cell, STEPS[step])()
        cell.start_thread(lambda: cell.send_ignoring_errors("e2"))
        fault.inject(cell)
        cell.heal_links()
        fault.heal(cell)
        cell.resend_until_answered()
        cell.join()
        self.fleet.wait_ready()
        cell.check()

    def _warm_up(self) -> None:
        """Sends requests so that both entries hold tokens, as usual."""
        for entry in ("e1", "e2"):
            _fleet.wait_for(
                lambda entry=entry: self.fleet.ask(entry).status == 200,
                f"{entry} to answer",
            )

    def _recover(self) -> None:
        for link in self.fleet.proxy.links:
            link.heal()
        for process in self.fleet.processes.values():
            if process.popen.poll() is not None:
                process.start()
            process.signal(signal.SIGCONT)
        self.fleet.wait_ready()

    def check_balance(self) -> None:
        """Checks that the budget is not overspent after all cells."""
        balance = self.fleet.balance()
        assert (
            balance["settled"] + balance["outstanding"] <= balance["prepaid"]
        )


def write_page(path: pathlib.Path, results) -> None:
    """Writes the results to a Markdown file."""
    lines = [
        "# The fault matrix",
        "",
        "Generated by `make matrix`: real processes behind a fault-injecting",
        "relay; two entries, three control replicas, two engines, one plain",
        "service. Each cell is one run; what `tests/test_matrix.py` judges:",
        "each answer that says it is whole is right, a model",
        "request is billed once at its real use, a call runs at most once,",
        'and "not run" is true.',
    ]
    for kind in KINDS:
        title = {
            "model": "Idempotent model request",
            "call": "Non-idempotent call of a plain service",
        }[kind.kind]
        lines += ["", f"## {title}", ""]
        lines.append("| fault | " + " | ".join(STEPS) + " |")
        lines.append("|---|" + "---|" * len(STEPS))
        for fault in FAULTS:
            cells = []
            for step in STEPS:
                failure = results.get((kind.kind, step, fault.name))
                cells.append(
                    "not run"
                    if failure is None
                    else "holds"
                    if not failure
                    else failure.replace("|", "/")[:80]
                )
            lines.append(f"| {fault.name} | " + " | ".join(cells) + " |")
        lines += ["", "Steps:", ""]
        for step, name in STEPS.items():
            lines.append(f"- {step}: {getattr(kind, name).__doc__}")
    lines += [
        "",
        "Not in the matrix: two faults at once, faults of the links between",
        "entries and between caller and entry, and clocks that jump.",
        "",
    ]
    path.write_text("\n".join(lines), encoding="utf-8")


class TestMatrix(testtools.TestCase):
    """Runs all cells, or a fixed sample of them."""

    def run_cells(self, cells):
        matrix = Matrix()
        self.addCleanup(matrix.fleet.close)
        matrix.fleet.start()
        for kind, step, fault in cells:
            matrix.run(kind, step, fault)
        page = os.environ.get("GALENASHED_MATRIX_PAGE")
        if page:
            write_page(pathlib.Path(page), matrix.results)
        failures = {
            title: failure
            for title, failure in matrix.results.items()
            if failure
        }
        self.assertEqual({}, failures)
        matrix.check_balance()

    def test_cells(self):
        self.run_cells(select_cells(os.environ.get("GALENASHED_MATRIX", "")))
