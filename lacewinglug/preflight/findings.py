"""Faults of one version of the configuration, and what may be meant otherwise."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from lacewinglug.host.model import Configuration, Route


class Severity(Enum):
    """Whether a finding keeps the version from being sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A fault of the configuration.

    :param severity: whether the version can be sent nevertheless.
    :param subject: the object that it is about, with its kind.
    :param message: what is wrong.
    :param remedy: what to do about it.
    """

    severity: Severity
    subject: str
    message: str
    remedy: str


def find_faults(
    configuration: Configuration, *, in_force: Configuration | None = None
) -> list[Finding]:
    """Return the faults of a version, errors first.

    :param in_force: version that it follows, None if unknown.
    """
    findings = [
        *_check_version(configuration, in_force),
        *_check_names(configuration),
        *_check_hidden(configuration),
        *(
            finding
            for route in configuration.routes
            for finding in _check_route(route, configuration)
        ),
        *_check_unused(configuration),
        *_check_limits(configuration),
        *_check_organisations(configuration),
    ]
    return sorted(findings, key=lambda item: item.severity is not Severity.ERROR)


def _check_version(
    configuration: Configuration, in_force: Configuration | None
) -> Iterator[Finding]:
    if in_force is not None and configuration.version <= in_force.version:
        yield Finding(
            severity=Severity.ERROR,
            subject="configuration",
            message=f"version {configuration.version} does not follow version "
            f"{in_force.version}, so that hosts ignore it",
            remedy=f"set the version to {in_force.version + 1} or more",
        )


def _check_names(configuration: Configuration) -> Iterator[Finding]:
    counts = Counter(route.name for route in configuration.routes)
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                severity=Severity.ERROR,
                subject=f"route {name}",
                message=f"the name is used {count} times",
                remedy="give each route a name of its own",
            )


def _check_hidden(configuration: Configuration) -> Iterator[Finding]:
    """Find routes that never match; the longest prefix matches, then the first one."""
    first: dict[tuple[str, str], Route] = {}
    for route in configuration.routes:
        earlier = first.setdefault((route.host, route.path_prefix), route)
        if earlier is not route:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"route {route.name}",
                message=f"never matches, since route {earlier.name} has the same host "
                "and path prefix and comes first",
                remedy="remove one of the two or change its prefix",
            )


def _check_route(route: Route, configuration: Configuration) -> Iterator[Finding]:
    subject = f"route {route.name}"
    for share in route.traffic_shares:
        if share.service not in configuration.services:
            yield Finding(
                severity=Severity.ERROR,
                subject=subject,
                message=f"sends to service {share.service!r}, which is not declared",
                remedy="declare the service or correct its name",
            )
        if share.weight < 0:
            yield Finding(
                severity=Severity.ERROR,
                subject=subject,
                message=f"has the negative weight {share.weight:g} for service "
                f"{share.service}",
                remedy="set a weight of 0 or more",
            )
        elif share.weight == 0 and len(route.traffic_shares) > 1:
            yield Finding(
                severity=Severity.WARNING,
                subject=subject,
                message=f"sends nothing to service {share.service}, whose weight is 0",
                remedy="remove the service from the split or give it a weight",
            )
    if route.timeout_s <= 0:
        yield Finding(
            severity=Severity.ERROR,
            subject=subject,
            message=f"its timeout of {_ms(route.timeout_s)} ends each request at once",
            remedy="set a timeout above 0",
        )
    elif route.timeout_s < route.target_latency_s:
        yield Finding(
            severity=Severity.WARNING,
            subject=subject,
            message=f"its timeout of {_ms(route.timeout_s)} is below its latency "
            f"target of {_ms(route.target_latency_s)}",
            remedy="raise the timeout or lower the target",
        )
    if route.max_attempts < 1:
        yield Finding(
            severity=Severity.ERROR,
            subject=subject,
            message=f"allows {route.max_attempts} attempts",
            remedy="allow at least one",
        )
    if route.target_gap_s is not None and route.target_gap_s <= 0:
        yield Finding(
            severity=Severity.ERROR,
            subject=subject,
            message=f"its gap target of {_ms(route.target_gap_s)} cannot be met",
            remedy="set a target above 0 or none",
        )


def _check_unused(configuration: Configuration) -> Iterator[Finding]:
    used = {
        share.service
        for route in configuration.routes
        for share in route.traffic_shares
    }
    for name in configuration.services:
        if name not in used:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"service {name}",
                message="gets no requests, since no route sends to it",
                remedy="remove it or add a route",
            )


def _check_limits(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    if limits is None:
        return
    sizes = (limits.max_header_bytes, limits.max_body_bytes)
    if min(*sizes, limits.header_timeout_s, limits.idle_timeout_s) <= 0:
        yield Finding(
            severity=Severity.ERROR,
            subject="limits",
            message="a size or a timeout is 0 or less, so that no request passes",
            remedy="set sizes and timeouts above 0",
        )
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield Finding(
            severity=Severity.WARNING,
            subject="limits",
            message=f"the idle timeout of {_ms(limits.idle_timeout_s)} is below the "
            f"header timeout of {_ms(limits.header_timeout_s)}",
            remedy="raise the idle timeout",
        )


def _check_organisations(configuration: Configuration) -> Iterator[Finding]:
    for name, item in configuration.organisations.organisations.items():
        if len(set(item.key_digests)) < len(item.key_digests):
            yield Finding(
                severity=Severity.WARNING,
                subject=f"organisation {name}",
                message="holds a key twice",
                remedy="remove one of the two",
            )
        if not item.key_digests:
            yield Finding(
                severity=Severity.WARNING,
                subject=f"organisation {name}",
                message="has no key, so that it cannot send requests",
                remedy="add a key or remove the organisation",
            )


def _ms(time_s: float) -> str:
    return f"{time_s * 1000:g} ms"
