//! Discrete event simulation: a world whose events are handled in the order of virtual time, in steps of a millisecond.
//!
//! A world has a [`Timeline`] and implements [`Simulation`], which runs it. Nothing waits for the system's clock, and the
//! same events always give the same run.

use std::collections::BTreeMap;

/// Microseconds of virtual time.
pub type Time = u64;
/// A millisecond.
pub const MILLI: Time = 1_000;
/// A second.
pub const SECOND: Time = 1_000_000;

/// Length of a step.
const STEP: Time = MILLI;

/// The virtual clock, and the events that are still to come.
#[derive(Debug)]
pub struct Timeline<Event> {
    now: Time,
    /// Number of the last event that was scheduled; it orders events of the same time.
    last_event: u64,
    events: BTreeMap<(Time, u64), Event>,
}

impl<Event> Timeline<Event> {
    /// A timeline without events, which starts at this time.
    #[must_use]
    pub const fn new(start: Time) -> Timeline<Event> {
        Timeline { now: start, last_event: 0, events: BTreeMap::new() }
    }

    /// The time now.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Adds an event. Events of the same time are handled in the order in which they were added; an event whose time has
    /// passed is the next one.
    pub fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// Takes the next event that is due by this time, and advances the clock to it.
    pub fn next_due(&mut self, by: Time) -> Option<Event> {
        let next = self.events.first_entry().filter(|entry| entry.key().0 <= by)?;
        let ((at, _), event) = next.remove_entry();
        self.now = self.now.max(at);
        Some(event)
    }

    /// Advances the clock to this time, by which no event is due any more.
    pub fn advance_to(&mut self, time: Time) {
        self.now = time;
    }
}

/// A world on virtual time.
pub trait Simulation {
    /// What happens at a time.
    type Event;

    /// The clock and the events of this world.
    fn timeline(&self) -> &Timeline<Self::Event>;

    /// The same, to be changed.
    fn timeline_mut(&mut self) -> &mut Timeline<Self::Event>;

    /// Handles an event at its time.
    fn handle_event(&mut self, event: Self::Event);

    /// What the world does before the events of a step.
    fn before_step(&mut self) {}

    /// What the world does after the events of a step, such as periodic work.
    fn after_step(&mut self);

    /// The time now.
    fn now(&self) -> Time {
        self.timeline().now()
    }

    /// Whether periodic work with this interval is due now.
    fn is_due_every(&self, interval: Time) -> bool {
        self.now().is_multiple_of(interval)
    }

    /// Adds an event.
    fn schedule(&mut self, at: Time, event: Self::Event) {
        self.timeline_mut().schedule(at, event);
    }

    /// Runs the world for this time, rounded up to steps.
    fn run(&mut self, span: Time) {
        let end = self.now() + span;
        while self.now() < end {
            self.before_step();
            let due = self.now() + STEP;
            while let Some(event) = self.timeline_mut().next_due(due) {
                self.handle_event(event);
            }
            self.timeline_mut().advance_to(due);
            self.after_step();
        }
    }

    /// Runs the world until the condition is met, which is checked after each interval; returns whether it was met within
    /// the limit.
    fn run_until(&mut self, interval: Time, limit: Time, is_met: impl Fn(&Self) -> bool) -> bool {
        let end = self.now() + limit;
        while self.now() < end {
            self.run(interval);
            if is_met(self) {
                return true;
            }
        }
        false
    }
}
