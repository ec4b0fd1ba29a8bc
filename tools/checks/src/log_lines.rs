//! Log lines at warn and error: each stands on a page for those on call.
//!
//! A line's text in the code has placeholders, the page has names in capitals for them. A line counts as explained if the fixed
//! parts of its text stand, in their order, in one text in backticks of a page.

use crate::{display_path, production_files};
use regex::Regex;
use std::path::Path;

/// The pages that explain log lines.
const PAGES: [&str; 2] = ["docs/on-call.md", "docs/operating.md"];
/// Programs whose lines operators see. Tools and stand-ins write for developers.
const PROGRAMS: [&str; 2] = ["courier", "tier"];

/// A log line of the code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The file that writes it.
    pub file: String,
    /// The format string.
    pub text: String,
}

/// All lines at warn and error of the programs.
///
/// # Panics
/// A file of the repository can't be read.
pub fn log_lines(root: &Path) -> Vec<LogLine> {
    let pattern = Regex::new(r#"\b(?:warn|error)!\(\s*(?:[^"();]*,\s*)?"((?:(?s:\\.)|[^"\\])*)""#)
        .expect("a valid pattern");
    let continuation = Regex::new(r"\\\n\s*").expect("a valid pattern");
    let mut lines = Vec::new();
    for path in production_files(root) {
        let file = display_path(root, &path);
        if !PROGRAMS.iter().any(|program| file.starts_with(program)) || file.contains("/examples/") {
            continue;
        }
        let Ok(text) = std::fs::read_to_string(&path) else { continue };
        for found in pattern.captures_iter(&text) {
            let text = continuation.replace_all(&found[1], "").into_owned();
            lines.push(LogLine { file: file.clone(), text });
        }
    }
    lines
}

/// Lines that no page explains. A line that consists of placeholders only passes on another text.
pub fn unexplained(root: &Path) -> Vec<LogLine> {
    let explained: Vec<String> = PAGES
        .iter()
        .filter_map(|page| std::fs::read_to_string(root.join(page)).ok())
        .flat_map(|page| page.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>())
        .collect();
    let is_explained =
        |line: &LogLine| explained.iter().any(|text| contains_in_order(text, &fixed_parts(&line.text)));
    log_lines(root)
        .into_iter()
        .filter(|line| !fixed_parts(&line.text).is_empty() && !is_explained(line))
        .collect()
}

/// The parts of a format string between its placeholders, without spaces at their ends.
fn fixed_parts(format: &str) -> Vec<String> {
    let placeholder = Regex::new(r"\{[^{}]*\}").expect("a valid pattern");
    let parts = placeholder.split(format).map(|part| part.trim().to_owned());
    parts.filter(|part| part.chars().any(char::is_alphanumeric)).collect()
}

fn contains_in_order(text: &str, parts: &[String]) -> bool {
    let mut rest = text;
    parts.iter().all(|part| match rest.find(part.as_str()) {
        Some(start) => {
            rest = &rest[start + part.len()..];
            true
        }
        None => false,
    })
}
