//! Requests that take their servers down: what is seen of them.

mod fingerprint;
mod watch;

pub(crate) use fingerprint::fingerprint;
pub(crate) use watch::CrashWatch;
