//! The number of equal parts into which tenants' quotas are divided. Does no I/O.

use crate::driver::PublishedState;

/// Parts beyond one for each voter of group 0. A replica that an operator has removed, and that does not know it yet, may
/// spend its former part until its lease expires. The next membership change waits until then.
const SPARE_PARTS: u32 = 1;

/// The number of equal parts, of which this replica spends one. `None` if it may not spend any, because it is not a
/// member, has no valid lease ([`super::lease`]), or its driver has failed.
pub(super) fn part_count(published: &PublishedState, has_lease: bool) -> Option<u32> {
    let may_spend = has_lease && published.is_member && published.failure.is_none();
    may_spend.then_some(published.members + SPARE_PARTS)
}
