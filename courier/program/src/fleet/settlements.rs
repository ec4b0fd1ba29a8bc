//! Settlements on sockets: a client's message of a settlement is forwarded to the settlement's owner, which journals it and
//! submits one position after the other to its router.
//!
//! `quillmount_fleet::settlement` has the state machines. Their outputs are carried out in order, each once the journal as it
//! is by then has been replicated ([`SettlementHost::act`]).

use super::Fleet;
use crate::transport::courier::{Courier, HandIn};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use quillmount_core::journal::{End as MessageEnd, JournalError, JournalRecord, SettlementLine, Settlements};
use quillmount_core::router::Intake;
use quillmount_core::{Ending, Submission};
use quillmount_fleet::config::Name;
use quillmount_fleet::member;
use quillmount_fleet::message::FleetMessage;
use quillmount_fleet::settlement::forward::{self, REQUEST_RETRY};
use quillmount_fleet::settlement::journal_lines::{
    JournalLine, MessagePayload, known_outcomes, outcome_of, settlement_key,
};
use quillmount_fleet::settlement::owner::{OwnerInput, OwnerOutput, RETRY_INTERVAL};
use quillmount_fleet::settlement::{
    End, JournalRef, Outcome, OwnedSettlements, Repeat, RequestForwarder, SequencedMessage, SettlementError,
    SettlementEvent, SettlementId, SettlementLimits, SettlementMessage, SettlementProgress, SettlementRecord,
    SettlementReply, SettlementRequest, translator,
};
use quillmount_fleet::state::{Epoch, JournalId, PartitionId, PartitionState, partition_of};
use quillmount_policy::Micros;
use quillmount_protocol::submission;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// `Retry-After` in microseconds for a message whose settlement broke before its turn: it may be submitted in
/// another settlement at once.
const BROKEN_RETRY_AFTER: Micros = 1_000_000;

/// A message whose client waits for the owner's reply.
struct PendingRequest {
    id: SettlementId,
    request: SettlementRequest,
    payload: MessagePayload,
    answer: oneshot::Sender<SettlementReply>,
}

/// What is done once the journal has been replicated.
enum PendingAction {
    Written(u64),
    Perform(Box<OwnerOutput>),
}

struct HostState {
    owned: OwnedSettlements,
    forwarder: RequestForwarder,
    /// The journal's lines about settlements.
    lines: Settlements,
    payloads: BTreeMap<(SettlementId, u64), MessagePayload>,
    pending_actions: VecDeque<PendingAction>,
    /// Commands for the fleet's leader that clients' messages need.
    proposals: VecDeque<quillmount_fleet::settlement::SettlementCommand>,
    /// Records whose write has failed, to be written again.
    unwritten: Vec<(u64, SettlementId, Vec<JournalRecord>)>,
    write_at: Micros,
    pending_requests: BTreeMap<u64, PendingRequest>,
    ticket: u64,
    /// Messages that the router has, by id, each with its settlement and attempt.
    out: BTreeMap<String, (SettlementId, u64)>,
    /// Settlements whose earlier owners' journals are not here yet, each with its term.
    fetching: BTreeMap<SettlementId, (u64, Vec<JournalRef>)>,
}

/// Runs the settlements that this courier owns, and forwards clients' messages of all others.
pub struct SettlementHost {
    fleet: Rc<Fleet>,
    courier: Rc<Courier>,
    local_name: Name,
    epoch: Epoch,
    /// Partners whose settlements are carried.
    dests: BTreeSet<u64>,
    state: RefCell<HostState>,
    work_added: Notify,
    timers_changed: Notify,
}

