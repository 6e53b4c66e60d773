"""The command line of the host."""

import json

from click.testing import CliRunner

from lacewinglug.ui import main
from tests.platform.scene import make_settings


def run(path, *arguments):
    return CliRunner().invoke(main, ["host", "--settings", str(path), *arguments])


def test_check_accepts_complete_settings(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(make_settings("127.0.0.1", "10.0.0.1:80")))
    done = run(path, "--check")
    assert (done.exit_code, "edge-1 are complete" in done.output) == (0, True)


def test_check_names_the_wrong_field(tmp_path):
    path = tmp_path / "local.json"
    settings = make_settings("127.0.0.1", "10.0.0.1:80")
    settings["Bounds"]["DrainMs"] = "soon"
    path.write_text(json.dumps(settings))
    done = run(path, "--check")
    assert done.exit_code == 2
    assert "$.Bounds.DrainMs" in done.output


def test_a_missing_file_names_the_remedy(tmp_path):
    done = run(tmp_path / "none.json", "--check")
    assert done.exit_code == 2
    assert "LACEWINGLUG_NODE_FILE" in done.output
