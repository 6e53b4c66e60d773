"""Bounds on the number of connections, which each take a descriptor."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

logger = logging.getLogger(__name__)

CLEAR_SHARE = 0.9
"""Share of a limit under which it counts as no longer reached."""


@dataclass(kw_only=True)
class ConnectionLimit:
    """Bound on the number of connections of one kind.

    :param kind: what is counted, for log lines.
    :param max_count: bound on their number.
    :param count: connections that are open.
    :param refused: connections that were refused or closed because of the bound.
    :param reclaim: closes connections that nobody uses, when the bound is reached.
    """

    kind: str
    max_count: int
    count: int = 0
    refused: int = 0
    reclaim: Callable[[], None] = lambda: None
    _is_reached: bool = False

    @property
    def is_reached(self) -> bool:
        """Whether there is no room for another connection."""
        return self.count >= self.max_count

    def try_open(self) -> bool:
        """Count another connection; return whether there is room for it."""
        if self.is_reached:
            self.reclaim()
        if self.is_reached:
            self.note_refusal()
            return False
        self.count += 1
        return True

    def open(self) -> None:
        """Count another connection, whether there is room for it or not."""
        self.count += 1

    def close(self) -> None:
        """Count the end of a connection."""
        self.count -= 1
        if self._is_reached and self.count < self.max_count * CLEAR_SHARE:
            self._is_reached = False
            logger.info("connections below their limit again", extra=self._figures)

    def note_refusal(self) -> None:
        """Count a connection that was refused, or closed for another one."""
        self.refused += 1
        if not self._is_reached:
            self._is_reached = True
            logger.warning("connections at their limit", extra=self._figures)

    @property
    def _figures(self) -> dict[str, object]:
        return {
            "kind": self.kind,
            "connections": self.count,
            "limit": self.max_count,
            "refused": self.refused,
        }
