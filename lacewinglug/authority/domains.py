"""Order domains: the sets of runners that one tenure has authority over."""

from dataclasses import dataclass

from lacewinglug.config.objects import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDomain:
    """A set of runners whose orders one process gives.

    :param name: name of the domain in the log.
    :param exclusive: whether its tenure has to be claimed as exclusive, since
        its runners do not check fencing numbers.
    """

    name: str
    exclusive: bool


def find_domain(fleet: Fleet, runner: str) -> OrderDomain:
    """Return the order domain of a runner.

    Runners that check fencing numbers share a domain for each service and
    region. One that ignores them is a domain of its own, which keeps its name
    when a configuration moves the runner to another service or region.

    :param fleet: the configuration.
    :param runner: name of the runner.
    """
    item = fleet.runners[runner]
    if not item.checks_fencing:
        return OrderDomain(name=f"runner:{runner}", exclusive=True)
    region = fleet.region_of(item.availability_zone)
    return OrderDomain(name=f"{item.service}/{region}", exclusive=False)


def list_domains(fleet: Fleet) -> dict[OrderDomain, list[str]]:
    """Return the runners of each order domain of model engines."""
    domains: dict[OrderDomain, list[str]] = {}
    for name, item in fleet.runners.items():
        service = fleet.services.get(item.service)
        if service is not None and service.kind == "model":
            domains.setdefault(find_domain(fleet, name), []).append(name)
    return domains
