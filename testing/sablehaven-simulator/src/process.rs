//! A simulated process: its clock, its restarts and freezes, and what it may touch.

use std::collections::{BTreeMap, VecDeque};

use sablehaven_consensus::ReplicaId;

use crate::{
    checks::Checks,
    event_queue::{MILLISECOND, Micros},
    network::NodeId,
    packet::Packet,
    random::Random,
    scenario::Settings,
};

/// The Unix time at which every run starts, in milliseconds.
const START_OF_RUN_MS: u64 = 1_700_000_000_000;

/// Messages that wait for a frozen process; the network drops further ones.
const HELD_LIMIT: usize = 2_000;

/// A process's own idea of time.
#[derive(Clone, Copy, Debug)]
pub struct LocalClock {
    /// Its speed, in thousandths of the true one.
    pub rate_per_mille: u64,
    /// How far its Unix time is ahead at the start of the run, in milliseconds.
    pub ahead_ms: u64,
}

impl LocalClock {
    /// Its monotonic time, in milliseconds.
    pub fn monotonic_ms(&self, now: Micros) -> u64 {
        now * self.rate_per_mille / 1_000 / MILLISECOND
    }

    /// Its Unix time, in milliseconds.
    pub fn unix_ms(&self, now: Micros) -> u64 {
        START_OF_RUN_MS + self.ahead_ms + self.monotonic_ms(now)
    }
}

/// What happens to a process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Its regular tick.
    Tick,
    /// A message.
    Packet {
        /// The sender.
        from: NodeId,
        /// The message.
        packet: Packet,
    },
    /// The sync with this number is done (control only).
    Synced(u64),
}

/// What a process asks of the world.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to be sent, in order.
    pub packets: Vec<(NodeId, Packet)>,
    /// Syncs that were started (control only).
    pub syncs: Vec<u64>,
}

/// What a process may use while it handles an input.
pub struct Context<'world> {
    /// True time; for the checkers only.
    pub now: Micros,
    /// The process's own monotonic time, in milliseconds.
    pub local_ms: u64,
    /// The process's own Unix time, in milliseconds.
    pub unix_ms: u64,
    /// The run's generator.
    pub random: &'world mut Random,
    /// The run's checkers.
    pub checks: &'world mut Checks,
    /// The run's settings.
    pub settings: &'world Settings,
    /// Where each replica is; stands for the address book that the real processes keep.
    pub places: &'world BTreeMap<ReplicaId, usize>,
    /// What the process asks for.
    pub effects: &'world mut Effects,
}

impl Context<'_> {
    /// A period or timeout in this run's scale, in milliseconds.
    pub fn scaled(&self, ms: u64) -> u64 {
        ms * self.settings.time_scale
    }

    /// Sends a message.
    pub fn send(&mut self, to: NodeId, packet: Packet) {
        self.effects.packets.push((to, packet));
    }
}

/// The part of a process that differs between the roles.
pub trait Role {
    /// Handles one input.
    fn handle(&mut self, context: &mut Context<'_>, input: Input);
}

/// The shell of a process.
pub struct Process<R> {
    /// The running process; none while it is stopped.
    pub role: Option<R>,
    /// Counts the starts; events meant for an earlier one are dropped.
    pub generation: u64,
    /// Its clock.
    pub clock: LocalClock,
    is_frozen: bool,
    held: VecDeque<Input>,
}

impl<R: Role> Process<R> {
    /// A running process.
    pub fn new(role: R, clock: LocalClock) -> Self {
        Self {
            role: Some(role),
            ..Self::stopped(clock)
        }
    }

    /// A process that is not started yet.
    pub fn stopped(clock: LocalClock) -> Self {
        Self {
            role: None,
            generation: 0,
            clock,
            is_frozen: false,
            held: VecDeque::new(),
        }
    }

    /// Stops it: its memory is lost.
    pub fn stop(&mut self) -> Option<R> {
        self.is_frozen = false;
        self.held.clear();
        self.generation += 1;
        self.role.take()
    }

    /// Starts it anew.
    pub fn start(&mut self, role: R) {
        self.generation += 1;
        self.role = Some(role);
    }

    /// Freezes it: it handles nothing and does not notice. False if it does not run.
    pub fn freeze(&mut self) -> bool {
        let was_running = self.role.is_some() && !self.is_frozen;
        self.is_frozen |= was_running;
        was_running
    }

    /// Lets it go on; returns what came in meanwhile.
    pub fn thaw(&mut self) -> VecDeque<Input> {
        self.is_frozen = false;
        std::mem::take(&mut self.held)
    }

    /// Handles an input, or holds it while frozen. Ticks that a frozen process misses do not come
    /// later.
    pub fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        if self.is_frozen {
            let is_tick = matches!(input, Input::Tick);
            if !is_tick && self.held.len() < HELD_LIMIT {
                self.held.push_back(input);
            }
            return;
        }
        if let Some(role) = &mut self.role {
            role.handle(context, input);
        }
    }
}
