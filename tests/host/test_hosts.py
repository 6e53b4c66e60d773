"""Clients are directed to hosts that are alive, ready and not shutting down."""

import dataclasses

from lacewinglug.host.distance import Geography
from lacewinglug.host.hosts import HEARTBEAT_TIMEOUT_S, HostIdentity, HostTable
from tests.host.samples import REGIONS


def make_identity(name, zone, incarnation=1):
    return HostIdentity(
        name=name,
        incarnation=incarnation,
        ip="10.0.0.1",
        peer_port=7380,
        zone=zone,
        client_address=f"{name}:8149",
    )


def make_table():
    return HostTable(
        own=make_identity("own", "mtl-a"), geography=Geography(regions=REGIONS)
    )


def record_heartbeat(table, host, *, ready=True, leaving=False, now_s=0.0):
    return table.record_heartbeat(host, ready=ready, leaving=leaving, now_s=now_s)


def addresses_for_client(
    table, zone="mtl-a", region="mtl", *, own_ready=True, now_s=0.0
):
    return table.addresses_for_client(
        zone=zone, region=region, own_ready=own_ready, now_s=now_s
    )


def test_only_hosts_of_the_zone_are_returned_if_there_are_two():
    table = make_table()
    record_heartbeat(table, make_identity("b", "mtl-a"))
    record_heartbeat(table, make_identity("c", "qc-a"))
    assert addresses_for_client(table) == ["b:8149", "own:8149"]


def test_the_only_host_of_a_zone_is_listed_before_the_others():
    table = make_table()
    record_heartbeat(table, make_identity("c", "qc-a"))
    assert addresses_for_client(table) == ["own:8149", "c:8149"]
    assert addresses_for_client(table, "qc-a", "qc") == ["c:8149", "own:8149"]


def test_silent_leaving_and_unready_hosts_are_left_out():
    table = make_table()
    record_heartbeat(table, make_identity("silent", "mtl-a"))
    record_heartbeat(table, make_identity("leaving", "mtl-a"), leaving=True, now_s=5.0)
    record_heartbeat(table, make_identity("unready", "mtl-a"), ready=False, now_s=5.0)
    record_heartbeat(table, make_identity("fine", "mtl-a"), now_s=5.0)
    assert addresses_for_client(table, now_s=HEARTBEAT_TIMEOUT_S + 3.0) == [
        "fine:8149",
        "own:8149",
    ]


def test_an_outdated_heartbeat_does_not_revert_leaving():
    table = make_table()
    host = make_identity("b", "mtl-a")
    record_heartbeat(table, host, leaving=True)
    record_heartbeat(table, host, leaving=False)
    assert addresses_for_client(table) == ["own:8149"]
    record_heartbeat(table, dataclasses.replace(host, incarnation=2))
    assert addresses_for_client(table) == ["b:8149", "own:8149"]


def test_heartbeats_of_an_old_incarnation_are_ignored():
    table = make_table()
    record_heartbeat(table, make_identity("b", "mtl-a", incarnation=5))
    assert not record_heartbeat(
        table, make_identity("b", "mtl-a", incarnation=4), ready=False
    )
    assert addresses_for_client(table) == ["b:8149", "own:8149"]


def test_a_host_without_known_peers_returns_its_own_address():
    assert addresses_for_client(make_table(), own_ready=False) == ["own:8149"]


def test_peer_statuses_show_state_and_age_of_last_heartbeat():
    table = make_table()
    record_heartbeat(table, make_identity("b", "mtl-a"), now_s=9.0)
    record_heartbeat(table, make_identity("c", "mtl-a"), ready=False, now_s=9.0)
    record_heartbeat(table, make_identity("d", "mtl-a"), leaving=True, now_s=9.0)
    record_heartbeat(table, make_identity("e", "mtl-a"), now_s=5.0)
    table.add(make_identity("f", "mtl-a"))
    statuses = table.peer_statuses(now_s=10.0)
    assert [(item.host, item.state, item.heard_age_s) for item in statuses] == [
        ("b", "serving", 1.0),
        ("c", "not ready", 1.0),
        ("d", "leaving", 1.0),
        ("e", "silent", 5.0),
        ("f", "silent", None),
    ]
