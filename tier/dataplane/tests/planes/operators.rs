//! Operators: each builds on the configuration that it knows, sends the same again until it has a clear answer, and reads it.

use crate::core_side::Waiting;
use crate::machine::MachineId;
use crate::platform::SERVICE;
use crate::world::{CORE, Event, World};
use quillmount_control::{Order, OrderKind, OrderOutcome};
use quillmount_test_support::simulation::{MILLI, SECOND, Simulation, Time};

/// Routes that every configuration has.
pub const LASTING_ROUTES: u64 = 3;
/// A call without an answer after this time is sent again, to any machine.
const ANSWER_TIMEOUT: Time = SECOND;
/// Percentage of looks at which an operator without a task begins one.
const BEGIN: u64 = 2;
/// Percentage of answers that are lost.
const LOST_ANSWERS: u64 = 10;
/// Calls between operators and machines take this time.
const CALL_DELAY: Time = 3 * MILLI;

/// What an operator wants.
#[derive(Clone, Debug)]
pub enum Task {
    /// Read the configuration.
    Read,
    /// Put a configuration that builds on a version.
    Put(Order),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    Applied { version: u64 },
    Mismatch,
    Shows { version: u64, text: String },
    Unclear,
}

/// A call that a machine took and has not answered. The operator may have another task by the time of the answer.
pub struct OperatorCall {
    pub operator: usize,
    pub call: u64,
    pub task: Task,
    /// What a change led to; a read has its answer once its ticket is confirmed.
    pub answer: Option<OperatorAnswer>,
}

/// An operator.
#[derive(Default)]
pub struct Operator {
    task: Option<Task>,
    call: u64,
    sent_at: Time,
    /// The newest version that it was shown.
    known: u64,
}

/// Name of a route, as host and prefix.
pub fn route_name(number: u64) -> String {
    format!("r{number}")
}

/// The text of a configuration: lasting routes, one for each version up to it that it builds on, and one that only it has.
pub fn configuration(version: u64, added: &[u64]) -> String {
    let route = |name: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"h","PathPrefix":"/{name}/","Mode":"safe","DeadlineMs":4000,"Backend":"{SERVICE}"}}"#
        )
    };
    let lasting = (0..LASTING_ROUTES).map(route_name);
    let added = added.iter().map(|version| format!("n{version}"));
    let own = format!("d{version}");
    let routes: Vec<String> = lasting.chain(added).chain([own]).map(|name| route(&name)).collect();
    format!(
        r#"{{"Gen":{version},"Routes":[{}],"Backends":[{{"Name":"{SERVICE}","MaxConns":64}}]}}"#,
        routes.join(",")
    )
}

impl World {
    /// Lets operators begin a task or send a call again.
    pub fn operate(&mut self) {
        for operator in 0..self.operators.len() {
            let now = self.now();
            if self.operators[operator].task.is_none() {
                if self.busy && self.random.chance(BEGIN) {
                    self.begin_task(operator);
                }
            } else if now > self.operators[operator].sent_at + ANSWER_TIMEOUT {
                self.send_operator_call(operator);
            }
        }
    }

    fn begin_task(&mut self, operator: usize) {
        let base = self.operators[operator].known;
        let task = if base > 0 && self.random.chance(45) {
            Task::Read
        } else {
            let version = base + 1 + self.random.below(3);
            let mut added = self.audit.added_by(base);
            added.push(version);
            let body = configuration(version, &added);
            self.audit.sent(version, base, added);
            Task::Put(Order { kind: OrderKind::Put, base, body })
        };
        self.operators[operator].task = Some(task);
        self.send_operator_call(operator);
    }

    fn send_operator_call(&mut self, operator: usize) {
        let call = self.next_call();
        let to = self.random.index(CORE);
        let state = &mut self.operators[operator];
        state.call = call;
        state.sent_at = self.timeline.now();
        self.schedule(self.now() + CALL_DELAY, Event::OperatorCall { operator, call, to });
    }

    /// A call arrives at a machine of the core.
    pub fn receive_operator_call(&mut self, operator: usize, call: u64, to: MachineId) {
        let now = self.now();
        let Some(task) =
            self.operators[operator].task.clone().filter(|_| self.operators[operator].call == call)
        else {
            return;
        };
        let member = self.member(to);
        let submitted = match &task {
            Task::Read => member.confirm(now).map(|read| (read.ticket, read.actions, None)),
            Task::Put(order) => member
                .change(|state| state.apply_order(order), now)
                .map(|change| (change.ticket, change.actions, Some(answer_of(&change.outcome)))),
        };
        match submitted {
            Ok((ticket, actions, answer)) => {
                self.audit.call_began(call, now);
                let waiting = Waiting::Operator(OperatorCall { operator, call, task, answer });
                self.machines[to].state.waiting.insert(ticket, waiting);
                self.perform(to, actions);
            }
            Err(_) => self.send_operator_answer(operator, call, OperatorAnswer::Unclear),
        }
    }

    /// A machine answers a call once its ticket is confirmed.
    pub fn answer_operator(&mut self, id: MachineId, waiting: OperatorCall, confirmed: bool) {
        let OperatorCall { operator, call, task, answer } = waiting;
        let shown = || {
            let state = self.machines[id].state.member.as_ref().and_then(|member| member.committed());
            state.map(|state| OperatorAnswer::Shows {
                version: state.version,
                text: state.configuration.clone(),
            })
        };
        let answer = if confirmed { answer.or_else(shown) } else { None };
        let answer = answer.unwrap_or(OperatorAnswer::Unclear);
        let now = self.now();
        self.audit.answered(call, &answer, &task, now);
        self.send_operator_answer(operator, call, answer);
    }

    fn send_operator_answer(&mut self, operator: usize, call: u64, answer: OperatorAnswer) {
        if !self.random.chance(LOST_ANSWERS) {
            self.schedule(self.now() + CALL_DELAY, Event::OperatorAnswer { operator, call, answer });
        }
    }

    /// An answer arrives at its operator.
    pub fn receive_operator_answer(&mut self, operator: usize, call: u64, answer: OperatorAnswer) {
        let state = &mut self.operators[operator];
        if state.call != call || state.task.is_none() {
            return;
        }
        match answer {
            OperatorAnswer::Unclear => return,
            OperatorAnswer::Applied { version } | OperatorAnswer::Shows { version, .. } => {
                state.known = state.known.max(version);
                state.task = None;
            }
            // Another one prevailed: it is read first.
            OperatorAnswer::Mismatch => state.task = Some(Task::Read),
        }
        if state.task.is_some() {
            self.send_operator_call(operator);
        }
    }
}

fn answer_of(outcome: &OrderOutcome) -> OperatorAnswer {
    match outcome {
        OrderOutcome::Applied { version } => OperatorAnswer::Applied { version: *version },
        OrderOutcome::VersionMismatch { .. } => OperatorAnswer::Mismatch,
        OrderOutcome::Invalid(error) => panic!("a proper configuration is invalid: {error}"),
        OrderOutcome::Expired => OperatorAnswer::Unclear,
    }
}
