"""Settings are checked field by field, and unknown fields are ignored."""

import json

import pytest

from lacewinglug.errors import UserError
from lacewinglug.platform.settings import (
    decode_settings,
    find_settings_path,
    load_settings,
)
from tests.platform.scene import make_settings


def make_file():
    return make_settings("127.0.0.1", "10.200.1.7:8142")


def test_fields_are_decoded_into_units_of_their_names():
    given = make_file() | {"SomethingNew": {"a": 1}}
    settings = decode_settings(json.dumps(given).encode())
    assert settings.name == "edge-1"
    assert settings.drain_timeout_s == 2.5
    assert settings.lease_s == 3.0
    assert settings.retry_slack == 54
    assert settings.peer_port == given["InternalPorts"][0]
    assert settings.zone_regions == {"mtl-a": "mtl", "qc-a": "qc"}


@pytest.mark.parametrize("field", ["NodeName", "Ip", "Zone", "ListenAddrs", "Platform"])
def test_a_missing_field_is_named(field):
    given = make_file()
    del given[field]
    with pytest.raises(UserError, match=field):
        decode_settings(json.dumps(given).encode())


def test_a_wrong_type_is_named_with_its_place():
    given = make_file()
    given["Bounds"]["GraceS"] = "eight"
    with pytest.raises(UserError, match=r"\$\.Bounds\.GraceS"):
        decode_settings(json.dumps(given).encode())


def test_a_file_that_cannot_be_read_names_the_remedy(tmp_path):
    with pytest.raises(UserError, match="LACEWINGLUG_NODE_FILE"):
        load_settings(tmp_path / "none.json")
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    with pytest.raises(UserError, match=r"bad\.json"):
        load_settings(bad)


def test_the_environment_names_the_file():
    assert str(find_settings_path({"LACEWINGLUG_NODE_FILE": "/x/y"})) == "/x/y"
    assert find_settings_path({}).name == "local.json"
