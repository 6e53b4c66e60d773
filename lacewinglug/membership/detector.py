"""Finds silent hosts, and asks others before it suspects one."""

from collections.abc import Collection
from dataclasses import dataclass, field

RECONNECT_AFTER_S = 1.5
RECONNECT_AGAIN_S = 5.0
ASK_AFTER_S = 3.0
SUSPECT_AFTER_S = 4.5
PAUSE_S = 3.0
_ISOLATION_COUNT = 3


@dataclass(kw_only=True, slots=True)
class Watch:
    """What is known of one watched host.

    :param heard_at_s: monotonic time of its last sign of life, in seconds.
    :param answered_at_s: monotonic time of its last answer on the connection to
        it, in seconds.
    :param renewed_at_s: monotonic time at which that connection was replaced, in
        seconds, None while it answers.
    :param asked: whether others were asked about it.
    """

    heard_at_s: float
    answered_at_s: float
    renewed_at_s: float | None = None
    asked: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Reconnect:
    """Replace the connection to a host, which may have gone silent alone."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskOthers:
    """Ask other hosts whether they hear from a host."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """No host that was asked hears from a host."""

    host: str


DetectorAction = Reconnect | AskOthers | Suspect


@dataclass(kw_only=True)
class FailureDetector:
    """Owns the silence of the watched hosts.

    A process that was paused, or that hears from none of several hosts, blames
    itself and suspects nobody.
    """

    watches: dict[str, Watch] = field(default_factory=dict)
    _advanced_at_s: float | None = None

    def set_targets(self, targets: Collection[str], *, now_s: float) -> None:
        """Watch these hosts."""
        for name in set(self.watches) - set(targets):
            del self.watches[name]
        for name in targets:
            self.watches.setdefault(name, _start_watch(now_s))

    def note_alive(self, host: str, *, now_s: float) -> None:
        """Take a sign of life, whichever way it came."""
        watch = self.watches.get(host)
        if watch is not None:
            watch.heard_at_s = now_s
            watch.asked = False

    def note_answer(self, host: str, *, now_s: float) -> None:
        """Take an answer on the connection to a host."""
        if host in self.watches:
            self.watches[host] = _start_watch(now_s)

    def advance(self, *, now_s: float) -> list[DetectorAction]:
        """Return what is to be done about silent hosts."""
        before_s, self._advanced_at_s = self._advanced_at_s, now_s
        if before_s is not None and now_s - before_s > PAUSE_S:
            for name in self.watches:
                self.watches[name] = _start_watch(now_s)
        if self._is_isolated(now_s):
            return [
                action
                for action in self._actions(now_s)
                if not isinstance(action, Suspect)
            ]
        return self._actions(now_s)

    def _is_isolated(self, now_s: float) -> bool:
        silent = [
            now_s - watch.heard_at_s > RECONNECT_AFTER_S
            for watch in self.watches.values()
        ]
        return len(silent) >= _ISOLATION_COUNT and all(silent)

    def _actions(self, now_s: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        for host, watch in self.watches.items():
            silence_s = now_s - watch.heard_at_s
            if silence_s > SUSPECT_AFTER_S:
                actions.append(Suspect(host=host))
            if silence_s > ASK_AFTER_S and not watch.asked:
                watch.asked = True
                actions.append(AskOthers(host=host))
            if _is_renewal_due(watch, now_s):
                watch.renewed_at_s = now_s
                actions.append(Reconnect(host=host))
        return actions


def _start_watch(now_s: float) -> Watch:
    return Watch(heard_at_s=now_s, answered_at_s=now_s)


def _is_renewal_due(watch: Watch, now_s: float) -> bool:
    """Return whether the connection went unanswered for too long."""
    if watch.renewed_at_s is None:
        return now_s - watch.answered_at_s > RECONNECT_AFTER_S
    return now_s - watch.renewed_at_s > RECONNECT_AGAIN_S
