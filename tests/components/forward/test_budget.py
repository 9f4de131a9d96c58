"""Tests of the retry budget over all lives of all instances."""

import pytest

from tests.components.forward.budget_model import Fleet


def restart_one_after_the_other(fleet):
    """Return a script that kills and starts one instance a second."""
    ids = list(fleet.centres_by_id)
    return [
        (20.0 + number, lambda fleet, id=id: fleet.kill(id))
        for number, id in enumerate(ids * 3)
    ]


def restart_all_in_cut_centres(fleet):
    """Return a script that restarts all while their data centres are cut."""
    cuts = [
        (20.0, lambda fleet, name=name: fleet.cut_centre(name, 30.0))
        for name in fleet.names
    ]
    kills = [(21.0, lambda fleet, id=id: fleet.kill(id)) for id in fleet.centres_by_id]
    return cuts + kills


def leave_one_after_the_other(fleet):
    """Return a script in which one instance after the other leaves."""
    ids = list(fleet.centres_by_id)
    return [
        (20.0 + 4 * number, lambda fleet, id=id: fleet.leave(id, 3.0))
        for number, id in enumerate(ids[:8])
    ]


def cut_and_restart_one(fleet):
    """Return a script that restarts an instance which nobody reaches."""
    id = next(iter(fleet.centres_by_id))
    return [
        (20.0, lambda fleet: fleet.cut_instance(id, 35.0)),
        (21.0, lambda fleet: fleet.kill(id)),
    ]


def restart_all_but_a_cut_one(fleet):
    """Return a script in which nobody knows an instance that is cut off."""
    id, *others = fleet.centres_by_id
    return [
        (20.0, lambda fleet: fleet.cut_instance(id, 40.0)),
        *((21.0, lambda fleet, id=other: fleet.kill(id)) for other in others),
    ]


def move_load(fleet):
    """Return a script that moves all requests to another instance."""
    ids = list(fleet.centres_by_id)

    def move(fleet, chosen):
        fleet.weights_by_id = {id: float(id == chosen) for id in ids}

    return [
        (20.0 + 5 * number, lambda fleet, id=id: move(fleet, id))
        for number, id in enumerate(ids[:8])
    ]


SCRIPTS = [
    restart_one_after_the_other,
    restart_all_in_cut_centres,
    cut_and_restart_one,
    leave_one_after_the_other,
    restart_all_but_a_cut_one,
    move_load,
]


class TestAllInstances:
    # Guards against retries beyond the budget of all instances together.
    @pytest.mark.parametrize("instances", [2, 8, 30])
    @pytest.mark.parametrize("script", SCRIPTS)
    def test_they_keep_the_budget_in_each_window(self, script, instances):
        for seed in range(3):
            fleet = Fleet(seed, instances=instances, slack=7.0 * instances)
            share, retries, allowed = fleet.run(0.0, script(fleet)).find_worst_window()
            assert share <= 1.0, (seed, retries, allowed)

    # Guards against parts of the slack that add up to more than all of it.
    @pytest.mark.parametrize("instances", [3, 6, 12])
    @pytest.mark.parametrize("script", SCRIPTS)
    def test_they_keep_the_slack_with_few_requests(self, script, instances):
        fleet = Fleet(
            1, instances, data_centres=1, slack=9.0 * instances, requests_per_s=12.0
        )
        fleet.failing = 1.0
        share, retries, allowed = fleet.run(0.0, script(fleet)).find_worst_window()
        assert share <= 1.0, (retries, allowed)

    # Guards against a mix of disturbances that no other test names.
    @pytest.mark.parametrize("seed", range(40))
    def test_they_keep_it_whatever_happens(self, seed):
        fleet = Fleet(seed, instances=2 + seed % 9, data_centres=1 + seed % 4)
        share, retries, allowed = fleet.run().find_worst_window()
        assert share <= 1.0, (retries, allowed)
