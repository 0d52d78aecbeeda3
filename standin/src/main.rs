//! Small fakes of what stands around banyanarch, and a load tool.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;
use standin::engine;
use standin::engine::Engine;
use standin::engine::EngineOptions;
use standin::machine::Machine;
use standin::platform;
use standin::platform::PlatformFake;
use standin::service;
use standin::service::Service;
use standin::service::ServiceOptions;

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let command = args.subcommand();
    let done = match command.as_ref().map(|name| name.as_deref()) {
        Ok(Some("platform")) => serve(run_platform(args)),
        Ok(Some("engine")) => serve(run_engine(args)),
        Ok(Some("service")) => serve(run_service(args)),
        _ => {
            eprint!("{}\n{}\n{}", platform::USAGE, engine::USAGE, service::USAGE);
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

type Done = Result<(), Box<dyn Error>>;

fn serve(server: impl Future<Output = Done>) -> Done {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(server)
}

async fn run_platform(mut args: Arguments) -> Done {
    let listen = args.opt_value_from_str("--listen")?;
    finish(args)?;
    let listen = listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let platform = PlatformFake::start(listen).await?;
    println!("listening {}", platform.addr());
    platform.closed().await;
    Ok(())
}

async fn run_engine(mut args: Arguments) -> Done {
    let options = EngineOptions::from_args(&mut args)?;
    let machine = Machine::from_args(&mut args)?;
    finish(args)?;
    let engine = Engine::start(options).await?;
    if let Some(machine) = machine {
        machine.register(engine.addr()).await?;
    }
    println!("listening {}", engine.addr());
    engine.died().await;
    Ok(())
}

async fn run_service(mut args: Arguments) -> Done {
    let options = ServiceOptions::from_args(&mut args)?;
    let machine = Machine::from_args(&mut args)?;
    finish(args)?;
    let service = Service::start(options).await?;
    if let Some(machine) = machine {
        machine.register(service.addr()).await?;
    }
    println!("listening {}", service.addr());
    service.closed().await;
    Ok(())
}

fn finish(args: Arguments) -> Done {
    match args.finish().as_slice() {
        [] => Ok(()),
        rest => Err(format!("unknown arguments: {rest:?}").into()),
    }
}
