//! Tests of the owner of settlements: admission, timeouts, outdated outcomes, budgets and lost records.

use quillmount_fleet::settlement::owner::{
    ATTEMPT_BACKOFF, OwnedCounts, OwnedSettlements, OwnerInput, OwnerOutput, SettlementLimits,
};
use quillmount_fleet::settlement::{
    Cause, End, JournalRef, Mode, Outcome, Repeat, Resume, SequencedMessage, SettlementCommand,
    SettlementError, SettlementId, SettlementRegistry, SettlementReply, SettlementRequest, Verdict,
};
use quillmount_policy::Micros;

/// A single owner whose writes complete immediately.
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
        let mut index = 0;
        while index < outputs.len() {
            if let OwnerOutput::Write { seq, .. } = outputs[index] {
                outputs.extend(self.owned.step(&self.registry, OwnerInput::Written { seq }, self.now));
            }
            index += 1;
        }
        outputs
    }

    fn request(&mut self, name: &str, request: SettlementRequest) -> SettlementReply {
        let outputs = self.step(OwnerInput::Request { from: "y".into(), id: id(name), request });
        let mut replies = outputs.into_iter().filter_map(|output| match output {
            OwnerOutput::Reply { reply, .. } => Some(reply),
            _ => None,
        });
        replies.next().expect("the request is answered")
    }

    fn rejection(&mut self, name: &str, sequenced: SequencedMessage) -> SettlementError {
        match self.request(name, SettlementRequest::Submit(sequenced)) {
            SettlementReply::Rejected(error) => error,
            reply => panic!("{reply:?}"),
        }
    }
}

#[test]
fn contradictions_are_rejected_and_duplicates_are_accepted() {
    let mut owner = SingleOwner::new(SettlementLimits { max_positions: 50, ..SettlementLimits::default() });
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
    assert!(matches!(owner.rejection("a", other("m9", 3)), SettlementError::PositionConflict { .. }));
    assert!(matches!(owner.rejection("a", other("m3", 9)), SettlementError::PositionConflict { .. }));
    assert!(matches!(owner.rejection("a", sequenced(0, None)), SettlementError::ZeroPosition(_)));
    assert!(matches!(
        owner.rejection("a", sequenced(2, Some(2))),
        SettlementError::BeyondTotal { total: 2, .. }
    ));
    assert!(matches!(
        owner.rejection("a", sequenced(51, None)),
        SettlementError::TooLong { max_positions: 50, .. }
    ));
    assert_eq!(
        owner.request("a", SettlementRequest::Submit(sequenced(3, Some(4)))),
        SettlementReply::Accepted,
        "the total was not known before"
    );
    assert_eq!(owner.request("a", SettlementRequest::Closing { total: 4 }), SettlementReply::Accepted);
    assert!(matches!(
        owner.rejection("a", sequenced(3, Some(5))),
        SettlementError::TotalMismatch { total: 4, other_total: 5, .. }
    ));
    assert!(matches!(
        owner.rejection("a", sequenced(5, None)),
        SettlementError::BeyondTotal { total: 4, .. }
    ));
    owner.now = 90_000;
    let late = owner.rejection("a", sequenced(1, None));
    assert!(matches!(late, SettlementError::DeadlinePassed(_)));
    let text = late.to_string();
    assert!(text.starts_with("tenant \"north\", settlement \"a\", position 1: "), "{text}");
}

/// Guards against a tenant that blocks itself: at the limit of pending messages the next position of each
/// settlement is still accepted, because the pending messages wait for it.
#[test]
fn a_full_tenant_gets_a_retry_time_and_the_next_position_is_accepted() {
    let mut owner = SingleOwner::new(SettlementLimits {
        max_tenant_messages: 3,
        max_tenant_bytes: 35,
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
    let rejected = owner.rejection("b", sequenced(2, None));
    assert!(
        matches!(
            rejected,
            SettlementError::TooManyWaiting { pending_messages: 3, bytes: 30, retry_after: 89_999, .. }
        ),
        "{rejected:?}"
    );
    assert_eq!(owner.request("a", SettlementRequest::Submit(sequenced(1, None))), SettlementReply::Accepted);
    assert_eq!(owner.request("b", SettlementRequest::Submit(sequenced(1, None))), SettlementReply::Accepted);
    assert_eq!(owner.owned.counts(), OwnedCounts { settlements: 2, messages: 5, bytes: 50 });
}

#[test]
fn a_waiting_settlement_ends_by_its_deadline_or_the_idle_limit() {
    let mut owner = SingleOwner::new(SettlementLimits { idle_timeout: 500, ..SettlementLimits::default() });
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
    assert_eq!(
        verdicts(owner.step(OwnerInput::Tick)),
        [Verdict::Broken { break_position: 1, cause: Cause::Idle }]
    );
    owner.now = 90_000;
    let verdicts_at_deadline = verdicts(owner.step(OwnerInput::Tick));
    assert!(
        verdicts_at_deadline.contains(&Verdict::Broken { break_position: 1, cause: Cause::Missing }),
        "{verdicts_at_deadline:?}"
    );
    assert!(matches!(owner.rejection("a", sequenced(1, None)), SettlementError::Ended { .. }));
    assert_eq!(
        owner.request("a", SettlementRequest::Submit(sequenced(2, None))),
        SettlementReply::Ended(End::NeverRan { broken_at: 1 })
    );
    assert_eq!(owner.owned.counts().messages, 0, "no message is pending");
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
    let outcome =
        |attempt, outcome| OwnerInput::Outcome { id: id("a"), attempt, outcome, session_lost: false };
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
        owner.rejection("a", sequenced(1, None)),
        SettlementError::NoPinnableConnection { budget: 1, min_budget: 2, .. }
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
    let lost = Verdict::Broken { break_position: 0, cause: Cause::RecordsLost };
    let proposes_verdict = |o: &OwnerOutput| matches!(o, OwnerOutput::Propose(SettlementCommand::Close { verdict, .. }) if *verdict == lost);
    assert!(outputs.iter().any(proposes_verdict), "{outputs:?}");
}
