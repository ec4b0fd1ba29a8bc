//! A store: its process, its replica of the shard, and its disk.

use crate::events::Caller;
use quillmount_batch::{ShardJobs, ShardReplica, ShardReplicaId, StoreRecord};
use quillmount_test_support::process::Process;
use quillmount_test_support::simulation::Time;
use quillmount_wire::messages::DiskId;
use std::collections::BTreeMap;

/// A store: its process and its disk.
pub struct Store {
    /// Its number, which stays when its disk is replaced.
    pub name: u32,
    pub disk: DiskId,
    pub process: Process,
    /// Whether the store was retired and is gone for good.
    pub removed: bool,
    pub replica: ShardReplica,
    /// Records on the disk, in the order of writing; the first `synced` of them survive a loss of power.
    pub records: Vec<StoreRecord>,
    pub synced: usize,
    /// The jobs that the synced records give.
    pub on_disk: ShardJobs,
    /// Records that were released by compactions: positions are counted with them.
    pub released: usize,
    /// Number of records when the running rewrite started.
    pub rewrite_from: Option<usize>,
    /// Until then writes fail.
    pub disk_fails_until: Time,
    /// Until then writes take longer.
    pub disk_slow_until: Time,
    /// Failed writes that the replica has not been notified of yet.
    pub failing: usize,
    /// When the last write ends that was begun.
    pub last_sync: Time,
    /// When the store polled the core last.
    pub last_poll: Time,
    /// Requests of other stores that the replica has not answered yet, by number.
    pub requests: BTreeMap<u64, Caller>,
}

impl Store {
    /// A running store with an empty disk.
    pub fn with_empty_disk(name: u32, replica: ShardReplicaId, incarnation: u64) -> Store {
        Store {
            name,
            disk: replica.disk,
            process: Process::running(incarnation),
            removed: false,
            replica: ShardReplica::new(replica),
            records: Vec::new(),
            synced: 0,
            on_disk: ShardJobs::default(),
            released: 0,
            rewrite_from: None,
            disk_fails_until: 0,
            disk_slow_until: 0,
            failing: 0,
            last_sync: 0,
            last_poll: 0,
            requests: BTreeMap::new(),
        }
    }

    /// Number of records that a loss of power may take.
    pub fn unsynced(&self) -> usize {
        self.records.len() - self.synced
    }

    /// Kills the process; of the unsynced records the first ones survive.
    pub fn kill(&mut self, surviving: usize) {
        self.process.kill();
        self.requests.clear();
        self.rewrite_from = None;
        self.failing = 0;
        self.records.truncate(self.synced + surviving);
        for record in &self.records[self.synced..] {
            self.on_disk.recover(record.clone());
        }
        self.synced = self.records.len();
    }

    /// Starts the process, whose replica recovers from the disk.
    pub fn start(&mut self, replica: ShardReplicaId) {
        self.process.start();
        self.replica = ShardReplica::new(replica);
        for record in &self.records {
            self.replica.recover(record.clone());
        }
    }
}
