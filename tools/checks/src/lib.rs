//! Checks of the repository's own texts: names in the code, links between pages, log lines and the pages that explain them.
//!
//! Each check reads the files that stand in the work tree and returns what is wrong as a list of findings. The tests of this
//! package run them, so that `cargo test --workspace` holds code and pages together.

pub mod links;
pub mod log_lines;
pub mod names;

use std::path::{Path, PathBuf};

/// Folders that hold no text of the project: build results, and entries that the bench writes.
const SKIPPED_FOLDERS: [&str; 4] = ["target", "journal", ".git", "found"];

/// The root of the repository.
pub fn repository_root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.ancestors().nth(2).unwrap_or(package).to_path_buf()
}

/// All files below `folder` whose names end in `.extension`, sorted by path.
pub fn files_with_extension(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        let Ok(entries) = std::fs::read_dir(&folder) else { continue };
        for entry in entries.flatten() {
            let path = entry.path();
            let name = entry.file_name();
            if path.is_dir() {
                if !SKIPPED_FOLDERS.iter().any(|skipped| name == *skipped) {
                    folders.push(path);
                }
            } else if path.extension().is_some_and(|found| found == extension) {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}

/// Rust files of production code: those outside `tests` folders, and outside this package, which names the words it looks for.
pub fn production_files(root: &Path) -> Vec<PathBuf> {
    let is_production = |path: &PathBuf| {
        let relative = path.strip_prefix(root).unwrap_or(path);
        let in_tests = relative.components().any(|part| part.as_os_str() == "tests");
        !in_tests && !relative.starts_with("tools/checks")
    };
    files_with_extension(root, "rs").into_iter().filter(is_production).collect()
}

/// A file's path relative to the root, for findings.
pub fn display_path(root: &Path, path: &Path) -> String {
    path.strip_prefix(root).unwrap_or(path).display().to_string()
}
