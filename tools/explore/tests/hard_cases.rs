//! The hard cases of the operators' list, each played transition by transition on the courier's own code. The
//! exploration passes through all of them; here each has a test with its name.

use quillmount_explore::action::{Action, Answer, CallRef, CrashPoint, Transition, WriteExtent};
use quillmount_explore::case::{Case, FaultKind};
use quillmount_explore::property::{Property, Violation};
use quillmount_explore::world::{World, is_benign};
use std::sync::Arc;

/// A world whose transitions the test chooses.
struct ManualWorld(World);

const M0: CallRef = CallRef { message: 0, attempt: 0 };
const M1: CallRef = CallRef { message: 1, attempt: 0 };

impl ManualWorld {
    fn new(events: &[FaultKind], change: impl FnOnce(&mut Case)) -> ManualWorld {
        let mut case = Case { events: events.iter().copied().collect(), endpoints: 1, ..Case::default() };
        change(&mut case);
        ManualWorld(World::new(&Arc::new(case)).unwrap())
    }

    fn try_apply(&mut self, action: Action) -> Result<(), Violation> {
        let open = self.0.actions();
        assert!(open.contains(&action), "{action} is not open: {open:?}");
        self.0.apply(Transition { action, crash: None })
    }

    fn apply(&mut self, actions: &[Action]) -> &mut Self {
        actions.iter().for_each(|c| self.try_apply(*c).unwrap_or_else(|v| panic!("{c}: {v}")));
        self
    }

    fn crash(&mut self, action: Action, after: u32, torn: bool) -> &mut Self {
        self.0.apply(Transition { action, crash: Some(CrashPoint { after, torn }) }).unwrap();
        self
    }

    fn debit(&mut self) -> &mut Self {
        self.apply(&[Action::Submit { class: 0, dest: 0 }])
    }

    fn notice(&mut self) -> &mut Self {
        self.apply(&[Action::Submit { class: 1, dest: 0 }])
    }

    fn send_complete(&mut self, call_ref: CallRef) -> &mut Self {
        self.apply(&[Action::Connected(call_ref), Action::Write(call_ref, WriteExtent::Complete)])
    }

    /// The clock goes on to this time, with whatever is due on the way, but for calls' own time-outs there.
    fn advance_to(&mut self, at: u64) -> &mut Self {
        while self.0.now() < at {
            let open = self.0.actions();
            let due =
                open.iter().find(|c| matches!(c, Action::Tick | Action::CallTick(_) | Action::NoticeTick));
            let pass = open.iter().find(|c| matches!(c, Action::AdvanceClock { .. }));
            let start = open.iter().find(|c| matches!(c, Action::Start));
            let next = *due.or(pass).or(start).unwrap_or_else(|| panic!("time stands still: {open:?}"));
            self.apply(&[next]);
        }
        assert_eq!(self.0.now(), at);
        self
    }

    fn restart(&mut self) -> &mut Self {
        let until = self.0.now() + 600_000;
        self.advance_to(until).apply(&[Action::Start])
    }

    /// Without further faults: everything comes to its end.
    fn run_to_end(&mut self) {
        for _ in 0..500 {
            let open = self.0.actions();
            let benign = open.iter().copied().filter(|action| is_benign(*action));
            // What is due goes first, and nothing more is submitted.
            let mut benign: Vec<Action> =
                benign.filter(|action| !matches!(action, Action::Submit { .. })).collect();
            benign.sort_by_key(|action| matches!(action, Action::AdvanceClock { .. }));
            match benign.first() {
                Some(next) => self.apply(&[*next]),
                None => return self.0.check_quiescent().unwrap(),
            };
        }
        panic!("no end: {:?}", self.0.describe());
    }

    fn calls_of(&self, message: usize) -> usize {
        self.0.monitor.messages[message].calls.len()
    }
}

const DEADLINE: u64 = 16_000_000;

#[test]
fn an_answer_at_the_deadline_and_a_microsecond_before_and_after() {
    // A microsecond before the deadline by one clock may be after it by another: the platform gets a notice too.
    for (at, delivered, notified) in [(0, true, false), (DEADLINE - 1, true, true), (DEADLINE, false, true)] {
        let mut world = ManualWorld::new(&[FaultKind::Timeout], |_| {});
        world.debit().send_complete(M0);
        if at > 0 {
            world.advance_to(at);
        }
        world.apply(&[Action::Answer(M0, Answer::Ok)]);
        world.run_to_end();
        let m = &world.0.monitor.messages[0];
        assert_eq!((m.delivered, m.notice.is_some()), (delivered, notified), "at {at}: {m:?}");
    }
    // A microsecond later the call has ended; at the very deadline either may come first.
    let mut world = ManualWorld::new(&[FaultKind::Timeout], |_| {});
    world.debit().send_complete(M0).advance_to(DEADLINE).apply(&[Action::Deadline(M0)]);
    assert!(!world.0.actions().contains(&Action::Answer(M0, Answer::Ok)));
    world.run_to_end();
    assert!(world.0.monitor.messages[0].notice.is_some());
}

