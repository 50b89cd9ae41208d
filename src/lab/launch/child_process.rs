//! One process that the lab started: told to stop, killed, frozen, and never left behind.

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

/// How long a process may take until it listens.
const LISTENS_WITHIN: Duration = Duration::from_secs(15);
const LOG_LINES_KEPT: usize = 4000;

/// What is to be started.
#[derive(Clone, Debug)]
pub(crate) struct LaunchSpec {
    /// Its name, for messages.
    pub(crate) name: String,
    /// The program, found beside the running one.
    pub(crate) program: &'static str,
    arguments: Vec<String>,
    variables: Vec<(&'static str, String)>,
}

impl LaunchSpec {
    /// Starts `program` under `name`.
    pub(crate) fn new(program: &'static str, name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            program,
            arguments: Vec::new(),
            variables: Vec::new(),
        }
    }

    /// Adds a plain argument.
    pub(crate) fn argument(mut self, text: impl Into<String>) -> Self {
        self.arguments.push(text.into());
        self
    }

    /// Sets a variable of its environment.
    pub(crate) fn variable(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.variables.push((name, value.into()));
        self
    }

    /// Adds the setting `--flag value`.
    pub(crate) fn setting(self, flag: &str, value: impl Display) -> Self {
        self.argument(format!("--{flag}"))
            .argument(value.to_string())
    }
}

/// A process that the lab started. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    name: String,
    child: Child,
    listening: Vec<(String, SocketAddr)>,
    log: LogTail,
}

impl ChildProcess {
    /// Starts what `order` says and waits until it listens.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` with the process's own words when it cannot be started or ends before it
    /// listens.
    pub(crate) async fn start(order: &LaunchSpec) -> SwitchResult<Self> {
        let (mut child, log) = spawn(order)?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| failed("a process has no output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let listening = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(rest) = line.strip_prefix("listening ") {
                    return Some(read_addresses(rest));
                }
            }
            None
        };
        let Ok(Some(listening)) = timeout(LISTENS_WITHIN, listening).await else {
            let words = log.last_lines(20);
            return Err(failed(&format!("{} does not listen:\n{words}", order.name)));
        };
        // The pipe stays open for as long as the process lives, so that it can go on printing.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self {
            name: order.name.clone(),
            child,
            listening,
            log,
        })
    }

    /// Starts what `order` says, a program that does not tell where it listens; what it prints is its
    /// log.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when it cannot be started.
    pub(crate) fn start_without_addresses(order: &LaunchSpec) -> SwitchResult<Self> {
        let (mut child, log) = spawn(order)?;
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(log.clone().follow(stdout));
        }
        Ok(Self {
            name: order.name.clone(),
            child,
            listening: Vec::new(),
            log,
        })
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Its process id, while it lives.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Where it listens for `purpose`, such as `peer`; empty for stand-ins.
    ///
    /// # Errors
    ///
    /// `Internal` when it did not say so.
    pub(crate) fn address(&self, purpose: &str) -> SwitchResult<SocketAddr> {
        let mut found = self.listening.iter().filter(|(known, _)| known == purpose);
        found
            .next()
            .map(|(_, address)| *address)
            .ok_or_else(|| failed(&format!("{} named no {purpose} address", self.name)))
    }

    /// Its log so far, the newest lines.
    pub(crate) fn log_text(&self) -> String {
        self.log.last_lines(LOG_LINES_KEPT)
    }

    /// Kills it at once and waits for its end.
    pub(crate) async fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill().await;
    }

    /// Stops it in its tracks (SIGSTOP); its connections stay open.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on (SIGCONT).
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it for a graceful stop (SIGTERM).
    pub(crate) fn request_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells it that its settings file has changed (SIGHUP).
    pub(crate) fn request_reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Whether it has ended, and well.
    pub(crate) fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// Waits for its end; `None` when it goes on for longer than `within`, else whether it ended
    /// well.
    pub(crate) async fn wait(&mut self, within: Duration) -> Option<bool> {
        let status = timeout(within, self.child.wait()).await.ok()?.ok()?;
        Some(status.success())
    }

    fn signal(&self, signal: Signal) {
        // The id is only there while the process has not been waited for, so that no other
        // process can have taken it over.
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

fn spawn(order: &LaunchSpec) -> SwitchResult<(Child, LogTail)> {
    let mut child = Command::new(program_path(order.program)?)
        .arg0(order.program)
        .args(&order.arguments)
        .envs(order.variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|fault| failed(&format!("{}: {fault}", order.program)))?;
    let log = LogTail::default();
    if let Some(stderr) = child.stderr.take() {
        tokio::spawn(log.clone().follow(stderr));
    }
    Ok((child, log))
}

/// The newest lines of a process's log.
#[derive(Clone, Debug, Default)]
struct LogTail {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl LogTail {
    async fn follow(self, stderr: impl AsyncRead + Unpin) {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let mut kept = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            if kept.len() == LOG_LINES_KEPT {
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

/// Where `program` is: beside the running one, or beside its folder when that is a test.
fn program_path(program: &str) -> SwitchResult<PathBuf> {
    let running = std::env::current_exe().map_err(|fault| failed(&fault.to_string()))?;
    let folders = running.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.is_file());
    // Built alone, this program is all there is; it takes the daemon's part under that name.
    Ok(found.unwrap_or(running.clone()))
}

/// The addresses in `caller=IP:PORT peer=IP:PORT`, or in `IP:PORT` alone.
fn read_addresses(text: &str) -> Vec<(String, SocketAddr)> {
    let words = text.split_whitespace();
    let pairs = words.map(|word| word.split_once('=').unwrap_or(("", word)));
    pairs
        .filter_map(|(purpose, address)| Some((purpose.to_owned(), address.parse().ok()?)))
        .collect()
}
