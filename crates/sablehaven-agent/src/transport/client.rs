//! The HTTP/2 client of one back end, which sends the attempts.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use reqwest::{Client, Method, Request, Response, Url};
use sablehaven_http::{ClientConnection, CollectError, HeldFor, collect_body};
use sablehaven_types::LedgerKey;

use super::{
    ConnectionSettings, TransportError,
    reply::{
        AttemptIdentity, DiscardReason, Refusal, ReplyVerdict, ServerSignals, attempt_headers,
        check_reply_head, insert_ledger_key,
    },
};

/// How an attempt ended, as seen by the transport.
#[derive(Debug)]
pub enum AttemptEnd {
    /// A reply that belongs to the attempt, with its undecoded body.
    Replied(Bytes),
    /// The back end refused the attempt before starting it.
    Refused {
        /// Why the back end refused.
        refusal: Refusal,
        /// Whether the refusal echoes the id of the attempt.
        echoed: bool,
    },
    /// No connection could be opened, so no part of the request was sent.
    NotConnected(TransportError),
    /// A reply was received, but it does not belong to the attempt, came too late or has an unusable
    /// body.
    Discarded(DiscardReason),
    /// The connection or the back end failed; it is not known whether the attempt ran.
    Failed(TransportError),
}

/// The result of an attempt, with the signals from the headers of the reply.
#[derive(Debug)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// What the server reports about itself.
    pub signals: ServerSignals,
}

/// The request of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptMessage<'a> {
    /// The connection of the caller, for which the reply is held.
    pub client: &'a ClientConnection,
    /// The identifiers that the reply must echo.
    pub identity: AttemptIdentity,
    /// The path of the method, `/<package>.<Service>/<Method>`.
    pub path: &'a str,
    /// The request message, encoded as protobuf.
    pub body: Bytes,
    /// The caller's deadline, sent to the back end as the remaining time.
    pub deadline: Instant,
    /// The time from which a reply is discarded as late.
    pub accept_until: Instant,
    /// The ledger key, for at-most-once requests.
    pub ledger_key: Option<&'a LedgerKey>,
}

/// The HTTP client of one back end. All attempts share one HTTP/2 connection, which is closed when the
/// client has been dropped and the attempts on it have ended.
#[derive(Debug)]
pub struct BackendClient {
    address: SocketAddr,
    client: Client,
    max_reply_body_bytes: usize,
}

