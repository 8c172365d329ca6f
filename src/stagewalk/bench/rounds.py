"""Rounds of policy on a users' bench: days on several seeds under one policy against others.

    python -m stagewalk.bench.rounds --bench PROGRAM --site FILE [--site FILE] --day quiet-1 \\
        --seed 1 --seed 2 --policy "" --policy "moves=false" --why "..."

Each policy is played in a clone of the last commit beside the checkout, with its switches in the
clone's settings template. Writes a table of medians and spread, the dearest prices, and a plot, and
brings the journal's entries back. A run that is given up is named; an interrupt ends what was
started and writes what there is.
"""

from __future__ import annotations

import argparse
import json
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from absl.flags import argparse_flags

CLONES = "rounds"
TEMPLATE = Path("deploy/settings.toml")
RUN_SECONDS = 900
DEAREST = 4
"""Prices shown, the dearest first."""


@dataclass(frozen=True, slots=True)
class Run:
    """One day to play: `seed` is empty for the day's own."""

    policy: str
    site: Path
    day: str
    seed: str


@dataclass(frozen=True, slots=True)
class Played:
    """What a day gave.

    Attributes
    ----------
    worth
        Credit earned by credit owed, in its parts, less prices.
    parts, prices
        By name, as weighed.
    broken
        Rules broken, and faults.
    """

    run: Run
    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    broken: tuple[str, ...]


@dataclass(slots=True)
class Results:
    """What was played, and what was given up and why."""

    played: list[Played] = field(default_factory=list)
    given_up: list[tuple[Run, str]] = field(default_factory=list)

    def by_policy(self) -> dict[str, list[Played]]:
        """Return what was played under each policy."""
        found: dict[str, list[Played]] = defaultdict(list)
        for played in self.played:
            found[played.run.policy].append(played)
        return dict(found)


def read_report(run: Run, path: Path) -> Played:
    """Return what a run's report tells."""
    report = json.loads(path.read_text())
    broken = tuple(report["breaks"]) + ((str(report["fault"]),) if report["fault"] else ())
    return Played(
        run,
        report["G"],
        {name: value for name, _, value in report["parts"]},
        {name: price for name, _, price in report["prices"]},
        broken,
    )


def policy_table(policy: str) -> str:
    """Return the settings' table of a policy written as `name=false,name=false`."""
    switches = [switch.strip() for switch in policy.split(",") if switch.strip()]
    return "\n[policy]\n" + "\n".join(switches) + "\n" if switches else ""


def render_table(results: Results) -> list[str]:
    """Return the results as a table in Markdown: medians, spread and the dearest prices."""
    text = ["| policy | days | mean worth | median | least | most | dearest prices | broken |"]
    text.append("|---|---|---|---|---|---|---|---|")
    for policy, days in results.by_policy().items():
        worths = [played.worth for played in days]
        prices = {
            name: statistics.mean(played.prices[name] for played in days) for name in days[0].prices
        }
        dearest = sorted(prices, key=lambda name: -prices[name])[:DEAREST]
        named = ", ".join(f"{name} {prices[name]:.3f}" for name in dearest)
        broken = ", ".join(rule for played in days for rule in played.broken) or "none"
        text.append(
            f"| {policy or 'all on'} | {len(days)} | {statistics.mean(worths):.3f} | "
            f"{statistics.median(worths):.3f} | {min(worths):.3f} | {max(worths):.3f} | "
            f"{named} | {broken} |"
        )
    text += ["", "| site, day, seed | " + " | ".join(p or "all on" for p in results.by_policy())]
    text[-1] += " |"
    text.append("|---" * (len(results.by_policy()) + 1) + "|")
    cells: dict[tuple[str, str, str], dict[str, float]] = defaultdict(dict)
    for played in results.played:
        run = played.run
        cells[(run.site.stem, run.day, run.seed)][run.policy] = played.worth
    for (site, day, seed), worth in sorted(cells.items()):
        row = [f"{worth[p]:.3f}" if p in worth else "-" for p in results.by_policy()]
        text.append(f"| {site} {day} {seed or 'own'} | " + " | ".join(row) + " |")
    text += [f"\ngiven up: {run}: {why}" for run, why in results.given_up]
    return text


