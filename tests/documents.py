"""Documents of configurations as files."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

#: Document with a key whose value is nested too deeply.
DEEP_ARRAY = b'{"%%s": %s%s}' % (b'[' * 100000, b']' * 100000)


def write_document(path: Path, document: object) -> str:
    """Write a document in several lines and return its path."""
    path.write_text(json.dumps(document, indent=1))
    return str(path)
