"""What a host believes of engines: cached parts, waits and paces."""

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.backlog import PRIORITIES, ReadingBacklog
from lacewinglug.host.engines import (
    FIRST_TOKEN_S,
    EngineBook,
    EngineWork,
    find_holder,
)
from lacewinglug.host.model import Prompt, PromptPart, Stage
from lacewinglug.host.ranks import LAST_RANK, choose_rank
from lacewinglug.host.residency import CAPACITY_SHARE, Residency, key_parts
from tests.host.samples import PROFILE, make_engine, make_keyed_parts


def make_book(*instances):
    book = EngineBook()
    accounts = book.accounts([make_engine(item) for item in instances], PROFILE)
    return book, accounts


def test_parts_are_found_only_behind_the_same_beginning():
    def chain(*ids):
        parts = tuple(PromptPart(part_id=item, tokens=10) for item in ids)
        prompt = Prompt(model="m", prompt_tokens=30, max_output_tokens=1, parts=parts)
        return key_parts(prompt)

    residency = Residency(capacity_tokens=1000)
    residency.add(chain("a", "b"), ready_s=0.0)
    assert residency.matched_tokens(chain("a", "b", "c")) == 20
    assert residency.matched_tokens(chain("x", "b", "c")) == 0


def test_a_part_counts_for_others_once_it_was_read():
    residency = Residency(capacity_tokens=1000)
    parts = make_keyed_parts((1, 100))
    residency.add(parts, ready_s=5.0)
    assert residency.matched_tokens(parts) == 100
    assert residency.matched_tokens(parts, by_s=4.0) == 0
    assert residency.matched_tokens(parts, by_s=5.0) == 100


@given(sizes=st.lists(st.integers(1, 400), min_size=1, max_size=60))
def test_the_oldest_parts_yield(sizes):
    residency = Residency(capacity_tokens=1000)
    for key, tokens in enumerate(sizes):
        residency.add(make_keyed_parts((key, tokens)), ready_s=0.0)
    kept = [
        key
        for key, tokens in enumerate(sizes)
        if residency.matched_tokens(make_keyed_parts((key, tokens))) > 0
    ]
    assert sum(sizes[key] for key in kept) <= 1000 * CAPACITY_SHARE
    assert kept == list(range(len(sizes) - len(kept), len(sizes)))


@given(
    works=st.lists(
        st.tuples(st.integers(0, PRIORITIES - 1), st.floats(0, 1)), max_size=40
    )
)
def test_less_urgent_prompts_never_wait_less(works):
    backlog = ReadingBacklog()
    for rank, work_s in works:
        backlog.add(rank, work_s, now_s=0.0)
    waits = [backlog.wait_s(rank, now_s=0.0) for rank in range(PRIORITIES)]
    assert waits == sorted(waits)


def test_the_holder_is_the_engine_that_has_read_the_most():
    book, accounts = make_book("a", "b")
    parts = make_keyed_parts((1, 100), (2, 200))
    for instance, count in (("a", 1), ("b", 2)):
        work = EngineWork(
            instance=instance, priority=0, work_s=0.1, parts=parts[:count]
        )
        book.note_work(work, now_s=0.0)
    assert find_holder(accounts, parts, now_s=0.0) == (None, 0)
    holder, tokens = find_holder(accounts, parts, now_s=1.0)
    assert (holder.entry.instance, tokens) == ("b", 300)


def test_a_restarted_engine_holds_nothing():
    book, _ = make_book("a")
    parts = make_keyed_parts((1, 100))
    book.note_work(
        EngineWork(instance="a", priority=0, work_s=0.0, parts=parts), now_s=0.0
    )
    engine = make_engine("a")
    again = type(engine)(**{**_fields(engine), "born_ms": 7})
    (account,) = book.accounts([again], PROFILE)
    assert account.residency.matched_tokens(parts) == 0


def _fields(entry):
    return {name: getattr(entry, name) for name in entry.__dataclass_fields__}


def test_streams_of_silent_hosts_do_not_count():
    book, _ = make_book("a")
    book.note_streams("edge-1", {"a": 3}, now_s=0.0)
    book.note_streams("edge-2", {"a": 2}, now_s=2.0)
    assert book.streams_elsewhere(now_s=2.5) == {"a": 5}
    assert book.streams_elsewhere(now_s=4.0) == {"a": 2}


def test_reading_is_slower_on_decode_engines():
    book = EngineBook()
    decode, prefill = book.accounts(
        [make_engine("a"), make_engine("b", stage=Stage.PREFILL)], PROFILE
    )
    assert prefill.reading_s(new_tokens=4000, cached_tokens=0) < decode.reading_s(
        new_tokens=4000, cached_tokens=0
    )


def test_short_prompts_take_the_step_that_ends_each_reading():
    """Many short prompts fill an engine that reads few tokens."""
    book, (account,) = make_book("a")
    work_s = account.reading_s(new_tokens=100, cached_tokens=0)
    for _ in range(20):
        work = EngineWork(instance="a", priority=0, work_s=work_s, parts=())
        book.note_work(work, now_s=0.0)
    assert account.backlog.wait_s(0, now_s=0.0) > 20 * FIRST_TOKEN_S
    assert not account.backlog.idle(now_s=20 * FIRST_TOKEN_S)
    assert account.backlog.idle(now_s=1.0)


def test_short_readings_go_first_and_tight_aims_before_wide_ones():
    assert choose_rank(left_s=1.2, reading_s=0.01) == 0
    tight = choose_rank(left_s=0.6, reading_s=0.2)
    wide = choose_rank(left_s=1.0, reading_s=0.1)
    assert 0 < tight < wide <= LAST_RANK
    assert choose_rank(left_s=-3.0, reading_s=0.5) == 1
