"""What an event costs at the target: one dispatcher, or all of them together, as each row says."""

from __future__ import annotations

from benchmarks.capacity.scale import (
    DESTINATIONS,
    DISPATCHERS,
    HEALTH_WRITES_PER_S,
    LEASE_CALLS_PER_S,
    LOST_REMOTE_DESTINATIONS,
    MEMBER_RECORDS,
    NETWORK_LIMIT,
    RACKS,
    RECORD_BYTES,
    RECORD_CHANGES_PER_RESTART,
    REGIONS,
    REMOTE_DESTINATIONS,
    SUBSET,
    ZONE_DESTINATIONS,
    ZONE_DISPATCHERS,
    FittedCosts,
    Row,
)


def event_rows(costs: FittedCosts) -> list[Row]:
    """The rows of the table of events; raises SeriesError where a series is missing."""
    change, whole = costs.cost_at("list.change_bytes", 100), costs.cost_at("list.whole_bytes", DESTINATIONS)
    taken, taken_of_mine = (
        costs.cost_at("list.change", size) + costs.cost_at("decisions.change", size)
        for size in (DESTINATIONS, SUBSET)
    )
    lost, lost_of_mine = ZONE_DESTINATIONS * change, LOST_REMOTE_DESTINATIONS * change + RECORD_BYTES
    starting, cell = DISPATCHERS / REGIONS, ZONE_DISPATCHERS
    at_once = costs.cost_at("list.whole", DESTINATIONS) + costs.cost_at("decisions.whole", DESTINATIONS)
    mine = costs.cost_at("list.whole", SUBSET) + costs.cost_at("decisions.whole", SUBSET)
    group, part = (
        costs.cost_at("store.read_bytes", DISPATCHERS),
        costs.cost_at("store.read_bytes", MEMBER_RECORDS),
    )
    known = costs.cost_at("members.known", DISPATCHERS) + costs.cost_at("members.step", DISPATCHERS)
    writes = RECORD_CHANGES_PER_RESTART * DISPATCHERS
    rack, rack_of_mine = ZONE_DESTINATIONS / RACKS * change, (SUBSET - REMOTE_DESTINATIONS) / RACKS * change
    own_list, summary = whole * SUBSET / DESTINATIONS, costs.cost_at("list.change", 100)
    return [
        Row("rack lost: to one dispatcher", "bytes", rack, rack_of_mine, "list.change_bytes"),
        Row(
            "rack lost: sent at the limit",
            "s",
            rack / NETWORK_LIMIT,
            rack_of_mine / NETWORK_LIMIT,
            "list.change_bytes",
        ),
        Row("zone lost: to one dispatcher", "bytes", lost, lost_of_mine, "list.change_bytes"),
        Row(
            "zone lost: to all others",
            "bytes",
            lost * (DISPATCHERS - cell),
            lost_of_mine * (DISPATCHERS - cell),
            "list.change_bytes",
        ),
        Row(
            "zone lost: sent at the limit",
            "s",
            lost / NETWORK_LIMIT,
            lost_of_mine / NETWORK_LIMIT,
            "list.change_bytes",
        ),
        Row(
            "zone lost: taken change by change",
            "s of a core",
            ZONE_DESTINATIONS * taken / 1e6,
            LOST_REMOTE_DESTINATIONS * taken_of_mine / 1e6,
            "list.change, decisions.change",
        ),
        Row("a whole list taken", "s of a core", at_once / 1e6, mine / 1e6, "list.whole, decisions.whole"),
        Row(
            "a region's dispatchers started: lists sent",
            "bytes",
            starting * whole,
            starting * own_list,
            "list.whole_bytes",
        ),
        Row(
            "a region's dispatchers started: one's list at the limit",
            "s",
            whole / NETWORK_LIMIT,
            own_list / NETWORK_LIMIT,
            "list.whole_bytes",
        ),
        Row(
            "a region's dispatchers started: groups read",
            "bytes",
            starting * 3 * group,
            starting * 3 * part,
            "store.read_bytes",
        ),
        Row(
            "release of the fleet: records heard by one",
            "s of a core",
            writes * known / 1e6,
            RECORD_CHANGES_PER_RESTART * costs.cost_at("store.read", MEMBER_RECORDS) / 1e6,
            "members.known, members.step",
        ),
        Row(
            "release of the fleet: counts of jobs heard by one",
            "of a core",
            HEALTH_WRITES_PER_S * DISPATCHERS * known / 1e6,
            LEASE_CALLS_PER_S * cell * summary / 1e6,
            "members.known, members.step, list.change",
        ),
        Row(
            "release of the fleet: groups read by writers",
            "bytes",
            writes * group,
            writes * part,
            "store.read_bytes",
        ),
        Row(
            "regions joined again: groups read",
            "bytes",
            starting * group,
            starting * part,
            "store.read_bytes",
        ),
        Row(
            "store restarted empty: groups read by all",
            "bytes",
            3 * DISPATCHERS * group,
            3 * DISPATCHERS * part,
            "store.read_bytes",
        ),
    ]
