//! The store: keeps batch jobs on disk with other stores, and runs their items.

mod compaction;
mod items;
mod quota;
mod reign;
mod serve;
mod shard;

use crate::clock;
use crate::disk::{DiskWriter, Written};
use crate::edge::{RoleError, listen, wait_for_stop};
use crate::node::Node;
use crate::rpc::{self, Handler};
use crate::subscription::{self, Needs, Reporter};
use items::Runner;
use quillmount_batch::{RETRY, ReplicaIdentity, StoreRecord, WriteId};
use quillmount_control::SHARDS;
use quillmount_storage::{Record, RingSize, StorageError, load_identity};
use quillmount_wire::messages::{NodeInfo, NodeRole, ShardOperation, ShardReport};
use quillmount_wire::settings::Settings;
use shard::Shard;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};

/// Bytes of one file of the ring.
const SEGMENT: u64 = 8 << 20;
/// Part of the disk that the ring takes.
const DISK_PART: f64 = 0.93;
/// Part of the memory that jobs may take.
const MEMORY_PART: f64 = 0.4;
/// Part of the ring that jobs may take. A compaction begins at half of it, so that a whole copy fits beside what is there, with
/// a file for what is written meanwhile.
const LIVE_PART: f64 = 0.36;
/// Part of the ring that has to be free for a new job.
const FREE_PART: f64 = 0.15;
/// How long a store that stops goes on serving, so that its shards are led elsewhere.
const HAND_OVER: Duration = Duration::from_millis(1500);
/// Pause between two steps of replicas that wait for time to pass.
const STEP: Duration = Duration::from_micros(RETRY / 2);
/// A job that may be forgotten is kept for so much longer, microseconds.
const FORGET_MARGIN: u64 = 30_000_000;
/// Pause between two looks at jobs that may be forgotten and connections that rested too long.
const TIDY_PAUSE: Duration = Duration::from_millis(500);

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
    pub runner: Runner,
    /// Told when a replica waits for time to pass.
    pub restless: Notify,
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
        let bytes = (node.settings.limits.disk_mb as f64 * 1e6 * DISK_PART) as u64;
        let segments = (bytes / SEGMENT).clamp(3, 512) as usize;
        let (disk, records) = DiskWriter::open(folder, RingSize { segment: SEGMENT, segments })?;
        let survivable = node.settings.survive.boxes;
        let identity = |shard| ReplicaIdentity { disk: node.info.disk, shard, survivable };
        let shards: Vec<Rc<Shard>> =
            (0..SHARDS as u32).map(|shard| Rc::new(Shard::new(identity(shard)))).collect();
        recover(&shards, records);
        let (writes, pending) = mpsc::unbounded_channel();
        let store = Store {
            node,
            disk,
            shards,
            runner: Runner::default(),
            restless: Notify::new(),
            writes,
            free_segments: Cell::new(segments),
            segments,
            compacting: Cell::new(false),
        };
        Ok((Rc::new(store), pending))
    }

    /// Whether a new job has room in memory and on disk.
    pub fn has_room(&self) -> bool {
        let memory = self.node.settings.limits.ram_mb as f64 * 1e6 * MEMORY_PART;
        let ring = self.segments as f64 * SEGMENT as f64 * LIVE_PART;
        let used: usize = self.shards.iter().map(|shard| shard.replica().jobs().bytes()).sum();
        let free = self.free_segments.get() as f64 > self.segments as f64 * FREE_PART;
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
        let mut items = self.runner.waiting(&self.node.tables().routes);
        let places = items::places_for(&items);
        for (service, running) in self.node.dispatcher.borrow().in_flight() {
            *items.entry(service).or_default() += running;
        }
        Needs { places, items }
    }
}

fn recover(shards: &[Rc<Shard>], records: Vec<Record>) {
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
async fn settle_writes(store: Rc<Store>, mut pending: mpsc::UnboundedReceiver<PendingWrite>) {
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
        shard.written(&store, write, synced);
    }
}

/// Lets time pass for replicas that wait for that.
async fn step_replicas(store: Rc<Store>) {
    loop {
        let restless = store.restless.notified();
        let ticked = store.shards.iter().filter(|shard| shard.tick(&store)).count();
        if ticked == 0 {
            restless.await;
        }
        tokio::time::sleep(STEP).await;
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
    let Some(reign) = shard.reign() else { return };
    let keep = clock::millis(store.node.settings.slo.poll_s * 1000.0).as_micros() as u64 + FORGET_MARGIN;
    let now = clock::micros();
    let replica = shard.replica();
    let over = replica.jobs().jobs.iter().filter(|(_, entry)| entry.ended || entry.is_complete());
    let old: Vec<String> =
        over.map(|(id, _)| id.clone()).filter(|id| now.saturating_sub(reign.track(id).seen) > keep).collect();
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
    let identity = load_identity(Path::new(&folder), clock::draw())?;
    let info = NodeInfo {
        name: settings.hostname.clone(),
        disk: identity.disk,
        internal: settings.internal_address(),
        admin: None,
        zone: settings.az.clone(),
        role: NodeRole::Store,
    };
    let node = Node::new(settings, info);
    let (store, pending) = Store::open(node.clone(), Path::new(&folder))?;
    tracing::info!(name = node.info.name, "store started");
    let internal = listen(&node.info.internal)?;
    tokio::task::spawn_local(rpc::serve(internal, handler(&store)));
    tokio::task::spawn_local(subscription::run(node.clone(), store.clone()));
    tokio::task::spawn_local(subscription::read_when_orphaned(node.clone()));
    tokio::task::spawn_local(settle_writes(store.clone(), pending));
    tokio::task::spawn_local(follow_views(store.clone()));
    tokio::task::spawn_local(step_replicas(store.clone()));
    tokio::task::spawn_local(quota::state_all(store.clone()));
    tokio::task::spawn_local(items::run(store.clone()));
    tokio::task::spawn_local(tidy(store.clone()));
    wait_for_stop(&node).await?;
    tokio::time::sleep(HAND_OVER).await;
    Ok(())
}

fn handler(store: &Rc<Store>) -> Handler {
    let store = store.clone();
    Rc::new(move |request| {
        let store = store.clone();
        Box::pin(async move { Some(serve::answer(&store, request).await) })
    })
}

async fn tidy(store: Rc<Store>) {
    loop {
        tokio::time::sleep(TIDY_PAUSE).await;
        store.shards.iter().for_each(|shard| forget_old_jobs(&store, shard));
        let dispatcher = store.node.dispatcher.borrow();
        store.node.upstreams.tidy(|endpoint| dispatcher.is_open(endpoint));
    }
}
