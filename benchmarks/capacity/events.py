"""Cost of events at the target, for one dispatcher or for all of them, as each row states."""

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
    """Return the rows of the table of events; raises SeriesError if a series is missing."""
    change, whole = costs.cost_at("list.change_bytes", 100), costs.cost_at("list.whole_bytes", DESTINATIONS)
    update, subset_update = (
        costs.cost_at("list.change", size) + costs.cost_at("decisions.change", size)
        for size in (DESTINATIONS, SUBSET)
    )
    lost, subset_lost = ZONE_DESTINATIONS * change, LOST_REMOTE_DESTINATIONS * change + RECORD_BYTES
    region_dispatchers, zone_dispatchers = DISPATCHERS / REGIONS, ZONE_DISPATCHERS
    full_list = costs.cost_at("list.whole", DESTINATIONS) + costs.cost_at("decisions.whole", DESTINATIONS)
    subset_list = costs.cost_at("list.whole", SUBSET) + costs.cost_at("decisions.whole", SUBSET)
    group_bytes, part_bytes = (
        costs.cost_at("store.read_bytes", DISPATCHERS),
        costs.cost_at("store.read_bytes", MEMBER_RECORDS),
    )
    member_update = costs.cost_at("members.known", DISPATCHERS) + costs.cost_at("members.step", DISPATCHERS)
    writes = RECORD_CHANGES_PER_RESTART * DISPATCHERS
    rack, subset_rack = ZONE_DESTINATIONS / RACKS * change, (SUBSET - REMOTE_DESTINATIONS) / RACKS * change
    subset_bytes, summary = whole * SUBSET / DESTINATIONS, costs.cost_at("list.change", 100)
    return [
        Row("rack lost: to one dispatcher", "bytes", rack, subset_rack, "list.change_bytes"),
        Row(
            "rack lost: sent at the limit",
            "s",
            rack / NETWORK_LIMIT,
            subset_rack / NETWORK_LIMIT,
            "list.change_bytes",
        ),
        Row("zone lost: to one dispatcher", "bytes", lost, subset_lost, "list.change_bytes"),
        Row(
            "zone lost: to all others",
            "bytes",
            lost * (DISPATCHERS - zone_dispatchers),
            subset_lost * (DISPATCHERS - zone_dispatchers),
            "list.change_bytes",
        ),
        Row(
            "zone lost: sent at the limit",
            "s",
            lost / NETWORK_LIMIT,
            subset_lost / NETWORK_LIMIT,
            "list.change_bytes",
        ),
        Row(
            "zone lost: taken change by change",
            "s of a core",
            ZONE_DESTINATIONS * update / 1e6,
            LOST_REMOTE_DESTINATIONS * subset_update / 1e6,
            "list.change, decisions.change",
        ),
        Row(
            "a whole list taken",
            "s of a core",
            full_list / 1e6,
            subset_list / 1e6,
            "list.whole, decisions.whole",
        ),
        Row(
            "a region's dispatchers started: lists sent",
            "bytes",
            region_dispatchers * whole,
            region_dispatchers * subset_bytes,
            "list.whole_bytes",
        ),
        Row(
            "a region's dispatchers started: one's list at the limit",
            "s",
            whole / NETWORK_LIMIT,
            subset_bytes / NETWORK_LIMIT,
            "list.whole_bytes",
        ),
        Row(
            "a region's dispatchers started: groups read",
            "bytes",
            region_dispatchers * 3 * group_bytes,
            region_dispatchers * 3 * part_bytes,
            "store.read_bytes",
        ),
        Row(
            "release of the fleet: records heard by one",
            "s of a core",
            writes * member_update / 1e6,
            RECORD_CHANGES_PER_RESTART * costs.cost_at("store.read", MEMBER_RECORDS) / 1e6,
            "members.known, members.step",
        ),
        Row(
            "release of the fleet: counts of jobs heard by one",
            "of a core",
            HEALTH_WRITES_PER_S * DISPATCHERS * member_update / 1e6,
            LEASE_CALLS_PER_S * zone_dispatchers * summary / 1e6,
            "members.known, members.step, list.change",
        ),
        Row(
            "release of the fleet: groups read by writers",
            "bytes",
            writes * group_bytes,
            writes * part_bytes,
            "store.read_bytes",
        ),
        Row(
            "regions joined again: groups read",
            "bytes",
            region_dispatchers * group_bytes,
            region_dispatchers * part_bytes,
            "store.read_bytes",
        ),
        Row(
            "store restarted empty: groups read by all",
            "bytes",
            3 * DISPATCHERS * group_bytes,
            3 * DISPATCHERS * part_bytes,
            "store.read_bytes",
        ),
    ]
