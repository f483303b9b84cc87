//! A scripted back end.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use sablehaven_types::{ShardId, SnapshotId, http};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::{Listener, TcpListener},
    http::StatusCode,
    server::ServerHandle,
};
use tokio::sync::Semaphore;

use super::schema;

/// How the back end handles an attempt.
#[derive(Clone)]
pub enum Script {
    /// Replies immediately.
    Reply,
    /// Replies after a delay if the snapshot is still held then.
    Delay(Duration),
    /// Never replies.
    NeverReply,
    /// Replies once the semaphore has a permit, if the snapshot is still held then.
    Gate(Arc<Semaphore>),
    /// Refuses with `reason` in the header; echoes the attempt ID if `echo` is set.
    Refuse { reason: &'static str, echo: bool },
    /// Replies with an incorrect echo.
    WrongEcho(WrongEcho),
    /// Sends the length of the whole body but only half of the body.
    Truncated,
    /// Sends the whole body and resets the stream instead of ending it.
    ResetAfterBody,
    /// Replies with bytes that cannot be decoded as a message.
    Garbage,
    /// Replies and signals that the back end is draining.
    ReplyDraining,
    /// Replies with an HTTP status and no refusal header.
    Status(u16),
    /// Replies with the attempt ID and body of the previous attempt.
    PreviousReply,
    /// Crashes the back end: closes all connections and refuses new ones.
    Crash,
}

/// Which part of an echo is incorrect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongEcho {
    Attempt,
    Shard,
    Snapshot,
    Missing,
}

/// An attempt as received by the back end.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub method: String,
    pub attempt_id: u64,
    pub shard: ShardId,
    pub snapshot: SnapshotId,
    pub deadline_ms: u64,
    pub request_id: Option<String>,
    pub body: Bytes,
}

type ScriptFn = Box<dyn Fn(&ReceivedAttempt) -> Script + Send + Sync>;

struct State {
    script: Mutex<ScriptFn>,
    received: Mutex<Vec<ReceivedAttempt>>,
    attempt_count: AtomicU64,
    is_recording_stopped: AtomicBool,
    replied: AtomicU64,
    running: AtomicUsize,
    cancelled: AtomicUsize,
    held_snapshots: Mutex<Option<Vec<SnapshotId>>>,
    server: OnceLock<ServerHandle>,
    has_crashed: AtomicBool,
}

/// A running back end.
pub struct BackendDouble {
    pub address: SocketAddr,
    state: Arc<State>,
    server: ServerHandle,
}

impl BackendDouble {
    pub async fn start() -> Self {
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.inner().local_addr().expect("bound");
        let state = Arc::new(State {
            script: Mutex::new(Box::new(|_| Script::Reply)),
            received: Mutex::default(),
            attempt_count: AtomicU64::new(0),
            is_recording_stopped: AtomicBool::new(false),
            replied: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            cancelled: AtomicUsize::new(0),
            held_snapshots: Mutex::new(None),
            server: OnceLock::new(),
            has_crashed: AtomicBool::new(false),
        });
        let handler = AttemptHandler {
            state: Arc::clone(&state),
        };
        let router = Router::with_path("{service}/{method}").post(handler);
        let server = Server::new(acceptor);
        let handle = server.handle();
        // Cannot fail: it is set only here.
        let _ = state.server.set(server.handle());
        tokio::spawn(server.serve(router));
        Self {
            address,
            state,
            server: handle,
        }
    }

    /// Runs `script` for every attempt.
    pub fn set_script(&self, script: Script) {
        self.set_script_fn(move |_| script.clone());
    }

    /// Sets a function that returns the script for each attempt.
    pub fn set_script_fn(
        &self,
        script_fn: impl Fn(&ReceivedAttempt) -> Script + Send + Sync + 'static,
    ) {
        *self.state.script.lock().expect("not poisoned") = Box::new(script_fn);
    }

    /// Sets the snapshots that the back end holds. Attempts for others are refused, as a back end must.
    pub fn set_held_snapshots(&self, snapshots: &[SnapshotId]) {
        *self.state.held_snapshots.lock().expect("not poisoned") = Some(snapshots.to_vec());
    }

