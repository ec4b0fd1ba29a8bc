//! The operator file: what a courier does beyond the platform's protocol. Everything in it is off until it
//! is switched on, and without the file the courier is as the platform documents it.
//!
//! It is JSON with a version and a schema (`docs/schema/operator.json`), one section for each subsystem. Fields
//! that no section has are refused: a misspelt limit would else be one that is not kept.
//!
//! The doc comments of the section types are the descriptions in that schema. Where a field is described here only,
//! `#[schemars(description = "")]` keeps the description out of it.

pub mod fleet;
mod fleet_problems;
pub mod problems;
pub mod units;

use fleet::Fleet;
use problems::Problem;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;
use units::{Size, Span};

/// The version that this program reads.
pub const VERSION: u32 = 1;
/// No file of this kind is longer; more is not read.
const FILE_MAX: u64 = 1 << 20;

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

/// The log on standard error. `filter` is read again on SIGHUP, `format` at the start only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Log {
    /// Lines for people, or JSON for machines.
    pub format: LogFormat,
    /// Levels by module, as in `info,quillmount=debug`; the variable RUST_LOG goes before it.
    #[schemars(extend("x-reload" = "SIGHUP"))]
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: LogFormat::Text, filter: "info".into() }
    }
}

/// The form of the lines on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(description = "")]
pub enum LogFormat {
    /// One line: time, level, module, text.
    #[default]
    Text,
    /// One JSON object a line: `timestamp`, `level`, `target`, `message`, and `span` with `id`, `dest` and `attempt`
    /// where the line is about one invoker call.
    Json,
}

/// Bodies that are passed on as they arrive: those of more than 64 KiB, and those in chunks. Off by default; on the
/// platform, where no body is larger, it stays off. Read at the start only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Streams {
    /// Whether the section is in force.
    #[schemars(description = "")]
    pub on: bool,
    /// The classes that may stream; none: all of them.
    pub classes: Vec<String>,
    /// The largest body.
    pub largest: Size,
    /// The longest `X-Time-Left`: a stream ends by then, however it ends.
    pub longest: Span,
    /// Bytes kept of each body between its consumer and its provider, and for another attempt.
    pub window: Size,
    /// Bytes kept of all bodies together: each stream sets its whole window aside.
    pub memory: Size,
    /// The streams' part of the slots; one slot at least.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share_of_slots: f64,
    /// The streams' part of each destination's window; one call at least.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share_of_window: f64,
    /// Bytes that all streams together move in one turn of the loop.
    pub turn: Size,
    /// What a consumer has to keep to while there is room for its bytes.
    #[serde(rename = "consumer")]
    pub client: Pace,
    /// What a provider has to keep to while there are bytes for it.
    #[serde(rename = "provider")]
    pub endpoint: Pace,
}

impl Default for Streams {
    fn default() -> Self {
        Streams {
            on: false,
            classes: Vec::new(),
            largest: Size(4 << 30),
            longest: seconds(3_600),
            window: Size(256 << 10),
            memory: Size(16 << 20),
            share_of_slots: 0.5,
            share_of_window: 0.5,
            turn: Size(1 << 20),
            client: Pace::default(),
            endpoint: Pace::default(),
        }
    }
}

const fn seconds(n: u64) -> Span {
    Span(std::time::Duration::from_secs(n))
}

/// How slow one side of a stream may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
#[schemars(deny_unknown_fields)]
pub struct Pace {
    /// It is given up after so long without a byte.
    pub stall: Span,
    /// It moves so much at least in each span of `over`.
    pub least: Size,
    /// The span in which `least` has to be moved.
    #[serde(rename = "over")]
    #[schemars(description = "")]
    pub interval: Span,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { stall: seconds(30), least: Size(1 << 10), interval: seconds(60) }
    }
}

impl Streams {
    /// The number of streams at once: as many windows as fit into `memory`.
    pub fn most(&self) -> usize {
        usize::try_from(self.memory.0 / self.window.0.max(1)).unwrap_or(usize::MAX)
    }

    /// All that is wrong with the section and that its types can't express.
    fn problems(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut must = |valid: bool, path: &str, what: String| {
            if !valid {
                found.push(Problem::new(format!("$.streams.{path}"), what));
            }
        };
        let within = |name: &str, value: f64| format!("{name}: from 0 to 1 is possible, not {value}");
        for (name, value) in
            [("share_of_slots", self.share_of_slots), ("share_of_window", self.share_of_window)]
        {
            must((0.0..=1.0).contains(&value), name, within(name, value));
        }
        must(
            (4 << 10..=64 << 20).contains(&self.window.0),
            "window",
            format!("from 4 KiB to 64 MiB is possible, not {}", self.window),
        );
        must(
            self.memory >= self.window,
            "memory",
            format!("{} has no room for one window of {}", self.memory, self.window),
        );
        must(self.largest.0 > 0, "largest", "nothing could be streamed".into());
        must(self.turn.0 >= 16 << 10, "turn", format!("16 KiB at least, not {}", self.turn));
        let day = std::time::Duration::from_secs(86_400);
        must(
            !self.longest.0.is_zero() && self.longest.0 <= day,
            "longest",
            format!("up to a day is possible, not {}", self.longest),
        );
        for (side, pace) in [("consumer", &self.client), ("provider", &self.endpoint)] {
            must(!pace.stall.0.is_zero(), &format!("{side}.stall"), "nothing moves in no time".into());
            must(!pace.interval.0.is_zero(), &format!("{side}.over"), "nothing moves in no time".into());
        }
        found
    }
}

/// Why an operator file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file can't be read, or is too long.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file was read, and something in it is wrong.
    #[error("{path}: {}", joined(.problems))]
    Problems {
        /// The file.
        path: String,
        /// All that is wrong; never empty.
        problems: Vec<Problem>,
    },
}

fn joined(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("; ")
}

impl Operator {
    /// Reads a file, and checks also what the types can't express.
    ///
    /// # Errors
    /// It can't be read, or all that is wrong with it, each with its path.
    pub fn load(path: &Path) -> Result<Operator, OperatorError> {
        let name = path.display().to_string();
        let read = |source| OperatorError::Read { path: name.clone(), source };
        let length = std::fs::metadata(path).map_err(read)?.len();
        if length > FILE_MAX {
            return Err(read(std::io::Error::other(format!("{length} bytes, where {FILE_MAX} is the most"))));
        }
        let text = std::fs::read(path).map_err(read)?;
        Operator::parse(&text).map_err(|problems| OperatorError::Problems { path: name, problems })
    }

    /// Reads a text.
    ///
    /// # Errors
    /// All that is wrong with it, each with its path.
    pub fn parse(text: &[u8]) -> Result<Operator, Vec<Problem>> {
        let operator: Operator = problems::read(text, true)?;
        if operator.version != VERSION {
            let what = format!("{}, where this program reads {VERSION}", operator.version);
            return Err(vec![Problem::new("$.version", what)]);
        }
        let mut found = operator.streams.problems();
        found.extend(fleet_problems::problems(&operator.fleet));
        if operator.fleet.on && operator.streams.on {
            let what = "bodies that are passed on have no copy: switch one of the two off";
            found.push(Problem::new("$.streams.on", what));
        }
        if !found.is_empty() {
            return Err(found);
        }
        Ok(operator)
    }

    /// The schema of the file, as JSON with a line end.
    pub fn schema_text() -> String {
        let schema = schemars::schema_for!(Operator);
        // A schema is plain JSON: maps of text, numbers and lists.
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
