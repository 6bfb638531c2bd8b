"""Loading and validation of a configuration from a file or a folder of files.

All problems are returned at once.
"""

from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from rowanrail.config.checks import check_configuration
from rowanrail.config.model import Configuration
from rowanrail.config.reader import convert, read_yaml

SECTIONS = ("sites", "groups", "users")


def load_configuration(path: Path) -> Result[Configuration, list[str]]:
    """Return the configuration in ``path``, or all problems.

    The files of a folder are merged section by section, sorted by name.
    """
    files = _files(path)
    if not files:
        return Failure([f"{path}: no such file, or no *.yaml in the folder"])
    problems: list[str] = []
    joined: dict[str, list[Any]] = {section: [] for section in SECTIONS}
    for file in files:
        document = read_yaml(file)
        if isinstance(document, Failure):
            problems.extend(document.failure())
            continue
        content = document.unwrap() or {}
        checked = convert(content, Configuration, str(file))
        if isinstance(checked, Failure):
            problems.extend(checked.failure())
            continue
        for section in SECTIONS:
            joined[section].extend(content.get(section, []))
    if problems:
        return Failure(problems)
    return parse_configuration(joined, str(path))


def parse_configuration(content: Any, source: str) -> Result[Configuration, list[str]]:
    """Return the configuration in a value of built-in types, or all problems."""
    converted = convert(content, Configuration, source)
    if isinstance(converted, Failure):
        return converted
    configuration = converted.unwrap()
    problems = [f"{source}: {problem}" for problem in check_configuration(configuration)]
    return Failure(problems) if problems else Success(configuration)


def _files(path: Path) -> list[Path]:
    if path.is_dir():
        return sorted([*path.glob("*.yaml"), *path.glob("*.yml")])
    return [path] if path.exists() else []
