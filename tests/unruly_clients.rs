//! The daemons stay within the memory and the descriptors of their hosts whatever clients send, and
//! answer ordinary requests beside them.

mod support;

use std::fs;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use support::{DaemonProcess, connect, header, route, serve, start_store};

/// Limits of the hosts in these tests.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 300;
const MEGABYTE: u64 = 1_000_000;

/// Limits of clients, as the platform's sample document has them.
const HEADER_BYTES_MAX: usize = 16 * 1024;
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;
const IDLE_TIMEOUT_MS: u64 = 15_000;

const CLIENTS: usize = 200;
const LARGE_CLIENTS: usize = 40;
const SMALL_CHUNK_CLIENTS: usize = 24;
const BYTEWISE_CLIENTS: usize = 24;
const IDLE_CLIENTS: usize = 450;
const SHORT_BODY_CLIENTS: usize = 230;
const SHORT_BODY_TRIES: usize = 4;
const REFUSAL_SPAN: Duration = Duration::from_millis(1500);
/// Longer than an ordinary client waits for its answer.
const LONG_TIMEOUT_MS: u64 = 300_000;

const HEAD_BYTES: usize = 400_000;
const ENDLESS_BYTES: usize = 4_000_000;
const PIECE_BYTES: usize = 16 * 1024;
const LARGE_CHUNK_BYTES: usize = 64 * 1024;
const SMALL_CHUNKS: usize = 200_000;
const BYTEWISE_BYTES: usize = 2_000;
const BYTEWISE_PAUSE: Duration = Duration::from_millis(1);
/// One client in this many sends its message to the end.
const WHOLE_EVERY: usize = 8;

/// How long backend servers take.
const BACKEND_SPAN: Duration = Duration::from_millis(500);
/// How long an ordinary client goes on until it gets an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// A daemon that reads no more uses at most this many hundredths of a second in an interval.
const IDLE_TICKS: u64 = 3;
const QUEUE_INTERVAL: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_mins(1);

const CLIENT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const CONTROL_PORT: u16 = 8000;
const PEER_PORT: u16 = 7700;
const METRICS_PORT: u16 = 9464;

const ORDINARY_REQUEST: &str = "POST /post/x HTTP/1.1\r\nhost: desk.example\r\n\
     savoryswitch-attempt-id: ordinary\r\nsavoryswitch-deadline-ms: 20000\r\n\
     content-length: 4\r\n\r\nbody";

/// What each client of a crowd sends before it stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrowdForm {
    /// The head of a request with one field over the limit, without its end.
    LargeHead,
    /// A header field until the connection breaks.
    EndlessField,
    /// Header fields until the connection breaks.
    EndlessHead,
    /// Empty lines before a request, until the connection breaks.
    EmptyLines,
    /// A body of the largest size; most clients stop short of its last byte.
    LargeBody,
    /// The same, in pieces.
    BodyInPieces,
    /// Single bytes with pauses.
    BodyInBytes,
    /// A chunked body of the largest size in large chunks; most clients stop short of its end.
    LargeChunks,
    /// A chunked body in chunks of one byte; most clients stop short of its end.
    SmallChunks,
    /// A short body that stops short of its end.
    ShortBody,
    /// One request, then nothing.
    Idle,
}

impl CrowdForm {
    const fn clients(self) -> usize {
        match self {
            Self::LargeHead | Self::EndlessField | Self::EndlessHead | Self::EmptyLines => CLIENTS,
            Self::LargeBody | Self::BodyInPieces | Self::LargeChunks => LARGE_CLIENTS,
            Self::BodyInBytes => BYTEWISE_CLIENTS,
            Self::SmallChunks => SMALL_CHUNK_CLIENTS,
            Self::ShortBody => SHORT_BODY_CLIENTS,
            Self::Idle => IDLE_CLIENTS,
        }
    }

