//! The state of a simulated process: whether it is up, which incarnation of it runs, and how long it is frozen.

use crate::simulation::Time;

/// A process that can be killed, restarted and frozen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    is_up: bool,
    incarnation: u64,
    frozen_until: Time,
}

impl Process {
    /// A running process in this incarnation.
    #[must_use]
    pub const fn running(incarnation: u64) -> Process {
        Process { is_up: true, incarnation, frozen_until: 0 }
    }

    /// Whether the process has been started and not killed since. It may be frozen.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.is_up
    }

    /// Changes with each kill, so that what a killed process has started (writes, calls) doesn't reach its successor.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the process handles events now: it is up and not frozen.
    #[must_use]
    pub const fn is_running(&self, now: Time) -> bool {
        self.is_up && self.frozen_until <= now
    }

    /// When a frozen process resumes; `None` if it isn't frozen now. What arrives before waits until then.
    #[must_use]
    pub fn resumes_at(&self, now: Time) -> Option<Time> {
        Some(self.frozen_until).filter(|until| *until > now)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_up = false;
        self.incarnation += 1;
    }

    /// Starts the process, which isn't frozen then.
    pub fn start(&mut self) {
        self.is_up = true;
        self.frozen_until = 0;
    }

    /// Freezes the process until this time, as SIGSTOP does, or for longer if it is frozen already.
    pub fn freeze_until(&mut self, until: Time) {
        self.frozen_until = self.frozen_until.max(until);
    }
}
