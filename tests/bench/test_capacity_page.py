"""Tests that the capacity page and its figures agree."""

import pytest

from bench.capacity.page import PAGE_PATH, fill_tables, read_data
from bench.capacity.slopes import fit_slope


def test_page_shows_the_measured_figures():
    page = PAGE_PATH.read_text()
    assert fill_tables(page, read_data()) == page, "run make capacity"


def test_every_slope_has_three_sizes():
    assert all(len(item.sizes) >= 3 for item in read_data().slopes)


def test_page_without_markers_is_refused():
    with pytest.raises(ValueError, match="add its markers"):
        fill_tables("no table here", read_data())


def test_fit_of_a_line_has_no_residual():
    slope = fit_slope("x", per="y", sizes=[1, 2, 4], values=[3.0, 5.0, 9.0])
    assert (slope.slope, slope.intercept) == pytest.approx((2.0, 1.0))
    assert slope.residual_ratio == pytest.approx(0.0, abs=1e-12)
    assert slope.at(10) == pytest.approx(21.0)
