//! Prints the records of a data folder, of a core member or a store, without changing it.

use quillmount_batch::StoreRecord;
use quillmount_control::ControlState;
use quillmount_storage::{StorageError, read_records};
use quillmount_wire::messages::{Register, decode};
use std::path::Path;

/// Prints the records of a folder to standard output, one line each, oldest first.
pub fn print(folder: &Path) -> Result<(), StorageError> {
    for record in read_records(folder)? {
        println!("segment {}: {}", record.segment, describe(&record.body));
    }
    Ok(())
}

/// One line about a record; store records and registers are distinguished by their encoding.
fn describe(body: &[u8]) -> String {
    if let Some(register) = describe_register(body) {
        return register;
    }
    match StoreRecord::decode(body) {
        Ok(record) => describe_store_record(&record),
        Err(error) => format!("{} bytes that are no record of this version: {error}", body.len()),
    }
}

/// Describes a register with an accepted value; `None` for any other record.
fn describe_register(body: &[u8]) -> Option<String> {
    let register = decode::<Register>(body).ok()?;
    let accepted = register.accepted?;
    let state = ControlState::decode(&accepted.value.payload).ok()?;
    Some(format!(
        "register promised {} accepted {}.{}: configuration {}, {} core members, {} stores, {} shards",
        register.promised,
        accepted.epoch,
        accepted.sequence,
        state.version,
        state.placement.core.len(),
        state.placement.stores.len(),
        state.placement.shards.len()
    ))
}

fn describe_store_record(record: &StoreRecord) -> String {
    match record {
        StoreRecord::Operations { shard, epoch, first, operations } => {
            format!("shard {shard} epoch {epoch}: {} operations from {first}", operations.len())
        }
        StoreRecord::Install { shard, epoch, dropped, jobs, next } => {
            format!(
                "shard {shard} epoch {epoch}: {} jobs in, {} out, next {next:?}",
                jobs.len(),
                dropped.len()
            )
        }
        StoreRecord::TermStart { shard, epoch } => format!("shard {shard} epoch {epoch}: primary"),
        StoreRecord::RewriteEnd { shard, epoch, last_primary_epoch, jobs, next } => {
            format!(
                "shard {shard} epoch {epoch}: whole with {} jobs, next {next}, led in {last_primary_epoch}",
                jobs.len()
            )
        }
        StoreRecord::RewriteStart => "a rewrite of all shards begins".to_owned(),
    }
}
