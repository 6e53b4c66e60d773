"""The state that every process computes from the control stream."""

from dataclasses import dataclass, field

from lacewinglug.config.objects import Fleet

NO_TENURE = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """The authority of one process over an order domain.

    :param host: host of the holder.
    :param incarnation: run of the holder's process.
    :param offset: offset of its claim, the fencing number of its orders.
    :param machine: machine that carries the host's name.
    :param exclusive: whether it may only pass by release, by withdrawal of the
        host or to a new incarnation on the same host and machine.
    """

    host: str
    incarnation: str
    offset: int
    machine: str = ""
    exclusive: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Publication:
    """The verdict on one publication.

    :param accepted: whether it became a revision.
    :param revision: the revision that it became, or the one in its way.
    :param publisher: who published that revision.
    :param refusal: ``raced``, ``unknown_base``, ``digest`` or ``late``; empty
        when accepted.
    :param offset: offset of the record.
    :param digest: digest of the configuration that was published.
    """

    accepted: bool
    revision: int
    publisher: str
    refusal: str = ""
    offset: int = -1
    digest: str = ""


@dataclass(kw_only=True, slots=True)
class ControlState:
    """What the records up to ``next_offset`` mean.

    :param next_offset: offset of the next record to apply.
    :param last_digest: digest of the record before ``next_offset``.
    :param revision: revision of the configuration in force, 0 for none.
    :param fleet: the configuration in force.
    :param publishers: publisher of each remembered revision.
    :param publications: verdict on each remembered publication by record id.
    :param tenures: current tenure of each order domain.
    :param draining: hosts and runners that get no new work.
    :param withdrawn: hosts and runners that an operator withdrew.
    :param machines: machine that carries the name of each replaced host.
    :param snapshot_offset: offset of the last snapshot, -1 for none.
    :param seen: offset of each remembered record by its id.
    :param halted: why no further record is applied, empty while they are.
    :param skipped: number of records skipped by reason, in this process only.
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
