"""A deployment of real processes on loopback."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Self

import msgspec

from lacewinglug.config.loading import load_config
from lacewinglug.config.objects import Fleet, Runner
from lacewinglug.entry.app import StatusReply

_EXAMPLE_PORT = re.compile(r"\b87(\d\d)\b")
_PORT_COUNT = 100
_FIRST_PORT = 20000
_LAST_PORT = 32000
_PLATFORM_PORT = 0
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
EXAMPLES = Path(__file__).parent.parent / "examples"


class DeploymentError(Exception):
    """A process of the deployment did not start or stop in time."""


@dataclass(kw_only=True)
class Deployment:
    """Processes of one example deployment, on free ports.

    :param example: name of the folder below ``examples``.
    :param folder: empty folder for configuration, settings and logs.
    :param entry_settings: fields of the entry's settings, as TOML lines.
    :param platform_ports: port at which a host finds the platform, by host, where a
        relay stands between them.
    :param control_ports: port on which a host's steward listens, by host, where a
        relay listens on the declared one.
    """

    example: str
    folder: Path
    entry_settings: str = "address_ttl_s = 0.3\nleave_notice_s = 0.2\n"
    platform_ports: dict[str, int] = field(default_factory=dict)
    control_ports: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._guard, self.base_port = reserve_port_block()
        self.config_folder.mkdir(parents=True)
        for path in (EXAMPLES / self.example).glob("*.toml"):
            text = _EXAMPLE_PORT.sub(self._shift_port, path.read_text())
            (self.config_folder / path.name).write_text(text)

    def _shift_port(self, match: re.Match[str]) -> str:
        return str(self.base_port + int(match.group(1)))

    def __enter__(self) -> Self:
        """Return the deployment."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop every process."""
        self.stop_all()

    @property
    def config_folder(self) -> Path:
        """Folder of the configuration with the deployment's own ports."""
        return self.folder / "config"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's stand-in."""
        return f"http://127.0.0.1:{self.base_port + _PLATFORM_PORT}"

    @property
    def fleet(self) -> Fleet:
        """The configuration of the deployment."""
        checked = load_config(self.config_folder)
        if checked.fleet is None:
            raise DeploymentError("\n".join(str(item) for item in checked.problems))
        return checked.fleet

    def entry_url(self, host: str) -> str:
        """Return the base URL of an entry host."""
        item = self.fleet.hosts[host]
        return f"http://{item.address}:{item.entry_port}"

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        port = self.base_port + _PLATFORM_PORT
        self._start("platform", "standin", "platform", "--port", str(port))
        self.wait_url("platform", f"{self.platform_url}/hosts")

    def start_runners(self, names: list[str] | None = None, *options: str) -> None:
        """Start stand-ins of runners, by default all of them."""
        fleet = self.fleet
        for name in names or list(fleet.runners):
            runner = fleet.runners[name]
            kind = fleet.services[runner.service].kind
            standin = ["engine"] if kind == "model" else ["service"]
            if kind == "model":
                standin += self._engine_options(runner)
            port = runner.url.rpartition(":")[2]
            self._start(name, "standin", *standin, "--port", port, *options)
        for name in names or list(fleet.runners):
            self.wait_url(name, f"{fleet.runners[name].url}/load")

    def _engine_options(self, runner: Runner) -> list[str]:
        """Return options of an engine that runs what is declared already."""
        service = self.fleet.services[runner.service]
        options = ["--role", runner.initial_role, "--version", service.version]
        for adapter in service.adapters:
            options += ["--adapter", adapter]
        if not runner.checks_fencing:
            options.append("--ignores-fencing")
        return [*options, "--weight-store-url", self.platform_url]

    def start_hosts(self, names: list[str] | None = None) -> None:
        """Start steward and entry of hosts, by default of all."""
        for name in names or list(self.fleet.hosts):
            self.start_steward(name)
            self.start_entry(name)

    def start_steward(self, host: str) -> None:
        """Start the steward of a host."""
        path = self._write_settings(host)
        self._start(f"{host}.steward", "steward", "--settings", str(path))

    def start_entry(self, host: str) -> None:
        """Start the entry of a host."""
        path = self._write_settings(host)
        self._start(f"{host}.entry", "entry", "--settings", str(path))

    def _write_settings(self, host: str) -> Path:
        item = self.fleet.hosts[host]
        path = self.folder / f"{host}.toml"
        port = self.platform_ports.get(host, self.base_port + _PLATFORM_PORT)
        platform_url = f"http://127.0.0.1:{port}"
        control_port = self.control_ports.get(host, item.control_port)
        path.write_text(
            f'[host]\nname = "{host}"\n'
            f'availability_zone = "{item.availability_zone}"\n'
            f'address = "{item.address}"\n\n'
            f'[platform]\nlog_url = "{platform_url}"\n'
            f'host_list_url = "{platform_url}"\n'
            f'weight_store_url = "{platform_url}"\n\n'
            f"[entry]\nport = {item.entry_port}\n{self.entry_settings}\n"
            f"[steward]\ncontrol_port = {control_port}\n"
        )
        return path

    def _start(self, name: str, program: str, *arguments: str) -> None:
        script = Path(sys.executable).parent / f"lacewinglug-{program}"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(script), *arguments], stdout=log, stderr=log
            )

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line against this deployment."""
        script = Path(sys.executable).parent / "lacewinglug"
        environment = os.environ | {
            "LACEWINGLUG_LOG_URL": self.platform_url,
            "LACEWINGLUG_ENTRY_URL": self.entry_url(next(iter(self.fleet.hosts))),
            "LACEWINGLUG_OPERATOR": "operator",
        }
        return subprocess.run(
            [str(script), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def publish(self) -> str:
        """Publish the configuration and return what the command printed."""
        done = self.run_command("publish", str(self.config_folder))
        if done.returncode != 0:
            raise DeploymentError(done.stderr)
        return done.stdout

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def wait_url(self, name: str, url: str) -> None:
        """Wait until a process answers at a URL."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.processes[name].poll() is not None:
                raise DeploymentError(f"{name} ended:\n{self.read_log(name)}")
            try:
                with urllib.request.urlopen(url, timeout=1.0):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(_POLL_INTERVAL_S)
        raise DeploymentError(f"{name} does not answer:\n{self.read_log(name)}")

    def wait_serving(self, hosts: list[str], runners: list[str]) -> None:
        """Wait until entries serve with hosts and runners that are ready."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all(self._is_serving(host, hosts, runners) for host in hosts):
                return
            time.sleep(_POLL_INTERVAL_S)
        raise DeploymentError(
            f"{', '.join(runners)} not ready at {', '.join(hosts)} in time"
        )

    def _is_serving(self, host: str, hosts: list[str], runners: list[str]) -> bool:
        url = f"{self.entry_url(host)}/v1/status"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                reply = msgspec.json.decode(response.read(), type=StatusReply)
        except (urllib.error.URLError, OSError):
            return False
        live = {item.host for item in reply.hosts if item.state == "live"}
        ready = {
            item.runner
            for item in reply.runners
            if item.report.state == "ready"
            and item.report.role == self.fleet.runners[item.runner].initial_role
        }
        return live >= set(hosts) and ready >= set(runners)

    def read_log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f"{name}.log").read_text()

    def stop(self, name: str) -> int:
        """Stop one process gracefully and return its exit status."""
        process = self.processes.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return process.wait(timeout=_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_together(self, names: list[str]) -> list[int]:
        """Stop processes at the same time and return their exit statuses."""
        for name in names:
            self.send_signal(name, signal.SIGTERM)
        return [self.stop(name) for name in names]

    def stop_all(self) -> None:
        """Stop every process, gracefully where it works."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for name in list(self.processes):
            self.stop(name)
        self._guard.close()


def reserve_port_block() -> tuple[socket.socket, int]:
    """Reserve a block of free ports.

    :returns: the socket that reserves the block until it is closed, and the
        first port.
    """
    for base_port in range(_FIRST_PORT, _LAST_PORT, _PORT_COUNT):
        guard = _bind(base_port + _PORT_COUNT - 1)
        if guard is None:
            continue
        if all(_is_free(base_port + index) for index in range(_PORT_COUNT - 1)):
            return guard, base_port
        guard.close()
    raise DeploymentError("no free block of ports on loopback; stop other deployments")


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None when the port is taken."""
    probe = socket.socket()
    try:
        probe.bind(("127.0.0.1", port))
    except OSError:
        probe.close()
        return None
    return probe


def _is_free(port: int) -> bool:
    probe = _bind(port)
    if probe is None:
        return False
    probe.close()
    return True
