"""Tables and pictures of played days: scores by time, and rounds of variants side by side.

The entries of ``journal/`` are read as they are written; what is not a played day is left out.
"""

import re
import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

__all__ = ["Play", "Round", "Score", "read_journal", "rounds_command", "rounds_of", "score_lines"]

_VARIANT = re.compile(r"^(?P<round>.*) \[(?P<variant>[^\]]+)\]$")
PICTURE_INCHES = (9.0, 4.5)


class _Day(msgspec.Struct):
    name: str
    worth: float = msgspec.field(name="G")
    seed: int | None = None
    score: float | None = None
    gate: bool | None = None
    rules: dict[str, object] = {}
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float]] = []


class _Entry(msgspec.Struct):
    """One entry as far as it is of use here."""

    cmd: str
    site: str | None = None
    why: str | None = None
    score: float | None = None
    at: list[str] = []
    days: list[_Day] = []


@dataclass(frozen=True, slots=True)
class Play:
    """One played day of one variant of a round.

    Parameters
    ----------
    worth : float
        Credit less prices, as a share of the credit owed.
    lines : dict of str to float
        What each part adds to the worth and each price takes from it.
    """

    day: str
    seed: int | None
    worth: float
    lines: dict[str, float]


@dataclass(frozen=True, slots=True)
class Round:
    """Variants played on the same days."""

    title: str
    site: str
    plays: dict[str, list[Play]]

    def difference(self, base: str, variant: str) -> tuple[float, int]:
        """Return the mean difference in worth over the days that both played, and their number.

        Examples
        --------
        >>> before = [Play("d", 1, 0.5, {}), Play("d", 2, 0.7, {})]
        >>> Round("r", "s", {"a": before, "b": [Play("d", 2, 0.8, {})]}).difference("a", "b")
        (0.1, 1)
        """
        known = {(play.day, play.seed): play.worth for play in self.plays[base]}
        pairs = [
            play.worth - known[play.day, play.seed]
            for play in self.plays[variant]
            if (play.day, play.seed) in known
        ]
        return (round(statistics.fmean(pairs), 4) if pairs else 0.0, len(pairs))


@dataclass(frozen=True, slots=True)
class Score:
    """One score of a site's standard days."""

    at: str
    site: str
    why: str
    score: float
    days: dict[str, float]
    passed: bool


def read_journal(folder: Path) -> tuple[list[_Entry], int]:
    """Return the entries of a journal in the order in which they were begun.

    Returns
    -------
    tuple of list and int
        The entries, and how many files could not be read as one.
    """
    entries = []
    unreadable = 0
    for path in sorted(folder.glob("*.json")):
        try:
            entries.append(msgspec.json.decode(path.read_bytes(), type=_Entry))
        except msgspec.DecodeError:
            unreadable += 1
    return entries, unreadable


def scores_of(entries: Iterable[_Entry], site: str = "") -> list[Score]:
    """Return the scores of one site, or of all."""
    return [
        Score(
            entry.at[0] if entry.at else "",
            entry.site,
            entry.why or "",
            entry.score,
            {day.name: day.score for day in entry.days if day.score is not None},
            all(day.gate for day in entry.days),
        )
        for entry in entries
        if entry.cmd == "score" and entry.score is not None and entry.site
        if not site or entry.site == site
    ]


def rounds_of(entries: Iterable[_Entry]) -> list[Round]:
    """Return the rounds: entries whose reason names a variant in brackets at its end."""
    found: dict[tuple[str, str], dict[str, list[Play]]] = defaultdict(lambda: defaultdict(list))
    for entry in entries:
        match = _VARIANT.match(entry.why or "")
        if match is None or not entry.site:
            continue
        for day in entry.days:
            lines = {name: weight * value for name, weight, value in day.parts}
            lines.update({name: -price for name, _, price in day.prices})
            play = Play(day.name, day.seed, day.worth, lines)
            found[match["round"], entry.site][match["variant"]].append(play)
    return [Round(title, site, dict(plays)) for (title, site), plays in found.items()]


def score_lines(scores: Iterable[Score]) -> list[str]:
    """Return a table of scores, a line each."""
    lines = ["| begun | site | score | gate | days | why |", "|---|---|---|---|---|---|"]
    for one in scores:
        days = ", ".join(f"{name} {value:.2f}" for name, value in one.days.items())
        gate = "passed" if one.passed else "failed"
        lines.append(f"| {one.at} | {one.site} | {one.score:.3f} | {gate} | {days} | {one.why} |")
    return lines


def round_lines(rounds: Iterable[Round]) -> list[str]:
    """Return a table of rounds: each variant against the first that was played."""
    lines = [
        "| round | site | variant | mean worth | to the first | pairs |",
        "|---|---|---|---|---|---|",
    ]
    for one in rounds:
        first = next(iter(one.plays))
        for variant, plays in one.plays.items():
            worth = statistics.fmean(play.worth for play in plays)
            difference, pairs = one.difference(first, variant)
            told = "" if variant == first else f"{difference:+.4f}"
            lines.append(
                f"| {one.title} | {one.site} | {variant} | {worth:.4f} | {told} | {pairs} |"
            )
    return lines


def draw_scores(scores: list[Score], path: Path) -> None:
    """Draw the scores of each site by the order of their runs."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PICTURE_INCHES)
    for site in sorted({score.site for score in scores}):
        values = [score.score for score in scores if score.site == site]
        axes.plot(range(1, len(values) + 1), values, marker="o", label=site)
    axes.set_xlabel("run of the standard days, in order")
    axes.set_ylabel("score")
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


@click.command("rounds")
@click.option("--journal", "folder", type=click.Path(path_type=Path), default=Path("journal"))
@click.option("--site", default="", help="Only this site.")
@click.option("--match", "word", default="", help="Only rounds whose title holds this word.")
@click.option("--picture", type=click.Path(path_type=Path), help="Draw the scores to this PNG.")
def rounds_command(folder: Path, site: str, word: str, picture: Path | None) -> None:
    """Show scores and rounds of played days as tables, and draw the scores."""
    if not folder.is_dir():
        raise click.ClickException(f"{folder}: no such folder; name one with --journal")
    entries, unreadable = read_journal(folder)
    scores = scores_of(entries, site)
    rounds = [one for one in rounds_of(entries) if site in ("", one.site) and word in one.title]
    click.echo("\n".join([*score_lines(scores), "", *round_lines(rounds)]))
    if unreadable:
        what = "1 entry left out: it" if unreadable == 1 else f"{unreadable} entries left out: they"
        click.echo(f"\n{what} can't be read")
    if picture is not None:
        draw_scores(scores, picture)
        click.echo(f"\n{picture}: {len(scores)} scores")
