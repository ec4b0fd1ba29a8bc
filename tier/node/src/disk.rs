//! A thread that writes records to a ring and syncs them, many at a time.

use quillmount_storage::{Ring, RingRecord, RingSize, StorageError};
use std::path::Path;
use std::sync::mpsc;
use tokio::sync::oneshot;

/// Where a record went.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    pub segment: u64,
    /// Segments that can still be opened.
    pub free: usize,
}

enum DiskCommand {
    Append {
        body: Vec<u8>,
        done: oneshot::Sender<Result<Written, StorageError>>,
    },
    /// Frees the segments before this one.
    Release(u64),
}

/// Handle of the thread.
#[derive(Clone)]
pub struct DiskWriter {
    commands: mpsc::Sender<DiskCommand>,
}

/// Records synced together at most.
const GROUP_LIMIT: usize = 256;

impl DiskWriter {
    /// Opens the ring of a folder and starts its thread; returns what the ring holds.
    pub fn open(folder: &Path, size: RingSize) -> Result<(DiskWriter, Vec<RingRecord>), StorageError> {
        let (ring, records) = Ring::open(folder, size, crate::clock::random_id())?;
        let (commands, queue) = mpsc::channel();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || run_writer(ring, &queue))?;
        Ok((DiskWriter { commands }, records))
    }

    /// Appends a record; the receiver is told once it is synced. Records keep the order of the calls.
    pub fn append(&self, body: Vec<u8>) -> oneshot::Receiver<Result<Written, StorageError>> {
        let (done, receiver) = oneshot::channel();
        // A thread that has ended drops the sender: the receiver then tells a loss.
        let _ = self.commands.send(DiskCommand::Append { body, done });
        receiver
    }

    /// Frees the segments before `segment`, in the order of the calls.
    pub fn release(&self, segment: u64) {
        let _ = self.commands.send(DiskCommand::Release(segment));
    }
}

type PendingAppend = (Written, oneshot::Sender<Result<Written, StorageError>>);

fn run_writer(mut ring: Ring, queue: &mpsc::Receiver<DiskCommand>) {
    while let Ok(first) = queue.recv() {
        let mut waiting: Vec<PendingAppend> = Vec::new();
        execute(&mut ring, first, &mut waiting);
        while waiting.len() < GROUP_LIMIT
            && let Ok(next) = queue.try_recv()
        {
            execute(&mut ring, next, &mut waiting);
        }
        if waiting.is_empty() {
            continue;
        }
        let synced = ring.sync();
        for (written, done) in waiting {
            let answer = match &synced {
                Ok(()) => Ok(written),
                Err(error) => Err(StorageError::Io(std::io::Error::other(error.to_string()))),
            };
            let _ = done.send(answer);
        }
    }
}

fn execute(ring: &mut Ring, command: DiskCommand, waiting: &mut Vec<PendingAppend>) {
    match command {
        DiskCommand::Release(segment) => ring.release(segment),
        DiskCommand::Append { body, done } => match ring.append(&body) {
            Ok(segment) => waiting.push((Written { segment, free: ring.free() }, done)),
            Err(error) => {
                let _ = done.send(Err(error));
            }
        },
    }
}
