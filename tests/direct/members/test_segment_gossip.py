"""Tests of how soon entries in all regions learn which segments crash engines."""

from __future__ import annotations

import pytest
from segment_gossip import SEGMENT, SegmentGossip

from cassiahitch.direct.placement.segmentevidence import RefusedGroup
from cassiahitch.direct.placement.segmentguard import TRIAL_INTERVAL_S, Refused
from cassiahitch.direct.placement.segmentsharing import SOUND_SENT_S

#: Seconds within which all entries refuse a segment, without and with lost datagrams.
ALL_REFUSE_S = 0.5
ALL_REFUSE_LOSSY_S = 1.5
#: Seconds within which an entry that starts late or was cut off refuses the segment.
LATE_REFUSES_S = 1.5
#: Seconds within which the begin of a request ends the refusal at all entries.
ALL_CLEAR_S = 0.5


def converged(entries: int, **options: float) -> SegmentGossip:
    simulation = SegmentGossip(entries, **options)  # type: ignore[arg-type]
    simulation.run_until(simulation.all_views_complete, 20)
    simulation.run(1)
    return simulation


def crash_at_two_entries(simulation: SegmentGossip) -> None:
    """Let entries of different regions observe one crash each."""
    first, second = list(simulation.members)[:2]
    simulation.crash(first, 'r1', 'a', SEGMENT)
    simulation.crash(second, 'r2', 'b', SEGMENT)


@pytest.mark.parametrize('entries', [9, 99])
@pytest.mark.parametrize(('loss', 'limit_s'), [(0, ALL_REFUSE_S), (0.05, ALL_REFUSE_LOSSY_S)])
def test_all_entries_of_all_regions_refuse_a_segment_soon(
    entries: int, loss: float, limit_s: float
) -> None:
    simulation = converged(entries, regions=3, loss=loss)
    crash_at_two_entries(simulation)
    simulation.run_until(simulation.all_refuse, limit_s)


def test_entry_that_starts_late_refuses_the_segment_soon() -> None:
    simulation = converged(9, regions=3)
    crash_at_two_entries(simulation)
    simulation.run(60)
    simulation.add(9)
    simulation.run_until(simulation.all_views_complete, 20)
    simulation.run_until(simulation.all_refuse, LATE_REFUSES_S)


def test_region_that_was_cut_off_refuses_the_segment_soon_after() -> None:
    simulation = converged(9, regions=3)
    simulation.cut = {frozenset(('region-2', other)) for other in ('region-0', 'region-1')}
    crash_at_two_entries(simulation)
    simulation.run(20)
    assert simulation.refusing() == 6
    simulation.cut = set()
    simulation.run_until(simulation.all_refuse, LATE_REFUSES_S)


def test_begin_of_one_request_ends_the_refusal_at_all_entries() -> None:
    simulation = converged(99, regions=3)
    crash_at_two_entries(simulation)
    simulation.run_until(simulation.all_refuse, ALL_REFUSE_S)
    simulation.begin(list(simulation.members)[50], SEGMENT)
    simulation.run_until(lambda: not simulation.refusing(), ALL_CLEAR_S)
    simulation.run(10 * SOUND_SENT_S)
    assert not simulation.refusing()


def test_shared_segment_that_any_entry_saw_begin_is_suspect_at_none() -> None:
    simulation = converged(99, regions=3)
    simulation.begin(list(simulation.members)[70], 'a')
    crash_at_two_entries(simulation)
    simulation.run(ALL_CLEAR_S)
    suspects = [
        sharing.guard.evidence.conclude('drafts').suspects
        for sharing in simulation.sharings.values()
    ]
    assert all('a' not in suspect for suspect in suspects)
    assert all(SEGMENT in suspect for suspect in suspects)


def test_one_entry_of_all_regions_is_chosen_for_a_trial() -> None:
    simulation = converged(99, regions=3)
    for task in ('a', 'b', 'c', 'd'):
        owners = [
            gossip
            for gossip in simulation.members.values()
            if gossip.is_owner(task, simulation.now)
        ]
        assert len(owners) == 1


def test_every_entry_is_chosen_for_some_trial_of_a_segment() -> None:
    simulation = converged(9, regions=3)
    verdict = Refused('drafts', RefusedGroup(frozenset((SEGMENT,)), 2, 0), 0)
    owners = {
        name
        for number in range(200)
        for name, gossip in simulation.members.items()
        if gossip.is_owner(verdict.trial_name(number * TRIAL_INTERVAL_S), simulation.now)
    }
    assert owners == simulation.members.keys()
