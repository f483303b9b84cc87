//! The messages exchanged between processes of each pair of roles.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{
    AgentId, BackendId, BackendRecord, CrashReport, EvacuatedZones, LedgerReply, LedgerRequest,
    ListingChange, ListingNumber, Observation, Placement, RelayId, RouteDocument, RoutesChange,
    SchemaSource, ServerListing, ServiceConfiguration, ServiceName, TokenReply, TokenRequest,
    ZoneName,
};
use serde::{Deserialize, Serialize};

/// The role of a process in a connection.
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

/// The first message that each side of a connection sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the internal protocol. A different version is rejected.
    pub protocol_version: u32,
    /// The deployment. A process of another deployment is rejected.
    pub deployment: String,
    /// The sender's role.
    pub role: Role,
    /// The sender's identifier, for error messages and logs.
    pub sender: String,
}

/// An update of the state, limited to the services that the receiver is interested in.
///
/// A receiver applies an update only if `from_revision` is its own revision or `full` is set, and
/// never reverts to a smaller `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Whether this is the complete state, which replaces the state of the receiver.
    pub full: bool,
    /// The revision that the update is based on, or 0 for a full update.
    pub from_revision: u64,
    /// The revision after the update. It grows with every committed change of the configuration or
    /// the membership, and is the index of that change in the log of control.
    pub revision: u64,
    /// The configuration version after the update.
    pub configuration_version: u64,
    /// The schema, if it has changed.
    pub schema: Option<SchemaSource>,
    /// Services that were added or changed, or `None` for a removed service.
    pub services: BTreeMap<ServiceName, Option<ServiceConfiguration>>,
    /// Back ends that were added or changed, or `None` for a removed back end.
    pub backends: BTreeMap<BackendId, Option<BackendRecord>>,
    /// The number of agents that watch a service, for services for which it has changed. It is rounded
    /// up to a power of two so that it changes rarely. Agents choose the size of their subsets of
    /// servers by it, to stay within the servers' connection limits.
    pub agents_per_service: BTreeMap<ServiceName, u32>,
}

/// The result of checking whether a receiver may apply an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateCheck {
    /// The update advances the receiver's state and can be applied.
    Applies,
    /// The update's revision is not larger than the receiver's. The receiver ignores it.
    Stale,
    /// The update is based on a revision other than the receiver's. The receiver requests a new one.
    Gap,
    /// The update's revision is larger, but its configuration version is smaller. The sender is faulty.
    Reverted,
}

impl StateUpdate {
    /// Checks whether a receiver at the given revision and configuration version may apply this update.
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

/// The status of an agent, as its relay reports it to control.
///
/// The reports of different relays are independent. An agent that changes its relay is reported by
/// both for a while; the larger version is the correct one, since an agent never reverts to an older
/// version. A relay reports an agent again when the agent's lease expires. Until then, control counts
/// the agent as a lease holder, as long as the connection of the relay lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The configuration version in force at the agent.
    pub configuration_version: u64,
    /// The placement of the agent.
    pub placement: Placement,
    /// The services that the agent calls. An empty set means all services.
    pub interest: BTreeSet<ServiceName>,
    /// Time since the agent was last granted a lease, in milliseconds. Once it exceeds the duration of
    /// the lease, the agent no longer holds a lease.
    pub lease_age_ms: u64,
}

/// A proof that the leader was current at some time within the last `age_ms` milliseconds.
///
/// The receiver subtracts the age from the time at which it sent the answered request, on its own
/// monotonic clock, so that the clocks of two machines are never compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The nonce of the request.
    pub nonce: u64,
    /// Time between the proof and the sending of this reply, in milliseconds.
    pub age_ms: u64,
    /// Duration of the lease, counted from the proof, in milliseconds.
    pub duration_ms: u64,
    /// The revision in force when the proof was made. The lease is valid only for a receiver that has
    /// applied this revision.
    pub revision: u64,
    /// The configuration version in force when the proof was made.
    pub configuration_version: u64,
}

/// Messages from an agent to its relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToRelay {
    /// Requests updates. Sent first, and again when the interest changes or an update is missing.
    Watch {
        /// The agent.
        agent: AgentId,
        /// The placement of the agent.
        placement: Placement,
        /// The services that the agent calls. An empty set means all services.
        interest: BTreeSet<ServiceName>,
        /// The revision that the sender has, or 0 for none.
        revision: u64,
    },
    /// Confirms that the agent has put a revision in force.
    Acknowledge {
        /// The revision.
        revision: u64,
        /// The configuration version.
        configuration_version: u64,
    },
    /// Requests a lease.
    RequestLease {
        /// The nonce that the grant repeats.
        nonce: u64,
    },
    /// The agent's observations of back ends since its last report.
    Observe(Vec<Observation>),
    /// A call to the ledger. The reply is a [`RelayToAgent::Ledger`] with the same number.
    Ledger {
        /// The number of the call, unique on this connection.
        call: u64,
        /// The request.
        request: LedgerRequest,
    },
    /// The agent is stopping. Nothing waits for its acknowledgements any longer.
    Leave,
}

