"""A nose2 plug-in that prints a summary line and tolerates the tests in KNOWN-RED.txt."""

import sys
from pathlib import Path

from nose2.events import Event, Plugin

KNOWN_RED = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return {line.split()[0]: line for line in lines if line and not line.startswith("#")}


class ClosingLine(Plugin):
    """Counts outcomes, and reports failures listed in KNOWN-RED.txt as skipped."""

    configSection = "closing-line"

    def __init__(self) -> None:
        self.outcomes: dict[str, str] = {}
        self.red = known_red()
        self.seen_red: list[str] = []

    def setTestOutcome(self, event: Event) -> None:
        name = event.test.id().split(" ")[0].split("\n")[0]
        failed_part = event.outcome == "subtest" and event.exc_info is not None
        failed = event.outcome in ("failed", "error") or failed_part
        if failed and not failed_part and name in self.red and len(self.red) <= 3:
            event.outcome = "skipped"
            event.reason = "known red"
            self.seen_red.append(self.red[name])
            failed = False
        recorded = self.outcomes.get(name, "passed")  # subtests count as their test
        if failed:
            recorded = "failed"
        elif event.outcome == "skipped" and recorded != "failed":
            recorded = "skipped"
        self.outcomes[name] = recorded

    def afterSummaryReport(self, event: Event) -> None:
        for line in self.seen_red:
            print(f"KNOWN RED, passed over: {line}", file=sys.stdout)
        found = list(self.outcomes.values())
        line = f"{found.count('passed')} passed, {found.count('failed')} failed"
        if "skipped" in found:
            line += f", {found.count('skipped')} skipped"
        print(line, flush=True)
