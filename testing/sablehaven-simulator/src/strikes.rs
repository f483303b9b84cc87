//! Faults that hit a leader right after its election, when the replicas' logs differ most.

use crate::{
    event_queue::{MILLISECOND, Micros},
    faults::{Repair, both_ways},
    network::NodeId,
    world::{Event, World},
};

/// The longest time from an election to the fault that hits the new leader.
const LONGEST_REPRIEVE: Micros = 150 * MILLISECOND;

impl World {
    /// A replica was elected; it may be hit.
    pub(crate) fn strike_new_leader(&mut self, machine: usize) {
        if self.is_calm || !self.random.chance(self.settings.new_leader_strikes) {
            return;
        }
        let leader = NodeId::Control(machine);
        if self.settings.strikes_in_turn {
            self.strike_in_turn(leader);
            return;
        }
        let wait = self.random.between(0, LONGEST_REPRIEVE);
        self.queue.push(self.now + wait, Event::Strike(leader));
    }

    /// Cuts a leader off with a few others; mostly it dies soon after.
    pub(crate) fn strike(&mut self, leader: NodeId) {
        self.note(|| format!("strike: {leader:?}"));
        let companions = self.random.between(0, 2);
        let mut side = vec![leader];
        let mut rest = self.control_nodes();
        rest.retain(|node| *node != leader);
        for _ in 0..companions {
            if !rest.is_empty() {
                side.push(rest.remove(self.random.index(rest.len())));
            }
        }
        self.cut_for_a_while(both_ways(&side, &rest));
        if self.random.chance(700) {
            let wait = self.random.between(0, LONGEST_REPRIEVE);
            self.queue.push(self.now + wait, Event::Stop(leader));
        }
    }

    /// Leads towards the history of figure 8 of the Raft paper: a leader reaches one other replica
    /// only, and both die; the next one reaches nobody and dies; the third, one of the first two,
    /// spreads its old entries and dies before its own are with a quorum; then the second is back.
    fn strike_in_turn(&mut self, leader: NodeId) {
        self.strikes += 1;
        let mut others = self.control_nodes();
        others.retain(|node| *node != leader);
        let now = self.now;
        match self.strikes % 3 {
            1 => {
                let companion = others.remove(self.random.index(others.len()));
                let death = now + self.random.between(60, 250) * MILLISECOND;
                self.cut_until(both_ways(&[leader, companion], &others), death);
                self.absent(leader, death, 900);
                self.absent(companion, death, 900);
            }
            2 => {
                let death = now + self.random.between(20, 100) * MILLISECOND;
                self.cut_until(both_ways(&[leader], &others), death);
                self.absent(leader, death, 1_500);
            }
            _ => {
                let death = now + self.random.between(10, 150) * MILLISECOND;
                self.absent(leader, death, 2_000);
            }
        }
    }

    fn cut_until(&mut self, cuts: Vec<(NodeId, NodeId)>, end: Micros) {
        for (from, to) in &cuts {
            self.network.cut(*from, *to);
        }
        self.queue.push(end, Event::Repair(Repair::Mend(cuts)));
    }

    /// A process dies, and starts again after about so many milliseconds.
    fn absent(&mut self, node: NodeId, death: Micros, about_ms: u64) {
        let absence = self.random.between(about_ms / 2, about_ms) * MILLISECOND;
        self.queue.push(death, Event::Stop(node));
        let back = Event::Repair(Repair::Start(node));
        self.queue.push(death + absence, back);
    }

    /// A process that was struck dies.
    pub(crate) fn stop_struck(&mut self, node: NodeId) {
        self.note(|| format!("stop: {node:?}"));
        if self.settings.strikes_in_turn {
            self.stop(node);
        } else {
            self.stop_for_a_while(node);
        }
    }
}
