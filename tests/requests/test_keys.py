"""Tests of the forms of keys."""

import pytest

from lacewinglug.requests.keys import (
    KeyMinter,
    MintedKey,
    is_valid_key,
    key_time_s,
    own_key_id,
    resembles_minted,
)


def test_minted_key_is_bound_to_its_organisation_and_minter():
    minters = [
        KeyMinter(host="entry-1", incarnation="0" * 12, secret=secret, window=1000)
        for secret in (b"a", b"b")
    ]
    key = MintedKey.parse(minters[0].mint("north"))
    minters[1].mint("north")
    assert minters[0].is_genuine(key, "north")
    assert not minters[0].is_genuine(key, "south")
    assert not minters[1].is_genuine(key, "north")


@pytest.mark.parametrize(
    "text",
    [
        "entry-1.000000000000.1",
        "entry-1.000000000000.1.0123456789abcde",
        "entry-1/x.000000000000.1.0123456789abcdef",
        f"entry-1.000000000000.{'9' * 40}.0123456789abcdef",
    ],
)
def test_damaged_minted_key_is_neither_minted_nor_own(text):
    assert MintedKey.parse(text) is None
    assert resembles_minted(text)


@pytest.mark.parametrize("text", ["", "a" * 256, "a\n", "\u00e5"])
def test_text_that_is_no_key(text):
    assert not is_valid_key(text)


def test_ids_of_own_keys_differ_by_organisation_service_and_key():
    parts = [("a", "b", "c"), ("ab", "", "c"), ("a", "bc", ""), ("b", "b", "c")]
    ids = {own_key_id(organisation=o, service=s, key=k) for o, s, k in parts}
    assert len(ids) == len(parts)


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("018f0000-0000-7000-8000-000000000000", 0x018F00000000 / 1000),
        ("018f0000-0000-4000-8000-000000000000", None),
        ("order-7", None),
    ],
)
def test_time_is_read_from_uuids_of_version_7(key, expected):
    assert key_time_s(key) == expected
