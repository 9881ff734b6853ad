"""What an event costs at the target: one dispatcher, or all of them together, as each row says."""

from __future__ import annotations

from benchmarks.capacity.scale import (
    ABROAD,
    DESTINATIONS,
    DISPATCHERS,
    HEALTH,
    LEASE_CALLS,
    LOST_ABROAD,
    MEMBER_RECORDS,
    NETWORK,
    RACKS,
    RECORD_BYTES,
    RECORDS_A_RESTART,
    REGIONS,
    SUBSET,
    ZONE_DESTINATIONS,
    ZONE_DISPATCHERS,
    Row,
    Slopes,
)


def event_rows(slopes: Slopes) -> list[Row]:
    """The rows of the table of events; raises SeriesError where a series is missing."""
    change, whole = slopes.at("list.change_bytes", 100), slopes.at("list.whole_bytes", DESTINATIONS)
    taken, taken_of_mine = (
        slopes.at("list.change", size) + slopes.at("decisions.change", size)
        for size in (DESTINATIONS, SUBSET)
    )
    lost, lost_of_mine = ZONE_DESTINATIONS * change, LOST_ABROAD * change + RECORD_BYTES
    starting, cell = DISPATCHERS / REGIONS, ZONE_DISPATCHERS
    at_once = slopes.at("list.whole", DESTINATIONS) + slopes.at("decisions.whole", DESTINATIONS)
    mine = slopes.at("list.whole", SUBSET) + slopes.at("decisions.whole", SUBSET)
    group, part = slopes.at("store.read_bytes", DISPATCHERS), slopes.at("store.read_bytes", MEMBER_RECORDS)
    known = slopes.at("members.known", DISPATCHERS) + slopes.at("members.step", DISPATCHERS)
    writes = RECORDS_A_RESTART * DISPATCHERS
    rack, rack_of_mine = ZONE_DESTINATIONS / RACKS * change, (SUBSET - ABROAD) / RACKS * change
    own_list, summary = whole * SUBSET / DESTINATIONS, slopes.at("list.change", 100)
    return [
        Row("rack lost: to one dispatcher", "bytes", rack, rack_of_mine, "list.change_bytes"),
        Row("rack lost: sent at the limit", "s", rack / NETWORK, rack_of_mine / NETWORK, "list.change_bytes"),
        Row("zone lost: to one dispatcher", "bytes", lost, lost_of_mine, "list.change_bytes"),
        Row(
            "zone lost: to all others",
            "bytes",
            lost * (DISPATCHERS - cell),
            lost_of_mine * (DISPATCHERS - cell),
            "list.change_bytes",
        ),
        Row("zone lost: sent at the limit", "s", lost / NETWORK, lost_of_mine / NETWORK, "list.change_bytes"),
        Row(
            "zone lost: taken change by change",
            "s of a core",
            ZONE_DESTINATIONS * taken / 1e6,
            LOST_ABROAD * taken_of_mine / 1e6,
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
            whole / NETWORK,
            own_list / NETWORK,
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
            RECORDS_A_RESTART * slopes.at("store.read", MEMBER_RECORDS) / 1e6,
            "members.known, members.step",
        ),
        Row(
            "release of the fleet: counts of jobs heard by one",
            "of a core",
            HEALTH * DISPATCHERS * known / 1e6,
            LEASE_CALLS * cell * summary / 1e6,
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
