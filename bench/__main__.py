"""Runs all registered benchmarks, or those named, and prints one table."""

import importlib
import logging
import pathlib
import sys

import structlog

from bench import figures


def _import_benchmarks() -> None:
    for path in sorted(pathlib.Path(__file__).parent.glob("bench_*.py")):
        importlib.import_module(f"bench.{path.stem}")


def main() -> int:
    """Prints the table and returns 1 if a figure violates its bound."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    _import_benchmarks()
    names = sys.argv[1:] or sorted(figures.benchmarks.by_name)
    print(f"{'name':58} {'value':>12} {'unit':8} {'bound':12} verdict")
    violations = 0
    for name in names:
        for row in figures.benchmarks.by_name[name]():
            bound = str(row.bound) if row.bound else ""
            print(
                f"{name + '.' + row.name:58} {row.value:12.4g} {row.unit:8}"
                f" {bound:12} {row.verdict}",
                flush=True,
            )
            violations += row.verdict == "BROKEN"
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
