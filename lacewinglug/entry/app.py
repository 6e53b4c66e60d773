"""The HTTP interface of an entry: routes, entry addresses and status."""

from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lacewinglug.control import HostStatus, RunnerStatus
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.gate import RefusedError, handle_refused
from lacewinglug.entry.intake import CALLER_HEADER, REGION_HEADER, Intake
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.responses import (
    failure_response,
    handle_defect,
    handle_http_error,
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
    """What this entry knows of the fleet.

    :param host: name of this host.
    :param revision: revision that this entry serves with.
    :param hosts: status of the hosts.
    :param runners: status of the runners.
    :param draining: hosts and runners that get no new work.
    :param withdrawn: hosts and runners that are gone.
    :param holders: host that holds the tenure of each order domain.
    :param halted: why no further record of the log is applied, empty while they
        are.
    :param leaving: hosts and runners that some host saw leaving.
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
    """The entry's HTTP application.

    :param settings: settings of the host.
    :param view: what is known of the fleet.
    :param intake: what the handlers share.
    :param prompts: handler of prompts.
    :param calls: handler of calls.
    """

    settings: Settings
    view: EntryView
    intake: Intake
    prompts: PromptHandler
    calls: CallHandler

    async def handle_entries(self, request: Request) -> Response:
        """Tell a caller which entry hosts to use."""
        fleet = self.view.fleet
        unavailable = self.view.unavailable()
        if self.intake.leaving:
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
        """Tell operators what this entry knows."""
        refusal = self.intake.refuse_admin(request)
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

    def app(self) -> Starlette:
        """Return the HTTP application."""
        service = "/v1/services/{service}"
        return Starlette(
            exception_handlers={
                RefusedError: handle_refused,
                HTTPException: handle_http_error,
                Exception: handle_defect,
            },
            routes=[
                Route("/v1/entries", self.handle_entries, methods=["GET"]),
                Route("/v1/keys", self.calls.handle_mint, methods=["POST"]),
                Route(f"{service}/prompts", self.prompts.handle, methods=["POST"]),
                Route(f"{service}/calls/{{kind}}", self.calls.handle, methods=["POST"]),
                Route(
                    "/internal/calls/{step}/{service}/{kind}",
                    self.calls.handle_peer,
                    methods=["POST"],
                ),
                Route("/v1/status", self.handle_status, methods=["GET"]),
            ],
        )
