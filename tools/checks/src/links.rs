//! Links and paths in the documentation: what a page names must be there.

use crate::{display_path, files_with_extension};
use regex::Regex;
use std::path::Path;

/// Pages that tell of earlier states of the repository, with the paths of their time.
const HISTORY: [&str; 2] = ["CHANGELOG.md", "docs/incidents"];

/// Links to files, and paths of pages and packages in backticks, that lead nowhere.
///
/// # Panics
/// A file of the repository can't be read.
pub fn broken_links(root: &Path) -> Vec<String> {
    let link = Regex::new(r"\]\(([^)#]+)(?:#[^)]*)?\)").expect("a valid pattern");
    let path_in_text =
        Regex::new(r"`((?:docs|courier|tier|tools|deploy)/[A-Za-z0-9_./-]+)`").expect("a valid pattern");
    let mut broken = Vec::new();
    for page in files_with_extension(root, "md") {
        let name = display_path(root, &page);
        if HISTORY.iter().any(|history| name.starts_with(history)) {
            continue;
        }
        let Ok(text) = std::fs::read_to_string(&page) else { continue };
        let folder = page.parent().unwrap_or(root);
        for target in link.captures_iter(&text).map(|found| found[1].to_owned()) {
            if !target.contains("://") && !folder.join(&target).exists() {
                broken.push(format!("{name}: link to {target}"));
            }
        }
        for target in path_in_text.captures_iter(&text).map(|found| found[1].to_owned()) {
            if !root.join(&target).exists() {
                broken.push(format!("{name}: path {target}"));
            }
        }
    }
    broken
}
