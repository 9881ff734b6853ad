"""HCL configurations: how mistakes are reported, and the settings that a valid file produces."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.config import InvalidConfig, load, pool_settings
from pulleyroute.config.build import static_instance_list
from pulleyroute.interface import Effect, ReportSource
from pulleyroute.net.discovery import DiscoveryClient

MISSING = ("class", "listener", "pool", "effect")  # reported at the line of the block that lacks them
ROOT = Path(__file__).parent.parent
GOOD = """
name = "n1"
listener "calls" {
  protocol = "grpc"
  address  = "127.0.0.1:0"
  limits {
    message = "1MiB"
  }
}
listener "jobs" {
  protocol = "jobs"
  address  = "127.0.0.1:8080"
  pool     = "boxes"
}
pool "boxes" {
  protocol  = "jobs"
  discovery = "127.0.0.1:8500"
  reports   = "probes"
}
pool "apps" {
  protocol = "grpc"
  attempts = 3
  hall     = "leicester"
  instance "a" {
    address = "127.0.0.1:9001"
    hall    = "coventry"
  }
  instance "b" {
    address = "127.0.0.1:9002"
    drain   = true
  }
}
class "look" {
  effect  = "safe"
  aim     = "250ms"
  give_up = "5s"
}
class "charge" {
  effect  = "unsafe"
  aim     = "1.5s"
  give_up = "25s"
  worth   = 3
}
route "charges" {
  service = "shop.Charges"
  pool    = "apps"
  class   = "charge"
}
"""


def load_text(tmp_path, text):
    path = tmp_path / "site.hcl"
    path.write_text(text)
    return load(path)


def mistakes(tmp_path, text):
    with pytest.raises(InvalidConfig) as raised:
        load_text(tmp_path, text)
    return [str(problem).partition("site.hcl:")[2] for problem in raised.value.problems]


def test_a_good_file_becomes_the_same_settings_as_the_platforms(tmp_path):
    config = load_text(tmp_path, GOOD)
    assert config.listener["calls"].limits.message == 1024**2 and config.listener["calls"].address[1] == 0
    settings = pool_settings(config, config.pool["apps"])
    assert [(c.name, c.effect, c.aim, c.give_up, c.worth) for c in settings.classes] == [
        ("look", Effect.SAFE, 250_000, 5_000_000, 1.0),
        ("charge", Effect.UNSAFE, 1_500_000, 25_000_000, 3.0),
    ]
    assert settings.max_attempts == 3 and settings.zones[settings.zone] == "leicester"
    assert pool_settings(config, config.pool["boxes"]).report_source is ReportSource.PROBES
    table = DiscoveryClient(None, None, ("127.0.0.1", 1), settings, 0)  # type: ignore[arg-type]
    table.load_known(static_instance_list(config.pool["apps"], 1))
    assert table.active(b"a") and not table.active(b"b") and table.member(b"b").address == ("127.0.0.1", 9002)


@pytest.mark.parametrize(
    "old, new, expected",
    [
        (
            'name = "n1"',
            'nam = "n1"',
            ["nam: expected a known key, found an unknown one; did you mean 'name'?"],
        ),
        ("attempts = 3", "attempts = 0", ["pool.apps.attempts: expected a whole number >= 1, found 0"]),
        ("attempts = 3", 'attempts = "3"', ["pool.apps.attempts: expected a whole number, found '3'"]),
        ("attempts = 3", "attempts = 1 + 2", ["pool.apps.attempts: expected a literal value, "]),
        ("attempts = 3", "attempts = var.x", ["pool.apps.attempts: expected a literal value, "]),
        ("attempts = 3", "attempts = 3\n  attempts = 4", ["pool.apps.attempts: expected each key once"]),
        (
            "attempts = 3",
            "attempts {}",
            ["pool.apps.attempts: expected a value: attempts = ..., found a block"],
        ),
        ('aim     = "250ms"', "aim     = 250", ['class.look.aim: expected a time such as "250ms"']),
        ('message = "1MiB"', 'message = "1MB"', ["listener.calls.limits.message: expected a size such as"]),
        ('message = "1MiB"', 'mesage = "1MiB"', ["listener.calls.limits.mesage: expected a known key"]),
        (
            'protocol = "grpc"\n  address',
            'protocol = "grcp"\n  address',
            ["listener.calls.protocol: expected one of 'jobs', 'grpc', found 'grcp'"],
        ),
        (
            'class   = "charge"',
            'class   = "chrge"',
            ["route.charges.class: expected a class, found 'chrge'; did you mean 'charge'?"],
        ),
        (
            'pool    = "apps"',
            'pool    = "boxes"',
            ["route.charges.pool: expected a pool of grpc, found 'boxes'"],
        ),
        ('effect  = "unsafe"\n', "", ["class.charge.effect: expected a value, found none"]),
        ('give_up = "5s"', 'give_up = "100ms"', ["class.look.give_up: expected at least aim"]),
        (
            'address = "127.0.0.1:9001"',
            'address = "localhost:9001"',
            ["pool.apps.instance.a.address: expected"],
        ),
        ('pool     = "boxes"', "", ["listener.jobs.pool: expected a pool of jobs, found none"]),
        (
            "  reports   =",
            '  instance "x" {\n    address = "127.0.0.1:1"\n  }\n  reports   =',
            ["pool.boxes.instance: expected either discovery or instances, found both"],
        ),
        (
            'route "charges" {',
            'route "again" {\n  service = "shop.Charges"\n  pool = "apps"\n  class = "look"\n}\n'
            'route "charges" {',
            ["route.charges: expected service, service and method, or prefix, each once"],
        ),
        ('name = "n1"', 'name = "n1', ["syntax: expected HCL"]),
        ('listener "calls" {', "listener {", ["listener: expected one name"]),
        (
            GOOD,
            "",
            [
                "class: expected at least one block of it, found none",
                "listener: expected at least one block of it, found none",
                "pool: expected at least one block of it, found none",
            ],
        ),
    ],
)
def test_a_mistake_names_file_line_key_and_what_was_expected(tmp_path, old, new, expected):
    assert old in GOOD
    reported = mistakes(tmp_path, GOOD.replace(old, new, 1))
    assert len(reported) == len(expected)
    lines = (tmp_path / "site.hcl").read_text().split("\n")
    for line, start in zip(reported, expected, strict=True):
        number, _, text = line.partition(": ")
        assert text.startswith(start)
        key = text.split(":")[0].rsplit(".", 1)[-1]
        assert key in lines[int(number) - 1] or key in (*MISSING, "syntax")


def test_all_mistakes_are_told_at_once_in_the_order_of_their_lines(tmp_path):
    text = GOOD.replace("attempts = 3", "attempts = 99").replace('"5s"', "5").replace("effect", "efect")
    lines = [int(line.split(":")[0]) for line in mistakes(tmp_path, text)]
    assert lines == sorted(lines) and len(lines) == 6


def test_a_file_that_is_not_there_or_no_text_is_a_mistake_too(tmp_path):
    with pytest.raises(InvalidConfig, match="readable file"):
        load(tmp_path / "none.hcl")
    (tmp_path / "x.hcl").write_bytes(b"\xff\xfe")
    with pytest.raises(InvalidConfig, match="UTF-8"):
        load(tmp_path / "x.hcl")


@given(st.integers(0, len(GOOD)), st.integers(0, 30), st.text('{}="\n ax1.$', max_size=5))
def test_no_text_makes_anything_but_a_configuration_or_told_mistakes(tmp_path_factory, at, cut, put):
    path = tmp_path_factory.getbasetemp() / "any.hcl"
    path.write_text(GOOD[:at] + put + GOOD[at + cut :])
    try:
        load(path)
    except InvalidConfig as exc:
        assert exc.problems


def test_the_example_can_be_used():
    assert load(ROOT / "examples" / "site.hcl").route
