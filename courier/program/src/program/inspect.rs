//! `quillmount journal`: what stands in a courier's folder, read and never changed.

use quillmount_core::journal::{JournalContents, JournalRecord, Records};
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

type Error = Box<dyn std::error::Error>;

fn read(folder: &Path) -> Result<(PathBuf, Vec<u8>), Error> {
    let path = folder.join("journal");
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((path, bytes))
}

/// One record, as it is shown.
#[derive(Serialize)]
struct Line<'a> {
    /// Where it begins in the file.
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
    fn of(at: usize, record: &'a JournalRecord) -> Self {
        let time = |micros: u64| {
            let time = UNIX_EPOCH.checked_add(Duration::from_micros(micros));
            time.map(|time| humantime::format_rfc3339_micros(time).to_string())
        };
        let empty = Line {
            at,
            record: "",
            msg: None,
            id: None,
            class: None,
            key: None,
            dest: None,
            body_bytes: None,
            attempt: None,
            never_ran: None,
            end: None,
            time: None,
        };
        match record {
            JournalRecord::Accept { msg, taken } | JournalRecord::Stream { msg, taken } => Line {
                record: if matches!(record, JournalRecord::Stream { .. }) { "stream" } else { "take-on" },
                msg: Some(*msg),
                id: Some(&taken.id),
                class: Some(&taken.class),
                key: taken.key.as_deref(),
                dest: Some(taken.dest),
                body_bytes: Some(taken.body.len()),
                time: time(taken.deadline),
                ..empty
            },
            JournalRecord::Attempt { msg, sent, .. } | JournalRecord::Sent { msg, sent, .. } => {
                Line { record: "attempt", msg: Some(*msg), time: time(*sent), ..empty }
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
            JournalRecord::Settlement { of, line } => Line {
                record: "settlement",
                dest: Some(line.dest),
                body_bytes: Some(line.bytes.len()),
                end: Some(of.escape_default().to_string()),
                ..empty
            },
            JournalRecord::SettlementEnded { of } => {
                Line { record: "settlement-over", end: Some(of.escape_default().to_string()), ..empty }
            }
        }
    }
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

/// Prints every record, and what they come to.
///
/// # Errors
/// The journal can't be read, or ends in what is no record.
pub fn show(folder: &Path, json: bool) -> Result<(), Error> {
    let (path, bytes) = read(folder)?;
    for (at, record) in Records::new(&bytes) {
        let line = Line::of(at, &record);
        match json {
            true => println!("{}", serde_json::to_string(&line)?),
            false => println!("{line}"),
        }
    }
    let (contents, sound) = JournalContents::read(&bytes);
    if !json {
        let out = contents.disabled.iter().count();
        println!(
            "{} owed, {} over and remembered, {out} endpoints out",
            contents.owed.len(),
            contents.ended.len()
        );
    }
    whole(&path, sound, bytes.len())
}

/// Says whether every byte belongs to a sound record.
///
/// # Errors
/// The journal can't be read, or ends in what is no record.
pub fn verify(folder: &Path) -> Result<(), Error> {
    let (path, bytes) = read(folder)?;
    let records = Records::new(&bytes).count();
    let (contents, sound) = JournalContents::read(&bytes);
    whole(&path, sound, bytes.len())?;
    println!("{}: {records} records in {sound} bytes, {} owed: sound", path.display(), contents.owed.len());
    Ok(())
}

fn whole(path: &Path, sound: usize, all: usize) -> Result<(), Error> {
    if sound == all {
        return Ok(());
    }
    let (path, rest) = (path.display(), all - sound);
    Err(format!(
        "{path}: byte {sound}: no sound record begins here; the {rest} bytes from here on are dropped at the next start \
         (torn by a kill, if it is the last write)"
    )
    .into())
}
