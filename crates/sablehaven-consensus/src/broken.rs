//! Rules of the algorithm that a test may switch off, to show that the simulator's checkers find it.

/// A rule that is broken on purpose; only with the feature `broken-variants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Votes leave before they are synced.
    VoteWithoutSync,
    /// A leader commits an older term's entry as soon as a quorum has it.
    CommitOlderTermByCount,
    /// A learner's acknowledgement counts like a voter's.
    LearnerCountsAsVoter,
}

/// Which rule is broken, if any. Without the feature it is empty and nothing can be broken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rules {
    #[cfg(feature = "broken-variants")]
    broken: Option<BrokenVariant>,
}

#[cfg(feature = "broken-variants")]
impl Rules {
    pub(crate) fn breaking(variant: BrokenVariant) -> Self {
        Self {
            broken: Some(variant),
        }
    }

    pub(crate) fn are_broken_by(self, variant: BrokenVariant) -> bool {
        self.broken == Some(variant)
    }
}

#[cfg(not(feature = "broken-variants"))]
impl Rules {
    pub(crate) fn are_broken_by(self, _variant: BrokenVariant) -> bool {
        false
    }
}
