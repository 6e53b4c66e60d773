"""Plays requests on kept connections while configurations come in quick succession.

Each request that was wholly sent has to get a complete response, unless a runner that
had the request broke off. Runners fall silent for a second and go on, answer without a
length or chunks, reject requests, leave and come back. To play more seeds than the
tests do, by hand:

    python -m tests.host.change_play --first 1 --seeds 50

With ``--silences`` about half of the runners also fall silent together now and then.
Several silences in a row then use up the timeout of some routes, which the platform's
rules excuse and the play counts as lost.
"""

import argparse
import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.host.hosting import running_host
from tests.platform.scene import (
    ENGINE,
    LIMITS,
    HostTestbed,
    connect,
    encode_request,
    make_configuration,
    make_route,
    read_response,
)
from tests.platform.sound_runner import SOUND, RunnerModel, Serve, SoundRunner

PLAY_S = 5.0
"""Time for which requests are sent."""
TICK_S = 0.01
"""Time between two looks at how late the event loop is."""
CLIENTS = 40
"""Connections, each with one request at a time."""
CHANGE_INTERVAL_S = (0.02, 0.4)
"""Shortest and longest time between two versions of the configuration."""
SILENCE_INTERVAL_S = (1.5, 3.0)
"""Shortest and longest time between two silences of many runners at once."""
REUSE_FRACTION = 0.8
"""Fraction of the idle limit in force for which clients reuse a connection."""
EVENTS = 5
PATHS = ("/status/", "/unlock/1", "/ask/1", "/notes/1")
WAYS = {**SOUND, Serve(breaks_off=True): 4}
"""Ways in which a runner handles a request, with their weights."""


