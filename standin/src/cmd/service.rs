//! The `service` subcommand.

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::CommandResult;
use crate::machine::Machine;
use crate::service::Service;
use crate::service::ServiceOptions;

/// Usage text.
pub const USAGE: &str = "\
standin service [--listen ADDR] [--latency-ms N] [--slots N] [--record FILE]
                [--machine NAME --domain D --target T --platform ADDR]

A fake plain service: echoes the body of each call after the latency, which grows when more calls
than slots are active. GET /record lists every call that ran, PUT /faults replaces the faults:
  freeze, slow_factor, fail_one_in, cut_one_in, refuse
";

struct Args {
    options: ServiceOptions,
    machine: Option<Machine>,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let options = ServiceOptions::from_args(&mut args)?;
        let machine = Machine::from_args(&mut args)?;
        cmd::reject_unknown(args)?;
        Ok(Self { options, machine })
    }
}

/// Runs the service until its process is killed.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    cmd::block_on(cmd::FAKE_THREADS, async move {
        let service = Service::start(args.options).await?;
        if let Some(machine) = args.machine {
            machine.register(service.addr()).await?;
        }
        println!("listening {}", service.addr());
        service.closed().await;
        Ok(ExitCode::SUCCESS)
    })
}
