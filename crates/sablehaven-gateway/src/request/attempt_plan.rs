//! Which parts of a query get an extra attempt, as a pure decision.
//!
//! The load that it answers: many servers lose answers while traffic is high, and the budget does not bear an extra
//! attempt for each lost answer. Where every part takes for itself, each query gets some and none gets enough. So a
//! query decides for all of its parts: it takes what it still needs to be answered, or nothing.

use crate::servers::budget::BudgetLevel;

/// Share of a budget that is left by attempts without which the query is answered too: those that hasten it, and those
/// that only complete it. Where nothing fails, most of the budget is still theirs.
const DECIDING_RESERVE: f64 = 0.25;

/// What an extra attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPurpose {
    /// Without it the query is not answered.
    Decides,
    /// The query is answered without it, but less completely.
    Completes,
    /// Its part is still under way elsewhere.
    Hastens,
}

impl AttemptPurpose {
    /// The share of a budget that such an attempt leaves to more important ones.
    pub(super) fn reserve(self) -> f64 {
        match self {
            Self::Decides => 0.0,
            Self::Completes | Self::Hastens => DECIDING_RESERVE,
        }
    }
}

/// How far the parts of a query are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryParts {
    /// All shards that it asks.
    pub(super) shards: usize,
    /// The least number of shards that makes an answer.
    pub(super) least: usize,
    /// Parts that have come.
    pub(super) arrived: usize,
    /// Parts that will not come.
    pub(super) lost: usize,
    /// Parts whose attempts have failed, and that may get another.
    pub(super) failed: usize,
}

impl QueryParts {
    /// The failed parts that must come for the query to be answered.
    pub(super) fn needed(&self) -> usize {
        let dispensable = self.shards.saturating_sub(self.least + self.lost);
        self.failed.saturating_sub(dispensable)
    }

    fn has_attempts_under_way(&self) -> bool {
        self.arrived + self.lost + self.failed < self.shards
    }
}

/// What becomes of one failed part now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartVerdict {
    /// It gets an attempt, out of the budget.
    Send,
    /// It waits for what becomes of the others.
    Wait,
    /// It gets no attempt any more.
    GiveUp,
}

/// Decides on all failed parts at once. `levels` are the budgets of their services, in the order of the verdicts.
///
/// What the query needs is taken from the fullest budgets. Where they do not bear all of it, nothing is taken and
/// every part is given up, so that the query ends now and leaves the budgets to queries that can still be answered.
pub(super) fn decide(parts: &QueryParts, levels: &[BudgetLevel]) -> Vec<PartVerdict> {
    let needed = parts.needed();
    let affordable = levels
        .iter()
        .filter(|level| level.bears(AttemptPurpose::Decides.reserve()));
    if affordable.count() < needed {
        return vec![PartVerdict::GiveUp; levels.len()];
    }
    let otherwise = if parts.has_attempts_under_way() || needed > 0 {
        PartVerdict::Wait
    } else {
        PartVerdict::GiveUp
    };
    let mut verdicts = vec![otherwise; levels.len()];
    for (place, position) in fullest_first(levels).into_iter().enumerate() {
        let purpose = if place < needed {
            AttemptPurpose::Decides
        } else {
            AttemptPurpose::Completes
        };
        if levels[position].bears(purpose.reserve()) {
            verdicts[position] = PartVerdict::Send;
        }
    }
    verdicts
}

fn fullest_first(levels: &[BudgetLevel]) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..levels.len()).collect();
    positions.sort_by(|one, other| levels[*other].left().total_cmp(&levels[*one].left()));
    positions
}

#[cfg(test)]
mod replay;
#[cfg(test)]
mod tests;
