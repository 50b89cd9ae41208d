//! Streams in flight survive a pause of their entry host's process.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

const STREAMS: usize = 40;
const EVENTS: usize = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Longer than the time-out of an unresponsive backend server, shorter than that of a client.
const PAUSE_SPAN: Duration = Duration::from_millis(1300);
/// Time from the start of the streams to the pause.
const STREAMING_SPAN: Duration = Duration::from_millis(700);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that handles each connection on its own thread, with `respond` for each request,
/// and returns its address.
fn serve(
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

/// Reads the next request with its body and returns its text.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|text| text.parse().ok());
            if text.len() >= end + 4 + length.unwrap_or(0) {
                return Some(text);
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Starts a store whose content never changes.
fn start_store(backends: &[SocketAddr]) -> SocketAddr {
    let route = json!({
        "name": "talk", "host": "desk.example", "prefix": "/talk/", "kind": "streaming",
        "stream_resume": true, "service": "desk", "timeout_ms": 30_000, "target_latency_ms": 800,
        "gap_target_ms": 300, "priority": 1, "max_attempts": 3, "public": true,
    });
    let document = json!({ "version": 1, "routes": [route], "services": [{ "name": "desk" }] });
    let row = |key: &str, value: &Value| json!({ "key": key, "ver": 1, "value": BASE64.encode(value.to_string()) });
    let operator = vec![row("config", &document)];
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

/// Starts a backend server that responds with a stream of events, from the one after the last event
/// that the client has received. `arrivals` counts the requests.
fn start_backend(arrivals: Arc<AtomicUsize>) -> SocketAddr {
    serve(move |head, stream| {
        arrivals.fetch_add(1, Ordering::Relaxed);
        let attempt = header(head, "savoryswitch-attempt-id").unwrap_or_default();
        let last = header(head, "last-event-id").and_then(|text| text.parse().ok());
        let response_head = format!(
            "HTTP/1.1 200 OK\r\nsavoryswitch-attempt-id: {attempt}\r\n\
             savoryswitch-response-seal: seal\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(response_head.as_bytes()).ok()?;
        for id in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {id}\ndata: part {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n").ok()
    })
}

/// The process of an entry host, killed at the end of the test.
struct EntryProcess {
    child: Child,
    folder: PathBuf,
    caller_address: SocketAddr,
}

impl EntryProcess {
    fn start(store: SocketAddr) -> Self {
        let name = format!("savory-paused-entry-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("settings.toml");
        let settings = format!(
            "node_name = \"entry-1\"\nip = \"127.0.0.1\"\nzone = \"hall-a\"\nport_range = [0, 0]\n\
             [listen]\nfront = \"127.0.0.1:0\"\nready_addr = \"127.0.0.1:0\"\n\
             control = \"127.0.0.1:0\"\n[bounds]\nretry_budget_ratio = 0.2\n\
             retry_budget_extra = 100\n[platform]\naddress = \"{store}\"\n"
        );
        fs::write(&path, settings).expect("a temporary file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_savory-entry"))
            .arg("platform")
            .env("SAVORYSWITCH_CONFIG", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the entry host starts");
        let output = child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let caller_address =
            lines.find_map(|line| line.split_once("callers=")?.1.trim().parse().ok());
        // Reads the remaining output too, so that the pipe does not fill up.
        thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
        Self {
            child,
            folder,
            caller_address: caller_address.expect("it logs its address"),
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the entry host runs");
    }

    /// Sends a request and returns the response up to its end or to the end of the connection.
    fn request(&self, number: usize) -> String {
        let mut stream = TcpStream::connect(self.caller_address).expect("the entry host listens");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a time limit");
        let text = format!(
            "POST /talk/x HTTP/1.1\r\nhost: desk.example\r\nsavoryswitch-attempt-id: a{number}\r\n\
             savoryswitch-deadline-ms: 30000\r\ncontent-length: 4\r\n\r\nbody"
        );
        stream
            .write_all(text.as_bytes())
            .expect("the request is sent");
        let mut reply = String::new();
        let mut buffer = [0; 4096];
        while !reply.ends_with("\r\n0\r\n\r\n") && !reply.starts_with("HTTP/1.1 5") {
            match stream.read(&mut buffer) {
                Ok(read) if read > 0 => reply.push_str(&String::from_utf8_lossy(&buffer[..read])),
                _ => break,
            }
        }
        reply
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Clean-up is best effort.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Guards against streams that all count as unresponsive, and are cut or sent again, because the
/// process checks its timers before its sockets after a pause.
#[test]
fn streams_survive_a_pause_of_their_entry_host() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let backends = [(); 2].map(|()| start_backend(arrivals.clone()));
    let entry = EntryProcess::start(start_store(&backends));
    let started = Instant::now();
    while !entry.request(0).starts_with("HTTP/1.1 200") {
        assert!(
            started.elapsed() < READY_TIMEOUT,
            "the entry host does not serve"
        );
        thread::sleep(Duration::from_millis(50));
    }
    arrivals.store(0, Ordering::Relaxed);
    let responses: Vec<String> = thread::scope(|scope| {
        let entry = &entry;
        let requests = (1..=STREAMS).map(|number| scope.spawn(move || entry.request(number)));
        let requests: Vec<_> = requests.collect();
        thread::sleep(STREAMING_SPAN);
        entry.signal(Signal::SIGSTOP);
        thread::sleep(PAUSE_SPAN);
        entry.signal(Signal::SIGCONT);
        let responses = requests.into_iter().map(thread::ScopedJoinHandle::join);
        responses
            .map(|response| response.expect("the request ends"))
            .collect()
    });
    let last = format!("data: part {EVENTS}\n\n");
    let complete = responses.iter().filter(|response| response.contains(&last));
    assert_eq!(complete.count(), STREAMS, "all streams are complete");
    let arrived = arrivals.load(Ordering::Relaxed);
    assert_eq!(arrived, STREAMS, "no stream was sent again");
}
