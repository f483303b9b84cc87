//! A client of the operator interface that follows redirects to the leader and retries while there is none.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reqwest::{Client, Method, StatusCode};
use sablehaven_control::{
    operator::{ControlStatus, OperatorError, paths},
    replicas::ReplicasOutcome,
};
use sablehaven_types::{ApplyCommand, ApplyOutcome};
use serde::{Serialize, de::DeserializeOwned};

use super::{POLL_INTERVAL, WAIT_TIMEOUT};

#[derive(Clone)]
pub struct Operator {
    client: Client,
    addresses: Vec<SocketAddr>,
}

impl Operator {
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let client = Client::builder()
            .timeout(Duration::from_secs(20))
            .no_proxy()
            .build()
            .expect("client");
        Self { client, addresses }
    }

    /// Calls one replica once: its reply, or its error; `None` if there is no readable response.
    pub async fn call_once<Reply: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&(impl Serialize + ?Sized)>,
    ) -> Option<Result<Reply, (StatusCode, OperatorError)>> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.request(method, url);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.ok()?;
        let status = response.status();
        let body_bytes = response.bytes().await.ok()?;
        if status == StatusCode::OK {
            return Some(Ok(
                serde_json::from_slice(&body_bytes).expect("a reply in JSON")
            ));
        }
        Some(Err((status, serde_json::from_slice(&body_bytes).ok()?)))
    }

    /// Retries until a leader replies; the call must be safe to resend.
    pub async fn call<Reply: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + ?Sized)>,
    ) -> Reply {
        let started = Instant::now();
        let mut address = self.addresses[0];
        let mut address_index = 0;
        loop {
            let reply = self.call_once(method.clone(), address, path, body).await;
            match reply {
                Some(Ok(reply)) => return reply,
                Some(Err((StatusCode::MISDIRECTED_REQUEST, error))) => {
                    address = error.leader.expect("a leader's address");
                }
                Some(Err((status, error))) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    panic!("{path}: {status}: {}", error.error);
                }
                _ => {
                    address_index += 1;
                    address = self.addresses[address_index % self.addresses.len()];
                }
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{path}: no leader in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn apply(&self, command: &ApplyCommand) -> ApplyOutcome {
        self.call(Method::POST, paths::APPLY, Some(command)).await
    }

    pub async fn get<Reply: DeserializeOwned>(&self, path: &str) -> Reply {
        self.call(Method::GET, path, None::<&()>).await
    }

    pub async fn change(&self, path: &str, body: &impl Serialize) -> ReplicasOutcome {
        self.call(Method::POST, path, Some(body)).await
    }

    pub async fn try_status(&self, address: SocketAddr) -> Option<ControlStatus> {
        let reply = self.call_once(Method::GET, address, paths::STATUS, None::<&()>);
        reply.await?.ok()
    }
}
