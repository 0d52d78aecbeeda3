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

A plain service: echoes each call's body after the latency, which grows when more calls than
slots are at work. GET /record tells every call that ever ran, PUT /faults sets faults:
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
