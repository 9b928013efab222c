"""Seeds of failed runs, with which a run can be repeated."""

from __future__ import annotations

from pathlib import Path

import pytest

from cassiahitch.soak.events import Area
from cassiahitch.soak.plan import Size, make_plan

LINES = (Path(__file__).parent / 'seeds.txt').read_text(encoding='utf-8').splitlines()


@pytest.mark.parametrize('line', [line for line in LINES if not line.startswith('#')])
def test_seed_that_failed_once_has_its_plan_and_its_cause(line: str) -> None:
    seed, seconds, agents, areas, cause = line.split(maxsplit=4)
    selected = tuple(Area) if areas == 'all' else tuple(Area(area) for area in areas.split(','))
    assert make_plan(int(seed), Size(float(seconds), agents=int(agents), areas=selected))
    assert cause
