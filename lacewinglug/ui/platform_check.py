"""The check of a file with a version of the platform's configuration."""

from pathlib import Path

import click

from lacewinglug.errors import UserError
from lacewinglug.host.model import Configuration
from lacewinglug.platform.records import RecordError, decode_configuration
from lacewinglug.preflight.changes import Change, find_changes
from lacewinglug.preflight.findings import Finding, Severity, find_faults
from lacewinglug.ui.common import echo_json

EXIT_ERRORS = 1
"""Exit status if the version has errors."""


def check_platform_file(path: Path, *, against: Path | None, as_json: bool) -> int:
    """Print the faults of a version and its differences; return the exit status.

    :param against: file with the version in force, None for none.
    """
    in_force = None if against is None else _read_in_force(against)
    try:
        configuration = decode_configuration(path.read_bytes())
    except RecordError as error:
        finding = Finding(
            severity=Severity.ERROR,
            subject="configuration",
            message=str(error),
            remedy="correct the file",
        )
        _print([finding], [], as_json=as_json)
        return EXIT_ERRORS
    findings = find_faults(configuration, in_force=in_force)
    changes = [] if in_force is None else find_changes(configuration, in_force)
    _print(findings, changes, as_json=as_json)
    has_errors = any(item.severity is Severity.ERROR for item in findings)
    return EXIT_ERRORS if has_errors else 0


def _read_in_force(path: Path) -> Configuration:
    try:
        return decode_configuration(path.read_bytes())
    except RecordError as error:
        raise UserError(f"{path}: {error}; name the version in force") from None


def _print(findings: list[Finding], changes: list[Change], *, as_json: bool) -> None:
    if as_json:
        echo_json(
            {
                "findings": [
                    {
                        "severity": item.severity.value,
                        "object": item.subject,
                        "message": item.message,
                        "remedy": item.remedy,
                    }
                    for item in findings
                ],
                "changes": [
                    {
                        "change": item.kind.value,
                        "object": item.subject,
                        "fields": list(item.changed_fields),
                    }
                    for item in changes
                ],
            }
        )
        return
    for finding in findings:
        click.echo(
            f"{finding.severity.value}: {finding.subject}: {finding.message}; "
            f"{finding.remedy}"
        )
    for change in changes:
        names = ", ".join(change.changed_fields)
        click.echo(
            f"{change.kind.value}: {change.subject}" + (f" ({names})" if names else "")
        )
    errors = sum(item.severity is Severity.ERROR for item in findings)
    click.echo(
        f"{errors} error(s), {len(findings) - errors} warning(s), "
        f"{len(changes)} change(s)"
    )