impl SettlementHost {
    /// Starts from what the journal has. From here on the fleet passes on what is committed and received.
    pub fn start(
        fleet: &Rc<Fleet>,
        courier: &Rc<Courier>,
        local_name: Name,
        epoch: Epoch,
        dests: BTreeSet<u64>,
        lines: Settlements,
    ) -> Rc<SettlementHost> {
        let state = HostState {
            owned: OwnedSettlements::new(&local_name, epoch, SettlementLimits::default()),
            forwarder: RequestForwarder::new(&local_name, epoch),
            lines,
            payloads: BTreeMap::new(),
            pending_actions: VecDeque::new(),
            proposals: VecDeque::new(),
            unwritten: Vec::new(),
            write_at: Micros::MAX,
            pending_requests: BTreeMap::new(),
            ticket: 0,
            out: BTreeMap::new(),
            fetching: BTreeMap::new(),
        };
        let settling = Rc::new(SettlementHost {
            fleet: fleet.clone(),
            courier: courier.clone(),
            local_name,
            epoch,
            dests,
            state: RefCell::new(state),
            work_added: Notify::new(),
            timers_changed: Notify::new(),
        });
        let (hand_in, ends) = (settling.clone(), settling.clone());
        courier.settle_with(
            Box::new(move |submission, addressing| hand_in.clone().hand_in(submission, addressing)),
            Box::new(move |id, end| ends.ended(id, end)),
        );
        settling.step_owned(OwnerInput::Snapshot, None);
        actix_rt::spawn(settling.clone().act());
        actix_rt::spawn(settling.clone().propose());
        actix_rt::spawn(settling.clone().run_timers());
        settling
    }

    fn now(&self) -> Micros {
        self.courier.clock.now()
    }

    /// Handles a committed change of the fleet's state.
    pub fn committed(&self, event: SettlementEvent) {
        match &event {
            SettlementEvent::Opened { id, owner, .. } if owner.courier == self.local_name => {
                tracing::info!("settlement: {} has its home here", id.at(0));
            }
            SettlementEvent::Closed { id, owner, verdict } if owner.courier == self.local_name => {
                tracing::info!("settlement: {} is {verdict}", id.at(0));
            }
            _ => {}
        }
        self.step_owned(OwnerInput::Committed(event.clone()), None);
        self.step_forwarder(forward::ForwardInput::Committed(event));
    }

    /// Handles a snapshot of the fleet's state.
    pub fn snapshot(&self) {
        self.step_owned(OwnerInput::Snapshot, None);
    }

    /// The journal is sealed: nothing more is done here.
    pub fn fenced(&self) {
        self.step_owned(OwnerInput::Sealed, None);
        self.state.borrow_mut().pending_actions.clear();
    }

    /// Handles another courier's request or reply.
    pub fn receive(&self, from: Name, message: SettlementMessage, payload: &Bytes) {
        match message {
            SettlementMessage::Request { id, request } => {
                // One that can't be read is of another version; the client gets a 503 and retries.
                let Ok(payload) = postcard::from_bytes::<Option<MessagePayload>>(payload) else { return };
                self.step_owned(OwnerInput::Request { from, id, request }, payload);
            }
            SettlementMessage::Reply { id, request, reply } => {
                self.step_forwarder(forward::ForwardInput::Reply { id, request, reply })
            }
        }
    }

