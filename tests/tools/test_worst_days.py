"""The days that are written for the platform's bench: of its form, and the same again for the same seed."""

import importlib.util
import pathlib
import tomllib

import pytest

TOOL = pathlib.Path(__file__).parent.parent.parent / "tools" / "worst_days.py"
SITE = {
    "name": "somewhere",
    "timing": {"catch_up_s": 4.0},
    "day": [
        {"name": "quiet-1", "slot": "quiet", "seed": 5, "plan": [], "faults": [], "traffic": [{"zone": "a"}]}
    ],
}


@pytest.fixture(scope="module")
def tool():
    found = importlib.util.spec_from_file_location("worst_days", TOOL)
    module = importlib.util.module_from_spec(found)
    found.loader.exec_module(module)
    return module


@pytest.mark.parametrize("seed", range(20))
def test_a_day_of_every_theme_can_be_read_and_comes_again_for_its_seed(tool, tmp_path, seed):
    for theme in (*tool.THEMES, "mixed"):
        path = tmp_path / f"{theme}.toml"
        tool.write_day(path, tool.draw_day(SITE, theme, seed))
        (day,) = tomllib.loads(path.read_text())["day"]
        assert day == tool.draw_day(SITE, theme, seed)
        assert day["traffic"] == [{"zone": "a"}]
        entries = day["plan"] + day["faults"]
        assert len(entries) >= 3
        assert all(0 < entry["at"] <= tool.LAST for entry in entries)
