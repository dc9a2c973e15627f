//! Entry point of the `redwingweir` binary.

fn main() -> std::process::ExitCode {
    rw_cli::run(std::env::args_os())
}
