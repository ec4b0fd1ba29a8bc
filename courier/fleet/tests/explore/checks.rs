//! The properties that are checked at each step and at the end of a path.

use crate::scenario::{COURIER_COUNT, MAX_PATH_DURATION, courier_name, index_of};
use crate::world::World;
use quillmount_core::journal::{self, JournalRecord, Records};
use quillmount_fleet::state::{Epoch, PartitionState, partition_of};
use std::collections::BTreeMap;

impl World<'_> {
    /// Records the attempts that replicas contain before a seal, and checks that no record follows a seal.
    pub fn check_replicas(&mut self) {
        for (i, disk) in self.disks.iter().enumerate() {
            for (file, bytes) in disk.iter().filter(|(file, _)| file.starts_with("copy.")) {
                let owner = file.rsplit('.').next().unwrap_or_default().to_string();
                let seal = journal::frame(&JournalRecord::Sealed).unwrap().len();
                let end = Records::new(bytes).enumerate().find(|(_, (_, r))| *r == JournalRecord::Sealed);
                if end.as_ref().is_some_and(|(_, (at, _))| at + seal < bytes.len()) {
                    let violation =
                        format!("sealed: replica {file} at {} has records after its seal", courier_name(i));
                    self.violation.get_or_insert(violation);
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

    /// Checks that each serving courier that is an agreed replica has all messages that were accepted and have not
    /// ended.
    pub fn check_replica_hosts(&mut self) {
        let unfinished: Vec<_> =
            self.observed.accepted.iter().filter(|id| !self.observed.ends.contains(*id)).collect();
        let Some(journal_state) = self.state.journals.iter().find(|(id, journal)| {
            id.owner == courier_name(self.scenario.owner)
                && journal.version > 0
                && journal.lineage == id.epoch
                && journal.lineage <= COURIER_COUNT as Epoch
        }) else {
            return;
        };
        let not_adopted = |n: usize| match &journal_state.1.sealed {
            Some(partitions) => matches!(
                partitions[partition_of(self.scenario.messages[n].0)],
                PartitionState::Unassigned | PartitionState::Assigned(..)
            ),
            None => true,
        };
        for (id, n) in unfinished.into_iter().map(|id| (id, id[1..].parse::<usize>().unwrap())) {
            for host in journal_state.1.replicas.iter().map(|host| index_of(host)).filter(|_| not_adopted(n))
            {
                let Some(p) = &self.processes[host] else { continue };
                // Only a process that is registered with its current data directory must have the messages.
                let member = self.state.members.get(&courier_name(host));
                if member.is_none_or(|m| !m.serving || m.incarnation != p.incarnation) {
                    continue;
                }
                let suffix = format!(".{}", courier_name(self.scenario.owner));
                let files = self.disks[host].iter();
                let mut replicas =
                    files.filter(|(file, _)| file.starts_with("copy.") && file.ends_with(&suffix));
                let has = |bytes: &[u8]| {
                    Records::new(bytes)
                        .any(|(_, r)| matches!(r, JournalRecord::Accept { message, .. } if message.id == *id))
                };
                if !replicas.any(|(_, bytes)| has(bytes)) {
                    let violation =
                        format!("replica: {} is an agreed replica but lacks {id}", courier_name(host));
                    self.violation.get_or_insert(violation);
                    return;
                }
            }
        }
    }

    pub fn is_finished(&self) -> bool {
        let timed_out = self.now > self.first_message_at + MAX_PATH_DURATION;
        let ended = self.observed.accepted.iter().all(|id| self.observed.ends.contains(id));
        let all_taken_over = self.state.journals.values().all(|journal| journal.sealed.is_none());
        timed_out || self.healed && ended && all_taken_over && (0..COURIER_COUNT).all(|i| self.is_ready(i))
    }

    /// Checks at the end of a path that each accepted message has ended.
    pub fn check_outcomes(&mut self) {
        let without_end = self.observed.accepted.iter().find(|id| !self.observed.ends.contains(*id)).cloned();
        if let Some(id) = without_end {
            self.fail(format!("end: {id} was answered with status 202 and has not ended"));
        }
    }
}
