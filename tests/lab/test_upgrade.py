"""Upgrades of the real program under load, judged by the referee as one dispatcher."""

import sys

import pytest

from pulleyroute.lab.upgrade import MEMORY_MB, SOCKETS, play

# The real program, but patient: a slow machine is no reason for a new process to go on alone.
PATIENT = """
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
    return [sys.executable, "-c", PATIENT.format(mutant=mutant)]


@pytest.mark.parametrize("hasty", [0.0, 0.5])
def test_two_upgrades_in_a_row_lose_nothing_and_repeat_no_charge(hasty):
    result = play(hasty=hasty, program=program())
    assert not result.broken and not result.unheard and result.exits == [0, 0, 0]
    assert {ending for _, ending in result.endings} == {"served"}
    assert all(result.endings[kind, "served"] > 5 for kind in ("balance-check", "card-charge"))
    assert max(each.processes for each in result.held) == 2
    assert max(each.descriptors for each in result.held) <= SOCKETS
    assert max(each.memory_mb for each in result.held) <= MEMORY_MB


def test_a_mutant_that_relays_no_call_back_is_caught():
    result = play(upgrades=1, hasty=1.0, clients=24, give_up=5, program=program(NO_RELAY))
    assert result.unheard
