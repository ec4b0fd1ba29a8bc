//! The invoker calls that are out, each with one message or several.

use super::*;
use std::cmp::Reverse;

/// A message that is out in a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Out {
    /// The call, by its first message.
    pub(super) lead: CallId,
    pub(super) sent: Micros,
    pub(super) provider: u32,
    pub(super) dest: u64,
    /// Its number among the attempts that the journal has, if it has this one.
    pub(super) noted: Option<u32>,
    /// When a stream's last byte had left.
    pub(super) written: Option<Micros>,
    /// Until when it is waited for.
    pub(super) until: Micros,
}

/// A delivery counts by the time at which the message's own consumer sent it, and its rest is known here from when it was
/// read. What is less than this before the end of the message's time may have come after it.
const CLOSE: Micros = 50_000;

/// The numbers of all calls of a message.
pub(super) fn calls_of(msg: MsgId) -> std::ops::RangeInclusive<CallId> {
    CallId { msg, attempt: 0 }..=CallId { msg, attempt: u32::MAX }
}

impl<S: Store> Router<S> {
    /// An invoker call ended, for all of its messages alike.
    pub fn call_ended(&mut self, call: CallId, end: CallEnd, now: Micros) -> Vec<Step> {
        self.call_ended_saying(call, end, &Said::default(), now)
    }

    /// The same, with what its answer says besides.
    pub fn call_ended_saying(&mut self, call: CallId, end: CallEnd, said: &Said, now: Micros) -> Vec<Step> {
        let ends = vec![end; self.bundles.get(&call).map_or(1, Vec::len)];
        self.call_ended_each(call, &ends, said, now)
    }

    /// An invoker call ended with a word for each of its messages, in the order in which they were sent.
    pub fn call_ended_each(&mut self, call: CallId, ends: &[CallEnd], said: &Said, now: Micros) -> Vec<Step> {
        let told = said.wait;
        let (mut steps, mut reports) = (Vec::new(), Vec::new());
        let items = self.bundles.remove(&call).unwrap_or_else(|| vec![call]);
        // One at least is waited for as long as the call is out.
        let out = items.iter().find_map(|item| self.out.get(item)).map(|out| (out.provider, out.dest));
        let Some((provider, dest)) = out else { return steps };
        self.out_at.remove(&(provider, call));
        let waits = ends
            .iter()
            .map(|end| if let CallEnd::Full(wait) | CallEnd::Spoilt(wait) = end { *wait } else { 0 });
        let wait = waits.max().unwrap_or(0).max(told);
        if wait > 0 {
            let until = now.saturating_add(wait);
            let bound = self.bound_by(provider, dest);
            steps.extend(bound.map(|provider| Step::Hold { provider, until }));
        }
        for (item, end) in items.iter().zip(ends) {
            reports.extend(self.message_ended(*item, *end, told, now, &mut steps));
        }
        // The module learns of a call with its last message: one that succeeded says most of the destination.
        reports.sort_by_key(|r: &Report| r.outcome == Outcome::Ok);
        let orders = self.facade.report_all(now, &reports, &self.reported(said));
        self.carry_out(orders, now, &mut steps);
        self.say(&mut steps);
        steps
    }

    /// Those that a wait told by one provider binds, as the module heeds it: of separate routes that one alone, or else
    /// all of the destination. Held wider, what the module sends to another route would be held back again and again.
    fn bound_by(&self, provider: u32, dest: u64) -> impl Iterator<Item = u32> {
        let kind = self.providers.get(&provider).map_or(usize::MAX, |known| known.kind);
        let apart = self.apart.get(kind).copied().unwrap_or(false);
        let same = self.by_dest.get(&dest).into_iter().flatten().copied();
        same.filter(move |n| !apart || *n == provider)
    }

    /// A report's values in the order of the settings; none where one is missing or is no number.
    fn reported(&self, said: &Said) -> Vec<f64> {
        let value = |name: &String| said.load.iter().find(|(told, _)| told == name).map(|(_, value)| *value);
        let values: Option<Vec<f64>> = self.load_fields.iter().map(value).collect();
        values.filter(|values| values.iter().all(|v| v.is_finite() && *v >= 0.0)).unwrap_or_default()
    }

    /// Whether answers hold reports of load that the settings name.
    pub fn hears_load(&self) -> bool {
        !self.load_fields.is_empty()
    }