    fn send(self, target: &CrowdTarget, is_whole: bool, stream: &mut TcpStream) -> Result<()> {
        let path = target.path;
        let start = format!("POST {path} HTTP/1.1\r\nhost: desk.example\r\n");
        let deadline = target.deadline_ms;
        let head = format!(
            "{start}savoryswitch-attempt-id: a\r\nsavoryswitch-deadline-ms: {deadline}\r\n"
        );
        let missing = usize::from(!is_whole);
        match self {
            Self::LargeHead | Self::EndlessField => {
                let is_endless = self == Self::EndlessField;
                let bytes = if is_endless {
                    ENDLESS_BYTES
                } else {
                    HEAD_BYTES
                };
                write!(stream, "{head}x-field: ")?;
                write_repeated(stream, b"value", bytes)
            }
            Self::EndlessHead => {
                stream.write_all(head.as_bytes())?;
                write_repeated(stream, b"x-field: some value\r\n", ENDLESS_BYTES)
            }
            Self::EmptyLines => write_repeated(stream, b"\r\n", ENDLESS_BYTES),
            Self::LargeBody => {
                let body = vec![b'b'; target.body_bytes - missing];
                write!(
                    stream,
                    "{head}content-length: {}\r\n\r\n",
                    target.body_bytes
                )?;
                stream.write_all(&body)
            }
            Self::BodyInPieces => {
                write!(
                    stream,
                    "{head}content-length: {}\r\n\r\n",
                    target.body_bytes
                )?;
                let piece = [b'b'; PIECE_BYTES];
                let mut rest = target.body_bytes - missing;
                while rest > 0 {
                    let length = rest.min(PIECE_BYTES);
                    stream.write_all(&piece[..length])?;
                    rest -= length;
                }
                Ok(())
            }
            Self::BodyInBytes => {
                write!(
                    stream,
                    "{head}content-length: {}\r\n\r\n",
                    BYTEWISE_BYTES + missing
                )?;
                for _ in 0..BYTEWISE_BYTES {
                    stream.write_all(b"b")?;
                    thread::sleep(BYTEWISE_PAUSE);
                }
                Ok(())
            }
            Self::LargeChunks => {
                write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
                let chunk = vec![b'b'; LARGE_CHUNK_BYTES];
                let size = format!("{LARGE_CHUNK_BYTES:x}\r\n");
                for _ in 0..target.body_bytes / LARGE_CHUNK_BYTES {
                    stream.write_all(size.as_bytes())?;
                    stream.write_all(&chunk)?;
                    stream.write_all(b"\r\n")?;
                }
                finish_chunks(stream, is_whole)
            }
            Self::SmallChunks => {
                write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
                let chunk = b"1\r\nb\r\n";
                write_repeated(
                    stream,
                    chunk,
                    SMALL_CHUNKS.min(target.body_bytes) * chunk.len(),
                )?;
                finish_chunks(stream, is_whole)
            }
            Self::ShortBody => {
                // Comes again while it is refused, until it has taken a place.
                for _ in 0..SHORT_BODY_TRIES {
                    write!(stream, "{head}content-length: 100\r\n\r\nbody")?;
                    stream.set_read_timeout(Some(REFUSAL_SPAN))?;
                    if read_head(stream).is_err() {
                        break;
                    }
                    *stream = connect(target.address);
                }
                Ok(())
            }
            Self::Idle => {
                stream.write_all(target.ordinary.as_bytes())?;
                read_head(stream).map(|_| ())
            }
        }
    }
}

/// Where a crowd connects, and an ordinary request for the same listener.
struct CrowdTarget {
    address: SocketAddr,
    /// The path of requests with a body.
    path: &'static str,
    /// The largest body that is read there.
    body_bytes: usize,
    /// How long the crowd waits for its responses.
    deadline_ms: u64,
    ordinary: &'static str,
    /// The first line of the response to the ordinary request.
    expected: &'static str,
}

fn write_repeated(stream: &mut TcpStream, text: &[u8], bytes: usize) -> Result<()> {
    let part = text.repeat(PIECE_BYTES / text.len());
    for _ in 0..bytes / part.len() {
        stream.write_all(&part)?;
    }
    stream.write_all(&text.repeat((bytes % part.len()) / text.len()))
}

