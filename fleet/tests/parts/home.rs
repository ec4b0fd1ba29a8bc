//! A settlement's home.

use quillmount_fleet::settlement::home::{Homes, Input, Limits, Output, REST};
use quillmount_fleet::settlement::{
    Agreed, Ask, Book, Cause, Command, End, Error, Hand, Mode, Outcome, Repeat, Resume, SettlementId,
    Verdict, Word,
};
use spurshore::Micros;

/// One home; whatever it writes is in its book at once.
struct Alone {
    agreed: Agreed,
    homes: Homes,
    now: Micros,
}

fn id(name: &str) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest: 7 }
}

fn hand(position: u64, of: Option<u64>) -> Hand {
    let msg = format!("m{position}");
    Hand { position, of, msg, repeat: Repeat::Never, deadline: 90_000, size: 10, print: position }
}

impl Alone {
    fn new(limits: Limits) -> Alone {
        Alone { agreed: Agreed::default(), homes: Homes::new("x", 1, limits), now: 1 }
    }

    fn open(&mut self, name: &str) {
        let command = Command::Open { id: id(name), home: "x".into(), home_epoch: 1 };
        for event in self.agreed.apply(&command) {
            self.step(Input::Agreed(event));
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = self.homes.step(&self.agreed, input, self.now);
        let mut at = 0;
        while at < outputs.len() {
            if let Output::Write { seq, .. } = outputs[at] {
                outputs.extend(self.homes.step(&self.agreed, Input::Written { seq }, self.now));
            }
            at += 1;
        }
        outputs
    }

    fn ask(&mut self, name: &str, ask: Ask) -> Word {
        let outputs = self.step(Input::Ask { from: "y".into(), id: id(name), ask });
        let mut words = outputs.into_iter().filter_map(|output| match output {
            Output::Word { word, .. } => Some(word),
            _ => None,
        });
        words.next().expect("a word")
    }

    fn refusal(&mut self, name: &str, hand: Hand) -> Error {
        match self.ask(name, Ask::Hand(hand)) {
            Word::Refused(error) => error,
            word => panic!("{word:?}"),
        }
    }
}

#[test]
fn what_contradicts_is_refused_and_what_comes_twice_is_not() {
    let mut alone = Alone::new(Limits { positions: 50, ..Limits::default() });
    alone.open("a");
    for _ in 0..2 {
        assert_eq!(alone.ask("a", Ask::Hand(hand(3, None))), Word::TakenOn);
    }
    let other = |msg: &str, print| Hand { msg: msg.into(), print, ..hand(3, None) };
    assert!(matches!(alone.refusal("a", other("m9", 3)), Error::PositionTwice { .. }));
    assert!(matches!(alone.refusal("a", other("m3", 9)), Error::PositionTwice { .. }));
    assert!(matches!(alone.refusal("a", hand(0, None)), Error::Zero(_)));
    assert!(matches!(alone.refusal("a", hand(2, Some(2))), Error::Beyond { of: 2, .. }));
    assert!(matches!(alone.refusal("a", hand(51, None)), Error::TooLong { most: 50, .. }));
    assert_eq!(alone.ask("a", Ask::Hand(hand(3, Some(4)))), Word::TakenOn, "the count is news");
    assert_eq!(alone.ask("a", Ask::Closing { of: 4 }), Word::TakenOn);
    assert!(matches!(alone.refusal("a", hand(3, Some(5))), Error::TwoCounts { of: 4, other: 5, .. }));
    assert!(matches!(alone.refusal("a", hand(5, None)), Error::Beyond { of: 4, .. }));
    alone.now = 90_000;
    let late = alone.refusal("a", hand(1, None));
    assert!(matches!(late, Error::Late(_)));
    let text = late.to_string();
    assert!(text.starts_with("tenant \"north\", settlement \"a\", position 1: "), "{text}");
}

/// The tenant is full of messages that wait; the ones they wait for are taken all the same.
#[test]
fn a_full_tenant_is_told_when_to_come_again_and_what_others_wait_for_is_taken() {
    let mut alone = Alone::new(Limits { tenant_count: 3, tenant_bytes: 35, ..Limits::default() });
    alone.open("a");
    alone.open("b");
    for position in 2..=4 {
        assert_eq!(alone.ask("a", Ask::Hand(hand(position, None))), Word::TakenOn);
    }
    let refused = alone.refusal("b", hand(2, None));
    assert!(matches!(refused, Error::TooMuch { held: 3, bytes: 30, after: 89_999, .. }), "{refused:?}");
    assert_eq!(alone.ask("a", Ask::Hand(hand(1, None))), Word::TakenOn);
    assert_eq!(alone.ask("b", Ask::Hand(hand(1, None))), Word::TakenOn);
    assert_eq!(alone.homes.sizes(), (2, 5, 50));
}

#[test]
fn a_settlement_that_waits_ends_with_the_time_of_what_waits_or_by_the_idle_rule() {
    let mut alone = Alone::new(Limits { idle: 500, ..Limits::default() });
    alone.open("a");
    alone.open("b");
    assert_eq!(alone.ask("a", Ask::Hand(hand(2, None))), Word::TakenOn);
    let verdicts = |outputs: Vec<Output>| -> Vec<Verdict> {
        let all = outputs.into_iter().filter_map(|output| match output {
            Output::Agree(Command::Close { verdict, .. }) => Some(verdict),
            _ => None,
        });
        all.collect()
    };
    assert_eq!(alone.homes.wake_at(), Some(501));
    alone.now = 501;
    assert_eq!(verdicts(alone.step(Input::Tick)), [Verdict::Broken { at: 1, cause: Cause::Idle }]);
    alone.now = 90_000;
    let found = verdicts(alone.step(Input::Tick));
    assert!(found.contains(&Verdict::Broken { at: 1, cause: Cause::Missing }), "{found:?}");
    assert!(matches!(alone.refusal("a", hand(1, None)), Error::Over { .. }));
    assert_eq!(alone.ask("a", Ask::Hand(hand(2, None))), Word::Ended(End::NeverRan { broken_at: 1 }));
    assert_eq!(alone.homes.sizes().1, 0, "nothing waits any more");
}

#[test]
fn an_outcome_of_an_attempt_that_is_over_says_nothing_of_the_next() {
    let mut alone = Alone::new(Limits::default());
    alone.open("a");
    let sent = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|output| match output {
            Output::Send { attempt, .. } => Some(attempt),
            _ => None,
        })
    };
    let asked = Input::Ask { from: "y".into(), id: id("a"), ask: Ask::Hand(hand(1, Some(1))) };
    let first = sent(alone.step(asked)).unwrap();
    let outcome = |attempt, outcome| Input::Outcome { id: id("a"), attempt, outcome, lost: false };
    alone.step(outcome(first, Outcome::NeverRan { after: 0 }));
    alone.now += REST;
    let second = sent(alone.step(Input::Tick)).unwrap();
    assert_eq!(alone.step(outcome(first, Outcome::Delivered)), []);
    let closed = Verdict::Closed { of: 1 };
    let outputs = alone.step(outcome(second, Outcome::Delivered));
    let is_closed =
        |o: &Output| matches!(o, Output::Agree(Command::Close { verdict, .. }) if *verdict == closed);
    assert!(outputs.iter().any(is_closed), "{outputs:?}");
}

