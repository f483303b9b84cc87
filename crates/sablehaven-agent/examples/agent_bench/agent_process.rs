//! The process of one agent with its callers and a scripted relay: runs one load and prints one
//! line of numbers.

use std::{
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use clap::{ArgMatches, Command};
use sablehaven_agent::{Config, Handle, routing::service_router_factory, start_with_policies};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{
    BackendRecord, BackendState, IndexSnapshot, RoutingSettings, ServiceConfiguration,
    ShardAssignment, ShardId,
};
use tokio::{runtime::Runtime, time::sleep_until};

use crate::{
    baseline, children, given, number,
    support::{
        bed::{FIRST, placement},
        caller::Caller,
        relay::{DEPLOYMENT, RelayDouble},
        schema::service,
    },
};

pub const NAME: &str = "agent";

/// Threads of the agent, by which its processor time is told from that of its callers.
const AGENT_THREAD: &str = "bench-agent";
const AGENT_THREADS: usize = 2;

pub fn command() -> Command {
    Command::new(NAME)
        .hide(true)
        .arg(number("replicas", "1", "Replicas of each shard"))
        .arg(number("seconds", "1", "Duration of the measurement"))
        .arg(number("warm-up-seconds", "1", "Load before it"))
        .arg(number("callers", "8", "Callers of a closed loop"))
        .arg(number(
            "queries-per-second",
            "0",
            "Offered load of an open loop; 0 for a closed one",
        ))
        .arg(number("deadline-ms", "20000", "Deadline of a query"))
        .arg(number(
            "baseline",
            "0",
            "1 for a random replica without hedging",
        ))
}

/// What the load has counted.
#[derive(Default)]
struct Load {
    measuring: AtomicBool,
    stopped: AtomicBool,
    queries: AtomicU64,
    answered_shards: AtomicU64,
    latencies: Mutex<Vec<Duration>>,
}

pub fn run(arguments: &ArgMatches) {
    let addresses = children::read_addresses();
    let agent_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(AGENT_THREADS)
        .thread_name(AGENT_THREAD)
        .enable_all()
        .build()
        .expect("a runtime");
    let runtime = Runtime::new().expect("a runtime");
    let relay = runtime.block_on(RelayDouble::start());
    publish(&relay, &addresses, given(arguments, "replicas"));
    let telemetry = Telemetry::new("agent");
    let policies = match given(arguments, "baseline") {
        0 => service_router_factory(),
        _ => baseline::factory(),
    };
    let config = config(&relay);
    let started = agent_runtime.spawn(start_with_policies(config, telemetry.clone(), policies));
    let handle = runtime.block_on(started).expect("runs").expect("starts");
    runtime.block_on(measure(arguments, &handle, &telemetry));
}

/// Prints: queries, seconds, agent's processor seconds, attempts, needed sub-requests, answered
/// shards, connections, resident bytes, then p50, p99 and p99.9 in milliseconds.
async fn measure(arguments: &ArgMatches, handle: &Handle, telemetry: &Telemetry) {
    while !telemetry.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let load = Arc::new(Load::default());
    offer(arguments, handle, &load);
    sleep(given(arguments, "warm-up-seconds")).await;
    let before = (agent_seconds(), attempts(telemetry));
    load.measuring.store(true, Ordering::SeqCst);
    let start = Instant::now();
    sleep(given(arguments, "seconds")).await;
    load.measuring.store(false, Ordering::SeqCst);
    let elapsed = start.elapsed();
    let after = (agent_seconds(), attempts(telemetry));
    load.stopped.store(true, Ordering::SeqCst);
    // What is in flight ends within its deadline; the memory is then that of an idle agent.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let queries = load.queries.load(Ordering::SeqCst);
    let shards = telemetry_shards(arguments, handle);
    let latencies = load.latencies.lock().expect("not poisoned");
    println!(
        "{queries} {} {} {} {} {} {} {} {} {} {}",
        elapsed.as_secs_f64(),
        after.0 - before.0,
        after.1 - before.1,
        queries * shards,
        load.answered_shards.load(Ordering::SeqCst),
        handle.backend_connections(),
        resident_bytes(),
        quantile(&latencies, 0.5),
        quantile(&latencies, 0.99),
        quantile(&latencies, 0.999),
    );
}

fn telemetry_shards(arguments: &ArgMatches, handle: &Handle) -> u64 {
    let connections = u64::try_from(handle.backend_connections()).expect("few");
    connections / given(arguments, "replicas")
}

fn offer(arguments: &ArgMatches, handle: &Handle, load: &Arc<Load>) {
    let address = handle.addresses().http.expect("listens");
    let deadline = Duration::from_millis(given(arguments, "deadline-ms"));
    let rate = given(arguments, "queries-per-second");
    let caller = Caller::new(address);
    if rate > 0 {
        let interval = Duration::from_secs(1) / u32::try_from(rate).expect("a small rate");
        tokio::spawn(open_loop(caller, deadline, interval, Arc::clone(load)));
        return;
    }
    for _ in 0..given(arguments, "callers") {
        tokio::spawn(closed_loop(caller.clone(), deadline, Arc::clone(load)));
    }
}

async fn closed_loop(caller: Caller, deadline: Duration, load: Arc<Load>) {
    while !load.stopped.load(Ordering::SeqCst) {
        ask(&caller, deadline, Instant::now(), &load).await;
    }
}

/// Sends at fixed times whatever the answers do, and counts latency from those times.
async fn open_loop(caller: Caller, deadline: Duration, interval: Duration, load: Arc<Load>) {
    let mut intended = Instant::now();
    while !load.stopped.load(Ordering::SeqCst) {
        let (caller, load, at) = (caller.clone(), Arc::clone(&load), intended);
        tokio::spawn(async move { ask(&caller, deadline, at, &load).await });
        intended += interval;
        sleep_until(intended.into()).await;
    }
}

async fn ask(caller: &Caller, deadline: Duration, intended: Instant, load: &Load) {
    let measured = load.measuring.load(Ordering::SeqCst);
    let answer = caller.search_within("q", deadline).await;
    if !measured {
        return;
    }
    let latency = intended.elapsed();
    let answered = answer
        .envelope
        .coverage
        .map_or(0, |coverage| coverage.answered.len());
    load.queries.fetch_add(1, Ordering::SeqCst);
    let answered = u64::try_from(answered).expect("few shards");
    load.answered_shards.fetch_add(answered, Ordering::SeqCst);
    load.latencies.lock().expect("not poisoned").push(latency);
}

fn publish(relay: &RelayDouble, addresses: &[std::net::SocketAddr], replicas: u64) {
    let ids = (0..addresses.len()).map(|index| format!("backend-{index:04}").into());
    let ids: Vec<sablehaven_types::BackendId> = ids.collect();
    let replicas = usize::try_from(replicas).expect("few");
    let shards = ids
        .chunks(replicas)
        .zip(0..)
        .map(|(ids, shard)| ShardAssignment {
            shard: ShardId(shard),
            replicas: ids.to_vec(),
        });
    let configuration = ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: FIRST,
            shards: shards.collect(),
        },
        routing: RoutingSettings::default(),
    };
    relay.publish(|state| {
        for (id, address) in ids.iter().zip(addresses) {
            let record = BackendRecord {
                id: id.clone(),
                service: service(),
                address: *address,
                placement: placement(),
                state: BackendState::Live,
                incarnation: 1,
            };
            state.backends.insert(id.clone(), record);
        }
        state.services.insert(service(), configuration);
    });
}

