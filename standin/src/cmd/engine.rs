//! The `engine` subcommand.

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::cmd;
use crate::cmd::CommandResult;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::machine::Machine;

/// Usage text.
pub const USAGE: &str = "\
standin engine [--listen ADDR] [--memory-tokens N] [--slots N] [--queue-max N]
               [--prefill-speed TOKENS_A_SECOND] [--prefill-chunk TOKENS]
               [--step-base-us N] [--step-per-attempt-us N]
               [--report-lag-ms N] [--cache-event-lag-ms N] [--cache-event-gap ONE_IN]
               [--load-ms N] [--model NAME] [--version V] [--checks-fencing] [--record FILE]
               [--machine NAME --domain D --target T --platform ADDR]

A fake model engine. GET /record lists every attempt that ran, GET /orders the orders that were
applied, PUT /faults replaces the faults:
  die, freeze, slow_factor, cross_answers, delay_answers_ms, cut_one_in, short_one_in,
  fail_one_in, lose_memory_count, leak_one_in, report_factor, crash_marker
";

struct Args {
    options: EngineOptions,
    machine: Option<Machine>,
}

impl Args {
    fn parse(mut args: Arguments) -> Result<Self, Box<dyn Error>> {
        let options = EngineOptions::from_args(&mut args)?;
        let machine = Machine::from_args(&mut args)?;
        cmd::reject_unknown(args)?;
        Ok(Self { options, machine })
    }
}

/// Runs the engine until its process exits or a fault stops it.
pub fn run(args: Arguments) -> CommandResult {
    let args = Args::parse(args)?;
    cmd::block_on(cmd::FAKE_THREADS, async move {
        let engine = Engine::start(args.options).await?;
        if let Some(machine) = args.machine {
            machine.register(engine.addr()).await?;
        }
        println!("listening {}", engine.addr());
        engine.stopped().await;
        Ok(ExitCode::SUCCESS)
    })
}
