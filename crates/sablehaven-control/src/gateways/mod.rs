//! Gateways: their connections, what they are sent, and which of them callers are told of.

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
