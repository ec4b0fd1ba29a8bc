//! The store: keeps batch jobs on disk with other stores, and runs their items.

mod compaction;
mod items;
mod quota;
mod serve;
mod shard;
mod term;

use crate::clock;
use crate::disk::{DiskWriter, Written};
use crate::node::Node;
use crate::role::{RoleError, listen, wait_for_stop};
use crate::rpc::{self, Handler};
use crate::subscription::{self, Needs, Reporter};
use items::ItemQueue;
use quillmount_batch::{RETRY_DELAY, ShardReplicaId, StoreRecord, WriteId};
use quillmount_control::SHARDS;
use quillmount_storage::{RingRecord, RingSize, StorageError, load_identity};
use quillmount_wire::messages::{NodeInfo, NodeRole, ShardOperation, ShardReport};
use quillmount_wire::settings::Settings;
use shard::Shard;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};

/// Bytes of one file of the ring.
const SEGMENT_BYTES: u64 = 8 << 20;
/// Part of the disk that the ring takes.
const DISK_FRACTION: f64 = 0.93;
/// Part of the memory that jobs may take.
const MEMORY_FRACTION: f64 = 0.4;
/// Part of the ring that jobs may take. A compaction begins at half of it, so that a whole copy fits beside what is there, with
/// a file for what is written meanwhile.
const LIVE_FRACTION: f64 = 0.36;
/// Part of the ring that has to be free for a new job.
const FREE_FRACTION: f64 = 0.15;
/// How long a store that stops goes on serving, so that its shards are led elsewhere.
const HANDOVER_GRACE: Duration = Duration::from_millis(1500);
/// Pause between two steps of replicas that wait for time to pass.
const TICK_INTERVAL: Duration = Duration::from_micros(RETRY_DELAY / 2);
/// A job that may be forgotten is kept for so much longer, microseconds.
const FORGET_MARGIN: u64 = 30_000_000;
/// Pause between two looks at jobs that may be forgotten and connections that rested too long.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// A record on its way to the disk.
struct PendingWrite {
    shard: Rc<Shard>,
    write: WriteId,
    written: oneshot::Receiver<Result<Written, StorageError>>,
}

/// A store.
pub struct Store {
    pub node: Rc<Node>,
    pub disk: DiskWriter,
    pub shards: Vec<Rc<Shard>>,
    pub item_queue: ItemQueue,
    /// Told when a replica waits for time to pass.
    pub tick_needed: Notify,
    /// Records in the order of their writing; replicas bound how many there are.
    writes: mpsc::UnboundedSender<PendingWrite>,
    /// Segments of the ring that can still be opened, and all.
    free_segments: Cell<usize>,
    segments: usize,
    compacting: Cell<bool>,
}

impl Store {
    fn open(
        node: Rc<Node>,
        folder: &Path,
    ) -> Result<(Rc<Store>, mpsc::UnboundedReceiver<PendingWrite>), StorageError> {
        let bytes = (node.settings.limits.disk_mb as f64 * 1e6 * DISK_FRACTION) as u64;
        let segments = (bytes / SEGMENT_BYTES).clamp(3, 512) as usize;
        let (disk, records) = DiskWriter::open(folder, RingSize { segment: SEGMENT_BYTES, segments })?;
        let tolerated_failures = node.settings.fault_tolerance.machines;
        let identity = |shard| ShardReplicaId { disk: node.info.disk, shard, tolerated_failures };
        let shards: Vec<Rc<Shard>> =
            (0..SHARDS as u32).map(|shard| Rc::new(Shard::new(identity(shard)))).collect();
        recover(&shards, records);
        let (writes, pending) = mpsc::unbounded_channel();
        let store = Store {
            node,
            disk,
            shards,
            item_queue: ItemQueue::default(),
            tick_needed: Notify::new(),
            writes,
            free_segments: Cell::new(segments),
            segments,
            compacting: Cell::new(false),
        };
        Ok((Rc::new(store), pending))
    }

    /// Whether a new job has room in memory and on disk.
    pub fn has_capacity(&self) -> bool {
        let memory = self.node.settings.limits.ram_mb as f64 * 1e6 * MEMORY_FRACTION;
        let ring = self.segments as f64 * SEGMENT_BYTES as f64 * LIVE_FRACTION;
        let used: usize = self.shards.iter().map(|shard| shard.replica().jobs().bytes()).sum();
        let free = self.free_segments.get() as f64 > self.segments as f64 * FREE_FRACTION;
        (used as f64) < memory.min(ring) && free
    }

    /// Sends a replica's record to the disk; the replica is told in the same order.
    pub fn write(&self, shard: &Rc<Shard>, write: WriteId, record: &StoreRecord) {
        let written = self.disk.append(record.encode());
        // The other end is held for as long as the store runs.
        let _ = self.writes.send(PendingWrite { shard: shard.clone(), write, written });
    }
}

impl Reporter for Store {
    fn shards(&self) -> Vec<ShardReport> {
        self.shards.iter().filter_map(|shard| shard.report()).collect()
    }

