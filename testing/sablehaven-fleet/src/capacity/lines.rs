//! The lines of the target that are read from slopes.

use super::{
    Part::{
        self, Agents, Backends, Changes, Claims, Events, Healing, Latency, Membership, Moves,
        Relays, Routers, Starts, Whole,
    },
    figure::{self as f, Figure},
    target::{
        AGENTS, BACKENDS, Projection, READINGS_PER_SECOND, RELAYS,
        Reading::{self, At, Growth},
        ZONES, changes_per_second, records_per_second,
    },
};

const CORE: &str = "‰ core";

/// Agents of a relay.
const RELAY_AGENTS: f64 = AGENTS / RELAYS;

/// Agents of a zone.
const ZONE_AGENTS: f64 = AGENTS / ZONES;

/// Servers of a zone.
const ZONE_SERVERS: f64 = BACKENDS / ZONES;

/// Servers of a rack.
const RACK: f64 = 40.0;

/// One line: role, line, part, figure, reading, size, factor, unit.
type Row = (
    &'static str,
    &'static str,
    Part,
    Figure,
    Reading,
    f64,
    f64,
    &'static str,
);

/// Every line of the page.
pub(super) fn projections() -> Vec<Projection> {
    let rows = [
        agent_rows(),
        relay_rows(),
        control_rows(),
        ledger_rows(),
        event_rows(),
    ];
    let rows = rows.into_iter().flatten();
    rows.map(
        |(role, line, part, figure, reading, size, times, unit)| Projection {
            role,
            line,
            part,
            figure,
            reading,
            size,
            times,
            unit,
        },
    )
    .collect()
}

#[rustfmt::skip] // one row a line
fn agent_rows() -> Vec<Row> {
    let changes = changes_per_second();
    let records = records_per_second();
    vec![
        ("agent", "leases at rest", Agents, f::HOLLOW_REST, Growth, 1.0, 1.0, CORE),
        ("agent", "leases at rest, link", Agents, f::LINK_REST, Growth, 1.0, 1.0, "KB/s"),
        ("agent", "changes", Agents, f::HOLLOW_CHANGE, Growth, 1.0, changes, CORE),
        ("agent", "changes, link", Agents, f::LINK_CHANGE, Growth, 1.0, changes, "KB/s"),
        ("agent", "a subscription's memory", Agents, f::HOLLOW_MEMORY, Growth, 1.0, 1.0, "MB"),
        ("agent", "whole, at rest", Backends, f::AGENT_REST, At, BACKENDS, 1.0, CORE),
        ("agent", "whole, changes", Backends, f::AGENT_CHANGE, At, BACKENDS, changes, CORE),
        ("agent", "whole, memory, all back ends", Backends, f::AGENT_MEMORY, At, BACKENDS, 1.0, "MB"),
        ("agent", "whole, memory, 1 service of 11", Backends, f::AGENT_MEMORY, At, BACKENDS / 11.0, 1.0, "MB"),
        ("agent", "whole, memory, 10 services of 40", Backends, f::AGENT_MEMORY, At, BACKENDS / 4.0, 1.0, "MB"),
        ("agent", "router, a change, 1 service of 40", Routers, f::ROUTER_UPDATE, At, BACKENDS / 40.0, 1.0, "ms"),
        ("agent", "router, a change, 1 service of 11", Routers, f::ROUTER_UPDATE, At, BACKENDS / 11.0, 1.0, "ms"),
        ("agent", "records that change", Membership, f::AGENT_BUSY, Growth, records, 1.0, CORE),
        ("agent", "records that change, link", Membership, f::LINK_BUSY, Growth, records, 1.0, "KB/s"),
        ("agent", "new: whole state", Backends, f::SNAPSHOT, At, BACKENDS, 1.0, "KB"),
        ("agent", "new: time until current", Backends, f::NEW_AGENT, At, BACKENDS, 1.0, "ms"),
    ]
}

#[rustfmt::skip] // one row a line
fn relay_rows() -> Vec<Row> {
    let changes = changes_per_second();
    vec![
        ("relay", "at rest", Agents, f::RELAY_REST, At, RELAY_AGENTS, 1.0, CORE),
        ("relay", "at rest, agents' links", Agents, f::LINK_REST, At, RELAY_AGENTS, 1.0, "KB/s"),
        ("relay", "changes", Agents, f::RELAY_CHANGE, At, RELAY_AGENTS, changes, CORE),
        ("relay", "changes, agents' links", Agents, f::LINK_CHANGE, At, RELAY_AGENTS, changes, "KB/s"),
        ("relay", "memory, agents", Agents, f::RELAY_MEMORY, At, RELAY_AGENTS, 1.0, "MB"),
        ("relay", "memory, back ends", Backends, f::RELAY_MEMORY, At, BACKENDS, 1.0, "MB"),
        ("relay", "a change, all back ends", Backends, f::RELAY_CHANGE, At, BACKENDS, 1.0, "ms"),
    ]
}

