//! Faults: what goes wrong, for how long, and how it ends.

use crate::{
    event_queue::{MILLISECOND, Micros},
    network::{LinkQuality, NodeId, REGIONS},
    world::{Event, World},
};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control process dies; what it had not synced may be lost.
    StopControl,
    /// The same for a leader.
    StopLeader,
    /// A control process is frozen, and goes on later with what it knew.
    FreezeControl,
    /// The same for a leader.
    FreezeLeader,
    /// A control machine is cut off from everything.
    CutOff,
    /// A leader and one other control machine are cut off from the rest of control.
    CutLeaderOffWithOne,
    /// A leader and a learner of its group are cut off from the rest of control.
    CutLeaderOffWithLearner,
    /// Messages are lost in one direction between a control machine and everything else.
    CutOneWay,
    /// Two control machines are cut from each other.
    CutPair,
    /// A region is cut off from the others.
    CutRegion,
    /// Links lose, repeat and delay many messages.
    BadLinks,
    /// A control machine's disk is lost; it comes back as a new replica.
    LoseDisk,
    /// The number of control machines changes.
    Resize,
    /// A relay dies.
    StopRelay,
    /// A relay is frozen.
    FreezeRelay,
    /// An agent dies.
    StopAgent,
    /// An agent is frozen.
    FreezeAgent,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 17] = [
        Self::StopControl,
        Self::StopLeader,
        Self::FreezeControl,
        Self::FreezeLeader,
        Self::CutOff,
        Self::CutLeaderOffWithOne,
        Self::CutLeaderOffWithLearner,
        Self::CutOneWay,
        Self::CutPair,
        Self::CutRegion,
        Self::BadLinks,
        Self::LoseDisk,
        Self::Resize,
        Self::StopRelay,
        Self::FreezeRelay,
        Self::StopAgent,
        Self::FreezeAgent,
    ];
}

/// How a fault ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// A stopped process starts.
    Start(NodeId),
    /// A frozen process goes on.
    Thaw(NodeId),
    /// Cuts end.
    Mend(Vec<(NodeId, NodeId)>),
    /// The cut of a region ends.
    MendRegion(usize),
    /// The links are as before.
    Links(LinkQuality),
}

impl World {
    /// Lets faults happen, and schedules the next ones.
    pub(crate) fn inject_faults(&mut self) {
        for _ in 0..self.settings.faults_at_once {
            if let Some(fault) = self.settings.draw_fault(&mut self.random) {
                self.inject(fault);
            }
        }
        let usual = self.settings.fault_interval;
        let wait = self.random.between(usual / 4, usual * 2);
        self.queue.push(self.now + wait, Event::Faults);
    }

    fn inject(&mut self, fault: Fault) {
        self.note(|| format!("fault: {fault:?}"));
        let machines = self.settings.control_machines;
        let control = NodeId::Control(self.random.index(machines));
        let relay = NodeId::Relay(self.random.index(self.settings.relays.max(1)));
        let agent = NodeId::Agent(self.random.index(self.settings.agents.max(1)));
        let leader = self.some_leader().map_or(control, NodeId::Control);
        match fault {
            Fault::StopControl => self.stop_for_a_while(control),
            Fault::StopLeader => self.stop_for_a_while(leader),
            Fault::FreezeControl => self.freeze_for_a_while(control),
            Fault::FreezeLeader => self.freeze_for_a_while(leader),
            Fault::StopRelay => self.stop_for_a_while(relay),
            Fault::FreezeRelay => self.freeze_for_a_while(relay),
            Fault::StopAgent => self.stop_for_a_while(agent),
            Fault::FreezeAgent => self.freeze_for_a_while(agent),
            Fault::CutOff => {
                let cuts = both_ways(&[control], &self.other_nodes(&[control]));
                self.cut_for_a_while(cuts);
            }
            Fault::CutOneWay => self.cut_one_way(control),
            Fault::CutPair => {
                let other = NodeId::Control(self.random.index(machines));
                self.cut_for_a_while(both_ways(&[control], &[other]));
            }
            Fault::CutLeaderOffWithOne => self.cut_leader_off_with_one(leader),
            Fault::CutLeaderOffWithLearner => self.cut_leader_off_with_learner(),
            Fault::CutRegion => self.cut_region_for_a_while(),
            Fault::BadLinks => self.spoil_links_for_a_while(),
            Fault::LoseDisk => self.lose_a_disk(),
            Fault::Resize => self.resize(),
        }
    }

    /// How long the next fault lasts: mostly short, sometimes long.
    fn draw_duration(&mut self) -> Micros {
        let longest = self.settings.longest_fault;
        let bound = match self.random.chance(500) {
            true => longest / 8,
            false => longest,
        };
        self.random.between(MILLISECOND, bound)
    }

