"""Short seeded soaks of real processes; ``make soak`` plays more of them."""

import pytest

from tests.soak.play import play

SEEDS = (3, 20)
"""Seeds with stops, pauses, kills, drains and a store that is away, in overlap."""

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    evidence, broken = play(seed, tmp_path)
    assert broken == []
    assert any(item.status == 200 and item.whole for item in evidence.sent)
