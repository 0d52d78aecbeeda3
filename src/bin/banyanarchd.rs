//! The daemon that serves requests on one host.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use banyanarch::daemon;
use banyanarch::daemon::DaemonError;
use banyanarch::settings::EXIT_BAD_SETTINGS;
use banyanarch::settings::check_settings_file;
use pico_args::Arguments;

const USAGE: &str = "
Serves the requests of callers with the upstreams of one fleet.

Usage:
    banyanarchd --settings FILE
    banyanarchd --check FILE
    banyanarchd --help | --version

Options:
    --settings FILE    Run with these settings.
    --check FILE       Check these settings without binding or connecting to any address.

Exit codes: 0 drained or settings valid, 1 failed while running, 2 invalid settings or command line.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("banyanarchd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check_path = args.opt_value_from_str::<_, PathBuf>("--check");
    let settings_path = args.opt_value_from_str::<_, PathBuf>("--settings");
    match (check_path, settings_path) {
        (Ok(Some(path)), Ok(None)) => check(&path),
        (Ok(None), Ok(Some(path))) => run(&path),
        _ => {
            eprint!("{USAGE}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn check(path: &Path) -> ExitCode {
    let settings_check = check_settings_file(path);
    println!("{}", settings_check.report.trim_end());
    ExitCode::from(settings_check.exit_code)
}

fn run(path: &Path) -> ExitCode {
    match daemon::run(path) {
        Ok(code) => ExitCode::from(u8::try_from(code).unwrap_or(1)),
        Err(DaemonError::Settings(errors)) => {
            eprintln!("{errors}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
        Err(err) => {
            eprintln!("banyanarchd: {err}");
            ExitCode::FAILURE
        }
    }
}
