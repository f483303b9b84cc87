//! A back end that does what a script says.

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

/// What the back end does with one attempt.
#[derive(Clone)]
pub enum Script {
    /// Replies at once.
    Reply,
    /// Replies after a time, if the snapshot is still held then.
    Delay(Duration),
    /// Never replies.
    Never,
    /// Replies once the gate has a permit, if the snapshot is still held then.
    Gate(Arc<Semaphore>),
    /// Refuses with a word; echoes the attempt if told so.
    Refuse { word: &'static str, echo: bool },
    /// Replies with a changed echo.
    Echo(WrongEcho),
    /// Announces a whole body and breaks off in its middle.
    Truncated,
    /// Sends the whole body, does not say that it is whole, and breaks off.
    BrokenOff,
    /// Replies with bytes that are no message.
    Garbage,
    /// Replies, and says that it drains.
    ReplyDraining,
    /// A status that is no refusal.
    Status(u16),
    /// Replies with the echo and body of the attempt before this one.
    PreviousReply,
    /// Ends the back end: every connection breaks, and new ones are refused.
    Crash,
}

/// How an echo is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongEcho {
    Attempt,
    Shard,
    Snapshot,
    Missing,
}

/// One attempt as the back end saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub attempt: u64,
    pub shard: ShardId,
    pub snapshot: SnapshotId,
    pub deadline_ms: u64,
    pub request_id: Option<String>,
    pub body: Bytes,
}

type Chooser = Box<dyn Fn(&Seen) -> Script + Send + Sync>;

struct State {
    script: Mutex<Chooser>,
    seen: Mutex<Vec<Seen>>,
    count: AtomicU64,
    forgets: AtomicBool,
    replied: AtomicU64,
    running: AtomicUsize,
    cancelled: AtomicUsize,
    held: Mutex<Option<Vec<SnapshotId>>>,
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
            seen: Mutex::default(),
            count: AtomicU64::new(0),
            forgets: AtomicBool::new(false),
            replied: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            cancelled: AtomicUsize::new(0),
            held: Mutex::new(None),
            server: OnceLock::new(),
            has_crashed: AtomicBool::new(false),
        });
        let handler = Attempts {
            state: Arc::clone(&state),
        };
        let router = Router::with_path("{service}/{method}").post(handler);
        let server = Server::new(acceptor);
        let handle = server.handle();
        // Nobody else sets it.
        let _ = state.server.set(server.handle());
        tokio::spawn(server.serve(router));
        Self {
            address,
            state,
            server: handle,
        }
    }

    /// Does the same with every attempt.
    pub fn always(&self, script: Script) {
        self.choose(move |_| script.clone());
    }

    /// Decides attempt by attempt.
    pub fn choose(&self, chooser: impl Fn(&Seen) -> Script + Send + Sync + 'static) {
        *self.state.script.lock().expect("not poisoned") = Box::new(chooser);
    }

    /// Holds only these snapshots; others are refused as a back end must.
    pub fn hold(&self, snapshots: &[SnapshotId]) {
        *self.state.held.lock().expect("not poisoned") = Some(snapshots.to_vec());
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.lock().expect("not poisoned").clone()
    }

    /// Keeps no record of attempts from now on, for long runs.
    pub fn forget_attempts(&self) {
        self.state.forgets.store(true, Ordering::SeqCst);
    }

    /// The number of attempts seen.
    pub fn count(&self) -> u64 {
        self.state.count.load(Ordering::SeqCst)
    }

    /// Attempts that were accepted and worked on to the end.
    pub fn replied(&self) -> u64 {
        self.state.replied.load(Ordering::SeqCst)
    }

    /// Attempts that are worked on now.
    pub fn running(&self) -> usize {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Attempts whose stream was reset by the agent.
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Whether a request has ended it.
    pub fn has_crashed(&self) -> bool {
        self.state.has_crashed.load(Ordering::SeqCst)
    }

    /// Breaks every connection and listens no more.
    pub fn lose(&self) {
        self.server.stop_forceful();
    }
}

impl Drop for BackendDouble {
    fn drop(&mut self) {
        self.server.stop_forceful();
    }
}

/// Plays the script for the next attempt, at whichever replica it arrives, and replies to all others.
pub fn first_attempt(backends: &[BackendDouble], script: Script) {
    let played = Arc::new(AtomicBool::new(false));
    for backend in backends {
        let (played, script) = (Arc::clone(&played), script.clone());
        backend.choose(move |_| match played.swap(true, Ordering::SeqCst) {
            false => script.clone(),
            true => Script::Reply,
        });
    }
}

struct Attempts {
    state: Arc<State>,
}

