//! Sends the load of all regions and records every call.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_history::{CallKind, CallRecord, CallResult, Event, Recorder};
use sablehaven_schema::{DeploymentSchema, MethodSchema};
use sablehaven_types::{CallerId, LedgerKey, Outcome, RegionName, RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    arrivals::Arrivals,
    client::{AgentClient, AgentTarget, Asked},
    load::LoadShape,
    request::RequestMaker,
};
use crate::{clock, methods, replies};

/// Pause before a request that may not be repeated is sent again, unless the answer names one.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause before a resend, whatever the answer names.
const LONGEST_RESEND_PAUSE: Duration = Duration::from_secs(2);

/// A share of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// The service.
    pub service: ServiceName,
    /// The method's name.
    pub method: String,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// Which methods are called, and how often.
pub type CallMix = Vec<MixEntry>;

/// The load of one region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLoad {
    /// The region; its callers call its own agents.
    pub region: RegionName,
    /// How many requests a second.
    pub shape: LoadShape,
}

/// Settings of a driver.
#[derive(Clone, Debug)]
pub struct DriverSettings {
    /// Names the run; ids and requests of other runs differ.
    pub run: String,
    /// Seeds arrivals and choices.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The regions' loads.
    pub loads: Vec<RegionLoad>,
    /// The methods.
    pub mix: CallMix,
    /// How often a request that may not be repeated is sent again while its outcome is not "done".
    pub resends: u32,
    /// Time for each call; `None` leaves it to the methods' own deadlines.
    pub deadline: Option<Duration>,
    /// Elements of each repeated field in back ends' replies.
    pub items: u32,
}

/// Sends requests to agents.
#[derive(Clone)]
pub struct Driver {
    inner: Arc<Inner>,
}

struct Inner {
    settings: DriverSettings,
    methods: Vec<(MethodSchema, u32)>,
    agents: BTreeMap<RegionName, Vec<AgentClient>>,
    recorder: Recorder,
    maker: RequestMaker,
    next_call: AtomicU64,
    next_agent: AtomicUsize,
}

impl Driver {
    /// A driver of these agents. An entry of the mix that the schema does not have is an error.
    pub fn new(
        settings: DriverSettings,
        schema: &DeploymentSchema,
        agents: &[AgentTarget],
        recorder: Recorder,
    ) -> Result<Self, String> {
        let mut methods = Vec::new();
        for MixEntry {
            service,
            method,
            weight,
        } in &settings.mix
        {
            let found = schema.method(service, method);
            let found = found.ok_or_else(|| format!("the schema has no {service}/{method}"))?;
            methods.push((found.clone(), *weight));
        }
        let mut by_region: BTreeMap<RegionName, Vec<AgentClient>> = BTreeMap::new();
        for target in agents {
            let client = AgentClient::new(target.clone()).map_err(|error| error.to_string())?;
            let region = target.placement.region.clone();
            by_region.entry(region).or_default().push(client);
        }
        Ok(Self {
            inner: Arc::new(Inner {
                maker: RequestMaker::new(&settings.run),
                settings,
                methods,
                agents: by_region,
                recorder,
                next_call: AtomicU64::new(1),
                next_agent: AtomicUsize::new(0),
            }),
        })
    }

    /// Calls a restarted agent at its new address from now on.
    pub fn set_address(&self, process: &str, address: SocketAddr) {
        let agents = self.inner.agents.values().flatten();
        let agents = agents.filter(|agent| agent.target().process == process);
        agents.for_each(|agent| agent.set_address(address));
    }

    /// Sends one request besides the load and records the call.
    pub async fn ask_once(&self, asked: &Asked) {
        let region = RegionName::from("");
        if let Some(agent) = self.inner.agents_for(&region).first() {
            let call = self.inner.next_call();
            let record = call_once(agent, asked, call, clock::now()).await;
            self.inner.recorder.record(Event::Call(record));
        }
    }

    /// Sends until the duration has passed or `stop` is cancelled, then waits for the answers.
    pub async fn run(&self, stop: &CancellationToken) {
        let calls = TaskTracker::new();
        let start = Instant::now();
        let start_us = clock::now();
        let regions = (0..self.inner.settings.loads.len())
            .map(|region| self.send_region(region, start, start_us, &calls, stop));
        futures::future::join_all(regions).await;
        calls.close();
        calls.wait().await;
    }

