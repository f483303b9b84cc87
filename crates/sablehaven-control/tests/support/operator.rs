//! A client of the operators' interface that goes where it is sent and comes back when asked to.

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

use super::{LIMIT, LOOK_PAUSE};

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

    /// One call to one replica: its answer, or what it says instead; `None` without an answer.
    pub async fn call_once<Answer: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&(impl Serialize + ?Sized)>,
    ) -> Option<Result<Answer, (StatusCode, OperatorError)>> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.request(method, url);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.ok()?;
        let status = response.status();
        let text = response.bytes().await.ok()?;
        if status == StatusCode::OK {
            return Some(Ok(serde_json::from_slice(&text).expect("an answer")));
        }
        Some(Err((status, serde_json::from_slice(&text).ok()?)))
    }

    /// Calls until a leader answers; the call must be safe to send again.
    pub async fn call<Answer: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + ?Sized)>,
    ) -> Answer {
        let started = Instant::now();
        let mut address = self.addresses[0];
        let mut turn = 0;
        loop {
            let answer = self.call_once(method.clone(), address, path, body).await;
            match answer {
                Some(Ok(answer)) => return answer,
                Some(Err((StatusCode::MISDIRECTED_REQUEST, error))) => {
                    address = error.leader.expect("a leader's address");
                }
                Some(Err((status, error))) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    panic!("{path}: {status}: {}", error.error);
                }
                _ => {
                    turn += 1;
                    address = self.addresses[turn % self.addresses.len()];
                }
            }
            assert!(started.elapsed() < LIMIT, "{path}: no leader in time");
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    pub async fn apply(&self, command: &ApplyCommand) -> ApplyOutcome {
        self.call(Method::POST, paths::APPLY, Some(command)).await
    }

    pub async fn get<Answer: DeserializeOwned>(&self, path: &str) -> Answer {
        self.call(Method::GET, path, None::<&()>).await
    }

    pub async fn change(&self, path: &str, body: &impl Serialize) -> ReplicasOutcome {
        self.call(Method::POST, path, Some(body)).await
    }

    pub async fn try_status(&self, address: SocketAddr) -> Option<ControlStatus> {
        let answer = self.call_once(Method::GET, address, paths::STATUS, None::<&()>);
        answer.await?.ok()
    }
}