@dataclass(kw_only=True)
class ChangePlay:
    """One play.

    :param seed: seed of all random choices; the order of events still varies.
    :param silences: whether many runners fall silent together.
    :param responses: number of complete responses by path and status.
    :param lost: requests without a complete response, as text.
    :param unread: requests on connections that the host closed before it read them.
    :param versions: versions of the configuration that were published.
    :param metrics: metrics of the host at the end.
    """

    seed: int
    silences: bool = False
    responses: Counter = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    unread: int = 0
    versions: int = 1
    metrics: str = ""
    _stalls: list[tuple[float, float]] = field(default_factory=list)
    _limits: dict = field(default_factory=lambda: LIMITS)

    async def run(self):
        """Play once."""
        rng = random.Random(self.seed)
        self._rng = rng
        self._model = RunnerModel(rng=rng, ways=WAYS)
        fields = {"model": self._model, "event_count": EVENTS}
        runners = [
            SoundRunner(f"{service}-{n}", service, stage=stage, **fields)
            for service, stage, count in (
                ("app", None, 3),
                ("spare", None, 2),
                ("llm", "prefill", 2),
                ("llm", "decode", 3),
            )
            for n in (f"{stage}-{number}" for number in range(count))
        ]
        scene = await HostTestbed().open(
            *runners, configuration=self._make_configuration(1)
        )
        try:
            async with running_host(scene.settings) as process:
                await scene.wait_until_ready()
                self._process = process
                self._outcomes = _watch_outcomes(process)
                await self._play(scene)
                self.metrics = process._metrics.render().decode()
        finally:
            scene.close()

    async def _play(self, scene):
        end_s = asyncio.get_running_loop().time() + PLAY_S
        troubles = [
            asyncio.create_task(self._change(scene)),
            asyncio.create_task(self._watch_stalls()),
        ]
        if self.silences:
            troubles.append(asyncio.create_task(self._silence(scene)))
        await asyncio.gather(*(self._send(scene, end_s) for _ in range(CLIENTS)))
        for trouble in troubles:
            trouble.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await trouble

    async def _watch_stalls(self):
        """Keep when and for how long the event loop of host and runners stood still."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            if loop.time() - due_s > TICK_S:
                self._stalls.append((loop.time(), loop.time() - due_s))

    def _stalled_s(self, since_s):
        """Return the longest stall and the sum of all that ended since a time."""
        stalls = [length_s for end_s, length_s in self._stalls if end_s > since_s]
        return max(stalls, default=0.0), sum(stalls)

    async def _silence(self, scene):
        """Let about half of the runners fall silent together, and go on."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(*SILENCE_INTERVAL_S))
            for runner in scene.runners:
                if self._rng.random() < 0.5:
                    runner.silent_until_s = loop.time() + self._model.draw_silence_s()

    async def _change(self, scene):
        """Publish versions of the configuration, and let a runner leave with each."""
        away = None
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_S))
            self.versions += 1
            version = self._make_configuration(self.versions)
            await scene.store.put("keyed.op", "config", version)
            while self._process.state.routes.version < self.versions:
                await asyncio.sleep(0.005)
            self._limits = version["Limits"]
            runner = self._rng.choice(scene.runners)
            await scene.store.drop("keyed.servers", runner.instance)
            if away is not None:
                await scene.store.put("keyed.servers", away.instance, away.entry())
            away = runner

    def _make_configuration(self, version):
        rng = self._rng
        routes = [
            route
            for route in (
                self._make_route("status", "safe", ["app", "spare"]),
                self._make_route("unlock", "unsafe", ["app", "spare"], MaxAttempts=1),
                self._make_route("ask", "streaming", ["llm"], Resumable=True),
                self._make_route("notes", "streaming", ["llm"], MaxAttempts=1),
            )
            if rng.random() < 0.97
        ]
        found = make_configuration(version, routes or None)
        found["Services"].append({"Name": "spare", "MaxConnections": 100})
        for service in found["Services"]:
            if service["Name"] == "llm" and rng.random() < 0.1:
                del service["Engine"]
            elif service["Name"] == "spare" and rng.random() < 0.1:
                service["Engine"] = ENGINE
        if rng.random() < 0.1:
            found["Services"].pop(rng.randrange(3))
        found["Limits"] = LIMITS | {"IdleTimeoutMs": rng.choice([700, 2000, 15000])}
        return found

    def _make_route(self, name, kind, services, **fields):
        rng = self._rng
        if rng.random() < 0.05:
            services = ["app", "spare", "llm"]
        if rng.random() < 0.05:
            kind = rng.choice(["safe", "unsafe", "streaming"])
        route = make_route(
            name,
            kind,
            rng.choice(services),
            TimeoutMs=rng.choice([4000, 6000, 9000]),
            TargetLatencyMs=rng.choice([300, 1000]),
            TargetGapMs=rng.choice([100, 400, 1000]),
        )
        route |= {"MaxAttempts": rng.choice([1, 2, 2, 3])} | fields
        if rng.random() < 0.3:
            route["TrafficSplit"] = [
                {"Service": service, "Weight": rng.choice([0, 0, 10, 90])}
                for service in services
            ]
        return route

    async def _send(self, scene, end_s):
        """Send one request after another on a connection that is kept."""
        rng, loop = self._rng, asyncio.get_running_loop()
        reader = writer = None
        while loop.time() < end_s:
            pause_s = rng.choice([0.0, 0.0, 0.05, rng.uniform(0.0, 1.2)])
            await asyncio.sleep(pause_s)
            reusable_s = REUSE_FRACTION * self._limits["IdleTimeoutMs"] / 1000
            if writer is None or pause_s > reusable_s or reader.at_eof():
                if writer is not None:
                    writer.close()
                reader, writer = await connect(scene.listen_address("Frontend"))
            path = rng.choice(PATHS)
            method, body = ("GET", b"") if path == "/status/" else ("POST", b"hi")
            request_id = f"{rng.getrandbits(64):016x}"
            version, sent_s = self.versions, loop.time()
            data = encode_request(
                path,
                method,
                body,
                {
                    "X-Lacewinglug-Request-Id": request_id,
                    "X-Lacewinglug-Deadline-Ms": "9000",
                },
            )
            try:
                writer.write(data)
                response = await read_response(reader)
            except (OSError, asyncio.IncompleteReadError):
                response = None
            took = f"{loop.time() - sent_s:.2f} s, version {version}"
            if response is not None and response.complete:
                self.responses[f"{path} {response.status}"] += 1
                if response.headers.get("connection") == "close":
                    writer.close()
                    writer = None
                continue
            writer.close()
            writer = None
            if request_id in self._model.broken:
                continue
            if request_id not in self._outcomes and response is None:
                self.unread += 1
                continue
            longest_s, all_s = self._stalled_s(sent_s)
            self.lost.append(
                f"{path} {request_id} {self._outcomes.get(request_id)} after {took}, "
                f"longest stall {longest_s:.2f} s of {all_s:.2f} s"
            )


def _watch_outcomes(process):
    """Return a dict that is filled with the outcome of each request, by its id."""
    outcomes = {}
    record = process._reporter.record_completion

    def watch(trace, *, outcome, status, now_s):
        outcomes[trace.request_id] = (outcome, status, trace.steps)
        record(trace, outcome=outcome, status=status, now_s=now_s)

    process._reporter.record_completion = watch
    return outcomes


def main():
    """Play a number of seeds and print what each found."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--silences", action="store_true")
    given = parser.parse_args()
    for seed in range(given.first, given.first + given.seeds):
        play = ChangePlay(seed=seed, silences=given.silences)
        asyncio.run(play.run())
        print(
            f"seed {seed}: {play.versions} versions, "
            f"{sum(play.responses.values())} responses, {play.unread} unread, "
            f"{len(play.lost)} lost"
        )
        errors = [
            line
            for line in play.metrics.splitlines()
            if line.startswith("lacewinglug_internal_errors_total{")
        ]
        for line in play.lost + errors:
            print(f"  {line}")


if __name__ == "__main__":
    main()
