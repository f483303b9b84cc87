//! Starting and stopping processes, and the disks of control machines.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_consensus::{PersistentState, ReplicaId, Status};

use crate::{
    disk::Disk,
    event_queue::Micros,
    network::NodeId,
    processes::{agent::Agent, control::Control, relay::Relay},
    random::Random,
    scenario::Settings,
    world::World,
};

/// One control machine apart from its process.
struct Machine {
    /// The replica that its disk names.
    id: ReplicaId,
    /// The disk, while no process has it.
    disk: Option<Disk>,
    /// When the syncs that were started are done.
    busy_until: Micros,
    /// How fast its ticks come, in thousandths of the usual time between them.
    tick_rate: u64,
}

/// The disks of all control machines.
pub(crate) struct Disks {
    machines: Vec<Machine>,
}

/// Formats every disk and forms the groups of the first members.
pub(crate) fn format_disks(
    settings: &Settings,
    random: &mut Random,
) -> (Disks, BTreeSet<ReplicaId>) {
    let ids: Vec<ReplicaId> = (0..settings.control_machines)
        .map(|_| ReplicaId(random.number()))
        .collect();
    let members: BTreeSet<ReplicaId> = ids.iter().copied().take(settings.first_members).collect();
    let machine = |id: &ReplicaId| {
        let mut disk = Disk::formatted(*id);
        for group in 0..=settings.ledger_groups {
            if members.contains(id) {
                disk.prepare(group, PersistentState::bootstrap(members.clone()));
            }
        }
        let drift = settings.tick_drift;
        Machine {
            id: *id,
            disk: Some(disk),
            busy_until: 0,
            tick_rate: random.between(1_000 - drift, 1_000 + drift),
        }
    };
    let machines = ids.iter().map(machine).collect();
    (Disks { machines }, members)
}

impl Disks {
    pub(crate) fn places(&self) -> BTreeMap<ReplicaId, usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .map(|(place, machine)| (machine.id, place))
            .collect()
    }

    pub(crate) fn tick_rate(&self, machine: usize) -> u64 {
        self.machines[machine].tick_rate
    }

    /// When a sync that starts now is done; the disk does one after the other.
    pub(crate) fn sync_done_at(&mut self, machine: usize, now: Micros, duration: Micros) -> Micros {
        let machine = &mut self.machines[machine];
        machine.busy_until = machine.busy_until.max(now) + duration;
        machine.busy_until
    }
}

impl World {
    /// Stops a process; false if it is stopped already.
    pub(crate) fn stop(&mut self, node: NodeId) -> bool {
        match node {
            NodeId::Control(index) => {
                let Some(control) = self.controls[index].stop() else {
                    return false;
                };
                let mut disk = control.disk;
                disk.crash(&mut self.random);
                self.disks.machines[index].disk = Some(disk);
                true
            }
            NodeId::Relay(index) => self.relays[index].stop().is_some(),
            NodeId::Agent(index) => self.agents[index].stop().is_some(),
            _ => false,
        }
    }

    /// Starts a process, if it is stopped.
    pub(crate) fn start(&mut self, node: NodeId) {
        let machines = self.settings.control_machines;
        match node {
            NodeId::Control(index) => {
                let Some(disk) = self.disks.machines[index].disk.take() else {
                    return;
                };
                let seed = self.random.number();
                let control = Control::start(disk, &self.settings, seed);
                self.controls[index].start(control);
            }
            NodeId::Relay(index) => {
                let process = &mut self.relays[index];
                if process.role.is_some() {
                    return;
                }
                let now_ms = process.clock.monotonic_ms(self.now);
                process.start(Relay::start(index % machines, now_ms));
            }
            NodeId::Agent(index) => {
                let relays = self.settings.relays;
                let process = &mut self.agents[index];
                if process.role.is_some() {
                    return;
                }
                let now_ms = process.clock.monotonic_ms(self.now);
                process.start(Agent::start(index, index % relays, now_ms));
                self.checks.agent_started(index);
            }
            _ => return,
        }
        self.schedule_tick(node);
    }

