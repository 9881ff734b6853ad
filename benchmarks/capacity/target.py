"""Cost of control at the target size, computed from the fits: today's design beside the chosen one.

`docs/CAPACITY.md` explains the chosen design and quotes these tables.
"""

from __future__ import annotations

from pathlib import Path

from benchmarks.capacity.events import event_rows
from benchmarks.capacity.scale import (
    CLASSES,
    CONFIG_CHANGES_PER_S,
    CORE_LIMIT,
    CURRENT_MAX_SUBSET,
    DESTINATIONS,
    DESTINATIONS_DOWN,
    DISPATCHERS,
    EVENT_BYTES,
    EVENT_RATE,
    EVENTS_PER_S,
    KEEPALIVES_PER_S,
    LEASE_CALLS_PER_S,
    LIST_CHANGES_PER_S,
    MAX_BACKLOG_EVENTS,
    MEAN_DOWNTIME_S,
    MEMBER_RECORDS,
    MEMORY_LIMIT,
    NETWORK_LIMIT,
    RECORD_BYTES,
    RECORD_CHANGES_PER_RESTART,
    REPLICAS,
    REPROBE_INTERVAL_S,
    REREAD_INTERVAL_S,
    RESTARTS_PER_S,
    SUBSET,
    SUMMARIES_PER_S,
    TICKS_PER_S,
    ZONES,
    FittedCosts,
    Row,
)
from pulleyroute.net.json_lines import LINE_LIMIT

TABLE = "target.md"


def dispatcher_rows(costs: FittedCosts) -> list[Row]:
    """Return the cost of control for one dispatcher: shares of a core, bytes, and bytes per second."""
    return [*_processor(costs), *_memory(costs), *_network(costs)]


def _processor(costs: FittedCosts) -> list[Row]:
    def change_cost(size: float) -> float:
        return costs.cost_at("list.change", size) + costs.cost_at("decisions.change", size)

    def core(part: str, today: float, chosen: float, source: str) -> Row:
        return Row(part, "of a core", today / 1e6, chosen / 1e6, source)

    subset_share = SUBSET / DESTINATIONS
    report = costs.unit_cost("reports.read") + costs.unit_cost("reports.learn")
    probe, small = costs.unit_cost("probes.ask"), costs.cost_at("store.read", MEMBER_RECORDS)
    reread = costs.cost_at("store.read", DISPATCHERS) + costs.cost_at("members.known", DISPATCHERS)
    update = costs.cost_at("members.known", DISPATCHERS) + costs.cost_at("members.step", DISPATCHERS)
    return [
        core(
            "changes of the list",
            LIST_CHANGES_PER_S * change_cost(DESTINATIONS),
            LIST_CHANGES_PER_S * subset_share * change_cost(SUBSET),
            "list.change, decisions.change",
        ),
        core(
            "turns of the tick",
            TICKS_PER_S * costs.cost_at("decisions.tick", DESTINATIONS),
            TICKS_PER_S * costs.cost_at("decisions.tick", SUBSET),
            "decisions.tick",
        ),
        core(
            "probes",
            EVENT_RATE * probe,
            DESTINATIONS_DOWN / DISPATCHERS / REPROBE_INTERVAL_S * probe,
            "probes.ask",
        ),
        core("summaries of zones", 0.0, SUMMARIES_PER_S * costs.cost_at("list.change", 100), "list.change"),
        core("load reports", EVENT_RATE * report, EVENT_RATE * report, "reports.read, reports.learn"),
        core(
            "fleet: at rest",
            reread / REREAD_INTERVAL_S + KEEPALIVES_PER_S * small,
            LEASE_CALLS_PER_S * small,
            "store.read, members.known",
        ),
        core(
            "fleet: restarts heard",
            RESTARTS_PER_S * RECORD_CHANGES_PER_RESTART * update,
            0.0,
            "members.known, members.step",
        ),
        core(
            "configuration",
            CONFIG_CHANGES_PER_S * costs.cost_at("reload.classes", CLASSES),
            CONFIG_CHANGES_PER_S * (costs.unit_cost("reload.classes") + small),
            "reload.classes, store.read",
        ),
    ]


