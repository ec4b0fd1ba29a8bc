//! All instances of the process: gives each message of a batch to its instance, and replies to the batch.

use crate::error::MessageError;
use crate::instance::{Instance, micros, outcome_from_code};
use crate::messages::{CheckResult, CompletedAttempt, Incoming, Outgoing, PoolEntry, Submission};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use quillmount_policy::{DispatchEvent, ListUpdate, Micros};
use quillmount_settings::endpoint_state_from_code;
use std::collections::BTreeMap;
use std::io::{self, Write};

/// The instances of this process, in the order of their numbers, and what the batch in progress has brought.
#[derive(Default)]
pub struct Host {
    /// Time of the batch in progress.
    clock: Option<Micros>,
    pools: BTreeMap<u32, Vec<PoolEntry>>,
    instances: BTreeMap<i64, Instance>,
}

impl Host {
    /// Whether a batch has begun and not ended.
    pub fn in_batch(&self) -> bool {
        self.clock.is_some()
    }

    /// Handles one line of the input. Returns true if it ends the batch, which then wants its reply.
    ///
    /// # Errors
    /// The line is no message, or one that does not fit its place or its instance.
    pub fn handle_line(&mut self, line: &str) -> Result<bool, MessageError> {
        let message: Incoming = serde_json::from_str(line)?;
        match (&message, self.clock) {
            (Incoming::BeginBatch { .. }, Some(_)) => return Err(MessageError::NestedBatch),
            (Incoming::BeginBatch { .. }, None) | (_, Some(_)) => {}
            (_, None) => return Err(MessageError::OutsideBatch),
        }
        match message {
            Incoming::BeginBatch { moment_ms } => self.clock = Some(micros("moment_ms", moment_ms)?),
            Incoming::Eob => return Ok(true),
            Incoming::Pool { number, records } => self.add_pool(number, records)?,
            Incoming::Init { i, init_seed, env } => {
                let instance = Instance::new(init_seed, &env)?;
                self.instances.insert(i, instance);
            }
            Incoming::Down { i } => {
                self.instances.remove(&i).ok_or(MessageError::UnknownInstance(i))?;
            }
            Incoming::Endpoints { i, kind, number } => self.update_list(i, kind, number)?,
            Incoming::Submit(submission) => self.submit(submission)?,
            Incoming::Completed(completed) => self.completed(completed)?,
            Incoming::PeerData { i, neighbour, body } => {
                let body = BASE64.decode(body)?;
                self.instance(i)?.push(Some(DispatchEvent::Peer { from: neighbour, body }));
            }
            Incoming::Hangup { i, xid } => {
                let instance = self.instance(i)?;
                let message = instance.message(&xid);
                instance.push(message.map(|msg| DispatchEvent::Hangup { msg }));
            }
            Incoming::CheckResult(result) => self.check_result(result)?,
            Incoming::DeadlineHit { i, tag } => self.instance(i)?.push(Some(DispatchEvent::Timer { tag })),
            Incoming::Headers { i, xid, send_no } => {
                let instance = self.instance(i)?;
                let message = instance.message(&xid);
                instance.push(message.map(|msg| DispatchEvent::Headers { msg, attempt: send_no }));
            }
        }
        Ok(false)
    }

    /// Steps every instance that had a message and writes what it does.
    ///
    /// # Errors
    /// The output cannot be written.
    pub fn reply(&mut self, output: &mut impl Write) -> io::Result<()> {
        let clock = self.clock.take().unwrap_or(0);
        for (i, instance) in &mut self.instances {
            for action in instance.step(clock).into_iter().flatten() {
                write_line(output, &instance.outgoing(*i, &action))?;
            }
        }
        write_line(output, &Outgoing::Yield)
    }

    fn instance(&mut self, i: i64) -> Result<&mut Instance, MessageError> {
        self.instances.get_mut(&i).ok_or(MessageError::UnknownInstance(i))
    }

    fn add_pool(&mut self, number: u32, entries: Vec<PoolEntry>) -> Result<(), MessageError> {
        for entry in &entries {
            endpoint_state_from_code(entry.state)?;
        }
        self.pools.insert(number, entries);
        Ok(())
    }

    fn submit(&mut self, submission: Submission) -> Result<(), MessageError> {
        let instance = self.instance(submission.i)?;
        let event = instance.submission(submission)?;
        instance.push(Some(event));
        Ok(())
    }

    fn completed(&mut self, completed: CompletedAttempt) -> Result<(), MessageError> {
        let instance = self.instance(completed.i)?;
        let event = instance.completion(completed)?;
        instance.push(event);
        Ok(())
    }

    fn check_result(&mut self, result: CheckResult) -> Result<(), MessageError> {
        let elapsed = micros("cost_time_ms", result.cost_time_ms.unwrap_or(0.0))?;
        let outcome = outcome_from_code(result.reason)?;
        let report = result.pressure.unwrap_or_default();
        let instance = self.instance(result.i)?;
        let endpoint = instance.endpoint(&result.receiver);
        instance.push(endpoint.map(|endpoint| DispatchEvent::ProbeCompleted {
            endpoint,
            outcome,
            elapsed,
            report,
        }));
        Ok(())
    }

    /// Passes an endpoint list, or a change to it, to its instance. `kind`: the list's code on the wire.
    fn update_list(&mut self, i: i64, kind: u8, number: Option<u32>) -> Result<(), MessageError> {
        let instance = self.instances.get_mut(&i).ok_or(MessageError::UnknownInstance(i))?;
        let kind = match kind {
            0 => ListUpdate::Delta,
            1 | 2 => ListUpdate::Full,
            3 => ListUpdate::Failed,
            other => return Err(MessageError::UnknownListKind(other)),
        };
        let entries = if kind == ListUpdate::Failed {
            Vec::new()
        } else {
            let number = number.ok_or(MessageError::MissingPool)?;
            let pool = self.pools.get(&number).ok_or(MessageError::UnknownPool(number))?;
            instance.endpoint_entries(pool)?
        };
        instance.push(Some(DispatchEvent::List { kind, entries }));
        Ok(())
    }
}

fn write_line(output: &mut impl Write, line: &Outgoing<'_>) -> io::Result<()> {
    serde_json::to_writer(&mut *output, line)?;
    output.write_all(b"\n")
}