    fn needs(&self) -> Needs {
        let mut items = self.item_queue.waiting(&self.node.tables().routes);
        let demand = items::demand_of_backlog(&items);
        for (service, running) in self.node.dispatcher.borrow().in_flight() {
            *items.entry(service).or_default() += running;
        }
        Needs { demand, items }
    }
}

fn recover(shards: &[Rc<Shard>], records: Vec<RingRecord>) {
    for record in records {
        match StoreRecord::decode(&record.body) {
            Ok(record) => {
                let shard = record.shard().and_then(|shard| shards.get(shard as usize));
                if let Some(shard) = shard {
                    shard.recover(record);
                }
            }
            Err(error) => tracing::error!(%error, "a record of the ring can't be read"),
        }
    }
}

/// Tells the replicas what became of their records.
async fn report_writes(store: Rc<Store>, mut pending: mpsc::UnboundedReceiver<PendingWrite>) {
    while let Some(PendingWrite { shard, write, written }) = pending.recv().await {
        let synced = match written.await {
            Ok(Ok(written)) => {
                store.free_segments.set(written.free);
                compaction::start_if_due(&store);
                true
            }
            Ok(Err(error)) => {
                tracing::error!(%error, "a record of the store could not be written");
                false
            }
            Err(_) => {
                tracing::error!("the disk's thread has ended");
                false
            }
        };
        shard.on_written(&store, write, synced);
    }
}

/// Lets time pass for replicas that wait for that.
async fn tick_replicas(store: Rc<Store>) {
    loop {
        let tick_needed = store.tick_needed.notified();
        let ticked = store.shards.iter().filter(|shard| shard.tick(&store)).count();
        if ticked == 0 {
            tick_needed.await;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Brings the views in force to the replicas.
async fn follow_views(store: Rc<Store>) {
    let mut tables = store.node.watch_tables();
    loop {
        let snapshot = tables.borrow_and_update().clone();
        for (shard, view) in store.shards.iter().zip(&snapshot.placement.shards) {
            shard.follow_view(&store, view);
        }
        if tables.changed().await.is_err() {
            return;
        }
    }
}

/// Forgets jobs that nobody may ask for any more.
fn forget_old_jobs(store: &Rc<Store>, shard: &Rc<Shard>) {
    let Some(term) = shard.term() else { return };
    let retention = clock::millis(store.node.settings.slo.poll_s * 1000.0).as_micros() as u64 + FORGET_MARGIN;
    let now = clock::micros();
    let replica = shard.replica();
    let finished = replica.jobs().jobs.iter().filter(|(_, entry)| entry.ended || entry.is_complete());
    let old: Vec<String> = finished
        .map(|(id, _)| id.clone())
        .filter(|id| now.saturating_sub(term.track(id).first_seen) > retention)
        .collect();
    drop(replica);
    for job in old {
        let (store, shard) = (store.clone(), shard.clone());
        tokio::task::spawn_local(async move {
            let _ = shard.commit(&store, ShardOperation::Forget { job }).await;
        });
    }
}

/// Runs the store until it is asked to stop.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let folder = settings.data_folder().unwrap_or("data").to_owned();
    let identity = load_identity(Path::new(&folder), clock::random_id())?;
    let info = NodeInfo {
        name: settings.hostname.clone(),
        disk: identity.disk,
        internal: settings.internal_address(),
        admin: None,
        zone: settings.zone.clone(),
        role: NodeRole::Store,
    };
    let node = Node::new(settings, info);
    let (store, pending) = Store::open(node.clone(), Path::new(&folder))?;
    tracing::info!(name = node.info.name, "store started");
    let internal = listen(&node.info.internal)?;
    tokio::task::spawn_local(rpc::serve(internal, handler(&store)));
    tokio::task::spawn_local(subscription::run(node.clone(), store.clone()));
    tokio::task::spawn_local(subscription::read_list_without_core(node.clone()));
    tokio::task::spawn_local(report_writes(store.clone(), pending));
    tokio::task::spawn_local(follow_views(store.clone()));
    tokio::task::spawn_local(tick_replicas(store.clone()));
    tokio::task::spawn_local(quota::send_statements_periodically(store.clone()));
    tokio::task::spawn_local(items::run(store.clone()));
    tokio::task::spawn_local(clean_up(store.clone()));
    wait_for_stop(&node).await?;
    tokio::time::sleep(HANDOVER_GRACE).await;
    Ok(())
}

fn handler(store: &Rc<Store>) -> Handler {
    let store = store.clone();
    Rc::new(move |request| {
        let store = store.clone();
        Box::pin(async move { Some(serve::answer(&store, request).await) })
    })
}

async fn clean_up(store: Rc<Store>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        store.shards.iter().for_each(|shard| forget_old_jobs(&store, shard));
        let dispatcher = store.node.dispatcher.borrow();
        store.node.upstreams.close_expired(|endpoint| dispatcher.is_open(endpoint));
    }
}
