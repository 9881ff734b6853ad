"""Connects a service to its fleet, if its configuration has a fleet block."""

from __future__ import annotations

import random

from pulleyroute import __version__
from pulleyroute.config import Config
from pulleyroute.fleet.agent import Agent, MemberSettings
from pulleyroute.fleet.drains import Bounds
from pulleyroute.fleet.runners import RunnerBounds
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.loop import Loop
from pulleyroute.service.assembly import Service


def join(loop: Loop, service: Service, config: Config) -> Agent:
    """Start the fleet agent and return it. The service keeps serving whatever happens to the agent."""
    fleet = config.fleet
    assert fleet is not None
    place = MemberSettings(
        fleet.group,
        fleet.member or config.name,
        fleet.zone,
        fleet.region,
        fleet.version or __version__,
        fleet.lease // 1_000_000,
        Bounds(fleet.out, fleet.out_zone, fleet.out_region, fleet.least_serving, fleet.size),
        RunnerBounds(fleet.runners_out, fleet.runners_out_hall, fleet.runners_out_kind),
    )
    # The seed of the configuration is not used, because two processes started from the same file must choose
    # different tokens for themselves.
    agent = Agent(loop, BufferPool(), fleet.store, place, service, random.SystemRandom().getrandbits(64))
    service.on_phase_change = agent.on_phase_change
    agent.start()
    return agent
