//! The simulated deployment: processes, links and time.

use std::collections::BTreeMap;

use sablehaven_consensus::ReplicaId;

use crate::{
    checks::{Checks, Violation},
    event_queue::{EventQueue, MILLISECOND, Micros},
    faults::Repair,
    network::{Network, NodeId},
    packet::Packet,
    process::{Context, Effects, Input, LocalClock, Process, Role},
    processes::{
        administrator::Administrator, agent::Agent, backends::Backends, caller::Caller,
        control::Control, operator::Operator, relay::Relay,
    },
    random::Random,
    scenario::Settings,
    trace::Trace,
};

/// Time between two ticks of a control process.
const CONTROL_TICK: Micros = 50 * MILLISECOND;

/// The longest sync once all faults are gone.
const CALM_SYNC: Micros = 5 * MILLISECOND;

/// Time between two ticks of any other process.
const TICK: Micros = 50 * MILLISECOND;

/// What happens next.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrives.
    Arrival {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
        /// The message.
        packet: Packet,
    },
    /// A process's tick.
    Tick {
        /// The process.
        node: NodeId,
        /// Its start that the tick is meant for.
        generation: u64,
    },
    /// A sync is done.
    Synced {
        /// The control machine.
        machine: usize,
        /// The process's start that began the sync.
        generation: u64,
        /// The sync.
        batch: u64,
    },
    /// Faults happen.
    Faults,
    /// A leader that was just elected is hit by a fault.
    Strike(NodeId),
    /// A leader that was cut off with few others dies.
    Stop(NodeId),
    /// A fault ends.
    Repair(Repair),
    /// All faults end.
    Calm,
    /// The run ends.
    End,
}

/// A run.
pub struct World {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Micros,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) network: Network,
    pub(crate) checks: Checks,
    pub(crate) trace: Trace,
    /// Where each replica is.
    pub(crate) places: BTreeMap<ReplicaId, usize>,
    pub(crate) controls: Vec<Process<Control>>,
    pub(crate) disks: crate::control_machines::Disks,
    pub(crate) relays: Vec<Process<Relay>>,
    pub(crate) agents: Vec<Process<Agent>>,
    operators: Vec<Process<Operator>>,
    callers: Vec<Process<Caller>>,
    backends: Process<Backends>,
    pub(crate) administrator: Process<Administrator>,
    pub(crate) is_calm: bool,
    /// Leaders that were hit so far.
    pub(crate) strikes: u64,
}

impl World {
    /// The deployment at the start of a run.
    pub fn new(settings: Settings, mut random: Random, trace: Trace) -> Self {
        let clocks = |count: usize, random: &mut Random| -> Vec<LocalClock> {
            (0..count).map(|_| draw_clock(&settings, random)).collect()
        };
        let control_clocks = clocks(settings.control_machines, &mut random);
        let relay_clocks = clocks(settings.relays, &mut random);
        let agent_clocks = clocks(settings.agents, &mut random);
        let operator_clocks = clocks(settings.operators, &mut random);
        let caller_clocks = clocks(settings.callers, &mut random);
        let other_clocks = clocks(2, &mut random);
        let (disks, wanted) = crate::control_machines::format_disks(&settings, &mut random);
        let places = disks.places();
        let administrator =
            Administrator::start(wanted, settings.removes_first, settings.transfers);
        let machines = settings.control_machines;
        let mut world = Self {
            checks: Checks::new(settings.longest_lease()),
            now: 0,
            queue: EventQueue::default(),
            network: Network::default(),
            trace,
            places,
            controls: control_clocks.into_iter().map(stopped).collect(),
            disks,
            relays: relay_clocks.into_iter().map(stopped).collect(),
            agents: agent_clocks.into_iter().map(stopped).collect(),
            operators: numbered(operator_clocks, |index| {
                Operator::start(index, index % machines)
            }),
            callers: numbered(caller_clocks, Caller::start),
            backends: Process::new(Backends, other_clocks[0]),
            administrator: Process::new(administrator, other_clocks[1]),
            is_calm: false,
            strikes: 0,
            settings,
            random,
        };
        world.network.quality = world.settings.links;
        world.start_everything();
        world
    }

