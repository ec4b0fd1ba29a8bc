//! quillmount: a courier on sockets. It takes on consumers' invocations, makes invoker calls to
//! providers as the decision module says, and owes each invocation its end across restarts.

mod program;
mod transport;

fn main() -> std::process::ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,actix_http=off"))
        .format_timestamp_millis()
        .init();
    match actix_rt::System::new().block_on(program::run::run()) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            std::process::ExitCode::FAILURE
        }
    }
}