    /// Takes a client's message; `None`: it belongs to no settlement that is carried.
    fn hand_in(self: Rc<Self>, submission: &Submission, addressing: &str) -> Option<HandIn> {
        if !self.dests.contains(&submission.dest) {
            return None;
        }
        let now_refused =
            |response: Response<Bytes>| -> Option<HandIn> { Some(Box::pin(std::future::ready(response))) };
        let tenant = submission.tenant.clone().unwrap_or_default();
        let header = match translator::parse_header(&tenant, addressing) {
            Ok(header) => header?,
            Err(error) => return now_refused(refusal(&error)),
        };
        let id = SettlementId { tenant, name: header.settlement, dest: submission.dest };
        let Some(position) = header.position else {
            return now_refused(refusal(&SettlementError::Field { at: id.at(0), field: "position".into() }));
        };
        if let Some(intake) = self.courier.refuses(submission) {
            return now_refused(submission::answer(intake));
        }
        if let Some(Err(after)) = self.courier.gate.as_ref().map(|gate| gate.takes_on()) {
            self.courier.count(|c| c.rejected += 1);
            return now_refused(submission::answer(Intake::Rejected { after }));
        }
        let payload = MessagePayload::from_message(submission);
        let sequenced = SequencedMessage {
            position,
            total: header.total,
            message_id: submission.id.clone(),
            // An attempt here is a submission to the router, which deduplicates by id and has rules of its own:
            // it repeats no debit that may have run, however often that is submitted.
            repeat: Repeat::Freely,
            deadline: self.now().saturating_add(submission.time_left),
            size: payload.body.len() as u64,
            checksum: payload.checksum(),
        };
        let reply = self.request(id, SettlementRequest::Submit(sequenced), payload);
        Some(Box::pin(async move { self.respond(reply.await.ok()) }))
    }

    /// Sends a request to the settlement's owner; its reply comes through the channel.
    fn request(
        &self,
        id: SettlementId,
        request: SettlementRequest,
        payload: MessagePayload,
    ) -> oneshot::Receiver<SettlementReply> {
        let (answer, reply) = oneshot::channel();
        let pending = PendingRequest { id: id.clone(), request: request.clone(), payload, answer };
        let ticket = {
            let mut state = self.state.borrow_mut();
            state.ticket += 1;
            let ticket = state.ticket;
            state.pending_requests.insert(ticket, pending);
            ticket
        };
        self.step_forwarder(forward::ForwardInput::Request { ticket, id, request });
        reply
    }

    /// The client's response; `None`: the request was dropped without a reply.
    fn respond(&self, reply: Option<SettlementReply>) -> Response<Bytes> {
        match reply {
            Some(SettlementReply::Accepted) => submission::answer(Intake::Accepted),
            Some(SettlementReply::Ended(End::Delivered)) => submission::answer(Intake::Delivered),
            Some(SettlementReply::Ended(_)) => submission::answer(Intake::Failed),
            Some(SettlementReply::Rejected(error)) => refusal(&error),
            None => {
                self.courier.count(|c| c.rejected += 1);
                submission::answer(Intake::Rejected { after: REQUEST_RETRY })
            }
        }
    }

