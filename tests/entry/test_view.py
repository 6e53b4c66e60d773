"""Tests of the fleet view that an entry receives from its steward."""

import pytest

from lacewinglug.config.objects import Fleet
from lacewinglug.control import ConfigView, HostStatus, StatusView
from lacewinglug.entry.view import EntryView


def config(revision=5, next_offset=9, **fields):
    values = {"draining": [], "withdrawn": [], "tenures": {}} | fields
    fleet = Fleet(hosts={"h1": None, "h2": None})
    return ConfigView(revision=revision, next_offset=next_offset, fleet=fleet, **values)


def host(name, state):
    return HostStatus(host=name, incarnation="1", revision=5, running=0, state=state)


@pytest.fixture
def view():
    view = EntryView(availability_zone="mtl-a")
    assert view.unavailable() == set()
    view.update_config(config())
    view.update_status(
        StatusView(runners=[], hosts=[host("h1", "live"), host("h2", "live")])
    )
    assert view.unavailable() == set()
    return view


@pytest.mark.parametrize("fields", [{"draining": ["r1"]}, {"withdrawn": ["r1"]}])
def test_drained_and_withdrawn_runners_get_no_new_work(view, fields):
    view.update_config(config(next_offset=10, **fields))
    assert view.unavailable() == {"r1"}


def test_leaving_upstreams_get_no_new_work_until_they_return(view):
    view.update_status(StatusView(runners=[], hosts=None, leaving=["r1", "h1"]))
    assert view.unavailable() == {"r1", "h1"}
    view.update_status(StatusView(runners=[], hosts=None))
    assert view.unavailable() == set()


@pytest.mark.parametrize("state", ["suspect", "leaving", "draining", "unknown"])
def test_hosts_that_are_not_live_are_unavailable(view, state):
    hosts = [host("h1", "live"), host("h2", state)]
    view.update_status(StatusView(runners=[], hosts=hosts))
    assert view.unavailable() == {"h2"}


@pytest.mark.parametrize(("revision", "next_offset"), [(4, 12), (5, 8), (1, 1)])
def test_older_configuration_is_ignored(view, revision, next_offset):
    assert not view.update_config(config(revision, next_offset))
    assert view.revision == 5
