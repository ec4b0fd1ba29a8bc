//! Writes records to a ring of segment files on a thread of its own, so that the event loop never waits for a sync.
//!
//! The thread syncs once for all records that are queued (group commit). Records reach the disk in the order of the calls
//! of [`DiskWriter::append`]; each call gives an [`AppendReceipt`] that resolves once its record is synced.

use quillmount_storage::{RecordGroup, ReportedRecord, Ring, RingRecord, RingSize, StorageError, Written};
use std::path::Path;
use std::sync::mpsc;
use tokio::sync::oneshot;

/// Most records that one sync covers.
const GROUP_LIMIT: usize = 256;

/// Why a record is not known to be on the disk.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The ring is full or the disk refused the write or the sync.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The writer's thread has ended; the record may or may not be on the disk.
    #[error("the disk writer thread has ended")]
    WriterStopped,
}

/// The outcome of one append, which is still to come.
#[derive(Debug)]
#[must_use = "a record counts as written only once its receipt says so"]
pub struct AppendReceipt(oneshot::Receiver<Result<Written, StorageError>>);

impl AppendReceipt {
    /// Waits until the record is synced, or could not be.
    pub async fn synced(self) -> Result<Written, AppendError> {
        match self.0.await {
            Ok(written) => Ok(written?),
            Err(_) => Err(AppendError::WriterStopped),
        }
    }
}

/// Handle of a writer thread, which runs until the last handle is dropped.
#[derive(Clone)]
pub struct DiskWriter {
    commands: mpsc::Sender<DiskCommand>,
}

impl DiskWriter {
    /// Opens the ring in `folder` and starts its thread. Also returns the records that the ring has, oldest first.
    pub fn open(folder: &Path, size: RingSize) -> Result<(DiskWriter, Vec<RingRecord>), StorageError> {
        let (ring, records) = Ring::open(folder, size, crate::clock::random_id())?;
        let (commands, queue) = mpsc::channel();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || run_writer(ring, &queue))?;
        Ok((DiskWriter { commands }, records))
    }

    /// Queues a record to be appended and synced. Records are written in the order of the calls.
    pub fn append(&self, body: Vec<u8>) -> AppendReceipt {
        let (done, receiver) = oneshot::channel();
        // If the thread has ended, the sender is dropped here: the receipt then resolves to `WriterStopped`.
        let _ = self.commands.send(DiskCommand::Append { body, done });
        AppendReceipt(receiver)
    }

    /// Frees all segments before `segment`, after the records queued so far.
    pub fn release(&self, segment: u64) {
        let _ = self.commands.send(DiskCommand::Release(segment));
    }
}

/// Receives the outcome of an append.
type Waiter = oneshot::Sender<Result<Written, StorageError>>;

/// What the thread is to do.
enum DiskCommand {
    /// Append a record and report it once it is synced.
    Append { body: Vec<u8>, done: Waiter },
    /// Free the segments before this one.
    Release(u64),
}

fn run_writer(ring: Ring, queue: &mpsc::Receiver<DiskCommand>) {
    let mut group = RecordGroup::new(ring);
    while let Ok(first) = queue.recv() {
        execute(&mut group, first);
        while group.unsynced() < GROUP_LIMIT
            && let Ok(next) = queue.try_recv()
        {
            execute(&mut group, next);
        }
        report(group.sync());
    }
}

fn execute(group: &mut RecordGroup<Waiter>, command: DiskCommand) {
    match command {
        DiskCommand::Release(segment) => group.release(segment),
        DiskCommand::Append { body, done } => report(group.append(&body, done)),
    }
}

fn report(records: Vec<ReportedRecord<Waiter>>) {
    for ReportedRecord { waiter, outcome } in records {
        // The caller may have stopped waiting.
        let _ = waiter.send(outcome);
    }
}
