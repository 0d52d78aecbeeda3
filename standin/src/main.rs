//! Small fakes of what stands around banyanarch, and a load tool.

use std::io;
use std::process::ExitCode;
use std::thread;

use pico_args::Arguments;
use standin::cmd;

const USAGE: &str = "\
standin COMMAND

Commands: platform, engine, service, daemon, load, demo. `standin COMMAND --help` tells more.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let command = args.subcommand().ok().flatten();
    let (usage, run): (&str, fn(Arguments) -> cmd::Done) = match command.as_deref() {
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
        thread::spawn(end_with_parent);
    }
    run(args).unwrap_or_else(|e| {
        eprintln!("standin: {e}");
        ExitCode::FAILURE
    })
}

/// Ends the process when its standard input ends, which a dead parent can't keep open. Without this
/// a tool that was interrupted would leave its fleet running.
fn end_with_parent() {
    let _ = io::copy(&mut io::stdin(), &mut io::sink());
    std::process::exit(1);
}