fn config(relay: &RelayDouble) -> Config {
    let mut config = Config {
        deployment: DEPLOYMENT.to_owned(),
        http_listen: "127.0.0.1:0".parse().expect("an address"),
        placement: placement(),
        ..Config::default()
    };
    config.subscription.relays = vec![relay.address];
    config
}

fn attempts(telemetry: &Telemetry) -> u64 {
    let text = telemetry.encode_metrics();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("sablehaven_agent_sub_requests_total "));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Time that the agent's threads have run, from the kernel's scheduler statistics.
fn agent_seconds() -> f64 {
    let mut nanoseconds = 0_u64;
    for task in fs::read_dir("/proc/self/task").expect("Linux") {
        let folder = task.expect("a task").path();
        let name = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        if name.trim() != AGENT_THREAD {
            continue;
        }
        let statistics = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        let running = statistics.split(' ').next().unwrap_or_default();
        nanoseconds += running.parse::<u64>().unwrap_or(0);
    }
    nanoseconds as f64 / 1e9
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next());
    let kibibytes: u64 = kibibytes.expect("VmRSS").parse().expect("a number");
    kibibytes * 1024
}

fn quantile(latencies: &[Duration], quantile: f64) -> f64 {
    let mut sorted = latencies.to_vec();
    sorted.sort();
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted
        .get(index)
        .map_or(f64::NAN, |latency| latency.as_secs_f64() * 1e3)
}

async fn sleep(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}
