"""Tests that configurations are checked as one."""

from pathlib import Path

import pytest

from lacewinglug.config.loading import load_config

EXAMPLES = Path(__file__).parent.parent.parent / "examples"

# Name of the planted fault, file it is planted in, text replaced, replacement.
FAULTS = [
    ("unknown_field", "runners.toml", "checks_fencing", "checks_fence"),
    ("unknown_kind_of_object", "places.toml", "[regions.qc]", "[places.qc]"),
    ("dangling_region", "places.toml", 'region = "qc"', 'region = "qcc"'),
    ("dangling_zone", "hosts.toml", '"sher-a"', '"sher-b"'),
    ("dangling_runner_zone", "runners.toml", '"sher-a"', '"sher-c"'),
    ("dangling_service", "runners.toml", '"locker-app"', '"locker"'),
    ("dangling_version", "services.toml", '"amp-8b-1"', '"amp-8b-2"'),
    ("dangling_adapter", "services.toml", '"locker-logs"', '"logs"'),
    ("dangling_role", "services.toml", '"decode"', '"decoder"'),
    ("dangling_model", "models.toml", 'model = "amp-8b"', 'model = "amp"'),
    ("role_not_of_service", "services.toml", '"mixed", ', ""),
    ("negative_delay", "places.toml", "0.02", "-0.02"),
    ("infinite_rate", "models.toml", "12000.0", "inf"),
    ("zero_slots", "models.toml", "slots = 32", "slots = 0"),
    ("wrong_type", "models.toml", "slots = 32", 'slots = "many"'),
    ("port_too_large", "hosts.toml", "entry_port = 8710", "entry_port = 87100"),
    ("port_used_twice", "hosts.toml", "entry_port = 8711", "entry_port = 8710"),
    ("host_name_for_address", "hosts.toml", '"127.0.0.1"', '"localhost"'),
    ("url_used_twice", "runners.toml", ":8751", ":8750"),
    ("url_without_scheme", "runners.toml", "http://127.0.0.1:8752", "127.0.0.1:8752"),
    ("missing_field", "hosts.toml", "control_port = 8730\n", ""),
    ("object_declared_twice", "places.toml", "", '\n[hosts.entry-1]\naddress = "::1"'),
    ("value_outside_object", "places.toml", "[regions.mtl]", "a = 1\n[regions.mtl]"),
    ("version_cycle", "models.toml", "weight_key", 'follows = "amp-8b-1"\nweight_key'),
    ("adapter_of_other_model", "models.toml", "",
     "\n[models.b]\nkv_bytes_per_token = 1\n"
     '[adapters.x]\nmodel = "b"\nweight_bytes = 1\n'),
    ("ratio_of_one", "services.toml", "0.999", "1.0"),
    ("objective_of_unknown_kind", "services.toml", 'kind = "kiosk"', 'kind = "kios"'),
    ("plain_kind_without_path", "services.toml", 'path = "/bays"\n', ""),
    ("plain_service_with_role", "services.toml", 'kind = "plain"',
     'kind = "plain"\nroles = ["mixed"]'),
    ("name_with_blank", "organisations.toml", "kiosk-partners", '"kiosk partners"'),
    ("not_toml", "services.toml", "[services.assistant]", "[services.assistant"),
]  # fmt: skip


def plant_fault(folder: Path, file: str, old: str, new: str) -> None:
    """Copy the example to a folder and change one place of it."""
    for source in (EXAMPLES / "volt-trottoir").glob("*.toml"):
        text = source.read_text()
        if source.name == file:
            assert old in text
            text = text.replace(old, new, 1) if old else text + new
        if old == "" and "adapters.x" in new and source.name == "services.toml":
            text = text.replace('"locker-logs"', '"x"')
        (folder / source.name).write_text(text)


@pytest.mark.parametrize("example", ["volt-trottoir", "fjeldrute"])
def test_example_has_no_problem(example):
    checked = load_config(EXAMPLES / example)
    assert checked.problems == []
    assert len(checked.fleet.hosts) == 8
    assert len(checked.fleet.runners) == 9


@pytest.mark.parametrize(
    ("file", "old", "new"),
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
def test_planted_fault_is_reported(file, old, new, tmp_path, snapshot):
    plant_fault(tmp_path, file, old, new)
    checked = load_config(tmp_path)
    assert checked.fleet is None
    assert [str(problem) for problem in checked.problems] == snapshot


def test_all_faults_are_reported_in_one_go(tmp_path):
    plant_fault(tmp_path, "places.toml", "0.02", "-0.02")
    hosts = tmp_path / "hosts.toml"
    hosts.write_text(hosts.read_text().replace('"sher-a"', '"sher-b"', 1))
    places = {problem.object_name for problem in load_config(tmp_path).problems}
    assert {"regions.mtl", "hosts.entry-3"} <= places


def test_folder_without_files_is_reported(tmp_path):
    assert "name a folder" in load_config(tmp_path).problems[0].remedy
