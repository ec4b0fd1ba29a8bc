//! quillmount: a courier on sockets. It takes on consumers' invocations, makes invoker calls to
//! providers as the decision module says, and owes each invocation its end across restarts.

mod fleet;
mod program;
mod transport;

fn main() -> std::process::ExitCode {
    program::cli::main()
}
