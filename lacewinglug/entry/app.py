"""HTTP interface of an entry: routes, entry addresses and status."""

from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lacewinglug.control import HostStatus, RunnerStatus
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.gate import RequestRefusedError, handle_refused_request
from lacewinglug.entry.intake import CALLER_HEADER, REGION_HEADER, HandlerContext
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.responses import (
    failure_response,
    handle_http_error,
    handle_internal_error,
    message_response,
)
from lacewinglug.entry.view import EntryView
from lacewinglug.membership.addresses import (
    EntryAddresses,
    choose_entry_hosts,
    entry_urls,
)
from lacewinglug.settings import Settings


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the fleet as this entry sees it.

    :param host: name of this host.
    :param revision: revision of the configuration in use, 0 for none.
    :param hosts: status of the hosts.
    :param runners: status of the runners.
    :param draining: hosts and runners that get no new requests.
    :param withdrawn: hosts and runners that were removed.
    :param holders: name of the host that holds the tenure of each order domain.
    :param halted: why no further log records are applied, empty while they are.
    :param leaving: hosts and runners that a host reported as shutting down.
    """

    host: str
    revision: int
    hosts: list[HostStatus]
    runners: list[RunnerStatus]
    draining: list[str]
    withdrawn: list[str]
    holders: dict[str, str]
    halted: str = ""
    leaving: list[str] = []


@dataclass(kw_only=True)
class EntryApp:
    """HTTP application of an entry.

    :param settings: settings of the host.
    :param view: configuration and status of the fleet.
    :param context: state that the request handlers share.
    :param prompt_handler: handles prompts.
    :param call_handler: handles calls to plain services.
    """

    settings: Settings
    view: EntryView
    context: HandlerContext
    prompt_handler: PromptHandler
    call_handler: CallHandler

    async def handle_entries(self, request: Request) -> Response:
        """Return the entry addresses that a caller should use."""
        fleet = self.view.fleet
        unavailable = self.view.unavailable()
        if self.context.leaving:
            unavailable.add(self.settings.host.name)
        names = choose_entry_hosts(
            fleet,
            caller=request.headers.get(CALLER_HEADER, ""),
            region=request.headers.get(REGION_HEADER, ""),
            unavailable=unavailable,
        )
        reply = EntryAddresses(
            addresses=entry_urls(fleet, names),
            ttl_s=self.settings.entry.address_ttl_s,
        )
        return message_response(reply)

    async def handle_status(self, request: Request) -> Response:
        """Return the fleet status to an operator."""
        refusal = self.context.check_admin(request)
        if refusal is not None:
            return failure_response(refusal)
        config = self.view.config
        return message_response(
            StatusReply(
                host=self.settings.host.name,
                revision=self.view.revision,
                hosts=list(self.view.hosts.values()),
                runners=list(self.view.runners.values()),
                draining=config.draining if config else [],
                withdrawn=config.withdrawn if config else [],
                holders=(
                    {domain: item.host for domain, item in config.tenures.items()}
                    if config
                    else {}
                ),
                halted=config.halted if config else "",
                leaving=sorted(self.view.leaving),
            )
        )

    def make_asgi_app(self) -> Starlette:
        """Build the ASGI application with its routes."""
        service = "/v1/services/{service}"
        return Starlette(
            exception_handlers={
                RequestRefusedError: handle_refused_request,
                HTTPException: handle_http_error,
                Exception: handle_internal_error,
            },
            routes=[
                Route("/v1/entries", self.handle_entries, methods=["GET"]),
                Route("/v1/keys", self.call_handler.handle_mint_key, methods=["POST"]),
                Route(
                    f"{service}/prompts", self.prompt_handler.handle, methods=["POST"]
                ),
                Route(
                    f"{service}/calls/{{kind}}",
                    self.call_handler.handle,
                    methods=["POST"],
                ),
                Route(
                    "/internal/calls/{step}/{service}/{kind}",
                    self.call_handler.handle_forwarded_call,
                    methods=["POST"],
                ),
                Route("/v1/status", self.handle_status, methods=["GET"]),
            ],
        )
