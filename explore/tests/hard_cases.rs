//! The hard cases of the operators' list, each played out move by move on the courier's own code. The
//! exploration passes through all of them; here each stands by its name.

use quillmount_explore::case::{Case, Event};
use quillmount_explore::choice::{Answer, Choice, Die, Move, Which, Written};
use quillmount_explore::monitor::{Property, Violation};
use quillmount_explore::world::World;
use std::sync::Arc;

/// A world that is played by hand.
struct Play(World);

const M0: Which = Which { message: 0, attempt: 0 };
const M1: Which = Which { message: 1, attempt: 0 };

impl Play {
    fn new(events: &[Event], change: impl FnOnce(&mut Case)) -> Play {
        let mut case = Case { events: events.iter().copied().collect(), endpoints: 1, ..Case::default() };
        change(&mut case);
        Play(World::new(&Arc::new(case)).unwrap())
    }

    fn try_take(&mut self, choice: Choice) -> Result<(), Violation> {
        let open = self.0.choices();
        assert!(open.contains(&choice), "{choice} is not open: {open:?}");
        self.0.take(Move { choice, die: None })
    }

    fn take(&mut self, choices: &[Choice]) -> &mut Self {
        choices.iter().for_each(|c| self.try_take(*c).unwrap_or_else(|v| panic!("{c}: {v}")));
        self
    }

    fn die(&mut self, choice: Choice, after: u32, torn: bool) -> &mut Self {
        self.0.take(Move { choice, die: Some(Die { after, torn }) }).unwrap();
        self
    }

    fn debit(&mut self) -> &mut Self {
        self.take(&[Choice::HandIn { class: 0, dest: 0 }])
    }

    fn notice(&mut self) -> &mut Self {
        self.take(&[Choice::HandIn { class: 1, dest: 0 }])
    }

    fn sent(&mut self, w: Which) -> &mut Self {
        self.take(&[Choice::Up(w), Choice::Write(w, Written::Whole)])
    }

    /// The clock goes on to this time, with whatever is due on the way, but for calls' own time-outs there.
    fn until(&mut self, at: u64) -> &mut Self {
        while self.0.now() < at {
            let open = self.0.choices();
            let due =
                open.iter().find(|c| matches!(c, Choice::Tick | Choice::CallTick(_) | Choice::NoticeTick));
            let pass = open.iter().find(|c| matches!(c, Choice::Pass { .. }));
            let start = open.iter().find(|c| matches!(c, Choice::Start));
            let next = *due.or(pass).or(start).unwrap_or_else(|| panic!("time stands still: {open:?}"));
            self.take(&[next]);
        }
        assert_eq!(self.0.now(), at);
        self
    }

    fn again_up(&mut self) -> &mut Self {
        let until = self.0.now() + 600_000;
        self.until(until).take(&[Choice::Start])
    }

    /// A kind world from here on: everything comes to its end.
    fn ends(&mut self) {
        for _ in 0..500 {
            let open = self.0.choices();
            let kind = open.iter().filter(|c| quillmount_explore::world::is_kind(**c));
            // What is due goes first, and nothing more is handed in.
            let mut kind: Vec<Choice> =
                kind.copied().filter(|c| !matches!(c, Choice::HandIn { .. })).collect();
            kind.sort_by_key(|c| matches!(c, Choice::Pass { .. }));
            match kind.first() {
                Some(next) => self.take(&[*next]),
                None => return self.0.at_rest().unwrap(),
            };
        }
        panic!("no end: {:?}", self.0.describe());
    }

    fn sends(&self, message: usize) -> usize {
        self.0.monitor.messages[message].sent.len()
    }
}

const DEADLINE: u64 = 16_000_000;

#[test]
fn a_reply_at_the_very_deadline_and_a_microsecond_before_and_after() {
    // By the clock of whoever judges it a moment before may be a moment after: its end is told too.
    for (at, delivered, tells) in [(0, true, false), (DEADLINE - 1, true, true), (DEADLINE, false, true)] {
        let mut play = Play::new(&[Event::Timeout], |_| {});
        play.debit().sent(M0);
        if at > 0 {
            play.until(at);
        }
        play.take(&[Choice::Answer(M0, Answer::Ok)]);
        play.ends();
        let m = &play.0.monitor.messages[0];
        assert_eq!((m.delivered, m.notice.is_some()), (delivered, tells), "at {at}: {m:?}");
    }
    // A microsecond later the call is over; at the very deadline either may come first.
    let mut play = Play::new(&[Event::Timeout], |_| {});
    play.debit().sent(M0).until(DEADLINE).take(&[Choice::Deadline(M0)]);
    assert!(!play.0.choices().contains(&Choice::Answer(M0, Answer::Ok)));
    play.ends();
    assert!(play.0.monitor.messages[0].notice.is_some());
}

