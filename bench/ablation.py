#!/usr/bin/env python3
"""Measures the effect of each mechanism: replays traces with all on, and with each one off.

Usage: ablation.py FOLDER TIMES TRACE...

Each round replays every variant once, so that other load on the machine affects all variants alike.
Prints a Markdown table for each trace, with the median of each figure and, in parentheses, its
minimum and maximum. p99, coverage and goodput are those of the segment that most of the trace's
outcomes are stated for; extra load is that of the whole trace. BUILD_DIR and MANGOSHIFT_NET_OFFSET
are those of deploy/run.py.
"""
import json
import pathlib
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = ROOT / "deploy/run.py"
# The mechanism that each variant turns off; None means that all are on.
VARIANTS = [None, "target_hedges", "target_ejection", "home_hedges", "admission"]
SEGMENT_FIGURES = {"p99 ms": "p99_ms", "coverage %": "coverage_percent", "good/s": "goodput"}
WHOLE_FIGURES = {"extra copies %": "extra_percent", "extra at targets %": "target_extra_percent"}


def main_segment(trace):
    """Returns the segment that most of the trace's outcomes are stated for."""
    outcomes = json.loads(trace.read_text().splitlines()[0])["outcomes"]
    return statistics.mode(outcome["segment"] for outcome in outcomes if outcome.get("segment"))


def replay(folder, trace, off):
    """Returns the figures of one run, or None if the replay failed."""
    options = ["--off", off] if off else []
    report = folder / trace.stem / "report.json"
    process = subprocess.run([sys.executable, RUN, "replay", *options, folder, trace], check=False,
                             stdout=subprocess.DEVNULL)
    if process.returncode not in (0, 1) or not report.exists():
        return None
    run = json.loads(report.read_text())[0]
    segment = next(each for each in run["segments"] if each["segment"] == main_segment(trace))
    figures = {title: segment[name] for title, name in SEGMENT_FIGURES.items()}
    figures.update({title: run["whole"][name] for title, name in WHOLE_FIGURES.items()})
    figures["outcomes held"] = sum(outcome["holds"] for outcome in run["outcomes"])
    return figures


def format_cell(values):
    """Formats the median, minimum and maximum of the runs."""
    if not values:
        return "not run"
    return f"{statistics.median(values):.4g} ({min(values):.4g}–{max(values):.4g})"


def format_table(trace, runs):
    """Returns the Markdown table of one trace."""
    titles = [*SEGMENT_FIGURES, *WHOLE_FIGURES, "outcomes held"]
    lines = [f"\n{trace.stem}, segment {main_segment(trace)}:\n",
             "| off | runs | " + " | ".join(titles) + " |", "| --- " * (len(titles) + 2) + "|"]
    for off in VARIANTS:
        completed = [figures for figures in runs[off] if figures]
        cells = [format_cell([figures[title] for figures in completed]) for title in titles]
        lines.append(f"| {off or 'none'} | {len(completed)} of {len(runs[off])} | "
                     + " | ".join(cells) + " |")
    return "\n".join(lines)


def main(arguments):
    if len(arguments) < 3 or not arguments[1].isdigit():
        print(__doc__, file=sys.stderr)
        return 2
    folder = pathlib.Path(arguments[0]).resolve()
    for trace in map(pathlib.Path, arguments[2:]):
        runs = {off: [] for off in VARIANTS}
        for _ in range(int(arguments[1])):
            for off in VARIANTS:
                runs[off].append(replay(folder, trace, off))
        print(format_table(trace, runs), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