fn finish_chunks(stream: &mut TcpStream, is_whole: bool) -> Result<()> {
    let end: &[u8] = if is_whole { b"0\r\n\r\n" } else { b"0\r\n\r" };
    stream.write_all(end)
}

/// Reads a response up to the end of its head.
fn read_head(stream: &mut TcpStream) -> Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// What a process held at its peak.
#[derive(Clone, Copy, Debug, Default)]
struct HeldPeak {
    /// Bytes in the kernel's buffers of its sockets.
    socket_bytes: u64,
    descriptors: usize,
}

impl HeldPeak {
    fn sample(&mut self, daemon: (u32, Ipv4Addr)) {
        let (id, ip) = daemon;
        self.socket_bytes = self.socket_bytes.max(socket_bytes(ip));
        let files = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(files);
    }
}

/// Returns the bytes that the kernel holds for the sockets with address `ip`.
fn socket_bytes(ip: Ipv4Addr) -> u64 {
    queued_bytes(ip, |local, _| local)
}

/// Returns the bytes in the queues of the sockets that `selects` selects by whether their own
/// address is `ip`, and whether that of their peer is.
fn queued_bytes(ip: Ipv4Addr, selects: impl Fn(bool, bool) -> bool) -> u64 {
    let start = format!("{:08X}:", u32::from_le_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()?.starts_with(&start);
        let is_peer = fields.next()?.starts_with(&start);
        if !selects(is_local, is_peer) {
            return None;
        }
        let (sent, received) = fields.nth(1)?.split_once(':')?;
        let bytes = |text| u64::from_str_radix(text, 16).ok();
        Some(bytes(sent)? + bytes(received)?)
    });
    queues.sum()
}

/// Waits until the daemon has read what it reads of what the crowd has sent: the queues stay as they
/// are, and it uses hardly any processor time.
fn wait_read(id: u32, ip: Ipv4Addr) {
    let started = Instant::now();
    let (mut queued, mut used) = (u64::MAX, 0);
    while started.elapsed() < READ_TIMEOUT {
        let before = (queued, used);
        queued = queued_bytes(ip, |is_local, is_peer| is_local || is_peer);
        used = processor_ticks(id);
        if queued == before.0 && used - before.1 <= IDLE_TICKS {
            break;
        }
        thread::sleep(QUEUE_INTERVAL);
    }
}

/// Returns the processor time that the process has used, in hundredths of a second.
fn processor_ticks(id: u32) -> u64 {
    let fields = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    let times = fields.split_whitespace().skip(13).take(2);
    times.filter_map(|text| text.parse::<u64>().ok()).sum()
}

/// Returns the most memory that the process has had resident, in bytes.
fn resident_peak(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = header(&status, "VmHWM").expect("the peak is stated");
    let kilobytes: u64 = line.trim_end_matches(" kB").parse().expect("a number");
    kilobytes * 1024
}

/// Sends the ordinary request over new connections until it is answered as expected.
fn assert_answered(target: &CrowdTarget) {
    let started = Instant::now();
    let mut last = String::new();
    while started.elapsed() < ANSWER_TIMEOUT {
        let mut stream = connect(target.address);
        let sent = stream.write_all(target.ordinary.as_bytes());
        match sent.and_then(|()| read_head(&mut stream)) {
            Ok(head) if head.starts_with(target.expected) => return,
            Ok(head) => last = head,
            Err(fault) => last = fault.to_string(),
        }
        thread::sleep(RETRY_PAUSE);
    }
    panic!("{}: no ordinary answer; last: {last}", target.address);
}

fn assert_withstood(daemon: &mut DaemonProcess, target: &CrowdTarget, form: CrowdForm) {
    assert_withstood_within(daemon, target, form, DESCRIPTORS);
}

