"""A failed request is explained from the logs of several hosts."""

import json

from click.testing import CliRunner

from lacewinglug.ui import main

END = {
    "time": "2026-12-04T08:43:16+0000",
    "level": "warning",
    "host": "edge-qc-a-2",
    "request_id": "549a3b1247dd953b",
    "message": "request ended",
    "outcome": "timed_out",
    "status": 504,
    "took_ms": 401,
    "route": "r-hw9jqdx",
    "service": "daxa89b",
    "configuration_version": 3,
    "view_age_s": 0.641,
    "steps": [
        {"step": "place", "after_ms": 0, "runner": "i-27f9", "expected_ms": 80},
        {"step": "outcome", "after_ms": 300, "result": "lost: no answer in time"},
    ],
}


def run(*arguments, text=None):
    return CliRunner().invoke(main, ["explain", *arguments], input=text)


def test_the_story_of_two_attempts(tmp_path, snapshot):
    first = tmp_path / "edge-1.log"
    later = END | {"time": "2026-12-04T08:43:17+0000", "outcome": "answered"}
    first.write_text(f"not JSON 549a3b1247dd953b\n  1.4 edge {json.dumps(later)}\n")
    second = tmp_path / "edge-2.log"
    second.write_text(f"{json.dumps(END)}\n{json.dumps(END | {'request_id': 'x'})}\n")
    done = run("549a3b1247dd953b", str(first), str(second))
    assert done.exit_code == 0
    assert done.output == snapshot


def test_standard_input():
    assert "504" in run("549a3b1247dd953b", text=json.dumps(END)).output


def test_an_unknown_request_and_a_missing_file_name_the_remedy(tmp_path):
    done = run("549a", text=json.dumps(END))
    assert (done.exit_code, "logs of all hosts" in done.output) == (1, True)
    done = run("549a", str(tmp_path / "none.log"))
    assert (done.exit_code, "readable file" in done.output) == (2, True)
