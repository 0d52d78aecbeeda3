//! A host's process: started, stopped, paused and killed from outside.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use banyanarch_platform::stand_in::NodeConf;
use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// A host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) plan: NodeConf,
    program: PathBuf,
    dir: PathBuf,
    process: Option<Child>,
    /// How often it was started.
    pub(crate) life: u32,
}

impl Host {
    pub(crate) fn new(plan: NodeConf, program: &Path, dir: &Path) -> Self {
        Self {
            plan,
            program: program.to_owned(),
            dir: dir.to_owned(),
            process: None,
            life: 0,
        }
    }

    /// Starts it. Its logs go to files, one a life.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        self.life += 1;
        let file = |what: &str| {
            self.dir
                .join(format!("{}.{}.{what}", self.plan.name, self.life))
        };
        std::fs::write(file("yaml"), self.plan.settings_text())?;
        let process = Command::new(&self.program)
            .arg("--settings")
            .arg(file("yaml"))
            .stdin(Stdio::null())
            .stdout(File::create(file("log"))?)
            .stderr(File::create(file("err"))?)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Sends a signal to the process that this started, if it still runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(process) = &self.process
            && let Ok(pid) = i32::try_from(process.id())
        {
            let _ = signal::kill(Pid::from_raw(pid), signal);
        }
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// How it ended by itself, if it has and nobody asked it to.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let process = self.process.as_mut()?;
        process.try_wait().ok().flatten()?.code()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
