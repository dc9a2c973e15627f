//! The one binary: builds the command line and dispatches.

fn main() -> std::process::ExitCode {
    rw_cli::run(std::env::args_os())
}
