"""Mutants that each disable one rule for orders."""

from dataclasses import replace

import msgspec

from harness.order_scene import OrderSimulation
from lacewinglug.authority import orders, replay
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.steward import engine_change, tenures
from lacewinglug.steward.tenures import TenureManager
from lacewinglug.steward.turns import ServiceTurns


def accept_any_number(monkeypatch):
    original = OrderSimulation._make_engine
    monkeypatch.setattr(
        OrderSimulation,
        "_make_engine",
        lambda self, name, _: original(self, name, False),
    )


def ignore_fencing_numbers(monkeypatch):
    accept_any_number(monkeypatch)
    monkeypatch.setattr(orders, "tenure_offset", lambda _: -1)


def transfer_exclusive_tenures(monkeypatch):
    monkeypatch.setattr(replay, "may_take_over", lambda *_: True)
    decide = tenures.decide_tenure
    monkeypatch.setattr(
        tenures,
        "decide_tenure",
        lambda state, domain, **options: decide(
            _without_exclusive_tenures(state), domain, **options
        ),
    )


def _without_exclusive_tenures(state):
    non_exclusive = {
        name: replace(item, exclusive=False) for name, item in state.tenures.items()
    }
    return replace(state, tenures=non_exclusive)


def skip_tenure_confirmation(monkeypatch):
    async def confirm(self, domain, tenure):
        return True

    monkeypatch.setattr(TenureManager, "confirm", confirm)


def omit_sequence_from_numbers(monkeypatch):
    monkeypatch.setattr(orders, "make_fencing_number", lambda tenure, _: tenure << 16)


def skip_raising_fence(monkeypatch):
    patch_next_step(
        monkeypatch,
        lambda change, reading: setattr(change, "confirmed_fencing_number", 0),
    )


def patch_next_step(monkeypatch, before=lambda *_: None, **edits):
    """Modify the inputs of the decision on the next step."""
    decide = engine_change.next_step

    def next_step(change, reading, desired, **options):
        before(change, reading)
        seen = msgspec.structs.replace(reading, **edits)
        return decide(change, seen, desired, **options)

    monkeypatch.setattr(engine_change, "next_step", next_step)


def order_while_changing(monkeypatch):
    patch_next_step(monkeypatch, state="ready", running=0)


def change_without_drain(monkeypatch):
    patch_next_step(monkeypatch, running=0)


def keep_tenures_of_withdrawn_host(monkeypatch):
    monkeypatch.setattr(replay, "_end_tenures_of_host", lambda *_: None)


def ignore_change_limits(monkeypatch):
    monkeypatch.setattr(ChangeLimits, "may_begin", lambda *_, **__: True)


def ignore_turns(monkeypatch):
    monkeypatch.setattr(ServiceTurns, "has_turn", lambda *_, **__: True)
