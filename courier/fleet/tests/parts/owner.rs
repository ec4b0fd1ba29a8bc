//! The owner of settlements.

use quillmount_fleet::settlement::owner::{
    ATTEMPT_BACKOFF, OwnedCounts, OwnedSettlements, OwnerInput, OwnerOutput, SettlementLimits,
};
use quillmount_fleet::settlement::{
    Cause, End, JournalRef, Mode, Outcome, Repeat, Resume, SequencedMessage, SettlementCommand,
    SettlementError, SettlementId, SettlementRegistry, SettlementReply, SettlementRequest, Verdict,
};
use quillmount_policy::Micros;

/// A single owner; whatever it writes is in its journal at once.
struct SingleOwner {
    registry: SettlementRegistry,
    owned: OwnedSettlements,
    now: Micros,
}

fn id(name: &str) -> SettlementId {
    SettlementId { tenant: "north".into(), name: name.into(), dest: 7 }
}

fn sequenced(position: u64, total: Option<u64>) -> SequencedMessage {
    let message_id = format!("m{position}");
    SequencedMessage {
        position,
        total,
        message_id,
        repeat: Repeat::Never,
        deadline: 90_000,
        size: 10,
        checksum: position,
    }
}

impl SingleOwner {
    fn new(limits: SettlementLimits) -> SingleOwner {
        SingleOwner {
            registry: SettlementRegistry::default(),
            owned: OwnedSettlements::new("x", 1, limits),
            now: 1,
        }
    }

    fn open(&mut self, name: &str) {
        let command = SettlementCommand::Open { id: id(name), owner: "x".into(), owner_epoch: 1 };
        for event in self.registry.apply(&command) {
            self.step(OwnerInput::Committed(event));
        }
    }

    fn step(&mut self, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut outputs = self.owned.step(&self.registry, input, self.now);
        let mut at = 0;
        while at < outputs.len() {
            if let OwnerOutput::Write { seq, .. } = outputs[at] {
                outputs.extend(self.owned.step(&self.registry, OwnerInput::Written { seq }, self.now));
            }
            at += 1;
        }
        outputs
    }

    fn request(&mut self, name: &str, request: SettlementRequest) -> SettlementReply {
        let outputs = self.step(OwnerInput::Request { from: "y".into(), id: id(name), request });
        let mut words = outputs.into_iter().filter_map(|output| match output {
            OwnerOutput::Reply { reply, .. } => Some(reply),
            _ => None,
        });
        words.next().expect("a word")
    }

    fn refusal(&mut self, name: &str, sequenced: SequencedMessage) -> SettlementError {
        match self.request(name, SettlementRequest::Submit(sequenced)) {
            SettlementReply::Rejected(error) => error,
            reply => panic!("{reply:?}"),
        }
    }
}

#[test]
fn contradictions_are_rejected_and_duplicates_are_accepted() {
    let mut owner = SingleOwner::new(SettlementLimits { positions: 50, ..SettlementLimits::default() });
    owner.open("a");
    for _ in 0..2 {
        assert_eq!(
            owner.request("a", SettlementRequest::Submit(sequenced(3, None))),
            SettlementReply::Accepted
        );
    }
    let other = |message_id: &str, checksum| SequencedMessage {
        message_id: message_id.into(),
        checksum,
        ..sequenced(3, None)
    };
    assert!(matches!(owner.refusal("a", other("m9", 3)), SettlementError::PositionTwice { .. }));
    assert!(matches!(owner.refusal("a", other("m3", 9)), SettlementError::PositionTwice { .. }));
    assert!(matches!(owner.refusal("a", sequenced(0, None)), SettlementError::Zero(_)));
    assert!(matches!(owner.refusal("a", sequenced(2, Some(2))), SettlementError::Beyond { total: 2, .. }));
    assert!(matches!(owner.refusal("a", sequenced(51, None)), SettlementError::TooLong { most: 50, .. }));
    assert_eq!(
        owner.request("a", SettlementRequest::Submit(sequenced(3, Some(4)))),
        SettlementReply::Accepted,
        "the count is news"
    );
    assert_eq!(owner.request("a", SettlementRequest::Closing { total: 4 }), SettlementReply::Accepted);
    assert!(matches!(
        owner.refusal("a", sequenced(3, Some(5))),
        SettlementError::TwoCounts { total: 4, other: 5, .. }
    ));
    assert!(matches!(owner.refusal("a", sequenced(5, None)), SettlementError::Beyond { total: 4, .. }));
    owner.now = 90_000;
    let late = owner.refusal("a", sequenced(1, None));
    assert!(matches!(late, SettlementError::Late(_)));
    let text = late.to_string();
    assert!(text.starts_with("tenant \"north\", settlement \"a\", position 1: "), "{text}");
}