    fn start_everything(&mut self) {
        for node in self.restartable_nodes() {
            self.start(node);
        }
        let settings = &self.settings;
        let others = (0..settings.operators)
            .map(NodeId::Operator)
            .chain((0..settings.callers).map(NodeId::Caller))
            .chain([NodeId::Administrator]);
        for node in others.collect::<Vec<_>>() {
            self.schedule_tick(node);
        }
        let fault_time = self.settings.fault_time;
        self.queue.push(self.settings.fault_interval, Event::Faults);
        self.queue.push(fault_time, Event::Calm);
        self.queue
            .push(fault_time + self.settings.calm_time, Event::End);
    }

    /// Runs to the end, or to the first violation.
    pub fn run(&mut self) -> Option<Violation> {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            match event {
                Event::End => {
                    self.check_progress();
                    break;
                }
                event => self.handle(event),
            }
            if self.checks.violation().is_some() {
                break;
            }
        }
        self.checks.violation().cloned()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { from, to, packet } => {
                if self.network.is_cut(from, to) {
                    return;
                }
                self.note(|| format!("{from:?} -> {to:?}: {packet:?}"));
                self.input(to, Input::Packet { from, packet });
            }
            Event::Tick { node, generation } => {
                if self.generation(node) == generation {
                    self.input(node, Input::Tick);
                    self.schedule_tick(node);
                }
            }
            Event::Synced {
                machine,
                generation,
                batch,
            } => self.synced(machine, generation, batch),
            Event::Faults if self.is_calm => {}
            Event::Faults => self.inject_faults(),
            Event::Strike(_) | Event::Stop(_) if self.is_calm => {}
            Event::Stop(leader) => self.stop_struck(leader),
            Event::Strike(leader) => self.strike(leader),
            Event::Repair(repair) => self.repair(repair),
            Event::Calm => self.calm(),
            Event::End => {}
        }
    }

    /// Ends every fault.
    fn calm(&mut self) {
        self.note(|| "calm".to_owned());
        self.is_calm = true;
        self.network.heal();
        if let Some(administrator) = &mut self.administrator.role {
            administrator.transfers = false;
        }
        for node in self.restartable_nodes() {
            self.thaw(node);
            self.start(node);
        }
    }

    fn synced(&mut self, machine: usize, generation: u64, batch: u64) {
        let process = &mut self.controls[machine];
        if process.generation != generation {
            return;
        }
        // The disk works on while the process is frozen.
        if let Some(role) = &mut process.role {
            role.disk.synced(batch);
        }
        self.input(NodeId::Control(machine), Input::Synced(batch));
    }

    /// Hands an input to a process and does what it asks for.
    pub(crate) fn input(&mut self, node: NodeId, input: Input) {
        let mut effects = Effects::default();
        let terms = self.checks.counts.terms;
        self.handle_input(node, input, &mut effects);
        if let NodeId::Control(machine) = node
            && self.checks.counts.terms > terms
        {
            self.strike_new_leader(machine);
        }
        for (to, packet) in effects.packets {
            self.send(node, to, packet);
        }
        if let NodeId::Control(machine) = node {
            for batch in effects.syncs {
                self.start_sync(machine, batch);
            }
        }
    }

    fn handle_input(&mut self, node: NodeId, input: Input, effects: &mut Effects) {
        let Some(clock) = self.clock(node) else {
            return;
        };
        let mut context = Context {
            now: self.now,
            local_ms: clock.monotonic_ms(self.now),
            unix_ms: clock.unix_ms(self.now),
            random: &mut self.random,
            checks: &mut self.checks,
            settings: &self.settings,
            places: &self.places,
            effects,
        };
        match node {
            NodeId::Control(index) => self.controls[index].handle(&mut context, input),
            NodeId::Relay(index) => self.relays[index].handle(&mut context, input),
            NodeId::Agent(index) => self.agents[index].handle(&mut context, input),
            NodeId::Operator(index) => self.operators[index].handle(&mut context, input),
            NodeId::Caller(index) => self.callers[index].handle(&mut context, input),
            NodeId::Administrator => self.administrator.handle(&mut context, input),
            NodeId::Backends => self.backends.handle(&mut context, input),
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        for delay in self.network.delays(&mut self.random, from, to) {
            let packet = packet.clone();
            self.queue
                .push(self.now + delay, Event::Arrival { from, to, packet });
        }
    }

    fn start_sync(&mut self, machine: usize, batch: u64) {
        let longest = match self.is_calm {
            true => self.settings.longest_sync.min(CALM_SYNC),
            false => self.settings.longest_sync,
        };
        let mut duration = self.random.between(longest / 10, longest);
        if !self.is_calm && self.random.chance(self.settings.sync_stalls) {
            duration *= 20;
        }
        let done = self.disks.sync_done_at(machine, self.now, duration);
        let event = Event::Synced {
            machine,
            generation: self.controls[machine].generation,
            batch,
        };
        self.queue.push(done, event);
    }

    pub(crate) fn schedule_tick(&mut self, node: NodeId) {
        let (period, drift) = match node {
            NodeId::Control(index) => (CONTROL_TICK, self.disks.tick_rate(index)),
            _ => (TICK, 1_000),
        };
        let wait = period * self.settings.time_scale * drift / 1_000;
        let generation = self.generation(node);
        self.queue
            .push(self.now + wait, Event::Tick { node, generation });
    }

    fn generation(&self, node: NodeId) -> u64 {
        match node {
            NodeId::Control(index) => self.controls[index].generation,
            NodeId::Relay(index) => self.relays[index].generation,
            NodeId::Agent(index) => self.agents[index].generation,
            _ => 0,
        }
    }

    fn clock(&self, node: NodeId) -> Option<LocalClock> {
        match node {
            NodeId::Control(index) => self.controls.get(index).map(|process| process.clock),
            NodeId::Relay(index) => self.relays.get(index).map(|process| process.clock),
            NodeId::Agent(index) => self.agents.get(index).map(|process| process.clock),
            NodeId::Operator(index) => self.operators.get(index).map(|process| process.clock),
            NodeId::Caller(index) => self.callers.get(index).map(|process| process.clock),
            NodeId::Administrator => Some(self.administrator.clock),
            NodeId::Backends => Some(self.backends.clock),
        }
    }

    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        self.trace.add(self.now, line);
    }

    pub(crate) fn control_nodes(&self) -> Vec<NodeId> {
        (0..self.settings.control_machines)
            .map(NodeId::Control)
            .collect()
    }

    /// Control, relays and agents: the processes that faults stop.
    pub(crate) fn restartable_nodes(&self) -> Vec<NodeId> {
        let mut nodes = self.control_nodes();
        nodes.extend((0..self.settings.relays).map(NodeId::Relay));
        nodes.extend((0..self.settings.agents).map(NodeId::Agent));
        nodes
    }

    pub(crate) fn other_nodes(&self, some: &[NodeId]) -> Vec<NodeId> {
        let mut nodes = self.restartable_nodes();
        nodes.extend((0..self.settings.operators).map(NodeId::Operator));
        nodes.retain(|node| !some.contains(node));
        nodes
    }
}

fn draw_clock(settings: &Settings, random: &mut Random) -> LocalClock {
    let drift = settings.clock_drift;
    LocalClock {
        rate_per_mille: random.between(1_000 - drift, 1_000 + drift),
        ahead_ms: random.between(0, 500),
    }
}

fn stopped<R: Role>(clock: LocalClock) -> Process<R> {
    Process::stopped(clock)
}

fn numbered<R: Role>(clocks: Vec<LocalClock>, start: impl Fn(usize) -> R) -> Vec<Process<R>> {
    let processes = clocks.into_iter().enumerate();
    processes
        .map(|(index, clock)| Process::new(start(index), clock))
        .collect()
}
