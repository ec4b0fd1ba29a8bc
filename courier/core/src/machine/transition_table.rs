//! The transitions of a state machine as a table, generated from its code, for the documentation.

use std::fmt::Write;

/// The transitions of one machine: a row for each state, a column for each input.
#[derive(Clone, Debug)]
pub struct Table {
    /// The machine's name.
    pub name: &'static str,
    /// What the machine does.
    pub about: &'static str,
    /// The name and meaning of each state.
    pub states: Vec<(&'static str, &'static str)>,
    /// The name and meaning of each input.
    pub inputs: Vec<(&'static str, &'static str)>,
    /// By state and input: the next state and the action; `None` where nothing changes.
    pub cells: Vec<Vec<Option<(String, String)>>>,
}

/// A machine that can be put into any of its states, for its table and for exploration. Its examples leave out no state
/// and no input.
pub trait Machine: Clone + PartialEq {
    /// The type of its inputs.
    type Input: Clone;
    /// The machine's name, as the heading of its table.
    const NAME: &'static str;
    /// What the machine does, as the text above its table.
    const ABOUT: &'static str;
    /// An example of each state, with its name and meaning.
    fn states() -> Vec<(&'static str, &'static str, Self)>;
    /// An example of each input, with its name and meaning.
    fn inputs() -> Vec<(&'static str, &'static str, Self::Input)>;
    /// The state's name, as in [`Machine::states`].
    fn state(&self) -> &'static str;
    /// Applies an input at a time after all times that the state waits for; returns the action.
    fn apply(&mut self, input: Self::Input) -> String;

    /// The machine's transitions.
    fn table() -> Table {
        let states = Self::states();
        let inputs = Self::inputs();
        let cell = |machine: &Self, input: &Self::Input| {
            let mut next = machine.clone();
            let action = next.apply(input.clone());
            let changed = next.state() != machine.state() || !action.is_empty();
            changed.then(|| (next.state().to_string(), action))
        };
        let row = |machine: &Self| inputs.iter().map(|(.., input)| cell(machine, input)).collect();
        Table {
            name: Self::NAME,
            about: Self::ABOUT,
            cells: states.iter().map(|(.., machine)| row(machine)).collect(),
            states: states.iter().map(|(name, about, _)| (*name, *about)).collect(),
            inputs: inputs.iter().map(|(name, about, _)| (*name, *about)).collect(),
        }
    }
}

impl Table {
    /// The table as Markdown: the states, the inputs, and what each input does in each state.
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
                Some((next, action)) if next == state => action.clone(),
                Some((next, action)) if action.is_empty() => format!("→ **{next}**"),
                Some((next, action)) => format!("{action} → **{next}**"),
            });
            let _ = writeln!(text, "| `{input}` | {} |", cells.collect::<Vec<_>>().join(" | "));
        }
        text
    }

    /// The table as a Graphviz graph.
    pub fn dot(&self) -> String {
        let mut text = format!("digraph \"{}\" {{\n  rankdir=LR;\n  node [shape=box];\n", self.name);
        for (row, (state, _)) in self.cells.iter().zip(&self.states) {
            for (cell, (input, _)) in row.iter().zip(&self.inputs) {
                if let Some((next, action)) = cell {
                    let label =
                        if action.is_empty() { input.to_string() } else { format!("{input} / {action}") };
                    let _ = writeln!(text, "  \"{state}\" -> \"{next}\" [label=\"{label}\"];");
                }
            }
        }
        text + "}\n"
    }
}
