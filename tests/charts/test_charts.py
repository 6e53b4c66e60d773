"""Charts behave as their files define, and the generated pages are up to date."""

from dataclasses import dataclass
from pathlib import Path

import pytest

from lacewinglug.charts import CHART_NAMES, ChartError, load_chart, parse_chart
from lacewinglug.charts.drawing import draw_chart

PAGES = Path(__file__).parents[2] / "docs" / "charts"


@dataclass
class Model:
    chart_state: str


@pytest.mark.parametrize("name", CHART_NAMES)
def test_page_matches_file(name):
    page = (PAGES / f"{name}.md").read_text()
    assert page == draw_chart(load_chart(name)), (
        f"page of {name} is outdated; run python -m lacewinglug.charts docs/charts"
    )


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_event_follows_the_file(name):
    chart = load_chart(name)
    table = {
        (source, item.event): item.target
        for item in chart.transitions
        for source in chart.sources(item)
    }
    for state in chart.states:
        for event in chart.events:
            model = Model(chart_state=state)
            if (state, event) in table:
                assert chart.apply(model, event) == table[state, event]
                continue
            with pytest.raises(ChartError, match="does not allow"):
                chart.apply(model, event)
            assert model.chart_state == state


def test_two_objects_on_one_chart_keep_their_own_state():
    chart = load_chart("tenure")
    first, second = Model(chart.initial), Model(chart.initial)
    chart.apply(first, "win")
    assert (first.chart_state, second.chart_state) == ("held", "absent")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("title = 1", "initial"),
        ("title = ", "chart bad"),
        (
            'title = "t"\ninitial = "a"\n[states]\na = "A."\n'
            '[[transitions]]\nevent = "e"\nfrom = "a"\nto = "b"\n',
            "unknown state 'b'",
        ),
    ],
)
def test_error_of_an_invalid_file_names_the_problem(text, message):
    with pytest.raises(ChartError, match=message):
        parse_chart("bad", text)


def test_unknown_chart_or_event():
    with pytest.raises(ChartError, match="no chart"):
        load_chart("absent")
    with pytest.raises(ChartError, match="no event"):
        load_chart("tenure").apply(Model("absent"), "jump")
