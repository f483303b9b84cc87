//! Crowds of clients that do not behave, at the listeners of agents and relays: the process lives, stays within the memory
//! and the descriptors that its settings grant, and still answers ordinary requests.

mod support;

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use sablehaven_harness::{Deployment, Node, until};
use sablehaven_http::{ClientLimits, MachineLimits};
use sablehaven_measurements::footprint::{FootprintWatch, is_alive};
use sablehaven_standins::crowd::{Crowd, Ending, Script};
use serde_json::json;
use support::{RESERVE_PALLET, SEARCH_STOCK, small_plan, start};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of an agent and of a relay, in bytes.
const MEMORY_BYTES: u64 = 128 * 1024 * 1024;
/// Descriptors of an agent and of a relay.
const DESCRIPTORS: usize = 500;
/// Size of the bodies that are not finished, in bytes. An agent accepts up to 1 MiB.
const BODY_BYTES: usize = 1024 * 1024 - 1;
/// Number of clients that send such bodies.
const UPLOADING_CLIENTS: usize = 200;
/// Number of clients whose connections exceed the descriptors of a process.
const CONNECTED_CLIENTS: usize = 700;

/// Held while a test runs: each measures its process apart from other load.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// A process that is watched while a crowd is connected to it.
struct WatchedProcess {
    id: u32,
    http: SocketAddr,
    footprint: FootprintWatch,
}

/// Starts a small deployment whose agents and relays have little memory and few descriptors.
async fn start_with_limits() -> (Deployment, MutexGuard<'static, ()>) {
    let running = RUNNING.lock().await;
    let limits = ClientLimits::for_machine(MachineLimits {
        memory_bytes: MEMORY_BYTES,
        descriptors: DESCRIPTORS as u64,
    });
    let mut plan = small_plan();
    plan.settings.agent.clients = limits.into();
    plan.settings.relay.clients = limits.into();
    (start(plan).await, running)
}

fn watch(node: &Node) -> WatchedProcess {
    let process = node.process().expect("a process");
    let id = process.id().expect("a process id");
    let http = process.addresses().http.expect("an address");
    let IpAddr::V4(ip) = http.ip() else {
        panic!("the address is {http}");
    };
    WatchedProcess {
        id,
        http,
        footprint: FootprintWatch::start(id, ip),
    }
}

impl WatchedProcess {
    /// Checks that the process lives and has stayed within its limits.
    fn check(self) {
        assert!(is_alive(self.id), "the process has ended");
        let footprint = self.footprint.stop();
        println!("{footprint:?}");
        let memory_bytes = footprint.memory_bytes;
        assert!(
            memory_bytes <= MEMORY_BYTES,
            "{memory_bytes} bytes of {MEMORY_BYTES}"
        );
        let descriptors = footprint.descriptors;
        assert!(
            descriptors <= DESCRIPTORS,
            "{descriptors} descriptors of {DESCRIPTORS}"
        );
    }
}

/// Waits until an agent answers an ordinary query.
async fn expect_answer(deployment: &Deployment) {
    until("an ordinary query is answered", || async {
        let caller = deployment.caller(0);
        let answer = caller
            .query(SEARCH_STOCK, &json!({"text": "pasta", "limit": 1}))
            .await;
        let answer = answer.map_err(|error| error.to_string())?;
        let is_done = answer.envelope.outcome == sablehaven_types::Outcome::Done;
        is_done.then_some(()).ok_or(format!("{answer:?}"))
    })
    .await
    .expect("an answer");
}

/// A request whose body stops just short of its end.
fn unfinished(path: &str, framing: &str, body: &[u8]) -> Script {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\n{framing}\r\n\r\n"
    );
    Script {
        writes: vec![Bytes::from(head), Bytes::copy_from_slice(body)],
        ending: Ending::Stay,
    }
}

async fn check_agent(size: usize, script: Script) {
    let (deployment, _running) = start_with_limits().await;
    expect_answer(&deployment).await;
    let watched = watch(&deployment.agents[0]);
    let crowd = Crowd::start(watched.http, size, |_| script.clone());
    crowd.settle().await;
    expect_answer(&deployment).await;
    drop(crowd);
    expect_answer(&deployment).await;
    watched.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_an_agent_stay_within_the_memory() {
    let framing = format!("Content-Length: {}", BODY_BYTES + 1);
    let script = unfinished(SEARCH_STOCK, &framing, &vec![b' '; BODY_BYTES]);
    check_agent(UPLOADING_CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_tiny_chunks_at_an_agent_stay_within_the_memory() {
    let chunk = format!("40\r\n{}\r\n", " ".repeat(0x40));
    let body = chunk.repeat(BODY_BYTES / 0x40);
    let script = unfinished(
        RESERVE_PALLET,
        "Transfer-Encoding: chunked",
        body.as_bytes(),
    );
    check_agent(UPLOADING_CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_an_agent_stay_within_the_descriptors() {
    let script = Script {
        writes: Vec::new(),
        ending: Ending::Stay,
    };
    check_agent(CONNECTED_CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_a_relay_stay_within_the_descriptors() {
    let (deployment, _running) = start_with_limits().await;
    let relay = &deployment.relays[0];
    let watched = watch(relay);
    let internal = relay.process().expect("a process").addresses().internal;
    let idle = |_| Script {
        writes: Vec::new(),
        ending: Ending::Stay,
    };
    let addresses = [watched.http, internal.expect("an address")];
    let crowds = addresses.map(|address| Crowd::start(address, CONNECTED_CLIENTS, idle));
    for crowd in &crowds {
        crowd.settle().await;
    }
    expect_answer(&deployment).await;
    let url = format!("http://{}/health/live", watched.http);
    until("the relay answers", || async {
        let response = reqwest::get(&url)
            .await
            .map_err(|error| error.to_string())?;
        response
            .error_for_status()
            .map_err(|error| error.to_string())
    })
    .await
    .expect("an answer");
    drop(crowds);
    watched.check();
}
