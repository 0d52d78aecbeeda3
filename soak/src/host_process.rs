//! The process of a host, which is started, stopped, paused and killed from outside.

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

/// A host that can be started several times, each time in a new process. Before the first start
/// there is no process. Dropping the value kills the process.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) conf: NodeConf,
    /// The daemon program.
    program: PathBuf,
    /// The directory for the settings and the logs.
    dir: PathBuf,
    /// The process that was started last; none before the first start.
    process: Option<Child>,
    /// How often the process was started. The number is part of the names of its files.
    pub(crate) incarnation: u32,
}

impl HostProcess {
    pub(crate) fn new(conf: NodeConf, program: &Path, dir: &Path) -> Self {
        Self {
            conf,
            program: program.to_owned(),
            dir: dir.to_owned(),
            process: None,
            incarnation: 0,
        }
    }

    /// Starts the process. Each incarnation writes its settings and logs to files of its own.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        self.incarnation += 1;
        let file = |extension: &str| {
            self.dir.join(format!(
                "{}.{}.{extension}",
                self.conf.name, self.incarnation
            ))
        };
        std::fs::write(file("yaml"), self.conf.settings_text())?;
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

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(process) = &self.process
            && let Ok(pid) = i32::try_from(process.id())
        {
            let _ = signal::kill(Pid::from_raw(pid), signal);
        }
    }

    /// The id of the process; none before the first start.
    pub(crate) fn id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Returns the exit code of the process; none if it is running or was killed by a signal.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let process = self.process.as_mut()?;
        process.try_wait().ok().flatten()?.code()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
