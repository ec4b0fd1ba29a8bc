//! The injected faults: the ones that are possible at a step, and their effects.

use crate::effects::{Effects, with_effects};
use crate::scenario::{COURIER_COUNT, LAST_FAULT_AFTER, LEASE, index_of};
use crate::world::{Event, World};
use quillmount_policy::Micros;

/// When a killed courier restarts, and whether its data directory is empty then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restart {
    /// The courier restarts before its lease expires.
    WithinLease,
    AfterLease,
    WithinLeaseEmpty,
    AfterLeaseEmpty,
    AfterHealing,
}

/// A fault that replaces a step or precedes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process of the courier is killed in this step, before the effect with this number.
    Kill(usize, u32, Restart),
    LoseMessage,
    DelayMessage,
    CutLink(usize, usize),
    Isolate(usize),
    Pause(usize),
    PauseApply(usize),
    DeposeLeader,
}

impl World<'_> {
    /// Whether the fleet has to survive the loss of this data directory. It does not if the directory has the only
    /// copy of a journal.
    pub fn survives_folder_loss(&self, i: usize) -> bool {
        self.state.journals.iter().filter(|(_, journal)| journal.version > 0).all(|(id, journal)| {
            let has_other_replica = journal.replicas.iter().any(|host| index_of(host) != i);
            has_other_replica || journal.sealed.is_none() && index_of(&id.owner) != i
        })
    }

    /// The faults that are injected in place of this step, which has the given number of effects.
    pub fn faults(&self, event: &Event, (effects, significant): (u32, bool)) -> Vec<Fault> {
        let mut faults = Vec::new();
        if let Event::Deliver { from, to, .. } = event {
            faults.push(Fault::CutLink(*from, *to));
        }
        if !significant || self.now > self.first_message_at + LAST_FAULT_AFTER {
            faults.retain(self.scenario.fault_filter);
            return faults;
        }
        if let Some(i) = self.process_of(event).filter(|i| self.is_running(*i)) {
            use Restart::{AfterHealing, AfterLease, AfterLeaseEmpty, WithinLease, WithinLeaseEmpty};
            for after in 0..=effects {
                for restart in [WithinLease, AfterLease, WithinLeaseEmpty, AfterLeaseEmpty, AfterHealing] {
                    let empty = matches!(restart, WithinLeaseEmpty | AfterLeaseEmpty);
                    if !empty || !self.lost_folder && self.survives_folder_loss(i) {
                        faults.push(Fault::Kill(i, after, restart));
                    }
                }
            }
            faults.extend([Fault::Pause(i), Fault::Isolate(i), Fault::PauseApply(i)]);
        }
        if matches!(event, Event::Deliver { .. }) {
            faults.extend([Fault::LoseMessage, Fault::DelayMessage]);
        }
        faults.push(Fault::DeposeLeader);
        faults.retain(self.scenario.fault_filter);
        faults
    }

    pub fn inject(&mut self, fault: Fault, next: (Micros, u64, Event)) {
        self.now = self.now.max(next.0);
        match fault {
            Fault::Kill(i, after, restart) => {
                self.process_event(next, Some(after));
                self.processes[i] = None;
                if matches!(restart, Restart::WithinLeaseEmpty | Restart::AfterLeaseEmpty) {
                    self.disks[i].clear();
                    self.lost_folder = true;
                }
                match restart {
                    Restart::WithinLease | Restart::WithinLeaseEmpty => {
                        self.schedule(LEASE / 4, Event::Start(i));
                    }
                    Restart::AfterLease | Restart::AfterLeaseEmpty => {
                        self.schedule(LEASE * 2, Event::Start(i));
                    }
                    Restart::AfterHealing => {}
                }
            }
            Fault::LoseMessage => drop(self.queue.remove(&(next.0, next.1))),
            Fault::DelayMessage => {
                self.queue.remove(&(next.0, next.1));
                self.schedule(LEASE * 6 / 5, next.2);
            }
            Fault::CutLink(a, b) => drop(self.cut_links.insert((a, b))),
            Fault::Isolate(i) => {
                (0..COURIER_COUNT).filter(|j| *j != i).for_each(|j| self.cut_links.extend([(i, j), (j, i)]));
            }
            Fault::Pause(i) => {
                let now = self.now;
                if let Some(p) = &mut self.processes[i] {
                    (p.paused, p.stale_clock) = (true, Some(now));
                }
                self.schedule(LEASE * 3 / 2, Event::Resume(i));
            }
            Fault::PauseApply(i) => {
                let until = self.now + LEASE * 3 / 2;
                if let Some(p) = &mut self.processes[i] {
                    p.apply_paused_until = until;
                }
            }
            Fault::DeposeLeader => {
                let disks = std::mem::take(&mut self.disks);
                with_effects(|effects| *effects = Effects { disks, ..Effects::default() });
                self.elect(true);
                self.disks = with_effects(std::mem::take).disks;
            }
        }
        if !self.reaches_majority(self.leader) {
            self.schedule(LEASE / 2, Event::Elect);
        }
    }
}
