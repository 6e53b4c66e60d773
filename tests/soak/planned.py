"""Planned work on a fleet of sound runners, in series that overlap."""

import asyncio
import contextlib
import signal

from tests.platform.scene import ENGINE, LIMITS, connect, make_configuration, make_route
from tests.platform.sound_runner import PROMPT, SOUND, UNWILLING
from tests.soak.faults import FaultInjector
from tests.soak.fleet import FleetShape

CALM_RUNNERS = (
    ("app", None, 3),
    ("spare", None, 2),
    ("llm", "prefill", 3),
    ("llm", "decode", 9),
)
CALM_ZONES = ("mtl-a", "qc-a", "sher-a")
DRAIN_S = 2.5
"""Drain time of runners; the hosts' settings have the same."""
REUSE_AFTER_S = 2.0
"""Time after which the address of a runner is used again."""
OVERTIME_S = 2.0
"""Time past the grace period after which a host is killed."""
START_S = 20.0
"""Time in which a host that was started takes connections."""
PROMPT_TIMEOUTS_MS = (3000, 5000, 9000)
CALL_TIMEOUTS_MS = (3000, 5000)
IDLE_TIMEOUTS_MS = (700, 2000, 15_000)
BODY_LIMITS_BYTES = (70_000, 100_000, 300_000)
NEW_ROUTE_SHARE = 0.5


def make_calm_shape(hosts):
    """Return the shape of a fleet in which only planned work is done."""
    return FleetShape(
        hosts=hosts,
        runners=CALM_RUNNERS,
        grace_s=8,
        most_events=80,
        work_s=(0.0, 0.1),
        piece_s=(0.03, 0.1),
        retry_after=(None, b"1"),
        handle_ttl_s=2.0,
        with_paths=False,
        zones=CALM_ZONES,
    )


