//! Reads a state folder and changes nothing.

use quillmount_batch::StoreRecord;
use quillmount_control::ControlState;
use quillmount_storage::{StorageError, read_records};
use quillmount_wire::messages::{Register, decode};
use std::path::Path;

/// Prints what the records of a folder hold, a line each.
pub fn print(folder: &Path) -> Result<(), StorageError> {
    for record in read_records(folder)? {
        println!("segment {}: {}", record.segment, describe(&record.body));
    }
    Ok(())
}

fn describe(body: &[u8]) -> String {
    if let Ok(register) = decode::<Register>(body)
        && let Some(accepted) = &register.accepted
        && let Ok(state) = ControlState::decode(&accepted.value.payload)
    {
        return format!(
            "register promised {} accepted {}.{}: configuration {}, {} core members, {} stores, {} shards",
            register.promised,
            accepted.epoch,
            accepted.sequence,
            state.version,
            state.placement.core.len(),
            state.placement.stores.len(),
            state.placement.shards.len()
        );
    }
    match StoreRecord::decode(body) {
        Ok(StoreRecord::Operations { shard, epoch, first, operations }) => {
            format!("shard {shard} epoch {epoch}: {} operations from {first}", operations.len())
        }
        Ok(StoreRecord::Install { shard, epoch, dropped, jobs, next }) => {
            format!(
                "shard {shard} epoch {epoch}: {} jobs in, {} out, next {next:?}",
                jobs.len(),
                dropped.len()
            )
        }
        Ok(StoreRecord::TermStart { shard, epoch }) => format!("shard {shard} epoch {epoch}: primary"),
        Ok(StoreRecord::RewriteEnd { shard, epoch, last_primary_epoch, jobs, next }) => {
            format!(
                "shard {shard} epoch {epoch}: whole with {} jobs, next {next}, led in {last_primary_epoch}",
                jobs.len()
            )
        }
        Ok(StoreRecord::RewriteStart) => "a rewrite of all shards begins".to_owned(),
        Err(error) => format!("{} bytes that are no record of this version: {error}", body.len()),
    }
}
