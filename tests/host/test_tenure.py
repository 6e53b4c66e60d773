"""One holder at a time gives orders, whatever is paused, lost or raced."""

import asyncio

from lacewinglug.host.tenure import (
    CLAIM_MARGIN_S,
    CONFIRMED_FOR_S,
    REFUSED_PAUSE_S,
    TenureKeeper,
)
from lacewinglug.platform.store import StoreError


class Log:
    """A topic of the store, with a switch for outages."""

    def __init__(self):
        self.records = []
        self.down = False
        self.lose_reply = False

    async def read_records(self, _topic, *, from_offset):
        if self.down:
            raise StoreError("down")
        return self.records[from_offset:], len(self.records)

    async def append_at(self, _topic, data, *, offset):
        if self.down:
            raise StoreError("down")
        if offset != len(self.records):
            return False
        self.records.append(data)
        if self.lose_reply:
            raise StoreError("reply lost")
        return True


class Time:
    """Virtual time that sleeping moves on."""

    def __init__(self):
        self.now = 0.0
        self.slept = []

    def now_s(self):
        return self.now

    async def sleep(self, delay_s):
        self.slept.append(delay_s)
        self.now += delay_s


def make_keeper(log, time, host, ip="10.0.0.1"):
    return TenureKeeper(
        store=log,
        host=host,
        ip=ip,
        incarnation=1,
        lease_s=3.0,
        now_s=time.now_s,
        sleep=time.sleep,
        boot_time_s=time.now_s,
    )


def run(coroutine):
    return asyncio.run(coroutine)


def test_a_claim_waits_out_the_lease_before_its_first_order():
    log, time = Log(), Time()
    tenure = run(make_keeper(log, time, "a").acquire())
    assert tenure.fencing_number == 1
    assert time.slept == [3.0 + CLAIM_MARGIN_S]


def test_a_restarted_host_that_alone_has_claimed_waits_for_no_lease():
    """fresh-be97 of skibus-pladser: all hosts were killed while no engine streamed."""
    log, time = Log(), Time()
    run(make_keeper(log, time, "a").acquire())
    time.slept.clear()
    assert run(make_keeper(log, time, "a").acquire()).fencing_number == 2
    assert time.slept == [CLAIM_MARGIN_S]


def test_a_restarted_host_waits_for_the_lease_of_any_other_host():
    """It may have been killed while it waited for the lease itself."""
    log, time = Log(), Time()
    for host in ("b", "a", "a"):
        time.slept.clear()
        run(make_keeper(log, time, host).acquire())
        assert time.slept == [3.0 + CLAIM_MARGIN_S]


def test_another_machine_under_the_same_name_waits_for_the_lease():
    log, time = Log(), Time()
    run(make_keeper(log, time, "a").acquire())
    time.slept.clear()
    run(make_keeper(log, time, "a", ip="10.0.0.2").acquire())
    assert time.slept == [3.0 + CLAIM_MARGIN_S]


def test_a_log_that_has_lost_claims_tells_of_no_other_holder():
    log, time = Log(), Time()
    for _ in range(2):
        run(make_keeper(log, time, "a").acquire())
    kept = log.records[1:]
    log.read_records = lambda *_, from_offset: _answer(kept, 2, from_offset)
    time.slept.clear()
    run(make_keeper(log, time, "a").acquire())
    assert time.slept[0] == 3.0 + CLAIM_MARGIN_S


async def _answer(records, end, from_offset):
    return (records if from_offset < end else []), end


def test_a_later_claim_ends_the_tenure_before_the_next_order():
    log, time = Log(), Time()
    first = make_keeper(log, time, "a")
    second = make_keeper(log, time, "b")
    run(first.acquire())
    later = run(second.acquire())
    assert later.fencing_number == 2
    assert not run(first.still_holds())
    assert run(first.acquire()) is None


def test_a_superseded_holder_pauses_before_it_claims_again():
    log, time = Log(), Time()
    first = make_keeper(log, time, "a")
    run(first.acquire())
    run(make_keeper(log, time, "b").acquire())
    assert run(first.acquire()) is None
    assert len(log.records) == 2
    time.now += REFUSED_PAUSE_S + 0.1
    assert run(first.acquire()).fencing_number == 3


def test_no_order_while_the_store_is_down():
    log, time = Log(), Time()
    keeper = make_keeper(log, time, "a")
    run(keeper.acquire())
    log.down = True
    assert run(keeper.acquire()) is None
    log.down = False
    assert run(keeper.acquire()).fencing_number == 1


def test_a_claim_whose_reply_was_lost_gives_no_authority():
    log, time = Log(), Time()
    keeper = make_keeper(log, time, "a")
    log.lose_reply = True
    assert run(keeper.acquire()) is None
    log.lose_reply = False
    assert run(keeper.acquire()).fencing_number == 2


def test_a_fenced_holder_stops_at_once():
    log, time = Log(), Time()
    keeper = make_keeper(log, time, "a")
    run(keeper.acquire())
    keeper.note_fenced()
    assert run(keeper.acquire()) is None
    assert len(log.records) == 1


def test_a_holder_that_was_suspended_after_its_check_sends_nothing():
    log, time = Log(), Time()
    keeper = make_keeper(log, time, "a")
    assert not keeper.is_fresh()
    run(keeper.acquire())
    assert keeper.is_fresh()
    time.now += CONFIRMED_FOR_S + 0.1
    assert not keeper.is_fresh()
    assert run(keeper.still_holds())
    assert keeper.is_fresh()
    keeper.note_fenced()
    assert not keeper.is_fresh()