class PlannedWork(FaultInjector):
    """Draws series of planned work, and trouble of the store, and carries them out."""

    def __init__(self, fleet, *, duration_s):
        super().__init__(fleet)
        self.duration_s = duration_s
        self._leaving = set()

    async def run(self):
        """Do the work of the seed; at the end all runners answer promptly."""
        intervals_s = {
            self.change: (0.1, 1.5),
            self.publish_storm: (2.0, 5.0),
            self.hang_up: (0.3, 2.0),
            self.stop_two: (2.0, 5.0),
            self.replace_runner: (1.0, 3.0),
            self.silence_runner: (0.5, 2.0),
            self.silence_many: (1.0, 4.0),
            self.slow_machine: (1.0, 4.0),
            self.trouble_store: (2.0, 6.0),
        }
        drawn = [action for action in intervals_s if self.rng.random() < 0.6]
        self.fleet.model.ways = self.rng.choice([SOUND, UNWILLING])
        await self.fleet.publish(self._draw_configuration)
        end_s = self.fleet.now_s() + self.duration_s
        async with asyncio.TaskGroup() as group:
            for action in drawn or [self.change]:
                group.create_task(self._repeat(action, intervals_s[action], end_s))
        self.fleet.model.ways = PROMPT
        await self.fleet.publish(self._draw_configuration)
        # Clients that show whether hosts serve again use the lasting routes only.
        self.fleet.new_route = None

    async def _repeat(self, action, interval_s, end_s):
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(*interval_s))
                if self.fleet.now_s() > end_s:
                    return
                group.create_task(action())

    async def change(self):
        """Publish a configuration of which each part may have changed."""
        fault = self._note("change", planned=True)
        await self._wait_for_store()
        await self.fleet.publish(self._draw_configuration)
        self._end(fault)

    async def publish_storm(self):
        """Publish configurations in quick succession."""
        for _ in range(self.rng.randint(4, 12)):
            await self.change()
            await asyncio.sleep(self.rng.uniform(0.02, 0.2))

    def _draw_configuration(self, version):
        rng = self.rng
        routes = [
            self._draw_route("status", "safe", ["app", "spare"]),
            self._draw_route("unlock", "unsafe", ["app", "spare"], MaxAttempts=1),
            self._draw_route("ask", "streaming", ["llm"], Resumable=True),
            self._draw_route("notes", "streaming", ["llm"], MaxAttempts=1),
        ]
        if rng.random() < NEW_ROUTE_SHARE:
            name = f"unlock-{version}"
            routes.append(self._draw_route(name, "unsafe", ["app"], MaxAttempts=1))
            # Clients go on with the route when a later version lacks it.
            self.fleet.new_route = name
        made = make_configuration(version, routes)
        made["Services"].append({"Name": "spare", "MaxConnections": 100})
        for service in made["Services"]:
            service["MaxConnections"] = rng.choice([50, 100, 600])
            if service["Name"] == "llm":
                service["Engine"] = ENGINE | {
                    "HandleTtlS": self.fleet.shape.handle_ttl_s
                }
        made["Limits"] = LIMITS | {
            "IdleTimeoutMs": rng.choice(IDLE_TIMEOUTS_MS),
            "MaxBodyBytes": rng.choice(BODY_LIMITS_BYTES),
        }
        return made

    def _draw_route(self, name, kind, services, **fields):
        rng = self.rng
        timeouts_ms = PROMPT_TIMEOUTS_MS if kind == "streaming" else CALL_TIMEOUTS_MS
        route = make_route(
            name,
            kind,
            rng.choice(services),
            TimeoutMs=rng.choice(timeouts_ms),
            TargetLatencyMs=rng.choice([300, 1000]),
            TargetGapMs=rng.choice([400, 1000]),
            MaxAttempts=rng.choice([2, 3]),
        )
        if len(services) > 1 and rng.random() < 0.5:
            route["TrafficSplit"] = [
                {"Service": service, "Weight": rng.choice([10, 50, 90])}
                for service in services
            ]
        return route | fields

    async def hang_up(self):
        """Change the settings file of a host and send it SIGHUP."""
        if (host := self._take_host()) is None:
            return
        fault = self._note(f"SIGHUP {host.name}", planned=True)
        other = self.rng.choice(self.fleet.hosts)
        host.settings["Seeds"] = [f"{other.settings['Ip']}:1"]
        host.write_settings()
        host.send(signal.SIGHUP)
        self._end(fault)
        self._busy_hosts.discard(host.name)

    async def stop_two(self):
        """Ask two hosts to leave at once, and start each once it is gone."""
        free = len(self.fleet.hosts) - len(self._busy_hosts)
        taken = [self._take_host() for _ in range(min(2, free - 2))]
        await asyncio.gather(*(self._stop(host) for host in taken))

    async def _stop(self, host):
        fault = self._note(f"SIGTERM {host.name}", planned=True)
        self.fleet.evidence.stops.append((host.name, fault.start_s))
        host.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.fleet.shape.grace_s + OVERTIME_S):
                await host.ended()
        except TimeoutError:
            self.fleet.evidence.errors.append(f"{host.name} runs past GraceS")
            host.send(signal.SIGKILL)
            await host.ended()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        host.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_S):
                await self._wait_for_connection(host)
        self._end(fault)
        self._busy_hosts.discard(host.name)

    async def _wait_for_connection(self, host):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await connect(host.client_address)
                writer.close()
                return
            await asyncio.sleep(0.05)

    async def replace_runner(self):
        """Let a runner leave, and start another one, at the same address or before."""
        free = [item for item in self.fleet.runners if item not in self._leaving]
        runner = self.rng.choice(free)
        kind = (runner.service, runner.stage)
        if sum((item.service, item.stage) == kind for item in free) < 2:
            return
        self._leaving.add(runner)
        fault = self._note(f"replace {runner.instance}", planned=True)
        same_address = self.rng.random() < 0.5
        if not same_address:
            await self._wait_for_store()
            await self.fleet.add_runner(*kind)
        runner.state = "draining"
        await runner.leave(
            announce=lambda: self._register(runner),
            withdraw=lambda: self._withdraw(runner),
            drain_s=DRAIN_S,
        )
        self.fleet.runners.remove(runner)
        if same_address:
            await asyncio.sleep(REUSE_AFTER_S)
            await self._wait_for_store()
            await self.fleet.add_runner(
                *kind, port=int(runner.address.rpartition(":")[2])
            )
        self._end(fault)

    async def _register(self, runner):
        await self._wait_for_store()
        await self.fleet.register(runner)

    async def _withdraw(self, runner):
        await self._wait_for_store()
        await self.fleet.store.drop("keyed.servers", runner.instance)

    async def silence_runner(self):
        """Let a runner be silent for a second or so."""
        self._silence([self.rng.choice(self.fleet.runners)])

    async def silence_many(self):
        """Let about half of the runners be silent together."""
        self._silence([item for item in self.fleet.runners if self.rng.random() < 0.5])

    def _silence(self, runners):
        now_s = self.fleet.now_s()
        for runner in runners:
            silence_s = self.fleet.model.draw_silence_s()
            runner.silent_until_s = max(runner.silent_until_s, now_s + silence_s)

    async def slow_machine(self):
        """Let a runner's machine be slow for a while."""
        runner = self.rng.choice(self.fleet.runners)
        runner.slowness = self.rng.uniform(1.5, 3.0)
        await self._pass_time()
        runner.slowness = 1.0

    async def trouble_store(self):
        """Let the store refuse, be silent or be slow for a while."""
        trouble = [self.refuse_at_store, self.silence_store, self.slow_store]
        await self.rng.choice(trouble)()

    async def slow_store(self):
        """Hold up all that hosts and the store send each other for a while."""
        fault = self._note("store is slow")
        delay_s = self.rng.uniform(0.1, 0.8)
        for relay in self.fleet.store_relays.values():
            relay.delay_s = delay_s
        await self._pass_time()
        for relay in self.fleet.store_relays.values():
            relay.delay_s = 0.0
        self._end(fault)

    async def _wait_for_store(self):
        while self.fleet.store.down or self.fleet.store.unresponsive:
            await asyncio.sleep(0.05)
