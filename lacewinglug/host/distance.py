"""How far apart hosts and runners are."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """Place of one end as seen from the other."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.042,
}
"""Round trips by distance, in s; from the users' sheet of their sites."""

TRANSFER_FACTOR = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 10.0,
}
"""Time of a KV cache transfer between engines, relative to one in a zone; stated
by the platform."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Geography:
    """Knows the region of each availability zone.

    :param regions: region by name of the availability zone.
    """

    regions: Mapping[str, str]

    def distance(self, zone: str, other: str) -> Distance:
        """Return how far two availability zones are apart."""
        if zone == other:
            return Distance.SAME_ZONE
        region = self.regions.get(zone)
        if region is not None and region == self.regions.get(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
