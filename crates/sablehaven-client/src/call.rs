//! What a caller says about a call besides its request.

use std::time::{SystemTime, UNIX_EPOCH};

use sablehaven_types::{CallerId, RequestId};

/// A method as the schema describes it; part of the generated code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MethodInfo {
    /// `/<package>.<Service>/<Method>`.
    pub path: &'static str,
    /// Time for the whole call where the caller names none, in milliseconds.
    pub deadline_ms: u64,
}

/// Options of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// Time for the whole call, in milliseconds (1 to 60,000); `None` means the method's own.
    pub deadline_ms: Option<u64>,
}

/// Names one request that may not be repeated.
///
/// A resend must carry the same key, made by [`Self::resend`]; it then gets the first outcome. A new
/// key is a new request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Who calls.
    pub caller: CallerId,
    /// The caller's id for the request, unique among the caller's requests.
    pub request: RequestId,
    /// When the request was first issued, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// Whether the request was sent before and its outcome is not known.
    pub resend: bool,
}

impl RequestKey {
    /// The key of a request that is issued now and was not sent before.
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

    /// The key for sending the same request again.
    pub fn resend(&self) -> Self {
        Self {
            resend: true,
            ..self.clone()
        }
    }
}
