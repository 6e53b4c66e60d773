"""Checks the order journals of engines for protocol violations."""

from collections.abc import Iterable

from lacewinglug.authority.orders import tenure_offset
from lacewinglug.standin.engine_control import OrderEvent


def find_order_violations(events: Iterable[OrderEvent]) -> list[str]:
    """Return the violations of the order guarantees in the journal of an engine.

    The guarantees: accepted fencing numbers never decrease, one change is in
    progress at a time, each tenure has one sender, whose orders are no longer
    accepted once another holder's order was, and no change interrupts a prompt.
    """
    violations = []
    highest = -1
    holders: list[tuple[int, str]] = []
    for event in events:
        order = event.order
        if event.kind == "begun" and event.running > 0:
            violations.append(
                f"{order.order_id} interrupted {event.running} running prompts"
            )
        if event.kind != "accepted":
            continue
        if order.fencing_number < highest:
            violations.append(
                f"{order.order_id} was accepted with a fencing number below {highest}"
            )
        highest = max(highest, order.fencing_number)
        if event.during_change and order.target is not None:
            violations.append(f"{order.order_id} was accepted during another change")
        holder = (tenure_offset(order.fencing_number), order.sender)
        if holder in holders[:-1]:
            violations.append(
                f"{order.order_id} was accepted after an order of {holders[-1]}"
            )
        if not holders or holders[-1] != holder:
            holders.append(holder)
    return violations
