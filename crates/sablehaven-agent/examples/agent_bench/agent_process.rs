//! Agent process of the benchmark: runs one agent with its callers and a scripted relay under one load,
//! and prints one line of numbers.

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
    baseline, children, numeric_arg, numeric_value,
    support::{
        bed::{FIRST, placement},
        caller::Caller,
        relay::{DEPLOYMENT, RelayDouble},
        schema::service,
    },
};

pub const NAME: &str = "agent";

/// Name of the agent's threads. It separates the processor time of the agent from that of its callers.
const AGENT_THREAD_NAME: &str = "bench-agent";
const AGENT_THREAD_COUNT: usize = 2;

pub fn command() -> Command {
    Command::new(NAME)
        .hide(true)
        .arg(numeric_arg("replicas", "1", "Replicas of each shard"))
        .arg(numeric_arg("seconds", "1", "Duration of the measurement"))
        .arg(numeric_arg(
            "warm-up-seconds",
            "1",
            "Duration of the load before the measurement",
        ))
        .arg(numeric_arg(
            "callers",
            "8",
            "Number of callers in a closed loop",
        ))
        .arg(numeric_arg(
            "queries-per-second",
            "0",
            "Offered load of an open loop; 0 for a closed loop",
        ))
        .arg(numeric_arg("deadline-ms", "20000", "Deadline of a query"))
        .arg(numeric_arg(
            "baseline",
            "0",
            "1 to choose a random replica without hedging",
        ))
}

/// State of the load generator and its counts.
#[derive(Default)]
struct Load {
    is_measuring: AtomicBool,
    is_stopped: AtomicBool,
    queries: AtomicU64,
    answered_shards: AtomicU64,
    latencies: Mutex<Vec<Duration>>,
}

pub fn run(arguments: &ArgMatches) {
    let addresses = children::read_addresses();
    let agent_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(AGENT_THREAD_COUNT)
        .thread_name(AGENT_THREAD_NAME)
        .enable_all()
        .build()
        .expect("a runtime");
    let runtime = Runtime::new().expect("a runtime");
    let relay = runtime.block_on(RelayDouble::start());
    publish_configuration(&relay, &addresses, numeric_value(arguments, "replicas"));
    let telemetry = Telemetry::new("agent");
    let policies = match numeric_value(arguments, "baseline") {
        0 => service_router_factory(),
        _ => baseline::factory(),
    };
    let config = config(&relay);
    let start_task = agent_runtime.spawn(start_with_policies(config, telemetry.clone(), policies));
    let handle = runtime.block_on(start_task).expect("runs").expect("starts");
    runtime.block_on(measure(arguments, &handle, &telemetry));
}

/// Runs the load and prints the measurements: queries, seconds, processor seconds of the agent, attempts,
/// required sub-requests, answered shards, connections, resident bytes, then p50, p99 and p99.9 in milliseconds.
async fn measure(arguments: &ArgMatches, handle: &Handle, telemetry: &Telemetry) {
    while !telemetry.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let load = Arc::new(Load::default());
    start_load(arguments, handle, &load);
    sleep(numeric_value(arguments, "warm-up-seconds")).await;
    let before = (agent_processor_seconds(), sub_request_attempts(telemetry));
    load.is_measuring.store(true, Ordering::SeqCst);
    let start = Instant::now();
    sleep(numeric_value(arguments, "seconds")).await;
    load.is_measuring.store(false, Ordering::SeqCst);
    let elapsed = start.elapsed();
    let after = (agent_processor_seconds(), sub_request_attempts(telemetry));
    load.is_stopped.store(true, Ordering::SeqCst);
    // Requests in flight end within their deadline, so the memory measured afterwards is that of an idle agent.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let queries = load.queries.load(Ordering::SeqCst);
    let shard_count = shard_count(arguments, handle);
    let latencies = load.latencies.lock().expect("not poisoned");
    println!(
        "{queries} {} {} {} {} {} {} {} {} {} {}",
        elapsed.as_secs_f64(),
        after.0 - before.0,
        after.1 - before.1,
        queries * shard_count,
        load.answered_shards.load(Ordering::SeqCst),
        handle.backend_connections(),
        resident_bytes(),
        quantile(&latencies, 0.5),
        quantile(&latencies, 0.99),
        quantile(&latencies, 0.999),
    );
}