    /// The recorded attempts, in order of arrival.
    pub fn received(&self) -> Vec<ReceivedAttempt> {
        self.state.received.lock().expect("not poisoned").clone()
    }

    /// Stops recording attempts, to limit the memory used by long runs.
    pub fn stop_recording(&self) {
        self.state
            .is_recording_stopped
            .store(true, Ordering::SeqCst);
    }

    /// The number of attempts received.
    pub fn attempt_count(&self) -> u64 {
        self.state.attempt_count.load(Ordering::SeqCst)
    }

    /// The number of attempts that were accepted and executed to the end.
    pub fn replied_count(&self) -> u64 {
        self.state.replied.load(Ordering::SeqCst)
    }

    /// The number of attempts in progress.
    pub fn running_count(&self) -> usize {
        self.state.running.load(Ordering::SeqCst)
    }

    /// The number of attempts whose stream was reset by the agent.
    pub fn cancelled_count(&self) -> usize {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Whether an attempt has crashed the back end.
    pub fn has_crashed(&self) -> bool {
        self.state.has_crashed.load(Ordering::SeqCst)
    }

    /// Closes all connections and stops listening.
    pub fn shut_down(&self) {
        self.server.stop_forceful();
    }
}

impl Drop for BackendDouble {
    fn drop(&mut self) {
        self.server.stop_forceful();
    }
}

/// Runs `script` for the next attempt, at whichever replica it arrives, and replies to all others.
pub fn script_first_attempt(backends: &[BackendDouble], script: Script) {
    let has_run = Arc::new(AtomicBool::new(false));
    for backend in backends {
        let (has_run, script) = (Arc::clone(&has_run), script.clone());
        backend.set_script_fn(move |_| match has_run.swap(true, Ordering::SeqCst) {
            false => script.clone(),
            true => Script::Reply,
        });
    }
}

struct AttemptHandler {
    state: Arc<State>,
}

/// Counts the attempt as cancelled when dropped, unless disarmed.
struct CancelGuard {
    state: Arc<State>,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_armed {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl Handler for AttemptHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        // An attempt that is cancelled before its body has arrived is not counted.
        let Some(received) = read_attempt(request).await else {
            return;
        };
        let previous = self.record_attempt(&received);
        let script = (self.state.script.lock().expect("not poisoned"))(&received);
        self.state.running.fetch_add(1, Ordering::SeqCst);
        let mut guard = CancelGuard {
            state: Arc::clone(&self.state),
            is_armed: true,
        };
        if self.lacks_snapshot(&received) {
            guard.is_armed = false;
            return refuse(response, http::REFUSED_SNAPSHOT, Some(received.attempt_id));
        }
        self.run_script(script, &received, previous, response).await;
        guard.is_armed = false;
    }
}

impl AttemptHandler {
    fn record_attempt(&self, received: &ReceivedAttempt) -> Option<ReceivedAttempt> {
        self.state.attempt_count.fetch_add(1, Ordering::SeqCst);
        if self.state.is_recording_stopped.load(Ordering::SeqCst) {
            return None;
        }
        let mut received_attempts = self.state.received.lock().expect("not poisoned");
        let previous = received_attempts.last().cloned();
        received_attempts.push(received.clone());
        previous
    }

    fn lacks_snapshot(&self, received: &ReceivedAttempt) -> bool {
        let held = self.state.held_snapshots.lock().expect("not poisoned");
        held.as_ref()
            .is_some_and(|held| !held.contains(&received.snapshot))
    }

