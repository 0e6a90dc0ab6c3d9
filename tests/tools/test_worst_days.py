"""Days for the platform's test bench are readable TOML, have all entries in time and follow from the seed."""

import tomllib

import pytest
import worst_days

SITE = {
    "name": "somewhere",
    "timing": {"catch_up_s": 4.0},
    "day": [
        {"name": "quiet-1", "slot": "quiet", "seed": 5, "plan": [], "faults": [], "traffic": [{"zone": "a"}]}
    ],
}


@pytest.mark.parametrize("seed", range(20))
def test_a_day_of_every_theme_can_be_read_and_comes_again_for_its_seed(tmp_path, seed):
    for theme in worst_days.THEME_NAMES:
        path = tmp_path / f"{theme}.toml"
        worst_days.write_day(path, worst_days.draw_day(SITE, theme, seed))
        (day,) = tomllib.loads(path.read_text())["day"]
        assert day == worst_days.draw_day(SITE, theme, seed)
        assert day["traffic"] == [{"zone": "a"}]
        entries = day["plan"] + day["faults"]
        assert len(entries) >= 3
        assert all(0 < entry["at"] <= worst_days.LAST_FAULT_AT for entry in entries)


@pytest.mark.parametrize("seed", range(20))
def test_clients_leave_on_each_day_of_departures_from_the_first_fault_on(seed):
    day = worst_days.draw_day(SITE, "departures", seed)
    (departures,) = [entry for entry in day["faults"] if entry["kind"] == "give_up"]
    assert departures["at"] == worst_days.FIRST_FAULT_AT
    assert any(
        entry["kind"] == "srv_slow" and entry["at"] == worst_days.FIRST_FAULT_AT for entry in day["faults"]
    )
    assert departures["at"] + departures["for_s"] >= worst_days.LAST_FAULT_AT
    assert len(day["faults"]) + len(day["plan"]) >= 4


@pytest.mark.parametrize("seed", range(20))
def test_origins_of_objects_answer_twice_beside_purges_on_each_day_of_late_responses(seed):
    services = [{"name": "search"}, {"name": "blobs", "model": "origin"}]
    day = worst_days.draw_day({**SITE, "services": services}, "late-responses", seed)
    (late,) = [entry for entry in day["faults"] if entry["kind"] == "garble"]
    assert (late["service"], late["how"]) == ("blobs", "extra late")
    assert {"purge_storm", "purge"} <= {entry["kind"] for entry in day["plan"]}
