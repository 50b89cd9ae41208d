//! Signals that reach a program before it has done anything else.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longer than a start and a stop take on a busy machine.
const STOPPED_WITHIN: Duration = Duration::from_mins(1);
const LOOK_PAUSE: Duration = Duration::from_millis(10);

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

/// A named pipe in place of the settings file: the program waits in it until the test writes.
struct SettingsPipe {
    folder: PathBuf,
    path: PathBuf,
}

impl SettingsPipe {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("savory-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("settings.toml");
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("mkfifo starts").success());
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

fn stops_gracefully_when_told_at_its_start(program: &str, name: &str, settings: &str) {
    let pipe = SettingsPipe::new(name);
    let mut child = start(program, &pipe.path);
    // Opens once the program has opened the other end.
    let mut writer = File::create(&pipe.path).expect("the pipe opens");
    let id = Pid::from_raw(i32::try_from(child.id()).expect("an id"));
    kill(id, Signal::SIGTERM).expect("the program is there");
    // A program that the signal has ended reads no longer.
    let _ = writer.write_all(settings.as_bytes());
    drop(writer);
    let begun = Instant::now();
    let ended = loop {
        if let Some(ended) = child.try_wait().expect("the program's end") {
            break ended;
        }
        if begun.elapsed() > STOPPED_WITHIN {
            child.kill().expect("the program is there");
            panic!("{name} goes on after SIGTERM");
        }
        std::thread::sleep(LOOK_PAUSE);
    };
    assert!(ended.success(), "{name}: {ended}");
}

/// Guards against an end by SIGTERM itself, without a graceful stop, before a handler stands.
#[test]
fn a_host_told_to_stop_at_its_start_stops_gracefully() {
    let program = env!("CARGO_BIN_EXE_savory-host");
    stops_gracefully_when_told_at_its_start(program, "host", HOST_SETTINGS);
}

/// Guards against an end by SIGTERM itself, without a graceful stop, before a handler stands.
#[test]
fn an_entry_host_told_to_stop_at_its_start_stops_gracefully() {
    let program = env!("CARGO_BIN_EXE_savory-entry");
    stops_gracefully_when_told_at_its_start(program, "entry", ENTRY_SETTINGS);
}
