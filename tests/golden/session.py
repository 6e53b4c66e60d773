"""Writes down a whole session in a form that is the same every time."""

import re
from dataclasses import dataclass, field

_NORMAL_FORMS = (
    (re.compile(r"127\.0\.0\.1:\d{4,5}"), "ADDRESS"),
    (
        re.compile(r"\b([a-z0-9-]+)\.[0-9a-f]{12}\.\d+(\.[0-9a-f]{15,16}\b)?"),
        r"\1.INCARNATION.N",
    ),
    (re.compile(r"running \d+/"), "running N/"),
)


@dataclass(kw_only=True)
class SessionTranscript:
    """The steps of a session and what each of them printed or answered."""

    lines: list[str] = field(default_factory=list)

    def note(self, step: str, outcome: object) -> None:
        """Add one step, without addresses and incarnations."""
        text = str(outcome).strip()
        for pattern, replacement in _NORMAL_FORMS:
            text = pattern.sub(replacement, text)
        self.lines.append(f"> {step}")
        self.lines.extend(text.splitlines())

    def __str__(self) -> str:
        """Return the transcript as text."""
        return "\n".join(self.lines) + "\n"
