//! The transitions of a state machine as a table, generated from its code, for the documentation.

use std::fmt::Write;

/// The transitions of one machine: a row for each state, a column for each input.
#[derive(Clone, Debug)]
pub struct Table {
    /// The machine's name.
    pub name: &'static str,
    /// What the machine does.
    pub about: &'static str,
    /// The states.
    pub states: Vec<Term>,
    /// The inputs.
    pub inputs: Vec<Term>,
    /// By state and input; `None` where nothing changes.
    pub cells: Vec<Vec<Option<Cell>>>,
}

/// A state or an input, as the table explains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
}

/// The effect of an input in a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The name of the next state.
    pub next: String,
    /// The action; empty for none.
    pub action: String,
}

/// An example of a state or of an input, for the table.
#[derive(Clone, Copy, Debug)]
pub struct Example<T> {
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// The example.
    pub value: T,
}

impl<T> Example<T> {
    fn term(&self) -> Term {
        Term { name: self.name, meaning: self.meaning }
    }
}

/// Examples from rows of name, meaning and value.
pub fn examples<T, const N: usize>(rows: [(&'static str, &'static str, T); N]) -> Vec<Example<T>> {
    rows.into_iter().map(|(name, meaning, value)| Example { name, meaning, value }).collect()
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
    /// An example of each state.
    fn states() -> Vec<Example<Self>>;
    /// An example of each input.
    fn inputs() -> Vec<Example<Self::Input>>;
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
    /// The table as Markdown: the states, the inputs, and what each input does in each state.
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

    /// The table as a Graphviz graph.
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