    /// A message of a call has this end; what the module is to learn of it.
    fn message_ended(
        &mut self,
        item: CallId,
        end: CallEnd,
        told: Micros,
        now: Micros,
        steps: &mut Vec<Step>,
    ) -> Option<Report> {
        let CallId { msg, attempt } = item;
        let Some(Out { sent, noted, written, until, .. }) = self.out.remove(&item) else {
            self.delivered_late(msg, end, now, steps);
            return None;
        };
        self.waits.remove(&(until, item));
        self.counters.count_call(end);
        let (outcome, wait) = match end {
            CallEnd::Delivered => (Outcome::Ok, 0),
            CallEnd::Error | CallEnd::Each => (Outcome::Error, 0),
            CallEnd::Spoilt(wait) => (Outcome::Error, wait),
            CallEnd::Full(wait) => (Outcome::Full, wait),
            CallEnd::NoSlot | CallEnd::Exhausted | CallEnd::Over | CallEnd::HeldBack => (Outcome::Moot, 0),
            CallEnd::CouldNotConnect => (Outcome::ConnectFailed, 0),
            CallEnd::Reset => (Outcome::Reset, 0),
            CallEnd::TimedOut => (Outcome::Timeout, 0),
            CallEnd::GivenUp => (Outcome::Cancelled, 0),
        };
        let wait = wait.max(told);
        let stream = self.owed.get(&msg).filter(|owed| owed.stream.is_some()).map(|owed| owed.end);
        if stream.is_some() && end == CallEnd::Over {
            // It was withdrawn, or is out of time: that is no delivery, and its consumer waits for a word.
            self.end(msg, Ending::Undeliverable, now, steps);
        } else if matches!(end, CallEnd::Delivered | CallEnd::Over) {
            if stream == Some(None) {
                steps.push(Step::Answer { msg, end: StreamEnd::Delivered });
            }
            self.delivered(msg, end, now, steps);
        } else if self.owed.contains_key(&msg) {
            let never_ran = matches!(outcome, Outcome::Full | Outcome::Moot | Outcome::ConnectFailed)
                || breaks::on(Break::OutcomeNever);
            if let Some(attempt) = noted {
                self.write(&Record::Outcome { msg, attempt, never_ran }, now);
            }
            self.stream_call_ended(msg, never_ran, now, steps);
        }
        let finished = self.owed.get(&msg).is_none_or(|owed| owed.end.is_some());
        let elapsed = now.saturating_sub(written.unwrap_or(sent));
        Some(Report { msg, attempt, outcome, elapsed, finished, wait })
    }

    /// A provider has said that a message is delivered, or over. Whether a delivery about the end of its time counts depends
    /// on whose clock is asked; its end is told too then, which does no harm where it counts.
    fn delivered(&mut self, msg: MsgId, end: CallEnd, now: Micros, steps: &mut Vec<Step>) {
        let late = |owed: &Owed| owed.stream.is_none() && now.saturating_add(CLOSE) >= owed.deadline;
        if end == CallEnd::Delivered && self.owed.get(&msg).is_some_and(late) {
            // Where the module has ended it already, that stays.
            self.end(msg, Ending::Undeliverable, now, steps);
        } else {
            self.settle(msg, End::Delivered, now);
        }
    }

    /// A call delivered a message that was not waited for any longer: nothing more is owed, and nothing more is to leave.
    fn delivered_late(&mut self, msg: MsgId, end: CallEnd, now: Micros, steps: &mut Vec<Step>) {
        let open = self.owed.get(&msg).is_some_and(|owed| owed.end.is_none());
        if open && matches!(end, CallEnd::Delivered | CallEnd::Over) {
            self.delivered(msg, end, now, steps);
            let again = self.out.range(calls_of(msg)).map(|(_, out)| Step::Ended(out.lead));
            steps.extend(again);
            let orders = self.facade.ended(now, msg);
            self.carry_out(orders, now, steps);
        }
    }

    /// A message of a call that goes on for others is not waited for any longer; false: it is the call's last.
    pub(super) fn leave(&mut self, item: CallId, end: CallEnd, now: Micros, steps: &mut Vec<Step>) -> bool {
        let lead = self.out.get(&item).map(|out| out.lead);
        let others = lead.and_then(|lead| self.bundles.get(&lead)).into_iter().flatten();
        if !others.into_iter().any(|other| *other != item && self.out.contains_key(other)) {
            return false;
        }
        let report = self.message_ended(item, end, 0, now, steps);
        let orders = self.facade.report_all(now, report.as_slice(), &[]);
        self.carry_out(orders, now, steps);
        true
    }

    /// Those whose own time is up leave calls that go on for others.
    pub(super) fn leave_late(&mut self, now: Micros, steps: &mut Vec<Step>) {
        while let Some((until, item)) = self.waits.first().copied().filter(|(until, _)| *until <= now) {
            self.waits.remove(&(until, item));
            let lead = self.out.get(&item).map(|out| out.lead);
            if !self.second_copies {
                // Sent again it would be a second copy while the call is out.
                steps.extend(lead.map(Step::GiveUp));
            } else {
                // The last one's time is the call's own.
                self.leave(item, CallEnd::TimedOut, now, steps);
            }
        }
    }