impl BackendClient {
    /// Creates a client. The connection is opened by the first attempt or by [`Self::preconnect`].
    pub fn new(address: SocketAddr, settings: &ConnectionSettings) -> Result<Self, TransportError> {
        let client = Client::builder()
            .http2_prior_knowledge()
            .no_proxy()
            .tcp_nodelay(true)
            .local_address(settings.connect_from)
            .connect_timeout(settings.connect_timeout)
            .pool_idle_timeout(None)
            .pool_max_idle_per_host(1)
            .http2_keep_alive_interval(settings.ping_interval)
            .http2_keep_alive_timeout(settings.ping_interval)
            .http2_keep_alive_while_idle(true)
            // Retries by the HTTP library could send an at-most-once request twice, without the
            // ledger knowing.
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|source| TransportError::Build { address, source })?;
        Ok(Self {
            address,
            client,
            max_reply_body_bytes: settings.max_reply_body_bytes,
        })
    }

    /// Returns the address of the back end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens the connection before the first attempt. Errors are ignored, because the first attempt
    /// connects again and reports them.
    pub async fn preconnect(&self) {
        let Ok(url) = self.url("/health/live") else {
            return;
        };
        let _ = self.client.execute(Request::new(Method::HEAD, url)).await;
    }

    /// Returns whether the back end refuses connections, as it does after its process has ended.
    pub async fn refuses_connections(&self) -> bool {
        let Ok(url) = self.url("/health/live") else {
            return false;
        };
        let probe = self.client.execute(Request::new(Method::HEAD, url)).await;
        probe.is_err_and(|error| error.is_connect() && !error.is_timeout())
    }

    /// Sends one attempt and waits for its result.
    ///
    /// This function has no timeout of its own. Dropping the future resets the HTTP/2 stream, which
    /// cancels the attempt at the back end.
    pub async fn attempt(&self, message: AttemptMessage<'_>) -> AttemptReport {
        let request = match self.request(&message) {
            Ok(request) => request,
            Err(error) => return AttemptReport::not_connected(error),
        };
        match self.client.execute(request).await {
            Ok(response) => self.classify_response(&message, response).await,
            Err(source) => AttemptReport::without_reply(self.classify_send_error(source)),
        }
    }

    fn request(&self, message: &AttemptMessage<'_>) -> Result<Request, TransportError> {
        let remaining = message.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::new(Method::POST, self.url(message.path)?);
        *request.headers_mut() = attempt_headers(&message.identity, remaining);
        if let Some(key) = message.ledger_key {
            insert_ledger_key(request.headers_mut(), key);
        }
        *request.body_mut() = Some(message.body.clone().into());
        Ok(request)
    }

    fn url(&self, path: &str) -> Result<Url, TransportError> {
        let text = format!("http://{}{path}", self.address);
        Url::parse(&text).map_err(|_| TransportError::Path {
            address: self.address,
            path: path.to_owned(),
        })
    }

    fn classify_send_error(&self, source: reqwest::Error) -> AttemptEnd {
        let is_connect_error = source.is_connect();
        let address = self.address;
        if is_connect_error {
            return AttemptEnd::NotConnected(TransportError::Connect { address, source });
        }
        AttemptEnd::Failed(TransportError::Exchange { address, source })
    }

    async fn classify_response(
        &self,
        message: &AttemptMessage<'_>,
        response: Response,
    ) -> AttemptReport {
        let signals = ServerSignals::parse(response.headers());
        let verdict = check_reply_head(&message.identity, response.status(), response.headers());
        let end = match verdict {
            ReplyVerdict::Accepted => self.read_body(message, response).await,
            ReplyVerdict::Refused { refusal, echoed } => AttemptEnd::Refused { refusal, echoed },
            ReplyVerdict::Discarded(reason) => AttemptEnd::Discarded(reason),
            ReplyVerdict::Failed(status) => AttemptEnd::Failed(TransportError::Status {
                address: self.address,
                status: status.as_u16(),
            }),
        };
        AttemptReport { end, signals }
    }

    async fn read_body(&self, message: &AttemptMessage<'_>, response: Response) -> AttemptEnd {
        let content_length = response.content_length();
        let body = reqwest::Body::from(response);
        let limit = self.max_reply_body_bytes;
        let collected = collect_body(message.client, HeldFor::Reply, body, limit).await;
        let body = match collected {
            Ok(body) => body.into_bytes(),
            Err(CollectError::TooLarge { .. }) => {
                return AttemptEnd::Discarded(DiscardReason::TooLarge);
            }
            Err(CollectError::NoMemoryLeft(_)) => {
                return AttemptEnd::Discarded(DiscardReason::NoMemoryLeft);
            }
            Err(CollectError::Failed(_)) => return AttemptEnd::Discarded(DiscardReason::Truncated),
        };
        if content_length.is_some_and(|length| length != body.len() as u64) {
            return AttemptEnd::Discarded(DiscardReason::Truncated);
        }
        if Instant::now() >= message.accept_until {
            return AttemptEnd::Discarded(DiscardReason::Late);
        }
        AttemptEnd::Replied(body)
    }
}

impl AttemptReport {
    /// Creates the report of an attempt that could not be sent.
    pub fn not_connected(error: TransportError) -> Self {
        Self::without_reply(AttemptEnd::NotConnected(error))
    }

    fn without_reply(end: AttemptEnd) -> Self {
        Self {
            end,
            signals: ServerSignals::default(),
        }
    }
}
