//! The file as a whole: its sections, how it is loaded and checked, and its schema.

use crate::checks::{fleet_problems, streams_problems};
use crate::error::OperatorError;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::problems::{self, Problem, UnknownFields};
use crate::streams::Streams;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// The version that this program reads.
pub const VERSION: u32 = 1;
/// Bytes of a file at most; a longer one is not read.
const MAX_FILE_LENGTH: u64 = 1 << 20;

/// What an operator switches on beyond the platform's protocol. Sizes and spans are texts with units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Operator {
    /// Where editors find the schema; the courier does not read it.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// The file's version: 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// The section `log`.
    #[serde(default)]
    #[schemars(description = "")]
    pub log: Log,
    /// The section `streams`.
    #[serde(default)]
    #[schemars(description = "")]
    pub streams: Streams,
    /// The section `fleet`.
    #[serde(default)]
    #[schemars(description = "")]
    pub fleet: Fleet,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            schema: None,
            version: VERSION,
            log: Log::default(),
            streams: Streams::default(),
            fleet: Fleet::default(),
        }
    }
}

impl Operator {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// The file can't be read or is too long, or everything that is wrong with it, each with its path.
    pub fn load(path: &Path) -> Result<Operator, OperatorError> {
        let name = path.display().to_string();
        let text = match read_file(path) {
            Ok(text) => text,
            Err(source) => return Err(OperatorError::Read { path: name, source }),
        };
        Operator::parse(&text).map_err(|problems| OperatorError::Problems { path: name, problems })
    }

    /// Parses a text, and checks also what the types can't express.
    ///
    /// # Errors
    /// Everything that is wrong with it, each with its path.
    pub fn parse(text: &[u8]) -> Result<Operator, Vec<Problem>> {
        let operator: Operator = problems::read(text, UnknownFields::Reject)?;
        if operator.version != VERSION {
            let what = format!("{}, where this program reads {VERSION}", operator.version);
            return Err(vec![Problem::new("$.version", what)]);
        }
        let found = operator.problems();
        if found.is_empty() { Ok(operator) } else { Err(found) }
    }

    /// The schema of the file, as JSON with a line end.
    pub fn schema_text() -> String {
        let schema = schemars::schema_for!(Operator);
        // A schema is plain JSON: maps of text, numbers and lists.
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }

    /// Everything that is wrong with the sections, and between them.
    fn problems(&self) -> Vec<Problem> {
        let mut found = streams_problems(&self.streams);
        found.extend(fleet_problems(&self.fleet));
        if self.fleet.on && self.streams.on {
            let what = "bodies that are passed on have no copy: switch one of the two off";
            found.push(Problem::new("$.streams.on", what));
        }
        found
    }
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let length = std::fs::metadata(path)?.len();
    if length > MAX_FILE_LENGTH {
        return Err(io::Error::other(format!("{length} bytes, where {MAX_FILE_LENGTH} is the most")));
    }
    std::fs::read(path)
}