    fn repair_later(&mut self, repair: Repair) {
        let wait = self.draw_duration();
        self.queue.push(self.now + wait, Event::Repair(repair));
    }

    pub(crate) fn stop_for_a_while(&mut self, node: NodeId) {
        if self.stop(node) {
            self.repair_later(Repair::Start(node));
        }
    }

    fn freeze_for_a_while(&mut self, node: NodeId) {
        if self.freeze(node) {
            self.repair_later(Repair::Thaw(node));
        }
    }

    pub(crate) fn cut_for_a_while(&mut self, cuts: Vec<(NodeId, NodeId)>) {
        for (from, to) in &cuts {
            self.network.cut(*from, *to);
        }
        self.repair_later(Repair::Mend(cuts));
    }

    fn cut_one_way(&mut self, node: NodeId) {
        let others = self.other_nodes(&[node]);
        let is_outward = self.random.chance(500);
        let link = |other: &NodeId| match is_outward {
            true => (node, *other),
            false => (*other, node),
        };
        self.cut_for_a_while(others.iter().map(link).collect());
    }

    fn cut_leader_off_with_one(&mut self, leader: NodeId) {
        let mut others = self.control_nodes();
        others.retain(|node| *node != leader);
        if let Some(companion) = self.random.pick(&others).copied() {
            self.cut_pair_off(leader, companion);
        }
    }

    fn cut_leader_off_with_learner(&mut self) {
        for group in 0..=self.settings.ledger_groups {
            let Some((leader, status)) = self.leader_of(group) else {
                continue;
            };
            let learner = status.membership.learners.first();
            if let Some(place) = learner.and_then(|learner| self.places.get(learner)) {
                self.cut_pair_off(NodeId::Control(leader), NodeId::Control(*place));
                return;
            }
        }
    }

    fn cut_pair_off(&mut self, leader: NodeId, companion: NodeId) {
        let pair = [leader, companion];
        let mut rest = self.control_nodes();
        rest.retain(|node| !pair.contains(node));
        self.cut_for_a_while(both_ways(&pair, &rest));
    }

    fn cut_region_for_a_while(&mut self) {
        let region = self.random.index(REGIONS);
        self.network.cut_region(region);
        if self.settings.time_scale == 1 {
            self.repair_later(Repair::MendRegion(region));
        } else {
            // The one cut of a long run lasts the whole time; the others are skipped.
            let end = self.now + self.settings.longest_fault;
            self.queue
                .push(end, Event::Repair(Repair::MendRegion(region)));
            self.settings.fault_interval = self.settings.fault_time * 4;
        }
    }

    fn spoil_links_for_a_while(&mut self) {
        self.network.quality = LinkQuality {
            loss: 200,
            duplication: 200,
            lateness: 300,
        };
        self.repair_later(Repair::Links(self.settings.links));
    }

    /// The disk of a member is lost, unless an earlier repair is not done: the group survives the
    /// loss of one disk at a time, and the next may come right after the repair.
    fn lose_a_disk(&mut self) {
        if !self.is_repaired() {
            return;
        }
        let members = self.wanted_machines();
        let Some(machine) = self.random.pick(&members).copied() else {
            return;
        };
        self.replace_disk(machine);
        let node = NodeId::Control(machine);
        self.repair_later(Repair::Start(node));
    }

    /// One machine more or less, of those that are there.
    fn resize(&mut self) {
        if !self.is_repaired() {
            return;
        }
        let members = self.wanted_machines();
        let machine = self.random.index(self.settings.control_machines);
        let is_member = members.contains(&machine);
        if is_member && members.len() <= 3 {
            return;
        }
        self.want(machine, !is_member);
    }

    /// Ends a fault.
    pub(crate) fn repair(&mut self, repair: Repair) {
        self.note(|| format!("repair: {repair:?}"));
        match repair {
            Repair::Start(node) => self.start(node),
            Repair::Thaw(node) => self.thaw(node),
            Repair::Mend(cuts) => {
                for (from, to) in cuts {
                    self.network.mend(from, to);
                }
            }
            Repair::MendRegion(region) => self.network.mend_region(region),
            Repair::Links(_) if self.is_calm => {}
            Repair::Links(quality) => self.network.quality = quality,
        }
    }
}

pub(crate) fn both_ways(some: &[NodeId], others: &[NodeId]) -> Vec<(NodeId, NodeId)> {
    let mut links = Vec::new();
    for one in some {
        for other in others {
            links.push((*one, *other));
            links.push((*other, *one));
        }
    }
    links
}
