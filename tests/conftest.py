"""Makes runs repeatable, and passes over the failures that KNOWN-RED.txt lists."""

import gc
from pathlib import Path

import pytest
from hypothesis import settings

# Every run draws the same examples and sets no bound on wall-clock time.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the listed tests with the entry of each."""
    if not KNOWN_RED_PATH.exists():
        return {}
    entries = {}
    for block in KNOWN_RED_PATH.read_text().split("\n\n"):
        for line in block.splitlines():
            name, _, value = line.partition(": ")
            if name == "test":
                # An entry of one line goes on behind the name.
                entries[value.partition("; ")[0].strip()] = block.strip()
    return entries


KNOWN_RED = read_known_red()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Report a listed failure as an expected one."""
    if call.excinfo is not None:
        # Python 3.11 cannot parse the source for the traceback if a destructor whose
        # error is formatted runs meanwhile; SystemError would end the whole run.
        gc.collect()
    report = yield
    if report.failed and item.nodeid in KNOWN_RED:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    return report


def pytest_terminal_summary(terminalreporter):
    """Print every listed test that ran, and whether it failed this time."""
    outcomes = {
        report.nodeid: category
        for category in ("passed", "xfailed")
        for report in terminalreporter.stats.get(category, [])
    }
    listed = [nodeid for nodeid in KNOWN_RED if nodeid in outcomes]
    if not listed:
        return
    terminalreporter.section("known red")
    for nodeid in listed:
        failed = outcomes[nodeid] == "xfailed"
        state = "failed" if failed else "did not fail: remove its entry"
        terminalreporter.write_line(f"{nodeid}: {state}\n{KNOWN_RED[nodeid]}\n")