/// Lets a crowd of clients send `form` to `target` and stay open, and checks that the daemon lives,
/// holds no more than its host has, and answers an ordinary request beside them.
fn assert_withstood_within(
    daemon: &mut DaemonProcess,
    target: &CrowdTarget,
    form: CrowdForm,
    descriptors: usize,
) {
    assert_answered(target);
    let process = (daemon.id(), daemon.ip);
    let is_over = AtomicBool::new(false);
    let peak = thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = HeldPeak::default();
            while !is_over.load(Ordering::Relaxed) {
                peak.sample(process);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        let clients: Vec<_> = (0..form.clients())
            .map(|number| {
                scope.spawn(move || {
                    let mut stream = connect(target.address);
                    // The daemon may refuse the client or close its connection.
                    let _ = form.send(target, number % WHOLE_EVERY == 0, &mut stream);
                    stream
                })
            })
            .collect();
        let clients = clients.into_iter().map(thread::ScopedJoinHandle::join);
        let streams: Vec<TcpStream> = clients.map(|it| it.expect("a client")).collect();
        wait_read(daemon.id(), daemon.ip);
        // The crowd stays open beside the ordinary request.
        assert_answered(target);
        drop(streams);
        is_over.store(true, Ordering::Relaxed);
        sampler.join().expect("the sampler ends")
    });
    assert!(daemon.is_running(), "{form:?}: the process has ended");
    let held = resident_peak(process.0) + peak.socket_bytes;
    eprintln!("{form:?} at {}: {held} bytes, {peak:?}", target.address);
    assert!(
        held <= MEMORY_MB * MEGABYTE,
        "{form:?}: {held} bytes held of {MEMORY_MB} MB, {peak:?}"
    );
    assert!(
        peak.descriptors <= descriptors,
        "{form:?}: {} descriptors of {descriptors}",
        peak.descriptors
    );
}

/// Tests run one at a time: a crowd would disturb the others.
fn lock_machine() -> MutexGuard<'static, ()> {
    static MACHINE: Mutex<()> = Mutex::new(());
    MACHINE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn limits_table() -> String {
    format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS}\n")
}

fn document(idle_timeout_ms: u64, max_body_bytes: usize) -> Value {
    json!({
        "version": 1,
        "routes": [route("post", "/post/", "non_idempotent")],
        "services": [{ "name": "desk" }],
        "limits": {
            "max_header_bytes": HEADER_BYTES_MAX, "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3_000, "idle_timeout_ms": idle_timeout_ms,
        },
    })
}

fn start_backend() -> SocketAddr {
    serve(|head, stream| {
        let attempt = header(head, "savoryswitch-attempt-id").unwrap_or_default();
        if attempt != "ordinary" {
            thread::sleep(BACKEND_SPAN);
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nsavoryswitch-attempt-id: {attempt}\r\n\
             savoryswitch-response-seal: seal\r\ncontent-length: 2\r\n\r\nok"
        );
        stream.write_all(response.as_bytes()).ok()
    })
}

fn start_entry() -> DaemonProcess {
    start_entry_with(&document(IDLE_TIMEOUT_MS, BODY_BYTES_MAX))
}

fn start_entry_with(document: &Value) -> DaemonProcess {
    let store = start_store(document, &[start_backend()]);
    DaemonProcess::start_entry(&limits_table(), store)
}

fn start_host() -> DaemonProcess {
    let tables = format!(
        "app = \"127.0.0.1:1\"\nservice = \"desk\"\n{}",
        limits_table()
    );
    let store = start_store(&document(IDLE_TIMEOUT_MS, BODY_BYTES_MAX), &[]);
    DaemonProcess::start(env!("CARGO_BIN_EXE_savory-host"), &tables, store)
}

fn client_target(entry: &DaemonProcess) -> CrowdTarget {
    CrowdTarget {
        address: entry.address(CLIENT_PORT),
        path: "/post/x",
        body_bytes: BODY_BYTES_MAX,
        deadline_ms: 30_000,
        ordinary: ORDINARY_REQUEST,
        expected: "HTTP/1.1 200",
    }
}

