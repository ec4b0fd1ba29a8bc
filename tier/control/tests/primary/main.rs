//! One primary of the core, without other members.

mod harness;
mod late_replies;
mod unaltered_changes;
