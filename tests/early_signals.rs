//! Stop signals that reach a program while it reads its settings still stop it gracefully.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longer than a start and a stop take on a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

const HOST_SETTINGS: &str = r#"
node_name = "host-1"
ip = "127.0.0.1"
zone = "lima-hall-a"
port_range = [0, 0]
app = "127.0.0.1:1"
service = "sky-writer"
[platform]
address = "127.0.0.1:1"
"#;

const ENTRY_SETTINGS: &str = r#"
node_name = "entry-1"
ip = "127.0.0.1"
zone = "lima-hall-a"
port_range = [0, 0]
[listen]
front = "127.0.0.1:0"
ready_addr = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace_s = 2
[platform]
address = "127.0.0.1:1"
"#;

/// A named pipe in place of the settings file: the program blocks on reading it until the test
/// writes.
struct SettingsPipe {
    folder: PathBuf,
    path: PathBuf,
}

impl SettingsPipe {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("savory-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("settings.toml");
        let status = Command::new("mkfifo").arg(&path).status();
        assert!(status.expect("mkfifo starts").success());
        Self { folder, path }
    }
}

impl Drop for SettingsPipe {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn start(program: &str, settings: &Path) -> Child {
    Command::new(program)
        .arg("platform")
        .env("SAVORYSWITCH_CONFIG", settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

fn assert_graceful_stop_during_start(program: &str, name: &str, settings: &str) {
    let pipe = SettingsPipe::new(name);
    let mut child = start(program, &pipe.path);
    // Blocks until the program has opened the pipe for reading.
    let mut writer = File::create(&pipe.path).expect("the pipe opens");
    let id = Pid::from_raw(i32::try_from(child.id()).expect("a process id"));
    kill(id, Signal::SIGTERM).expect("the program is running");
    // The write fails if the signal has killed the program; the exit status is checked below.
    let _ = writer.write_all(settings.as_bytes());
    drop(writer);
    let started = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().expect("the program's status") {
            break status;
        }
        if started.elapsed() > STOP_TIMEOUT {
            child.kill().expect("the program is running");
            panic!("{name} still runs after SIGTERM");
        }
        std::thread::sleep(CHECK_INTERVAL);
    };
    assert!(status.success(), "{name}: {status}");
}

/// Guards against a process that is killed by SIGTERM, without a graceful stop, because no handler
/// is installed yet.
#[test]
fn a_host_stopped_during_its_start_stops_gracefully() {
    let program = env!("CARGO_BIN_EXE_savory-host");
    assert_graceful_stop_during_start(program, "host", HOST_SETTINGS);
}

/// Guards against a process that is killed by SIGTERM, without a graceful stop, because no handler
/// is installed yet.
#[test]
fn an_entry_host_stopped_during_its_start_stops_gracefully() {
    let program = env!("CARGO_BIN_EXE_savory-entry");
    assert_graceful_stop_during_start(program, "entry", ENTRY_SETTINGS);
}
