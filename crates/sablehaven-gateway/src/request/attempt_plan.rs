//! Decides which failed parts of a query get an extra attempt. The decision is a pure function.
//!
//! It is made for the case that many servers lose responses while traffic is high, so that the retry budget does not
//! cover an extra attempt for each lost response. If every part took from the budget on its own, each query would get
//! some attempts and none would get enough. Therefore a query decides for all of its parts together: it takes all the
//! attempts that it still needs to be answered, or none.

use crate::servers::budget::BudgetLevel;

/// Share of a budget that optional and speculative attempts leave to required ones. The query is answered without
/// them: they only add coverage or reduce latency. While nothing fails, they can still use most of the budget.
const REQUIRED_RESERVE: f64 = 0.25;

/// Purpose of an extra attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPurpose {
    /// The query cannot be answered without it.
    Required,
    /// The query can be answered without it, but with fewer shards.
    Optional,
    /// Another attempt of the same part is still running; this one may return sooner.
    Speculative,
}

impl AttemptPurpose {
    /// Share of the budget that an attempt with this purpose leaves to required attempts.
    pub(super) fn reserve(self) -> f64 {
        match self {
            Self::Required => 0.0,
            Self::Optional | Self::Speculative => REQUIRED_RESERVE,
        }
    }
}

/// Progress of the parts of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryParts {
    /// Number of shards in the query.
    pub(super) shards: usize,
    /// Minimum number of shards for a response.
    pub(super) min_shards: usize,
    /// Parts with a reply.
    pub(super) arrived: usize,
    /// Parts that were given up.
    pub(super) lost: usize,
    /// Parts whose attempts have all failed and that may get another one.
    pub(super) failed: usize,
}

impl QueryParts {
    /// Number of failed parts that must still succeed for the query to be answered.
    pub(super) fn needed(&self) -> usize {
        let tolerated_failures = self.shards.saturating_sub(self.min_shards + self.lost);
        self.failed.saturating_sub(tolerated_failures)
    }

    fn has_running_attempts(&self) -> bool {
        self.arrived + self.lost + self.failed < self.shards
    }
}

/// Decision on one failed part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartDecision {
    /// Send another attempt and charge it to the budget.
    Send,
    /// Wait for the outcome of the other parts.
    Wait,
    /// Give up the part.
    GiveUp,
}

/// Decides on all failed parts at once. `levels` holds the budget level of each part's service, in the order of the
/// returned decisions.
///
/// Required attempts are taken from the fullest budgets. If the budgets don't cover all of them, nothing is taken and
/// every part is given up: the query ends now and leaves the budgets to queries that can still be answered.
pub(super) fn decide(parts: &QueryParts, levels: &[BudgetLevel]) -> Vec<PartDecision> {
    let needed = parts.needed();
    let affordable = levels
        .iter()
        .filter(|level| level.allows(AttemptPurpose::Required.reserve()));
    if affordable.count() < needed {
        return vec![PartDecision::GiveUp; levels.len()];
    }
    let default_decision = if parts.has_running_attempts() || needed > 0 {
        PartDecision::Wait
    } else {
        PartDecision::GiveUp
    };
    let mut decisions = vec![default_decision; levels.len()];
    for (rank, position) in fullest_first(levels).into_iter().enumerate() {
        let purpose = if rank < needed {
            AttemptPurpose::Required
        } else {
            AttemptPurpose::Optional
        };
        if levels[position].allows(purpose.reserve()) {
            decisions[position] = PartDecision::Send;
        }
    }
    decisions
}

fn fullest_first(levels: &[BudgetLevel]) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..levels.len()).collect();
    positions.sort_by(|one, other| {
        levels[*other]
            .remaining()
            .total_cmp(&levels[*one].remaining())
    });
    positions
}

#[cfg(test)]
mod replay;
#[cfg(test)]
mod tests;
