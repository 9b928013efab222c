"""A part far behind in long prompts crashes replicas; requests with it must not go on reaching them."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from dataclasses import dataclass
from pathlib import Path

from client import request
from engine import ReviewEngine
from parts import PartCrashes
from record import Record
from site_parts import BOUNDS, MODEL_HOSTS, STORE_HOST, ZONE, Site, front
from verdict import main, with_trouble

from cassiahitch.platform import names
from cassiahitch.standins.backends import EngineWeights
from cassiahitch.standins.configurations import MODEL, MODEL_SERVICE, initial_configuration
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.weightservice import WeightService, serve_weights

ENTRIES = 2
ENGINES = 4
PIECES = 12
PIECE_BYTES = 4096
LOAD_S = 0.3
RESTART_S = 3.0
EVENTS = 8
EVENT_PAUSE_S = 0.05
#: Parts that all prompts share, before the one that crashes replicas.
COMMON_PARTS = int(os.environ.get('COMMON_PARTS', '16'))
DEADLY = 'deadbeef'
OTHERS = ('a1', 'a2', 'a3', 'a4')
SOUND_INTERVAL_S = 0.05
#: One request in 13, which is 0.077 of them.
DEADLY_INTERVAL_S = 0.6
QUIET_S = 6.0
TROUBLE_S = 30.0
STABLE_S = BOUNDS['stableMs'] / 1000
COUNTED_CRASHES = 5
ALLOWED_ARRIVALS = 3
LEAST_SOUND = 20


@dataclass
class Sent:
    """A request of a client: when it was sent, and what its client got."""

    at: float
    deadly: bool
    begun: bool = False
    status: int = 0
    whole: bool = False


class Clients:
    """Send sound requests, and those that crash replicas, each at any entry."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rng = random.Random(38)
        self.numbers = itertools.count(1)
        self.sent: list[Sent] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float, interval_s: float, *, deadly: bool) -> None:
        """Send requests for some seconds."""
        clock = asyncio.get_running_loop().time
        until = clock() + seconds
        while clock() < until:
            task = asyncio.create_task(self.send(deadly=deadly))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(interval_s)

    async def send(self, *, deadly: bool) -> None:
        """Send one request; no two are alike."""
        number = next(self.numbers)
        attempt = f'{number:016x}'
        parts = [f'c{index:x}' for index in range(COMMON_PARTS)]
        parts += [DEADLY if deadly else self.rng.choice(OTHERS), f'{number:08x}']
        headers = [
            ('Host', 'menus.example'),
            (names.ATTEMPT_ID, attempt),
            (names.DEADLINE_MS, '4000'),
            (names.API_KEY, 'key-of-caterers'),
            (names.MODEL, MODEL),
            (names.TOKEN_COUNTS, f'{len(parts) * 10},30'),
            (names.PROMPT_SEGMENTS, ','.join(f'{part}:10' for part in parts)),
        ]
        sent = Sent(asyncio.get_running_loop().time(), deadly)
        self.sent.append(sent)
        entry = self.rng.randrange(ENTRIES)
        self.record.write('sent', attempt=attempt, entry=entry, deadly=deadly)
        body = f'draft {number}'.encode()
        answer = await request(front(entry), 'POST', f'/draft/{number}', headers, body, 4.5)
        sent.begun = answer.status == 200 and b'data:' in answer.body
        sent.status, sent.whole = answer.status, answer.whole
        self.record.write(
            'answered', attempt=attempt, status=answer.status, whole=answer.whole, begun=sent.begun
        )

    def begun_share(self, since: float, until: float) -> tuple[int, float]:
        """Return how many sound requests were sent in a time, and the share that began."""
        sound = [one for one in self.sent if not one.deadly and since <= one.at < until]
        return len(sound), sum(one.begun for one in sound) / max(1, len(sound))


async def judge(record: Record) -> bool:
    """Run the case."""
    async with Site() as site:
        weights = WeightService(MODEL, PIECE_BYTES)
        weights.publish(1, PIECES)
        origin, port = serve_weights(weights, loopback_address(STORE_HOST, 0))
        site.stack.callback(origin.stop)
        site.configure(initial_configuration(f'{loopback_address(STORE_HOST, 0)}:{port}'))
        site.declare_version(MODEL, 1)

        def register(engine: ReviewEngine) -> None:
            site.store.put(names.REPLICA_TABLE, engine.id, engine.row())

        crashes = PartCrashes(DEADLY, RESTART_S, register)
        for number in range(ENGINES):
            engine = await add_engine(site, weights, number)
            engine.segment_crashes = crashes
            engine.on_loaded = lambda engine=engine: register(engine)
            register(engine)
            site.add_agent(number, engine.address, engine.port, MODEL_SERVICE)
        for number in range(ENTRIES):
            site.add_entry(number)
        for program in site.programs:
            program.start()
        for number in range(ENTRIES):
            await site.wait_until_ready(number)
        await asyncio.sleep(2)
        clients = Clients(record)
        clock = asyncio.get_running_loop().time
        quiet_at = clock()
        await clients.run(QUIET_S, SOUND_INTERVAL_S, deadly=False)
        trouble_at = clock()
        async with asyncio.TaskGroup() as group:
            group.create_task(clients.run(TROUBLE_S, SOUND_INTERVAL_S, deadly=False))
            if with_trouble():
                group.create_task(clients.run(TROUBLE_S, DEADLY_INTERVAL_S, deadly=True))
        ended_at = clock()
        await asyncio.gather(*clients.tasks)
        return sum_up(record, clients, crashes, (quiet_at, trouble_at, ended_at))


async def add_engine(site: Site, weights: WeightService, number: int) -> ReviewEngine:
    """Start a replica that holds the weights."""
    loaded = EngineWeights(MODEL, version=1, load_s=LOAD_S)
    loaded.staged = dict(enumerate(weights.chunks[1]))
    engine = ReviewEngine(f'm-{number}', MODEL_SERVICE, ZONE, slots=16, engine=loaded)
    engine.events, engine.pause_s = EVENTS, EVENT_PAUSE_S
    await engine.start(loopback_address(MODEL_HOSTS, number))
    site.stack.push_async_callback(engine.stop)
    return engine


def sum_up(
    record: Record, clients: Clients, crashes: PartCrashes, times: tuple[float, float, float]
) -> bool:
    """Return whether a rule was broken."""
    quiet_at, trouble_at, ended_at = times
    quiet_count, quiet_share = clients.begun_share(quiet_at, trouble_at)
    record.write('quiet', sound=quiet_count, begun_share=round(quiet_share, 3))
    cut = [one for one in clients.sent if not one.deadly and one.begun and not one.whole]
    record.write('crashes', count=len(crashes.crashes), sound_streams_cut=len(cut))
    if len(crashes.crashes) < COUNTED_CRASHES:
        return False
    fifth = crashes.crashes[COUNTED_CRASHES - 1]
    late = [at for at in crashes.arrivals if at > fifth + STABLE_S]
    sound, share = clients.begun_share(fifth + 2 * STABLE_S, ended_at)
    record.write(
        'after the fifth crash',
        fifth_crash_after_s=round(fifth - trouble_at, 3),
        deadly_requests_at_replicas=len(late),
        sound=sound,
        begun_share=round(share, 3),
    )
    enough = min(quiet_count, sound) >= LEAST_SOUND
    return len(late) > ALLOWED_ARRIVALS or (enough and share < 0.5 * quiet_share)


main(judge, Path(__file__).parent)