    pub(super) fn is_out(&self, msg: MsgId) -> bool {
        self.out.range(calls_of(msg)).next().is_some()
    }

    /// Invoker calls out at a provider.
    pub fn calls_at(&self, provider: u32) -> impl Iterator<Item = CallId> {
        let (first, last) = (CallId { msg: 0, attempt: 0 }, CallId { msg: MsgId::MAX, attempt: u32::MAX });
        self.out_at.range((provider, first)..=(provider, last)).map(|(_, call)| *call)
    }

    /// What another life has to know of an attempt in this zone; the strictest where the settings do not say.
    fn under(&self, class: Option<usize>, zone: u32) -> Under {
        match class.and_then(|class| self.effects.get(class)) {
            Some(Effect::Safe) => Under::Safe,
            Some(Effect::Keyed { span, by_zone }) => {
                let name = || self.zones.name(u64::from(zone)).to_string();
                Under::Keyed { span: *span, zone: by_zone.then(name) }
            }
            Some(Effect::Unsafe) | None => Under::Unsafe,
        }
    }

    pub(super) fn call(&mut self, provider: u32, items: &[Item], now: Micros, steps: &mut Vec<Step>) {
        let known = self.providers.get(&provider).and_then(|p| Some((p.addr?, p.zone, p.dest)));
        let mut parcels = Vec::with_capacity(items.len());
        for &Item { msg, attempt, timeout, by } in items {
            match self.owed.get(&msg).filter(|_| known.is_some()) {
                Some(owed) => {
                    let (call, parcel, stream) =
                        (CallId { msg, attempt }, owed.parcel.clone(), owed.stream.is_some());
                    parcels.push((call, parcel, stream, timeout, by));
                }
                None => steps.push(Step::Note(Note::UnknownCall { msg, attempt, provider })),
            }
        }
        // For whoever answers, a call's time is its first message's: an answer after that one's end counts for none of them,
        // whatever it says. Who is waited for longest leads, so that nobody waits beyond, and of those who lives longest: one
        // that is left behind may be sent again or ended meanwhile, and the call goes on for the others.
        let lives = |(call, ..): &(CallId, _, _, _, _)| self.owed.get(&call.msg).map(|owed| owed.deadline);
        let waits = |p: &(CallId, _, _, Micros, _)| (p.3, lives(p));
        if let Some((longest, _)) = parcels.iter().enumerate().max_by_key(|(n, p)| (waits(p), Reverse(*n))) {
            parcels[..=longest].rotate_right(1);
        }
        let (Some((addr, zone, dest)), Some((lead, invocation, stream, ..))) =
            (known, parcels.first().cloned())
        else {
            return;
        };
        let times = || parcels.iter().map(|(.., timeout, _)| *timeout);
        let (timeout, told) = (times().max().unwrap_or(0), times().min().unwrap_or(0));
        let by = parcels.iter().map(|(.., by)| *by).min().unwrap_or(Micros::MAX);
        let several = parcels.len() > 1;
        for (item, _, _, timeout, _) in &parcels {
            let until = now.saturating_add(*timeout);
            self.out
                .insert(*item, Out { lead, sent: now, provider, dest, noted: None, written: None, until });
            self.waits.extend(several.then_some((until, *item)));
        }
        self.out_at.insert((provider, lead));
        if several {
            self.bundles.insert(lead, parcels.iter().map(|(item, ..)| *item).collect());
        }
        // Without their records the messages must not leave: after a restart the call would count as never made.
        let record = |(item, ..): &(CallId, _, _, _, _)| {
            let class = self.owed.get(&item.msg).map(|owed| owed.class);
            Record::Sent { msg: item.msg, sent: now, under: self.under(class, zone) }
        };
        let records: Vec<Record> = parcels.iter().map(record).collect();
        if !breaks::on(Break::AttemptUnwritten) && !self.write_all(&records, now) {
            return steps.push(Step::NotWritten(lead));
        }
        // The journal counts what it has, and the module what it ordered: a record that the disk refused
        // sets the two apart.
        for (item, ..) in &parcels {
            if let (Some(owed), Some(out)) = (self.owed.get_mut(&item.msg), self.out.get_mut(item)) {
                out.noted = Some(owed.noted);
                owed.noted += 1;
            }
        }
        self.counters.calls += 1;
        if several {
            self.counters.bundles += 1;
            self.counters.bundled += parcels.len() as u64;
        }
        let riders = parcels.into_iter().skip(1);
        let more = riders.map(|(call, invocation, ..)| Rider { call, invocation }).collect();
        steps.push(Step::Call(InvokerCall {
            call: lead,
            provider,
            dest,
            addr,
            invocation,
            timeout,
            by,
            stream,
            more,
            told,
        }));
    }
}
