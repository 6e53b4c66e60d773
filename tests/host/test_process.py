"""A host serves on when one of its tasks meets an error that nobody expected."""

import asyncio

import pytest

from lacewinglug.host.peers import PeerProtocol
from lacewinglug.host.process import HostProcess
from lacewinglug.host.steward import StageController
from lacewinglug.host.watch import StoreWatcher
from tests.host.test_relay import make_app_runner, make_engines, running_scene


class _FailingOnce:
    """Stands in for a method; fails on the first call that it gets."""

    def __init__(self, owner, name):
        self.original = getattr(owner, name)
        self.calls = 0

    def replacement(self):
        def call(owner, *args, **fields):
            self.calls += 1
            if self.calls == 1:
                raise ZeroDivisionError("planted")
            return self.original(owner, *args, **fields)

        return call


# Regression test: such an error ended the whole process with all requests on it.
@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (StoreWatcher, "_wait_for_new_configuration"),
        (StoreWatcher, "_has_shared_view"),
        (StoreWatcher, "_read_hosts"),
        (PeerProtocol, "send_heartbeat"),
        (PeerProtocol, "_choose_relays"),
        (StageController, "record_demand"),
        (HostProcess, "_stat_settings"),
    ],
)
async def test_a_task_that_fails_unexpectedly_runs_again(owner, method, monkeypatch):
    failing = _FailingOnce(owner, method)
    monkeypatch.setattr(owner, method, failing.replacement())
    async with running_scene(make_app_runner(), *make_engines()) as scene:
        while failing.calls < 2:
            await asyncio.sleep(0.05)
            await scene.send_request("/ask/1")
        assert (await scene.send_request("/unlock/7")).status == 200
        metrics = scene.process._metrics.render().decode()
    assert 'internal_errors_total{error="ZeroDivisionError"' in metrics


async def test_a_task_that_always_fails_is_tried_again_at_a_bounded_rate(monkeypatch):
    tries = 0

    def fail(_self):
        nonlocal tries
        tries += 1
        raise ZeroDivisionError("planted")

    monkeypatch.setattr(HostProcess, "_stat_settings", fail)
    async with running_scene(make_app_runner()) as scene:
        while tries < 3:
            await asyncio.sleep(0.02)
        first_s = asyncio.get_running_loop().time()
        while tries < 6:
            await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - first_s > 1.0
        assert (await scene.send_request("/unlock/7")).status == 200


async def test_a_host_that_cannot_announce_its_shutdown_finishes_its_requests(
    monkeypatch,
):
    """Regression test: the error ended the process with the requests in progress."""
    runner = make_app_runner()
    runner.mode, runner.pause_s = "pause", 1.0
    send = PeerProtocol.send_heartbeat

    def fail(self, *, to_all_hosts=False):
        if to_all_hosts:
            raise ZeroDivisionError("planted")
        send(self)

    monkeypatch.setattr(PeerProtocol, "send_heartbeat", fail)
    async with running_scene(runner) as scene:
        waiting = asyncio.create_task(scene.send_request("/unlock/7"))
        while not runner.runs:
            await asyncio.sleep(0.01)
        scene.process.stop_requested.set()
        assert (await waiting).status == 200
