"""Order domains: the sets of runners that a single tenure covers."""

from dataclasses import dataclass

from lacewinglug.config.objects import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDomain:
    """A set of runners that take orders from one process at a time.

    :param name: name of the domain in the log.
    :param exclusive: whether its tenure must be claimed as exclusive because its
        runners do not check fencing numbers.
    """

    name: str
    exclusive: bool


def find_domain(fleet: Fleet, runner: str) -> OrderDomain:
    """Return the order domain of a runner.

    Runners that check fencing numbers share one domain per service and region.
    A runner that ignores them has its own domain, whose name stays the same when
    a new configuration moves the runner to another service or region.

    :param fleet: the configuration.
    :param runner: name of the runner.
    """
    item = fleet.runners[runner]
    if not item.checks_fencing:
        return OrderDomain(name=f"runner:{runner}", exclusive=True)
    region = fleet.region_of(item.availability_zone)
    return OrderDomain(name=f"{item.service}/{region}", exclusive=False)


def group_by_domain(fleet: Fleet) -> dict[OrderDomain, list[str]]:
    """Return the order domains of model engines with the names of their runners."""
    domains: dict[OrderDomain, list[str]] = {}
    for name, item in fleet.runners.items():
        service = fleet.services.get(item.service)
        if service is not None and service.kind == "model":
            domains.setdefault(find_domain(fleet, name), []).append(name)
    return domains