/// The listeners of a daemon beside that for clients.
fn inner_targets(daemon: &DaemonProcess, ports: &[u16]) -> Vec<CrowdTarget> {
    let target = |port: &u16| CrowdTarget {
        address: daemon.address(*port),
        path: match *port {
            PEER_PORT => "/peer/chunks/have",
            _ => "/peer/view",
        },
        body_bytes: 64 * 1024,
        deadline_ms: 30_000,
        ordinary: match *port {
            READY_PORT => "GET /v1/ready HTTP/1.1\r\nhost: h\r\n\r\n",
            METRICS_PORT => "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n",
            _ => "GET /nothing HTTP/1.1\r\nhost: h\r\n\r\n",
        },
        expected: match *port {
            READY_PORT | METRICS_PORT => "HTTP/1.1 200",
            _ => "HTTP/1.1 404",
        },
    };
    ports.iter().map(target).collect()
}

fn assert_clients_withstood(form: CrowdForm) {
    let _machine = lock_machine();
    let mut entry = start_entry();
    let target = client_target(&entry);
    assert_withstood(&mut entry, &target, form);
}

fn assert_inner_withstood(mut daemon: DaemonProcess, ports: &[u16], form: CrowdForm) {
    for target in inner_targets(&daemon, ports) {
        assert_withstood(&mut daemon, &target, form);
    }
}

/// Guards against heads over the limit that are kept while their connections stay open.
#[test]
fn heads_over_the_limit_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::LargeHead);
}

/// Guards against a header field that is kept up to a limit of each connection alone.
#[test]
fn fields_without_end_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::EndlessField);
}

/// Guards against heads that are kept up to a limit of each connection alone.
#[test]
fn heads_without_end_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::EndlessHead);
}

/// Guards against empty lines before a request that count for no limit.
#[test]
fn empty_lines_without_end_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::EmptyLines);
}

/// Guards against bodies that are limited one by one, but not together.
#[test]
fn many_large_bodies_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::LargeBody);
}

/// Guards against bodies whose bytes are held as they arrive, without a limit for all of them.
#[test]
fn many_bodies_in_pieces_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::BodyInPieces);
}

/// Guards against single bytes that each keep the buffer into which they were read.
#[test]
fn bodies_in_single_bytes_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::BodyInBytes);
}

/// Guards against chunked bodies, whose length is not known, without a limit for all of them.
#[test]
fn many_bodies_in_large_chunks_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::LargeChunks);
}

/// Guards against chunks whose bookkeeping is larger than their bytes.
#[test]
fn many_bodies_in_small_chunks_fill_no_entry_host() {
    assert_clients_withstood(CrowdForm::SmallChunks);
}

/// Guards against idle connections that take all descriptors of the process.
#[test]
fn idle_connections_take_no_descriptors_from_an_entry_host() {
    assert_clients_withstood(CrowdForm::Idle);
}

/// Guards against requests with short bodies that take the room of all others until their deadlines.
#[test]
fn short_bodies_that_stop_short_keep_out_no_ordinary_request() {
    let _machine = lock_machine();
    let mut document = document(LONG_TIMEOUT_MS, BODY_BYTES_MAX);
    document["routes"][0]["timeout_ms"] = LONG_TIMEOUT_MS.into();
    let store = start_store(&document, &[start_backend()]);
    // More descriptors than the memory has room for requests.
    let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = 2048\n");
    let mut entry = DaemonProcess::start_entry(&limits, store);
    let target = CrowdTarget {
        deadline_ms: LONG_TIMEOUT_MS,
        ..client_target(&entry)
    };
    assert_withstood_within(&mut entry, &target, CrowdForm::ShortBody, 2048);
}

/// Guards against heads at the listeners of an entry host that are not meant for clients.
#[test]
fn heads_at_inner_listeners_fill_no_entry_host() {
    let _machine = lock_machine();
    let ports = [READY_PORT, CONTROL_PORT, METRICS_PORT];
    assert_inner_withstood(start_entry(), &ports, CrowdForm::LargeHead);
}

