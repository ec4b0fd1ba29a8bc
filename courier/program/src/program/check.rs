//! `quillmount check`: all that is wrong with a configuration and an operator file.

use super::config::Config;
use super::log;
use quillmount_operator::problems::Problem;
use quillmount_operator::{Operator, OperatorError};
use std::path::Path;

/// Why the check did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// No file was named.
    #[error("check: neither GW_CONFIG nor --config nor --operator names a file")]
    NoFile,
    /// The files have so many problems, which are printed already.
    #[error("{}", problem_count(.0))]
    Problems(usize),
}

fn problem_count(count: &usize) -> String {
    match count {
        1 => "one problem".into(),
        count => format!("{count} problems"),
    }
}

/// Prints what is sound; returns an error that counts the problems, which are printed one a line.
///
/// # Errors
/// There is something wrong with a file, or no file was named.
pub fn check(config: Option<&Path>, operator: Option<&Path>) -> Result<(), CheckError> {
    if config.is_none() && operator.is_none() {
        return Err(CheckError::NoFile);
    }
    let mut count = 0;
    let mut report = |path: &Path, problems: Vec<Problem>| {
        count += problems.len();
        match problems.is_empty() {
            true => println!("{}: sound", path.display()),
            false => problems.iter().for_each(|problem| eprintln!("{}: {problem}", path.display())),
        }
    };
    if let Some(path) = config {
        report(path, Config::problems(path, |name| std::env::var(name).ok()));
    }
    if let Some(path) = operator {
        report(path, problems_of(path));
    }
    match count {
        0 => Ok(()),
        count => Err(CheckError::Problems(count)),
    }
}

/// All that is wrong with an operator file.
fn problems_of(path: &Path) -> Vec<Problem> {
    match Operator::load(path) {
        Ok(operator) => {
            let levels = log::parse("$.log.filter", &operator.log.filter);
            let levels = levels.err().map(|e| Problem::new("$.log.filter", e.to_string()));
            let budgets = crate::fleet::problems(&operator.fleet);
            // Each says its path first.
            let budgets = budgets.into_iter().map(|problem| match problem.to_string().split_once(": ") {
                Some((path, what)) => Problem::new(path, what),
                None => Problem::new("$.fleet.budgets", problem.to_string()),
            });
            levels.into_iter().chain(budgets).collect()
        }
        Err(OperatorError::Problems { problems, .. }) => problems,
        Err(OperatorError::Read { source, .. }) => vec![Problem::new("$", source.to_string())],
    }
}
