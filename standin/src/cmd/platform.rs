//! The `platform` subcommand.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::CommandResult;
use crate::platform::PlatformFake;

/// Usage text.
pub const USAGE: &str = "\
standin platform [--listen ADDR]

Serves the platform's object API from memory.
GET /stats returns counts of calls, PUT /faults replaces the faults:
  {\"outage\":\"none|unavailable|closed\",\"delay_ms\":N,\"lose_answer_one_in\":N,
   \"machines_lag_ms\":N,\"reads_per_second\":N,\"writes_per_second\":N}
";

struct Args {
    listen: SocketAddr,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let listen = args.opt_value_from_str("--listen")?;
        cmd::reject_unknown(args)?;
        Ok(Self {
            listen: listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        })
    }
}

/// Runs the platform until its process is killed.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    cmd::block_on(cmd::FAKE_THREADS, async move {
        let platform = PlatformFake::start(args.listen).await?;
        println!("listening {}", platform.addr());
        platform.closed().await;
        Ok(ExitCode::SUCCESS)
    })
}
