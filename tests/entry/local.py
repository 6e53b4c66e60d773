"""Runs an entry and its engines inside the test process, on real sockets."""

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import msgspec
import uvicorn

from lacewinglug.clock import SystemClock
from lacewinglug.config.objects import (
    AvailabilityZone,
    EngineRole,
    Fleet,
    Host,
    Model,
    Organisation,
    Region,
    RequestKind,
    Runner,
    Service,
    Version,
)
from lacewinglug.connections import make_connector
from lacewinglug.control import ConfigView, HostStatus, RunnerStatus, StatusView
from lacewinglug.entry.gate import RequestLimiter
from lacewinglug.entry.process import build_entry
from lacewinglug.entry.server import cancel_tasks, serve_http
from lacewinglug.entry.shutdown import EntryShutdown
from lacewinglug.metrics import Metrics
from lacewinglug.settings import Settings
from lacewinglug.standin.engine import EngineStandin
from lacewinglug.upstream.messages import LoadReport

PROMPTS = "/v1/services/assistant/prompts"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def wait_for(condition, timeout_s=30.0):
    """Wait until a condition holds.

    The default timeout is generous; it is not a limit that tests assert.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def serve_standin(app):
    """Serve an application and yield its port."""
    config = uvicorn.Config(app, port=0, log_config=None, lifespan="off")
    server = uvicorn.Server(config)
    task = asyncio.create_task(server._serve())
    await wait_for(lambda: server.started)
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        for listener in server.servers:
            listener.close()
        await cancel_tasks([task])


@dataclass
class LocalEntry:
    """One running entry.

    :param engines: engine stand-ins by name.
    """

    engines: dict[str, EngineStandin]
    app: object
    limiter: RequestLimiter
    shutdown: EntryShutdown
    session: aiohttp.ClientSession
    url: str
    metrics: Metrics
    stop_requested: asyncio.Event
    serving: asyncio.Task = field(default=None)

    def prompt(self, **changes):
        """Send a prompt; use it as an asynchronous context."""
        fields = {"prompt": "which bay is free", "max_tokens": 5} | changes
        return self.session.post(
            self.url + PROMPTS,
            data=msgspec.json.encode(fields),
            headers={"X-Caller": "volt"},
        )

    def set_config(self, **changes):
        """Replace fields of the configuration in force."""
        config = self.app.view.config
        self.app.view.config = msgspec.structs.replace(config, **changes)


def make_fleet(ports, entry_port, kinds):
    zones = {"mtl-a": AvailabilityZone(region="mtl", one_way_delay_s=0.001)}
    return Fleet(
        regions={"mtl": Region(one_way_delay_s=0.02)},
        availability_zones=zones,
        hosts={
            f"entry-{number}": Host(
                availability_zone="mtl-a",
                address="127.0.0.1",
                entry_port=entry_port + number - 1,
                control_port=1,
            )
            for number in (1, 2)
        },
        organisations={"volt": Organisation(max_concurrent_requests=8)},
        models={"m": Model(kv_bytes_per_token=100_000)},
        versions={"v": Version(model="m", weight_key="k", weight_bytes=1)},
        engine_roles={
            "mixed": EngineRole(
                does="mixed",
                prefill_tokens_per_s=1000.0,
                decode_tokens_per_s=1000.0,
                slots=16,
                change_s=1.0,
            )
        },
        services={
            "assistant": Service(
                kind="model", version="v", roles=("mixed",), kinds=kinds
            )
        },
        runners={
            name: Runner(
                service="assistant",
                availability_zone="mtl-a",
                url=f"http://127.0.0.1:{port}",
            )
            for name, port in ports.items()
        },
    )


@asynccontextmanager
async def run_local(ports, *, engines=None, overrides=(), kind=None, bounds=None):
    """Run an entry in front of engines on given ports.

    :param ports: port of each runner by name.
    :param overrides: settings of the entry, as ``entry.field=value``.
    :param kind: the kind of request, by default one with a timeout of 30 s.
    :param bounds: timeouts of the streams, None for those of the settings.
    """
    port = free_port()
    settings = Settings.load(
        overrides=[
            "host.name=entry-1",
            "host.availability_zone=mtl-a",
            "platform.log_url=http://127.0.0.1:1",
            "platform.host_list_url=http://127.0.0.1:1",
            "platform.weight_store_url=http://127.0.0.1:1",
            f"entry.port={port}",
            *overrides,
        ]
    )
    metrics, clock, stop = Metrics(), SystemClock(), asyncio.Event()
    async with (
        aiohttp.ClientSession(connector=make_connector()) as upstream,
        aiohttp.ClientSession(connector=make_connector()) as session,
    ):
        app, _ = build_entry(
            settings=settings,
            incarnation="0" * 12,
            clock=clock,
            metrics=metrics,
            session=upstream,
            fresh_session=upstream,
        )
        if bounds is not None:
            app.prompt_handler.watch.timeouts = bounds
        fleet = make_fleet(ports, port, {"kiosk": kind or RequestKind()})
        app.view.config = ConfigView(
            revision=1,
            next_offset=1,
            fleet=fleet,
            draining=[],
            withdrawn=[],
            tenures={},
        )
        set_status(app.view, ports)
        limiter = RequestLimiter(
            app=app.make_asgi_app(), context=app.context, settings=settings.entry
        )
        shutdown = EntryShutdown(
            settings=settings,
            view=app.view,
            context=app.context,
            limiter=limiter,
            watch=app.prompt_handler.watch,
            clock=clock,
            metrics=metrics,
            stop_requested=stop,
        )
        entry = LocalEntry(
            engines=engines or {},
            app=app,
            limiter=limiter,
            shutdown=shutdown,
            session=session,
            url=f"http://127.0.0.1:{port}",
            metrics=metrics,
            stop_requested=stop,
        )
        entry.serving = asyncio.create_task(serve_http(limiter, settings, shutdown))
        watching = asyncio.create_task(app.prompt_handler.watch.run())
        await wait_for(lambda: is_open(port))
        try:
            yield entry
        finally:
            await cancel_tasks([entry.serving, watching])


def is_open(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def set_status(view, names, **states):
    """Report hosts as live, and runners as ready unless a state is given."""
    view.update_status(
        StatusView(
            runners=[
                RunnerStatus(
                    runner=name,
                    report=LoadReport(
                        role="mixed", slots=16, state=states.get(name, "ready")
                    ),
                    age_s=0.0,
                )
                for name in names
            ],
            hosts=[
                HostStatus(
                    host=f"entry-{number}",
                    incarnation="x",
                    revision=1,
                    running=0,
                    state="live",
                )
                for number in (1, 2)
            ],
        )
    )


@asynccontextmanager
async def local_entry(*, names=("a", "b"), token_interval_s=0.005, **options):
    """Run an entry and its engines."""
    engines = {name: EngineStandin(token_interval_s=token_interval_s) for name in names}
    async with AsyncExitStack() as stack:
        ports = {
            name: await stack.enter_async_context(serve_standin(engine.app()))
            for name, engine in engines.items()
        }
        entry = run_local(ports, engines=engines, **options)
        yield await stack.enter_async_context(entry)
