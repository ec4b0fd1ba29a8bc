//! Simulated clients, which add numbers to the replicated set and read it, and the audit of acknowledged numbers
//! and confirmed reads.

use super::World;
use quillmount_replication::ReadId;
use quillmount_test_support::simulation::{MILLI, Simulation, Time};
use quillmount_wire::messages::DiskId;
use std::collections::BTreeSet;

/// Interval between two requests of clients to each primary.
pub(super) const REQUEST_INTERVAL: Time = 20 * MILLI;

/// Encodes a set as the payload of a value.
pub fn encode(numbers: &BTreeSet<u32>) -> Vec<u8> {
    numbers.iter().flat_map(|number| number.to_le_bytes()).collect()
}

/// Decodes the payload of a value.
pub(super) fn decode(payload: &[u8]) -> BTreeSet<u32> {
    payload
        .chunks_exact(4)
        .map(|bytes| u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
        .collect()
}

impl World {
    /// Sends a client request, a change or a read, to each node that serves as primary.
    pub(super) fn serve_clients(&mut self) {
        let now = self.now();
        let disks: Vec<DiskId> = self.nodes.keys().copied().collect();
        for disk in disks {
            let acknowledged = self.acknowledged.clone();
            let node = self.nodes.get_mut(&disk).unwrap();
            if !node.process.is_running(now) || node.committed.is_none() {
                continue;
            }
            if node.replica.can_propose() && self.random.below(2) == 0 {
                let mut numbers = node.committed.clone().unwrap();
                self.last_number += 1;
                numbers.insert(self.last_number);
                let members = node.replica.members().to_vec();
                let actions = node.replica.propose(members, encode(&numbers), now);
                self.perform(disk, actions);
            } else {
                self.last_read += 1;
                node.reads.insert(self.last_read, acknowledged);
                let actions = node.replica.confirm_read(self.last_read, now);
                self.perform(disk, actions);
            }
        }
    }

    /// Checks that a committed set includes everything that was acknowledged before. A primary that was frozen may
    /// notice its last commit late; then all of that set is already acknowledged.
    pub(super) fn on_committed(&mut self, disk: DiskId, numbers: BTreeSet<u32>) {
        assert!(
            self.acknowledged.is_subset(&numbers) || numbers.is_subset(&self.acknowledged),
            "a committed set lacks acknowledged numbers: {:?}",
            self.acknowledged.difference(&numbers).collect::<Vec<_>>()
        );
        self.acknowledged.extend(&numbers);
        self.nodes.get_mut(&disk).unwrap().committed = Some(numbers);
    }

    /// Checks that a confirmed read returns everything that was acknowledged before it started.
    pub(super) fn on_read_confirmed(&mut self, disk: DiskId, read: ReadId) {
        let node = self.nodes.get_mut(&disk).unwrap();
        let acknowledged_before = node.reads.remove(&read).expect("the confirmed read is not pending");
        let returned =
            node.committed.clone().expect("a primary confirmed a read before it committed a value");
        assert!(
            acknowledged_before.is_subset(&returned),
            "a confirmed read lacks numbers that were acknowledged before it started"
        );
        self.reads_confirmed += 1;
    }
}
