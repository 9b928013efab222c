"""A side machine freezes while its agent checks the staged pieces, and some turn bad meanwhile."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from client import request
from engine import ReviewEngine
from processes import Program
from record import Record
from site_parts import MODEL_HOSTS, STORE_HOST, ZONE, Site, front
from verdict import main, with_trouble

from cassiahitch.platform import names
from cassiahitch.standins.backends import EngineWeights
from cassiahitch.standins.configurations import MODEL, MODEL_SERVICE, initial_configuration
from cassiahitch.standins.networks import loopback_address
from cassiahitch.standins.weightservice import WeightService, serve_weights

ENGINES = 4
PIECES = 48
PIECE_BYTES = 49_152
LOAD_S = 0.3
#: The freeze begins when the agent has read this piece for the check right before its order.
FREEZE_AT_PIECE = 30
FREEZE_S = 4.0
ROT_AFTER_S = 0.2
#: Two of the 48 pieces, which is less than 0.06 of them.
ROTTEN = (5, 21)
#: A piece that turned bad in the last seconds before it was taken doesn't count.
EXCUSED_S = 3.0
OLD_VERSION = 1
NEW_VERSION = 2
#: Seconds for which the case waits for the new version.
LOAD_TIMEOUT_S = 40
REQUESTS = 40


class Case:
    """Freezes the agent of one replica in the last check before its order."""

    def __init__(self, record: Record, engine: ReviewEngine, agent: Program) -> None:
        self.record = record
        self.engine = engine
        self.agent = agent
        self.passes = 0
        self.frozen = False
        self.tasks: set[asyncio.Task[None]] = set()
        engine.on_read = self.on_read
        engine.on_order = self.on_order

    def on_read(self, index: int) -> None:
        """Count the checks of all pieces, and freeze the machine in the second one."""
        if index == PIECES - 1:
            self.passes += 1
            self.record.write('agent has checked all pieces', replica=self.engine.id)
        due = self.passes == 1 and index == FREEZE_AT_PIECE and not self.frozen
        if due and with_trouble():
            self.frozen = True
            self.tasks.add(asyncio.create_task(self.freeze()))

    def on_order(self, version: int, status: int) -> None:
        """Record an order."""
        bad = {index: round(age, 3) for index, age in self.engine.taken_bad_for.items()}
        self.record.write(
            'order', replica=self.engine.id, version=version, status=status, bad_for_s=bad
        )

    async def freeze(self) -> None:
        """Freeze the side machine, let pieces turn bad, and wake the machine."""
        self.agent.send(signal.SIGSTOP)
        self.record.write('side machine freezes', agent=self.agent.name)
        await asyncio.sleep(ROT_AFTER_S)
        self.engine.turn_bad(ROTTEN)
        self.record.write('pieces turn bad', replica=self.engine.id, pieces=ROTTEN)
        await asyncio.sleep(FREEZE_S - ROT_AFTER_S)
        self.agent.send(signal.SIGCONT)
        self.record.write('side machine wakes', agent=self.agent.name)


async def send(record: Record, number: int) -> None:
    """Send a streaming request."""
    attempt = f'{number:016x}'
    headers = [
        ('Host', 'menus.example'),
        (names.ATTEMPT_ID, attempt),
        (names.DEADLINE_MS, '4000'),
        (names.API_KEY, 'key-of-caterers'),
        (names.MODEL, MODEL),
        (names.TOKEN_COUNTS, '100,30'),
    ]
    answer = await request(front(0), 'POST', f'/draft/{number}', headers, b'draft', 5)
    events = answer.body.count(b'data:')
    record.write('answered', attempt=attempt, status=answer.status, events=events)


async def judge(record: Record) -> bool:
    """Run the case."""
    async with Site() as site:
        weights = WeightService(MODEL, PIECE_BYTES)
        weights.publish(OLD_VERSION, PIECES)
        weights.publish(NEW_VERSION, PIECES)
        origin, port = serve_weights(weights, loopback_address(STORE_HOST, 0))
        site.stack.callback(origin.stop)
        configuration = initial_configuration(f'{loopback_address(STORE_HOST, 0)}:{port}')
        for service in configuration['services']:
            if 'engine' in service:
                service['engine'] |= {'chunkBytes': PIECE_BYTES, 'chunkCount': PIECES}
            if 'origin' in service:
                service |= {'zone': ZONE, 'linkMbps': 15.0}
        site.configure(configuration)
        site.declare_version(MODEL, OLD_VERSION)
        engines = [await add_engine(site, weights, number) for number in range(ENGINES)]
        agents = [
            site.add_agent(number, engine.address, engine.port, MODEL_SERVICE)
            for number, engine in enumerate(engines)
        ]
        site.add_entry(0)
        for program in site.programs:
            program.start()
        await site.wait_until_ready(0)
        await asyncio.sleep(3)
        Case(record, engines[0], agents[0])
        site.declare_version(MODEL, NEW_VERSION)
        record.write('new weights acknowledged', version=NEW_VERSION)
        await wait_until_loaded(site, engines)
        before = [len(engine.begun) for engine in engines]
        for number in range(REQUESTS):
            await send(record, number)
        return judge_engines(record, weights, engines, before)


async def add_engine(site: Site, weights: WeightService, number: int) -> ReviewEngine:
    """Start a replica that holds the old version, and list it."""
    loaded = EngineWeights(MODEL, version=OLD_VERSION, load_s=LOAD_S)
    loaded.staged = dict(enumerate(weights.chunks[OLD_VERSION]))
    engine = ReviewEngine(f'm-{number}', MODEL_SERVICE, ZONE, slots=16, engine=loaded)
    await engine.start(loopback_address(MODEL_HOSTS, number))
    site.stack.push_async_callback(engine.stop)
    site.store.put(names.REPLICA_TABLE, engine.id, engine.row())
    return engine


async def wait_until_loaded(site: Site, engines: list[ReviewEngine]) -> None:
    """Wait until each replica has the new version, and list it anew."""
    async with asyncio.timeout(LOAD_TIMEOUT_S):
        for engine in engines:
            while engine.engine is None or engine.engine.version != NEW_VERSION:
                await asyncio.sleep(0.05)
            site.store.put(names.REPLICA_TABLE, engine.id, engine.row())
    await asyncio.sleep(1)


def judge_engines(
    record: Record, weights: WeightService, engines: list[ReviewEngine], before: list[int]
) -> bool:
    """Return whether a token was made with a piece that had been bad for longer than excused."""
    broken = False
    for engine, count in zip(engines, before, strict=True):
        good = dict(enumerate(weights.chunks[NEW_VERSION]))
        bad = sorted(index for index in good if engine.taken.get(index) != good[index])
        late = [index for index in bad if engine.taken_bad_for.get(index, 0) > EXCUSED_S]
        begun = [run for run in engine.begun[count:] if run.version == NEW_VERSION]
        record.write(
            'replica', id=engine.id, taken_bad=bad, bad_longer_than_3_s=late, requests=len(begun)
        )
        broken = broken or bool(late and begun)
    return broken


main(judge, Path(__file__).parent)
