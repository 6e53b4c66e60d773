"""The program ``lacewinglug-standin``."""

import click
import uvicorn
from starlette.applications import Starlette

from lacewinglug.backing.weights import WeightStoreClient
from lacewinglug.standin.engine import EngineStandin
from lacewinglug.standin.platform import PlatformStandin
from lacewinglug.standin.service import ServiceStandin
from lacewinglug.standin.weights import PullingClient
from lacewinglug.upstream.messages import EngineTarget

address_option = click.option("--address", default="127.0.0.1", show_default=True)
port_option = click.option("--port", type=int, required=True)


@click.group()
def main() -> None:
    """Run a small stand-in of the platform or of a back end."""


@main.command(epilog="Example: lacewinglug-standin platform --port 8800")
@address_option
@port_option
def platform(address: str, port: int) -> None:
    """Serve the log, the host list and the weight store."""
    _serve(PlatformStandin().app(), address, port)


@main.command(epilog="Example: lacewinglug-standin engine --port 8801")
@address_option
@port_option
@click.option("--slots", default=16, show_default=True)
@click.option("--token-interval-s", default=0.005, show_default=True)
@click.option("--change-s", default=0.5, show_default=True)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--role", default="", help="Role in force at the start.")
@click.option("--version", default="", help="Version loaded at the start.")
@click.option("--adapter", "adapters", multiple=True, help="Adapter at the start.")
@click.option("--weight-store-url", default="", help="Where versions are pulled.")
def engine(
    address: str,
    port: int,
    slots: int,
    token_interval_s: float,
    change_s: float,
    checks_fencing: bool,
    role: str,
    version: str,
    adapters: tuple[str, ...],
    weight_store_url: str,
) -> None:
    """Serve as a model engine."""
    standin = EngineStandin(
        target=EngineTarget(
            role=role, version=version, adapters=tuple(sorted(adapters))
        ),
        weights=_make_weights(weight_store_url),
        slots=slots,
        token_interval_s=token_interval_s,
        change_s=change_s,
        checks_fencing=checks_fencing,
    )
    _serve(standin.app(), address, port)


@main.command(epilog="Example: lacewinglug-standin service --port 8802")
@address_option
@port_option
@click.option("--service-time-s", default=0.01, show_default=True)
def service(address: str, port: int, service_time_s: float) -> None:
    """Serve as a plain service with a journal."""
    _serve(ServiceStandin(service_time_s=service_time_s).app(), address, port)


def _make_weights(base_url: str) -> WeightStoreClient | None:
    """Return a client that opens a session for each pull, None without a URL."""
    return PullingClient(base_url=base_url) if base_url else None


def _serve(app: Starlette, address: str, port: int) -> None:
    uvicorn.run(app, host=address, port=port, log_level="warning")