def draw(results: Results, path: Path) -> None:
    """Draw the worth of each day by policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_policy = results.by_policy()
    figure, axes = pyplot.subplots(figsize=(1.5 + 1.2 * len(by_policy), 4.0))
    axes.boxplot([[played.worth for played in days] for days in by_policy.values()])
    axes.set_xticklabels([policy or "all on" for policy in by_policy], rotation=30, ha="right")
    axes.set_ylabel("worth")
    figure.tight_layout()
    figure.savefig(path)


class Bench:
    """Plays runs in clones, so many at a time."""

    def __init__(self, program: Path, why: str, jobs: int, folder: Path) -> None:
        self._program = program.resolve()
        self._why = why
        self._jobs = jobs
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []
        self._clones: dict[str, Path] = {}

    def play(self, runs: Sequence[Run]) -> Results:
        """Play all runs; an interrupt leaves out those that had not ended."""
        results = Results()
        for policy in dict.fromkeys(run.policy for run in runs):
            self._clones[policy] = self._clone(policy)
        with ThreadPoolExecutor(self._jobs) as pool:
            futures = [(run, pool.submit(self._play, run)) for run in runs]
            try:
                for run, future in futures:
                    outcome = future.result()
                    if isinstance(outcome, Played):
                        results.played.append(outcome)
                    else:
                        results.given_up.append((run, outcome))
            except KeyboardInterrupt:
                pool.shutdown(wait=False, cancel_futures=True)
                self._end()
                done = {played.run for played in results.played}
                results.given_up += [(run, "interrupted") for run in runs if run not in done]
        return results

    def collect_journal(self, journal: Path) -> None:
        """Bring the clones' journal entries back."""
        for clone in self._clones.values():
            shutil.copytree(clone / "journal", journal, dirs_exist_ok=True)

    def _clone(self, policy: str) -> Path:
        clone = Path(tempfile.mkdtemp(prefix="clone-", dir=self._folder))
        subprocess.run(["git", "clone", "--quiet", ".", str(clone)], check=True)
        with (clone / TEMPLATE).open("a") as template:
            template.write(policy_table(policy))
        build = [str(self._program), "build"]
        subprocess.run(build, cwd=clone, check=True, stdout=subprocess.DEVNULL)
        return clone

    def _play(self, run: Run) -> Played | str:
        with tempfile.NamedTemporaryFile(suffix=".json") as report:
            command = [str(self._program), "run", str(run.site.resolve()), run.day]
            command += ["--seed", run.seed] if run.seed else []
            why = f"{self._why} [policy: {run.policy or 'all on'}]"
            command += ["--report", report.name, "--why", why]
            process = subprocess.Popen(
                command,
                cwd=self._clones[run.policy],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            self._processes.append(process)
            try:
                output, _ = process.communicate(timeout=RUN_SECONDS)
            except subprocess.TimeoutExpired:
                process.terminate()
                return "took too long"
            try:
                return read_report(run, Path(report.name))
            except (OSError, ValueError, KeyError):
                return output.decode(errors="replace").strip()[-200:]

    def _end(self) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.terminate()


def main(arguments: Sequence[str]) -> int:
    """Play the rounds that the flags name; return the exit code."""
    new_parser: Callable[..., argparse.ArgumentParser] = argparse_flags.ArgumentParser
    parser = new_parser(prog="rounds")
    parser.add_argument("--bench", type=Path, required=True, help="the users' bench")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", action="append", default=[], help="none: each day's own")
    parser.add_argument("--policy", action="append", default=[], help="such as moves=false")
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", type=Path, default=Path("out/rounds"))
    parsed = parser.parse_args(list(arguments))
    folder = Path.cwd().parent / CLONES
    folder.mkdir(exist_ok=True)
    runs = [
        Run(policy, site, day, seed)
        for site in parsed.site
        for day in parsed.day
        for seed in parsed.seed or [""]
        for policy in parsed.policy or [""]
    ]
    bench = Bench(parsed.bench, parsed.why, parsed.jobs, folder)
    results = bench.play(runs)
    bench.collect_journal(Path("journal"))
    parsed.out.mkdir(parents=True, exist_ok=True)
    table = "\n".join(render_table(results))
    (parsed.out / "table.md").write_text(table + "\n")
    print(table)
    if results.played:
        draw(results, parsed.out / "worth.png")
    return 0 if results.played else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
