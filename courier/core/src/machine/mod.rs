//! The state machines of one attempt, one connection on either side, the watch, the notices and the courier's life.
//!
//! Each is told what happened and when, and says what is to be done; whoever drives it only moves bytes.
//! `docs/states.md` holds their tables, printed from the code here by [`tables`].

pub mod attempt;
pub mod client;
pub mod connection;
pub mod drain;
pub mod handover;
pub mod lifecycle;
pub mod notices;
pub mod watch;

use std::fmt::Write;

/// One machine's transitions, read off the code: a row for each state, a column for each input.
#[derive(Clone, Debug)]
pub struct Table {
    pub name: &'static str,
    pub about: &'static str,
    pub states: Vec<(&'static str, &'static str)>,
    pub inputs: Vec<(&'static str, &'static str)>,
    /// By state and input: the next state and what is to be done; `None` where nothing changes.
    pub cells: Vec<Vec<Option<(String, String)>>>,
}

/// A machine that can be put into any of its states, for its table, and for whoever explores it: with these examples no
/// state and no input is left out.
pub trait Machine: Clone + PartialEq {
    type Input: Clone;
    const NAME: &'static str;
    const ABOUT: &'static str;
    /// One example of each state, with its name and meaning.
    fn states() -> Vec<(&'static str, &'static str, Self)>;
    /// One example of each input, with its name and meaning.
    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)>;
    /// The state's name, as in `states`.
    fn state(&self) -> &'static str;
    /// Takes the input at a moment after all that the state waits for; says what is to be done.
    fn apply(&mut self, input: Self::Input) -> String;

    fn table() -> Table {
        let states = Self::states();
        let inputs = Self::inputs();
        let cell = |machine: &Self, input: &Self::Input| {
            let mut next = machine.clone();
            let done = next.apply(input.clone());
            let changed = next.state() != machine.state() || !done.is_empty();
            changed.then(|| (next.state().to_string(), done))
        };
        Table {
            name: Self::NAME,
            about: Self::ABOUT,
            cells: states.iter().map(|(.., m)| inputs.iter().map(|(.., i)| cell(m, i)).collect()).collect(),
            states: states.iter().map(|(name, about, _)| (*name, *about)).collect(),
            inputs: inputs.iter().map(|(name, about, _)| (*name, *about)).collect(),
        }
    }
}

/// The tables of all machines.
pub fn tables() -> Vec<Table> {
    vec![
        attempt::Attempt::table(),
        attempt::Streamed::table(),
        crate::flow::Flow::table(),
        connection::EndpointConnection::table(),
        client::ClientConnection::table(),
        watch::Watch::table(),
        notices::Notices::table(),
        lifecycle::Lifecycle::table(),
        drain::Drain::table(),
        handover::HandoverSender::table(),
        handover::HandoverReceiver::table(),
    ]
}

impl Table {
    /// As Markdown: the states, the inputs, and what each does in each.
    pub fn markdown(&self) -> String {
        let mut text = format!("## {}\n\n{}\n\n", self.name, self.about);
        for (title, rows) in [("state", &self.states), ("input", &self.inputs)] {
            let _ = write!(text, "| {title} | meaning |\n| --- | --- |\n");
            rows.iter().for_each(|(name, about)| {
                let _ = writeln!(text, "| `{name}` | {about} |");
            });
            text.push('\n');
        }
        let names: Vec<&str> = self.states.iter().map(|(name, _)| *name).collect();
        let _ = writeln!(text, "| | {} |", names.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(names.len()));
        for (n, (input, _)) in self.inputs.iter().enumerate() {
            let cells = self.cells.iter().zip(&names).map(|(row, state)| match &row[n] {
                None => "·".to_string(),
                Some((next, done)) if next == state => done.clone(),
                Some((next, done)) if done.is_empty() => format!("→ **{next}**"),
                Some((next, done)) => format!("{done} → **{next}**"),
            });
            let _ = writeln!(text, "| `{input}` | {} |", cells.collect::<Vec<_>>().join(" | "));
        }
        text
    }

    /// As a Graphviz graph.
    pub fn dot(&self) -> String {
        let mut text = format!("digraph \"{}\" {{\n  rankdir=LR;\n  node [shape=box];\n", self.name);
        for (row, (state, _)) in self.cells.iter().zip(&self.states) {
            for (cell, (input, _)) in row.iter().zip(&self.inputs) {
                if let Some((next, done)) = cell {
                    let label = if done.is_empty() { input.to_string() } else { format!("{input} / {done}") };
                    let _ = writeln!(text, "  \"{state}\" -> \"{next}\" [label=\"{label}\"];");
                }
            }
        }
        text + "}\n"
    }
}
