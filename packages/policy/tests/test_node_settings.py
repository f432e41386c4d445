import pathlib

import pytest

from ibisspoke_policy.node_settings import parse_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"

GOOD = """\
[node]
id = "n1"
region = "svealand"
data_centre = "svealand-1"
host = "10.0.0.5"

[platform]
url = "http://10.0.0.9:7000"

[fleet]
secrets = ["0123456789abcdef"]
seeds = ["10.0.0.6:7102"]

[listen]
entry_port = 7100
call_port = 7101
"""


def test_settings_take_defaults_and_prefixes():
    text = GOOD + '[metrics]\nhost = "::1"\nport = 9125\n[log]\nlevel = "DEBUG"\n'
    settings = parse_settings("n.toml", text).unwrap()
    assert settings.platform_url == "http://10.0.0.9:7000"
    assert settings.secrets == (b"0123456789abcdef",)
    assert (settings.statsd_host, settings.statsd_port) == ("::1", 9125)
    assert (settings.log_level, settings.drain_timeout_ms) == ("DEBUG", 30_000)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/nodes/*.toml")), ids=str)
def test_examples_are_valid(path):
    settings = parse_settings(str(path), path.read_text()).unwrap()
    assert settings.data_centre == path.stem


@pytest.mark.parametrize(
    ("old", "new", "line", "place", "remedy"),
    [
        ('"10.0.0.5"', '"vm5.example"', 5, "node.host", "names are not resolved"),
        ('"10.0.0.5"', "5", 5, "node.host", "IP number"),
        ('id = "n1"', "", 1, "node.id", "a name"),
        ('"n1"', '"n 1"', 2, "node.id", "a name"),
        ('"http:', '"tcp:', 8, "platform.url", "a URL"),
        ('["0123456789abcdef"]', "[]", 11, "fleet.secrets", "one to four"),
        ("0123456789abcdef", "short", 11, "fleet.secrets", "16 to 64"),
        ("0123456789abcdef", "x" * 65, 11, "fleet.secrets", "16 to 64"),
        ('"10.0.0.6:7102"', '"vm6:7102"', 12, "fleet.seeds", "IP number and port"),
        ('"10.0.0.6:7102"', '"10.0.0.6:0"', 12, "fleet.seeds", "IP number and port"),
        ('"10.0.0.6:7102"', "6", 12, "fleet.seeds", "a list of control addresses"),
        ("7101", "7100", 16, "listen.call_port", "another port"),
        ("7101", "70000", 16, "listen.call_port", "a port"),
        ("call_port", "cal_port", 16, "listen.cal_port", "did you mean call_port?"),
        ("[listen]", "[lisen]", 14, "lisen", "did you mean listen?"),
        ("[platform]", "[metrics]", 0, "platform", "add the section"),
        ("call_port = 7101", "[limits]\nmax_body_bytes = 67108864\nmax_buffer_bytes=1",
         17, "limits.max_body_bytes", "raise max_buffer_bytes"),
        ("call_port = 7101", '[log]\nlevel = "LOUD"', 17, "log.level", "WARNING"),
        ("call_port = 7101", "[metrics]\nport = 1", 16, "metrics.host", "IP number"),
    ],
)  # fmt: skip
def test_each_mistake_names_its_line_place_and_remedy(old, new, line, place, remedy):
    found = parse_settings("n.toml", GOOD.replace(old, new, 1)).unwrap_err()
    matching = [fault for fault in found if fault.place == place]
    assert matching, found
    assert matching[0].line == line
    assert remedy in matching[0].remedy