    fn step_forwarder(&self, input: forward::ForwardInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let outputs = {
                let member = self.fleet.member.borrow();
                self.state.borrow_mut().forwarder.step(&member.state().settlements, input, self.now())
            };
            for output in outputs {
                match output {
                    forward::ForwardOutput::Send { to, message } => self.send_request(to, message),
                    forward::ForwardOutput::Propose(command) => {
                        self.state.borrow_mut().proposals.push_back(command)
                    }
                    forward::ForwardOutput::Answer { ticket, reply } => {
                        let requested = self.state.borrow_mut().pending_requests.remove(&ticket);
                        // A client that has gone gets no response.
                        requested.map(|requested| requested.answer.send(reply));
                    }
                }
            }
        }
        self.work_added.notify_waiters();
        self.timers_changed.notify_one();
    }

    /// Sends a request to a settlement's owner, which may be this courier.
    fn send_request(&self, to: Name, message: SettlementMessage) {
        let SettlementMessage::Request { id, request } = &message else { return };
        let payload = {
            let state = self.state.borrow();
            let mine = state
                .pending_requests
                .values()
                .find(|requested| requested.id == *id && requested.request.key() == request.key());
            mine.map(|requested| requested.payload.clone())
        };
        if to == self.local_name {
            return self.step_owned(
                OwnerInput::Request { from: to, id: id.clone(), request: request.clone() },
                payload,
            );
        }
        let payload = Bytes::from(postcard::to_allocvec(&payload).unwrap_or_default());
        self.send(&to, message, payload);
    }

    fn send(&self, to: &str, message: SettlementMessage, payload: Bytes) {
        if let Some(link) = self.fleet.links.get(to) {
            link.send(FleetMessage::Settlement { message: Box::new(message), payload });
        }
    }

    /// Steps the machine of owned settlements. `payload`: that of the requested message.
    fn step_owned(&self, input: OwnerInput, payload: Option<MessagePayload>) {
        let outputs = {
            let member = self.fleet.member.borrow();
            self.state.borrow_mut().owned.step(&member.state().settlements, input, self.now())
        };
        for output in outputs {
            match output {
                OwnerOutput::Write { seq, records } => self.write(seq, records, payload.as_ref()),
                output => self
                    .state
                    .borrow_mut()
                    .pending_actions
                    .push_back(PendingAction::Perform(Box::new(output))),
            }
        }
        self.work_added.notify_waiters();
        self.timers_changed.notify_one();
    }

    fn write(&self, seq: u64, records: Vec<SettlementRecord>, payload: Option<&MessagePayload>) {
        let Some(id) = records.first().map(|record| record.id().clone()) else { return };
        let may_reject = records.iter().all(|record| {
            matches!(
                record,
                SettlementRecord::Opened { .. }
                    | SettlementRecord::Submitted { .. }
                    | SettlementRecord::Count { .. }
            )
        });
        let mut written = Vec::new();
        for record in records {
            match (record, payload) {
                (SettlementRecord::Submitted { id, sequenced }, Some(payload)) => {
                    let mut state = self.state.borrow_mut();
                    // The first one submitted stands.
                    state.payloads.entry((id.clone(), sequenced.position)).or_insert_with(|| payload.clone());
                    written.push(JournalLine::Submitted(
                        SettlementRecord::Submitted { id, sequenced },
                        payload.clone(),
                    ));
                }
                (SettlementRecord::Snapshot { id, progress }, _) => {
                    let state = self.state.borrow();
                    let open =
                        progress.positions.iter().filter(|(_, state)| state.end != Some(End::Delivered));
                    let open: Vec<u64> = open.map(|(position, _)| *position).collect();
                    written
                        .push(JournalLine::Record(SettlementRecord::Snapshot { id: id.clone(), progress }));
                    written.extend(open.into_iter().filter_map(|position| {
                        let payload = state.payloads.get(&(id.clone(), position))?.clone();
                        Some(JournalLine::Payload { position, payload })
                    }));
                }
                (record, _) => written.push(JournalLine::Record(record)),
            }
        }
        let lines: Vec<JournalRecord> = written.iter().filter_map(|written| written.line(&id)).collect();
        match self.courier.write_settlement(&lines, may_reject) {
            Ok(()) => self.is_written(seq, &lines),
            Err(e) if may_reject => {
                tracing::warn!(error = %e, "settlement: a message is rejected: its record can't be written");
                self.step_owned(OwnerInput::WriteRejected { seq }, None);
            }
            Err(e) => {
                tracing::error!("settlement: {e}; written again in {RETRY_INTERVAL} us");
                let mut state = self.state.borrow_mut();
                state.unwritten.push((seq, id, lines));
                state.write_at = self.now().saturating_add(RETRY_INTERVAL);
            }
        }
    }

    fn is_written(&self, seq: u64, lines: &[JournalRecord]) {
        let mut state = self.state.borrow_mut();
        lines.iter().for_each(|line| _ = state.lines.apply(line));
        state.pending_actions.push_back(PendingAction::Written(seq));
    }

    /// Writes records again whose write has failed.
    fn retry_writes(&self) {
        let unwritten = {
            let mut state = self.state.borrow_mut();
            if self.now() < state.write_at {
                return;
            }
            state.write_at = Micros::MAX;
            std::mem::take(&mut state.unwritten)
        };
        for (seq, id, lines) in unwritten {
            if self.courier.write_settlement(&lines, false).is_ok() {
                self.is_written(seq, &lines);
                continue;
            }
            let mut state = self.state.borrow_mut();
            state.unwritten.push((seq, id, lines));
            state.write_at = self.now().saturating_add(RETRY_INTERVAL);
        }
    }

    /// Carries out pending actions, each once all that is written by then has been replicated.
    async fn act(self: Rc<Self>) {
        let Some(gate) = self.courier.gate.clone() else { return };
        loop {
            let added = self.work_added.notified();
            let action = self.state.borrow_mut().pending_actions.pop_front();
            let Some(action) = action else {
                added.await;
                continue;
            };
            gate.pass(gate.written(), Micros::MAX).await;
            match action {
                PendingAction::Written(seq) => self.step_owned(OwnerInput::Written { seq }, None),
                PendingAction::Perform(output) => {
                    if let Err(e) = self.carry_out(*output) {
                        tracing::error!(
                            "settlement: an end can't be written: {e}; again in {RETRY_INTERVAL} us"
                        );
                        let retry_at = self.now().saturating_add(RETRY_INTERVAL);
                        actix_rt::time::sleep(self.courier.clock.until(retry_at)).await;
                    }
                }
            }
        }
    }

    /// Proposes commands that clients' messages need, outside of the calls that brought them.
    async fn propose(self: Rc<Self>) {
        loop {
            let added = self.work_added.notified();
            let command = self.state.borrow_mut().proposals.pop_front();
            match command {
                Some(command) => self.fleet.step(member::MemberInput::Settlement(command)),
                None => added.await,
            }
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let wake = {
                let state = self.state.borrow();
                let write = Some(state.write_at).filter(|at| *at < Micros::MAX);
                [state.owned.wake_at(), state.forwarder.wake_at(), write].into_iter().flatten().min()
            };
            let changed = self.timers_changed.notified();
            match wake {
                None => changed.await,
                Some(at) if at > self.now() => tokio::select! {
                    () = actix_rt::time::sleep(self.courier.clock.until(at)) => {}
                    () = changed => {}
                },
                Some(_) => {
                    self.retry_writes();
                    self.step_owned(OwnerInput::Tick, None);
                    self.step_forwarder(forward::ForwardInput::Tick);
                    // A timer stays due until its work is done: other tasks run meanwhile.
                    actix_rt::task::yield_now().await;
                }
            }
        }
    }

    fn carry_out(&self, output: OwnerOutput) -> Result<(), JournalError> {
        match output {
            OwnerOutput::Reply { to, id, request, reply } if to == self.local_name => {
                self.step_forwarder(forward::ForwardInput::Reply { id, request, reply });
            }
            OwnerOutput::Reply { to, id, request, reply } => {
                self.send(&to, SettlementMessage::Reply { id, request, reply }, Bytes::new());
            }
            OwnerOutput::Propose(command) => self.fleet.step(member::MemberInput::Settlement(command)),
            OwnerOutput::Fetch { id, term, journals } => {
                self.state.borrow_mut().fetching.insert(id, (term, journals));
                self.fetch();
            }
            OwnerOutput::Send { id, position, message_id, attempt, by, .. } => {
                self.release(id, position, &message_id, attempt, by)
            }
            OwnerOutput::End { id, position, message_id, end } => {
                self.report_end(id, position, &message_id, end)?
            }
            OwnerOutput::Forget { id } => self.forget(&id),
            // Message mode has no session.
            OwnerOutput::Write { .. }
            | OwnerOutput::Close { .. }
            | OwnerOutput::Drop { .. }
            | OwnerOutput::Pin { .. }
            | OwnerOutput::Unpin { .. } => {}
        }
        Ok(())
    }

    /// Submits the message at a position to the router, which handles it as any other.
    fn release(&self, id: SettlementId, position: u64, message_id: &str, attempt: u64, by: Micros) {
        let payload = self.state.borrow().payloads.get(&(id.clone(), position)).cloned();
        let Some(payload) = payload else {
            tracing::error!("settlement: {}: nothing is left of its message", id.at(position));
            return self.outcome(id, attempt, Outcome::Failed);
        };
        let known_end = self.courier.watch(message_id);
        match known_end {
            Ok(Some(end)) => return self.outcome(id, attempt, outcome_of(end)),
            Ok(None) => {
                self.state.borrow_mut().out.insert(message_id.into(), (id, attempt));
                return;
            }
            Err(_) => {}
        }
        let now = self.now();
        if now >= by {
            return self.outcome(id, attempt, Outcome::OutOfTime);
        }
        self.state.borrow_mut().out.insert(message_id.into(), (id.clone(), attempt));
        let intake = self.courier.submit_promised(payload.to_message(message_id, id.dest, by - now));
        let outcome = match intake {
            Intake::Accepted | Intake::Open => return,
            Intake::Delivered => Outcome::Delivered,
            Intake::Rejected { after } => Outcome::NeverRan { after },
            Intake::Failed | Intake::UnknownClass | Intake::UnknownDest => Outcome::Failed,
        };
        self.courier.unwatch(message_id);
        // Its end may have been reported already.
        if self.state.borrow_mut().out.remove(message_id).is_some() {
            self.outcome(id, attempt, outcome);
        }
    }

    fn outcome(&self, id: SettlementId, attempt: u64, outcome: Outcome) {
        self.step_owned(OwnerInput::Outcome { id, attempt, outcome, lost: false }, None);
    }

    /// Handles the end of a message in the router.
    fn ended(&self, message_id: &str, end: MessageEnd) {
        let out = self.state.borrow_mut().out.remove(message_id);
        if let Some((id, attempt)) = out {
            self.outcome(id, attempt, outcome_of(end));
        }
    }

    /// Reports a message's end; one that the router never had gets its notice from here.
    fn report_end(
        &self,
        id: SettlementId,
        position: u64,
        message_id: &str,
        end: End,
    ) -> Result<(), JournalError> {
        let ending = match end {
            End::Delivered => {
                self.state.borrow_mut().payloads.remove(&(id, position));
                return Ok(());
            }
            End::NeverRan { .. } | End::OutOfTime => Ending::Deferred(BROKEN_RETRY_AFTER),
            End::Failed | End::MayHaveRun => Ending::Undeliverable,
        };
        let payload = self.state.borrow().payloads.get(&(id.clone(), position)).cloned();
        let Some(payload) = payload else { return Ok(()) };
        let written = self.courier.end_unsent(payload.to_message(message_id, id.dest, 0), ending);
        if written.is_err() {
            // Told again before anything behind it.
            let end_action = OwnerOutput::End { id, position, message_id: message_id.into(), end };
            self.state.borrow_mut().pending_actions.push_front(PendingAction::Perform(Box::new(end_action)));
        }
        written
    }

    fn forget(&self, id: &SettlementId) {
        let ended = JournalRecord::SettlementEnded { of: settlement_key(id) };
        // Where it can't be written the next life finds the settlement ended, and forgets it then.
        if let Err(e) = self.courier.write_settlement(std::slice::from_ref(&ended), false) {
            tracing::warn!("settlement: {e}");
        }
        let mut state = self.state.borrow_mut();
        state.lines.apply(&ended);
        state.fetching.remove(id);
        state.payloads.retain(|(of, _), _| of != id);
    }

    /// Reads what earlier owners wrote, for settlements of which all is in this journal by now.
    fn fetch(&self) {
        let ready: Vec<(SettlementId, u64)> = {
            let state = self.state.borrow();
            let is_here = |(id, (_, journals)): &(&SettlementId, &(u64, Vec<JournalRef>))| {
                self.is_here(&state, id, journals)
            };
            state.fetching.iter().filter(is_here).map(|(id, (term, _))| (id.clone(), *term)).collect()
        };
        for (id, term) in ready {
            let mut records = Vec::new();
            {
                let mut state = self.state.borrow_mut();
                state.fetching.remove(&id);
                let lines = state.lines.0.get(&settlement_key(&id)).cloned().unwrap_or_default();
                for written in lines.iter().filter_map(JournalLine::read) {
                    let payload = match &written {
                        JournalLine::Submitted(SettlementRecord::Submitted { sequenced, .. }, payload) => {
                            Some((sequenced.position, payload))
                        }
                        JournalLine::Payload { position, payload } => Some((*position, payload)),
                        _ => None,
                    };
                    if let Some((position, payload)) = payload {
                        state.payloads.insert((id.clone(), position), payload.clone());
                    }
                    records.extend(written.record());
                }
            }
            let known_end = |message_id: &str| self.courier.fate(message_id).ok().flatten();
            records.extend(known_outcomes(&id, &records, known_end));
            let positions = SettlementProgress::read(&id, std::slice::from_ref(&records)).positions.len();
            tracing::info!("settlement: {} goes on here, with {positions} positions", id.at(0));
            self.step_owned(OwnerInput::Fetched { id, term, journals: vec![records] }, None);
        }
    }

    /// Whether all that these journals have of a settlement is in this courier's journal.
    fn is_here(&self, state: &HostState, id: &SettlementId, journals: &[JournalRef]) -> bool {
        let partition = partition_of(id.dest);
        let member = self.fleet.member.borrow();
        let of = state.lines.0.get(&settlement_key(id));
        journals
            .iter()
            .filter(|journal| journal.courier != self.local_name || journal.epoch != self.epoch)
            .all(|journal| {
                let source = PartitionId {
                    journal: JournalId { owner: journal.courier.clone(), epoch: journal.epoch },
                    partition,
                };
                match member.state().partition(&source) {
                    Some(PartitionState::Unassigned | PartitionState::Assigned(..)) => false,
                    Some(PartitionState::Adopted(name, epoch))
                        if *name == self.local_name && *epoch == self.epoch =>
                    {
                        // Its lines count once the adoption is resolved in the journal.
                        let waits = |line: &SettlementLine| {
                            line.source.as_ref().is_some_and(|s| PartitionId::from(s) == source)
                        };
                        !of.is_some_and(|lines| lines.iter().any(waits))
                    }
                    // Adopted by another journal of the list, or by this one long ago.
                    Some(PartitionState::Adopted(..) | PartitionState::Done) | None => true,
                }
            })
    }

    /// Partitions of a sealed journal have been adopted into this one.
    pub fn adopted(&self, lines: &Settlements) {
        let mut state = self.state.borrow_mut();
        for (of, more) in &lines.0 {
            state.lines.0.entry(of.clone()).or_default().extend(more.iter().cloned());
        }
    }

    /// The journal records whether a partition was adopted.
    pub fn adoption_resolved(&self, source: &PartitionId, adopted: bool) {
        self.state
            .borrow_mut()
            .lines
            .apply(&JournalRecord::Settled { source: source.into(), accepted: adopted });
        self.fetch();
    }
}

/// The response to a message that its settlement has rejected.
fn refusal(error: &SettlementError) -> Response<Bytes> {
    let after = match error {
        SettlementError::TooManyWaiting { after, .. }
        | SettlementError::TooManyOpen { after, .. }
        | SettlementError::Busy { after, .. } => Some(*after),
        SettlementError::StorageFull(_) | SettlementError::NoPinnableConnection { .. } => {
            Some(quillmount_core::router::OVERLOAD_RETRY_AFTER)
        }
        SettlementError::NoReply(_) => Some(REQUEST_RETRY),
        _ => None,
    };
    let status = match error {
        _ if after.is_some() => StatusCode::SERVICE_UNAVAILABLE,
        SettlementError::Ended { .. } | SettlementError::PositionTwice { .. } => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    };
    submission::answer_with(status, &format!("{error}\n"), after)
}
