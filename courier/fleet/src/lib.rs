//! A fleet of couriers that survives failures: membership by lease, a replicated state machine, replicated journals,
//! and the takeover of the journals of lost couriers.
//!
//! All modules are state machines without I/O: a driver passes inputs with the current time and carries out the
//! outputs (`docs/fleet-design.md`). [`member::Member`] is one courier. It combines the replicated log
//! ([`agreement`]), the state that results from the log's commands ([`state`]), leases ([`lease`]), replicas of
//! journals ([`replication`]) and shares of partners' budgets ([`shares`], [`budget`]). [`settlement`] sends ordered
//! sequences of messages, each owned by one courier. [`message`] defines the messages between couriers, [`config`]
//! the settings.

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

/// A courier's id in the Raft group. It is drawn at random for a new data directory and stored there. A courier that
/// has lost its data directory gets a new id, so that it can't vote twice in a term.
pub type NodeId = u64;
