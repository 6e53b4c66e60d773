"""Tests of the bounds that a host derives from its machine."""

import pytest

from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.memory.limits import (
    ACCEPT_BATCH,
    MIN_CONNECTIONS,
    OWN_DESCRIPTORS,
    OWN_MEMORY_MB,
    UNREAD_CONNECTION_BYTES,
    MachineLimits,
)
from tests.platform.scene import make_settings
from tests.platform.test_settings import decode_settings, json


@pytest.mark.parametrize("descriptors", [256, 1_638, 8_192])
def test_all_connections_together_stay_within_the_descriptors(descriptors):
    """Guards against shares that exceed the whole."""
    limits = MachineLimits(descriptors=descriptors)
    total = limits.max_client_connections + limits.max_internal_connections
    total += limits.max_upstream_connections + OWN_DESCRIPTORS + ACCEPT_BATCH
    assert total <= descriptors


@pytest.mark.parametrize("descriptors", [256, 1_638, 8_192])
def test_the_directory_leaves_connections_to_the_other_listeners(descriptors):
    """Guards against listeners that share a bound."""
    limits = MachineLimits(descriptors=descriptors)
    left = limits.max_internal_connections - limits.max_directory_connections
    assert left == 2 * MIN_CONNECTIONS
    assert limits.max_directory_connections >= MIN_CONNECTIONS


@pytest.mark.parametrize("memory_mb", [100, 160, 300, 552])
def test_what_clients_can_hold_fits_into_the_memory(memory_mb):
    """Guards against shares that exceed what an idle host leaves of its machine."""
    limits = MachineLimits(memory_mb=memory_mb, descriptors=100_000)
    connections = limits.max_client_connections + limits.client_backlog
    held_bytes = limits.budget_bytes + connections * UNREAD_CONNECTION_BYTES
    room_bytes = (memory_mb - OWN_MEMORY_MB) * 1_000_000
    # The allocator keeps some memory, too.
    assert held_bytes <= 0.85 * room_bytes
    assert limits.client_backlog >= 2 * ACCEPT_BATCH or memory_mb < 160


@pytest.mark.parametrize("memory_mb", [160, 552])
def test_a_few_hundred_ordinary_requests_fit(memory_mb):
    """Guards against bounds that well-behaved clients meet."""
    assert MachineLimits(memory_mb=memory_mb).budget_bytes >= 400 * 112_288


def test_settings_without_limits_have_defaults():
    """Guards against hosts that do not start without the limits."""
    settings = make_settings("127.0.0.1", "127.0.0.1:1")
    assert decode_settings(json.dumps(settings).encode()).machine == MachineLimits()
    settings["Limits"] = {"CpuShare": 1.0, "MemoryMb": 160, "MaxFds": 1638}
    assert decode_settings(json.dumps(settings).encode()).machine == MachineLimits(
        memory_mb=160, descriptors=1638
    )


def test_a_limit_is_logged_when_it_is_reached_and_when_it_is_not(caplog):
    """Guards against limits that an operator does not see."""
    caplog.set_level("INFO")
    limit = ConnectionLimit(kind="runners", max_count=10)
    assert [limit.try_open() for _ in range(12)] == [True] * 10 + [False] * 2
    for _ in range(3):
        limit.close()
    assert limit.refused == 2
    assert [record.message for record in caplog.records] == [
        "connections at their limit",
        "connections below their limit again",
    ]
