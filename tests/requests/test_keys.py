"""Tests of parsing and verifying idempotency keys."""

import pytest

from lacewinglug.requests.keys import (
    KeyMinter,
    MintedKey,
    has_minted_key_prefix,
    is_valid_supplied_key,
    supplied_key_id,
    uuid7_time_s,
)


def test_minted_key_is_authentic_only_for_its_organisation_and_minter():
    minters = [
        KeyMinter(host="entry-1", incarnation="0" * 12, secret=secret, window_size=1000)
        for secret in (b"a", b"b")
    ]
    key = MintedKey.parse(minters[0].mint("north"))
    minters[1].mint("north")
    assert minters[0].is_authentic(key, "north")
    assert not minters[0].is_authentic(key, "south")
    assert not minters[1].is_authentic(key, "north")


@pytest.mark.parametrize(
    "text",
    [
        "entry-1.000000000000.1",
        "entry-1.000000000000.1.0123456789abcde",
        "entry-1/x.000000000000.1.0123456789abcdef",
        f"entry-1.000000000000.{'9' * 40}.0123456789abcdef",
    ],
)
def test_malformed_minted_key_is_neither_minted_nor_supplied(text):
    assert MintedKey.parse(text) is None
    assert has_minted_key_prefix(text)


@pytest.mark.parametrize("text", ["", "a" * 256, "a\n", "\u00e5"])
def test_invalid_supplied_key_is_rejected(text):
    assert not is_valid_supplied_key(text)


def test_supplied_key_ids_differ_by_organisation_service_and_key():
    parts = [("a", "b", "c"), ("ab", "", "c"), ("a", "bc", ""), ("b", "b", "c")]
    ids = {supplied_key_id(organisation=o, service=s, key=k) for o, s, k in parts}
    assert len(ids) == len(parts)


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("018f0000-0000-7000-8000-000000000000", 0x018F00000000 / 1000),
        ("018f0000-0000-4000-8000-000000000000", None),
        ("order-7", None),
    ],
)
def test_timestamp_is_read_only_from_version_7_uuids(key, expected):
    assert uuid7_time_s(key) == expected