#[test]
fn a_budget_too_small_for_a_session_is_said_at_once() {
    let mut alone = Alone::new(Limits::default());
    alone.homes.set_mode(7, Mode::Session { resume: Resume::Never, linger: 0 });
    alone.homes.set_budget("north", 7, 1);
    alone.open("a");
    assert!(matches!(alone.refusal("a", hand(1, None)), Error::NoPin { budget: 1, least: 2, .. }));
    alone.homes.set_budget("north", 7, 2);
    assert_eq!(alone.ask("a", Ask::Hand(hand(1, None))), Word::TakenOn);
    assert_eq!(alone.homes.pinned("north", 7), 1);
}

#[test]
fn a_home_whose_records_are_lost_says_that_it_does_not_know() {
    let mut alone = Alone::new(Limits::default());
    alone.agreed.apply(&Command::Open { id: id("a"), home: "w".into(), home_epoch: 1 });
    let taker = Book { courier: "x".into(), epoch: 1 };
    let moved = alone.agreed.gone("w", 1, &[taker]);
    let mut outputs = alone.step(Input::Agreed(moved[0].clone()));
    assert!(matches!(&outputs[..], [Output::Fetch { term: 2, books, .. }] if books.len() == 2));
    outputs = alone.step(Input::Unreadable { id: id("a"), term: 2 });
    let lost = Verdict::Broken { at: 0, cause: Cause::RecordsLost };
    let is_told = |o: &Output| matches!(o, Output::Agree(Command::Close { verdict, .. }) if *verdict == lost);
    assert!(outputs.iter().any(is_told), "{outputs:?}");
}
