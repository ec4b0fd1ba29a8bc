//! The delivery calls that are out, each with one message or several.

use super::*;
use std::cmp::Reverse;

/// A message that is out in a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OutstandingMessage {
    /// The call, by its first message.
    pub(super) lead: CallId,
    pub(super) sent: Micros,
    pub(super) endpoint: u32,
    pub(super) dest: u64,
    /// Its number among the attempts that the journal has, if it has this one.
    pub(super) journaled: Option<u32>,
    /// When a stream's last byte had left.
    pub(super) written: Option<Micros>,
    /// Until when it is waited for.
    pub(super) until: Micros,
}

/// A delivery counts by the time at which the message's own client sent it, and its rest is known here from when it was
/// read. What is less than this before the end of the message's time may have come after it.
const DEADLINE_MARGIN: Micros = 50_000;

/// The numbers of all calls of a message.
pub(super) fn calls_of(msg: MsgId) -> std::ops::RangeInclusive<CallId> {
    CallId { msg, attempt: 0 }..=CallId { msg, attempt: u32::MAX }
}

impl<S: Store> Router<S> {
    /// A delivery call ended, for all of its messages alike.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<RouterAction> {
        self.call_ended_with_report(call, end, &AnswerReport::default(), now)
    }

    /// The same, with what its answer says besides.
    pub fn call_ended_with_report(
        &mut self,
        call: CallId,
        end: CallEnd,
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<RouterAction> {
        let ends = vec![end; self.bundles.get(&call).map_or(1, Vec::len)];
        self.call_ended_each(call, &ends, report, now)
    }

    /// A delivery call ended with a word for each of its messages, in the order in which they were sent.
    pub fn call_ended_each(
        &mut self,
        call: CallId,
        ends: &[CallEnd],
        report: &AnswerReport,
        now: Micros,
    ) -> Vec<RouterAction> {
        let advised_wait = report.wait;
        let (mut actions, mut reports) = (Vec::new(), Vec::new());
        let items = self.bundles.remove(&call).unwrap_or_else(|| vec![call]);
        // One at least is waited for as long as the call is out.
        let out = items.iter().find_map(|item| self.out.get(item)).map(|out| (out.endpoint, out.dest));
        let Some((endpoint, dest)) = out else { return actions };
        self.out_at.remove(&(endpoint, call));
        let waits = ends
            .iter()
            .map(|end| if let CallEnd::Full(wait) | CallEnd::Spoilt(wait) = end { *wait } else { 0 });
        let wait = waits.max().unwrap_or(0).max(advised_wait);
        if wait > 0 {
            let until = now.saturating_add(wait);
            let bound = self.bound_by(endpoint, dest);
            actions.extend(bound.map(|endpoint| RouterAction::BackOff { endpoint, until }));
        }
        for (item, end) in items.iter().zip(ends) {
            reports.extend(self.message_ended(*item, *end, advised_wait, now, &mut actions));
        }
        // The module learns of a call with its last message: one that succeeded says most of the destination.
        reports.sort_by_key(|r: &CallReport| r.outcome == Outcome::Ok);
        let instructions = self.policy.report_all(now, &reports, &self.reported(report));
        self.carry_out(instructions, now, &mut actions);
        self.drain_notes(&mut actions);
        actions
    }

    /// Those that a wait told by one endpoint binds, as the module heeds it: of separate routes that one alone, or else
    /// all of the destination. Held wider, what the module sends to another route would be held back again and again.
    fn bound_by(&self, endpoint: u32, dest: u64) -> impl Iterator<Item = u32> {
        let kind = self.endpoints.get(&endpoint).map_or(usize::MAX, |known| known.kind);
        let separate_routes = self.separate_routes.get(kind).copied().unwrap_or(false);
        let same = self.by_dest.get(&dest).into_iter().flatten().copied();
        same.filter(move |n| !separate_routes || *n == endpoint)
    }

    /// A report's values in the order of the settings; none where one is missing or is no number.
    fn reported(&self, report: &AnswerReport) -> Vec<f64> {
        let value =
            |name: &String| report.load.iter().find(|(field, _)| field == name).map(|(_, value)| *value);
        let values: Option<Vec<f64>> = self.load_fields.iter().map(value).collect();
        values.filter(|values| values.iter().all(|v| v.is_finite() && *v >= 0.0)).unwrap_or_default()
    }

    /// Whether answers hold reports of load that the settings name.
    pub fn reads_load_reports(&self) -> bool {
        !self.load_fields.is_empty()
    }

    /// A message of a call has this end; what the module is to learn of it.
    fn message_ended(
        &mut self,
        item: CallId,
        end: CallEnd,
        advised_wait: Micros,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> Option<CallReport> {
        let CallId { msg, attempt } = item;
        let Some(OutstandingMessage { sent, journaled, written, until, .. }) = self.out.remove(&item) else {
            self.delivered_late(msg, end, now, actions);
            return None;
        };
        self.waits.remove(&(until, item));
        self.counters.count_call(end);
        let (outcome, wait) = match end {
            CallEnd::Delivered => (Outcome::Ok, 0),
            CallEnd::Error | CallEnd::Each => (Outcome::Error, 0),
            CallEnd::Spoilt(wait) => (Outcome::Error, wait),
            CallEnd::Full(wait) => (Outcome::Full, wait),
            CallEnd::NoSlot | CallEnd::Exhausted | CallEnd::Gone | CallEnd::HeldBack => (Outcome::Moot, 0),
            CallEnd::CouldNotConnect => (Outcome::ConnectFailed, 0),
            CallEnd::Reset => (Outcome::Reset, 0),
            CallEnd::TimedOut => (Outcome::Timeout, 0),
            CallEnd::GivenUp => (Outcome::Cancelled, 0),
        };
        let wait = wait.max(advised_wait);
        let stream = self.owed.get(&msg).filter(|owed| owed.stream.is_some()).map(|owed| owed.end);
        if stream.is_some() && end == CallEnd::Gone {
            // It was withdrawn, or is out of time: that is no delivery, and its client waits for a word.
            self.end(msg, Ending::Undeliverable, now, actions);
        } else if matches!(end, CallEnd::Delivered | CallEnd::Gone) {
            if stream == Some(None) {
                actions.push(RouterAction::Answer { msg, end: StreamEnd::Delivered });
            }
            self.delivered(msg, end, now, actions);
        } else if self.owed.contains_key(&msg) {
            let never_ran = matches!(outcome, Outcome::Full | Outcome::Moot | Outcome::ConnectFailed)
                || breaks::is_enabled(Break::OutcomeNever);
            if let Some(attempt) = journaled {
                self.write(&JournalRecord::Outcome { msg, attempt, never_ran }, now);
            }
            self.stream_call_ended(msg, never_ran, now, actions);
        }
        let finished = self.owed.get(&msg).is_none_or(|owed| owed.end.is_some());
        let elapsed = now.saturating_sub(written.unwrap_or(sent));
        Some(CallReport { msg, attempt, outcome, elapsed, finished, wait })
    }

    /// An endpoint has said that a message is delivered, or over. Whether a delivery about the end of its time counts depends
    /// on whose clock is asked; its end is told too then, which does no harm where it counts.
    fn delivered(&mut self, msg: MsgId, end: CallEnd, now: Micros, actions: &mut Vec<RouterAction>) {
        let late = |owed: &OwedMessage| {
            owed.stream.is_none() && now.saturating_add(DEADLINE_MARGIN) >= owed.deadline
        };
        if end == CallEnd::Delivered && self.owed.get(&msg).is_some_and(late) {
            // Where the module has ended it already, that stays.
            self.end(msg, Ending::Undeliverable, now, actions);
        } else {
            self.settle(msg, End::Delivered, now);
        }
    }

    /// A call delivered a message that was not waited for any longer: nothing more is owed, and nothing more is to leave.
    fn delivered_late(&mut self, msg: MsgId, end: CallEnd, now: Micros, actions: &mut Vec<RouterAction>) {
        let open = self.owed.get(&msg).is_some_and(|owed| owed.end.is_none());
        if open && matches!(end, CallEnd::Delivered | CallEnd::Gone) {
            self.delivered(msg, end, now, actions);
            let calls_out = self.out.range(calls_of(msg)).map(|(_, out)| RouterAction::Ended(out.lead));
            actions.extend(calls_out);
            let instructions = self.policy.ended(now, msg);
            self.carry_out(instructions, now, actions);
        }
    }

    /// A message of a call that goes on for others is not waited for any longer; false: it is the call's last.
    pub(super) fn detach(
        &mut self,
        item: CallId,
        end: CallEnd,
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) -> bool {
        let lead = self.out.get(&item).map(|out| out.lead);
        let others = lead.and_then(|lead| self.bundles.get(&lead)).into_iter().flatten();
        if !others.into_iter().any(|other| *other != item && self.out.contains_key(other)) {
            return false;
        }
        let report = self.message_ended(item, end, 0, now, actions);
        let instructions = self.policy.report_all(now, report.as_slice(), &[]);
        self.carry_out(instructions, now, actions);
        true
    }

    /// Those whose own time is up leave calls that go on for others.
    pub(super) fn detach_late(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        while let Some((until, item)) = self.waits.first().copied().filter(|(until, _)| *until <= now) {
            self.waits.remove(&(until, item));
            let lead = self.out.get(&item).map(|out| out.lead);
            if !self.hedged_requests {
                // Sent again it would be a second copy while the call is out.
                actions.extend(lead.map(RouterAction::GiveUp));
            } else {
                // The last one's time is the call's own.
                self.detach(item, CallEnd::TimedOut, now, actions);
            }
        }
    }

    pub(super) fn is_out(&self, msg: MsgId) -> bool {
        self.out.range(calls_of(msg)).next().is_some()
    }

    /// Invoker calls out at an endpoint.
    pub fn calls_at(&self, endpoint: u32) -> impl Iterator<Item = CallId> {
        let (first, last) = (CallId { msg: 0, attempt: 0 }, CallId { msg: MsgId::MAX, attempt: u32::MAX });
        self.out_at.range((endpoint, first)..=(endpoint, last)).map(|(_, call)| *call)
    }

    /// What another life has to know of an attempt in this zone; the strictest where the settings do not say.
    fn repeat_effect(&self, class: Option<usize>, zone: u32) -> RepeatEffect {
        match class.and_then(|class| self.effects.get(class)) {
            Some(Effect::Idempotent) => RepeatEffect::Safe,
            Some(Effect::Deduplicated { span, by_zone }) => {
                let name = || self.zones.resolve(u64::from(zone)).to_string();
                RepeatEffect::Keyed { span: *span, zone: by_zone.then(name) }
            }
            Some(Effect::NonIdempotent) | None => RepeatEffect::Unsafe,
        }
    }

    pub(super) fn call(
        &mut self,
        endpoint: u32,
        items: &[CallItem],
        now: Micros,
        actions: &mut Vec<RouterAction>,
    ) {
        let known = self.endpoints.get(&endpoint).and_then(|p| Some((p.addr?, p.zone, p.dest)));
        let mut payloads = Vec::with_capacity(items.len());
        for &CallItem { msg, attempt, timeout, send_before: by } in items {
            match self.owed.get(&msg).filter(|_| known.is_some()) {
                Some(owed) => {
                    let (call, payload, stream) =
                        (CallId { msg, attempt }, owed.payload.clone(), owed.stream.is_some());
                    payloads.push((call, payload, stream, timeout, by));
                }
                None => actions.push(RouterAction::Note(Note::UnknownCall { msg, attempt, endpoint })),
            }
        }
        // For whoever answers, a call's time is its first message's: an answer after that one's end counts for none of them,
        // whatever it says. Who is waited for longest leads, so that nobody waits beyond, and of those who lives longest: one
        // that is left behind may be sent again or ended meanwhile, and the call goes on for the others.
        let deadline_of =
            |(call, ..): &(CallId, _, _, _, _)| self.owed.get(&call.msg).map(|owed| owed.deadline);
        let waits = |p: &(CallId, _, _, Micros, _)| (p.3, deadline_of(p));
        if let Some((longest, _)) = payloads.iter().enumerate().max_by_key(|(n, p)| (waits(p), Reverse(*n))) {
            payloads[..=longest].rotate_right(1);
        }
        let (Some((addr, zone, dest)), Some((lead, payload, stream, ..))) =
            (known, payloads.first().cloned())
        else {
            return;
        };
        let times = || payloads.iter().map(|(.., timeout, _)| *timeout);
        let (timeout, time_left) = (times().max().unwrap_or(0), times().min().unwrap_or(0));
        let by = payloads.iter().map(|(.., by)| *by).min().unwrap_or(Micros::MAX);
        let several = payloads.len() > 1;
        for (item, _, _, timeout, _) in &payloads {
            let until = now.saturating_add(*timeout);
            self.out.insert(
                *item,
                OutstandingMessage { lead, sent: now, endpoint, dest, journaled: None, written: None, until },
            );
            self.waits.extend(several.then_some((until, *item)));
        }
        self.out_at.insert((endpoint, lead));
        if several {
            self.bundles.insert(lead, payloads.iter().map(|(item, ..)| *item).collect());
        }
        // Without their records the messages must not leave: after a restart the call would count as never made.
        let record = |(item, ..): &(CallId, _, _, _, _)| {
            let class = self.owed.get(&item.msg).map(|owed| owed.class);
            JournalRecord::Sent { msg: item.msg, sent: now, effect: self.repeat_effect(class, zone) }
        };
        let records: Vec<JournalRecord> = payloads.iter().map(record).collect();
        if !breaks::is_enabled(Break::AttemptUnwritten) && !self.write_all(&records, now) {
            return actions.push(RouterAction::NotWritten(lead));
        }
        // The journal counts what it has, and the module what it ordered: a record that the disk refused
        // sets the two apart.
        for (item, ..) in &payloads {
            if let (Some(owed), Some(out)) = (self.owed.get_mut(&item.msg), self.out.get_mut(item)) {
                out.journaled = Some(owed.journaled);
                owed.journaled += 1;
            }
        }
        self.counters.calls += 1;
        if several {
            self.counters.bundles += 1;
            self.counters.bundled += payloads.len() as u64;
        }
        let others = payloads.into_iter().skip(1);
        let bundled = others.map(|(call, payload, ..)| BundledMessage { call, payload }).collect();
        actions.push(RouterAction::Call(DeliveryCall {
            call: lead,
            endpoint,
            dest,
            addr,
            payload,
            timeout,
            by,
            stream,
            bundled,
            time_left,
        }));
    }
}