#[test]
fn a_drain_in_the_middle_of_a_write() {
    let mut play = Play::new(&[Event::Part, Event::Drain, Event::Timeout], |_| {});
    play.debit().take(&[Choice::Up(M0), Choice::Write(M0, Written::Part), Choice::Drain(0)]);
    // Its first byte had left: it goes on, and nothing new follows.
    play.take(&[Choice::Write(M0, Written::Whole), Choice::Answer(M0, Answer::Ok)]).notice();
    play.ends();
    assert_eq!((play.sends(0), play.sends(1)), (1, 0));
}

#[test]
fn a_drain_told_while_connecting() {
    let mut play = Play::new(&[Event::Drain, Event::Never], |_| {});
    play.debit().take(&[Choice::Drain(0), Choice::Up(M0)]);
    play.ends();
    assert_eq!(play.sends(0), 0);
}

#[test]
fn a_wait_told_while_another_call_of_the_destination_is_written() {
    let mut play = Play::new(&[Event::Part, Event::Wait], |case| (case.endpoints, case.slots) = (2, 8));
    play.debit().take(&[Choice::Up(M0), Choice::Write(M0, Written::Part)]);
    play.debit().sent(M1).take(&[Choice::Answer(M1, Answer::Wait)]);
    assert!(!play.0.choices().contains(&Choice::Write(M0, Written::Whole)), "it is broken off");
    play.ends();
    assert!(play.0.monitor.messages.iter().all(|m| m.delivered));
}

#[test]
fn a_kill_between_the_202_and_the_first_byte() {
    let mut play = Play::new(&[Event::Kill], |case| case.lives = 2);
    play.debit().take(&[Choice::Kill]).again_up();
    play.ends();
    // The record of the attempt stood: the call may have run for all that the next life knows.
    assert!(play.0.monitor.messages[0].is_final());
}

#[test]
fn a_kill_between_the_record_and_the_byte() {
    for (after, torn) in [(1, false), (1, true), (2, false)] {
        let mut play = Play::new(&[Event::Kill, Event::Tear], |case| case.lives = 2);
        play.die(Choice::HandIn { class: 0, dest: 0 }, after, torn).again_up();
        play.ends();
        // With no record of an attempt it is sent; with one it is not sent again.
        assert_eq!(play.sends(0), usize::from(after == 1), "{after} {torn}");
    }
}

#[test]
fn a_kill_between_the_200_that_was_read_and_its_record() {
    for class in [0, 1] {
        let mut play = Play::new(&[Event::Kill], |case| case.lives = 2);
        play.take(&[Choice::HandIn { class, dest: 0 }]).sent(M0);
        play.die(Choice::Answer(M0, Answer::Ok), 0, false).again_up();
        play.ends();
        assert_eq!(play.sends(0), 1 + usize::from(class == 1), "a debit once, a notice again in its span");
    }
}

#[test]
fn a_confirmation_lost_and_the_notice_sent_again_after_the_kill() {
    let mut play = Play::new(&[Event::Reset, Event::Lose, Event::Kill], |case| case.lives = 2);
    play.debit().sent(M0).take(&[Choice::Reset(M0), Choice::SendNotices, Choice::Lost { got: true }]);
    let first = play.0.monitor.messages[0].notice;
    play.take(&[Choice::Kill]).again_up();
    play.take(&[Choice::SendNotices, Choice::Confirmed]);
    assert_eq!((first.is_some(), play.0.monitor.messages[0].notice), (true, first));
    play.ends();
}

#[test]
fn a_debit_given_up_while_its_answer_is_in_the_socket() {
    let mut play = Play::new(&[Event::Timeout, Event::Race], |_| {});
    play.debit().sent(M0).until(DEADLINE);
    play.take(&[Choice::Arrives(M0, Answer::Ok), Choice::Deadline(M0)]);
    play.ends();
    assert_eq!(play.sends(0), 1);
}

#[test]
fn the_same_id_while_its_notice_is_unconfirmed() {
    let mut play = Play::new(&[Event::Reset, Event::Again], |_| {});
    play.debit().sent(M0).take(&[Choice::Reset(M0), Choice::SendNotices]);
    play.take(&[Choice::Again { message: 0 }, Choice::Confirmed, Choice::Again { message: 0 }]);
    play.ends();
    assert_eq!(play.sends(0), 1);
}

/// What is played here by hand can fail: a provider that says 200 twice would be no break, a second send is.
#[test]
fn a_second_send_of_a_debit_is_a_break() {
    let mut play = Play::new(&[Event::Timeout], |_| {});
    play.debit().sent(M0);
    let case = Case::default();
    let violation = play.0.monitor.last_byte(&case, 1_000_000_000_001, 0, 1).unwrap_err();
    assert_eq!(violation.property, Property::NoRepeat);
}
