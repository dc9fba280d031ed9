//! A process under test: its log, its signals and its exit status.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Number of log lines that a failed test prints.
const SHOWN_LOG_LINES: usize = 20;

/// Held while a process is started, until its program runs.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Starts a process.
pub(crate) fn start_process(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_process_starts();
    command.spawn()
}

/// Keeps processes from being started until the guard is dropped: they would hold copies of all open
/// sockets until their programs run.
pub(crate) fn lock_process_starts() -> MutexGuard<'static, ()> {
    START_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process under test, killed on drop. Its log file stays in the temporary directory.
pub(crate) struct TestProcess {
    child: Child,
    log_path: PathBuf,
}

impl TestProcess {
    /// Writes a settings file and starts a program with these arguments and the path of the file.
    pub(crate) fn start(program: &Path, arguments: &[&str], name: &str, settings: &Value) -> Self {
        let name = format!("mustardrail-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("the temporary directory is writable");
        let log_path = path.with_extension("log");
        let output = File::create(&log_path).expect("the temporary directory is writable");
        let errors = output.try_clone().expect("the log file handle can be cloned");
        let mut command = Command::new(program);
        command.args(arguments).arg(&path);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = start_process(&mut command).expect("the daemon program starts");
        Self { child, log_path }
    }

    /// Starts the process again with its settings file, after it has exited. Its log goes on.
    pub(crate) fn restart(&mut self, program: &Path, arguments: &[&str]) {
        let output = File::options().append(true).open(&self.log_path);
        let output = output.expect("the log file is writable");
        let errors = output.try_clone().expect("the log file handle can be cloned");
        let mut command = Command::new(program);
        command.args(arguments).arg(self.log_path.with_extension("json"));
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        self.child = start_process(&mut command).expect("the daemon program starts");
    }

    /// The settings file as it is now.
    pub(crate) fn read_settings(&self) -> Value {
        read_settings(&self.settings_path())
    }

    /// Path of the settings file.
    pub(crate) fn settings_path(&self) -> PathBuf {
        self.log_path.with_extension("json")
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn log_path(&self) -> &Path {
        &self.log_path
    }

    /// The content of the log file.
    pub(crate) fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log_path).expect("the log file is readable")
    }

    /// Returns the exit status and the last lines of the log, for the message of a failed test.
    pub(crate) fn describe(&mut self) -> String {
        let log = self.read_log();
        let lines: Vec<_> = log.lines().collect();
        let shown = lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n");
        let status = self.exit_status();
        format!("exit status {status:?}, log {}:\n{shown}", self.log_path.display())
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process IDs are positive");
        kill_process(pid, signal).expect("the daemon process accepts signals");
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        // Both calls fail if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status, or -1 if a signal ended the process; `None` while it runs.
    pub(crate) fn exit_status(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the status of a child process is available")?;
        Some(status.code().unwrap_or(-1))
    }
}

fn read_settings(path: &Path) -> Value {
    let text = std::fs::read_to_string(path).expect("the file is readable");
    serde_json::from_str(&text).expect("settings are JSON")
}

/// Replaces a field of a settings file.
pub fn change_setting(path: &Path, name: &str, value: Value) {
    let mut settings = read_settings(path);
    settings[name] = value;
    // A process must not read a part of the file.
    let new_path = path.with_extension("json.new");
    std::fs::write(&new_path, settings.to_string()).expect("the folder is writable");
    std::fs::rename(&new_path, path).expect("the folder is writable");
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
