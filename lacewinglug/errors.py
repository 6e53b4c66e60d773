"""Error kinds shared by every program."""

from dataclasses import dataclass


class UserError(Exception):
    """An error that the user can mend.

    The command line prints it as one line and ends with ``exit_code``.

    :param message: what is wrong, naming the remedy.
    :param exit_code: exit status of the program.
    """

    def __init__(self, message: str, *, exit_code: int = 2) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class PlatformError(Exception):
    """The platform did not answer, or answered with an error."""


class LogUnavailableError(PlatformError):
    """The log service cannot be reached or refuses the call."""


class AppendOutcomeUnknownError(LogUnavailableError):
    """The reply to an append was lost, so the record may stand in the log."""


class RecordsExpiredError(PlatformError):
    """The wanted offset is older than what the log keeps.

    :param first_offset: oldest offset that the log still holds.
    """

    def __init__(self, *, first_offset: int) -> None:
        super().__init__(
            f"the log keeps records from offset {first_offset} only; "
            "load a snapshot at or after it"
        )
        self.first_offset = first_offset


class SnapshotMissingError(PlatformError):
    """Records expired, and no snapshot in the log covers them.

    :param first_offset: oldest offset that the log still holds.
    """

    def __init__(self, *, first_offset: int) -> None:
        super().__init__(
            f"the records before offset {first_offset} expired and no snapshot in "
            "the log covers them; start one steward that was running before, or "
            "see docs/operations/configuration-and-hosts.md"
        )
        self.first_offset = first_offset


class LogRewoundError(PlatformError):
    """The log no longer holds what was read from it.

    :param offset: offset at which it differs.
    """

    def __init__(self, *, offset: int) -> None:
        super().__init__(
            f"the log lost or changed the record at offset {offset}; nothing is "
            "applied until it is whole again, see "
            "docs/operations/configuration-and-hosts.md"
        )
        self.offset = offset


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One fault found in a configuration or in settings.

    :param file: file that holds the object, empty when unknown.
    :param object_name: dotted name of the object, such as ``runners.assistant-1``.
    :param field: name of the field, empty for the whole object.
    :param message: what is wrong.
    :param remedy: what to do about it.
    """

    file: str
    object_name: str
    field: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Format the problem as one line."""
        place = ".".join(part for part in (self.object_name, self.field) if part)
        prefix = f"{self.file}: " if self.file else ""
        return f"{prefix}{place}: {self.message}; {self.remedy}"
