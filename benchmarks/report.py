"""Draws plots from the JSON that benchmarks print as their last line.

Usage: ``python benchmarks/report.py FILE... --output FOLDER``. A file may contain the
complete output of a run; only its last line is read. Writes one PNG for each known
benchmark, and ``report.html`` with the plots and the figures of every file.
"""

import argparse
import html
import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

Run = Mapping[str, Any]
FIGURE_INCHES = (9.0, 4.5)
PATHS = ("one_node", "two_nodes")


def read_run(path: Path) -> Run:
    """Return the JSON in the last line of a file.

    :raises ValueError: if the last line is not a JSON object.
    """
    lines = path.read_text().strip().splitlines()
    run = json.loads(lines[-1]) if lines else None
    if not isinstance(run, dict):
        raise ValueError(
            f"{path}: the last line is not a JSON object; run the benchmark again"
        )
    return run


def draw_call_overhead(run: Run, axes: Any) -> None:
    """Draw the time added at p99 for each part, and the target."""
    parts = run["parts"]
    for number, path in enumerate(PATHS):
        values = [part[path]["added_p99_ms"] for part in parts.values()]
        positions = [index + (number - 0.5) * 0.4 for index in range(len(parts))]
        axes.bar(positions, values, 0.4, label=path.replace("_", " "))
    axes.axhline(run["target_added_p99_ms"], color="black", linestyle="--")
    axes.set_xticks(range(len(parts)), list(parts), rotation=30, ha="right")
    axes.set_ylabel("added at p99, ms")
    axes.legend()


def draw_control_cost(run: Run, axes: Any) -> None:
    """Draw the share of each budget that control uses."""
    names = ["rss_mb", "control_cpu_percent", "control_bytes_per_s"]
    shares = [100.0 * run[name] / run["targets"][name] for name in names]
    axes.bar(names, shares)
    axes.axhline(100.0, color="black", linestyle="--")
    axes.set_ylabel("share of the budget, %")


DRAW_BY_BENCHMARK: dict[str, Callable[[Run, Any], None]] = {
    "call_overhead": draw_call_overhead,
    "control_cost": draw_control_cost,
}


def draw(run: Run, folder: Path) -> Path | None:
    """Write the plot of a run; return its path, or None if the run has no plot."""
    name = run.get("benchmark", "")
    draw_plot = DRAW_BY_BENCHMARK.get(name)
    if draw_plot is None:
        return None
    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    draw_plot(run, axes)
    axes.set_title(name)
    figure.tight_layout()
    path = folder / f"{name}.png"
    figure.savefig(path)
    plt.close(figure)
    return path


def flatten(value: Any, prefix: str = "") -> dict[str, Any]:
    """Flatten nested mappings and lists to one mapping with dotted names."""
    if isinstance(value, Mapping):
        items = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [(str(index), item) for index, item in enumerate(value)]
    else:
        return {prefix: value}
    flat: dict[str, Any] = {}
    for key, item in items:
        flat.update(flatten(item, f"{prefix}.{key}" if prefix else key))
    return flat


def write_page(runs_by_name: Mapping[str, Run], folder: Path) -> Path:
    """Write the page with the plots and figures of all runs."""
    sections = []
    for name, run in runs_by_name.items():
        plot = draw(run, folder)
        image = f'<img src="{plot.name}">' if plot else ""
        rows = "".join(
            f"<tr><td>{html.escape(key)}</td><td>{html.escape(str(value))}</td></tr>"
            for key, value in flatten(run).items()
        )
        sections.append(f"<h2>{html.escape(name)}</h2>{image}<table>{rows}</table>")
    path = folder / "report.html"
    path.write_text(f"<!doctype html><title>Benchmarks</title>{''.join(sections)}\n")
    return path


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--output", type=Path, default=Path("benchmarks/report"))
    arguments = parser.parse_args()
    arguments.output.mkdir(parents=True, exist_ok=True)
    runs_by_name = {path.stem: read_run(path) for path in arguments.files}
    print(write_page(runs_by_name, arguments.output))


if __name__ == "__main__":
    main()
