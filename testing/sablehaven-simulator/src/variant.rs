//! Mechanisms that can be switched off, to show that the checkers find it.

use sablehaven_consensus::BrokenVariant;

/// A deliberately broken mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Votes leave before they are synced.
    VoteWithoutSync,
    /// A leader commits an older term's entry as soon as a quorum has it.
    CommitOlderTermByCount,
    /// A learner's acknowledgement counts like a voter's.
    LearnerCountsAsVoter,
    /// The ledger forgets old keys and then grants them as new ones.
    LedgerForgetsWithoutHorizon,
    /// A leader grants leases without asking a quorum whether it still leads.
    LeaseWithoutQuorum,
}

impl Variant {
    /// Every variant with its name on the command line.
    pub const ALL: [(&'static str, Self); 5] = [
        ("vote-without-sync", Self::VoteWithoutSync),
        ("commit-older-term-by-count", Self::CommitOlderTermByCount),
        ("learner-counts-as-voter", Self::LearnerCountsAsVoter),
        (
            "ledger-forgets-without-horizon",
            Self::LedgerForgetsWithoutHorizon,
        ),
        ("lease-without-quorum", Self::LeaseWithoutQuorum),
    ];

    /// The variant with this name.
    pub fn named(name: &str) -> Option<Self> {
        let found = Self::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, variant)| *variant)
    }

    /// The consensus rule that is broken, if it is one of consensus.
    pub fn consensus_rule(self) -> Option<BrokenVariant> {
        match self {
            Self::VoteWithoutSync => Some(BrokenVariant::VoteWithoutSync),
            Self::CommitOlderTermByCount => Some(BrokenVariant::CommitOlderTermByCount),
            Self::LearnerCountsAsVoter => Some(BrokenVariant::LearnerCountsAsVoter),
            Self::LedgerForgetsWithoutHorizon | Self::LeaseWithoutQuorum => None,
        }
    }
}
