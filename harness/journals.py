"""Checks the journals of orders that engines received."""

from collections.abc import Iterable

from lacewinglug.authority.orders import tenure_offset
from lacewinglug.standin.engine_control import OrderEvent


def find_order_violations(events: Iterable[OrderEvent]) -> list[str]:
    """Return what an engine's journal shows against the promises on orders.

    Accepted fencing numbers never go down, one change is in progress at a time,
    each tenure has one sender and, once another one was heard of, no order more,
    and no change cuts a prompt.
    """
    violations = []
    highest = -1
    holders: list[tuple[int, str]] = []
    for event in events:
        order = event.order
        if event.kind == "begun" and event.running > 0:
            violations.append(f"{order.order_id} cut {event.running} prompts")
        if event.kind != "accepted":
            continue
        if order.fencing_number < highest:
            violations.append(f"{order.order_id} accepted below number {highest}")
        highest = max(highest, order.fencing_number)
        if event.during_change and order.target is not None:
            violations.append(f"{order.order_id} arrived during a change")
        holder = (tenure_offset(order.fencing_number), order.sender)
        if holder in holders[:-1]:
            violations.append(f"{order.order_id} interleaves with {holders[-1]}")
        if not holders or holders[-1] != holder:
            holders.append(holder)
    return violations
