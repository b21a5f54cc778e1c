//! Entry point of the program `catkin-ctl`.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let status = catkin_ctl::run_command(std::env::args_os(), &mut io::stdout(), &mut io::stderr());
    ExitCode::from(status.code())
}