#[test]
fn a_drain_in_the_middle_of_a_write() {
    let mut world =
        ManualWorld::new(&[FaultKind::PartialWrite, FaultKind::Drain, FaultKind::Timeout], |_| {});
    world.debit().apply(&[
        Action::Connected(M0),
        Action::Write(M0, WriteExtent::Partial),
        Action::EndpointDraining(0),
    ]);
    // Its first byte had left: it goes on, and nothing new follows.
    world.apply(&[Action::Write(M0, WriteExtent::Complete), Action::Answer(M0, Answer::Ok)]).notice();
    world.run_to_end();
    assert_eq!((world.calls_of(0), world.calls_of(1)), (1, 0));
}

#[test]
fn a_drain_announced_while_connecting() {
    let mut world = ManualWorld::new(&[FaultKind::Drain, FaultKind::NeverConnects], |_| {});
    world.debit().apply(&[Action::EndpointDraining(0), Action::Connected(M0)]);
    world.run_to_end();
    assert_eq!(world.calls_of(0), 0);
}

#[test]
fn a_wait_received_while_another_call_to_the_destination_is_written() {
    let mut world = ManualWorld::new(&[FaultKind::PartialWrite, FaultKind::Wait], |case| {
        (case.endpoints, case.slots) = (2, 8);
    });
    world.debit().apply(&[Action::Connected(M0), Action::Write(M0, WriteExtent::Partial)]);
    world.debit().send_complete(M1).apply(&[Action::Answer(M1, Answer::Wait)]);
    assert!(!world.0.actions().contains(&Action::Write(M0, WriteExtent::Complete)), "the call was cancelled");
    world.run_to_end();
    assert!(world.0.monitor.messages.iter().all(|m| m.delivered));
}

#[test]
fn a_kill_between_the_202_and_the_first_byte() {
    let mut world = ManualWorld::new(&[FaultKind::Kill], |case| case.incarnations = 2);
    world.debit().apply(&[Action::Kill]).restart();
    world.run_to_end();
    // The attempt was recorded: as far as the next incarnation knows, the call may have run.
    assert!(world.0.monitor.messages[0].is_final());
}

#[test]
fn a_kill_between_the_journal_record_and_the_first_byte() {
    for (after, torn) in [(1, false), (1, true), (2, false)] {
        let mut world =
            ManualWorld::new(&[FaultKind::Kill, FaultKind::TornWrite], |case| case.incarnations = 2);
        world.crash(Action::Submit { class: 0, dest: 0 }, after, torn).restart();
        world.run_to_end();
        // With no record of an attempt it is sent; with one it is not sent again.
        assert_eq!(world.calls_of(0), usize::from(after == 1), "{after} {torn}");
    }
}

#[test]
fn a_kill_between_the_200_that_was_read_and_its_record() {
    for class in [0, 1] {
        let mut world = ManualWorld::new(&[FaultKind::Kill], |case| case.incarnations = 2);
        world.apply(&[Action::Submit { class, dest: 0 }]).send_complete(M0);
        world.crash(Action::Answer(M0, Answer::Ok), 0, false).restart();
        world.run_to_end();
        assert_eq!(
            world.calls_of(0),
            1 + usize::from(class == 1),
            "a debit once, a notice twice within its span"
        );
    }
}

#[test]
fn a_lost_confirmation_and_the_notice_resent_after_a_kill() {
    let mut world =
        ManualWorld::new(&[FaultKind::Reset, FaultKind::Lose, FaultKind::Kill], |case| case.incarnations = 2);
    world.debit().send_complete(M0).apply(&[
        Action::Reset(M0),
        Action::SendNotices,
        Action::NoticesLost { received: true },
    ]);
    let first = world.0.monitor.messages[0].notice;
    world.apply(&[Action::Kill]).restart();
    world.apply(&[Action::SendNotices, Action::Confirmed]);
    assert_eq!((first.is_some(), world.0.monitor.messages[0].notice), (true, first));
    world.run_to_end();
}

#[test]
fn a_debit_timed_out_while_its_answer_is_in_the_socket() {
    let mut world = ManualWorld::new(&[FaultKind::Timeout, FaultKind::Race], |_| {});
    world.debit().send_complete(M0).advance_to(DEADLINE);
    world.apply(&[Action::AnswerArrived(M0, Answer::Ok), Action::Deadline(M0)]);
    world.run_to_end();
    assert_eq!(world.calls_of(0), 1);
}

#[test]
fn the_same_id_while_its_notice_is_unconfirmed() {
    let mut world = ManualWorld::new(&[FaultKind::Reset, FaultKind::Resubmit], |_| {});
    world.debit().send_complete(M0).apply(&[Action::Reset(M0), Action::SendNotices]);
    world.apply(&[Action::Resubmit { message: 0 }, Action::Confirmed, Action::Resubmit { message: 0 }]);
    world.run_to_end();
    assert_eq!(world.calls_of(0), 1);
}

/// The checks of these tests can fail: an endpoint that answers 200 twice violates nothing, a second send does.
#[test]
fn a_second_send_of_a_debit_is_a_violation() {
    let mut world = ManualWorld::new(&[FaultKind::Timeout], |_| {});
    world.debit().send_complete(M0);
    let case = Case::default();
    let violation = world.0.monitor.last_byte(&case, 1_000_000_000_001, 0, 1).unwrap_err();
    assert_eq!(violation.property, Property::NoRepeat);
}
