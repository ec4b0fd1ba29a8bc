//! State that the tasks of a store share.

use super::items::full_services::FullServices;
use super::items::queue::{WaitingItems, demand_of_backlog};
use super::items::shares::BatchShares;
use super::journal::{Journal, OpenedJournal, PendingWrite};
use super::shard::{ServedShard, Shard, ShardHost};
use crate::metrics_server::StoreFigures;
use crate::node::Node;
use crate::subscription::{Needs, Reporter};
use quillmount_batch::{ResultSizes, ShardReplicaId, StoreRecord, WriteId};
use quillmount_control::SHARDS;
use quillmount_storage::{RingRecord, StorageError};
use quillmount_wire::messages::ShardReport;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// Fraction of the process memory that jobs may use.
const JOB_MEMORY_FRACTION: f64 = 0.4;

/// A store with its replicas of all shards and the batch items that wait to run.
pub struct Store {
    /// The process that the store runs in.
    pub node: Rc<Node>,
    /// Journal on the disk.
    pub journal: Journal,
    /// All shards, by number.
    pub shards: Vec<Rc<Shard>>,
    /// Items that wait to run, of the shards that this store serves as primary.
    pub waiting_items: WaitingItems,
    /// Services that had no capacity for a batch item when they were last asked.
    pub full_services: FullServices,
    /// Sizes of results, by route.
    pub result_sizes: RefCell<ResultSizes>,
    /// This store's shares of the batch capacity of the endpoints.
    pub batch_shares: BatchShares,
    /// Notified when the state of a replica may change with time, so that it needs ticks.
    pub tick_needed: Notify,
    /// Whether a compaction of the ring is running.
    pub compacting: Cell<bool>,
}

/// A store that has just been opened.
pub struct OpenedStore {
    /// State of the store, restored from the journal.
    pub store: Rc<Store>,
    /// Receives the writes of the shards' replicas in order; read by `replica_tasks`.
    pub pending: mpsc::UnboundedReceiver<PendingWrite>,
}

impl Store {
    /// Opens the journal in `folder` and restores the shards from its records.
    ///
    /// # Errors
    /// [`StorageError::Io`] if a file can't be opened or read.
    pub fn open(node: Rc<Node>, folder: &Path) -> Result<OpenedStore, StorageError> {
        let disk_mb = node.settings.limits.disk_mb as f64;
        let OpenedJournal { journal, records, pending } = Journal::open(folder, disk_mb)?;
        let tolerated_failures = node.settings.fault_tolerance.machines;
        let identity = |shard| ShardReplicaId { disk: node.info.disk, shard, tolerated_failures };
        let shards: Vec<Rc<Shard>> =
            (0..SHARDS as u32).map(|shard| Rc::new(Shard::new(identity(shard)))).collect();
        recover(&shards, records);
        let store = Store {
            node,
            journal,
            shards,
            waiting_items: WaitingItems::default(),
            full_services: FullServices::default(),
            batch_shares: BatchShares::default(),
            result_sizes: RefCell::default(),
            tick_needed: Notify::new(),
            compacting: Cell::new(false),
        };
        Ok(OpenedStore { store: Rc::new(store), pending })
    }

    /// Returns whether memory and disk have capacity for a new job, beside the jobs that are here, those whose commit is pending, and
    /// the results that all of them will still get.
    pub fn has_capacity(&self) -> bool {
        let max_memory = self.node.settings.limits.ram_mb as f64 * 1e6 * JOB_MEMORY_FRACTION;
        let pending_bytes: usize = self.shards.iter().map(|shard| shard.replica().pending_bytes()).sum();
        let bytes = (self.job_bytes() + pending_bytes) as f64 + self.expected_result_bytes();
        bytes < max_memory.min(self.journal.max_live_bytes()) && self.journal.accepts_jobs()
    }

    /// Returns the expected size of the results that the jobs here will still get.
    fn expected_result_bytes(&self) -> f64 {
        let sizes = self.result_sizes.borrow();
        let of_shard = |shard: &Rc<Shard>| sizes.expected_bytes(shard.replica().jobs().waiting_items());
        self.shards.iter().map(of_shard).sum()
    }
}

impl StoreFigures for Store {
    fn job_bytes(&self) -> usize {
        self.shards.iter().map(|shard| shard.replica().jobs().estimated_bytes()).sum()
    }

    fn free_segments(&self) -> usize {
        self.journal.free_segments()
    }

    fn shards_served(&self) -> usize {
        self.shards.iter().filter(|shard| shard.term().is_some()).count()
    }

    fn waiting_items(&self) -> HashMap<String, u32> {
        self.waiting_items.waiting_by_service(&self.node.tables().routes)
    }
}

impl ShardHost for Store {
    fn node(&self) -> &Node {
        &self.node
    }

    fn write(&self, shard: u32, write: WriteId, record: &StoreRecord) {
        self.journal.write(shard, write, record);
    }

    fn request_tick(&self) {
        self.tick_needed.notify_one();
    }

    fn on_term_started(&self, served: &ServedShard) {
        self.waiting_items.add_shard(&self.node.tables().routes, served);
    }

    fn on_job_committed(&self, served: &ServedShard, job: &str) {
        // A submission that was repeated is committed again, without effect.
        if served.term.is_tracking(job) {
            return;
        }
        self.waiting_items.add_job(&self.node.tables().routes, served, job);
    }
}

impl Reporter for Store {
    fn shard_reports(&self) -> Vec<ShardReport> {
        self.shards.iter().filter_map(|shard| shard.report()).collect()
    }

    fn needs(&self) -> Needs {
        let mut items = self.waiting_items.waiting_by_service(&self.node.tables().routes);
        let demand = demand_of_backlog(&items);
        for (service, running) in self.node.dispatcher.borrow().in_flight() {
            *items.entry(service).or_default() += running;
        }
        Needs { demand, items }
    }
}

fn recover(shards: &[Rc<Shard>], records: Vec<RingRecord>) {
    for record in records {
        match StoreRecord::decode(&record.body) {
            Ok(decoded) => {
                let shard = decoded.shard().and_then(|shard| shards.get(shard as usize));
                if let Some(shard) = shard {
                    shard.recover(decoded);
                }
            }
            Err(error) => {
                tracing::error!(%error, segment = record.segment, "failed to decode a record of the ring");
            }
        }
    }
}