/// Counts an attempt as cancelled unless it was disarmed.
struct CancelGuard {
    state: Arc<State>,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if self.armed {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl Handler for Attempts {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        // An attempt that is cancelled before its body has come was not seen.
        let Some(seen) = read(request).await else {
            return;
        };
        let previous = self.note(&seen);
        let script = (self.state.script.lock().expect("not poisoned"))(&seen);
        self.state.running.fetch_add(1, Ordering::SeqCst);
        let mut guard = CancelGuard {
            state: Arc::clone(&self.state),
            armed: true,
        };
        if self.lacks(&seen) {
            guard.armed = false;
            return refuse(response, http::REFUSED_SNAPSHOT, Some(seen.attempt));
        }
        self.play(script, &seen, previous, response).await;
        guard.armed = false;
    }
}

impl Attempts {
    fn note(&self, seen: &Seen) -> Option<Seen> {
        self.state.count.fetch_add(1, Ordering::SeqCst);
        if self.state.forgets.load(Ordering::SeqCst) {
            return None;
        }
        let mut all = self.state.seen.lock().expect("not poisoned");
        let previous = all.last().cloned();
        all.push(seen.clone());
        previous
    }

    fn lacks(&self, seen: &Seen) -> bool {
        let held = self.state.held.lock().expect("not poisoned");
        held.as_ref()
            .is_some_and(|held| !held.contains(&seen.snapshot))
    }

    async fn play(
        &self,
        script: Script,
        seen: &Seen,
        previous: Option<Seen>,
        response: &mut Response,
    ) {
        match script {
            Script::Reply => {}
            Script::Delay(time) => tokio::time::sleep(time).await,
            Script::Never => std::future::pending().await,
            Script::Crash => {
                self.state.has_crashed.store(true, Ordering::SeqCst);
                let server = self.state.server.get().expect("a running server");
                server.stop_forceful();
                std::future::pending().await
            }
            Script::Gate(ref gate) => gate.acquire().await.expect("open").forget(),
            Script::Refuse { word, echo } => {
                return refuse(response, word, echo.then_some(seen.attempt));
            }
            Script::Status(status) => {
                self.state.replied.fetch_add(1, Ordering::SeqCst);
                response.status_code(StatusCode::from_u16(status).expect("a status"));
                return;
            }
            Script::Echo(_)
            | Script::Truncated
            | Script::BrokenOff
            | Script::Garbage
            | Script::ReplyDraining
            | Script::PreviousReply => {}
        }
        // Looked at again, as a server does when a request's turn comes.
        if self.lacks(seen) {
            return refuse(response, http::REFUSED_SNAPSHOT, Some(seen.attempt));
        }
        self.state.replied.fetch_add(1, Ordering::SeqCst);
        write(script, seen, previous, response);
    }
}

fn write(script: Script, seen: &Seen, previous: Option<Seen>, response: &mut Response) {
    let (mut attempt, mut shard, mut snapshot) = (seen.attempt, seen.shard, seen.snapshot);
    let mut body = schema::reply(&seen.method, &seen.body, shard, snapshot);
    match script {
        Script::Echo(WrongEcho::Attempt) => attempt ^= 1,
        Script::Echo(WrongEcho::Shard) => shard.0 += 1,
        Script::Echo(WrongEcho::Snapshot) => snapshot.generation += 1,
        Script::Garbage => body = vec![0xff; 16],
        Script::ReplyDraining => set(response, http::DRAINING, "1"),
        Script::PreviousReply => {
            if let Some(previous) = previous {
                attempt = previous.attempt;
                body = schema::reply(&previous.method, &previous.body, shard, snapshot);
            }
        }
        _ => {}
    }
    if !matches!(script, Script::Echo(WrongEcho::Missing)) {
        set(response, http::ATTEMPT, &attempt.to_string());
        set(response, http::SHARD, &shard.to_string());
        set(response, http::SNAPSHOT, &snapshot.to_string());
    }
    response.status_code(StatusCode::OK);
    if matches!(script, Script::BrokenOff) {
        let broken = async {
            // Lets the head and the body go out first, as a server that breaks off later would.
            tokio::time::sleep(Duration::from_millis(50)).await;
            Err(std::io::Error::other("broken off by the script"))
        };
        let whole = futures::stream::iter([Ok(body)]);
        response.stream(whole.chain(futures::stream::once(broken)));
        return;
    }
    if matches!(script, Script::Truncated) {
        set(response, "content-length", &body.len().to_string());
        let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
        let stream = futures::stream::iter([Ok::<_, std::io::Error>(half)]);
        response.stream(stream);
        return;
    }
    response.write_body(body).expect("an empty response");
}

fn refuse(response: &mut Response, word: &str, echo: Option<u64>) {
    let status = match word {
        http::REFUSED_SNAPSHOT => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    response.status_code(status);
    set(response, http::REFUSED, word);
    if let Some(attempt) = echo {
        set(response, http::ATTEMPT, &attempt.to_string());
    }
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    response
        .add_header(name, value, true)
        .expect("a valid header");
}

async fn read(request: &mut Request) -> Option<Seen> {
    let headers: HashMap<String, String> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().expect("text").to_owned()))
        .collect();
    let body = request.payload().await.ok()?.clone();
    let number = |name: &str| headers[name].parse::<u64>().expect("a number");
    Some(Seen {
        method: request.param("method").expect("a method"),
        attempt: number(http::ATTEMPT),
        shard: ShardId(u32::try_from(number(http::SHARD)).expect("a shard")),
        snapshot: headers[http::SNAPSHOT].parse().expect("a snapshot"),
        deadline_ms: number(http::DEADLINE_MS),
        request_id: headers.get(http::REQUEST_ID).cloned(),
        body,
    })
}