def _memory(costs: FittedCosts) -> list[Row]:
    def list_memory(size: float) -> float:
        return costs.cost_at("list.memory", size) + costs.cost_at("decisions.memory", size)

    return [
        Row("list", "bytes", list_memory(DESTINATIONS), list_memory(SUBSET), "list.memory, decisions.memory"),
        Row(
            "fleet's records",
            "bytes",
            costs.cost_at("members.memory", DISPATCHERS),
            costs.cost_at("members.memory", MEMBER_RECORDS),
            "members.memory",
        ),
    ]


def _network(costs: FittedCosts) -> list[Row]:
    change, probe = costs.cost_at("list.change_bytes", 100), costs.cost_at("probes.bytes", 100)
    lease = costs.cost_at("store.keepalive_bytes", 100)
    subset_share = SUBSET / DESTINATIONS
    return [
        Row(
            "changes of the list",
            "bytes/s",
            LIST_CHANGES_PER_S * change,
            LIST_CHANGES_PER_S * subset_share * change,
            "list.change_bytes",
        ),
        Row("summaries of zones", "bytes/s", 0.0, SUMMARIES_PER_S * RECORD_BYTES, "assumed record"),
        Row(
            "probes",
            "bytes/s",
            EVENT_RATE * probe,
            DESTINATIONS_DOWN / DISPATCHERS / REPROBE_INTERVAL_S * probe,
            "probes.bytes",
        ),
        Row(
            "fleet",
            "bytes/s",
            costs.cost_at("store.read_bytes", DISPATCHERS) / REREAD_INTERVAL_S + KEEPALIVES_PER_S * lease,
            LEASE_CALLS_PER_S * lease,
            "store.read_bytes, store.keepalive_bytes",
        ),
        Row(
            "configuration",
            "bytes/s",
            CONFIG_CHANGES_PER_S * costs.cost_at("reload.bytes", CLASSES),
            CONFIG_CHANGES_PER_S * RECORD_BYTES,
            "reload.bytes",
        ),
    ]


def machine_rows(costs: FittedCosts) -> list[Row]:
    """Return the cost for all machines dedicated to control; processor time is that of the stand-in."""
    change, whole = costs.cost_at("list.change_bytes", 100), costs.cost_at("list.whole_bytes", DESTINATIONS)
    read, small = (
        costs.cost_at("store.read_store", DISPATCHERS),
        costs.cost_at("store.read_store", MEMBER_RECORDS),
    )
    lease = costs.cost_at("store.keepalive_bytes", 100)
    calls = KEEPALIVES_PER_S + 2 / REREAD_INTERVAL_S
    return [
        Row(
            "store: calls", "calls/s", DISPATCHERS * calls, DISPATCHERS * LEASE_CALLS_PER_S, "members x calls"
        ),
        Row(
            "store: processor time",
            "cores",
            DISPATCHERS * (read / REREAD_INTERVAL_S + calls * small) / 1e6,
            DISPATCHERS * LEASE_CALLS_PER_S * small / 1e6,
            "store.read_store",
        ),
        Row(
            "store: sent",
            "bytes/s",
            DISPATCHERS
            * (costs.cost_at("store.read_bytes", DISPATCHERS) / REREAD_INTERVAL_S + KEEPALIVES_PER_S * lease),
            DISPATCHERS * LEASE_CALLS_PER_S * lease,
            "store.read_bytes, store.keepalive_bytes",
        ),
        Row(
            "list: changes sent",
            "bytes/s",
            LIST_CHANGES_PER_S * change * DISPATCHERS,
            LIST_CHANGES_PER_S * change * (REPLICAS + ZONES),
            "list.change_bytes",
        ),
        Row(
            "summaries: sent", "bytes/s", 0.0, DISPATCHERS * SUMMARIES_PER_S * RECORD_BYTES, "assumed record"
        ),
        Row("list: a whole one", "bytes", whole, whole * SUBSET / DESTINATIONS, "list.whole_bytes"),
        Row(
            "configuration: sent",
            "bytes/s",
            CONFIG_CHANGES_PER_S * costs.cost_at("reload.bytes", CLASSES) * DISPATCHERS,
            CONFIG_CHANGES_PER_S * RECORD_BYTES * (DISPATCHERS + ZONES),
            "reload.bytes",
        ),
    ]


