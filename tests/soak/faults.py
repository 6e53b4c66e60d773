"""Faults that a soak injects from outside, drawn by its seed."""

import asyncio
import random
import signal

from lacewinglug.standin.relay import PathState
from tests.platform.scene import make_configuration
from tests.soak.records import Fault

SPAN_S = 9.0
"""Time in which faults begin, in s."""
MOST_FAULTS = 8
"""Most faults of a soak."""
LONGEST_S = 3.0
"""Longest time of a fault, in s."""
RUNNER_MODES = ("cut", "reject", "fail", "hang", "stray", "unsigned")


class FaultInjector:
    """Draws faults and carries them out, side by side where they overlap."""

    def __init__(self, fleet):
        self.fleet = fleet
        # Drawn apart from the rest, so that a seed stands for the same faults.
        self.rng = random.Random(fleet.seed)
        self._busy_hosts = set()

    async def run(self):
        """Inject the faults of the seed, and heal each of them."""
        actions = [
            self.kill_host,
            self.pause_host,
            self.stop_host,
            self.reload_host,
            self.change_configuration,
            self.crash_runner,
            self.spoil_runner,
            self.drain_runner,
            self.refuse_at_store,
            self.silence_store,
            self.part_host_from_store,
            self.disturb_runner_path,
            self.silence_connections,
        ]
        count = self.rng.randint(3, MOST_FAULTS)
        times = sorted(self.rng.uniform(0, SPAN_S) for _ in range(count))
        drawn = [(at_s, self.rng.choice(actions)) for at_s in times]
        start_s = self.fleet.now_s()
        tasks = []
        for at_s, action in drawn:
            await asyncio.sleep(max(0.0, start_s + at_s - self.fleet.now_s()))
            tasks.append(asyncio.create_task(action()))
        await asyncio.gather(*tasks)

    def _note(self, name, *, planned=False):
        fault = Fault(
            name=name,
            start_s=self.fleet.now_s(),
            end_s=float("inf"),
            planned=planned,
        )
        self.fleet.evidence.faults.append(fault)
        return fault

    def _end(self, fault):
        fault.end_s = self.fleet.now_s()

    async def _pass_time(self):
        await asyncio.sleep(self.rng.uniform(0.2, LONGEST_S))

    def _take_host(self):
        """Return a host that no other fault holds, None where there is none."""
        free = [host for host in self.fleet.hosts if host.name not in self._busy_hosts]
        if not free:
            return None
        host = self.rng.choice(free)
        self._busy_hosts.add(host.name)
        return host

    async def kill_host(self):
        """Kill a host and start it again."""
        if (host := self._take_host()) is None:
            return
        fault = self._note(f"kill {host.name}")
        host.send(signal.SIGKILL)
        await host.ended()
        await self._pass_time()
        await self._restart(host, fault)

    async def pause_host(self):
        """Stop a host's process for a while."""
        if (host := self._take_host()) is None:
            return
        fault = self._note(f"pause {host.name}")
        host.send(signal.SIGSTOP)
        await self._pass_time()
        host.send(signal.SIGCONT)
        self._end(fault)
        self._busy_hosts.discard(host.name)

    async def stop_host(self):
        """Ask a host to leave, and start it again once it is gone."""
        if (host := self._take_host()) is None:
            return
        fault = self._note(f"terminate {host.name}", planned=True)
        self.fleet.evidence.stops.append((host.name, fault.start_s))
        for _ in range(self.rng.randint(1, 3)):
            if host.process.poll() is None:
                host.send(signal.SIGTERM)
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        await host.ended()
        await self._restart(host, fault)

    async def _restart(self, host, fault):
        host.start()
        self._end(fault)
        self._busy_hosts.discard(host.name)

    async def reload_host(self):
        """Change a host's settings file, with or without a signal."""
        host = self.rng.choice(self.fleet.hosts)
        fault = self._note(f"reload {host.name}", planned=True)
        host.settings["Seeds"] = [
            f"{other.settings['Ip']}:1" for other in self.fleet.hosts
        ]
        host.write_settings()
        if self.rng.random() < 0.7 and host.process.poll() is None:
            host.process.send_signal(signal.SIGHUP)
        self._end(fault)

    async def change_configuration(self):
        """Publish one to four configurations in a row."""
        fault = self._note("configure", planned=True)
        for _ in range(self.rng.randint(1, 4)):
            await self.fleet.publish(make_configuration)
            await asyncio.sleep(self.rng.uniform(0, 0.2))
        self._end(fault)

    async def crash_runner(self):
        """End a runner, and start another one in its place."""
        runner = self.rng.choice(self.fleet.runners)
        fault = self._note(f"crash {runner.instance}")
        await self.fleet.drop_runner(runner)
        await self._pass_time()
        await self.fleet.add_runner(runner.service, runner.stage)
        self._end(fault)

    async def drain_runner(self):
        """Replace a runner as planned: the new one starts before the old one drains."""
        runner = self.rng.choice(self.fleet.runners)
        if runner.state == "draining":
            return
        fault = self._note(f"drain {runner.instance}", planned=True)
        await self.fleet.add_runner(runner.service, runner.stage)
        runner.state = "draining"
        await self.fleet.register(runner)
        await asyncio.sleep(LONGEST_S)
        if runner in self.fleet.runners:
            await self.fleet.store.drop("keyed.servers", runner.instance)
        self._end(fault)

    async def spoil_runner(self):
        """Let a runner answer wrongly or not at all for a while."""
        runner = self.rng.choice(self.fleet.runners)
        mode = self.rng.choice(RUNNER_MODES)
        fault = self._note(f"{mode} at {runner.instance}")
        runner.mode = mode
        await self._pass_time()
        runner.mode = "serve"
        self._end(fault)

    async def refuse_at_store(self):
        """Let the store refuse all calls for a while."""
        fault = self._note("store refuses")
        self.fleet.store.down = True
        await self._pass_time()
        self.fleet.store.down = False
        self._end(fault)

    async def silence_store(self):
        """Let the store answer nobody for a while."""
        fault = self._note("store is silent")
        self.fleet.store.unresponsive = True
        await self._pass_time()
        self.fleet.store.unresponsive = False
        self._end(fault)

    async def part_host_from_store(self):
        """Disturb the path of one host to the store for a while."""
        name = self.rng.choice(sorted(self.fleet.store_relays))
        await self._disturb(self.fleet.store_relays[name], f"store of {name}")

    async def disturb_runner_path(self):
        """Disturb the path of all hosts to one runner for a while."""
        runner = self.rng.choice(self.fleet.runners)
        await self._disturb(runner.relay, f"path to {runner.instance}")

    async def _disturb(self, relay, name):
        how = self.rng.choice(["one_way", "silent", "cut", "delay", "reset"])
        fault = self._note(f"{how}: {name}")
        if how == "delay":
            relay.delay_s = self.rng.uniform(0.05, 0.5)
        elif how == "reset":
            relay.cut_open_connections()
        else:
            relay.state = PathState(how)
            if how == "cut":
                relay.cut_open_connections()
        await self._pass_time()
        relay.delay_s = 0.0
        relay.state = PathState.FORWARD
        self._end(fault)

    async def silence_connections(self):
        """Let the open connections to a runner go silent for good."""
        runner = self.rng.choice(self.fleet.runners)
        fault = self._note(f"silent connections to {runner.instance}")
        runner.relay.silence_open_connections()
        await self._pass_time()
        self._end(fault)
