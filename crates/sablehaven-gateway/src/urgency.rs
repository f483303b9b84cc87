//! Urgency of a request compared with others that need the same capacity.

/// Urgency of a request, ordered by its tenant's priority first and its route's priority second. The smallest value
/// is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Urgency {
    /// The tenant's priority; `None` if there are no tenants or the route is public.
    tenant: Option<u32>,
    route: u32,
}

impl Urgency {
    /// The urgency of a request by the priorities of its tenant, if any, and its route.
    pub(crate) fn new(tenant: Option<u32>, route: u32) -> Self {
        Self { tenant, route }
    }

    /// The number of levels below the most urgent one, in the same order as the urgency itself. Without a tenant, a
    /// level is one step of the route's priority. With a tenant it is one step of the tenant's priority, and the
    /// whole range of route priorities adds less than one level.
    pub(crate) fn level(&self) -> f64 {
        let route = f64::from(self.route);
        match self.tenant {
            None => route,
            Some(tenant) => f64::from(tenant) + route / (route + 1.0),
        }
    }
}
