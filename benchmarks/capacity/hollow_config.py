"""The configuration of the hollow members: one file, read once, and the values that differ by member."""

from __future__ import annotations

from pathlib import Path

import msgspec

from pulleyroute.config import Config, load

GROUP = "capacity"
LEASE_SECONDS = 5  # the default of the fleet block
POOL = "boxes"

CONFIG_TEMPLATE = """name = "{name}"
listener "jobs" {{
  protocol = "jobs"
  address  = "127.0.0.1:0"
  pool     = "boxes"
}}
pool "boxes" {{
  protocol    = "jobs"
  dispatchers = {members}
  number      = {number}
  discovery   = "127.0.0.1:{discovery}"
}}
class "look" {{
  effect  = "safe"
  aim     = "1s"
  give_up = "5s"
}}
fleet {{
  store   = ["127.0.0.1:{store}"]
  group   = "{group}"
  zone    = "{zone}"
  version = "v1"
  size    = {members}
  lease   = "{lease}s"
  out      = {out}
  out_zone = {out}
}}
"""


def zone_of(number: int, zones: int) -> str:
    """Return the zone of a member or instance; zones are assigned round-robin."""
    return f"z{number % zones}"


def member_name(number: int) -> str:
    """Return a name as long as in a large fleet, since its length counts in the size of the records."""
    return f"member-{number:07d}"


def config_text(number: int, members: int, zones: int, store: int, discovery: int) -> str:
    """Return the configuration file of one member, which `pulleyroute serve` accepts unchanged."""
    return CONFIG_TEMPLATE.format(
        name=member_name(number),
        number=number,
        members=members,
        zone=zone_of(number, zones),
        store=store,
        discovery=discovery,
        group=GROUP,
        lease=LEASE_SECONDS,
        out=max(1, members // 10),
    )


def hollow_config(path: Path) -> Config:
    """Load the file without its listener: a hollow member serves no traffic."""
    return msgspec.structs.replace(load(path), listener={})


def for_member(config: Config, number: int, zones: int) -> Config:
    """Return the same configuration for another member of the fleet."""
    assert config.fleet is not None
    pool = msgspec.structs.replace(config.pool[POOL], number=number)
    fleet = msgspec.structs.replace(config.fleet, zone=zone_of(number, zones))
    return msgspec.structs.replace(
        config, name=member_name(number), seed=number, pool={POOL: pool}, fleet=fleet
    )
