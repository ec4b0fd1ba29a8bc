//! quillmount: a courier on sockets. It accepts clients' submissions, makes delivery calls to endpoints as the decision
//! module says, and reports one final outcome for each submission, across restarts.

mod fleet;
mod program;
mod transport;

fn main() -> std::process::ExitCode {
    program::cli::main()
}
