//! Gateways: their connections, the state that they are sent, and the selection of those that are advertised to
//! callers.

mod advertised;
mod crash_reports;
mod encoded;
mod members_view;
mod order;
mod registry;
mod session;
mod sessions;
mod subset;

pub(crate) use registry::Gateways;
pub(crate) use session::serve_gateway;

#[cfg(test)]
mod tests;
