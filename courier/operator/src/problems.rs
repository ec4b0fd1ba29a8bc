//! Everything that is wrong with a JSON text, each with its path: who corrects a file by hand wants to know all of it at once.
//!
//! The operator file and the configuration (`courier/program`, `program/config`) are read with [`read`]. `serde` stops at its
//! first error; therefore the value at the error's path is replaced by a neutral one that is valid there, and the text is read
//! once more, until nothing is wrong but what was replaced.

use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;

/// Problems reported at most: a file with more is not a file of this kind.
pub const PROBLEMS_MAX: usize = 100;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where, as in `$.log.format`; `$` is the file as a whole.
    pub path: String,
    /// What is wrong there.
    pub what: String,
}

impl Problem {
    /// A problem at a path.
    pub fn new(path: impl Into<String>, what: impl Into<String>) -> Self {
        Problem { path: path.into(), what: what.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

/// What becomes of fields that the type does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownFields {
    /// They are problems.
    Reject,
    /// They are ignored, as the platform's settings want it ("new keys can show up").
    Ignore,
}

/// Reads a text, and goes on behind each error.
///
/// # Errors
/// All problems, in the order in which they are found; never none.
pub fn read<T: DeserializeOwned>(text: &[u8], unknown_fields: UnknownFields) -> Result<T, Vec<Problem>> {
    let mut value: Value =
        serde_json::from_slice(text).map_err(|error| vec![Problem::new("$", error.to_string())])?;
    let mut problems = Vec::new();
    loop {
        let attempt = ReadAttempt::<T>::new(&value);
        let problem = match attempt.result {
            Ok(read) => {
                if unknown_fields == UnknownFields::Reject {
                    let unknown = attempt.unknown_fields.into_iter();
                    problems.extend(unknown.map(|path| Problem::new(path, "no such field")));
                }
                return if problems.is_empty() { Ok(read) } else { Err(problems) };
            }
            Err(problem) => problem,
        };
        if problems.contains(&problem) || problems.len() >= PROBLEMS_MAX {
            return Err(problems);
        }
        let replaced = with_neutral_value::<T>(&value, &problem);
        problems.push(problem);
        match replaced {
            Some(replaced) => value = replaced,
            None => return Err(problems),
        }
    }
}

/// What a value reads as.
struct ReadAttempt<T> {
    result: Result<T, Problem>,
    /// Paths of the fields that the type does not have.
    unknown_fields: Vec<String>,
}

impl<T: DeserializeOwned> ReadAttempt<T> {
    fn new(value: &Value) -> Self {
        let mut track = serde_path_to_error::Track::new();
        let mut unknown_fields = Vec::new();
        let tracked = serde_path_to_error::Deserializer::new(value, &mut track);
        let result = serde_ignored::deserialize(tracked, |path| {
            unknown_fields.push(path_with_brackets(&path.to_string()));
        });
        let result = result.map_err(|error: serde_json::Error| {
            let path = track.path().to_string();
            let path = if path == "." { "$".to_owned() } else { format!("$.{path}") };
            Problem::new(path, error.to_string())
        });
        ReadAttempt { result, unknown_fields }
    }
}

/// The path `list.0.name` as `$.list[0].name`.
fn path_with_brackets(path: &str) -> String {
    let mut bracketed = "$".to_owned();
    for part in path.split('.') {
        let is_index = part.bytes().all(|byte| byte.is_ascii_digit());
        bracketed += &if is_index { format!("[{part}]") } else { format!(".{part}") };
    }
    bracketed
}

/// The same value with a neutral one in place of the problem, if one is valid there.
fn with_neutral_value<T: DeserializeOwned>(value: &Value, problem: &Problem) -> Option<Value> {
    let path = match missing_field(problem) {
        Some(name) => format!("{}.{name}", problem.path),
        None => problem.path.clone(),
    };
    neutral_values(problem).into_iter().find_map(|neutral| {
        let mut replaced = value.clone();
        put_at_path(&mut replaced, &path, neutral)?;
        let is_solved = match ReadAttempt::<T>::new(&replaced).result {
            Ok(_) => true,
            Err(next) => next != *problem && next.path != path,
        };
        is_solved.then_some(replaced)
    })
}

/// The field whose absence is the problem.
fn missing_field(problem: &Problem) -> Option<&str> {
    problem.what.strip_prefix("missing field `")?.split('`').next()
}

/// Values that may be valid in place of a problem, in the order in which they are tried.
fn neutral_values(problem: &Problem) -> Vec<Value> {
    let mut values = vec![
        Value::from(1),
        Value::from(""),
        Value::from("127.0.0.1:1"),
        Value::from(true),
        Value::Array(Vec::new()),
        Value::Object(serde_json::Map::new()),
        Value::Null,
    ];
    // The error of an enumeration quotes its variants behind this word: the first one is valid.
    let expected = problem.what.split_once("expected").map(|(_, rest)| rest);
    let variant = expected.and_then(|rest| rest.split('`').nth(1));
    values.extend(variant.map(Value::from));
    values
}

/// Puts a value where a path leads, if the path exists; only its last part may be missing.
fn put_at_path(value: &mut Value, path: &str, new: Value) -> Option<()> {
    let mut target = value;
    let path = path.strip_prefix('$')?;
    for part in path.split(['.', '[']).filter(|part| !part.is_empty()) {
        target = match part.strip_suffix(']') {
            Some(index) => target.get_mut(index.parse::<usize>().ok()?)?,
            None => target.as_object_mut()?.entry(part).or_insert(Value::Null),
        };
    }
    *target = new;
    Some(())
}
