//! A process that the lab started. It can be stopped, killed and frozen, and it is killed when its
//! handle is dropped, so that none outlives the lab.

use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Time limit for a started process to print its `listening` line.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
const LOG_LINES_KEPT_MAX: usize = 4000;

/// A process to start: program, arguments and environment.
#[derive(Clone, Debug)]
pub(crate) struct LaunchSpec {
    /// Name of the process in messages.
    pub(crate) name: String,
    /// File name of the program, which is searched for next to the running one.
    pub(crate) program: &'static str,
    arguments: Vec<String>,
    variables: Vec<(&'static str, String)>,
}

impl LaunchSpec {
    /// Creates a spec of `program` without arguments. `name` is its name in messages.
    pub(crate) fn new(program: &'static str, name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            program,
            arguments: Vec::new(),
            variables: Vec::new(),
        }
    }

    /// Adds one argument.
    pub(crate) fn argument(mut self, text: impl Into<String>) -> Self {
        self.arguments.push(text.into());
        self
    }

    /// Sets an environment variable.
    pub(crate) fn variable(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.variables.push((name, value.into()));
        self
    }

    /// Adds the arguments `--flag value`.
    pub(crate) fn setting(self, flag: &str, value: impl Display) -> Self {
        self.argument(format!("--{flag}"))
            .argument(value.to_string())
    }
}

/// A process that the lab started. It is killed on drop.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    name: String,
    child: Child,
    listening: Vec<(String, SocketAddr)>,
    log: LogTail,
}

impl ChildProcess {
    /// Starts the process and waits until it prints the addresses on which it listens.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if the process cannot be started, or if it ends or exceeds the time limit
    /// before it listens; in the latter cases with the end of its log.
    pub(crate) async fn start(spec: &LaunchSpec) -> SwitchResult<Self> {
        let (mut child, log) = spawn(spec)?;
        let stdout = child.stdout.take();
        let stdout =
            stdout.ok_or_else(|| failed("the standard output of the process is not piped"))?;
        let mut lines = BufReader::new(stdout).lines();
        let listening = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(rest) = line.strip_prefix("listening ") {
                    return Some(read_addresses(rest));
                }
            }
            None
        };
        let Ok(Some(listening)) = timeout(STARTUP_TIMEOUT, listening).await else {
            let log_end = log.last_lines(20);
            return Err(failed(&format!(
                "{} did not report its addresses:\n{log_end}",
                spec.name
            )));
        };
        // Keeps reading the pipe, so that the process can print as long as it runs.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self {
            name: spec.name.clone(),
            child,
            listening,
            log,
        })
    }

    /// Starts a process that prints no `listening` line. Its standard output goes to its log.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if it cannot be started.
    pub(crate) fn start_without_addresses(spec: &LaunchSpec) -> SwitchResult<Self> {
        let (mut child, log) = spawn(spec)?;
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(log.clone().follow(stdout));
        }
        Ok(Self {
            name: spec.name.clone(),
            child,
            listening: Vec::new(),
            log,
        })
    }

    /// Returns the name from its spec.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id, or `None` once it has been waited for.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the address on which it listens for `purpose`, such as `peer`. The address of a
    /// stand-in has the empty purpose.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if it did not print such an address.
    pub(crate) fn address(&self, purpose: &str) -> SwitchResult<SocketAddr> {
        let mut matching = self.listening.iter().filter(|(key, _)| key == purpose);
        matching.next().map(|(_, address)| *address).ok_or_else(|| {
            failed(&format!(
                "{} reported no address for {purpose:?}",
                self.name
            ))
        })
    }

    /// Returns the newest lines of its log.
    pub(crate) fn log_text(&self) -> String {
        self.log.last_lines(LOG_LINES_KEPT_MAX)
    }

    /// Kills it and waits for its end.
    pub(crate) async fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill().await;
    }

    /// Suspends it (SIGSTOP). Its connections stay open.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes it after [`Self::freeze`] (SIGCONT).
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop (SIGTERM).
    pub(crate) fn request_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Requests that it reloads its settings file (SIGHUP).
    pub(crate) fn request_reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether it ended successfully, or `None` while it runs.
    pub(crate) fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// Waits for its end, and returns whether it was successful; `None` if it still runs after
    /// `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let status = timeout(limit, self.child.wait()).await.ok()?.ok()?;
        Some(status.success())
    }

    fn signal(&self, signal: Signal) {
        // The id is only available until the process has been waited for, and cannot be reused
        // for another process before that.
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

fn spawn(spec: &LaunchSpec) -> SwitchResult<(Child, LogTail)> {
    let mut child = Command::new(program_path(spec.program)?)
        .arg0(spec.program)
        .args(&spec.arguments)
        .envs(spec.variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|fault| failed(&format!("{}: {fault}", spec.program)))?;
    let log = LogTail::default();
    if let Some(stderr) = child.stderr.take() {
        tokio::spawn(log.clone().follow(stderr));
    }
    Ok((child, log))
}

/// The newest lines of a process's log. Clones share them.
#[derive(Clone, Debug, Default)]
struct LogTail {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl LogTail {
    /// Appends the lines of `output` until it ends.
    async fn follow(self, output: impl AsyncRead + Unpin) {
        let mut lines = BufReader::new(output).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let mut kept = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            if kept.len() == LOG_LINES_KEPT_MAX {
                kept.pop_front();
            }
            kept.push_back(line);
        }
    }

    fn last_lines(&self, count: usize) -> String {
        let kept = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let first = kept.len().saturating_sub(count);
        let lines: Vec<&str> = kept.iter().skip(first).map(String::as_str).collect();
        lines.join("\n")
    }
}

fn failed(text: &str) -> SwitchError {
    SwitchError::new(ErrorKind::SettingInvalid, text)
}

/// Returns the path of `program`: in the folder of the running program, or in its parent folder,
/// since Cargo builds tests one level deeper. Falls back to the running program itself.
fn program_path(program: &str) -> SwitchResult<PathBuf> {
    let running = std::env::current_exe().map_err(|fault| failed(&fault.to_string()))?;
    let folders = running.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.is_file());
    // If only this program was built, it is started under the daemon's name and acts as it.
    Ok(found.unwrap_or(running.clone()))
}

/// Parses `caller=IP:PORT peer=IP:PORT`, or a single `IP:PORT`, which gets the empty purpose.
fn read_addresses(text: &str) -> Vec<(String, SocketAddr)> {
    let fields = text.split_whitespace();
    let pairs = fields.map(|field| field.split_once('=').unwrap_or(("", field)));
    pairs
        .filter_map(|(purpose, address)| Some((purpose.to_owned(), address.parse().ok()?)))
        .collect()
}
