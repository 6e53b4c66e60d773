"""Checks of a whole configuration: references, cycles and impossible values."""

from collections.abc import Iterator
from dataclasses import dataclass

from lacewinglug.config.objects import Fleet, Service
from lacewinglug.errors import Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reference:
    """A field that names another object."""

    kind: str
    name: str
    field: str
    target_kind: str
    target: str


def check_references(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> list[Problem]:
    """Return every fault between the objects of a configuration.

    :param fleet: the configuration.
    :param sources: file of each declared object by kind and name, those that
        are not valid included.
    """
    problems = [
        _dangling(reference, sources)
        for reference in _references(fleet)
        if (reference.target_kind, reference.target) not in sources
    ]
    problems.extend(_check_cycles(fleet, sources))
    problems.extend(_check_services(fleet, sources))
    problems.extend(_check_runners(fleet, sources))
    problems.extend(_check_addresses(fleet, sources))
    problems.extend(_check_objectives(fleet, sources))
    return problems


def _references(fleet: Fleet) -> Iterator[_Reference]:
    """Yield every reference of one object to another."""
    singles = (
        ("availability_zones", "region", "regions"),
        ("hosts", "availability_zone", "availability_zones"),
        ("adapters", "model", "models"),
        ("versions", "model", "models"),
        ("versions", "follows", "versions"),
        ("services", "version", "versions"),
        ("runners", "service", "services"),
        ("runners", "availability_zone", "availability_zones"),
        ("runners", "initial_role", "engine_roles"),
        ("objectives", "service", "services"),
    )
    for kind, field, target_kind in singles:
        for name, item in getattr(fleet, kind).items():
            target = getattr(item, field)
            if target:
                yield _Reference(
                    kind=kind,
                    name=name,
                    field=field,
                    target_kind=target_kind,
                    target=target,
                )
    for name, service in fleet.services.items():
        for field, target_kind in (("adapters", "adapters"), ("roles", "engine_roles")):
            for target in getattr(service, field):
                yield _Reference(
                    kind="services",
                    name=name,
                    field=field,
                    target_kind=target_kind,
                    target=target,
                )


def _dangling(reference: _Reference, sources: dict[tuple[str, str], str]) -> Problem:
    """Describe a reference to an object that does not exist."""
    return Problem(
        file=sources.get((reference.kind, reference.name), ""),
        object_name=f"{reference.kind}.{reference.name}",
        field=reference.field,
        message=f"names {reference.target!r}, which is not in {reference.target_kind}",
        remedy=f"declare [{reference.target_kind}.{reference.target}] or correct it",
    )


def _check_cycles(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> Iterator[Problem]:
    """Yield versions that follow themselves, directly or through others."""
    for name, version in fleet.versions.items():
        seen = {name}
        follows = version.follows
        while follows in fleet.versions and follows not in seen:
            seen.add(follows)
            follows = fleet.versions[follows].follows
        if follows == name:
            yield Problem(
                file=sources.get(("versions", name), ""),
                object_name=f"versions.{name}",
                field="follows",
                message="the version follows itself through a cycle",
                remedy="let the oldest version follow none",
            )


def _check_services(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> Iterator[Problem]:
    """Yield services whose parts do not fit their kind or one another."""
    for name, service in fleet.services.items():
        for field, message, remedy in _service_faults(fleet, service):
            yield Problem(
                file=sources.get(("services", name), ""),
                object_name=f"services.{name}",
                field=field,
                message=message,
                remedy=remedy,
            )


def _service_faults(fleet: Fleet, service: Service) -> Iterator[tuple[str, str, str]]:
    """Yield field, message and remedy of each fault of a service."""
    if not service.kinds:
        yield ("kinds", "no kind of request", "declare at least one kind")
    if service.kind == "plain":
        for field in ("version", "adapters", "roles"):
            if getattr(service, field):
                yield (field, "a plain service has none", f"remove {field}")
        for kind_name, kind in service.kinds.items():
            if not kind.path:
                yield (
                    f"kinds.{kind_name}.path",
                    "a kind of a plain service needs a path",
                    "add path",
                )
        return
    if not service.version:
        yield ("version", "a model service needs a version", "add version")
    if not service.roles:
        yield ("roles", "a model service needs an engine role", "add roles")
    version = fleet.versions.get(service.version)
    for adapter_name in service.adapters:
        adapter = fleet.adapters.get(adapter_name)
        if version and adapter and adapter.model != version.model:
            yield (
                "adapters",
                f"adapter {adapter_name!r} is of model {adapter.model!r}, "
                f"the version of {version.model!r}",
                "use an adapter of the same model",
            )


def _check_runners(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> Iterator[Problem]:
    """Yield runners that share a URL or have a role their service lacks."""
    urls: dict[str, str] = {}
    for name, runner in fleet.runners.items():
        file = sources.get(("runners", name), "")
        first = urls.setdefault(runner.url, name)
        if first != name:
            yield Problem(
                file=file,
                object_name=f"runners.{name}",
                field="url",
                message=f"is the URL of runner {first!r} too",
                remedy="give each runner its own URL",
            )
        service = fleet.services.get(runner.service)
        if service and runner.initial_role and runner.initial_role not in service.roles:
            yield Problem(
                file=file,
                object_name=f"runners.{name}",
                field="initial_role",
                message=f"role {runner.initial_role!r} is not a role of its service",
                remedy=f"add it to services.{runner.service}.roles or choose another",
            )


def _check_addresses(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> Iterator[Problem]:
    """Yield hosts that listen where another port or host listens."""
    used: dict[tuple[str, int], str] = {}
    for name, host in fleet.hosts.items():
        for field in ("entry_port", "control_port"):
            place = (host.address, getattr(host, field))
            first = used.setdefault(place, f"hosts.{name}.{field}")
            if first != f"hosts.{name}.{field}":
                yield Problem(
                    file=sources.get(("hosts", name), ""),
                    object_name=f"hosts.{name}",
                    field=field,
                    message=f"{place[0]}:{place[1]} is used by {first} too",
                    remedy="give each its own port",
                )


def _check_objectives(
    fleet: Fleet, sources: dict[tuple[str, str], str]
) -> Iterator[Problem]:
    """Yield objectives of a kind of request that their service lacks."""
    for name, objective in fleet.objectives.items():
        service = fleet.services.get(objective.service)
        if service and objective.kind and objective.kind not in service.kinds:
            yield Problem(
                file=sources.get(("objectives", name), ""),
                object_name=f"objectives.{name}",
                field="kind",
                message=f"service {objective.service!r} has no kind {objective.kind!r}",
                remedy="use one of " + ", ".join(service.kinds),
            )
