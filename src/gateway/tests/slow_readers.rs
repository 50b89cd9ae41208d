//! Responses that clients still read while the process of the entry host stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use super::fake_backend::{catalog, field};
use super::{BOUNDS, new_gateway_draining, only_entry_host};
use crate::daemon::DrainState;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::daemon::serve_callers;
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};
use crate::sync::{DeploymentSnapshot, SharedDeploymentState, SharedSnapshot};

/// Socket buffers that hold a small part of a response.
const SMALL_BUFFER: usize = 8 * 1024;
/// A socket buffer that holds a whole response.
const LARGE_BUFFER: usize = 512 * 1024;
/// Length of a response that the HTTP library takes at once, whatever the socket takes.
const RESPONSE_BYTES: usize = 160 * 1024;
/// Events of a stream, which the HTTP library takes at once.
const EVENTS: u64 = 12;
const EVENT_BYTES: usize = 12 * 1024;
/// Bytes behind a request, more than the HTTP library reads beside its response.
const UNREAD_BYTES: usize = 64 * 1024;
/// Longest stop.
const STOP_MAX: Duration = Duration::from_secs(20);
/// Time for a response to reach the entry host, and for a stop that waits for nothing to end.
const PASS_SPAN: Duration = Duration::from_millis(500);
/// How a client reads: so many bytes, then a pause.
const READ_BYTES: usize = 4 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(10);
/// Longest time until the next bytes of a response, and until the process has ended.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Starts a backend server that answers each request with `response_of` its attempt.
fn start_backend(response_of: fn(&str) -> String) -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream, response_of));
        }
    });
    address
}

fn answer(mut stream: StdStream, response_of: fn(&str) -> String) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        while !text.ends_with("\r\n\r\nbody") {
            let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
            text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        let attempt = field(&text, ATTEMPT).unwrap_or_default();
        text.clear();
        stream.write_all(response_of(&attempt).as_bytes()).ok()?;
    }
}

fn long_response(attempt: &str) -> String {
    let body = "x".repeat(RESPONSE_BYTES);
    format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
         content-length: {RESPONSE_BYTES}\r\n\r\n{body}"
    )
}

fn late_long_response(attempt: &str) -> String {
    thread::sleep(PASS_SPAN);
    long_response(attempt)
}

fn long_stream(attempt: &str) -> String {
    let chunks = (1..=EVENTS).map(|id| {
        let event = format!("id: {id}\ndata: {}\n\n", "y".repeat(EVENT_BYTES));
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    let chunks = chunks.collect::<Vec<String>>().concat();
    format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    )
}

/// An entry host on a runtime of its own, which ends as its process does.
struct EntryProcess {
    address: SocketAddr,
    drain: DrainState,
    ended: Receiver<Instant>,
}

impl EntryProcess {
    /// Starts it before the backend server at `backend`. Its sockets hold `send_buffer` bytes that a
    /// client does not read.
    fn start(backend: SocketAddr, send_buffer: usize) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // Accepted connections inherit the size.
        socket
            .set_send_buffer_size(send_buffer)
            .expect("the size is valid");
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&local.into()).expect("a free port");
        socket.listen(16).expect("the socket is bound");
        socket.set_nonblocking(true).expect("the socket is open");
        let listener = StdListener::from(socket);
        let address = listener.local_addr().expect("the socket is bound");
        let drain = DrainState::new(Duration::ZERO, STOP_MAX);
        let (sender, ended) = channel();
        let process_drain = drain.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(run(listener, backend, process_drain));
            drop(runtime);
            // A failed test does not wait for it.
            let _ = sender.send(Instant::now());
        });
        Self {
            address,
            drain,
            ended,
        }
    }

    /// Connects a client whose socket holds little of a response.
    fn connect(&self) -> StdStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .set_recv_buffer_size(SMALL_BUFFER)
            .expect("the size is valid");
        socket
            .connect(&self.address.into())
            .expect("the entry host listens");
        let stream = StdStream::from(socket);
        stream
            .set_read_timeout(Some(WAIT_MAX))
            .expect("a timeout above zero");
        stream
    }

    /// Waits until the process has ended, for which nothing is left to do.
    fn wait_ended(&self) -> Instant {
        self.ended
            .recv_timeout(WAIT_MAX)
            .expect("the process ends when all is written")
    }
}

async fn run(listener: StdListener, backend: SocketAddr, drain: DrainState) {
    let facts = BackendFacts {
        start_time: None,
        sequence: None,
        id: "i-0".into(),
        service: "desk".into(),
        address: backend,
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings::default(),
        cold_until: None,
    };
    let snapshot = SharedSnapshot::default();
    snapshot.store(DeploymentSnapshot {
        catalog: Some(Arc::new(catalog())),
        fleet: Arc::new(FleetView {
            backends: vec![Arc::new(facts)],
        }),
        ..only_entry_host()
    });
    let deployment_state = SharedDeploymentState::default();
    let gateway = new_gateway_draining(snapshot, BOUNDS, deployment_state, drain.clone());
    let stop = async move {
        drain.wait_begun().await;
        drain.drain_and_wait().await;
    };
    tokio::spawn(stop);
    let listener = TcpListener::from_std(listener).expect("the socket is open");
    serve_callers(listener, Arc::new(gateway)).await;
}