/// The tenant is full of messages that wait; the ones they wait for are taken all the same.
#[test]
fn a_full_tenant_gets_a_retry_time_and_the_next_position_is_accepted() {
    let mut owner = SingleOwner::new(SettlementLimits {
        tenant_count: 3,
        tenant_bytes: 35,
        ..SettlementLimits::default()
    });
    owner.open("a");
    owner.open("b");
    for position in 2..=4 {
        assert_eq!(
            owner.request("a", SettlementRequest::Submit(sequenced(position, None))),
            SettlementReply::Accepted
        );
    }
    let refused = owner.refusal("b", sequenced(2, None));
    assert!(
        matches!(refused, SettlementError::TooManyWaiting { waiting: 3, bytes: 30, after: 89_999, .. }),
        "{refused:?}"
    );
    assert_eq!(owner.request("a", SettlementRequest::Submit(sequenced(1, None))), SettlementReply::Accepted);
    assert_eq!(owner.request("b", SettlementRequest::Submit(sequenced(1, None))), SettlementReply::Accepted);
    assert_eq!(owner.owned.counts(), OwnedCounts { settlements: 2, messages: 5, bytes: 50 });
}

#[test]
fn a_waiting_settlement_ends_by_its_deadline_or_the_idle_limit() {
    let mut owner = SingleOwner::new(SettlementLimits { idle: 500, ..SettlementLimits::default() });
    owner.open("a");
    owner.open("b");
    assert_eq!(owner.request("a", SettlementRequest::Submit(sequenced(2, None))), SettlementReply::Accepted);
    let verdicts = |outputs: Vec<OwnerOutput>| -> Vec<Verdict> {
        let all = outputs.into_iter().filter_map(|output| match output {
            OwnerOutput::Propose(SettlementCommand::Close { verdict, .. }) => Some(verdict),
            _ => None,
        });
        all.collect()
    };
    assert_eq!(owner.owned.wake_at(), Some(501));
    owner.now = 501;
    assert_eq!(verdicts(owner.step(OwnerInput::Tick)), [Verdict::Broken { at: 1, cause: Cause::Idle }]);
    owner.now = 90_000;
    let found = verdicts(owner.step(OwnerInput::Tick));
    assert!(found.contains(&Verdict::Broken { at: 1, cause: Cause::Missing }), "{found:?}");
    assert!(matches!(owner.refusal("a", sequenced(1, None)), SettlementError::Ended { .. }));
    assert_eq!(
        owner.request("a", SettlementRequest::Submit(sequenced(2, None))),
        SettlementReply::Ended(End::NeverRan { broken_at: 1 })
    );
    assert_eq!(owner.owned.counts().messages, 0, "nothing waits any more");
}

#[test]
fn an_outcome_of_an_earlier_attempt_is_ignored() {
    let mut owner = SingleOwner::new(SettlementLimits::default());
    owner.open("a");
    let sent = |outputs: Vec<OwnerOutput>| {
        outputs.into_iter().find_map(|output| match output {
            OwnerOutput::Send { attempt, .. } => Some(attempt),
            _ => None,
        })
    };
    let requested = OwnerInput::Request {
        from: "y".into(),
        id: id("a"),
        request: SettlementRequest::Submit(sequenced(1, Some(1))),
    };
    let first = sent(owner.step(requested)).unwrap();
    let outcome = |attempt, outcome| OwnerInput::Outcome { id: id("a"), attempt, outcome, lost: false };
    owner.step(outcome(first, Outcome::NeverRan { after: 0 }));
    owner.now += ATTEMPT_BACKOFF;
    let second = sent(owner.step(OwnerInput::Tick)).unwrap();
    assert_eq!(owner.step(outcome(first, Outcome::Delivered)), []);
    let closed = Verdict::Closed { total: 1 };
    let outputs = owner.step(outcome(second, Outcome::Delivered));
    let is_closed = |o: &OwnerOutput| matches!(o, OwnerOutput::Propose(SettlementCommand::Close { verdict, .. }) if *verdict == closed);
    assert!(outputs.iter().any(is_closed), "{outputs:?}");
}

#[test]
fn a_budget_too_small_for_a_session_is_rejected_at_once() {
    let mut owner = SingleOwner::new(SettlementLimits::default());
    owner.owned.set_mode(7, Mode::Session { resume: Resume::Never, linger: 0 });
    owner.owned.set_budget("north", 7, 1);
    owner.open("a");
    assert!(matches!(
        owner.refusal("a", sequenced(1, None)),
        SettlementError::NoPinnableConnection { budget: 1, least: 2, .. }
    ));
    owner.owned.set_budget("north", 7, 2);
    assert_eq!(owner.request("a", SettlementRequest::Submit(sequenced(1, None))), SettlementReply::Accepted);
    assert_eq!(owner.owned.pinned("north", 7), 1);
}

#[test]
fn an_owner_whose_records_are_lost_reports_an_unknown_position() {
    let mut owner = SingleOwner::new(SettlementLimits::default());
    owner.registry.apply(&SettlementCommand::Open { id: id("a"), owner: "w".into(), owner_epoch: 1 });
    let successor = JournalRef { courier: "x".into(), epoch: 1 };
    let moved = owner.registry.end_registration("w", 1, &[successor]);
    let mut outputs = owner.step(OwnerInput::Committed(moved[0].clone()));
    assert!(matches!(&outputs[..], [OwnerOutput::Fetch { term: 2, journals, .. }] if journals.len() == 2));
    outputs = owner.step(OwnerInput::Unreadable { id: id("a"), term: 2 });
    let lost = Verdict::Broken { at: 0, cause: Cause::RecordsLost };
    let is_told = |o: &OwnerOutput| matches!(o, OwnerOutput::Propose(SettlementCommand::Close { verdict, .. }) if *verdict == lost);
    assert!(outputs.iter().any(is_told), "{outputs:?}");
}
