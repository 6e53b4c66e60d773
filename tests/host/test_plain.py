"""Plain calls go to the nearest runner unless it is full, slow or failing."""

from lacewinglug.host.distance import Geography
from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerLoad
from lacewinglug.host.plain import choose_plain_runner
from tests.host.samples import REGIONS, make_runner

NEAR = make_runner("near", zone="mtl-a", address="10.0.0.1:80")
FAR = make_runner("far", zone="qc-a", address="10.0.0.2:80")


def choose(health, excluded=()):
    choice = choose_plain_runner(
        [NEAR, FAR],
        health=lambda instance: health.get(instance, RunnerHealth()),
        geography=Geography(regions=REGIONS),
        zone="mtl-a",
        now_s=0.0,
        excluded=excluded,
    )
    return choice.entry.instance


def test_the_near_runner_is_used_while_it_has_room():
    assert choose({}) == "near"
    assert choose({"near": RunnerHealth(outstanding=3)}) == "near"


def test_a_burst_spills_to_the_far_runner():
    assert choose({"near": RunnerHealth(outstanding=6)}) == "far"


def test_a_slow_runner_is_avoided():
    health = RunnerHealth()
    health.record_load(
        RunnerLoad(running=1, queued=0, slots=6, slowdown=2.5), now_s=0.0
    )
    assert choose({"near": health}) == "far"


def test_a_failing_runner_is_avoided():
    health = RunnerHealth()
    health.record_result(failed=True, now_s=0.0)
    assert choose({"near": health}) == "far"


def test_tried_and_blocked_runners_are_the_last_resort():
    blocked = RunnerHealth()
    blocked.record_unreachable(now_s=0.0)
    assert choose({"near": blocked}) == "far"
    assert choose({}, excluded={"near"}) == "far"
    assert choose({"far": blocked}, excluded={"near", "far"}) == "near"


def test_no_runner_gives_no_choice():
    found = choose_plain_runner(
        [],
        health=lambda _: RunnerHealth(),
        geography=Geography(regions={}),
        zone="mtl-a",
        now_s=0.0,
    )
    assert found is None
