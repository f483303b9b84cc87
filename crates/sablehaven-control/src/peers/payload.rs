//! The messages between control replicas, and their encoding.

use sablehaven_consensus::{Message, ReplicaId};
use sablehaven_types::{ListingNumber, ListingUpdate, LoanRequest, TokenLoan};
use sablehaven_wire::PeerMessage;
use serde::{Deserialize, Serialize};

use super::introduction::{Introduction, PeerContext, PeerError};
use crate::{
    codec::{self, CodecError},
    quotas::ProbeNumber,
};

/// The group number of messages that belong to no consensus group: all but [`PeerPayload::Consensus`].
pub(super) const NO_GROUP: u32 = u32::MAX;

/// A message between control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerPayload {
    /// The first message in each direction.
    Introduction(Introduction),
    /// A consensus message of the group in [`PeerMessage::group`].
    Consensus {
        /// The recipient. A replica discards a message for another identity, such as the one that it had before it lost
        /// its disk.
        to: ReplicaId,
        message: Message,
    },
    /// A keepalive, answered with another one. Contains the number of the sender's server listing.
    Alive(ListingNumber),
    /// An update to the leader's server listing.
    Listing(ListingUpdate),
    /// A request for tokens, since the sender has used up its part of a tenant's quota.
    LoanRequest(LoanRequest),
    /// Tokens that move from the sender's part of a tenant's quota to the recipient's.
    TokenLoan(TokenLoan),
    /// A request to renew the lease on the sender's part of the quotas.
    PartProbe(PartProbe),
    /// The answer to [`PeerPayload::PartProbe`].
    PartAnswer(PartAnswer),
}

/// A request to renew the lease on the sender's part of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartProbe {
    pub(crate) number: ProbeNumber,
    /// Whether the sender has no lease now.
    pub(crate) is_urgent: bool,
}

/// The answer to a [`PartProbe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PartAnswer {
    /// The sender leads, and has proved this since the probe arrived.
    Granted { number: ProbeNumber },
    /// The sender does not lead and has not heard from a leader for an election timeout.
    Leaderless {
        number: ProbeNumber,
        /// The log index of the membership for which the sender states this.
        membership_index: u64,
    },
}

/// Encodes a payload that belongs to a group.
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

/// Encodes a keepalive.
pub(super) fn keepalive_message(
    context: &PeerContext,
    peer: &str,
) -> Result<PeerMessage, PeerError> {
    let keepalive = PeerPayload::Alive(context.listing.listing_number());
    encode(NO_GROUP, &keepalive, peer)
}

/// Encodes an update of the server listing.
pub(super) fn listing_message(update: ListingUpdate, peer: &str) -> Result<PeerMessage, PeerError> {
    encode(NO_GROUP, &PeerPayload::Listing(update), peer)
}

/// Decodes the payload of a message from `peer`.
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
