//! A client that sends requests to an agent.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use reqwest::{Client, RequestBuilder, header::HeaderMap};
use sablehaven_types::{Envelope, LedgerKey, http};
use serde_json::{Value, json};

use super::schema::SERVICE;

/// An answer of the agent with a JSON envelope.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub envelope: Envelope<Value>,
}

impl Answer {
    /// The names of the items of a search.
    pub fn items(&self) -> Vec<String> {
        let body = self.envelope.body.as_ref().expect("a body");
        let items = body["items"].as_array().expect("a list");
        let names = items
            .iter()
            .map(|item| item["name"].as_str().expect("a name"));
        names.map(str::to_owned).collect()
    }

    pub fn reason(&self) -> &str {
        self.envelope.reason.as_deref().unwrap_or_default()
    }
}

/// An at-most-once request with the identity that the caller gives it.
#[derive(Clone, Debug)]
pub struct OnceRequest {
    pub key: LedgerKey,
    pub pallet_id: String,
    pub deadline: Option<Duration>,
    pub is_resend: bool,
}

impl OnceRequest {
    /// Returns a request with a unique ID.
    pub fn unique() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        Self {
            key: LedgerKey {
                caller: "caller".into(),
                request: format!("request-{number}").into(),
                issued_at_ms: now_ms(),
            },
            pallet_id: "pallet".to_owned(),
            deadline: None,
            is_resend: false,
        }
    }

    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Returns the same request marked as a resend, without a deadline.
    pub fn as_resend(&self) -> Self {
        Self {
            is_resend: true,
            deadline: None,
            ..self.clone()
        }
    }
}

/// A client of one agent.
#[derive(Clone)]
pub struct Caller {
    pub address: SocketAddr,
    client: Client,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder().no_proxy().build().expect("a client"),
        }
    }

    pub fn post(&self, method: &str) -> RequestBuilder {
        let url = format!("http://{}/{SERVICE}/{method}", self.address);
        self.client.post(url)
    }

    pub async fn search(&self, text: &str) -> Answer {
        send_request(self.post("Search").json(&json!({ "text": text }))).await
    }

    pub async fn search_with_deadline(&self, text: &str, deadline: Duration) -> Answer {
        let request = self.post("Search").json(&json!({ "text": text }));
        send_request(request.header(http::DEADLINE_MS, deadline.as_millis().to_string())).await
    }

    pub async fn get(&self, id: &str) -> Answer {
        send_request(self.post("Get").json(&json!({ "id": id }))).await
    }

    pub fn reserve_request(&self, once: &OnceRequest) -> RequestBuilder {
        let mut request = self
            .post("Reserve")
            .json(&json!({ "id": once.pallet_id, "quantity": 1 }))
            .header(http::CALLER, once.key.caller.as_str())
            .header(http::REQUEST_ID, once.key.request.as_str())
            .header(http::ISSUED_AT_MS, once.key.issued_at_ms.to_string());
        if let Some(deadline) = once.deadline {
            request = request.header(http::DEADLINE_MS, deadline.as_millis().to_string());
        }
        if once.is_resend {
            request = request.header(http::RESEND, "1");
        }
        request
    }

    pub async fn reserve(&self, once: &OnceRequest) -> Answer {
        send_request(self.reserve_request(once)).await
    }
}

/// Sends a request and reads the JSON envelope of the answer.
pub async fn send_request(request: RequestBuilder) -> Answer {
    let response = request.send().await.expect("the agent answers");
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let body = response.bytes().await.expect("a complete body");
    let envelope = serde_json::from_slice(&body)
        .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&body)));
    Answer {
        status,
        headers,
        envelope,
    }
}

pub fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    u64::try_from(now.as_millis()).expect("fits into 64 bits")
}
