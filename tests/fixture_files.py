"""Where the fixtures lie, and how they are read."""

from __future__ import annotations

import json
import lzma
from pathlib import Path
from typing import Any

FIXTURES = Path(__file__).parent / "fixtures"


def fixture_json(name: str) -> Any:
    """The content of a JSON fixture."""
    return json.loads((FIXTURES / name).read_text())


def fixture_xz(name: str) -> bytes:
    """The content of a compressed fixture."""
    return lzma.decompress((FIXTURES / name).read_bytes())


def as_json(value: object) -> str:
    """For comparisons as strict as JSON is: 1 and 1.0 and True differ."""
    return json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True)
