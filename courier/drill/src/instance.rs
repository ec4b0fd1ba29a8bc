//! One instance of the policy, with the names of its messages, endpoints and classes: translates messages of the wire to
//! events and actions to messages.

use crate::error::MessageError;
use crate::messages::{CompletedAttempt, Outgoing, PoolEntry, Submission};
use quillmount_policy::{
    Completion, DispatchAction, DispatchEvent, Dispatcher, EndpointEntry, EndpointId, Message, Micros, MsgId,
    Outcome,
};
use quillmount_settings::{
    NameTable, SenderSettings, decode_settings, endpoint_state_from_code, micros_from_millis,
};

/// Bit of a submission's flags: its size hint is valid.
const SIZE_HINT_VALID: u32 = 1;

/// An instance of the policy.
pub struct Instance {
    dispatcher: Dispatcher,
    /// Events of the batch so far.
    events: Vec<DispatchEvent>,
    /// It has just started or had a message in this batch: it may act in the reply.
    active: bool,
    messages: NameTable,
    receivers: NameTable,
    keys: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: NameTable,
    kinds: Vec<String>,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    /// The settings cannot be decoded, or no instance can run under them.
    pub fn new(seed: u64, env: &SenderSettings) -> Result<Self, MessageError> {
        let mut zones = NameTable::default();
        let settings = decode_settings(env, &mut zones)?;
        Ok(Instance {
            dispatcher: Dispatcher::new(settings, seed)?,
            events: Vec::new(),
            active: true,
            messages: NameTable::default(),
            receivers: NameTable::default(),
            keys: NameTable::default(),
            classes: env.classes.iter().map(|category| category.name.clone()).collect(),
            tenants: env.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zones,
            kinds: env.kinds.clone(),
        })
    }

    /// Adds what a message of this batch says; `None` where it concerns nothing that the instance knows.
    pub fn push(&mut self, event: Option<DispatchEvent>) {
        self.active = true;
        self.events.extend(event);
    }

    /// Takes in the events of the batch and returns what to do; `None` where the instance had no message.
    pub fn step(&mut self, clock: Micros) -> Option<Vec<DispatchAction>> {
        if !std::mem::take(&mut self.active) {
            return None;
        }
        let events = std::mem::take(&mut self.events);
        Some(self.dispatcher.step(clock, &events))
    }

    /// A client's message as an event.
    pub fn submission(&mut self, submission: Submission) -> Result<DispatchEvent, MessageError> {
        let class = position("type", &self.classes, &submission.class)?;
        let tenant = submission.project.map(|name| position("project", &self.tenants, &name)).transpose()?;
        let has_size_hint = submission.flags.unwrap_or(0) & SIZE_HINT_VALID != 0;
        let size_hint = submission.size_hint_ms.filter(|_| has_size_hint);
        let work_hint = size_hint.map(|ms| micros("size_hint_ms", ms)).transpose()?;
        Ok(DispatchEvent::Submit(Message {
            id: self.messages.intern(&submission.xid),
            class,
            tenant,
            key: submission.route_key.map(|key| self.keys.intern(&key)),
            deadline: micros("client_deadline_ms", submission.client_deadline_ms)?,
            work_hint,
            dest: submission.far_end,
            stream: false,
            size: 0,
        }))
    }

    /// The end of an attempt as an event; `None` where the message is not known.
    pub fn completion(&self, completed: CompletedAttempt) -> Result<Option<DispatchEvent>, MessageError> {
        let outcome = outcome_from_code(completed.reason)?;
        let wait = if outcome == Outcome::Full { completed.note.unwrap_or(0.0) } else { 0.0 };
        let wait = micros("note", wait)?;
        let elapsed = micros("cost_time_ms", completed.cost_time_ms.unwrap_or(0.0))?;
        let completion = self.message(&completed.xid).map(|msg| Completion {
            msg,
            attempt: completed.send_no,
            outcome,
            elapsed,
            finished: completed.finished.unwrap_or(false),
            wait,
            load_report: completed.pressure.unwrap_or_default(),
        });
        Ok(completion.map(DispatchEvent::Completed))
    }

