//! The faults that are injected: which ones are possible at a step, and what they do.

use crate::effects::{Effects, with_effects};
use crate::scenario::{LAST_FAULT, LEASE, N, index_of};
use crate::world::{Event, World};
use quillmount_policy::Micros;

/// When a killed courier restarts, and with which folder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restart {
    /// Before its lease expires.
    WithinLease,
    AfterLease,
    WithinLeaseEmpty,
    AfterLeaseEmpty,
    AtTheEnd,
}

/// A fault in place of a step, or before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process dies in this step, before that effect.
    Kill(usize, u32, Restart),
    Lose,
    Delayed,
    Cut(usize, usize),
    Isolate(usize),
    Pause(usize),
    PauseApply(usize),
    Depose,
}

impl World<'_> {
    /// Whether the fleet has to survive the loss of this folder: not if it has the only copy of a journal.
    pub fn survives_folder_loss(&self, i: usize) -> bool {
        self.state.journals.iter().filter(|(_, b)| b.version > 0).all(|(id, b)| {
            let at_another = b.replicas.iter().any(|host| index_of(host) != i);
            at_another || b.sealed.is_none() && index_of(&id.owner) != i
        })
    }

    /// The faults that are injected in place of this step, which has so many effects.
    pub fn faults(&self, event: &Event, (effects, matters): (u32, bool)) -> Vec<Fault> {
        let mut faults = Vec::new();
        if let Event::Deliver { from, to, .. } = event {
            faults.push(Fault::Cut(*from, *to));
        }
        if !matters || self.now > self.first_message_at + LAST_FAULT {
            faults.retain(self.scenario.only);
            return faults;
        }
        if let Some(i) = self.process_of(event).filter(|i| self.is_running(*i)) {
            use Restart::{AfterLease, AfterLeaseEmpty, AtTheEnd, WithinLease, WithinLeaseEmpty};
            for after in 0..=effects {
                for restart in [WithinLease, AfterLease, WithinLeaseEmpty, AfterLeaseEmpty, AtTheEnd] {
                    let empty = matches!(restart, WithinLeaseEmpty | AfterLeaseEmpty);
                    if !empty || !self.lost_folder && self.survives_folder_loss(i) {
                        faults.push(Fault::Kill(i, after, restart));
                    }
                }
            }
            faults.extend([Fault::Pause(i), Fault::Isolate(i), Fault::PauseApply(i)]);
        }
        if matches!(event, Event::Deliver { .. }) {
            faults.extend([Fault::Lose, Fault::Delayed]);
        }
        faults.push(Fault::Depose);
        faults.retain(self.scenario.only);
        faults
    }

    pub fn inject(&mut self, fault: Fault, next: (Micros, u64, Event)) {
        self.now = self.now.max(next.0);
        match fault {
            Fault::Kill(i, after, restart) => {
                self.process(next, Some(after));
                self.processes[i] = None;
                if matches!(restart, Restart::WithinLeaseEmpty | Restart::AfterLeaseEmpty) {
                    self.disks[i].clear();
                    self.lost_folder = true;
                }
                match restart {
                    Restart::WithinLease | Restart::WithinLeaseEmpty => self.at(LEASE / 4, Event::Start(i)),
                    Restart::AfterLease | Restart::AfterLeaseEmpty => self.at(LEASE * 2, Event::Start(i)),
                    Restart::AtTheEnd => {}
                }
            }
            Fault::Lose => drop(self.queue.remove(&(next.0, next.1))),
            Fault::Delayed => {
                self.queue.remove(&(next.0, next.1));
                self.at(LEASE * 6 / 5, next.2);
            }
            Fault::Cut(a, b) => drop(self.cut.insert((a, b))),
            Fault::Isolate(i) => (0..N).filter(|j| *j != i).for_each(|j| self.cut.extend([(i, j), (j, i)])),
            Fault::Pause(i) => {
                let now = self.now;
                if let Some(p) = &mut self.processes[i] {
                    (p.paused, p.stale_clock) = (true, Some(now));
                }
                self.at(LEASE * 3 / 2, Event::Resume(i));
            }
            Fault::PauseApply(i) => {
                let until = self.now + LEASE * 3 / 2;
                if let Some(p) = &mut self.processes[i] {
                    p.apply_paused_until = until;
                }
            }
            Fault::Depose => {
                let disks = std::mem::take(&mut self.disks);
                with_effects(|h| *h = Effects { disks, ..Effects::default() });
                self.elect(true);
                self.disks = with_effects(std::mem::take).disks;
            }
        }
        if !self.reaches_majority(self.leader) {
            self.at(LEASE / 2, Event::Elect);
        }
    }
}
