//! Stand-ins and processes for tests that start the system's own programs on loopback addresses.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than a process takes to listen on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a server that handles each connection on its own thread, with `respond` for each request,
/// and returns its address.
pub(crate) fn serve(
    respond: impl Fn(&str, &mut TcpStream) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || {
                while let Some(head) = read_request(&mut stream) {
                    respond(&head, &mut stream)?;
                }
                Some(())
            });
        }
    });
    address
}

/// Reads the next request with its body and returns the text of its head, and of the first part of
/// its body.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|text| text.parse().ok());
            let rest = (end + 4 + length.unwrap_or(0)).saturating_sub(text.len());
            discard(stream, rest)?;
            return Some(text);
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
}

/// Reads `rest` bytes; the bodies of the tests are ASCII, so a byte is a character.
fn discard(stream: &mut TcpStream, mut rest: usize) -> Option<()> {
    let mut buffer = [0; 16 * 1024];
    while rest > 0 {
        let part = rest.min(buffer.len());
        let read = stream.read(&mut buffer[..part]).ok();
        rest -= read.filter(|read| *read > 0)?;
    }
    Some(())
}

/// Returns the value of a field of a request's head.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Starts a store whose content never changes: the operator's `document` and an entry for each
/// backend server of the service `desk`.
pub(crate) fn start_store(document: &Value, backends: &[SocketAddr]) -> SocketAddr {
    let row = |key: &str, value: &Value| json!({ "key": key, "ver": 1, "value": BASE64.encode(value.to_string()) });
    let operator = vec![row("config", document)];
    let servers = backends.iter().enumerate().map(|(index, address)| {
        let facts = json!({
            "service": "desk", "address": address.to_string(), "zone": "hall-a", "slots": 64,
            "state": "ready", "sequence": 1, "born": 1,
        });
        row(&format!("i-{index}"), &facts)
    });
    let servers: Vec<Value> = servers.collect();
    let started = Instant::now();
    serve(move |head, stream| {
        let rows = if head.contains("/v1/rows-feed") {
            thread::sleep(Duration::from_millis(500));
            &[][..]
        } else if head.contains("table=op&") {
            &operator
        } else if head.contains("table=servers&") {
            &servers
        } else {
            &[][..]
        };
        let now = u64::try_from(started.elapsed().as_millis()).unwrap_or(0) + 1_000;
        let body = json!({ "rows": rows, "truncated": false, "ver": 1, "now_ms": now }).to_string();
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).ok()
    })
}

/// Returns the route of the service `desk` for `prefix`, with `kind`.
pub(crate) fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
        "stream_resume": kind == "streaming", "service": "desk", "timeout_ms": 30_000,
        "target_latency_ms": 800, "gap_target_ms": 300, "priority": 1, "max_attempts": 3,
        "public": true,
    })
}

/// A daemon of the system on a loopback address of its own, killed at the end of the test.
pub(crate) struct DaemonProcess {
    child: Child,
    folder: PathBuf,
    pub(crate) ip: Ipv4Addr,
}

impl DaemonProcess {
    /// Starts `program` with the part of the settings file behind the names, `tables`; `{ip}` stands
    /// for its address. Returns once it has logged that it listens.
    pub(crate) fn start(program: &str, tables: &str, store: SocketAddr) -> Self {
        static STARTED: AtomicU8 = AtomicU8::new(1);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        // The process id keeps apart test programs that run at the same time.
        let ip = Ipv4Addr::new(127, high | 0x80, low, number);
        let folder = std::env::temp_dir().join(format!("savory-test-{ip}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("settings.toml");
        let settings = format!(
            "node_name = \"host-{number}\"\nip = \"{ip}\"\nzone = \"hall-a\"\n\
             port_range = [7700, 7715]\n{}\n[platform]\naddress = \"{store}\"\n",
            tables.replace("{ip}", &ip.to_string())
        );
        fs::write(&path, settings).expect("a temporary file");
        let mut child = Command::new(program)
            .args(["platform", "--metrics-port", "9464"])
            .env("SAVORYSWITCH_CONFIG", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let output = child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let is_listening = lines.any(|line| line.contains("] listening: "));
        // Reads the remaining output too, so that the pipe does not fill up.
        thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
        assert!(is_listening, "the daemon logs that it listens");
        Self { child, folder, ip }
    }

    /// Starts an entry host with `tables` behind those that each entry host needs. It listens for
    /// clients at port 8005, for the readiness probe at 8002 and for other processes at 8000.
    pub(crate) fn start_entry(tables: &str, store: SocketAddr) -> Self {
        let listen = "[listen]\nfront = \"{ip}:8005\"\nready_addr = \"{ip}:8002\"\n\
                      control = \"{ip}:8000\"\n\
                      [bounds]\nretry_budget_ratio = 0.2\nretry_budget_extra = 100\n";
        let program = env!("CARGO_BIN_EXE_savory-entry");
        Self::start(program, &format!("{listen}{tables}"), store)
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the daemon runs");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Clean-up is best effort.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Opens a connection with a time limit for reads and writes.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let started = Instant::now();
    let stream = loop {
        match TcpStream::connect(address) {
            Ok(stream) => break stream,
            Err(fault) => assert!(started.elapsed() < START_TIMEOUT, "{address}: {fault}"),
        }
        thread::sleep(POLL_INTERVAL);
    };
    let set = [
        stream.set_read_timeout(Some(READ_TIMEOUT)),
        stream.set_write_timeout(Some(READ_TIMEOUT)),
        stream.set_nodelay(true),
    ];
    assert!(set.iter().all(Result::is_ok), "the options of a socket");
    stream
}
