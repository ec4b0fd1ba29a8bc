//! The wire's messages and their translation to the library's types and back.

use base64::Engine;
use quillmount_policy::*;
use quillmount_settings::{
    NameTable, SenderSettings, decode_settings, list_state_from_code, micros_from_millis,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::Write;

#[derive(Deserialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
enum In {
    BeginBatch {
        moment_ms: f64,
    },
    Eob,
    Pool {
        #[serde(rename = "ref")]
        number: u32,
        records: Vec<Record>,
    },
    Init {
        i: i64,
        init_seed: u64,
        env: Box<SenderSettings>,
    },
    Endpoints {
        i: i64,
        kind: u8,
        #[serde(rename = "ref", default)]
        number: Option<u32>,
    },
    Submit {
        i: i64,
        xid: String,
        #[serde(rename = "type")]
        class: String,
        project: Option<String>,
        route_key: Option<String>,
        client_deadline_ms: f64,
        size_hint_ms: Option<f64>,
        far_end: u64,
        #[serde(default)]
        flags: Option<u32>,
    },
    Completed {
        i: i64,
        xid: String,
        send_no: u32,
        reason: u32,
        #[serde(default)]
        cost_time_ms: Option<f64>,
        #[serde(default)]
        finished: Option<bool>,
        #[serde(default)]
        note: Option<f64>,
        #[serde(default)]
        pressure: Option<Vec<f64>>,
    },
    Down {
        i: i64,
    },
    PeerData {
        i: i64,
        neighbour: u32,
        body: String,
    },
    Hangup {
        i: i64,
        xid: String,
    },
    CheckResult {
        i: i64,
        receiver: String,
        #[serde(default)]
        cost_time_ms: Option<f64>,
        reason: u32,
        #[serde(default)]
        pressure: Option<Vec<f64>>,
    },
    DeadlineHit {
        i: i64,
        tag: u64,
    },
    Headers {
        i: i64,
        xid: String,
        send_no: u32,
    },
}

#[derive(Deserialize, Clone)]
struct Record {
    #[serde(default)]
    kind: Option<String>,
    #[serde(default)]
    size: Option<f64>,
    #[serde(default)]
    locality: Option<String>,
    dest: u64,
    receiver: String,
    state: u8,
}

#[derive(Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
enum Out<'a> {
    PassOn { i: i64, xid: &'a str, patience_ms: f64, receiver: &'a str },
    Bounce { i: i64, xid: &'a str, not_before_for_ms: f64 },
    Lose { i: i64, xid: &'a str },
    Withdraw { i: i64, xid: &'a str, send_no: u32 },
    FreeLinks { i: i64, receiver: &'a str },
    Subscribe { i: i64, want: bool },
    Schedule { i: i64, offset_ms: f64, tag: u64 },
    Print { i: i64, text: &'a str },
    Yield,
}

struct Instance {
    dispatcher: Dispatcher,
    events: Vec<DispatchEvent>,
    /// Events in hand or a life that just began: it may act in this reply.
    active: bool,
    messages: NameTable,
    receivers: NameTable,
    keys: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: NameTable,
    kinds: Vec<String>,
}

/// All instances of this process, in the order of their numbers.
#[derive(Default)]
pub struct Host {
    clock: Option<Micros>,
    pools: BTreeMap<u32, Vec<Record>>,
    instances: BTreeMap<i64, Instance>,
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

fn outcome(reason: u32) -> Result<Outcome, String> {
    Ok(match reason {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Full,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::Moot,
        other => return Err(format!("reason: no outcome has the code {other}")),
    })
}

impl Host {
    pub fn in_batch(&self) -> bool {
        self.clock.is_some()
    }

    fn instance(&mut self, i: i64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&i).ok_or_else(|| format!("i: no instance {i} is up"))
    }

    /// Takes one line. True: the batch is over and wants its reply.
    pub fn line(&mut self, line: &str) -> Result<bool, String> {
        let message: In = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match (&message, self.clock) {
            (In::BeginBatch { .. }, Some(_)) => return Err("begin_batch inside a batch".into()),
            (In::BeginBatch { .. }, None) | (_, Some(_)) => {}
            (_, None) => return Err("a message outside a batch".into()),
        }
        let (i, event) = match message {
            In::BeginBatch { moment_ms } => {
                self.clock = Some(micros_from_millis("moment_ms", moment_ms)?);
                return Ok(false);
            }
            In::Eob => return Ok(true),
            In::Pool { number, records } => {
                records.iter().try_for_each(|r| list_state_from_code(r.state).map(drop))?;
                self.pools.insert(number, records);
                return Ok(false);
            }
            In::Init { i, init_seed, env } => {
                self.start(i, init_seed, &env)?;
                return Ok(false);
            }
            In::Down { i } => {
                self.instance(i)?;
                self.instances.remove(&i);
                return Ok(false);
            }
            In::Endpoints { i, kind, number } => (i, self.list(i, kind, number)?),
            In::Submit {
                i,
                xid,
                class,
                project,
                route_key,
                client_deadline_ms,
                size_hint_ms,
                far_end,
                flags,
            } => {
                let inst = self.instance(i)?;
                let class = position("type", &inst.classes, &class)?;
                let tenant = match project {
                    Some(p) => Some(position("project", &inst.tenants, &p)?),
                    None => None,
                };
                let work_hint = match size_hint_ms {
                    Some(ms) if flags.unwrap_or(0) & 1 != 0 => Some(micros_from_millis("size_hint_ms", ms)?),
                    _ => None,
                };
                let message = Message {
                    id: inst.messages.intern(&xid),
                    class,
                    tenant,
                    key: route_key.map(|k| inst.keys.intern(&k)),
                    deadline: micros_from_millis("client_deadline_ms", client_deadline_ms)?,
                    work_hint,
                    dest: far_end,
                    stream: false,
                    size: 0,
                };
                (i, Some(DispatchEvent::Submit(message)))
            }
            In::Completed { i, xid, send_no, reason, cost_time_ms, finished, note, pressure } => {
                let inst = self.instance(i)?;
                let outcome = outcome(reason)?;
                let wait = if outcome == Outcome::Full { note.unwrap_or(0.0) } else { 0.0 };
                let wait = micros_from_millis("note", wait)?;
                let elapsed = micros_from_millis("cost_time_ms", cost_time_ms.unwrap_or(0.0))?;
                let event = inst.messages.get(&xid).map(|msg| {
                    DispatchEvent::Completed(Completion {
                        msg,
                        attempt: send_no,
                        outcome,
                        elapsed,
                        finished: finished.unwrap_or(false),
                        wait,
                        report: pressure.unwrap_or_default(),
                    })
                });
                (i, event)
            }
            In::PeerData { i, neighbour, body } => {
                let engine = base64::engine::general_purpose::STANDARD;
                let body = engine.decode(body).map_err(|e| format!("body: {e}"))?;
                (i, Some(DispatchEvent::Peer { from: neighbour, body }))
            }
            In::Hangup { i, xid } => {
                let msg = self.instance(i)?.messages.get(&xid);
                (i, msg.map(|msg| DispatchEvent::Hangup { msg }))
            }
            In::CheckResult { i, receiver, cost_time_ms, reason, pressure } => {
                let elapsed = micros_from_millis("cost_time_ms", cost_time_ms.unwrap_or(0.0))?;
                let outcome = outcome(reason)?;
                let report = pressure.unwrap_or_default();
                let event = self.instance(i)?.receivers.get(&receiver).map(|n| {
                    DispatchEvent::ProbeCompleted { endpoint: n as EndpointId, outcome, elapsed, report }
                });
                (i, event)
            }
            In::DeadlineHit { i, tag } => (i, Some(DispatchEvent::Timer { tag })),
            In::Headers { i, xid, send_no } => {
                let msg = self.instance(i)?.messages.get(&xid);
                (i, msg.map(|msg| DispatchEvent::Headers { msg, attempt: send_no }))
            }
        };
        let inst = self.instance(i)?;
        inst.active = true;
        inst.events.extend(event);
        Ok(false)
    }

    fn start(&mut self, i: i64, seed: u64, env: &SenderSettings) -> Result<(), String> {
        let mut zones = NameTable::default();
        let settings = decode_settings(env, &mut zones)?;
        let instance = Instance {
            dispatcher: Dispatcher::new(settings, seed).map_err(|e| e.to_string())?,
            events: Vec::new(),
            active: true,
            messages: NameTable::default(),
            receivers: NameTable::default(),
            keys: NameTable::default(),
            classes: env.categories.iter().map(|c| c.name.clone()).collect(),
            tenants: env.tenants.iter().map(|t| t.name.clone()).collect(),
            zones,
            kinds: env.skus.clone(),
        };
        self.instances.insert(i, instance);
        Ok(())
    }

    fn list(&mut self, i: i64, kind: u8, number: Option<u32>) -> Result<Option<DispatchEvent>, String> {
        let inst = self.instances.get_mut(&i).ok_or_else(|| format!("i: no instance {i} is up"))?;
        let kind = match kind {
            0 => ListUpdate::Delta,
            1 | 2 => ListUpdate::Full,
            3 => return Ok(Some(DispatchEvent::List { kind: ListUpdate::Failed, entries: Vec::new() })),
            other => return Err(format!("kind: no list has the code {other}")),
        };
        let number = number.ok_or("missing field `ref`")?;
        let records = self.pools.get(&number).ok_or_else(|| format!("ref: no pool {number} was sent"))?;
        let mut entries = Vec::with_capacity(records.len());
        for r in records {
            let kind = r.kind.as_ref().and_then(|k| inst.kinds.iter().position(|x| x == k));
            entries.push(EndpointEntry {
                endpoint: inst.receivers.intern(&r.receiver) as EndpointId,
                dest: r.dest,
                kind: kind.unwrap_or(usize::MAX),
                zone: r.locality.as_ref().map_or(0, |z| inst.zones.intern(z) as u32),
                weight: r.size.unwrap_or(0.0),
                state: list_state_from_code(r.state)?,
                returning: false,
            });
        }
        Ok(Some(DispatchEvent::List { kind, entries }))
    }

    /// Steps every instance that had an event and writes what it does.
    pub fn reply(&mut self, out: &mut impl Write) -> std::io::Result<()> {
        let clock = self.clock.take().unwrap_or(0);
        for (i, inst) in self.instances.iter_mut().filter(|(_, inst)| inst.active) {
            inst.active = false;
            let events = std::mem::take(&mut inst.events);
            for action in inst.dispatcher.step(clock, &events) {
                write_line(out, &inst.out(*i, &action))?;
            }
        }
        write_line(out, &Out::Yield)
    }
}

impl Instance {
    fn out<'a>(&'a self, i: i64, action: &'a DispatchAction) -> Out<'a> {
        let message = |n: &MsgId| self.messages.resolve(*n);
        let receiver = |n: &EndpointId| self.receivers.resolve(u64::from(*n));
        match action {
            DispatchAction::Send { msg, endpoint, timeout, .. } => Out::PassOn {
                i,
                xid: message(msg),
                patience_ms: millis(*timeout),
                receiver: receiver(endpoint),
            },
            DispatchAction::Reject { msg, after } => {
                Out::Bounce { i, xid: message(msg), not_before_for_ms: millis(*after) }
            }
            DispatchAction::Fail { msg } => Out::Lose { i, xid: message(msg) },
            DispatchAction::Cancel { msg, attempt } => {
                Out::Withdraw { i, xid: message(msg), send_no: *attempt }
            }
            DispatchAction::CloseIdle { endpoint } => Out::FreeLinks { i, receiver: receiver(endpoint) },
            DispatchAction::Log(text) => Out::Print { i, text },
            DispatchAction::Subscribe => Out::Subscribe { i, want: true },
            DispatchAction::Timer { after, tag } => Out::Schedule { i, offset_ms: millis(*after), tag: *tag },
        }
    }
}

fn position(what: &str, names: &[String], name: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("{what}: {name:?} is not in the settings"))
}

fn write_line(out: &mut impl Write, line: &Out<'_>) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}
