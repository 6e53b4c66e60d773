"""The state that each process derives from the control stream."""

from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet

NO_TENURE = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """The leadership of one process over an order domain.

    :param host: host of the holder.
    :param incarnation: incarnation of the holder's process.
    :param offset: offset of its claim, the high part of its fencing numbers.
    :param machine: machine that has the host's name.
    :param exclusive: whether it ends only by release, by withdrawal or
        replacement of the host, or by a new incarnation on the same host and
        machine.
    """

    host: str
    incarnation: str
    offset: int
    machine: str = ""
    exclusive: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Publication:
    """The outcome of a publication.

    :param accepted: whether it became a revision.
    :param revision: revision that it became, or that it conflicts with.
    :param publisher: publisher of that revision.
    :param refusal: ``raced``, ``unknown_base``, ``digest`` or ``late``; empty
        when accepted.
    :param offset: offset of the record.
    :param digest: digest of the published configuration.
    """

    accepted: bool
    revision: int
    publisher: str
    refusal: str = ""
    offset: int = -1
    digest: str = ""


@dataclass(kw_only=True, slots=True)
class ControlState:
    """The result of replaying all records before ``next_offset``.

    :param next_offset: offset of the next record to apply.
    :param last_digest: digest of the record before ``next_offset``.
    :param revision: revision of the current configuration, 0 for none.
    :param fleet: the current configuration.
    :param publishers: publisher of each recent revision.
    :param publications: outcome of each recent publication by record id.
    :param tenures: current tenure of each order domain.
    :param draining: hosts and runners that receive no new work.
    :param withdrawn: hosts and runners that were declared down.
    :param machines: current machine of each replaced host.
    :param snapshot_offset: offset of the last snapshot, -1 for none.
    :param seen: offset of each recent record by its id, to detect duplicates.
    :param halted: reason why replay has stopped, empty while it continues.
    :param skipped: number of skipped records by reason, in this process only.
    """

    next_offset: int = 0
    last_digest: str = ""
    revision: int = 0
    fleet: Fleet = field(default_factory=Fleet)
    publishers: dict[int, str] = field(default_factory=dict)
    publications: dict[str, Publication] = field(default_factory=dict)
    tenures: dict[str, Tenure] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    withdrawn: set[str] = field(default_factory=set)
    machines: dict[str, str] = field(default_factory=dict)
    snapshot_offset: int = -1
    seen: dict[str, int] = field(default_factory=dict)
    halted: str = ""
    skipped: dict[str, int] = field(default_factory=dict, compare=False)

    def count_skipped(self, reason: str) -> None:
        """Count a record that had no effect."""
        self.skipped[reason] = self.skipped.get(reason, 0) + 1
