"""The documentation names only modules, classes, tests and files that exist."""

import ast
import importlib.util
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / "src" / "irisstand"
PACKAGES = sorted(path.name for path in SOURCE.iterdir() if (path / "__init__.py").exists())
CODE = re.compile(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`")
LINK = re.compile(r"(?<!!)\[[^\]]*\]\(([^)\s]+)\)")
FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
# File name extensions: `deploy.toml` in backticks names a file and not a module.
FILE_ENDINGS = {"py", "md", "toml", "txt", "yaml", "json", "sh"}
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])

# Pages that record the past and keep the names of their time.
RECORD_PAGES = {"measurements.md", "brief.md", "kildespor-inc-6c41.md", "toopaik-inc-ce9d.md"}
CURRENT_PAGES = [page for page in PAGES if page.name not in RECORD_PAGES]
TEST_NAME = re.compile(r"\btest_[a-z_]*[a-z]\b(?!\.toml)")
PYTHON_FILE = re.compile(r"(?<![*\w/.-])[\w/-]+\.py\b")


def find_missing(dotted: str) -> str:
    """Return the part of `package.module.Name` that does not exist, or an empty string."""
    words = dotted.removeprefix("irisstand.").split(".")
    name = "irisstand"
    for position, word in enumerate(words):
        deeper = f"{name}.{word}"
        spec = (
            importlib.util.find_spec(deeper) if hasattr(importlib.import_module(name), "__path__") else None
        )
        if spec is None:
            found = importlib.import_module(name)
            for attribute in words[position:]:
                if not hasattr(found, attribute):
                    return f"{name}: {'.'.join(words[position:])}"
                found = getattr(found, attribute)
            return ""
        name = deeper
    return ""


def module_names(text: str) -> list[str]:
    """Return dotted names in backticks that begin with "irisstand" or the name of one of its packages."""
    names = CODE.findall(FENCE.sub("", text))
    first = {"irisstand", *PACKAGES}
    return [n for n in names if n.split(".")[0] in first and n.rsplit(".", 1)[-1] not in FILE_ENDINGS]


def test_a_name_that_is_missing_is_found() -> None:
    assert find_missing("irisstand.errors.IrisError") == ""
    assert find_missing("transport.peers") == ""
    assert find_missing("transport.no_such_module")
    assert find_missing("irisstand.errors.NoSuchError")
    assert module_names("`transport.codec` `pyproject.toml` `a.b` `irisstand.errors`") == [
        "transport.codec",
        "irisstand.errors",
    ]


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_module_and_class_that_a_page_names_exists(page: pathlib.Path) -> None:
    names = module_names(page.read_text())
    assert len(names) > 20 or page.name not in ("architecture.md", "glossary.md")
    missing = {name: part for name in names if (part := find_missing(name))}
    assert not missing


def test_every_package_is_on_the_architecture_page() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text()
    assert [name for name in PACKAGES if f"`irisstand.{name}`" not in text] == []


def imported_packages(path: pathlib.Path) -> set[str]:
    """Return the packages or modules directly below `irisstand` from which a file imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            names = [node.module] if "." in node.module else [f"{node.module}.{a.name}" for a in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        found |= {name.split(".")[1] for name in names if name.startswith("irisstand.")}
    return found


def test_imports_point_downwards_in_the_table_of_packages() -> None:
    section = (ROOT / "docs" / "architecture.md").read_text().split("\n## Packages\n")[1].split("\n## ")[0]
    rows = re.findall(r"^\| (`irisstand[^|]*) \|", section, re.MULTILINE)
    level = {name: row for row, cell in enumerate(rows) for name in re.findall(r"`irisstand\.(\w+)`", cell)}
    assert set(PACKAGES) <= set(level)
    upward_imports = [
        (str(path.relative_to(SOURCE)), name)
        for package, row in level.items()
        for path in [*(SOURCE / package).rglob("*.py"), *SOURCE.glob(f"{package}.py")]
        for name in imported_packages(path)
        if level.get(name, row) < row
    ]
    assert upward_imports == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_relative_links_resolve(page: pathlib.Path) -> None:
    targets = [target for target in LINK.findall(FENCE.sub("", page.read_text())) if "://" not in target]
    broken = [target for target in targets if not (page.parent / target.split("#")[0]).exists()]
    assert not broken


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_test_and_python_file_that_a_page_names_exists(page: pathlib.Path) -> None:
    text = page.read_text()
    files = list((ROOT / "tests").rglob("test_*.py"))
    functions = {
        name for file in files for name in re.findall(r"^def (test_\w+)", file.read_text(), re.MULTILINE)
    }
    known = functions | {file.stem for file in files}
    assert sorted(set(TEST_NAME.findall(text)) - known) == []
    named = set(PYTHON_FILE.findall(text)) - {f"{file.name}" for file in files}
    folders = (ROOT, SOURCE, ROOT / "platform", ROOT / "tests")
    assert sorted(name for name in named if not any((folder / name).is_file() for folder in folders)) == []
