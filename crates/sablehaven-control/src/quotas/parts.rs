//! Into how many parts tenants' quotas are cut, as a pure decision.

use crate::driver::Published;

/// Parts beyond the members of group 0: a replica that was replaced, or that wakes after a freeze and has not noticed yet
/// what became of the group meanwhile, may spend its former part for a moment, beside all the others.
const SPARE_PARTS: u32 = 1;

/// The number of equal parts of which this replica holds one; `None` while it may not spend any: it is no member, knows
/// no leader, or its driver has failed. A leader without a quorum steps down, and a follower without a leader knows none after its election time.
pub(super) fn parts(published: &Published) -> Option<u32> {
    published.leader?;
    let may_spend = published.is_member && published.failure.is_none();
    may_spend.then_some(published.members + SPARE_PARTS)
}
