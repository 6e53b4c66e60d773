"""Which host is responsible for the duties, as far as one host knows."""

import logging
import math
from collections.abc import Collection
from dataclasses import dataclass

logger = logging.getLogger(__name__)

ANNOUNCEMENT_TTL_S = 6.0
"""Time for which an announcement of the holder counts while its heartbeats arrive, in
seconds; it announces itself once a second. With the timeout of heartbeats, 2.6 s, hosts
claimed the tenure of a sound holder when half of the datagrams were lost."""


@dataclass(kw_only=True)
class PlannerChoice:
    """Chooses the planner: the holder while it serves, else the first host by name.

    A holder that lives keeps the duties when a host whose name comes first returns,
    since each change of the holder costs a lease without calls.

    :param own: name of this host.
    """

    own: str
    _holder: str = ""
    _fencing_number: int = -1
    _heard_s: float = -math.inf

    def record_holder(self, host: str, fencing_number: int, *, now_s: float) -> None:
        """Record that a host has announced that it holds the duties."""
        if fencing_number < self._fencing_number:
            return
        if host != self._holder:
            logger.info(
                "duties passed to another host",
                extra={"holder": host, "fencing_number": fencing_number},
            )
        self._holder = host
        self._fencing_number = fencing_number
        self._heard_s = now_s

    def choose(
        self, serving: Collection[str], *, own_number: int | None, now_s: float
    ) -> str | None:
        """Return the planner, None if no host serves.

        :param serving: names of the hosts that serve, as far as this host knows.
        :param own_number: fencing number of this host's tenure, None if it has none.
        """
        holder = self._holder
        is_heard = now_s - self._heard_s <= ANNOUNCEMENT_TTL_S
        if own_number is not None and own_number >= self._fencing_number:
            holder, is_heard = self.own, True
        if is_heard and holder in serving:
            return holder
        return min(serving, default=None)
