//! `quillmount journal`: shows and verifies the journal in a courier's folder, without changing it.

use quillmount_core::journal::{AcceptedMessage, JournalContents, JournalRecord, Records};
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

/// Why a journal can't be shown, or is not sound.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A record can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file has bytes at its end that are no record.
    #[error(
        "{}: byte {sound}: no sound record begins here; the {rest} bytes from here on are dropped at the next start \
         (torn by a kill, if it is the last write)",
        .path.display()
    )]
    Torn {
        /// The file.
        path: PathBuf,
        /// The bytes of its sound records.
        sound: usize,
        /// The bytes that follow them.
        rest: usize,
    },
}

/// A journal's file.
struct JournalBytes {
    path: PathBuf,
    bytes: Vec<u8>,
}

impl JournalBytes {
    fn read(folder: &Path) -> Result<Self, InspectError> {
        let path = folder.join("journal");
        match std::fs::read(&path) {
            Ok(bytes) => Ok(JournalBytes { path, bytes }),
            Err(source) => Err(InspectError::Read { path, source }),
        }
    }

    /// Fails unless the sound records, of so many bytes, make up the complete file.
    fn check_complete(self, sound: usize) -> Result<(), InspectError> {
        match self.bytes.len() - sound {
            0 => Ok(()),
            rest => Err(InspectError::Torn { path: self.path, sound, rest }),
        }
    }
}

/// One record, as it is shown.
#[derive(Default, Serialize)]
struct Line<'a> {
    /// The byte of the file at which the record begins.
    at: usize,
    record: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    msg: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    dest: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body_bytes: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    never_ran: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<String>,
    /// A deadline, or when a call was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    time: Option<String>,
}

impl<'a> Line<'a> {
    /// The record that begins at a byte.
    fn new(at: usize, record: &'a JournalRecord) -> Self {
        let empty = Line { at, ..Line::default() };
        match record {
            JournalRecord::Accept { msg, message } => {
                Line { record: "take-on", msg: Some(*msg), ..Line::accepted(at, message) }
            }
            JournalRecord::Stream { msg, message } => {
                Line { record: "stream", msg: Some(*msg), ..Line::accepted(at, message) }
            }
            JournalRecord::Attempt { msg, sent_at, .. } | JournalRecord::Sent { msg, sent_at, .. } => {
                Line { record: "attempt", msg: Some(*msg), time: time(*sent_at), ..empty }
            }
            JournalRecord::Outcome { msg, attempt, never_ran } => Line {
                record: "outcome",
                msg: Some(*msg),
                attempt: Some(*attempt),
                never_ran: Some(*never_ran),
                ..empty
            },
            JournalRecord::End { msg, end } => {
                Line { record: "end", msg: Some(*msg), end: Some(format!("{end:?}")), ..empty }
            }
            JournalRecord::Confirmed { msg } => Line { record: "told", msg: Some(*msg), ..empty },
            JournalRecord::Ended { id, end, until } => Line {
                record: "over",
                id: Some(id),
                end: Some(format!("{end:?}")),
                time: time(*until),
                ..empty
            },
            JournalRecord::Disable { id } => Line { record: "hold", id: Some(id), ..empty },
            JournalRecord::Enable { id } => Line { record: "release", id: Some(id), ..empty },
            JournalRecord::Sealed => Line { record: "sealed", ..empty },
            JournalRecord::From { msg, source } => {
                Line { record: "from", msg: Some(*msg), end: Some(source.to_string()), ..empty }
            }
            JournalRecord::Settled { source, accepted } => Line {
                record: "settled",
                end: Some(format!("{source} {}", if *accepted { "kept" } else { "dropped" })),
                ..empty
            },
            JournalRecord::Settlement { settlement_id, line } => Line {
                record: "settlement",
                dest: Some(line.dest),
                body_bytes: Some(line.bytes.len()),
                end: Some(settlement_id.escape_default().to_string()),
                ..empty
            },
            JournalRecord::SettlementEnded { settlement_id } => Line {
                record: "settlement-over",
                end: Some(settlement_id.escape_default().to_string()),
                ..empty
            },
        }
    }

    /// The fields of a message that was accepted.
    fn accepted(at: usize, message: &'a AcceptedMessage) -> Self {
        Line {
            at,
            id: Some(&message.id),
            class: Some(&message.class),
            key: message.key.as_deref(),
            dest: Some(message.dest),
            body_bytes: Some(message.body.len()),
            time: time(message.deadline),
            ..Line::default()
        }
    }
}

/// A time in microseconds since 1970, as RFC 3339 has it.
fn time(micros: u64) -> Option<String> {
    let time = UNIX_EPOCH.checked_add(Duration::from_micros(micros))?;
    Some(humantime::format_rfc3339_micros(time).to_string())
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>10}  {:8}", self.at, self.record)?;
        let fields: [(&str, Option<String>); 10] = [
            ("msg", self.msg.map(|n| n.to_string())),
            ("id", self.id.map(str::to_string)),
            ("class", self.class.map(str::to_string)),
            ("key", self.key.map(str::to_string)),
            ("dest", self.dest.map(|n| n.to_string())),
            ("body", self.body_bytes.map(|n| format!("{n}B"))),
            ("attempt", self.attempt.map(|n| n.to_string())),
            ("never_ran", self.never_ran.map(|b| b.to_string())),
            ("end", self.end.clone()),
            ("time", self.time.clone()),
        ];
        fields.into_iter().try_for_each(|(name, value)| match value {
            Some(value) => write!(f, " {name}={value}"),
            None => Ok(()),
        })
    }
}

/// Prints every record and, unless as JSON, a summary of the messages that they leave.
///
/// # Errors
/// The journal can't be read, or has bytes at its end that are no record.
pub fn show(folder: &Path, json: bool) -> Result<(), InspectError> {
    let journal = JournalBytes::read(folder)?;
    for (at, record) in Records::new(&journal.bytes) {
        let line = Line::new(at, &record);
        match json {
            true => println!("{}", serde_json::to_string(&line)?),
            false => println!("{line}"),
        }
    }
    let (contents, sound) = JournalContents::read(&journal.bytes);
    if !json {
        let out = contents.disabled.iter().count();
        println!(
            "{} owed, {} over and remembered, {out} endpoints out",
            contents.owed.len(),
            contents.ended.len()
        );
    }
    journal.check_complete(sound)
}

/// Checks that every byte belongs to a sound record.
///
/// # Errors
/// The journal can't be read, or has bytes at its end that are no record.
pub fn verify(folder: &Path) -> Result<(), InspectError> {
    let journal = JournalBytes::read(folder)?;
    let records = Records::new(&journal.bytes).count();
    let (contents, sound) = JournalContents::read(&journal.bytes);
    let path = journal.path.clone();
    journal.check_complete(sound)?;
    println!("{}: {records} records in {sound} bytes, {} owed: sound", path.display(), contents.owed.len());
    Ok(())
}
