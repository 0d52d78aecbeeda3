//! Runs the daemon, from reading the settings to its exit.

use std::path::Path;

use log::info;
use tokio::runtime::Builder;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::daemon::DaemonError;
use crate::daemon::host::Host;
use crate::observe::logs;
use crate::settings::Settings;

/// Runs a daemon until it has drained after SIGTERM or SIGINT, or until a second such signal, and
/// returns the exit code.
pub fn run(settings_path: &Path) -> Result<i32, DaemonError> {
    let settings = Settings::read(settings_path)?;
    logs::init(&settings.logs)?;
    let mut runtime = Builder::new_multi_thread();
    if settings.threads > 0 {
        runtime.worker_threads(settings.threads);
    }
    let runtime = runtime.enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<i32, DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let host = Host::start(settings).await?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    info!("daemon: draining; a second signal exits immediately");
    let code = tokio::select! {
        code = host.drain.run(&host) => code,
        () = wait_for_signal(&mut terminate, &mut interrupt) => host.drain.abort(&host),
    };
    info!("daemon: exiting with code {code}");
    Ok(code)
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
