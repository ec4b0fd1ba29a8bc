//! Why a courier can't be a member of its fleet.

use quillmount_fleet::budget::BudgetProblem;
use quillmount_fleet::member::MemberError;

/// A step of the membership that failed; the process can't start, or its planned stop is not complete.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The address for the other members can't be bound.
    #[error("fleet: listen on {addr}: {source}; is another courier's `listen` the same?")]
    Listen {
        /// The address.
        addr: String,
        /// Why.
        source: std::io::Error,
    },
    /// A field of the section is no address with a port.
    #[error("fleet: {what} {value:?} is no address; mend the operator file's section `fleet`")]
    Address {
        /// The field.
        what: &'static str,
        /// Its value.
        value: String,
    },
    /// The section's budgets contradict each other.
    #[error("operator file: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Budgets(Vec<BudgetProblem>),
    /// The member machine can't read or write its stores.
    #[error(transparent)]
    Member(#[from] MemberError),
    /// The state folder can't be read or written.
    #[error("fleet: the folder for what its members keep: {0}; check the lasting folder's disk and rights")]
    Folder(#[from] std::io::Error),
    /// The file of a sealed journal can't be renamed.
    #[error("fleet: the former journal can't be put aside: {0}; check the lasting folder's disk and rights")]
    Aside(std::io::Error),
    /// The section is off, and the folder is of a member that has not left its fleet.
    #[error(
        "fleet: {0} is of a member that has not left, and the section is off: others may have its work, which would be done \
         twice; start it with the section on and stop it with SIGTERM, or begin with an empty folder"
    )]
    StillMember(String),
}
