"""A fleet of hosts and crashing engines in one event loop, with a load of prompts."""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace

from lacewinglug.host.peers import PeerProtocol
from tests.host.hosting import running_host
from tests.platform.crashing import CrashingEngine
from tests.platform.scene import (
    REQUEST_IDS,
    HostTestbed,
    connect,
    encode_request,
    make_settings,
    read_response,
)

HOST_LOCATIONS = (("mtl-a", "mtl"), ("mtl-a", "mtl"), ("qc-a", "qc"))
"""Availability zone and region of the hosts, in turn."""
FIRST_PARTS = ("caller-a", "caller-b")
SECOND_PARTS = ("tool-a", "tool-b", "tool-c")
PART_TOKENS = {"caller": 9000, "tool": 3000, "chat": 1500, "bad": 2000, "own": 600}
PROMPTS_PER_CHAT = 16
"""Number of prompts, of any chat or none, from one new chat to the next."""
ROUTES = ("ask", "notes")
FIRST_HOST_OCTET = 231
"""Last octet of the address of the first host; above those of other testbeds."""
DEADLINE_MS = 2000
CLIENT_PATIENCE_S = DEADLINE_MS / 1000 + 0.5
"""Time after which a client counts a request as unanswered, in s."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """Prompt of a client.

    :param parts: ids of its parts.
    :param deadly: whether one of them crashes engines.
    """

    route: str
    parts: tuple[str, ...]
    deadly: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Sending:
    """One sending of a prompt by a client, and its result.

    :param host: name of the host that it was sent to.
    :param first: whether it is the client's first attempt.
    :param status: status of the response, 0 if the connection was closed before.
    :param events: number of events received.
    :param complete: whether the response is complete.
    :param timed_out: whether there was no end within the client's patience.
    """

    prompt: Prompt
    request_id: str
    host: str
    sent_s: float
    first: bool = True
    status: int = 0
    events: int = 0
    complete: bool = False
    timed_out: bool = False

    @property
    def began(self):
        """Whether the answer began."""
        return self.status == 200 and self.events > 0


class PromptLoad:
    """Draws prompts: sound ones of shared parts, and some with a deadly part.

    No two prompts are alike: the last part of each is its own. Half of the prompts
    belong to a chat, whose part comes before that; new chats begin all the time.

    :param chats: parts of all chats so far.
    """

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.chats = []
        self._count = 0

    def sound(self, first=None, second=None, route=None):
        """Return a prompt without a deadly part."""
        parts = (first or self._pick(FIRST_PARTS), second or self._pick(SECOND_PARTS))
        if self._toss():
            parts += (self._chat_part(),)
        return self._make_prompt(parts, route=route)

    def sound_of_chat(self, chat):
        """Return a prompt of a chat without a deadly part."""
        parts = (self._pick(FIRST_PARTS), self._pick(SECOND_PARTS), chat)
        return self._make_prompt(parts)

    def deadly(self, part, first=None, second=None):
        """Return a prompt with a deadly part behind one or more shared ones."""
        parts = (first or self._pick(FIRST_PARTS),)
        if second or self._toss():
            parts += (second or self._pick(SECOND_PARTS),)
        if self._toss():
            parts += (self._chat_part(),)
        return self._make_prompt((*parts, part), deadly=True)

    def pause_s(self, per_s):
        """Return a random time between two prompts of a rate."""
        return self.random.uniform(0.5, 1.5) / per_s

    def _make_prompt(self, shared_parts, *, route=None, deadly=False):
        self._count += 1
        return Prompt(
            route=route or self._pick(ROUTES),
            parts=(*shared_parts, f"own-{self._count}"),
            deadly=deadly,
        )

    def _chat_part(self):
        if self._count >= PROMPTS_PER_CHAT * len(self.chats):
            self.chats.append(f"chat-{len(self.chats) + 1}")
        return self.chats[-1]

    def _pick(self, items):
        return self.random.choice(items)

    def _toss(self):
        return self.random.random() < 0.5


@dataclass(kw_only=True)
class PromptFleet:
    """Hosts, engines, a store and clients.

    :param scene: store and addresses.
    :param engines: all engines.
    :param deadly_parts: ids of the parts that crash the engines.
    :param load: draws the prompts.
    :param hosts: running hosts that clients are directed to, by name.
    :param cut_off_ips: addresses of hosts that exchange no datagrams with others.
    :param longest_datagram_bytes: length of the longest datagram between hosts.
    :param sendings: all completed sendings of clients.
    """

    scene: HostTestbed
    engines: list[CrashingEngine]
    deadly_parts: set[str]
    load: PromptLoad
    hosts: dict[str, object] = field(default_factory=dict)
    host_of_request: dict[str, str] = field(default_factory=dict)
    cut_off_ips: set[str] = field(default_factory=set)
    longest_datagram_bytes: int = 0
    sendings: list[Sending] = field(default_factory=list)
    _stack: contextlib.AsyncExitStack = field(default_factory=contextlib.AsyncExitStack)
    _clients: set[asyncio.Task] = field(default_factory=set)

    @property
    def now_s(self):
        """Time of the event loop, in s."""
        return asyncio.get_running_loop().time()

    @property
    def crashes_s(self):
        """Times of all crashes by a deadly part, in order."""
        return sorted(at_s for item in self.engines for at_s in item.deadly_crashes_s)

    @property
    def arrivals(self):
        """All requests that reached engines, in order."""
        found = [arrival for item in self.engines for arrival in item.arrivals]
        return sorted(found, key=lambda arrival: arrival.at_s)

    async def start_host(self, number):
        """Start a host, and wait until the others direct clients to it."""
        name = f"edge-{number + 1}"
        zone, region = HOST_LOCATIONS[number % len(HOST_LOCATIONS)]
        settings = make_settings(
            self.host_ip(number),
            self.scene.store.address,
            name=name,
            Zone=zone,
            Region=region,
            InternalPorts=self.scene.settings["InternalPorts"],
            Seeds=[
                f"{self.host_ip(other)}:{self.scene.settings['InternalPorts'][0]}"
                for other in range(number)
            ],
        )
        process = await self._stack.enter_async_context(running_host(settings))
        others = list(self.hosts.values())
        while not (
            process.ready
            and all(_lists(one, process) for one in others)
            and all(_lists(process, one) for one in others)
        ):
            await asyncio.sleep(0.02)
        self.hosts[name] = process

    def host_ip(self, number):
        """Return the address of a host by its number."""
        return f"{self.scene.ip.rpartition('.')[0]}.{FIRST_HOST_OCTET + number}"

    def carries_datagram(self, receiver_ip, sender_ip, data):
        """Record a datagram, and return whether it reaches its receiver."""
        self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(data))
        return self.cut_off_ips.isdisjoint((receiver_ip, sender_ip))

    async def keep_sending(self, draw, *, per_s):
        """Send the prompts that a function returns to any host, until cancelled."""
        while True:
            await asyncio.sleep(self.load.pause_s(per_s))
            task = asyncio.create_task(self.send_as_client(draw()))
            self._clients.add(task)
            task.add_done_callback(self._clients.discard)

    async def finish_clients(self):
        """Wait until all clients have the end of their requests."""
        while self._clients:
            await asyncio.gather(*self._clients)

    async def send_as_client(self, prompt):
        """Send a prompt; repeat it once elsewhere if it is resumable and was lost."""
        names = self.load.random.sample(sorted(self.hosts), k=min(2, len(self.hosts)))
        sending = await self.send(prompt, names[0])
        lost = sending.status in (0, 502) or (sending.began and not sending.complete)
        if prompt.route == "ask" and lost and not sending.timed_out:
            await self.send(prompt, names[-1], after=sending.events, first=False)

    async def send(self, prompt, host, *, after=0, first=True):
        """Send a prompt to a host, and return the result.

        :param after: number of events that the client has received already.
        """
        request_id = f"{next(REQUEST_IDS):016x}"
        self.host_of_request[request_id] = host
        sending = Sending(
            prompt=prompt,
            request_id=request_id,
            host=host,
            sent_s=self.now_s,
            first=first,
        )
        headers = _prompt_headers(prompt) | {"X_Lacewinglug_Request_Id": request_id}
        if after:
            headers["Last_Event_Id"] = str(after)
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                response = await self._exchange(prompt, host, headers)
        except TimeoutError:
            sending = replace(sending, timed_out=True)
        except (OSError, asyncio.IncompleteReadError):
            pass
        else:
            sending = replace(
                sending,
                status=response.status,
                events=response.body.count(b"\n\n"),
                complete=response.complete,
            )
        self.sendings.append(sending)
        return sending

    async def _exchange(self, prompt, host, headers):
        reader, writer = await connect(self.hosts[host].settings.client_address)
        try:
            writer.write(encode_request(f"/{prompt.route}/1", headers=headers))
            return await read_response(reader)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def running_fleet(
    monkeypatch,
    *,
    seed,
    host_count=3,
    decode_engines=4,
    prefill_engines=0,
    new_instances=True,
    **engine_fields,
):
    """Run hosts and engines that crash on the prompts with a deadly part.

    :param new_instances: whether every second engine that crashes comes back under a
        new instance id.
    """
    scene = await HostTestbed().open()
    deadly_parts = set()
    stages = ["decode"] * decode_engines + ["prefill"] * prefill_engines
    engines = [
        CrashingEngine(
            f"engine-{number + 1}",
            "llm",
            stage=stage,
            zone=("mtl-a", "qc-a")[number % 2],
            store=scene.store,
            deadly_parts=deadly_parts,
            new_instance=new_instances and number % 4 >= 2,
            event_count=5,
            **engine_fields,
        )
        for number, stage in enumerate(stages)
    ]
    for engine in engines:
        await engine.open(scene.ip)
        await scene.store.put("keyed.servers", engine.instance, engine.entry())
    scene.runners = engines
    fleet = PromptFleet(
        scene=scene,
        engines=engines,
        deadly_parts=deadly_parts,
        load=PromptLoad(seed=seed),
    )
    _watch_datagrams(monkeypatch, fleet)
    try:
        async with fleet._stack:
            for number in range(host_count):
                await fleet.start_host(number)
            yield fleet
    finally:
        scene.close()


def _watch_datagrams(monkeypatch, fleet):
    """Let the fleet see each datagram between hosts, and drop some."""
    receive = PeerProtocol.datagram_received

    def receive_unless_cut_off(self, data, addr):
        if fleet.carries_datagram(self.table.own.ip, addr[0], data):
            receive(self, data, addr)

    monkeypatch.setattr(PeerProtocol, "datagram_received", receive_unless_cut_off)


def _lists(process, other):
    """Return whether a host directs clients to another."""
    now_s = asyncio.get_running_loop().time()
    names = [item.name for item in process.host_table.serving_peers(now_s=now_s)]
    return other.settings.name in names


def _prompt_headers(prompt):
    sized = [(part, PART_TOKENS[part.partition("-")[0]]) for part in prompt.parts]
    return {
        "X_Lacewinglug_Prompt_Prefix": ",".join(f"{p}:{size}" for p, size in sized),
        "X_Lacewinglug_Token_Count": f"{sum(size for _, size in sized)},100",
        "X_Lacewinglug_Deadline_Ms": str(DEADLINE_MS),
    }
