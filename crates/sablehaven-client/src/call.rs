//! Parameters of a call other than the request message: method, options and request key.

use std::time::{SystemTime, UNIX_EPOCH};

use sablehaven_types::{CallerId, RequestId};

/// Description of a method in the schema, as used by the generated code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MethodInfo {
    /// Path of the method, `/<package>.<Service>/<Method>`.
    pub path: &'static str,
    /// Default time limit of a call, in milliseconds.
    pub deadline_ms: u64,
}

/// Options of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// Time limit of the call, in milliseconds (1 to 60,000). `None` means the default of the method.
    pub deadline_ms: Option<u64>,
}

/// Identifies one at-most-once request.
///
/// A resend must use the same key, as returned by [`Self::resend`], and then gets the outcome of the
/// original request. A request with a new key is a new request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The caller.
    pub caller: CallerId,
    /// Id of the request, unique among the requests of the caller.
    pub request: RequestId,
    /// Time at which the request was first issued, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// Whether the request was sent before and its outcome is unknown.
    pub resend: bool,
}

impl RequestKey {
    /// Creates the key of a new request that is issued now.
    pub fn issued_now(caller: CallerId, request: RequestId) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let issued_at_ms = since_epoch.unwrap_or_default().as_millis();
        Self {
            caller,
            request,
            issued_at_ms: u64::try_from(issued_at_ms).unwrap_or(u64::MAX),
            resend: false,
        }
    }

    /// Returns the key for resending the same request.
    pub fn resend(&self) -> Self {
        Self {
            resend: true,
            ..self.clone()
        }
    }
}
