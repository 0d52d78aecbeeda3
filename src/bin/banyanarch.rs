//! The command-line tool for operators.

use std::io;
use std::process::ExitCode;

use banyanarch::cmd;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let exit = cmd::run(args, &mut io::stdout().lock());
    ExitCode::from(exit.code())
}
