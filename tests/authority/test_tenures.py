"""Who claims a domain, on every kind of tenure and knowledge."""

import pytest

from harness.order_fakes import make_fleet
from lacewinglug.authority.domains import OrderDomain
from lacewinglug.authority.orders import fencing_number, tenure_of
from lacewinglug.authority.state import ControlState, Tenure
from lacewinglug.authority.tenures import (
    Claimant,
    ClaimTenure,
    HostKnowledge,
    LeaveTenure,
    WithdrawHolder,
    decide_tenure,
    rank_hosts,
)

FLEET = make_fleet(hosts=3, regions=2)
RANKED = rank_hosts(FLEET, "r0", "d")
FIRST, SECOND, THIRD = RANKED
LEAVE = LeaveTenure()


def holder(host, *, incarnation="9", exclusive=False):
    return Tenure(
        host=host, incarnation=incarnation, offset=7, machine=host, exclusive=exclusive
    )


def decide(me, tenure, *, live=RANKED, listed=None, withdrawn=(), draining=()):
    exclusive = tenure is not None and tenure.exclusive
    return decide_tenure(
        ControlState(
            tenures={"d": tenure} if tenure else {},
            withdrawn=set(withdrawn),
            draining=set(draining),
        ),
        OrderDomain(name="d", exclusive=exclusive),
        claimant=Claimant(host=me, incarnation="1", machine=me),
        ranked=RANKED,
        known=HostKnowledge(live=frozenset(live), listed=listed),
    )


@pytest.mark.parametrize(
    ("me", "tenure", "options", "expected"),
    [
        (FIRST, None, {}, ClaimTenure(supersedes=-1)),
        (SECOND, None, {}, LEAVE),
        (SECOND, None, {"live": [SECOND, THIRD]}, ClaimTenure(supersedes=-1)),
        (SECOND, None, {"draining": [FIRST]}, ClaimTenure(supersedes=-1)),
        (FIRST, None, {"withdrawn": [FIRST]}, LEAVE),
        (FIRST, holder(THIRD), {}, LEAVE),
        (FIRST, holder(FIRST, incarnation="1"), {}, LEAVE),
        (FIRST, holder(THIRD), {"live": [FIRST]}, ClaimTenure(supersedes=7)),
        (THIRD, holder(THIRD), {}, ClaimTenure(supersedes=7)),
        (THIRD, holder(THIRD, exclusive=True), {}, ClaimTenure(supersedes=7)),
        (FIRST, holder(THIRD, exclusive=True), {"live": [FIRST]}, LEAVE),
        (
            FIRST,
            holder(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset([FIRST, THIRD])},
            LEAVE,
        ),
        (
            FIRST,
            holder(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset([FIRST])},
            WithdrawHolder(host=THIRD),
        ),
        (
            FIRST,
            holder(THIRD, exclusive=True),
            {"live": [FIRST], "listed": frozenset()},
            LEAVE,
        ),
    ],
)
def test_decision(me, tenure, options, expected):
    assert decide(me, tenure, **options) == expected


def test_hosts_of_other_regions_hold_nothing():
    assert set(RANKED) == {"h0", "h2", "h4"}


def test_numbers_order_holders_before_orders():
    numbers = [fencing_number(*pair) for pair in [(3, 1), (3, 2), (3, 65535), (4, 1)]]
    assert numbers == sorted(numbers)
    assert [tenure_of(number) for number in numbers] == [3, 3, 3, 4]
