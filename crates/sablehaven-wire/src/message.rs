//! The messages of each link.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{
    AgentId, BackendId, BackendRecord, CrashReport, EvacuatedZones, LedgerReply, LedgerRequest,
    ListingChange, ListingNumber, Observation, Placement, RelayId, RouteDocument, RoutesChange,
    SchemaSource, ServerListing, ServiceConfiguration, ServiceName, TokenReply, TokenRequest,
    ZoneName,
};
use serde::{Deserialize, Serialize};

/// The role of a process on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A control replica.
    Control,
    /// A relay.
    Relay,
    /// An agent.
    Agent,
    /// A gateway.
    Gateway,
}

/// The first message in each direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the internal protocol; an unknown one is refused.
    pub protocol_version: u32,
    /// The deployment; a process of another one is refused.
    pub deployment: String,
    /// The sender's role.
    pub role: Role,
    /// The sender's identifier, for errors and logs.
    pub sender: String,
}

/// New state, only of the services that the receiver is interested in.
///
/// A receiver applies an update only if `from_revision` is its own revision or `full` is set, and
/// never goes back to a smaller `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Whether this is the whole state, which replaces what the receiver has.
    pub full: bool,
    /// The revision that the update starts from (0 for a full one).
    pub from_revision: u64,
    /// The revision after the update. Grows with every committed change of configuration or
    /// membership; it is the index in control's log.
    pub revision: u64,
    /// The version of the configuration after the update.
    pub configuration_version: u64,
    /// The schema, where it changed.
    pub schema: Option<SchemaSource>,
    /// Services that were added or changed; `None` means removed.
    pub services: BTreeMap<ServiceName, Option<ServiceConfiguration>>,
    /// Back ends that were added or changed; `None` means removed.
    pub backends: BTreeMap<BackendId, Option<BackendRecord>>,
    /// For services whose number changed: how many agents watch the service, rounded up to a power
    /// of two so that it changes seldom. Sizes the subsets within the servers' connection limits.
    pub agents_per_service: BTreeMap<ServiceName, u32>,
}

/// Whether a receiver may apply an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateCheck {
    /// It leads forward from the receiver's state.
    Applies,
    /// Its revision is not larger than the receiver's; to be ignored.
    Stale,
    /// It starts from another revision than the receiver's; to be asked for again.
    Gap,
    /// Its revision is larger, but its configuration version is smaller: the sender is faulty.
    Reverted,
}

impl StateUpdate {
    /// Whether a receiver at the given revision and configuration version may apply this update.
    pub fn check(&self, revision: u64, configuration_version: u64) -> UpdateCheck {
        if self.revision <= revision {
            return UpdateCheck::Stale;
        }
        if self.configuration_version < configuration_version {
            return UpdateCheck::Reverted;
        }
        if !self.full && self.from_revision != revision {
            return UpdateCheck::Gap;
        }
        UpdateCheck::Applies
    }
}

/// An agent as its relay reports it to control.
///
/// The word of one relay says nothing about another's: an agent that moves is reported by both for
/// a while, and the larger version is right, since an agent only moves forward. A relay reports
/// again when an agent's lease runs out; until then a reported holder stays one, as long as the
/// relay's own connection lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The version of the configuration that it has put in force.
    pub configuration_version: u64,
    /// Where it runs.
    pub placement: Placement,
    /// The services it calls; empty means all.
    pub interest: BTreeSet<ServiceName>,
    /// Time since the agent was last granted a lease, in milliseconds; when it passes the lease's
    /// duration the agent holds none.
    pub lease_age_ms: u64,
}

/// Proof that the leader was current at a moment not longer ago than `age_ms`.
///
/// The receiver counts the age back from the moment at which it sent the request that this answers,
/// on its own monotonic clock, so that no two clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Echoes the request.
    pub nonce: u64,
    /// Time between the proof and the sending of this reply, in milliseconds.
    pub age_ms: u64,
    /// The lease lasts this long from the proof, in milliseconds.
    pub duration_ms: u64,
    /// The revision that was in force at the proof; a lease holds only for a receiver that has
    /// applied it.
    pub revision: u64,
    /// The version of the configuration that was in force at the proof.
    pub configuration_version: u64,
}

/// From an agent to its relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToRelay {
    /// Asks for updates; sent first, and again when the interest changes.
    Watch {
        /// The agent.
        agent: AgentId,
        /// Where it runs.
        placement: Placement,
        /// The services it calls; empty means all.
        interest: BTreeSet<ServiceName>,
        /// The revision it has (0 for none).
        revision: u64,
    },
    /// The agent has put a revision in force.
    Acknowledge {
        /// The revision.
        revision: u64,
        /// The version of the configuration.
        configuration_version: u64,
    },
    /// Asks for a lease.
    RequestLease {
        /// Echoed in the grant.
        nonce: u64,
    },
    /// What the agent saw of back ends since its last report.
    Observe(Vec<Observation>),
    /// A call to the ledger, answered by [`RelayToAgent::Ledger`] with the same number.
    Ledger {
        /// Unique on this connection.
        call: u64,
        /// The request.
        request: LedgerRequest,
    },
    /// The agent stops: it is no longer waited for.
    Leave,
}

