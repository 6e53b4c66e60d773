"""Tests of ids that are unique across the fleet."""

import pytest

from lacewinglug.ids import IdFactory, MintedId, make_incarnation


def test_minted_id_can_be_parsed():
    incarnation = make_incarnation()
    ids = IdFactory(host="entry-1", incarnation=incarnation)
    ids.make()
    parsed = MintedId.parse(ids.make())
    assert parsed == MintedId(host="entry-1", incarnation=incarnation, sequence=2)


@pytest.mark.parametrize("text", ["", "order-7", "a.b.c", ".012345678901.1", "a.b"])
def test_other_text_is_not_an_id(text):
    assert MintedId.parse(text) is None
