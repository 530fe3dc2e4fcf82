//! Child processes.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// The kernel counts processor time in hundredths of a second.
const MS_PER_TICK: u64 = 10;

/// A process that ends when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
    log: PathBuf,
}

/// The directory of the programs that this build has made.
pub fn program_dir() -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let dir = own.parent().expect("a program stands in a directory");
    match dir.ends_with("deps") {
        true => dir.parent().expect("the directory of a test has a parent").to_owned(),
        false => dir.to_owned(),
    }
}

impl Process {
    /// Starts a program of this workspace. Its output goes to a file in `log_dir`.
    ///
    /// # Panics
    /// If it can't be started; `cargo build --workspace` builds it.
    pub fn start(program: &str, arguments: &[String], name: &str, log_dir: &Path) -> Self {
        let path = program_dir().join(program);
        let log = log_dir.join(format!("{name}.log"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the directory of logs is writable");
        let errors = output.try_clone().expect("a file can be opened twice");
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{} can't be started: {error}", path.display()));
        Self { child, name: name.to_owned(), log }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its memory in use, in kibibytes.
    pub fn read_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Processor time used so far, in milliseconds.
    pub fn read_cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.unwrap_or_default();
        // After the name in brackets: state, then user and system time as 12th and 13th.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| -> u64 {
            fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0)
        };
        (ticks(11) + ticks(12)) * MS_PER_TICK
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it has written so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until it has ended.
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

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}