    async fn run_script(
        &self,
        script: Script,
        received: &ReceivedAttempt,
        previous: Option<ReceivedAttempt>,
        response: &mut Response,
    ) {
        match script {
            Script::Reply => {}
            Script::Delay(delay) => tokio::time::sleep(delay).await,
            Script::NeverReply => std::future::pending().await,
            Script::Crash => {
                self.state.has_crashed.store(true, Ordering::SeqCst);
                let server = self.state.server.get().expect("a running server");
                server.stop_forceful();
                std::future::pending().await
            }
            Script::Gate(ref gate) => gate.acquire().await.expect("open").forget(),
            Script::Refuse { reason, echo } => {
                return refuse(response, reason, echo.then_some(received.attempt_id));
            }
            Script::Status(status) => {
                self.state.replied.fetch_add(1, Ordering::SeqCst);
                response.status_code(StatusCode::from_u16(status).expect("a status"));
                return;
            }
            Script::WrongEcho(_)
            | Script::Truncated
            | Script::ResetAfterBody
            | Script::Garbage
            | Script::ReplyDraining
            | Script::PreviousReply => {}
        }
        // Checked again, as a server does when it takes a request from its queue.
        if self.lacks_snapshot(received) {
            return refuse(response, http::REFUSED_SNAPSHOT, Some(received.attempt_id));
        }
        self.state.replied.fetch_add(1, Ordering::SeqCst);
        write_reply(script, received, previous, response);
    }
}

fn write_reply(
    script: Script,
    received: &ReceivedAttempt,
    previous: Option<ReceivedAttempt>,
    response: &mut Response,
) {
    let (mut attempt, mut shard, mut snapshot) =
        (received.attempt_id, received.shard, received.snapshot);
    let mut body = schema::encode_reply(&received.method, &received.body, shard, snapshot);
    match script {
        Script::WrongEcho(WrongEcho::Attempt) => attempt ^= 1,
        Script::WrongEcho(WrongEcho::Shard) => shard.0 += 1,
        Script::WrongEcho(WrongEcho::Snapshot) => snapshot.generation += 1,
        Script::Garbage => body = vec![0xff; 16],
        Script::ReplyDraining => set_header(response, http::DRAINING, "1"),
        Script::PreviousReply => {
            if let Some(previous) = previous {
                attempt = previous.attempt_id;
                body = schema::encode_reply(&previous.method, &previous.body, shard, snapshot);
            }
        }
        _ => {}
    }
    if !matches!(script, Script::WrongEcho(WrongEcho::Missing)) {
        set_header(response, http::ATTEMPT, &attempt.to_string());
        set_header(response, http::SHARD, &shard.to_string());
        set_header(response, http::SNAPSHOT, &snapshot.to_string());
    }
    response.status_code(StatusCode::OK);
    if matches!(script, Script::ResetAfterBody) {
        let reset = async {
            // Lets the headers and the body be sent first, as if the server failed later.
            tokio::time::sleep(Duration::from_millis(50)).await;
            Err(std::io::Error::other("stream reset by the script"))
        };
        let body_chunk = futures::stream::iter([Ok(body)]);
        response.stream(body_chunk.chain(futures::stream::once(reset)));
        return;
    }
    if matches!(script, Script::Truncated) {
        set_header(response, "content-length", &body.len().to_string());
        let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
        let stream = futures::stream::iter([Ok::<_, std::io::Error>(half)]);
        response.stream(stream);
        return;
    }
    response.write_body(body).expect("an empty response");
}

fn refuse(response: &mut Response, reason: &str, echo: Option<u64>) {
    let status = match reason {
        http::REFUSED_SNAPSHOT => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    response.status_code(status);
    set_header(response, http::REFUSED, reason);
    if let Some(attempt) = echo {
        set_header(response, http::ATTEMPT, &attempt.to_string());
    }
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    response
        .add_header(name, value, true)
        .expect("a valid header");
}

async fn read_attempt(request: &mut Request) -> Option<ReceivedAttempt> {
    let headers: HashMap<String, String> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().expect("text").to_owned()))
        .collect();
    let body = request.payload().await.ok()?.clone();
    let numeric_header = |name: &str| headers[name].parse::<u64>().expect("a number");
    Some(ReceivedAttempt {
        method: request.param("method").expect("a method"),
        attempt_id: numeric_header(http::ATTEMPT),
        shard: ShardId(u32::try_from(numeric_header(http::SHARD)).expect("a shard")),
        snapshot: headers[http::SNAPSHOT].parse().expect("a snapshot"),
        deadline_ms: numeric_header(http::DEADLINE_MS),
        request_id: headers.get(http::REQUEST_ID).cloned(),
        body,
    })
}
