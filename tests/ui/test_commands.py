"""Tests of the command line."""

import subprocess
import sys
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from lacewinglug.ui import main

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
UNREACHABLE = "http://127.0.0.1:9"


def run(*arguments):
    return CliRunner().invoke(main, list(arguments))


def iter_commands(group, path=()):
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        yield (*path, name)
        if isinstance(command, click.Group):
            yield from iter_commands(command, (*path, name))


@pytest.mark.parametrize("path", list(iter_commands(main)), ids=" ".join)
def test_help_has_an_example(path):
    result = run(*path, "--help")
    assert result.exit_code == 0
    assert "Example: lacewinglug" in result.output


def test_steward_imports_no_web_framework():
    code = "import lacewinglug.ui.steward, sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(done.stdout.split())
    assert "aiohttp" in loaded
    assert not loaded & {"starlette", "uvicorn", "matplotlib"}


def test_check_of_broken_configuration_ends_with_2(tmp_path):
    (tmp_path / "a.toml").write_text("[regions.mtl]\n")
    result = run("check", str(tmp_path))
    assert result.exit_code == 2
    assert "regions.mtl.one_way_delay_s" in result.output


def test_publish_of_broken_configuration_sends_nothing(tmp_path):
    (tmp_path / "a.toml").write_text("[regions.mtl]\n")
    result = run("publish", str(tmp_path), "--log-url", UNREACHABLE)
    assert result.exit_code == 2
    assert "nothing published" in result.output


def test_publish_without_a_log_ends_with_4():
    folder = str(EXAMPLES / "fjeldrute")
    result = run("publish", folder, "--log-url", UNREACHABLE)
    assert result.exit_code == 4


def test_load_of_remote_hosts_needs_a_flag():
    plan = str(EXAMPLES / "load" / "mix-shift.toml")
    result = run("load", plan, "--entry", "http://192.0.2.1:80")
    assert result.exit_code == 2
    assert "--remote" in result.output
