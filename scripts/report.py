"""Writes REPORT.md from JSON results, with one SVG plot for each scenario.

Arguments: the folder to write to, then the result files of balsamwheel-bench.
"""

import json
import pathlib
import subprocess
import sys

MEASURES = [
    ("done share", lambda m: m["done_share"]),
    ("unavailable s, p99 over shards", lambda m: m["unavailable_s"]["p99"]),
    ("unavailable s, max", lambda m: m["unavailable_s"]["max"]),
    ("imbalance, peak to mean", lambda m: m["imbalance"]),
    ("owner changes", lambda m: m["owner_changes"]),
    ("orders per request", lambda m: m["amplification"]),
]


def mean(values):
    return sum(values) / len(values) if values else None


def runs_of(result, policy):
    return [run for run in result["runs"] if run.get("policy") == policy]


def format_number(value):
    return "-" if value is None else f"{value:.3f}"


def table_of(result):
    lines = ["| measure | policy | baseline | ratio |", "|---|---|---|---|"]
    for name, read in MEASURES:
        pair = [
            mean([read(run["measures"]) for run in runs_of(result, policy)])
            for policy in ("policy", "baseline")
        ]
        ratio = pair[0] / pair[1] if pair[0] is not None and pair[1] else None
        cells = " | ".join(format_number(v) for v in (*pair, ratio))
        lines.append(f"| {name} | {cells} |")
    for policy in ("policy", "baseline"):
        counts = [len(run["violations"]) for run in runs_of(result, policy)]
        lines.append(f"\nViolations, {policy}: {counts if counts else 'not run'}")
    return lines


def plot(result, folder):
    """Plots the p99 latency of each class for policy and baseline."""
    classes = sorted(
        {name for run in result["runs"] for name in run["measures"]["classes"]}
    )
    rows = []
    for name in classes:
        cells = [
            mean(
                [
                    run["measures"]["classes"][name]["p99_ms"]
                    for run in runs_of(result, policy)
                    if name in run["measures"]["classes"]
                ]
            )
            or 0
            for policy in ("policy", "baseline")
        ]
        rows.append(f'"{name}" {cells[0]} {cells[1]}')
    file = folder / f"{result['scenario']}.svg"
    script = "\n".join(
        [
            "set terminal svg size 800,400",
            f"set output '{file}'",
            "set style data histogram",
            "set style fill solid 0.6",
            "set ylabel 'p99 in ms'",
            "set yrange [0:*]",
            "set xtics rotate by -20",
            "$data << EOD",
            *rows,
            "EOD",
            "plot $data using 2:xtic(1) title 'policy', "
            "$data using 3 title 'baseline'",
        ]
    )
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return file.name


def main():
    folder = pathlib.Path(sys.argv[1])
    lines = ["# Results of balsamwheel-bench", ""]
    for name in sys.argv[2:]:
        result = json.loads(pathlib.Path(name).read_text())
        if result["scenario"] == "added-latency":
            continue
        lines += [f"## {result['scenario']}", ""]
        lines.append(
            f"`balsamwheel-bench run {result['scenario']} --deployment "
            f"{result['deployment']} --seed {result['seed']}`"
        )
        lines += ["", *table_of(result), ""]
        lines += [f"![p99 per class]({plot(result, folder)})", ""]
    (folder / "REPORT.md").write_text("\n".join(lines))
    print(folder / "REPORT.md")


main()
