//! Prints the records of a data folder, of a core member or a store, without changing it.

use quillmount_batch::StoreRecord;
use quillmount_control::ControlState;
use quillmount_storage::{ContentsError, FolderContents, StorageError, read_contents, read_records};
use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{Register, decode};
use std::path::Path;

/// Why a folder can't be printed.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// Its ring can't be read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// What it holds can't be read.
    #[error(transparent)]
    Contents(#[from] ContentsError),
}

/// Prints the records of a folder to standard output, one line each, oldest first.
pub fn print(folder: &Path) -> Result<(), InspectError> {
    let contents = read_contents(folder)?;
    for record in read_records(folder)? {
        println!("segment {}: {}", record.segment, describe(contents, &record.body));
    }
    Ok(())
}

/// One line about a record.
fn describe(contents: Option<FolderContents>, body: &[u8]) -> String {
    match contents {
        Some(FolderContents::ControlState) => decode::<Register>(body)
            .map_or_else(|error| describe_unknown(body, &error), |register| describe_register(&register)),
        Some(FolderContents::BatchJobs) => StoreRecord::decode(body)
            .map_or_else(|error| describe_unknown(body, &error), |record| describe_store_record(&record)),
        None => describe_unmarked(body),
    }
}

/// One line about a record of a folder whose contents an earlier version did not note: a record counts as a register if one with
/// a control state can be decoded, and otherwise as that of a store.
fn describe_unmarked(body: &[u8]) -> String {
    let register = decode::<Register>(body).ok();
    let state = register.as_ref().and_then(control_state);
    match (register, StoreRecord::decode(body)) {
        (Some(register), _) if state.is_some() => describe_register(&register),
        (_, Ok(record)) => describe_store_record(&record),
        (Some(register), Err(_)) => describe_register(&register),
        (None, Err(error)) => describe_unknown(body, &error),
    }
}

fn describe_unknown(body: &[u8], error: &FrameError) -> String {
    format!("{} bytes that are no record of this version: {error}", body.len())
}

/// The control state that a register accepted, if it can be decoded.
fn control_state(register: &Register) -> Option<ControlState> {
    ControlState::decode(&register.accepted.as_ref()?.value.payload).ok()
}

fn describe_register(register: &Register) -> String {
    let promised = format!("register promised {}", register.promised);
    let Some(accepted) = &register.accepted else { return format!("{promised}, nothing accepted") };
    let position = format!("{promised} accepted {}.{}", accepted.epoch, accepted.sequence);
    let Some(state) = control_state(register) else {
        return format!("{position}: a state that this version can't decode");
    };
    format!(
        "{position}: configuration {}, {} core members, {} stores, {} shards",
        state.version,
        state.placement.core.len(),
        state.placement.stores.len(),
        state.placement.shards.len()
    )
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
        StoreRecord::InstallPart { shard, epoch, origin, part } => {
            let end = if part.ended.is_some() { ", the last part" } else { "" };
            format!(
                "shard {shard} epoch {epoch}: part of job {} by a {origin:?}, {} results from {}{end}",
                part.job_id,
                part.results.len(),
                part.first_result
            )
        }
        StoreRecord::RewriteStart => "a rewrite of all shards begins".to_owned(),
    }
}
