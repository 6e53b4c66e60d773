"""Failure detector that uses indirect probes before it suspects a silent host."""

from collections.abc import Collection
from dataclasses import dataclass, field

RECONNECT_AFTER_S = 1.5
RECONNECT_INTERVAL_S = 5.0
INDIRECT_PROBE_AFTER_S = 3.0
SUSPECT_AFTER_S = 4.5
PAUSE_THRESHOLD_S = 3.0
_MIN_HOSTS_FOR_ISOLATION = 3


@dataclass(kw_only=True, slots=True)
class MonitoredHost:
    """The state of one monitored host.

    :param last_heard_s: monotonic time of the last evidence that the host is
        alive, in seconds.
    :param last_reply_s: monotonic time of the last reply on the connection to the
        host, in seconds.
    :param reconnected_at_s: monotonic time at which that connection was last
        replaced without a reply since, in seconds; None otherwise.
    :param indirect_probe_sent: whether other hosts were asked to probe the host
        since it was last heard.
    """

    last_heard_s: float
    last_reply_s: float
    reconnected_at_s: float | None = None
    indirect_probe_sent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Reconnect:
    """Replace the connection to a host, as only the connection may have failed."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class IndirectProbe:
    """Ask other hosts to probe a host."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectHost:
    """Mark a host as suspect because no direct or indirect probe succeeded."""

    host: str


DetectorAction = Reconnect | IndirectProbe | SuspectHost


@dataclass(kw_only=True)
class FailureDetector:
    """Tracks how long each monitored host has been silent.

    If this process was paused, or if all of several monitored hosts are silent,
    the fault is probably local, so no host is suspected.
    """

    monitored: dict[str, MonitoredHost] = field(default_factory=dict)
    _last_tick_s: float | None = None

    def set_targets(self, targets: Collection[str], *, now_s: float) -> None:
        """Replace the set of monitored hosts."""
        for name in set(self.monitored) - set(targets):
            del self.monitored[name]
        for name in targets:
            self.monitored.setdefault(name, _start_monitoring(now_s))

    def record_alive(self, host: str, *, now_s: float) -> None:
        """Record that a host is alive, from any direct or indirect evidence."""
        monitored = self.monitored.get(host)
        if monitored is not None:
            monitored.last_heard_s = now_s
            monitored.indirect_probe_sent = False

    def record_reply(self, host: str, *, now_s: float) -> None:
        """Record a reply on the connection to a host."""
        if host in self.monitored:
            self.monitored[host] = _start_monitoring(now_s)

    def tick(self, *, now_s: float) -> list[DetectorAction]:
        """Return the actions that are due for silent hosts."""
        last_tick_s, self._last_tick_s = self._last_tick_s, now_s
        if last_tick_s is not None and now_s - last_tick_s > PAUSE_THRESHOLD_S:
            for name in self.monitored:
                self.monitored[name] = _start_monitoring(now_s)
        if self._is_isolated(now_s):
            return [
                action
                for action in self._due_actions(now_s)
                if not isinstance(action, SuspectHost)
            ]
        return self._due_actions(now_s)

    def _is_isolated(self, now_s: float) -> bool:
        silent = [
            now_s - host.last_heard_s > RECONNECT_AFTER_S
            for host in self.monitored.values()
        ]
        return len(silent) >= _MIN_HOSTS_FOR_ISOLATION and all(silent)

    def _due_actions(self, now_s: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        for host, monitored in self.monitored.items():
            silence_s = now_s - monitored.last_heard_s
            if silence_s > SUSPECT_AFTER_S:
                actions.append(SuspectHost(host=host))
            if silence_s > INDIRECT_PROBE_AFTER_S and not monitored.indirect_probe_sent:
                monitored.indirect_probe_sent = True
                actions.append(IndirectProbe(host=host))
            if _is_reconnect_due(monitored, now_s):
                monitored.reconnected_at_s = now_s
                actions.append(Reconnect(host=host))
        return actions


def _start_monitoring(now_s: float) -> MonitoredHost:
    return MonitoredHost(last_heard_s=now_s, last_reply_s=now_s)


def _is_reconnect_due(monitored: MonitoredHost, now_s: float) -> bool:
    """Return whether the connection has had no reply for too long."""
    if monitored.reconnected_at_s is None:
        return now_s - monitored.last_reply_s > RECONNECT_AFTER_S
    return now_s - monitored.reconnected_at_s > RECONNECT_INTERVAL_S
