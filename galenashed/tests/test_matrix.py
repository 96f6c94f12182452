"""The fault matrix: every fault at every step, judged from outside.

``GALENASHED_MATRIX=all`` runs every cell, as ``make matrix`` does; another
value, such as ``call/dispatched/``, the cells whose titles hold it; without
it a fixed sample is run.  With ``GALENASHED_MATRIX_PAGE`` the result is
written as a page.

In every cell the caller sends its request through entry e1, which is
brought to a step; the fault strikes; meanwhile and afterwards the caller
sends the request again through e2 under the same key, until it is answered.
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
CUT_SECONDS = 2.5
SETTLE_SECONDS = 60.0
TOKENS = 32
SAMPLE_STRIDE = 9

NOTE = _fleet.NOTE.replace("concurrency = 64", "concurrency = 1").replace(
    "tokens = 1000000", "tokens = 100000000"
)
POLICY = '[policy]\npreset = "refusals-first"\n'


class Cell:
    """One request on its way, and what strikes it."""

    def __init__(self, *, fleet: _fleet.Fleet, key: str):
        self.fleet = fleet
        self.key = key
        self.answers: list = []
        self.threads: list[threading.Thread] = []

    def spawn(self, work) -> None:
        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        self.threads.append(thread)

    def join(self) -> None:
        for thread in self.threads:
            thread.join(SETTLE_SECONDS)
            assert not thread.is_alive(), "a request never ended"

    def links(self, kind: str, name: str = "") -> list:
        """Returns the links of e1 to control or of the targets."""
        if kind == "control":
            items = self.fleet.control_links.items()
            return [link for (source, _), link in items if source == "e1"]
        if kind == "leader":
            items = self.fleet.control_links.items()
            return [link for pair, link in items if name in pair]
        return list(self.fleet.target_links.values())

    def set_links(self, kind: str, way: str, mode: str, name="") -> None:
        for link in self.links(kind, name):
            setattr(link, way, mode)

    def heal_links(self) -> None:
        for link in self.fleet.proxy.links:
            link.heal()

    def wait_held(self) -> None:
        links = self.links("target")
        _fleet.wait_for(
            lambda: any(link.held for link in links), "a request on its way"
        )

    def reset_held(self) -> None:
        for link in self.links("target"):
            link.held = 0

    def at_dispatched(self) -> None:
        """Its bytes have left e1 and reached no target."""
        self.reset_held()
        self.set_links("target", "forward", "hold")
        self.spawn(lambda: self.send_quietly("e1"))
        self.wait_held()


class ModelCell(Cell):
    """An idempotent model request."""

    kind = "model"

    @property
    def text(self) -> str:
        return f"ask {self.key}"

    def send(self, entry: str, events: int = 10**9):
        """Sends the request and returns its stream, read so far."""
        stream = _fleet.Stream(
            self.fleet.addresses[entry], self.text, key=self.key
        )
        self.answers.append(stream)
        return stream.read(events)

    def send_quietly(self, entry: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.send(entry)

    def finish(self, stream) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            stream.read()

    # Steps

    def at_reserved(self) -> None:
        """Waits at e1 for room, its tokens reserved."""
        fillers = itertools.count()

        def fill():
            """Keeps an engine busy, until both are."""
            while not self.filled:
                key = f"{self.key}-filler-{next(fillers)}"
                ModelCell(fleet=self.fleet, key=key).send_quietly("e1")

        self.filled = False
        for _ in range(2):
            self.spawn(fill)
        self.wait_running(2)
        self.filled = True
        self.spawn(lambda: self.send_quietly("e1"))
        time.sleep(0.1)

    def wait_running(self, count: int) -> None:
        def running():
            stats = [self.fleet.stats(n) for n in self.fleet.engine_names]
            return sum(item["running"] for item in stats) >= count

        _fleet.wait_for(running, f"{count} running")

    def at_first_byte(self) -> None:
        """One event has reached the caller."""
        stream = self.send("e1", 1)
        self.spawn(lambda: self.finish(stream))

    def at_mid_stream(self) -> None:
        """A third of the events have reached the caller."""
        stream = self.send("e1", TOKENS // 3)
        self.spawn(lambda: self.finish(stream))

    def at_unsettled(self) -> None:
        """It is answered, and its bill can't reach control."""
        stream = self.send("e1", TOKENS // 3)
        self.set_links("control", "forward", "hold")
        self.finish(stream)

    def at_settled(self) -> None:
        """It is answered and billed."""
        stream = self.send("e1")
        _fleet.wait_for(lambda: self.bills(stream.request_id), "the bill")

    # Judgement

    def is_whole(self, stream) -> bool:
        """Whether an answer says that it is whole; then it must be."""
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
            answer = _fleet.fetch(
                self.fleet.addresses[self.fleet.engine_names[0]],
                "/v1/chat/completions",
                method="POST",
                body=body,
                key="",
            ).json()
            content = answer["choices"][0]["message"]["content"]
            self._expected = [word + " " for word in content.split()]
            self._tokens = answer["usage"]["total_tokens"]
        return self._expected

    def resend_until_answered(self) -> None:
        def answered():
            try:
                return self.is_whole(self.send("e2"))
            except (OSError, http.client.HTTPException):
                return False

        _fleet.wait_for(answered, "a whole answer", SETTLE_SECONDS)

    def judge(self) -> None:
        """Every whole answer is right; the request is billed once."""
        whole = [s for s in self.answers if self.is_whole(s)]
        request_id = whole[0].request_id
        _fleet.wait_for(lambda: self.bills(request_id), "the bill")
        bills = self.bills(request_id)
        assert len(bills) == 1, f"{len(bills)} bills"
        tokens = sum(part[1] for part in bills[0]["parts"])
        assert tokens == self._tokens, f"{tokens} billed"

    def bills(self, request_id: str) -> list:
        return self.fleet.bills(request_id)


class CallCell(Cell):
    """A non-idempotent call of a plain service."""

    kind = "call"
    delay = 0.6

    def send(self, entry: str):
        """Sends the call and judges its answer at once."""
        answer = self.fleet.call(
            entry, f"/book?delay={self.delay}", key=self.key, timeout=60.0
        )
        self.answers.append(answer)
        if answer.status == 200:
            assert self.executions() == 1, "answered, and not run once"
            assert answer.json()["query"] == f"delay={self.delay}"
        elif answer.headers["Galenashed-Run"] == "not run":
            assert self.executions() == 0, "run, and called not run"
        return answer

    def send_quietly(self, entry: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            try:
                self.send(entry)
            except AssertionError as exc:
                self.answers.append(exc)

    def executions(self) -> int:
        total = sum(self.lost_executions().values())
        for name in self.fleet.service_names:
            with contextlib.suppress(OSError):
                seen = self.fleet.stats(name)["executions"]
                total += seen.get(self.key, 0)
        return total

    def lost_executions(self) -> dict:
        """What targets had run before they were killed."""
        return getattr(self, "_lost", {})

    def note_executions(self) -> None:
        """Remembers what a target has run, for it is about to die."""
        self._lost = {
            name: self.fleet.stats(name)["executions"].get(self.key, 0)
            for name in self.fleet.service_names
        }

    # Steps

    def at_reserved(self) -> None:
        """It is claimed, and waits at e1 for room."""
        filler = CallCell(fleet=self.fleet, key=f"{self.key}-filler")
        self.spawn(lambda: filler.send_quietly("e1"))
        _fleet.wait_for(lambda: filler.executions(), "the filler")
        self.spawn(lambda: self.send_quietly("e1"))
        time.sleep(0.1)

    def at_first_byte(self) -> None:
        """It runs at the target."""
        self.spawn(lambda: self.send_quietly("e1"))
        _fleet.wait_for(lambda: self.executions(), "the run")

    def at_mid_stream(self) -> None:
        """It has run, and its answer has not reached e1."""
        self.reset_held()
        self.set_links("target", "backward", "hold")
        self.spawn(lambda: self.send_quietly("e1"))
        self.wait_held()

    def at_unsettled(self) -> None:
        """It has run, and its outcome can't reach control."""
        self.spawn(lambda: self.send_quietly("e1"))
        _fleet.wait_for(lambda: self.executions(), "the run")
        self.set_links("control", "forward", "hold")
        time.sleep(self.delay)

    def at_settled(self) -> None:
        """It is answered and recorded."""
        self.send("e1")

    # Judgement

    def resend_until_answered(self) -> None:
        def is_final():
            try:
                answer = self.send("e2")
            except (OSError, http.client.HTTPException):
                return False
            # The service's own answer, whatever its status: its server
            # says 408 to a request that was cut off on its way.
            if answer.headers["Galenashed-Run"] == "run":
                return True
            error = answer.json()["error"]
            return error["code"] == "outcome_unknown"

        _fleet.wait_for(is_final, "a final answer", SETTLE_SECONDS)

    def judge(self) -> None:
        """It ran once at most, and every answer was true."""
        for answer in self.answers:
            if isinstance(answer, AssertionError):
                raise answer
        assert self.executions() <= 1, f"run {self.executions()} times"
        bodies = {a.body for a in self.answers if a.status == 200}
        assert len(bodies) <= 1, "different answers"
        if bodies:
            assert self.executions() == 1


class Fault:
    """A fault that strikes and passes."""

    def __init__(self, name: str, strike, heal=None):
        self.name = name
        self._strike = strike
        self._heal = heal

    def strike(self, cell: Cell) -> None:
        self._strike(cell)

    def heal(self, cell: Cell) -> None:
        if self._heal is not None:
            self._heal(cell)


def freeze(cell: Cell, name: str) -> None:
    process = cell.fleet.processes[name]
    process.signal(signal.SIGSTOP)
    time.sleep(FREEZE_SECONDS)
    process.signal(signal.SIGCONT)


def serving_target(cell: Cell) -> str:
    """Returns the target that runs the request, or the first."""
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
    name = serving_target(cell)
    if cell.kind == "call":
        cell.note_executions()
    cell.fleet.processes[name].kill()
    cell.fleet.processes[name].start()


def restart(name: str):
    def strike(cell: Cell) -> None:
        cell.fleet.processes[name].kill()

    def heal(cell: Cell) -> None:
        cell.fleet.processes[name].start()

    return strike, heal


def cut(kind: str, *ways: str):
    def strike(cell: Cell) -> None:
        for way in ways:
            cell.set_links(kind, way, "drop")
        time.sleep(CUT_SECONDS)

    return strike


def kill_leader(cell: Cell) -> None:
    leader = cell.fleet.leader()
    cell.fleet.processes[leader].kill()
    time.sleep(0.2)
    cell.fleet.processes[leader].start()


def cut_leader(cell: Cell) -> None:
    leader = cell.fleet.leader()
    for way in ("forward", "backward"):
        cell.set_links("leader", way, "drop", leader)
    time.sleep(CUT_SECONDS)


def reset_targets(cell: Cell) -> None:
    for link in cell.links("target"):
        cell.fleet.proxy.reset(link)


def delay_targets(cell: Cell) -> None:
    for link in cell.links("target"):
        link.delay = 0.3
    time.sleep(1.0)


FAULTS = [
    Fault("caller sends twice", lambda cell: None),
    Fault("entry: kill -9", *restart("e1")),
    Fault("entry: frozen", lambda cell: freeze(cell, "e1")),
    Fault("entry-control: cut", cut("control", "forward", "backward")),
    Fault("entry-control: one way", cut("control", "backward")),
    Fault("entry-target: reset", reset_targets),
    Fault("entry-target: cut", cut("target", "forward", "backward")),
    Fault("entry-target: one way", cut("target", "backward")),
    Fault("entry-target: delay", delay_targets),
    Fault("target: kill -9", kill_target),
    Fault("target: frozen", lambda cell: freeze(cell, serving_target(cell))),
    Fault("leader: kill -9", kill_leader),
    Fault("leader: frozen", lambda cell: freeze(cell, cell.fleet.leader())),
    Fault("leader: cut", cut_leader),
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


def choose_cells(wanted: str):
    """Returns all cells, the sample, or those whose titles hold a text."""
    cells = all_cells()
    if wanted == "all":
        return cells
    if not wanted:
        return cells[::SAMPLE_STRIDE]
    return [
        (kind, step, fault)
        for kind, step, fault in cells
        if wanted in f"{kind.kind}/{step}/{fault.name}"
    ]


class Matrix:
    """Runs cells one after the other on one fleet."""

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
        """Runs a cell; its result is empty or what was seen."""
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
        cell.spawn(lambda: cell.send_quietly("e2"))
        fault.strike(cell)
        cell.heal_links()
        fault.heal(cell)
        cell.resend_until_answered()
        cell.join()
        self.fleet.wait_ready()
        cell.judge()

    def _warm_up(self) -> None:
        """Has both entries hold tokens, as in the midst of a day."""
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

    def check_books(self) -> None:
        """The budget balances after all of it."""
        held = self.fleet.balance()
        assert held["settled"] + held["outstanding"] <= held["prepaid"]


def write_page(path: pathlib.Path, results) -> None:
    """Writes the results as a page."""
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
                seen = results.get((kind.kind, step, fault.name))
                cells.append(
                    "not run"
                    if seen is None
                    else "holds"
                    if not seen
                    else seen.replace("|", "/")[:80]
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
    """All cells, or a fixed sample of them."""

    def run_cells(self, cells):
        matrix = Matrix()
        self.addCleanup(matrix.fleet.close)
        matrix.fleet.start()
        for kind, step, fault in cells:
            matrix.run(kind, step, fault)
        page = os.environ.get("GALENASHED_MATRIX_PAGE")
        if page:
            write_page(pathlib.Path(page), matrix.results)
        broken = {t: seen for t, seen in matrix.results.items() if seen}
        self.assertEqual({}, broken)
        matrix.check_books()

    def test_cells(self):
        self.run_cells(choose_cells(os.environ.get("GALENASHED_MATRIX", "")))
