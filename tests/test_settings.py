"""Tests of the layers and checks of process settings."""

import pytest

from lacewinglug.errors import UserError
from lacewinglug.settings import Settings

MINIMAL = """
[host]
name = "entry-1"
availability_zone = "mtl-a"

[platform]
log_url = "http://127.0.0.1:1"
host_list_url = "http://127.0.0.1:1"
weight_store_url = "http://127.0.0.1:1"
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(MINIMAL)
    return path


def test_defaults_fill_what_the_file_leaves_out(path):
    assert Settings.load(path=path).entry.port == 8700


def test_environment_goes_over_the_file_and_options_over_it(path):
    environment = {"LACEWINGLUG_ENTRY__PORT": "9000", "LACEWINGLUG_LOG_URL": "x"}
    settings = Settings.load(path=path, environment=environment)
    assert settings.entry.port == 9000
    overrides = ["entry.port=9001"]
    settings = Settings.load(path=path, environment=environment, overrides=overrides)
    assert settings.entry.port == 9001


@pytest.mark.parametrize(
    ("override", "expected"),
    [
        ("entry.port=0", "entry.port"),
        ("entry.ports=1", "entry.ports"),
        ("gateway.port=1", "no section 'gateway'"),
        ("entry.port", "section.field=value"),
        ("platform.log_url=ftp://x", "platform.log_url"),
        ("logging.format=xml", "logging.format"),
    ],
)
def test_wrong_value_names_the_field(path, override, expected):
    with pytest.raises(UserError, match="set|section") as caught:
        Settings.load(path=path, overrides=[override])
    assert expected in str(caught.value)


def test_missing_host_name_is_refused():
    with pytest.raises(UserError, match="host.name"):
        Settings.load()


def test_unreadable_file_is_refused(tmp_path):
    with pytest.raises(UserError, match="check --settings"):
        Settings.load(path=tmp_path / "none.toml")
