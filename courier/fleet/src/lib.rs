//! Several couriers as one fleet that survives failures: membership by lease, a replicated state, replicated journals,
//! and the takeover of journals whose courier is lost.
//!
//! All are state machines without I/O: a driver passes in inputs with the time, and carries out the outputs
//! (`docs/fleet-design.md`). [`member::Member`] is one courier; it composes the replicated log ([`agreement`]), the
//! state that the log's commands lead to ([`state`]), leases ([`lease`]), replicas of journals ([`replication`]) and
//! shares of partners' budgets ([`shares`], [`budget`]). [`settlement`] sends runs of messages that belong together, in
//! order, by one owning courier for each run. [`message`] has what couriers send to each other, [`config`] the settings.

pub mod agreement;
pub mod breaks;
pub mod budget;
pub mod config;
mod ids;
pub mod lease;
pub mod member;
pub mod message;
pub mod replication;
pub mod settlement;
pub mod shares;
pub mod state;

/// A courier's id in the agreement: drawn at random when its folder is new, and stored there. After the loss of a
/// folder the courier has a new id, so that it can't vote twice in a term.
pub type NodeId = u64;