fn request(kind: &str, fields: &str) -> String {
    format!(
        "POST /{kind}/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 10000\r\n\
         {fields}authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Reads slowly until `is_complete`, or until the connection ends.
fn read_slowly(stream: &mut StdStream, is_complete: fn(&str) -> bool) -> String {
    let mut text = String::new();
    let mut buffer = [0; READ_BYTES];
    while !is_complete(&text) {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
            Ok(_) => {
                println!("closed after {} bytes", text.len());
                break;
            }
            Err(error) => {
                println!("{error} after {} bytes", text.len());
                break;
            }
        }
        thread::sleep(READ_PAUSE);
    }
    text
}

fn is_long_response(text: &str) -> bool {
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    body.len() == RESPONSE_BYTES
}

fn is_long_stream(text: &str) -> bool {
    let is_whole = |id| text.contains(&format!("id: {id}\ndata: {}\n\n", "y".repeat(EVENT_BYTES)));
    text.ends_with("\r\n0\r\n\r\n") && (1..=EVENTS).all(is_whole)
}

/// Sends a request of `kind`, stops the entry host while the response is read slowly, and returns
/// the response, when it was read, and when the process ended.
fn stop_beside_reader(
    kind: &str,
    response_of: fn(&str) -> String,
    is_complete: fn(&str) -> bool,
) -> (String, Instant, Instant) {
    let process = EntryProcess::start(start_backend(response_of), SMALL_BUFFER);
    let mut stream = process.connect();
    let text = request(kind, "");
    stream
        .write_all(text.as_bytes())
        .expect("the other end reads");
    thread::sleep(PASS_SPAN);
    process.drain.begin();
    thread::sleep(PASS_SPAN);
    let response = read_slowly(&mut stream, is_complete);
    let read_at = Instant::now();
    (response, read_at, process.wait_ended())
}

/// Guards against a stop that cuts the end of a response: the HTTP library had taken all of it, the
/// request counted as done, and the process ended before its client had read the rest.
#[test]
fn a_stop_waits_for_a_response_that_is_not_written() {
    for kind in ["safe", "once"] {
        let (response, ..) = stop_beside_reader(kind, long_response, is_long_response);
        assert!(is_long_response(&response), "{} bytes", response.len());
    }
}

/// Guards against the same for streams: their source has ended, and their events are not written.
#[test]
fn a_stop_waits_for_a_stream_that_is_not_written() {
    for kind in ["resumed", "single"] {
        let (response, ..) = stop_beside_reader(kind, long_stream, is_long_stream);
        assert!(is_long_stream(&response), "{} bytes", response.len());
    }
}

/// Guards against a stop that waits longer than for the bytes: the client keeps its connection.
#[test]
fn a_stop_ends_once_all_is_written() {
    let (response, read_at, ended_at) = stop_beside_reader("once", long_response, is_long_response);
    assert!(is_long_response(&response), "{} bytes", response.len());
    let late = ended_at.saturating_duration_since(read_at);
    assert!(late < Duration::from_secs(1), "{late:?}");
}

/// Guards against a stop that waits for a client that has closed its connection.
#[test]
fn a_stop_does_not_wait_for_a_client_that_is_gone() {
    let process = EntryProcess::start(start_backend(long_response), SMALL_BUFFER);
    let mut stream = process.connect();
    stream
        .write_all(request("once", "").as_bytes())
        .expect("the other end reads");
    thread::sleep(PASS_SPAN);
    process.drain.begin();
    let closed_at = Instant::now();
    drop(stream);
    let took = process.wait_ended().saturating_duration_since(closed_at);
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// Guards against resetting a connection that still holds the end of a response, because its client
/// has sent bytes that were not read.
#[test]
fn a_stop_does_not_reset_a_connection_with_unread_bytes() {
    let process = EntryProcess::start(start_backend(late_long_response), LARGE_BUFFER);
    let mut stream = process.connect();
    let mut text = request("once", "connection: close\r\n");
    text.push_str(&"z".repeat(UNREAD_BYTES));
    stream
        .write_all(text.as_bytes())
        .expect("the other end holds them");
    thread::sleep(PASS_SPAN / 5);
    process.drain.begin();
    process.wait_ended();
    let response = read_slowly(&mut stream, is_long_response);
    assert!(is_long_response(&response), "{} bytes", response.len());
}
