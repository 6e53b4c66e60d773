"""Network distance between hosts and runners."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """Network distance between two availability zones."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.042,
}
"""Round-trip time by distance, in seconds; from the users' sheet of their sites."""

TRANSFER_TIME_FACTOR = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 10.0,
}
"""Duration of a KV cache transfer between engines, relative to a transfer within one
availability zone; specified by the platform."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Geography:
    """The regions of the availability zones.

    :param regions: region by availability zone.
    """

    regions: Mapping[str, str]

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance between two availability zones.

        A zone whose region is not known counts as in another region.
        """
        if zone == other:
            return Distance.SAME_ZONE
        region = self.regions.get(zone)
        if region is not None and region == self.regions.get(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
