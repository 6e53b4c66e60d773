"""Generates Markdown pages with Mermaid diagrams of the state charts."""

from pathlib import Path

from lacewinglug.charts import Chart


def draw_chart(chart: Chart) -> str:
    """Return the Markdown page of a chart: a diagram and a table of its states."""
    lines = [f"# {chart.title}", "", "```mermaid", "stateDiagram-v2"]
    lines.append(f"    [*] --> {chart.initial}")
    for item in chart.transitions:
        for source in chart.sources(item):
            lines.append(f"    {source} --> {item.target}: {item.event}")
    lines += ["```", "", "| state | meaning |", "|---|---|"]
    lines += [f"| {name} | {text} |" for name, text in chart.states.items()]
    lines += ["", f"Generated from `lacewinglug/charts/{chart.name}.toml`", ""]
    return "\n".join(lines)


def write_pages(charts: list[Chart], folder: Path) -> list[Path]:
    """Write the page of each chart to a folder and return the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for chart in charts:
        path = folder / f"{chart.name}.md"
        path.write_text(draw_chart(chart))
        paths.append(path)
    return paths
