import pathlib
import re

from ibisspoke_node.node import running_node
from ibisspoke_node.node_page import describe, set_gauges
from ibisspoke_node.settings import NodeSettings
from ibisspoke_policy.catalogue import Catalogue
from ibisspoke_policy.clock import Clock

PACKAGE = pathlib.Path(__file__).parents[1] / "ibisspoke_node"
OPERATING = pathlib.Path(__file__).parents[3] / "docs/OPERATING.md"
METRIC = re.compile(r'(?:metrics\.count|gauge)\(\s*f?"([^"]+)"')


async def test_gauges_show_the_present_state():
    settings = NodeSettings("n1", "svea", "svea-1", "127.0.0.1", "", (b"secret",))
    async with running_node(settings, Clock()) as node:
        node.catalogue_in_force.adopt(Catalogue(7, {}, {}, {}))
        assert node.budget.reserve(100)
        set_gauges(node)
        gauges = describe(node)["gauges"]
        assert (gauges["catalogue_version"], gauges["buffer_bytes"]) == (7, 100)
        assert (gauges["members"], gauges["open_requests"]) == (1, 0)


def test_every_metric_is_documented():
    text = OPERATING.read_text()
    names = {
        name.partition("{")[0]
        for path in PACKAGE.glob("*.py")
        for name in METRIC.findall(path.read_text())
    }
    assert {"answered.", "refused.", "catalogue_version"} <= names
    missing = [name for name in sorted(names) if f"`{name}" not in text]
    assert missing == []
