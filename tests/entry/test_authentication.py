"""Tests of authentication of callers, operators and entries."""

import hashlib

import aiohttp
import pytest

from lacewinglug.config.objects import Fleet, Organisation
from lacewinglug.control import ConfigView
from lacewinglug.entry.authentication import Authenticator
from lacewinglug.entry.view import EntryView
from tests.entry.call_stage import deploy

KEY = "north-key"
NORTH = Organisation(key_sha256=hashlib.sha256(KEY.encode()).hexdigest())


def make_authenticator(organisations, admin_key=""):
    view = EntryView(availability_zone="")
    view.config = ConfigView(
        revision=1,
        next_offset=1,
        fleet=Fleet(organisations=organisations),
        draining=[],
        withdrawn=[],
        tenures={},
    )
    return Authenticator(view=view, admin_key=admin_key)


@pytest.mark.parametrize(
    ("organisations", "organisation", "authorization", "status"),
    [
        ({}, "", "", None),
        ({}, "anyone", "", None),
        ({"south": Organisation()}, "south", "", None),
        ({"south": Organisation()}, "", "", 403),
        ({"south": Organisation()}, "north", "", 403),
        ({"north": NORTH}, "north", "", 401),
        ({"north": NORTH}, "north", "Bearer wrong", 401),
        ({"north": NORTH}, "north", f"Basic {KEY}", 401),
        ({"north": NORTH}, "north", f"Bearer {KEY}", None),
        ({"north": NORTH}, "north", f"bearer  {KEY}", None),
    ],
)
def test_organisation_shows_its_key(organisations, organisation, authorization, status):
    authenticator = make_authenticator(organisations)
    refusal = authenticator.check_organisation(organisation, authorization)
    assert (refusal.status if refusal else None) == status
    assert refusal is None or refusal.remedy


@pytest.mark.parametrize(
    ("admin_key", "authorization", "status"),
    [
        ("", "", None),
        ("secret", "", 401),
        ("secret", "Bearer wrong", 401),
        ("secret", "Bearer secret", None),
    ],
)
def test_operator_shows_the_admin_key(admin_key, authorization, status):
    refusal = make_authenticator({}, admin_key).check_admin(authorization)
    assert (refusal.status if refusal else None) == status


@pytest.mark.processes
async def test_callers_cannot_reach_the_paths_of_operators_and_entries(tmp_path):
    deployment, _, _ = deploy(tmp_path, admin_key="secret")
    with deployment:
        url = deployment.entry_url("entry-1")
        deployment.wait_url("entry-1.entry", f"{url}/v1/entries")
        paths = ["/v1/status", "/internal/calls/claim/locker-app/unlock"]
        async with aiohttp.ClientSession() as session:
            for path, method in zip(paths, ("GET", "POST"), strict=True):
                async with session.request(method, url + path) as response:
                    assert response.status == 401
                    assert (await response.json())["outcome"] == "not_run"
            headers = {"Authorization": "Bearer secret"}
            async with session.get(f"{url}/v1/status", headers=headers) as response:
                assert response.status == 200
        assert "--admin-key" in deployment.run_command("status").stderr
        done = deployment.run_command("status", "--admin-key", "secret")
        assert done.returncode == 0
