//! The figures that are measured, by name, so that the tables of the target find their slopes.

/// What is measured, and its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figure {
    /// What is measured.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
}

const fn figure(what: &'static str, unit: &'static str) -> Figure {
    Figure { what, unit }
}

const CORE: &str = "thousandths of a core";

/// Processor time of one relay at rest.
pub const RELAY_REST: Figure = figure("relay, processor at rest", CORE);
/// Processor time of the leading control replica at rest.
pub const LEADER_REST: Figure = figure("control leader, processor at rest", CORE);
/// Processor time of all hollow agents at rest.
pub const HOLLOW_REST: Figure = figure("hollow agents, processor at rest", CORE);
/// Processor time of one whole agent without callers.
pub const AGENT_REST: Figure = figure("whole agent, processor at rest", CORE);
/// Resident memory of one relay.
pub const RELAY_MEMORY: Figure = figure("relay, memory", "MB");
/// Resident memory of the largest control replica.
pub const CONTROL_MEMORY: Figure = figure("control replica, memory", "MB");
/// Resident memory of the process with all hollow agents.
pub const HOLLOW_MEMORY: Figure = figure("hollow agents, memory", "MB");
/// Resident memory of one whole agent without callers.
pub const AGENT_MEMORY: Figure = figure("whole agent, memory", "MB");
/// Bytes on all agents' links at rest.
pub const LINK_REST: Figure = figure("agents' links at rest, both ways", "KB/s");
/// Bytes on the relays' links to control at rest.
pub const CONTROL_LINK_REST: Figure = figure("relays' links to control at rest", "KB/s");
/// Processor time of one relay for a configuration change.
pub const RELAY_CHANGE: Figure = figure("relay, processor for a change", "ms");
/// Processor time of the leading control replica for a configuration change.
pub const LEADER_CHANGE: Figure = figure("control leader, processor for a change", "ms");
/// Processor time of all hollow agents for a configuration change.
pub const HOLLOW_CHANGE: Figure = figure("hollow agents, processor for a change", "ms");
/// Processor time of one whole agent for a configuration change.
pub const AGENT_CHANGE: Figure = figure("whole agent, processor for a change", "ms");
/// Bytes on all agents' links for a configuration change.
pub const LINK_CHANGE: Figure = figure("agents' links for a change, both ways", "KB");
/// Bytes on the relays' links to control for a configuration change.
pub const CONTROL_LINK_CHANGE: Figure = figure("relays' links to control for a change", "KB");
/// Time from a change's acceptance until the last agent has it in force.
pub const IN_FORCE: Figure = figure("acceptance until the last agent has it, median", "ms");
/// The longest of several such times.
pub const IN_FORCE_LONGEST: Figure =
    figure("acceptance until the last agent has it, longest", "ms");
/// Time from a change's acceptance until an operator is told that it is in force everywhere.
pub const TOLD: Figure = figure("acceptance until the operator is told, median", "ms");
/// Processor time of the leading control replica for reading the platform's list once.
pub const POLL: Figure = figure(
    "control leader, processor for one reading of the list",
    "ms",
);
/// Bytes of the whole state for a new agent.
pub const SNAPSHOT: Figure = figure("whole state for a new agent of all services", "KB");
/// Time until a new agent is current.
pub const NEW_AGENT: Figure = figure("time until a new agent is current", "ms");
/// Processor time of one relay under load.
pub const RELAY_BUSY: Figure = figure("relay, processor", CORE);
/// Processor time of the leading control replica under load.
pub const LEADER_BUSY: Figure = figure("control leader, processor", CORE);
/// Processor time of all control replicas together under load.
pub const REPLICAS_BUSY: Figure = figure("all control replicas, processor", CORE);
/// Processor time of one whole agent under load.
pub const AGENT_BUSY: Figure = figure("whole agent, processor", CORE);
/// Bytes to and from one agent under load.
pub const LINK_BUSY: Figure = figure("one agent's link, both ways", "KB/s");
/// Bytes on the relays' links to control under load.
pub const CONTROL_LINK_BUSY: Figure = figure("relays' links to control", "KB/s");
/// Syncs of the leader's log.
pub const SYNCS: Figure = figure("control leader, log syncs", "syncs/s");
/// Growth of the leader's log.
pub const LOG: Figure = figure("control leader, log growth", "KB/s");
/// Median time of a claim.
pub const CLAIM_MEDIAN: Figure = figure("a claim through relay and ledger, median", "ms");
/// 99th percentile of the time of a claim.
pub const CLAIM_P99: Figure = figure("a claim through relay and ledger, p99", "ms");
/// Resident memory of the largest control replica, over the keys that its ledger holds.
pub const LEDGER_MEMORY: Figure = figure("control replica, memory with the ledger's keys", "MB");
/// Time until all agents know what happened at once.
pub const EVENT_TIME: Figure = figure("until every agent knows", "ms");
/// Bytes to one agent of what happened at once.
pub const EVENT_BYTES: Figure = figure("bytes to one agent", "KB");
/// Processor time of one relay for it.
pub const EVENT_RELAY: Figure = figure("relay, processor for it", "ms");
/// Processor time of the leading control replica for it.
pub const EVENT_LEADER: Figure = figure("control leader, processor for it", "ms");
/// Resident memory of the relay after it.
pub const EVENT_RELAY_MEMORY: Figure = figure("relay, memory after it", "MB");
/// Agents that were without a lease for a moment.
pub const WITHOUT_LEASE: Figure = figure("agents without a lease for a moment", "agents");
/// Time of one service's router to follow a change.
pub const ROUTER_UPDATE: Figure = figure("one router, one update", "ms");