    async fn send_region(
        &self,
        region: usize,
        start: Instant,
        start_us: u64,
        calls: &TaskTracker,
        stop: &CancellationToken,
    ) {
        let settings = &self.inner.settings;
        let load = &settings.loads[region];
        let seed = settings
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(region as u64);
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
        for offset in Arrivals::new(load.shape.clone(), settings.duration, seed) {
            tokio::select! {
                () = sleep_until(start + offset) => {}
                () = stop.cancelled() => return,
            }
            let method = self.inner.draw_method(&mut random);
            let intended_at = start_us + offset.as_micros() as u64;
            let inner = Arc::clone(&self.inner);
            let region = load.region.clone();
            calls.spawn(async move { inner.ask(method, &region, intended_at).await });
        }
    }
}

impl Inner {
    fn draw_method(&self, random: &mut Pcg64Mcg) -> usize {
        let total: u32 = self.methods.iter().map(|(_, weight)| weight).sum();
        let mut drawn = random.random_range(0..total.max(1));
        for (place, (_, weight)) in self.methods.iter().enumerate() {
            if drawn < *weight {
                return place;
            }
            drawn -= weight;
        }
        0
    }

    /// Sends one request; again while it may not be repeated and its outcome is not known, and to
    /// another agent where one cannot be reached.
    async fn ask(&self, method: usize, region: &RegionName, mut intended_at: u64) {
        let Some((method, _)) = self.methods.get(method) else {
            return;
        };
        let mut number = self.next_call();
        let mut asked = self.make(method, region, number);
        let mut resends_left = if asked.once_key.is_some() {
            self.settings.resends
        } else {
            0
        };
        let mut agents = self.agents_for(region).into_iter();
        while let Some(agent) = agents.next() {
            let record = call_once(agent, &asked, number, intended_at).await;
            let next = next_sending(&record.result);
            self.recorder.record(Event::Call(record));
            match next {
                NextSending::None => return,
                NextSending::ElsewhereAtOnce => {}
                NextSending::After(_) if resends_left == 0 => return,
                NextSending::After(pause) => {
                    sleep(pause).await;
                    resends_left -= 1;
                    asked.is_resend = true;
                    intended_at = clock::now();
                    agents = self.agents_for(region).into_iter();
                }
            }
            number = self.next_call();
        }
    }

    fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    fn make(&self, method: &MethodSchema, region: &RegionName, number: u64) -> Asked {
        let caller = CallerId(format!("{}-{region}", self.settings.run));
        let is_once = methods::call_kind(method) == CallKind::Once;
        let once_key = is_once.then(|| LedgerKey {
            caller: caller.clone(),
            request: RequestId(format!("{}-{number}", self.settings.run)),
            issued_at_ms: clock::now_ms(),
        });
        Asked {
            request: self.maker.make(&method.input, number),
            method: method.clone(),
            caller,
            once_key,
            is_resend: false,
            deadline: self.settings.deadline,
            items: self.settings.items,
        }
    }

    /// The agents in the order in which a caller of a region tries them: its own region's in turn,
    /// then the others.
    fn agents_for(&self, region: &RegionName) -> Vec<&AgentClient> {
        let turn = self.next_agent.fetch_add(1, Ordering::Relaxed);
        let mut order: Vec<&AgentClient> = self.agents.get(region).into_iter().flatten().collect();
        if !order.is_empty() {
            let first = turn % order.len();
            order.rotate_left(first);
        }
        let others = self.agents.iter().filter(|(other, _)| *other != region);
        order.extend(others.flat_map(|(_, agents)| agents));
        order
    }
}

async fn call_once(agent: &AgentClient, asked: &Asked, call: u64, intended_at: u64) -> CallRecord {
    let sent_at = clock::now();
    let result = agent.call(asked).await;
    CallRecord {
        call,
        caller: asked.caller.clone(),
        process: agent.target().process.clone(),
        service: asked.method.service.clone(),
        method: asked.method.name.clone(),
        kind: methods::call_kind(&asked.method),
        once_key: asked.once_key.clone(),
        question: replies::question(&asked.request),
        intended_at,
        sent_at,
        finished_at: clock::now(),
        result,
    }
}

/// What a caller does after an answer.
enum NextSending {
    None,
    /// Nothing was sent; another agent may take it.
    ElsewhereAtOnce,
    /// The outcome is not "done"; what may not be repeated is asked for again.
    After(Duration),
}

fn next_sending(result: &CallResult) -> NextSending {
    match result {
        CallResult::NotConnected { .. } => NextSending::ElsewhereAtOnce,
        CallResult::Answered(answer) if answer.outcome == Outcome::Done => NextSending::None,
        CallResult::Answered(answer) => {
            let named = answer.retry_after_ms.map(Duration::from_millis);
            NextSending::After(named.unwrap_or(RESEND_PAUSE).min(LONGEST_RESEND_PAUSE))
        }
        CallResult::Broken { .. } => NextSending::After(RESEND_PAUSE),
    }
}
