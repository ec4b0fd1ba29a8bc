//! Transition tables of the state machines, generated from their code for the documentation.

use std::fmt::Write;

/// The transitions of one machine: a row for each state, a column for each input.
#[derive(Clone, Debug)]
pub struct Table {
    /// The machine's name, used as the heading.
    pub name: &'static str,
    /// What the machine does, in Markdown.
    pub about: &'static str,
    /// The states, one for each row of [`Table::cells`].
    pub states: Vec<Term>,
    /// The inputs, one for each column of [`Table::cells`].
    pub inputs: Vec<Term>,
    /// The transitions, indexed by state and then by input; `None` if the input has no effect in the state.
    pub cells: Vec<Vec<Option<Cell>>>,
}

/// A state or an input with its explanation in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The label in the table.
    pub name: &'static str,
    /// The explanation, in Markdown.
    pub meaning: &'static str,
}

/// A transition: the effect of an input in a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The name of the next state, which may be the same.
    pub next: String,
    /// The output of the machine as text; empty if there is none.
    pub action: String,
}

/// An example value of a state or an input, from which the table is generated.
#[derive(Clone, Copy, Debug)]
pub struct Example<T> {
    /// The label in the table.
    pub name: &'static str,
    /// The explanation, in Markdown.
    pub meaning: &'static str,
    /// The machine in this state, or the input with its time.
    pub value: T,
}

impl<T> Example<T> {
    fn term(&self) -> Term {
        Term { name: self.name, meaning: self.meaning }
    }
}

/// Converts rows of name, meaning and value to examples.
pub fn examples<T, const N: usize>(rows: [(&'static str, &'static str, T); N]) -> Vec<Example<T>> {
    rows.into_iter().map(|(name, meaning, value)| Example { name, meaning, value }).collect()
}

/// A state machine that can be constructed in each of its states, for its table and for state-space exploration. The
/// examples cover all states and all inputs.
pub trait Machine: Clone + PartialEq {
    /// The inputs of the machine, usually with the time at which they occur.
    type Input: Clone;
    /// The heading of the machine's table.
    const NAME: &'static str;
    /// The text above the machine's table, in Markdown: what the machine does.
    const ABOUT: &'static str;
    /// One example for each state.
    fn states() -> Vec<Example<Self>>;
    /// One example for each input.
    fn inputs() -> Vec<Example<Self::Input>>;
    /// The name of the current state, as in [`Machine::states`].
    fn state(&self) -> &'static str;
    /// Applies an input; returns the output as text. A tick is applied at a time at which every timer of the examples is due.
    fn apply(&mut self, input: Self::Input) -> String;

    /// Generates the table by applying each example input to each example state.
    fn table() -> Table {
        let states = Self::states();
        let inputs = Self::inputs();
        let cell = |machine: &Self, input: &Self::Input| {
            let mut next = machine.clone();
            let action = next.apply(input.clone());
            let changed = next.state() != machine.state() || !action.is_empty();
            changed.then(|| Cell { next: next.state().to_string(), action })
        };
        let row = |machine: &Self| inputs.iter().map(|input| cell(machine, &input.value)).collect();
        Table {
            name: Self::NAME,
            about: Self::ABOUT,
            cells: states.iter().map(|state| row(&state.value)).collect(),
            states: states.iter().map(Example::term).collect(),
            inputs: inputs.iter().map(Example::term).collect(),
        }
    }
}

impl Table {
    /// Formats the table as Markdown: the states, the inputs, and the transition for each input and state.
    pub fn markdown(&self) -> String {
        let mut text = format!("## {}\n\n{}\n\n", self.name, self.about);
        for (title, rows) in [("state", &self.states), ("input", &self.inputs)] {
            let _ = write!(text, "| {title} | meaning |\n| --- | --- |\n");
            for Term { name, meaning } in rows {
                let _ = writeln!(text, "| `{name}` | {meaning} |");
            }
            text.push('\n');
        }
        let names: Vec<&str> = self.states.iter().map(|state| state.name).collect();
        let _ = writeln!(text, "| | {} |", names.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(names.len()));
        for (index, input) in self.inputs.iter().enumerate() {
            let cells = self.cells.iter().zip(&names).map(|(row, state)| match &row[index] {
                None => "·".to_string(),
                Some(Cell { next, action }) if next == state => action.clone(),
                Some(Cell { next, action }) if action.is_empty() => format!("→ **{next}**"),
                Some(Cell { next, action }) => format!("{action} → **{next}**"),
            });
            let _ = writeln!(text, "| `{}` | {} |", input.name, cells.collect::<Vec<_>>().join(" | "));
        }
        text
    }

    /// Formats the transitions as a Graphviz graph.
    pub fn dot(&self) -> String {
        let mut text = format!("digraph \"{}\" {{\n  rankdir=LR;\n  node [shape=box];\n", self.name);
        for (row, state) in self.cells.iter().zip(&self.states) {
            for (cell, input) in row.iter().zip(&self.inputs) {
                let Some(Cell { next, action }) = cell else { continue };
                let (state, input) = (state.name, input.name);
                let label = if action.is_empty() { input.to_string() } else { format!("{input} / {action}") };
                let _ = writeln!(text, "  \"{state}\" -> \"{next}\" [label=\"{label}\"];");
            }
        }
        text + "}\n"
    }
}
