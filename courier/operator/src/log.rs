//! The section `log`: the log on standard error.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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
    /// One JSON object a line: `timestamp`, `level`, `target`, `message`, and `span` with `id`, `dest` and `attempt` where the
    /// line is about one delivery call.
    #[schemars(
        description = "One JSON object a line: `timestamp`, `level`, `target`, `message`, and `span` with `id`, `dest` and \
                       `attempt`\nwhere the line is about one invoker call."
    )]
    Json,
}
