//! What control replicas send each other, and how it is encoded.

use sablehaven_consensus::{Message, ReplicaId};
use sablehaven_types::{ListingNumber, ListingUpdate, LoanRequest, TokenLoan};
use sablehaven_wire::PeerMessage;
use serde::{Deserialize, Serialize};

use super::introduction::{Introduction, PeerContext, PeerError};
use crate::{
    codec::{self, CodecError},
    quotas::ProbeNumber,
};

/// Introductions and signs of life belong to no consensus group.
pub(super) const NO_GROUP: u32 = u32::MAX;

/// What replicas send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerPayload {
    /// The first message in each direction.
    Introduction(Introduction),
    /// A consensus message of the group in [`PeerMessage::group`].
    Consensus {
        /// The replica that it is for; another one must not take it as its own.
        to: ReplicaId,
        message: Message,
    },
    /// A sign of life, answered by one; with the sender's reading of the list of servers.
    Alive(ListingNumber),
    /// The leader's reading of the list of servers.
    Listing(ListingUpdate),
    /// The sender's part of a tenant's quota is used up.
    LoanRequest(LoanRequest),
    /// Tokens of the sender's part, for the receiver's.
    TokenLoan(TokenLoan),
    /// The sender asks whether it may keep its part of the quotas.
    PartProbe(PartProbe),
    /// Answers [`PeerPayload::PartProbe`].
    PartAnswer(PartAnswer),
}

/// A replica asks whether it may keep its part of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartProbe {
    pub(crate) number: ProbeNumber,
    /// Whether it holds none now.
    pub(crate) is_urgent: bool,
}

/// An answer to [`PartProbe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PartAnswer {
    /// The sender has proven since the question came that it leads.
    Granted { number: ProbeNumber },
    /// The sender hears no leader.
    Leaderless {
        number: ProbeNumber,
        /// Where the members of which it speaks stand in the log.
        membership_index: u64,
    },
}

/// Encodes a payload for a group.
pub(crate) fn encode(
    group: u32,
    payload: &PeerPayload,
    peer: &str,
) -> Result<PeerMessage, PeerError> {
    let encoded = codec::encode("encode message between replicas", payload);
    let encoded = encoded.map_err(|source| codec_error(peer, source))?;
    Ok(PeerMessage {
        group,
        payload: encoded.into(),
    })
}

/// A sign of life.
pub(super) fn alive(context: &PeerContext, peer: &str) -> Result<PeerMessage, PeerError> {
    let alive = PeerPayload::Alive(context.listing.number());
    encode(NO_GROUP, &alive, peer)
}

/// A reading of the list of servers.
pub(super) fn listing(update: ListingUpdate, peer: &str) -> Result<PeerMessage, PeerError> {
    encode(NO_GROUP, &PeerPayload::Listing(update), peer)
}

pub(crate) fn decode(message: &PeerMessage, peer: &str) -> Result<PeerPayload, PeerError> {
    let decoded = codec::decode("decode message between replicas", &message.payload);
    decoded.map_err(|source| codec_error(peer, source))
}

fn codec_error(peer: &str, source: CodecError) -> PeerError {
    PeerError::Codec {
        peer: peer.to_owned(),
        source,
    }
}
