//! What the simulated processes send each other.

use sablehaven_consensus::{MembershipChange, Message, ReplicaId, Status};
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, LedgerKey, LedgerReply, LedgerRequest, Outcome,
};
use sablehaven_wire::{LeaseGrant, StateUpdate};

/// A message on a link.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Between control replicas.
    Peer {
        /// The sending replica.
        from: ReplicaId,
        /// The replica that is meant; another one at the same place ignores it.
        to: ReplicaId,
        /// The consensus group.
        group: u32,
        /// The message.
        message: Message,
    },
    /// To a control replica.
    ToControl {
        /// Echoed in the reply.
        call: u64,
        /// The request.
        request: ControlRequest,
    },
    /// From a control replica.
    FromControl {
        /// The call that is answered.
        call: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// From an agent to a relay.
    ToRelay {
        /// Echoed in the reply.
        call: u64,
        /// The request.
        request: RelayRequest,
    },
    /// From a relay to an agent.
    FromRelay {
        /// The call that is answered.
        call: u64,
        /// The reply.
        reply: RelayReply,
    },
    /// From a caller to an agent.
    Call(CallSend),
    /// From an agent to a caller.
    CallAnswer {
        /// The request.
        key: LedgerKey,
        /// The sending that is answered.
        send: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// From an agent to a back end.
    Dispatch {
        /// Echoed in the reply.
        attempt: u64,
        /// The request, recorded by the back end.
        call: CallSend,
    },
    /// From a back end to an agent.
    DispatchReply {
        /// The attempt that is answered.
        attempt: u64,
        /// Whether it ran; otherwise the back end refused before it started.
        has_run: bool,
    },
}

/// One sending of a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSend {
    /// The request.
    pub key: LedgerKey,
    /// Counts the sendings of this request from 1.
    pub send: u64,
}

/// A request to a control replica.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// Asks for what changed since a revision.
    Watch {
        /// The sender's revision.
        revision: u64,
    },
    /// Asks for a proof that the leader is current.
    Lease,
    /// A request to the ledger.
    Ledger {
        /// The ledger's group.
        group: u32,
        /// The request.
        request: LedgerRequest,
    },
    /// An operator's change of the configuration.
    Apply(ApplyCommand),
    /// An operator's linearizable read of the configuration.
    Read,
    /// Asks for the state of the replica of a group.
    Status {
        /// The group.
        group: u32,
    },
    /// A change of a group's members.
    Change {
        /// The group.
        group: u32,
        /// The change.
        change: MembershipChange,
    },
    /// Hands a group's leadership over.
    Transfer {
        /// The group.
        group: u32,
        /// The next leader.
        to: ReplicaId,
    },
}

/// A control replica's reply.
#[derive(Clone, Debug)]
pub enum ControlReply {
    /// What changed.
    Update(StateUpdate),
    /// A proof.
    Lease(LeaseGrant),
    /// The ledger's answer.
    Ledger(LedgerReply),
    /// What became of an operator's change.
    Applied(ApplyOutcome),
    /// The version of the configuration.
    Version(u64),
    /// The state of the replica.
    Status(Box<Status>),
    /// The replica does not lead the group.
    NotLeader {
        /// The leader, where known.
        leader: Option<ReplicaId>,
    },
}

/// A request to a relay.
#[derive(Clone, Debug)]
pub enum RelayRequest {
    /// Asks for the state, if it is newer.
    Watch {
        /// The agent's revision.
        revision: u64,
    },
    /// Asks for a lease.
    Lease,
    /// A request to the ledger.
    Ledger(LedgerRequest),
}

/// A relay's reply.
#[derive(Clone, Debug)]
pub enum RelayReply {
    /// The whole state.
    Update(StateUpdate),
    /// A lease.
    Lease(LeaseGrant),
    /// The ledger's answer.
    Ledger(LedgerReply),
}
