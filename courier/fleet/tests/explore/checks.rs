//! The properties that are checked: at each step, and at the end of a path.

use crate::scenario::{END, N, index_of, name};
use crate::world::World;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_fleet::state::{Epoch, PartitionState, partition_of};
use std::collections::BTreeMap;

impl World<'_> {
    /// Notes which attempts are in replicas before a seal, and checks that nothing follows a seal.
    pub fn check_replicas(&mut self) {
        for (i, disk) in self.disks.iter().enumerate() {
            for (file, bytes) in disk.iter().filter(|(file, _)| file.starts_with("copy.")) {
                let owner = file.rsplit('.').next().unwrap_or_default().to_string();
                let seal = journal::frame(&JournalRecord::Sealed).unwrap().len();
                let end = Records::new(bytes).enumerate().find(|(_, (_, r))| *r == JournalRecord::Sealed);
                if end.as_ref().is_some_and(|(_, (at, _))| at + seal < bytes.len()) {
                    let what = format!("sealed: {}'s copy {file} takes more", name(i));
                    self.violation.get_or_insert(what);
                }
                let end = end.map(|(n, _)| n);
                let mut ids = BTreeMap::new();
                let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
                for (_, record) in Records::new(bytes).take(end.unwrap_or(usize::MAX)) {
                    match record {
                        JournalRecord::Accept { msg, message } => drop(ids.insert(msg, message.id)),
                        JournalRecord::Attempt { msg, .. } => {
                            *attempts.entry(ids.get(&msg).cloned().unwrap_or_default()).or_default() += 1;
                        }
                        _ => {}
                    }
                }
                for (id, n) in attempts {
                    let best = self.observed.recorded.entry((owner.clone(), id)).or_default();
                    *best = n.max(*best);
                }
            }
        }
    }

    /// Checks that each serving courier that is agreed to have a replica has all messages that were accepted and have not
    /// ended.
    pub fn check_replica_hosts(&mut self) {
        let owed: Vec<_> =
            self.observed.accepted.iter().filter(|id| !self.observed.ends.contains(*id)).collect();
        let Some(journal_state) = self.state.journals.iter().find(|(id, b)| {
            id.owner == name(self.scenario.owner)
                && b.version > 0
                && b.lineage == id.epoch
                && b.lineage <= N as Epoch
        }) else {
            return;
        };
        let not_adopted = |n: usize| match &journal_state.1.sealed {
            Some(parts) => matches!(
                parts[partition_of(self.scenario.messages[n].0)],
                PartitionState::Unassigned | PartitionState::Assigned(..)
            ),
            None => true,
        };
        for (id, n) in owed.into_iter().map(|id| (id, id[1..].parse::<usize>().unwrap())) {
            for host in journal_state.1.replicas.iter().map(|host| index_of(host)).filter(|_| not_adopted(n))
            {
                let Some(p) = &self.processes[host] else { continue };
                // Only a process that is registered with its present folder is relied on.
                let member = self.state.members.get(&name(host));
                if member.is_none_or(|m| !m.serving || m.incarnation != p.incarnation) {
                    continue;
                }
                let mine = format!(".{}", name(self.scenario.owner));
                let copies = self.disks[host].iter();
                let mut copies =
                    copies.filter(|(file, _)| file.starts_with("copy.") && file.ends_with(&mine));
                let has = |bytes: &[u8]| {
                    Records::new(bytes)
                        .any(|(_, r)| matches!(r, JournalRecord::Accept { message, .. } if message.id == *id))
                };
                if !copies.any(|(_, bytes)| has(bytes)) {
                    let what = format!("held: {} is named as holding {id}, and does not", name(host));
                    self.violation.get_or_insert(what);
                    return;
                }
            }
        }
    }

    pub fn is_over(&self) -> bool {
        let late = self.now > self.first_message_at + END;
        let ended = self.observed.accepted.iter().all(|id| self.observed.ends.contains(id));
        let all_taken_over = self.state.journals.values().all(|b| b.sealed.is_none());
        late || self.healed && ended && all_taken_over && (0..N).all(|i| self.ready(i))
    }

    /// Checks, at the end of a path, that each accepted message has ended.
    pub fn check_outcomes(&mut self) {
        let without_end = self.observed.accepted.iter().find(|id| !self.observed.ends.contains(*id)).cloned();
        if let Some(id) = without_end {
            self.fail(format!("end: {id} was answered 202 and has none"));
        }
    }
}
