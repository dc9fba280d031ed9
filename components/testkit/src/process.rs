//! A process under test: its log, its signals and its end.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Lines of a log that a failed test prints.
const SHOWN_LOG_LINES: usize = 20;

/// A process under test; it is killed when dropped. Its log stays in the temporary folder.
pub(crate) struct TestProcess {
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts a program with arguments and a settings file, which is written first.
    pub(crate) fn start(program: &Path, arguments: &[&str], name: &str, settings: &Value) -> Self {
        let name = format!("mustardrail-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
        let log = path.with_extension("log");
        let output = File::create(&log).expect("the temporary folder can be written");
        let errors = output.try_clone().expect("the log can be opened twice");
        let child = Command::new(program)
            .args(arguments)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the daemon can be started");
        Self { child, log }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn log_path(&self) -> &Path {
        &self.log
    }

    /// What it has logged so far.
    pub(crate) fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log can be read")
    }

    /// The end of its log and how it ended, for the message of a failed test.
    pub(crate) fn describe(&mut self) -> String {
        let log = self.read_log();
        let lines: Vec<_> = log.lines().collect();
        let shown = lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n");
        let status = self.exit_status();
        format!("exit status {status:?}, log {}:\n{shown}", self.log.display())
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process ids are positive");
        kill_process(pid, signal).expect("the daemon can be signalled");
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended, and how; -1 stands for a signal.
    pub(crate) fn exit_status(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the daemon can be waited for")?;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
