//! How urgent a request is, among others that need the same room.

/// How urgent a request is: its tenant's rank decides, among equal ones that of its route. The least is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Urgency {
    /// The tenant's rank; `None` where there are no tenants, or the route is for everybody.
    tenant: Option<u32>,
    route: u32,
}

impl Urgency {
    /// The urgency of a tenant's request on a route.
    pub(crate) fn new(tenant: Option<u32>, route: u32) -> Self {
        Self { tenant, route }
    }

    /// Ranks behind the most urgent one, as a number that orders as this does. A route's rank counts whole where there is no
    /// tenant, and for less than one of a tenant's ranks otherwise.
    pub(crate) fn steps(&self) -> f64 {
        let route = f64::from(self.route);
        match self.tenant {
            None => route,
            Some(tenant) => f64::from(tenant) + route / (route + 1.0),
        }
    }
}
