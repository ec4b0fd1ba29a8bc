//! Checks of sections that their types can't express: limits, and values that have to agree with each other.

mod fleet;
mod streams;

pub(crate) use fleet::fleet_problems;
pub(crate) use streams::streams_problems;

use crate::problems::Problem;
use std::fmt::Display;

/// The checks of one section, and the problems that they have found.
struct SectionChecks {
    section: &'static str,
    problems: Vec<Problem>,
}

impl SectionChecks {
    fn new(section: &'static str) -> Self {
        SectionChecks { section, problems: Vec::new() }
    }

    /// Notes a problem at `path` below the section unless the value is valid.
    fn require(&mut self, is_valid: bool, path: impl Display, what: impl Into<String>) {
        if !is_valid {
            self.report(path, what);
        }
    }

    /// Notes a problem at `path` below the section.
    fn report(&mut self, path: impl Display, what: impl Into<String>) {
        self.problems.push(Problem::new(format!("$.{}.{path}", self.section), what));
    }
}