/// From a relay to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayToAgent {
    /// New state.
    Update(StateUpdate),
    /// A lease.
    Lease(LeaseGrant),
    /// The answer to a ledger call.
    Ledger {
        /// The call.
        call: u64,
        /// The reply.
        reply: LedgerReply,
    },
    /// Another agent's word that a back end drains, passed on before control has committed it.
    Hint(Vec<Observation>),
    /// The relay stops: connect to another one.
    GoAway,
}

/// From a relay to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayToControl {
    /// Asks for updates of all services.
    Watch {
        /// The relay.
        relay: RelayId,
        /// The revision it has (0 for none).
        revision: u64,
    },
    /// Asks for a proof that the leader is current.
    RequestLease {
        /// Echoed in the grant.
        nonce: u64,
    },
    /// The agents behind this relay; sent in full once a connection, then changes only. `None` means
    /// that the agent left.
    Agents(BTreeMap<AgentId, Option<AgentStatus>>),
    /// What agents saw of back ends.
    Observe {
        /// Each agent with what it saw.
        observations: Vec<(AgentId, Observation)>,
    },
    /// A batch of ledger calls, each answered with the same number.
    Ledger(Vec<(u64, LedgerRequest)>),
}

/// From a control replica to a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlToRelay {
    /// New state.
    Update(StateUpdate),
    /// A proof.
    Lease(LeaseGrant),
    /// Answers to ledger calls.
    Ledger(Vec<(u64, LedgerReply)>),
    /// This replica does not lead; try the named address, or another replica.
    NotLeader {
        /// The leader's address for internal connections, where known.
        leader: Option<std::net::SocketAddr>,
    },
    /// The replica stops: connect to another one.
    GoAway,
}

/// Between control replicas: one consensus message of one group, encoded by control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The consensus group.
    pub group: u32,
    /// The encoded message, as one byte string on the wire.
    pub payload: bytes::Bytes,
}

/// From a gateway to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayToControl {
    /// Where the gateway stands; sent first and at each change.
    Status(GatewayStatus),
    /// A sign of life between two statuses.
    Alive(GatewayLoad),
    /// Asks for routes that are newer than this version.
    FetchRoutes(u64),
    /// Asks for what leads from this reading of the platform's list to the replica's.
    FetchListing(ListingNumber),
    /// Whether the replica is the one that tells this gateway who takes part; none is before it is said.
    Prefer(bool),
    /// Requests under which servers ended, for all other gateways. What is known goes out at the start of each
    /// connection, what is new at once.
    Crashes(Vec<CrashReport>),
    /// Asks for tokens of tenants' quotas, each answered by a [`TokenReply`] with the same number.
    TakeTokens(Vec<TokenRequest>),
}

/// Where a gateway stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Where callers reach it.
    pub address: std::net::SocketAddr,
    /// Where it runs.
    pub placement: Placement,
    /// Whether it takes callers' requests: it has routes and is not stopping.
    pub is_ready: bool,
    /// The version of the routes that it has put in force; 0 for none.
    pub routes_version: u64,
    /// The reading of the platform's list that it has.
    pub listing: ListingNumber,
    /// The revision of the evacuated zones that it obeys; 0 for none.
    pub evacuation_revision: u64,
}

/// How much a gateway has had to do over the last second or so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Part of the time in which it was working, in thousandths.
    pub busy_permille: u16,
    /// Attempts at servers that it has begun: a query over many shards counts once for each.
    pub attempts: u32,
}

/// From a control replica to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlToGateway {
    /// Where the replica runs; sent first.
    Placement(Placement),
    /// What the replica has. Sent at the start and at each change; the gateway fetches what it lacks.
    Versions(StateVersions),
    /// Committed routes.
    Routes(std::sync::Arc<RouteDocument>),
    /// A reading of the platform's list.
    Listing(std::sync::Arc<ServerListing>),
    /// What a reading of the platform's list says otherwise than the one that the gateway has.
    ListingChange(ListingChange),
    /// Who takes part.
    Members(DeploymentMembers),
    /// Zones whose servers are to get nothing new. Sent before any routes, so that a gateway that starts
    /// does not serve without knowing them.
    Evacuation(EvacuatedZones),
    /// Requests under which servers ended, as gateways have reported them.
    Crashes(Vec<CrashReport>),
    /// A sign of life.
    Alive,
    /// Answers to [`GatewayToControl::TakeTokens`].
    Tokens(Vec<TokenReply>),
    /// What committed routes say otherwise than the version that the gateway has.
    RoutesChange(RoutesChange),
}

/// The versions of what a control replica has for gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateVersions {
    /// The version of its routes; 0 for none.
    pub routes: u64,
    /// Its reading of the platform's list.
    pub listing: ListingNumber,
}

/// Who takes part in the deployment, as one control replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentMembers {
    /// Internal addresses of the control replicas.
    pub controls: BTreeSet<std::net::SocketAddr>,
    /// Gateways by zone that callers are told of or that still take requests: those that share what
    /// servers bear.
    pub gateways: BTreeMap<ZoneName, u32>,
    /// Whether the gateway that is told this is one of them. Others have no part of what is shared.
    pub is_sharer: bool,
}
