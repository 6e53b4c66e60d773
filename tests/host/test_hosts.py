"""Clients are sent to hosts that live, are ready and do not leave."""

import dataclasses

from lacewinglug.host.distance import Geography
from lacewinglug.host.hosts import SILENCE_S, HostIdentity, HostTable
from tests.host.samples import REGIONS


def identity(name, zone, incarnation=1):
    return HostIdentity(
        name=name,
        incarnation=incarnation,
        ip="10.0.0.1",
        peer_port=7380,
        zone=zone,
        client_address=f"{name}:8149",
    )


def make_table():
    return HostTable(own=identity("own", "mtl-a"), geography=Geography(regions=REGIONS))


def beat(table, host, *, ready=True, leaving=False, now_s=0.0):
    return table.note_beat(host, ready=ready, leaving=leaving, now_s=now_s)


def addresses(table, zone="mtl-a", region="mtl", *, own_serves=True, now_s=0.0):
    return table.addresses(zone=zone, region=region, own_serves=own_serves, now_s=now_s)


def test_two_hosts_of_the_zone_are_enough():
    table = make_table()
    beat(table, identity("b", "mtl-a"))
    beat(table, identity("c", "qc-a"))
    assert addresses(table) == ["b:8149", "own:8149"]


def test_the_only_host_of_a_zone_comes_first_with_the_others_behind():
    table = make_table()
    beat(table, identity("c", "qc-a"))
    assert addresses(table) == ["own:8149", "c:8149"]
    assert addresses(table, "qc-a", "qc") == ["c:8149", "own:8149"]


def test_silent_leaving_and_unready_hosts_are_left_out():
    table = make_table()
    beat(table, identity("silent", "mtl-a"))
    beat(table, identity("leaving", "mtl-a"), leaving=True, now_s=5.0)
    beat(table, identity("unready", "mtl-a"), ready=False, now_s=5.0)
    beat(table, identity("fine", "mtl-a"), now_s=5.0)
    assert addresses(table, now_s=SILENCE_S + 3.0) == ["fine:8149", "own:8149"]


def test_a_host_that_said_it_leaves_does_not_come_back_by_an_old_beat():
    table = make_table()
    host = identity("b", "mtl-a")
    beat(table, host, leaving=True)
    beat(table, host, leaving=False)
    assert addresses(table) == ["own:8149"]
    beat(table, dataclasses.replace(host, incarnation=2))
    assert addresses(table) == ["b:8149", "own:8149"]


def test_an_old_incarnation_changes_nothing():
    table = make_table()
    beat(table, identity("b", "mtl-a", incarnation=5))
    assert not beat(table, identity("b", "mtl-a", incarnation=4), ready=False)
    assert addresses(table) == ["b:8149", "own:8149"]


def test_a_host_that_knows_nobody_names_itself():
    assert addresses(make_table(), own_serves=False) == ["own:8149"]


def test_operators_are_told_of_each_host_with_the_age_of_its_last_beat():
    table = make_table()
    beat(table, identity("b", "mtl-a"), now_s=9.0)
    beat(table, identity("c", "mtl-a"), ready=False, now_s=9.0)
    beat(table, identity("d", "mtl-a"), leaving=True, now_s=9.0)
    beat(table, identity("e", "mtl-a"), now_s=5.0)
    table.learn(identity("f", "mtl-a"))
    sights = table.sights(now_s=10.0)
    assert [(item.host, item.state, item.heard_age_s) for item in sights] == [
        ("b", "serving", 1.0),
        ("c", "not ready", 1.0),
        ("d", "leaving", 1.0),
        ("e", "silent", 5.0),
        ("f", "silent", None),
    ]
