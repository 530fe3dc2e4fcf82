//! Child processes.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// The kernel reports CPU time in ticks of one hundredth of a second.
const MS_PER_TICK: u64 = 10;

/// A child process that is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
    log_path: PathBuf,
}

/// Returns the directory of the executables of the current build profile.
pub fn binary_dir() -> PathBuf {
    let own = std::env::current_exe().expect("cannot determine the path of the current executable");
    let dir = own.parent().expect("the path of the current executable has no parent directory");
    match dir.ends_with("deps") {
        true => dir
            .parent()
            .expect("the directory of the test executable has no parent directory")
            .to_owned(),
        false => dir.to_owned(),
    }
}

impl Process {
    /// Starts an executable of this workspace. Its standard output and error are appended to
    /// `{name}.log` in `log_dir`.
    ///
    /// # Panics
    /// If it cannot be started, for example because it was not built with
    /// `cargo build --workspace`.
    pub fn start(program: &str, arguments: &[String], name: &str, log_dir: &Path) -> Self {
        let path = binary_dir().join(program);
        let log_path = log_dir.join(format!("{name}.log"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .expect("cannot open the log file of the child process");
        let errors = output.try_clone().expect("cannot duplicate the handle of the log file");
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", path.display()));
        Self { child, name: name.to_owned(), log_path }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident set size in kibibytes; 0 if it cannot be read.
    pub fn read_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Returns the user and system CPU time used so far, in milliseconds; 0 if it cannot be read.
    pub fn read_cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.unwrap_or_default();
        // The fields after the name in brackets begin with the state; the 12th and 13th are the
        // user and system time.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| -> u64 {
            fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0)
        };
        (ticks(11) + ticks(12)) * MS_PER_TICK
    }

    /// Returns the name that was given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its standard output and error so far; empty if the log cannot be read.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    pub fn send_sigterm(&self) {
        self.send_signal(Signal::TERM);
    }

    /// Sends SIGINT, which requests a graceful shutdown too.
    pub fn send_sigint(&self) {
        self.send_signal(Signal::INT);
    }

    /// Sends SIGHUP.
    pub fn send_sighup(&self) {
        self.send_signal(Signal::HUP);
    }

    /// Sends SIGSTOP, which suspends the process.
    pub fn suspend(&self) {
        self.send_signal(Signal::STOP);
    }

    /// Sends SIGCONT, which resumes a suspended process.
    pub fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Waits for the process to exit and returns its status; `None` if it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
