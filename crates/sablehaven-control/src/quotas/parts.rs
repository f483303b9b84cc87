//! Into how many parts tenants' quotas are cut, as a pure decision.

use crate::driver::Published;

/// Parts beyond the members of group 0: a replica that an operator has taken out, and that has not noticed yet, may spend
/// its former part until its hold is over. The next change of the members waits for that.
const SPARE_PARTS: u32 = 1;

/// The number of equal parts of which this replica holds one; `None` while it may not spend any: it is no member, its
/// hold is over ([`super::hold`]), or its driver has failed.
pub(super) fn parts(published: &Published, holds: bool) -> Option<u32> {
    let may_spend = holds && published.is_member && published.failure.is_none();
    may_spend.then_some(published.members + SPARE_PARTS)
}
