"""Reads the golden files."""

import json
from pathlib import Path
from typing import Any

__all__ = ["DATA_FOLDER", "load_golden"]

DATA_FOLDER = Path(__file__).parent / "data"


def load_golden(name: str) -> Any:
    """Return the contents of a golden file."""
    return json.loads((DATA_FOLDER / name).read_text())
