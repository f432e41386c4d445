"""Stand-in for the platform's rendering of a node's settings from their template."""

import json
import re
from typing import Any

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")
_MISSING = object()


def render(template: str, values: dict[str, Any]) -> str:
    """Return the settings of a deployment.

    Sections are kept if their value is true or present, placeholders without a value
    become empty. Nothing is escaped.
    """

    def section(found: re.Match[str]) -> str:
        value = _lookup(values, found[2])
        is_present = value is not _MISSING and value is not False and value is not None
        return found[3] if is_present is (found[1] == "#") else ""

    def placeholder(found: re.Match[str]) -> str:
        value = _lookup(values, found[1])
        return "" if value is _MISSING else json.dumps(value)

    return _PLACEHOLDER.sub(placeholder, _SECTION.sub(section, template))


def _lookup(values: dict[str, Any], path: str) -> Any:
    node: Any = values
    for word in path.split("."):
        if isinstance(node, list) and word.isdigit() and int(word) < len(node):
            node = node[int(word)]
        elif isinstance(node, dict) and word in node:
            node = node[word]
        else:
            return _MISSING
    return node
