"""Tests of the decision to claim a tenure and of fencing numbers."""

import pytest

from harness.order_fakes import make_fleet
from lacewinglug.authority.domains import OrderDomain
from lacewinglug.authority.orders import make_fencing_number, tenure_offset
from lacewinglug.authority.state import ControlState, Tenure
from lacewinglug.authority.tenures import (
    Claimant,
    ClaimTenure,
    HostView,
    KeepTenure,
    WithdrawHolder,
    decide_tenure,
    rank_domain_hosts,
)

FLEET = make_fleet(hosts=3, regions=2)
RANKED = rank_domain_hosts(FLEET, "r0", "d")
FIRST, SECOND, THIRD = RANKED
KEEP = KeepTenure()


def make_tenure(host, *, incarnation="9", exclusive=False):
    return Tenure(
        host=host, incarnation=incarnation, offset=7, machine=host, exclusive=exclusive
    )


def decide(host, tenure, *, live=RANKED, listed=None, withdrawn=(), draining=()):
    exclusive = tenure is not None and tenure.exclusive
    return decide_tenure(
        ControlState(
            tenures={"d": tenure} if tenure else {},
            withdrawn=set(withdrawn),
            draining=set(draining),
        ),
        OrderDomain(name="d", exclusive=exclusive),
        claimant=Claimant(host=host, incarnation="1", machine=host),
        ranked=RANKED,
        hosts=HostView(live=frozenset(live), listed=listed),
    )


@pytest.mark.parametrize(
    ("host", "tenure", "options", "expected"),
    [
        (FIRST, None, {}, ClaimTenure(supersedes=-1)),
        (SECOND, None, {}, KEEP),
        (SECOND, None, {"live": [SECOND, THIRD]}, ClaimTenure(supersedes=-1)),
        (SECOND, None, {"draining": [FIRST]}, ClaimTenure(supersedes=-1)),
        (FIRST, None, {"withdrawn": [FIRST]}, KEEP),
        (FIRST, make_tenure(THIRD), {}, KEEP),
        (FIRST, make_tenure(FIRST, incarnation="1"), {}, KEEP),
        (FIRST, make_tenure(THIRD), {"live": [FIRST]}, ClaimTenure(supersedes=7)),
        (THIRD, make_tenure(THIRD), {}, ClaimTenure(supersedes=7)),
        (THIRD, make_tenure(THIRD, exclusive=True), {}, ClaimTenure(supersedes=7)),
        (FIRST, make_tenure(THIRD, exclusive=True), {"live": [FIRST]}, KEEP),
        (
            FIRST,
            make_tenure(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset([FIRST, THIRD])},
            KEEP,
        ),
        (
            FIRST,
            make_tenure(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset([FIRST])},
            WithdrawHolder(host=THIRD),
        ),
        (
            FIRST,
            make_tenure(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset()},
            KEEP,
        ),
    ],
)
def test_decide_tenure(host, tenure, options, expected):
    assert decide(host, tenure, **options) == expected


def test_only_hosts_of_the_region_are_ranked():
    assert set(RANKED) == {"h0", "h2", "h4"}


def test_fencing_numbers_rise_with_tenure_then_sequence():
    numbers = [
        make_fencing_number(*pair) for pair in [(3, 1), (3, 2), (3, 65535), (4, 1)]
    ]
    assert numbers == sorted(numbers)
    assert [tenure_offset(number) for number in numbers] == [3, 3, 3, 4]
