//! `list` and `states`: the names that the other commands use, and the tables of the state machines.

use super::exit_status::ExitStatus;
use clap::ValueEnum;
use quillmount_core::machine;
use quillmount_explore::case::FaultKind;
use quillmount_explore::property::Property;
use quillmount_policy::breaks;

/// Prints the properties, the events and the deliberate breaks.
pub fn print_names() -> ExitStatus {
    println!("properties:");
    for (property, about) in Property::ALL {
        println!("  {:14} {about}", property.name());
    }
    println!("events:");
    for value in FaultKind::value_variants().iter().filter_map(ValueEnum::to_possible_value) {
        let help = value.get_help().map(ToString::to_string).unwrap_or_default();
        println!("  {:14} {help}", value.get_name());
    }
    println!("breaks (built with --features breaks):");
    for (name, about) in breaks::ALL {
        println!("  {name:24} {about}");
    }
    ExitStatus::Verified
}

/// Prints the tables of the state machines, or their graphs for Graphviz.
pub fn print_machines(dot: bool) -> ExitStatus {
    for table in machine::tables() {
        println!("{}", if dot { table.dot() } else { table.markdown() });
    }
    ExitStatus::Verified
}