fn shard_count(arguments: &ArgMatches, handle: &Handle) -> u64 {
    let connections = u64::try_from(handle.backend_connections()).expect("few");
    connections / numeric_value(arguments, "replicas")
}

fn start_load(arguments: &ArgMatches, handle: &Handle, load: &Arc<Load>) {
    let address = handle.addresses().http.expect("listens");
    let deadline = Duration::from_millis(numeric_value(arguments, "deadline-ms"));
    let rate = numeric_value(arguments, "queries-per-second");
    let caller = Caller::new(address);
    if rate > 0 {
        let interval = Duration::from_secs(1) / u32::try_from(rate).expect("a small rate");
        tokio::spawn(open_loop(caller, deadline, interval, Arc::clone(load)));
        return;
    }
    for _ in 0..numeric_value(arguments, "callers") {
        tokio::spawn(closed_loop(caller.clone(), deadline, Arc::clone(load)));
    }
}

async fn closed_loop(caller: Caller, deadline: Duration, load: Arc<Load>) {
    while !load.is_stopped.load(Ordering::SeqCst) {
        send_query(&caller, deadline, Instant::now(), &load).await;
    }
}

/// Sends queries at fixed times, independently of the answers, and measures the latency from those times.
async fn open_loop(caller: Caller, deadline: Duration, interval: Duration, load: Arc<Load>) {
    let mut scheduled = Instant::now();
    while !load.is_stopped.load(Ordering::SeqCst) {
        let (caller, load, send_time) = (caller.clone(), Arc::clone(&load), scheduled);
        tokio::spawn(async move { send_query(&caller, deadline, send_time, &load).await });
        scheduled += interval;
        sleep_until(scheduled.into()).await;
    }
}

async fn send_query(caller: &Caller, deadline: Duration, scheduled: Instant, load: &Load) {
    let is_measured = load.is_measuring.load(Ordering::SeqCst);
    let answer = caller.search_with_deadline("q", deadline).await;
    if !is_measured {
        return;
    }
    let latency = scheduled.elapsed();
    let answered = answer
        .envelope
        .coverage
        .map_or(0, |coverage| coverage.answered.len());
    load.queries.fetch_add(1, Ordering::SeqCst);
    let answered = u64::try_from(answered).expect("few shards");
    load.answered_shards.fetch_add(answered, Ordering::SeqCst);
    load.latencies.lock().expect("not poisoned").push(latency);
}

fn publish_configuration(
    relay: &RelayDouble,
    addresses: &[std::net::SocketAddr],
    replicas_per_shard: u64,
) {
    let ids = (0..addresses.len()).map(|index| format!("backend-{index:04}").into());
    let ids: Vec<sablehaven_types::BackendId> = ids.collect();
    let replicas_per_shard = usize::try_from(replicas_per_shard).expect("few");
    let shards = ids
        .chunks(replicas_per_shard)
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

fn sub_request_attempts(telemetry: &Telemetry) -> u64 {
    let text = telemetry.encode_metrics();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("sablehaven_agent_sub_requests_total "));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Processor time of the agent's threads, from the scheduler statistics of the kernel.
fn agent_processor_seconds() -> f64 {
    let mut nanoseconds = 0_u64;
    for task in fs::read_dir("/proc/self/task").expect("Linux") {
        let directory = task.expect("a task").path();
        let name = fs::read_to_string(directory.join("comm")).unwrap_or_default();
        if name.trim() != AGENT_THREAD_NAME {
            continue;
        }
        let statistics = fs::read_to_string(directory.join("schedstat")).unwrap_or_default();
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
