//! Rules of the algorithm that tests can break, to show that the simulator's checkers detect it.

/// A rule to break on purpose. Public only with the feature `broken-variants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Votes are sent before they are synced.
    VoteWithoutSync,
    /// A leader commits an entry of an older term as soon as a quorum has it.
    CommitOlderTermByCount,
    /// A learner's acknowledgement counts as a voter's.
    LearnerCountsAsVoter,
}

/// The rule that is broken, if any. Without the feature `broken-variants`, no rule can be broken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rules {
    #[cfg(feature = "broken-variants")]
    broken: Option<BrokenVariant>,
}

#[cfg(feature = "broken-variants")]
impl Rules {
    pub(crate) fn with_broken(variant: BrokenVariant) -> Self {
        Self {
            broken: Some(variant),
        }
    }

    pub(crate) fn is_broken(self, variant: BrokenVariant) -> bool {
        self.broken == Some(variant)
    }
}

#[cfg(not(feature = "broken-variants"))]
impl Rules {
    pub(crate) fn is_broken(self, _variant: BrokenVariant) -> bool {
        false
    }
}
