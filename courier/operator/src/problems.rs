//! Everything that is wrong with a JSON text, each with its path: who has to correct a file by hand wants to
//! know all of it at once.

use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;

/// Problems reported at most: a file with more is no file of this kind.
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

/// Reads a text, and goes on behind each error: what is wrong is put right with a neutral value, and the
/// rest is read again. Unknown fields are problems if `strict`, and are passed over if not, as the platform's
/// settings want it ("new keys can show up").
///
/// # Errors
/// All problems, in the order in which they are come across; never none.
pub fn read<T: DeserializeOwned>(text: &[u8], strict: bool) -> Result<T, Vec<Problem>> {
    let mut value: Value =
        serde_json::from_slice(text).map_err(|e| vec![Problem::new("$", e.to_string())])?;
    let mut problems = Vec::new();
    loop {
        let (read, unknown) = read_once::<T>(&value);
        match read {
            Ok(read) if problems.is_empty() && (unknown.is_empty() || !strict) => return Ok(read),
            Ok(_) => {
                if strict {
                    problems.extend(unknown.into_iter().map(|path| Problem::new(path, "no such field")));
                }
                return Err(problems);
            }
            Err(problem) => {
                let known = problems.contains(&problem) || problems.len() >= PROBLEMS_MAX;
                let next = (!known).then(|| with_neutral_value::<T>(&value, &problem)).flatten();
                if !known {
                    problems.push(problem);
                }
                match next {
                    Some(next) => value = next,
                    None => return Err(problems),
                }
            }
        }
    }
}

/// What the value reads as, and the fields that nothing knows.
fn read_once<T: DeserializeOwned>(value: &Value) -> (Result<T, Problem>, Vec<String>) {
    let mut track = serde_path_to_error::Track::new();
    let mut unknown = Vec::new();
    let read = {
        let tracked = serde_path_to_error::Deserializer::new(value, &mut track);
        serde_ignored::deserialize(tracked, |path| unknown.push(indexed(&path.to_string())))
    };
    let read = read.map_err(|e| {
        let path = track.path().to_string();
        Problem::new(if path == "." { "$".into() } else { format!("$.{path}") }, e.to_string())
    });
    (read, unknown)
}

/// A path whose numbers stand in brackets.
fn indexed(path: &str) -> String {
    let parts = path.split('.').map(|part| match part.bytes().all(|b| b.is_ascii_digit()) {
        true => format!("[{part}]"),
        false => format!(".{part}"),
    });
    std::iter::once("$".to_string()).chain(parts).collect()
}

/// The same value with the problem out of the way, if a neutral value does that.
fn with_neutral_value<T: DeserializeOwned>(value: &Value, problem: &Problem) -> Option<Value> {
    let missing = problem.what.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    let path = match missing {
        Some(name) => format!("{}.{name}", problem.path),
        None => problem.path.clone(),
    };
    let mut neutral = vec![Value::from(1), Value::from(""), Value::from("127.0.0.1:1"), Value::from(true)];
    neutral.extend([Value::Array(Vec::new()), Value::Object(Default::default()), Value::Null]);
    // Of a choice the first one: it stands between the first quotes behind this word.
    let choice = problem.what.split_once("expected").and_then(|(_, rest)| rest.split('`').nth(1));
    neutral.extend(choice.map(Value::from));
    neutral.into_iter().find_map(|neutral| {
        let mut next = value.clone();
        put_at_path(&mut next, &path, neutral)?;
        let (read, _) = read_once::<T>(&next);
        let out_of_the_way = read.err().is_none_or(|e| e.path != problem.path || e.what != problem.what);
        let elsewhere = || read_once::<T>(&next).0.err().is_none_or(|e| e.path != path);
        (out_of_the_way && elsewhere()).then_some(next)
    })
}

/// Puts a value where a path leads; the last part may be missing there.
fn put_at_path(value: &mut Value, path: &str, new: Value) -> Option<()> {
    let mut at = value;
    let path = path.strip_prefix('$')?;
    for part in path.split(['.', '[']).filter(|part| !part.is_empty()) {
        at = match part.strip_suffix(']') {
            Some(n) => at.get_mut(n.parse::<usize>().ok()?)?,
            None => at.as_object_mut()?.entry(part).or_insert(Value::Null),
        };
    }
    *at = new;
    Some(())
}
