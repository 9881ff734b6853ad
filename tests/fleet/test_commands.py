"""The fleet block of a configuration, and the fleet's commands on a store in another process."""

import json
import subprocess
import sys

import pytest
from typer.testing import CliRunner

from pulleyroute.cli.app import app
from pulleyroute.config import InvalidConfig, load
from pulleyroute.fleet.drains import CountOrShare

BASE = """
listener "jobs" {
  protocol = "jobs"
  address  = "127.0.0.1:8080"
  pool     = "boxes"
}
pool "boxes" {
  protocol  = "jobs"
  discovery = "127.0.0.1:8500"
}
class "look" {
  effect  = "safe"
  aim     = "1s"
  give_up = "5s"
}
"""


def write_config(tmp_path, block):
    path = tmp_path / "site.hcl"
    path.write_text(BASE + block)
    return path


def test_a_fleet_block_is_read_and_checked(tmp_path):
    fleet = load(
        write_config(
            tmp_path,
            """
fleet {
  store = ["127.0.0.1:2379", "127.0.0.2:2379"]
  out   = "25%"
  out_zone = 1
  lease = "3s"
}
""",
        )
    ).fleet
    assert fleet.store == [("127.0.0.1", 2379), ("127.0.0.2", 2379)] and fleet.lease == 3_000_000
    assert (fleet.out, fleet.out_zone, fleet.out_region) == (
        CountOrShare(share=0.25),
        CountOrShare(count=1),
        None,
    )


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ('store = "127.0.0.1:2379"', "fleet.store: expected a list of addresses"),
        ("store = []", "fleet.store: expected a list of addresses"),
        ('out = "120%"', 'fleet.out: expected a number such as 2, or a share such as "25%"'),
        ("out = -1", "fleet.out: expected a number"),
        ('out_zone = "half"', "fleet.out_zone: expected a number"),
        ('lease = "1500ms"', "fleet.lease: expected whole seconds"),
        ('lease = "0s"', "fleet.lease: expected a time"),
        ("restart_status = 0", "fleet.restart_status"),
        ("outs = 2", "fleet.outs: expected a known key"),
    ],
)
def test_a_bad_fleet_block_is_reported_with_line_and_key(tmp_path, line, message):
    store = "" if line.startswith("store") else 'store = ["127.0.0.1:2379"]\n'
    path = write_config(tmp_path, f"fleet {{\n{store}{line}\n}}\n")
    with pytest.raises(InvalidConfig) as error:
        load(path)
    line_number = BASE.count("\n") + (2 if not store else 3)
    assert f"{path}:{line_number}: {message}" in str(error.value)


def run(*args):
    result = CliRunner().invoke(app, ["fleet", *args])
    return result.exit_code, result.output


def test_commands_that_fail_print_one_plain_line(tmp_path):
    without_fleet = write_config(tmp_path, "")
    code, text = run("members", "--config", str(without_fleet))
    assert code == 2 and "fleet: expected a block, found none" in text
    without_store = write_config(tmp_path, 'fleet {\nstore = ["127.0.0.1:1"]\n}\n')
    code, text = run("members", "--config", str(without_store))
    assert (
        code == 1 and "store unavailable" in text and "nothing was done" in text and "Traceback" not in text
    )


def test_commands_on_a_store(tmp_path):
    store = subprocess.Popen(
        [sys.executable, "-m", "pulleyroute.cli", "emulate", "store"], stdout=subprocess.PIPE, text=True
    )
    try:
        address = store.stdout.readline().strip()
        path = str(write_config(tmp_path, f'fleet {{\nstore = ["{address}"]\n}}\n'))
        assert run("members", "--config", path, "--json") == (0, "[]\n")
        code, text = run("drain", "d1", "--config", path)
        assert code == 1 and "d1 is not a member of this fleet; members: none" in text
        code, text = run("undrain", "r1", "--pool", "boxes", "--config", path)
        assert code == 1 and "no drain of r1 of pool boxes is requested" in text
        assert json.loads(run("history", "--config", path, "--json")[1]) == []
    finally:
        store.kill()
        store.wait()
        store.stdout.close()