    /// Freezes a process; false if it does not run.
    pub(crate) fn freeze(&mut self, node: NodeId) -> bool {
        match node {
            NodeId::Control(index) => self.controls[index].freeze(),
            NodeId::Relay(index) => self.relays[index].freeze(),
            NodeId::Agent(index) => self.agents[index].freeze(),
            _ => false,
        }
    }

    /// Lets a frozen process go on with what came in meanwhile.
    pub(crate) fn thaw(&mut self, node: NodeId) {
        let held = match node {
            NodeId::Control(index) => self.controls[index].thaw(),
            NodeId::Relay(index) => self.relays[index].thaw(),
            NodeId::Agent(index) => self.agents[index].thaw(),
            _ => return,
        };
        for input in held {
            self.input(node, input);
        }
    }

    /// Loses a machine's disk: it gets a new one, and the administrator replaces the replica.
    pub(crate) fn replace_disk(&mut self, machine: usize) {
        self.stop(NodeId::Control(machine));
        let id = ReplicaId(self.random.number());
        let lost = std::mem::replace(&mut self.disks.machines[machine].id, id);
        self.disks.machines[machine].disk = Some(Disk::formatted(id));
        self.places.insert(id, machine);
        self.note(|| format!("machine {machine} lost {lost} and is {id} now"));
        if let Some(administrator) = &mut self.administrator.role {
            administrator.wanted.remove(&lost);
            administrator.wanted.insert(id);
        }
    }

    /// Has the administrator add a machine, or take it out.
    pub(crate) fn want(&mut self, machine: usize, is_wanted: bool) {
        let id = self.disks.machines[machine].id;
        let Some(administrator) = &mut self.administrator.role else {
            return;
        };
        match is_wanted {
            true => administrator.wanted.insert(id),
            false => administrator.wanted.remove(&id),
        };
    }

    fn wanted(&self) -> BTreeSet<ReplicaId> {
        let administrator = self.administrator.role.as_ref();
        administrator
            .map(|administrator| administrator.wanted.clone())
            .unwrap_or_default()
    }

    /// The machines that are to be members.
    pub(crate) fn wanted_machines(&self) -> Vec<usize> {
        let wanted = self.wanted();
        let machines = self.disks.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| wanted.contains(&machine.id))
            .map(|(place, _)| place)
            .collect()
    }

    /// The status of a group on every machine whose process is there.
    pub(crate) fn statuses(&self, group: u32) -> Vec<(usize, Status)> {
        let controls = self.controls.iter().enumerate();
        let status = |(place, process): (usize, &crate::process::Process<Control>)| {
            let member = process.role.as_ref()?.group(group)?;
            Some((place, member.replica.status()))
        };
        controls.filter_map(status).collect()
    }

    /// A machine that leads some group.
    pub(crate) fn some_leader(&mut self) -> Option<usize> {
        let group = self
            .random
            .between(0, u64::from(self.settings.ledger_groups)) as u32;
        self.leader_of(group).map(|(place, _)| place)
    }

    /// The leader of a group's latest term, if there is one.
    pub(crate) fn leader_of(&self, group: u32) -> Option<(usize, Status)> {
        let statuses = self.statuses(group);
        let stopped = self.disks.machines.iter();
        let stopped = stopped.filter_map(|machine| machine.disk.as_ref());
        let stopped_term = stopped.map(|disk| disk.read(group).restored.hard_state.term);
        let running_term = statuses.iter().map(|(_, status)| status.term);
        let latest_term = running_term.chain(stopped_term).max()?;
        let leads =
            |status: &Status| status.leader == Some(status.id) && status.term == latest_term;
        statuses.into_iter().find(|(_, status)| leads(status))
    }

    /// Whether every group has exactly the wanted voters, and that is committed.
    pub(crate) fn is_repaired(&self) -> bool {
        let wanted = self.wanted();
        (0..=self.settings.ledger_groups).all(|group| {
            let Some((_, status)) = self.leader_of(group) else {
                return false;
            };
            let is_committed = status.membership_index <= status.commit;
            let has_learners = !status.membership.learners.is_empty();
            is_committed && !has_learners && status.membership.voters == wanted
        })
    }
}