def facts(costs: FittedCosts) -> list[str]:
    """Return the single figures that `docs/CAPACITY.md` quotes."""
    entry = costs.unit_cost("list.whole_bytes")
    member = costs.unit_cost("store.read_bytes")
    stored = MAX_BACKLOG_EVENTS * EVENT_BYTES
    one_kind = [costs.cost_at("decisions.pick_kind", size) for size in (DESTINATIONS, SUBSET)]
    return [
        f"Changes of the list: {LIST_CHANGES_PER_S:.0f} a second, "
        f"with {DESTINATIONS_DOWN:,.0f} down for {MEAN_DOWNTIME_S:.0f} s each.",
        f"A subset: {SUBSET:,} destinations, {REPLICAS} dispatchers a destination.",
        f"A whole list over {LINE_LIMIT // 1048576} MiB is refused (`LINE_LIMIT`): "
        f"{LINE_LIMIT / entry:,.0f} entries.",
        "An answer of the store over 4 MiB is refused (`store.MAX_ANSWER_BYTES`): "
        f"{4 * 1048576 / member:,.0f} members in one; a group is read in pages of 1,000 keys.",
        f"Comparisons of a permit: {costs.cost_at('members.permit_compares', DISPATCHERS):,.0f}; "
        "etcd allows 128 operations.",
        f"Destinations that anybody keeps to: at most {CURRENT_MAX_SUBSET * DISPATCHERS:,}, "
        f"{CURRENT_MAX_SUBSET * DISPATCHERS / DESTINATIONS:.1%} of all.",
        f"A job of a class for one kind of instance: {one_kind[0] / 1e6:.1f} s of a core with the whole "
        f"list, {one_kind[1] / 1e3:.1f} ms with a subset.",
        f"Data path: {costs.unit_cost('request.time') / 1e3:.2f} ms of a core an event, "
        f"{costs.cost_at('request.time', EVENT_RATE) / 1e6:.0%} of a core at {EVENT_RATE:.0f} a second.",
        f"Backlog: {stored / 1e12:.0f} TB at {EVENT_BYTES:,.0f} bytes an event, "
        f"{MAX_BACKLOG_EVENTS / EVENTS_PER_S / 3600:.1f} h of events.",
        "Extrapolated beyond the largest size measured by: "
        + ", ".join(
            f"{name} {costs.extrapolation_factor(name, size):.1f}"
            for name, size in (
                ("list.memory", DESTINATIONS),
                ("decisions.change", DESTINATIONS),
                ("members.known", DISPATCHERS),
                ("store.read", DISPATCHERS),
                ("request.time", EVENT_RATE),
            )
        )
        + ".",
    ]


_LIMITS = {"of a core": CORE_LIMIT, "bytes": MEMORY_LIMIT, "bytes/s": NETWORK_LIMIT}


def report(folder: Path) -> None:
    """Write and print the tables; raises SeriesError if a series is missing."""
    costs = FittedCosts(folder)
    lines = ["# Control at the target", "", "Made by `python -m benchmarks.capacity target`.", ""]
    lines += ["## One dispatcher", "", *_table(dispatcher_rows(costs)), ""]
    lines += [*_totals(dispatcher_rows(costs)), ""]
    lines += ["## The machines set aside, together", "", *_table(machine_rows(costs)), ""]
    lines += ["## Events", "", *_table(event_rows(costs)), ""]
    lines += ["## Single figures", "", *(f"- {fact}" for fact in facts(costs)), ""]
    text = "\n".join(lines)
    print(text)
    (folder / TABLE).write_text(text)


def _table(rows: list[Row]) -> list[str]:
    lines = ["| part | unit | today | chosen | from |", "| --- | --- | --- | --- | --- |"]
    return lines + [
        f"| {row.part} | {row.unit} | {_number(row.today)} | {_number(row.chosen)} | {row.source} |"
        for row in rows
    ]


def _totals(rows: list[Row]) -> list[str]:
    lines = ["| sum | limit | today | over the limit | chosen | of the limit |", "|" + " --- |" * 6]
    for unit, limit in _LIMITS.items():
        today, chosen = (
            sum(getattr(row, name) for row in rows if row.unit == unit) for name in ("today", "chosen")
        )
        cells = (unit, _number(limit), _number(today), f"{today / limit:,.1f} times", _number(chosen))
        lines.append(f"| {' | '.join(cells)} | {chosen / limit:.1%} |")
    return lines


def _number(value: float) -> str:
    """Format with three significant digits and a prefix for thousands, millions and so on."""
    for power, letter in ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")):
        if value >= power:
            return f"{value / power:.3g} {letter}"
    return f"{value:.3g}"
