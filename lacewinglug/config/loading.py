"""Reads a folder of TOML files into one checked configuration."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from pydantic import ValidationError

from lacewinglug.config.checking import check_references
from lacewinglug.config.documents import PATTERN_FORMS, FleetDocument
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import Problem

ObjectKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckedConfig:
    """What reading a configuration folder gave.

    :param fleet: the configuration, None when a problem stands in its way.
    :param problems: every fault that was found, in order of file and object.
    """

    fleet: Fleet | None
    problems: list[Problem]


def load_config(folder: Path) -> CheckedConfig:
    """Read all TOML files below a folder and check them as one."""
    problems: list[Problem] = []
    merged: dict[str, dict[str, Any]] = {}
    sources: dict[ObjectKey, str] = {}
    paths = sorted(folder.rglob("*.toml"))
    if not paths:
        problems.append(
            Problem(
                file=str(folder),
                object_name="configuration",
                field="",
                message="no TOML file found",
                remedy="name a folder that holds the configuration",
            )
        )
    readable = [_read_file(path, folder, merged, sources, problems) for path in paths]
    fleet = _validate(merged, sources, problems)
    if fleet is not None and all(readable):
        problems.extend(check_references(fleet, sources))
    problems.sort(key=lambda item: (item.file, item.object_name, item.field))
    return CheckedConfig(fleet=None if problems else fleet, problems=problems)


def _read_file(
    path: Path,
    folder: Path,
    merged: dict[str, dict[str, Any]],
    sources: dict[ObjectKey, str],
    problems: list[Problem],
) -> bool:
    """Merge the objects of one file; return whether it was readable."""
    file = str(path.relative_to(folder))
    try:
        tables = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problems.append(
            Problem(
                file=file,
                object_name="file",
                field="",
                message=f"not readable as TOML: {error}",
                remedy="mend the file",
            )
        )
        return False
    for kind, objects in tables.items():
        if isinstance(objects, dict):
            for name, body in objects.items():
                _add_object((kind, name), body, file, merged, sources, problems)
        else:
            problems.append(_stray_value(kind, file))
    return True


def _stray_value(kind: str, file: str) -> Problem:
    """Describe a value that belongs to no object."""
    return Problem(
        file=file,
        object_name=kind,
        field="",
        message="a value stands outside a named object",
        remedy=f"write it under a table such as [{kind}.name]",
    )


def _add_object(
    key: ObjectKey,
    body: Any,
    file: str,
    merged: dict[str, dict[str, Any]],
    sources: dict[ObjectKey, str],
    problems: list[Problem],
) -> None:
    """Merge one object, noting one that stands twice."""
    kind, name = key
    if key in sources:
        problems.append(
            Problem(
                file=file,
                object_name=f"{kind}.{name}",
                field="",
                message=f"already declared in {sources[key]}",
                remedy="remove or rename one of the two",
            )
        )
        return
    sources[key] = file
    merged.setdefault(kind, {})[name] = body


def _validate(
    merged: dict[str, dict[str, Any]],
    sources: dict[ObjectKey, str],
    problems: list[Problem],
) -> Fleet | None:
    """Validate each object, keeping the valid ones for the reference check."""
    try:
        return to_fleet(FleetDocument.model_validate(merged))
    except ValidationError as error:
        for item in error.errors():
            problems.append(_to_problem(item, sources))
            _discard(merged, item["loc"])
    try:
        return to_fleet(FleetDocument.model_validate(merged))
    except ValidationError:
        return None


def to_fleet(document: FleetDocument) -> Fleet:
    """Turn a validated document into data classes."""
    return msgspec.convert(document.model_dump(), Fleet)


def _discard(merged: dict[str, dict[str, Any]], location: tuple[Any, ...]) -> None:
    """Drop the object at an error's location."""
    kind = str(location[0])
    if len(location) == 1:
        merged.pop(kind, None)
    else:
        merged.get(kind, {}).pop(str(location[1]), None)


def _to_problem(item: Any, sources: dict[ObjectKey, str]) -> Problem:
    """Turn one validation error into a problem with a remedy."""
    kind, *rest = (str(part) for part in item["loc"])
    name = rest[0] if rest else ""
    field = ".".join(part for part in rest[1:] if part != "[key]")
    remedy = "correct the value; see docs/CONFIGURATION.md"
    message = f"{item['msg']} (got {item['input']!r})"
    match item["type"]:
        case "extra_forbidden":
            message = "unknown key" if name else "unknown kind of object"
            remedy = "remove it or correct its spelling; see docs/CONFIGURATION.md"
        case "missing":
            message = "required but missing"
            remedy = f"add {field}"
        case "string_pattern_mismatch":
            message = f"{item['input']!r} has the wrong form"
            remedy = f"write {PATTERN_FORMS[item['ctx']['pattern']]}"
        case _:
            pass
    return Problem(
        file=sources.get((kind, name)) or _first_file(kind, sources),
        object_name=f"{kind}.{name}" if name else kind,
        field=field,
        message=message,
        remedy=remedy,
    )


def _first_file(kind: str, sources: dict[ObjectKey, str]) -> str:
    """Return the first file that declares an object of a kind."""
    return next((file for key, file in sources.items() if key[0] == kind), "")
