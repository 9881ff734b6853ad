"""Upgrades of the real program under load, with all processes checked as one dispatcher."""

import sys

import pytest

from pulleyroute.lab.upgrade import MEMORY_LIMIT_MB, SOCKET_LIMIT, run_upgrades

# The real program with long hand-over time-outs, so that on a slow machine too the new process completes the
# hand-over and does not go on alone.
PROGRAM_WITH_LONG_TIMEOUTS = """
import sys
import pulleyroute.net.handover as handover
handover.STATE_TIMEOUT_US = handover.CALLBACK_TIMEOUT_US = handover.SEND_TIMEOUT_US = 60_000_000
{mutant}
from pulleyroute.__main__ import main
sys.exit(main())
"""
NO_RELAY = """
def relay_call(self, call, body):
    self._host.handle_callback(call)
    return True
    yield
handover.Handover.relay_call = relay_call
"""


def program(mutant=""):
    return [sys.executable, "-c", PROGRAM_WITH_LONG_TIMEOUTS.format(mutant=mutant)]


@pytest.mark.parametrize("early_callback_share", [0.0, 0.5])
def test_two_upgrades_in_a_row_lose_nothing_and_repeat_no_charge(early_callback_share):
    result = run_upgrades(early_callback_share=early_callback_share, program=program())
    assert not result.broken and not result.lost_results and result.exits == [0, 0, 0]
    assert {ending for _, ending in result.endings} == {"served"}
    assert all(result.endings[kind, "served"] > 5 for kind in ("balance-check", "card-charge"))
    assert max(each.processes for each in result.resource_usage) == 2
    assert max(each.descriptors for each in result.resource_usage) <= SOCKET_LIMIT
    assert max(each.memory_mb for each in result.resource_usage) <= MEMORY_LIMIT_MB


def test_a_mutant_that_relays_no_call_back_is_caught():
    result = run_upgrades(
        upgrades=1, early_callback_share=1.0, clients=24, give_up=5, program=program(NO_RELAY)
    )
    assert result.lost_results
