"""Configurations of any size, for measuring."""

from lacewinglug.config.objects import (
    AvailabilityZone,
    EngineRole,
    Fleet,
    Host,
    Model,
    Objective,
    Organisation,
    Region,
    RequestKind,
    Runner,
    Service,
    Version,
)

_HOSTS_PER_SUBNET = 250
_RUNNER_PORT = 8000
_ENTRY_PORT = 8700
_CONTROL_PORT = 8710


def make_fleet(
    *,
    hosts: int = 8,
    runners: int = 9,
    organisations: int = 2,
    models: int = 1,
    regions: int = 3,
    zones: int = 3,
) -> Fleet:
    """Return a valid configuration of the given numbers of objects."""
    zone_names = [f"zone-{index}" for index in range(zones)]
    service_names = [f"service-{index}" for index in range(models)]
    return Fleet(
        regions={
            f"region-{index}": Region(one_way_delay_s=0.02) for index in range(regions)
        },
        availability_zones={
            name: AvailabilityZone(
                region=f"region-{index % regions}", one_way_delay_s=0.001
            )
            for index, name in enumerate(zone_names)
        },
        hosts={
            f"host-{index}": Host(
                availability_zone=zone_names[index % zones],
                address=_address(1, index),
                entry_port=_ENTRY_PORT,
                control_port=_CONTROL_PORT,
            )
            for index in range(hosts)
        },
        organisations={
            f"organisation-{index}": Organisation() for index in range(organisations)
        },
        models={
            f"model-{index}": Model(kv_bytes_per_token=1) for index in range(models)
        },
        versions={
            f"version-{index}": Version(
                model=f"model-{index}", weight_key=f"model-{index}/1", weight_bytes=1
            )
            for index in range(models)
        },
        engine_roles={
            "mixed": EngineRole(
                does="mixed",
                prefill_tokens_per_s=12000.0,
                decode_tokens_per_s=1600.0,
                slots=32,
                change_s=6.0,
            )
        },
        services={
            name: Service(
                kind="model",
                version=f"version-{index}",
                roles=("mixed",),
                kinds={"chat": RequestKind(), "note": RequestKind()},
            )
            for index, name in enumerate(service_names)
        },
        runners={
            f"runner-{index}": Runner(
                service=service_names[index % models],
                availability_zone=zone_names[index % zones],
                url=f"http://{_address(2, index)}:{_RUNNER_PORT}",
                initial_role="mixed",
            )
            for index in range(runners)
        },
        objectives={
            f"objective-{name}": Objective(service=name, target_ratio=0.99)
            for name in service_names
        },
    )


def _address(network: int, index: int) -> str:
    """Return an IP number of a private network."""
    subnet, host = divmod(index, _HOSTS_PER_SUBNET)
    return f"10.{network}.{subnet}.{host + 1}"