#[rustfmt::skip] // one row a line
fn control_rows() -> Vec<Row> {
    let changes = changes_per_second();
    let records = records_per_second();
    vec![
        ("control", "at rest, agents", Agents, f::LEADER_REST, At, AGENTS, 1.0, CORE),
        ("control", "changes, agents", Agents, f::LEADER_CHANGE, At, AGENTS, changes, CORE),
        ("control", "a change, agents", Agents, f::LEADER_CHANGE, At, AGENTS, 1.0, "ms"),
        ("control", "at rest, agents behind 13 relays", Whole, f::LEADER_REST, At, AGENTS, 1.0, CORE),
        ("control", "changes, agents behind 13 relays", Whole, f::LEADER_CHANGE, At, AGENTS, changes, CORE),
        ("control", "a change, links to 13 relays", Whole, f::CONTROL_LINK_CHANGE, At, AGENTS, 1.0, "KB"),
        ("control", "a change, link to one relay", Agents, f::CONTROL_LINK_CHANGE, At, RELAY_AGENTS, 1.0, "KB"),
        ("control", "at rest, relays", Relays, f::LEADER_REST, At, RELAYS, 1.0, CORE),
        ("control", "a change, relays", Relays, f::LEADER_CHANGE, At, RELAYS, 1.0, "ms"),
        ("control", "reading the platform's list", Backends, f::POLL, At, BACKENDS, READINGS_PER_SECOND, CORE),
        ("control", "changes, back ends", Backends, f::LEADER_CHANGE, At, BACKENDS, changes, CORE),
        ("control", "a change, back ends", Backends, f::LEADER_CHANGE, At, BACKENDS, 1.0, "ms"),
        ("control", "memory, back ends", Backends, f::CONTROL_MEMORY, At, BACKENDS, 1.0, "MB"),
        ("control", "changes, 200 agents", Changes, f::LEADER_BUSY, Growth, changes, 1.0, CORE),
        ("control", "changes, log", Changes, f::LOG, Growth, changes, 1.0, "KB/s"),
        ("control", "changes, syncs", Changes, f::SYNCS, Growth, changes, 1.0, "syncs/s"),
        ("control", "records that change, 2,000 back ends", Membership, f::LEADER_BUSY, Growth, records, 1.0, CORE),
    ]
}

#[rustfmt::skip] // one row a line
fn ledger_rows() -> Vec<Row> {
    vec![
        ("ledger", "1,000 requests/s, leader", Claims, f::LEADER_BUSY, Growth, 1_000.0, 1.0, CORE),
        ("ledger", "1,000 requests/s, all replicas", Claims, f::REPLICAS_BUSY, Growth, 1_000.0, 1.0, CORE),
        ("ledger", "1,000 requests/s, relays", Claims, f::RELAY_BUSY, Growth, 1_000.0, 1.0, CORE),
        ("ledger", "1,000 requests/s, syncs", Claims, f::SYNCS, At, 1_000.0, 1.0, "syncs/s"),
        ("ledger", "1,000 requests/s, log", Claims, f::LOG, Growth, 1_000.0, 1.0, "KB/s"),
        ("ledger", "1,000,000 keys, memory", Claims, f::LEDGER_MEMORY, Growth, 1e6, 1.0, "MB"),
    ]
}

#[rustfmt::skip] // one row a line
fn event_rows() -> Vec<Row> {
    let hour = changes_per_second() * 3_600.0;
    vec![
        ("events", "a rack of 40 servers, until known", Events, f::EVENT_TIME, At, RACK, 1.0, "ms"),
        ("events", "a rack, to one agent", Events, f::EVENT_BYTES, At, RACK, 1.0, "KB"),
        ("events", "a zone's servers, until known", Events, f::EVENT_TIME, At, ZONE_SERVERS, 1.0, "ms"),
        ("events", "a zone's servers, to one agent", Events, f::EVENT_BYTES, At, ZONE_SERVERS, 1.0, "KB"),
        ("events", "a zone's servers, relay", Events, f::EVENT_RELAY, At, ZONE_SERVERS, 1.0, "ms"),
        ("events", "a zone's agents start at one relay", Starts, f::EVENT_TIME, At, ZONE_AGENTS, 1.0, "ms"),
        ("events", "a zone's agents start, relay", Starts, f::EVENT_RELAY, At, ZONE_AGENTS, 1.0, "ms"),
        ("events", "a relay dies, until all have moved", Moves, f::EVENT_TIME, At, RELAY_AGENTS, 1.0, "ms"),
        ("events", "a relay dies, the other relay", Moves, f::EVENT_RELAY, At, RELAY_AGENTS, 1.0, "ms"),
        ("events", "an hour's changes missed, to one agent", Healing, f::EVENT_BYTES, At, hour, 1.0, "KB"),
        ("events", "an hour's changes missed, until current", Healing, f::EVENT_TIME, At, hour, 1.0, "ms"),
        ("all", "in force everywhere, 13 relays, no latencies", Whole, f::IN_FORCE, At, AGENTS, 1.0, "ms"),
        ("all", "the operator is told, 13 relays, no latencies", Whole, f::TOLD, At, AGENTS, 1.0, "ms"),
        ("all", "in force everywhere", Latency, f::IN_FORCE, At, AGENTS, 1.0, "ms"),
        ("all", "in force everywhere, longest", Latency, f::IN_FORCE_LONGEST, At, AGENTS, 1.0, "ms"),
        ("all", "the operator is told", Latency, f::TOLD, At, AGENTS, 1.0, "ms"),
    ]
}