/// Messages from a relay to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayToAgent {
    /// An update of the state.
    Update(StateUpdate),
    /// Grants a lease.
    Lease(LeaseGrant),
    /// The reply to a ledger call.
    Ledger {
        /// The number of the call.
        call: u64,
        /// The reply.
        reply: LedgerReply,
    },
    /// Reports by other agents that back ends are draining, forwarded before control has committed them.
    Hint(Vec<Observation>),
    /// The relay is stopping. The agent should connect to another relay.
    GoAway,
}

/// Messages from a relay to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayToControl {
    /// Requests updates for all services.
    Watch {
        /// The relay.
        relay: RelayId,
        /// The revision that the sender has, or 0 for none.
        revision: u64,
    },
    /// Requests a proof that the leader is current.
    RequestLease {
        /// The nonce that the grant repeats.
        nonce: u64,
    },
    /// The agents connected to this relay. Sent completely once per connection, then only the changes.
    /// `None` means that the agent has left.
    Agents(BTreeMap<AgentId, Option<AgentStatus>>),
    /// The agents' observations of back ends.
    Observe {
        /// Each observation with the agent that made it.
        observations: Vec<(AgentId, Observation)>,
    },
    /// A batch of numbered ledger calls. The reply to each call has the same number.
    Ledger(Vec<(u64, LedgerRequest)>),
}

/// Messages from a control replica to a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlToRelay {
    /// An update of the state.
    Update(StateUpdate),
    /// A proof that the leader is current.
    Lease(LeaseGrant),
    /// Replies to ledger calls, each with the number of its call.
    Ledger(Vec<(u64, LedgerReply)>),
    /// This replica is not the leader. The relay should connect to the given leader or to another replica.
    NotLeader {
        /// The leader's address for internal connections, if known.
        leader: Option<std::net::SocketAddr>,
    },
    /// The replica is stopping. The relay should connect to another replica.
    GoAway,
}

/// A consensus message between control replicas, belonging to one consensus group and encoded by control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The consensus group.
    pub group: u32,
    /// The encoded message, sent as one byte string.
    pub payload: bytes::Bytes,
}

/// Messages from a gateway to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayToControl {
    /// The gateway's status. Sent first and at each change.
    Status(GatewayStatus),
    /// A keep-alive with the gateway's load, sent between two statuses.
    Alive(GatewayLoad),
    /// Requests routes that are newer than this version.
    FetchRoutes(u64),
    /// Requests the changes from this listing to the replica's current listing.
    FetchListing(ListingNumber),
    /// Whether the replica is to send this gateway the members of the deployment. It does not until it receives `true`.
    Prefer(bool),
    /// Reports of requests during which servers crashed, for all other gateways. Known reports are sent at the start of
    /// each connection, and new ones immediately.
    Crashes(Vec<CrashReport>),
    /// Requests tokens from the quotas of tenants. Each request is answered by a [`TokenReply`] with the same number.
    TakeTokens(Vec<TokenRequest>),
}

/// The status of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The address at which callers reach the gateway.
    pub address: std::net::SocketAddr,
    /// The placement of the gateway.
    pub placement: Placement,
    /// Whether the gateway accepts requests from callers: it has routes and is not stopping.
    pub is_ready: bool,
    /// The version of the routes in force at the gateway, or 0 for none.
    pub routes_version: u64,
    /// The number of the listing that the gateway has.
    pub listing: ListingNumber,
    /// The revision of the evacuated zones in force at the gateway, or 0 for none.
    pub evacuation_revision: u64,
}

/// The load of a gateway over about the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// The fraction of time in which the gateway was busy, in thousandths.
    pub busy_permille: u16,
    /// Number of attempts started at servers. A query over several shards counts once for each shard.
    pub attempts: u32,
}

/// Messages from a control replica to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlToGateway {
    /// The placement of the replica. Sent first.
    Placement(Placement),
    /// The versions that the replica has. Sent at the start and at each change. The gateway fetches what it lacks.
    Versions(StateVersions),
    /// Committed routes.
    Routes(std::sync::Arc<RouteDocument>),
    /// A listing of the platform's servers.
    Listing(std::sync::Arc<ServerListing>),
    /// The changes of a listing since the one that the gateway has.
    ListingChange(ListingChange),
    /// The members of the deployment.
    Members(DeploymentMembers),
    /// The zones whose servers must get no new requests. Sent before any routes, so that a starting gateway does not
    /// serve requests before it knows these zones.
    Evacuation(EvacuatedZones),
    /// Reports of requests during which servers crashed, received from gateways.
    Crashes(Vec<CrashReport>),
    /// A keep-alive.
    Alive,
    /// Replies to [`GatewayToControl::TakeTokens`].
    Tokens(Vec<TokenReply>),
    /// The changes of the committed routes since the version that the gateway has.
    RoutesChange(RoutesChange),
}

/// The versions of the data that a control replica provides to gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateVersions {
    /// The version of the routes, or 0 for none.
    pub routes: u64,
    /// The number of the listing.
    pub listing: ListingNumber,
}

/// The members of the deployment, as known to one control replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentMembers {
    /// Internal addresses of the control replicas.
    pub controls: BTreeSet<std::net::SocketAddr>,
    /// Number of gateways in each zone that are advertised to callers or still accept requests. The capacity of the
    /// servers is divided among these gateways.
    pub gateways: BTreeMap<ZoneName, u32>,
    /// Whether the receiving gateway is one of these gateways. Other gateways get no share of the capacity.
    pub is_sharer: bool,
}
