//! quillmount: a courier on sockets. It takes on clients' submissions, makes delivery calls to
//! endpoints as the decision module says, and owes each submission its end across restarts.

mod fleet;
mod program;
mod transport;

fn main() -> std::process::ExitCode {
    program::cli::main()
}
