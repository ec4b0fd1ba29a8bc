//! The operator file: what a courier does beyond the platform's protocol. Everything in it is off until it
//! is switched on, and without the file the courier is as the platform documents it.
//!
//! It is JSON with a version and a schema (`docs/schema/operator.json`), one section for each subsystem. Fields
//! that no section has are refused: a misspelt limit would else be one that is not kept.

pub mod problems;
pub mod units;

use problems::Problem;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The version that this program reads.
pub const VERSION: u32 = 1;
/// No file of this kind is longer; more is not read.
const FILE_MAX: u64 = 1 << 20;

/// What an operator switches on beyond the platform's protocol. Sizes and spans are texts with units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Operator {
    /// Where editors find the schema; the courier does not read it.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// The file's version: 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    #[serde(default)]
    pub log: Log,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { schema: None, version: VERSION, log: Log::default() }
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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line: time, level, module, text.
    #[default]
    Text,
    /// One JSON object a line: `timestamp`, `level`, `target`, `message`, and `span` with `id`, `dest` and `attempt`
    /// where the line is about one invoker call.
    Json,
}

/// Why there is no operator file to go by.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {}", joined(.problems))]
    Problems { path: String, problems: Vec<Problem> },
}

fn joined(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("; ")
}

impl Operator {
    /// Reads a file and checks what no type can say.
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
        Ok(operator)
    }

    /// The schema of the file, as JSON with a line end.
    pub fn schema_text() -> String {
        let schema = schemars::schema_for!(Operator);
        // A schema is plain JSON: maps of text, numbers and lists.
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn problems(text: &str) -> Vec<String> {
        Operator::parse(text.as_bytes()).unwrap_err().iter().map(Problem::to_string).collect()
    }

    #[test]
    fn the_least_file_has_everything_off() {
        assert_eq!(Operator::parse(br#"{"version": 1}"#).unwrap(), Operator::default());
    }

    #[test]
    fn what_is_wrong_is_told_with_its_path_and_all_at_once() {
        let told = problems(r#"{"version": 1, "log": {"format": "xml", "filer": "info"}, "strems": {}}"#);
        assert_eq!(told.len(), 3, "{told:?}");
        assert!(told[0].starts_with("$.log.format: unknown variant `xml`"), "{told:?}");
        assert_eq!(told[1..], ["$.log.filer: no such field", "$.strems: no such field"]);
        assert_eq!(problems("{}"), ["$: missing field `version`"]);
        assert_eq!(problems(r#"{"version": 2}"#), ["$.version: 2, where this program reads 1"]);
    }

    /// `docs/schema/operator.json` is what `quillmount schema` prints; the example holds to it.
    #[test]
    fn the_schema_on_the_page_is_fresh_and_the_example_has_everything_off() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let page = std::fs::read_to_string(root.join("docs/schema/operator.json")).unwrap();
        assert_eq!(
            page,
            Operator::schema_text(),
            "`quillmount schema > docs/schema/operator.json` renews it"
        );
        let example = Operator::load(&root.join("deploy/operator.json")).unwrap();
        assert_eq!(Operator { schema: None, ..example }, Operator::default());
    }
}