    /// Entries of an endpoint list.
    pub fn endpoint_entries(&mut self, pool: &[PoolEntry]) -> Result<Vec<EndpointEntry>, MessageError> {
        pool.iter().map(|entry| self.endpoint_entry(entry)).collect()
    }

    fn endpoint_entry(&mut self, entry: &PoolEntry) -> Result<EndpointEntry, MessageError> {
        let kind = entry.kind.as_ref().and_then(|kind| self.kinds.iter().position(|known| known == kind));
        Ok(EndpointEntry {
            endpoint: self.receivers.intern(&entry.receiver) as EndpointId,
            dest: entry.dest,
            kind: kind.unwrap_or(usize::MAX),
            zone: entry.locality.as_ref().map_or(0, |zone| self.zones.intern(zone) as u32),
            weight: entry.size.unwrap_or(0.0),
            state: endpoint_state_from_code(entry.state)?,
            returning: false,
        })
    }

    /// The number of a message that is known.
    pub fn message(&self, xid: &str) -> Option<MsgId> {
        self.messages.get(xid)
    }

    /// The number of an endpoint that is known.
    pub fn endpoint(&self, receiver: &str) -> Option<EndpointId> {
        self.receivers.get(receiver).map(|number| number as EndpointId)
    }

    /// An action of instance `i` as a message.
    pub fn outgoing<'a>(&'a self, i: i64, action: &'a DispatchAction) -> Outgoing<'a> {
        let message = |id: &MsgId| self.messages.resolve(*id);
        let receiver = |id: &EndpointId| self.receivers.resolve(u64::from(*id));
        match action {
            DispatchAction::Send { msg, endpoint, timeout, .. } => Outgoing::PassOn {
                i,
                xid: message(msg),
                patience_ms: millis(*timeout),
                receiver: receiver(endpoint),
            },
            DispatchAction::Reject { msg, after } => {
                Outgoing::Bounce { i, xid: message(msg), not_before_for_ms: millis(*after) }
            }
            DispatchAction::Fail { msg } => Outgoing::Lose { i, xid: message(msg) },
            DispatchAction::Cancel { msg, attempt } => {
                Outgoing::Withdraw { i, xid: message(msg), send_no: *attempt }
            }
            DispatchAction::CloseIdle { endpoint } => Outgoing::FreeLinks { i, receiver: receiver(endpoint) },
            DispatchAction::Log(text) => Outgoing::Print { i, text },
            DispatchAction::Subscribe => Outgoing::Subscribe { i, want: true },
            DispatchAction::Timer { after, tag } => {
                Outgoing::Schedule { i, offset_ms: millis(*after), tag: *tag }
            }
        }
    }
}

/// A time of the wire, or the error that names its field.
pub fn micros(field: &'static str, millis: f64) -> Result<Micros, MessageError> {
    Ok(micros_from_millis(field, millis)?)
}

/// An outcome by its code on the wire.
pub fn outcome_from_code(reason: u32) -> Result<Outcome, MessageError> {
    match reason {
        100 => Ok(Outcome::Ok),
        301 => Ok(Outcome::Error),
        302 => Ok(Outcome::Full),
        303 => Ok(Outcome::Timeout),
        304 => Ok(Outcome::ConnectFailed),
        305 => Ok(Outcome::Reset),
        306 => Ok(Outcome::Cancelled),
        307 => Ok(Outcome::Moot),
        other => Err(MessageError::UnknownOutcome(other)),
    }
}

fn millis(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

fn position(field: &'static str, names: &[String], name: &str) -> Result<usize, MessageError> {
    let position = names.iter().position(|known| known == name);
    position.ok_or_else(|| MessageError::NotInSettings { field, name: name.to_string() })
}
