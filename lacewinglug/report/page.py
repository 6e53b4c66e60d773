"""Writes the burn report as text and as an HTML page."""

import html
import io

from lacewinglug.errors import UserError
from lacewinglug.report.burn import BurnReport, ObjectiveBurn
from lacewinglug.report.windows import WINDOW_S

_HEADINGS = ("objective", "target", "good", "total", "budget left", "covers")
_SECONDS_PER_HOUR = 3600


def format_report(report: BurnReport) -> list[str]:
    """Return the lines of the report as a table."""
    lines = [
        f"{'objective':<28}{'target':>8}{'good':>9}{'total':>9}{'budget left':>13}"
        f"{'5 min':>8}{'1 h':>8}{'6 h':>8}{'3 d':>8}  alarm"
    ]
    for item in report.objectives:
        rates = "".join(f"{rate.rate:>8.2f}" for rate in item.rates)
        lines.append(
            f"{item.objective:<28}{item.target_ratio:>8.4g}{item.good:>9}"
            f"{item.total:>9}{item.budget_left_ratio:>12.1%} {rates}  "
            f"{item.alarm or '-'}"
        )
    for item in report.objectives:
        lines.extend(_format_origins(item))
    lines.extend(_format_coverage(report))
    return lines


def _format_origins(item: ObjectiveBurn) -> list[str]:
    if not item.origins:
        return []
    lines = ["", f"{item.objective}: who burned the budget"]
    lines.extend(
        f"  {bad.count:>7}  {bad.reason:<22} host {bad.host or '-':<14} "
        f"runner {bad.runner or '-':<16} kind {bad.kind or '-'}"
        for bad in item.origins
    )
    return lines


def _format_coverage(report: BurnReport) -> list[str]:
    coverage = report.coverage
    lines = [""]
    for item in report.objectives:
        hours = item.covered_s / _SECONDS_PER_HOUR
        lines.append(f"{item.objective}: the log covers the last {hours:.1f} h")
    if coverage.expired:
        lines.append("older records expired; budgets count what the log still holds")
    for host, count in coverage.missing_windows.items():
        lines.append(f"{host}: {count} minute(s) missing between its reports")
    if coverage.copies:
        lines.append(f"{coverage.copies} copied record(s) counted once")
    if coverage.undecodable:
        lines.append(f"{coverage.undecodable} record(s) could not be read")
    return lines


def make_page(report: BurnReport) -> str:
    """Return the report as an HTML page with a plot of each objective.

    :raises UserError: matplotlib is not installed.
    """
    sections = [_make_section(item) for item in report.objectives]
    notes = "".join(f"<li>{html.escape(line)}</li>" for line in _notes(report))
    return (
        "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
        "<title>Service-level burn</title><style>"
        "body{font-family:sans-serif;max-width:60em;margin:2em auto;color:#222}"
        "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;"
        "border-bottom:1px solid #ccc}th:first-child,td:first-child{text-align:left}"
        ".alarm{color:#b00020}svg{max-width:100%;height:auto}</style></head><body>"
        f"<h1>Service-level burn</h1>{''.join(sections)}"
        f"<h2>What the report could not see</h2><ul>{notes}</ul></body></html>\n"
    )


def _notes(report: BurnReport) -> list[str]:
    return [line for line in _format_coverage(report) if line]


def _make_section(item: ObjectiveBurn) -> str:
    values = (
        item.objective,
        f"{item.target_ratio:g}",
        str(item.good),
        str(item.total),
        f"{item.budget_left_ratio:.1%}",
        f"{item.covered_s / _SECONDS_PER_HOUR:.1f} h",
    )
    origins = "".join(
        _row("td", (str(bad.count), bad.reason, bad.host, bad.runner, bad.kind))
        for bad in item.origins
    )
    rates = _row("th", ("window", *(f"{r.window_s} s" for r in item.rates)))
    rates += _row("td", ("burn rate", *(f"{r.rate:.2f}" for r in item.rates)))
    alarm = f"<p class='alarm'>{html.escape(item.alarm)}</p>" if item.alarm else ""
    return (
        f"<h2>{html.escape(item.objective)}</h2>{alarm}"
        f"<table>{_row('th', _HEADINGS)}{_row('td', values)}</table>"
        f"<table>{rates}</table>{_plot(item)}"
        f"<table>{_row('th', ('count', 'reason', 'host', 'runner', 'kind'))}"
        f"{origins}</table>"
    )


def _row(tag: str, cells: tuple[str, ...]) -> str:
    inner = "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{inner}</tr>"


def _plot(item: ObjectiveBurn) -> str:
    """Return an SVG plot of the share of bad answers over time."""
    try:
        import matplotlib
    except ImportError:
        raise UserError(
            "the page needs matplotlib; install lacewinglug[plot] or use --json"
        ) from None
    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 2.5))
    last = item.minutes[-1].index if item.minutes else 0
    hours = [
        (minute.index - last) * WINDOW_S / _SECONDS_PER_HOUR for minute in item.minutes
    ]
    axes.step(hours, [minute.bad_ratio for minute in item.minutes], where="post")
    axes.axhline(1.0 - item.target_ratio, color="tab:red", linestyle="--")
    axes.set_xlabel("hours before the last window")
    axes.set_ylabel("share of bad answers")
    axes.set_ylim(bottom=0.0)
    figure.tight_layout()
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    pyplot.close(figure)
    text = buffer.getvalue()
    return text[text.index("<svg") :]
