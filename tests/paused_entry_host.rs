//! Streams in flight survive a pause of their entry host's process.

mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;

use support::{DaemonProcess, connect, header, route, serve, start_store};

const STREAMS: usize = 40;
const EVENTS: usize = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Longer than the time-out of an unresponsive backend server, shorter than that of a client.
const PAUSE_SPAN: Duration = Duration::from_millis(1300);
/// Time from the start of the streams to the pause.
const STREAMING_SPAN: Duration = Duration::from_millis(700);
const READY_TIMEOUT: Duration = Duration::from_secs(30);

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

/// Starts a store whose content never changes.
fn start_desk_store(backends: &[SocketAddr]) -> SocketAddr {
    let routes = [route("talk", "/talk/", "streaming")];
    let document = json!({ "version": 1, "routes": routes, "services": [{ "name": "desk" }] });
    start_store(&document, backends)
}

/// Sends a request and returns the response up to its end or to the end of the connection.
fn request(entry: &DaemonProcess, number: usize) -> String {
    let mut stream = connect(entry.address(8005));
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

/// Guards against streams that all count as unresponsive, and are cut or sent again, because the
/// process checks its timers before its sockets after a pause.
#[test]
fn streams_survive_a_pause_of_their_entry_host() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let backends = [(); 2].map(|()| start_backend(arrivals.clone()));
    let entry = DaemonProcess::start_entry("", start_desk_store(&backends));
    let started = Instant::now();
    while !request(&entry, 0).starts_with("HTTP/1.1 200") {
        assert!(
            started.elapsed() < READY_TIMEOUT,
            "the entry host does not serve"
        );
        thread::sleep(Duration::from_millis(50));
    }
    arrivals.store(0, Ordering::Relaxed);
    let responses: Vec<String> = thread::scope(|scope| {
        let entry = &entry;
        let requests = (1..=STREAMS).map(|number| scope.spawn(move || request(entry, number)));
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
