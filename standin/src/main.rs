//! The `standin` program: fakes of the systems around banyanarch, a load tool and a demo.

use std::io;
use std::process::ExitCode;
use std::thread;

use pico_args::Arguments;
use standin::cmd;

const USAGE: &str = "\
standin COMMAND

Commands: platform, engine, service, daemon, load, demo. `standin COMMAND --help` prints its options.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let command = args.subcommand().ok().flatten();
    let (usage, run): (&str, fn(Arguments) -> cmd::CommandResult) = match command.as_deref() {
        Some("platform") => (cmd::platform::USAGE, cmd::platform::run),
        Some("engine") => (cmd::engine::USAGE, cmd::engine::run),
        Some("service") => (cmd::service::USAGE, cmd::service::run),
        Some("daemon") => (cmd::daemon::USAGE, cmd::daemon::run),
        Some("load") => (cmd::load::USAGE, cmd::load::run),
        Some("demo") => (cmd::demo::USAGE, cmd::demo::run),
        _ => {
            eprint!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    if args.contains(["-h", "--help"]) {
        print!("{usage}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--with-parent") {
        thread::spawn(exit_with_parent);
    }
    run(args).unwrap_or_else(|e| {
        eprintln!("standin: {e}");
        ExitCode::FAILURE
    })
}

/// Exits when standard input is closed, which happens when the parent process ends. Otherwise the
/// fleet of an interrupted tool would keep running.
fn exit_with_parent() {
    let _ = io::copy(&mut io::stdin(), &mut io::sink());
    std::process::exit(1);
}
