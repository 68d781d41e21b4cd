"""Copies of the published state, and items that expire in an outage."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from jacinthcroft_decisions.membership import Changes, Item, PublishedState

KEYS = st.sampled_from(('a', 'b', 'c', 'd'))
VALUES = st.one_of(st.none(), st.binary(min_size=1, max_size=2))


@given(st.lists(st.tuples(KEYS, VALUES), max_size=12), st.randoms())
def test_copies_are_equal_whatever_the_order_of_changes(
    writes: list[tuple[str, bytes | None]],
    random: Random,
) -> None:
    items = [
        Item(key, revision, content)
        for revision, (key, content) in enumerate(writes, start=1)
    ]
    shuffled = items.copy()
    random.shuffle(shuffled)
    copies = []
    for order in (items, shuffled):
        copy = PublishedState(confirmed_at=0)
        for item in order:
            changes = Changes((item,), item.revision, is_whole=False)
            copy.merge(changes, 0)
        copies.append(copy.live_values(0))
    assert copies[0] == copies[1]


@given(st.lists(st.tuples(KEYS, VALUES), max_size=12), st.integers(0, 12))
def test_changes_alone_bring_a_copy_up_to_date(
    writes: list[tuple[str, bytes | None]],
    merged_revision: int,
) -> None:
    source = PublishedState(confirmed_at=0)
    follower = PublishedState(confirmed_at=0)
    for revision, (key, content) in enumerate(writes, start=1):
        item = Item(key, revision, content)
        changes = Changes((item,), revision, is_whole=False)
        source.merge(changes, 0)
        if revision <= merged_revision:
            follower.merge(changes, 0)
    follower.merge(source.changes_since(follower.version), 0)
    assert follower.live_values(0) == source.live_values(0)


def _merge_items(
    copy: PublishedState,
    now: float,
    *items: Item,
    is_whole: bool = False,
) -> None:
    version = max((item.revision for item in items), default=copy.version)
    copy.merge(Changes(items, version, is_whole=is_whole), now)


def test_a_deleted_item_is_dropped_at_once_without_an_outage() -> None:
    copy = PublishedState()
    copy.mark_confirmed(0)
    _merge_items(copy, 0, Item('a', 1, b'x'))
    _merge_items(copy, 0.5, Item('a', 2, None))
    assert copy.live_values(0.5) == {}


def test_an_item_that_expired_in_an_outage_stays_until_its_return() -> None:
    copy = PublishedState()
    copy.mark_confirmed(0)
    _merge_items(copy, 0, Item('a', 1, b'x'))
    _merge_items(copy, 8, Item('a', 2, None))
    copy.mark_confirmed(8)
    assert 'a' in copy.live_values(9)
    _merge_items(copy, 9.5, Item('a', 3, b'x'))
    assert 'a' in copy.live_values(20)


def test_an_item_that_is_still_missing_after_an_outage_is_dropped() -> None:
    copy = PublishedState()
    copy.mark_confirmed(0)
    _merge_items(copy, 0, Item('a', 1, b'x'))
    _merge_items(copy, 8, Item('a', 2, None))
    copy.mark_confirmed(8)
    assert copy.live_values(10.5) == {}


def test_a_whole_reading_drops_items_that_it_does_not_list() -> None:
    copy = PublishedState()
    copy.mark_confirmed(0)
    _merge_items(copy, 0, Item('a', 1, b'x'), Item('b', 2, b'y'))
    _merge_items(copy, 1, Item('b', 2, b'y'), Item('c', 5, b'z'), is_whole=True)
    assert set(copy.live_values(1)) == {'b', 'c'}


def test_an_older_whole_reading_changes_nothing() -> None:
    copy = PublishedState()
    copy.mark_confirmed(0)
    _merge_items(copy, 0, Item('a', 7, b'new'))
    _merge_items(copy, 1, Item('a', 3, b'old'), is_whole=True)
    assert copy.live_values(1) == {'a': (7, b'new')}
