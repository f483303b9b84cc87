//! Asks one random replica of each shard once.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use prost::Message;
use prost_reflect::DynamicMessage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reqwest::{Client, Response};
use sablehaven_schema::{MethodKind, MethodSchema, decode_reply, merge, shard_for_key};
use sablehaven_types::{
    AttemptId, BackendId, Configuration, Coverage, IndexSnapshot, MissingReason, MissingShard,
    ShardAssignment, ShardId, SnapshotId, http,
};

use super::BaselineSettings;

/// A reply with what it covers.
pub(super) struct Answered {
    pub snapshot: SnapshotId,
    /// Only for queries.
    pub coverage: Option<Coverage>,
    pub reply: DynamicMessage,
}

/// The way to the back ends.
pub(super) struct FanOut {
    configuration: Configuration,
    addresses: HashMap<BackendId, SocketAddr>,
    client: Client,
    random: Mutex<Pcg64Mcg>,
}

impl FanOut {
    pub(super) fn new(settings: &BaselineSettings) -> Result<Self, reqwest::Error> {
        let backends = settings.backends.iter();
        let client = Client::builder()
            .no_proxy()
            .http2_prior_knowledge()
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            configuration: settings.configuration.clone(),
            addresses: backends
                .map(|record| (record.id.clone(), record.address))
                .collect(),
            client,
            random: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
        })
    }

    pub(super) async fn ask(
        &self,
        method: &MethodSchema,
        request: &DynamicMessage,
        deadline: Duration,
    ) -> Result<Answered, String> {
        let service = self.configuration.services.get(&method.service);
        let service = service.ok_or_else(|| format!("no service {}", method.service))?;
        let snapshot = &service.snapshot;
        match method.kind {
            MethodKind::Query { .. } => self.ask_all(method, request, snapshot, deadline).await,
            _ => self.ask_one(method, request, snapshot, deadline).await,
        }
    }

    async fn ask_all(
        &self,
        method: &MethodSchema,
        request: &DynamicMessage,
        snapshot: &IndexSnapshot,
        deadline: Duration,
    ) -> Result<Answered, String> {
        let attempts = snapshot.shards.iter().map(|assignment| async move {
            let attempt = self.attempt(method, request, snapshot.id, assignment, deadline);
            (assignment.shard, attempt.await)
        });
        let mut replies = BTreeMap::new();
        let mut coverage = Coverage::default();
        for (shard, result) in futures::future::join_all(attempts).await {
            match result {
                Ok(reply) => {
                    coverage.answered.push(shard);
                    replies.insert(shard, reply);
                }
                Err(reason) => coverage.missing.push(MissingShard { shard, reason }),
            }
        }
        let reply = merge(method, replies, request).map_err(|error| error.to_string())?;
        Ok(Answered {
            snapshot: snapshot.id,
            coverage: Some(coverage),
            reply,
        })
    }

    async fn ask_one(
        &self,
        method: &MethodSchema,
        request: &DynamicMessage,
        snapshot: &IndexSnapshot,
        deadline: Duration,
    ) -> Result<Answered, String> {
        let count = snapshot.shards.len() as u32;
        let shard = shard_for_key(method, request, count).map_err(|error| error.to_string())?;
        let assignment = snapshot
            .shards
            .iter()
            .find(|assignment| assignment.shard == shard);
        let assignment = assignment.ok_or_else(|| format!("no shard {shard}"))?;
        let attempt = self.attempt(method, request, snapshot.id, assignment, deadline);
        let reply = attempt.await.map_err(|reason| format!("{reason:?}"))?;
        Ok(Answered {
            snapshot: snapshot.id,
            coverage: None,
            reply,
        })
    }

    async fn attempt(
        &self,
        method: &MethodSchema,
        request: &DynamicMessage,
        snapshot: SnapshotId,
        assignment: &ShardAssignment,
        deadline: Duration,
    ) -> Result<DynamicMessage, MissingReason> {
        let (attempt, address) = self.choose(assignment).ok_or(MissingReason::NoReplica)?;
        let sent = self
            .client
            .post(format!("http://{address}{}", method.path))
            .timeout(deadline)
            .header(http::ATTEMPT, attempt.to_string())
            .header(http::SHARD, assignment.shard.to_string())
            .header(http::SNAPSHOT, snapshot.to_string())
            .header(http::DEADLINE_MS, deadline.as_millis().to_string())
            .body(request.encode_to_vec())
            .send()
            .await;
        let response = sent.map_err(|error| failure(&error))?;
        check(&response, attempt, assignment.shard, snapshot)?;
        let body = response.bytes().await.map_err(|error| failure(&error))?;
        decode_reply(&method.output, &body).map_err(|_| MissingReason::BadReply)
    }

    fn choose(&self, assignment: &ShardAssignment) -> Option<(AttemptId, SocketAddr)> {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let attempt = AttemptId(random.random());
        if assignment.replicas.is_empty() {
            return None;
        }
        let replica = &assignment.replicas[random.random_range(0..assignment.replicas.len())];
        Some((attempt, *self.addresses.get(replica)?))
    }
}

fn failure(error: &reqwest::Error) -> MissingReason {
    match error.is_timeout() {
        true => MissingReason::Deadline,
        false => MissingReason::Failed,
    }
}

fn check(
    response: &Response,
    attempt: AttemptId,
    shard: ShardId,
    snapshot: SnapshotId,
) -> Result<(), MissingReason> {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    match header(http::REFUSED) {
        Some(http::REFUSED_SNAPSHOT) => return Err(MissingReason::SnapshotGone),
        Some(http::REFUSED_DEADLINE) => return Err(MissingReason::Deadline),
        Some(_) => return Err(MissingReason::Shed),
        None => {}
    }
    if !response.status().is_success() {
        return Err(MissingReason::Failed);
    }
    let is_own = header(http::ATTEMPT) == Some(&attempt.to_string())
        && header(http::SHARD) == Some(&shard.to_string())
        && header(http::SNAPSHOT) == Some(&snapshot.to_string());
    is_own.then_some(()).ok_or(MissingReason::BadReply)
}