/// Guards against bodies in single bytes at the listener for other processes.
#[test]
fn single_bytes_at_inner_listeners_fill_no_entry_host() {
    let _machine = lock_machine();
    let entry = start_entry();
    assert_inner_withstood(entry, &[CONTROL_PORT], CrowdForm::BodyInBytes);
}

/// Guards against idle connections that take all descriptors through an inner listener.
#[test]
fn idle_connections_at_inner_listeners_take_no_descriptors_from_an_entry_host() {
    let _machine = lock_machine();
    let ports = [READY_PORT, CONTROL_PORT, METRICS_PORT];
    assert_inner_withstood(start_entry(), &ports, CrowdForm::Idle);
}

/// Guards against heads that are kept by the process beside a backend server.
#[test]
fn heads_fill_no_host_process() {
    let _machine = lock_machine();
    let ports = [PEER_PORT, METRICS_PORT];
    assert_inner_withstood(start_host(), &ports, CrowdForm::LargeHead);
}

/// Guards against single bytes that each keep a buffer in the process beside a backend server.
#[test]
fn single_bytes_fill_no_host_process() {
    let _machine = lock_machine();
    assert_inner_withstood(start_host(), &[PEER_PORT], CrowdForm::BodyInBytes);
}

/// Guards against idle connections that take all descriptors of the process beside a backend server.
#[test]
fn idle_connections_take_no_descriptors_from_a_host_process() {
    let _machine = lock_machine();
    let ports = [PEER_PORT, METRICS_PORT];
    assert_inner_withstood(start_host(), &ports, CrowdForm::Idle);
}

/// Guards against a limit for the number of header fields below that for their bytes.
#[test]
fn seventy_short_fields_are_accepted() {
    let _machine = lock_machine();
    let entry = start_entry();
    assert_answered(&client_target(&entry));
    let fields: Vec<String> = (0..70).map(|number| format!("x{number}: v\r\n")).collect();
    let request = ORDINARY_REQUEST.replacen("\r\n", &format!("\r\n{}", fields.concat()), 1);
    let mut stream = connect(entry.address(CLIENT_PORT));
    stream.write_all(request.as_bytes()).expect("it is sent");
    let head = read_head(&mut stream).expect("an answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}

/// Guards against limits that a single body inside the limits of the document meets.
#[test]
fn the_largest_body_is_accepted_in_chunks_of_one_byte() {
    let _machine = lock_machine();
    let body_bytes = 256 * 1024;
    let entry = start_entry_with(&document(IDLE_TIMEOUT_MS, body_bytes));
    assert_answered(&client_target(&entry));
    let head = ORDINARY_REQUEST.replace("content-length: 4\r\n\r\nbody", "");
    let mut stream = connect(entry.address(CLIENT_PORT));
    write!(stream, "{head}transfer-encoding: chunked\r\n\r\n").expect("the head is sent");
    let chunk = b"1\r\nb\r\n";
    write_repeated(&mut stream, chunk, body_bytes * chunk.len()).expect("chunks are sent");
    finish_chunks(&mut stream, true).expect("the end is sent");
    let head = read_head(&mut stream).expect("an answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}

/// Guards against connections that are closed while their clients may still use them.
#[test]
fn a_connection_is_used_again_late_in_its_idle_timeout() {
    let _machine = lock_machine();
    let idle_timeout_ms = 5_000;
    let entry = start_entry_with(&document(idle_timeout_ms, BODY_BYTES_MAX));
    assert_answered(&client_target(&entry));
    let mut stream = connect(entry.address(CLIENT_PORT));
    for _ in 0..3 {
        stream
            .write_all(ORDINARY_REQUEST.as_bytes())
            .expect("it is sent");
        let head = read_head(&mut stream).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let mut body = [0; 2];
        stream.read_exact(&mut body).expect("the body");
        thread::sleep(Duration::from_millis(idle_timeout_ms * 4 / 5));
    }
}
