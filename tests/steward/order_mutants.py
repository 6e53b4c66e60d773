"""Mutants of the rules on orders: each takes one rule away."""

from dataclasses import replace

import msgspec

from harness.order_scene import OrderScene
from lacewinglug.authority import orders, replay
from lacewinglug.authority.orders import ChangeLimits
from lacewinglug.steward import engine_change, tenures
from lacewinglug.steward.tenures import TenureKeeper
from lacewinglug.steward.turns import ServiceTurns


def ignore_fences(monkeypatch):
    original = OrderScene._make_engine
    monkeypatch.setattr(
        OrderScene, "_make_engine", lambda self, name, _: original(self, name, False)
    )


def ignore_numbers(monkeypatch):
    ignore_fences(monkeypatch)
    monkeypatch.setattr(orders, "tenure_offset", lambda _: -1)


def pass_exclusive_tenures(monkeypatch):
    monkeypatch.setattr(replay, "may_take_over", lambda *_: True)
    decide = tenures.decide_tenure
    monkeypatch.setattr(
        tenures,
        "decide_tenure",
        lambda state, domain, **options: decide(_as_passing(state), domain, **options),
    )


def _as_passing(state):
    passing = {
        name: replace(item, exclusive=False) for name, item in state.tenures.items()
    }
    return replace(state, tenures=passing)


def trust_stale_state(monkeypatch):
    async def confirm(self, domain, tenure):
        return True

    monkeypatch.setattr(TenureKeeper, "confirm", confirm)


def number_by_tenure_only(monkeypatch):
    monkeypatch.setattr(orders, "make_fencing_number", lambda tenure, _: tenure << 16)


def raise_no_fence(monkeypatch):
    edit_steps(
        monkeypatch,
        lambda change, reading: setattr(change, "confirmed_fencing_number", 0),
    )


def edit_steps(monkeypatch, before=lambda *_: None, **edits):
    """Change what the decision on the next step sees."""
    decide = engine_change.next_step

    def next_step(change, reading, wanted, **options):
        before(change, reading)
        seen = msgspec.structs.replace(reading, **edits)
        return decide(change, seen, wanted, **options)

    monkeypatch.setattr(engine_change, "next_step", next_step)


def order_while_changing(monkeypatch):
    edit_steps(monkeypatch, state="ready", running=0)


def change_without_drain(monkeypatch):
    edit_steps(monkeypatch, running=0)


def keep_withdrawn_holder(monkeypatch):
    monkeypatch.setattr(replay, "_end_tenures_of_host", lambda *_: None)


def pull_at_once(monkeypatch):
    monkeypatch.setattr(ChangeLimits, "may_begin", lambda *_, **__: True)


def take_no_turns(monkeypatch):
    monkeypatch.setattr(ServiceTurns, "has_turn", lambda *_, **__: True)
