//! Names of the earlier house style: `docs/glossary.md` lists the withdrawn words, and the identifiers that keep one of them in its
//! standard meaning.

use crate::{display_path, production_files};
use regex::Regex;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Heading of the glossary's list of withdrawn words, in backticks.
const WITHDRAWN_HEADING: &str = "## Withdrawn words";
/// Heading of the glossary's table of identifiers that keep such a word; the first cell of each row names them in backticks.
const EXCEPTIONS_HEADING: &str = "## Identifiers that keep such a word";

/// The words that no identifier may contain, and the identifiers that may all the same.
pub struct NamingRules {
    withdrawn: BTreeSet<String>,
    exceptions: BTreeSet<String>,
}

impl NamingRules {
    /// Reads the rules from the text of the glossary.
    pub fn from_glossary(glossary: &str) -> NamingRules {
        let withdrawn = quoted(section(glossary, WITHDRAWN_HEADING));
        let first_cells: String = section(glossary, EXCEPTIONS_HEADING)
            .lines()
            .filter_map(|line| line.strip_prefix('|')?.split('|').next())
            .collect();
        NamingRules { withdrawn, exceptions: quoted(&first_cells) }
    }

    /// How many words are withdrawn.
    pub fn withdrawn_count(&self) -> usize {
        self.withdrawn.len()
    }

    /// The identifiers that may keep such a word.
    pub fn exceptions(&self) -> &BTreeSet<String> {
        &self.exceptions
    }

    /// Whether a part of the identifier, split at case and underscores, is withdrawn.
    pub fn contains_withdrawn_word(&self, identifier: &str) -> bool {
        words_of(identifier).iter().any(|word| self.withdrawn.contains(word))
    }
}

/// The text between a heading and the next one of the same depth.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let Some(start) = page.find(heading) else { return "" };
    let body = &page[start + heading.len()..];
    body.find("\n## ").map_or(body, |end| &body[..end])
}

/// Everything in backticks.
fn quoted(text: &str) -> BTreeSet<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Lower-case words of an identifier in snake case or camel case.
fn words_of(identifier: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut after_lower_case = false;
    for letter in identifier.chars() {
        if letter == '_' || (letter.is_uppercase() && after_lower_case) {
            words.push(String::new());
        }
        after_lower_case = letter.is_lowercase() || letter.is_ascii_digit();
        if letter != '_'
            && let Some(word) = words.last_mut()
        {
            word.extend(letter.to_lowercase());
        }
    }
    words
}

/// Identifiers of production code that contain a withdrawn word, with the first file that uses each.
///
/// # Panics
/// A file of the repository can't be read.
pub fn identifiers_with_withdrawn_words(root: &Path, rules: &NamingRules) -> BTreeMap<String, String> {
    // In one pass, so that a quote in a comment, or slashes in a string, are what they are there.
    let not_code =
        Regex::new(r#""(?:(?s:\\.)|[^"\\])*"|'(?:\\.|[^'\\])'|//[^\n]*"#).expect("a valid pattern");
    let identifier = Regex::new(r"\b[A-Za-z_][A-Za-z0-9_]*\b").expect("a valid pattern");
    let mut found = BTreeMap::new();
    for path in production_files(root) {
        let Ok(text) = std::fs::read_to_string(&path) else { continue };
        let text = not_code.replace_all(&text, "");
        for hit in identifier.find_iter(&text) {
            if rules.contains_withdrawn_word(hit.as_str()) {
                found.entry(hit.as_str().to_owned()).or_insert_with(|| display_path(root, &path));
            }
        }
    }
    found
}
