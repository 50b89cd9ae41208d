//! Stand-ins and scenarios of the second independent review: the platform's store, workers, clients
//! and links, in one process that starts the project's own programs. Built by `review/build-2.sh`
//! with the standard library alone.
//!
//! usage: review-2 SCENARIO RECORD   (environment: TROUBLE=0 leaves the disruption out)

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const STORE_PORT: u16 = 8007;
const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const CONTROL_PORT: u16 = 8000;
const APP_PORT: u16 = 8080;
const PROXY_PORT: u16 = 9000;
const METRICS_PORT: u16 = 9464;
/// The figures of the small installations' sheets.
const DRAIN: Duration = Duration::from_millis(2000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const SHORT_BOUNDS: &str = "[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\n\
    retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 100\nversion_ms = 8000\n";
const LONG_BOUNDS: &str = "[bounds]\ncontact_ms = 4000\ndrain_ms = 3000\ngrace_s = 8\nconfig_apply_ms = 3000\n\
    retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 208\nversion_ms = 13400\n";
const TRANSACTION: Duration = Duration::from_millis(3);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// ---------------------------------------------------------------------------------------------
// The record of a run
// ---------------------------------------------------------------------------------------------

#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &Path) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    fn line_at(&self, at: Duration, text: &str) {
        let _ = writeln!(lock(&self.file), "{:10.4} {text}", at.as_secs_f64());
    }

    fn say(&self, text: &str) {
        println!("{:10.4} {text}", self.now().as_secs_f64());
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them
// ---------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&chars, &mut at)
    }

    fn space(chars: &[char], at: &mut usize) {
        while chars.get(*at).is_some_and(|it| it.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(chars: &[char], at: &mut usize) -> Option<Json> {
        Self::space(chars, at);
        match *chars.get(*at)? {
            '{' => {
                *at += 1;
                let mut object = BTreeMap::new();
                loop {
                    Self::space(chars, at);
                    match *chars.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Json::Object(object));
                        }
                        ',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(chars, at)? else { return None };
                            Self::space(chars, at);
                            *at += 1;
                            object.insert(name, Self::value(chars, at)?);
                        }
                    }
                }
            }
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(chars, at);
                    match *chars.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        ',' => *at += 1,
                        _ => list.push(Self::value(chars, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    let next = *chars.get(*at)?;
                    *at += 1;
                    match next {
                        '"' => return Some(Json::Text(text)),
                        '\\' => {
                            let escaped = *chars.get(*at)?;
                            *at += 1;
                            match escaped {
                                'n' => text.push('\n'),
                                't' => text.push('\t'),
                                'r' => text.push('\r'),
                                'u' => {
                                    let code: String = chars.get(*at..*at + 4)?.iter().collect();
                                    *at += 4;
                                    text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let from = *at;
                while chars.get(*at).is_some_and(|it| !",]}".contains(*it) && !it.is_whitespace()) {
                    *at += 1;
                }
                let word: String = chars[from..*at].iter().collect();
                Some(match &*word {
                    "null" => Json::Null,
                    "true" => Json::Bool,
                    "false" => Json::Bool,
                    number => Json::Number(number.parse().ok()?),
                })
            }
        }
    }

    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(object) => object.get(name),
            _ => None,
        }
    }

    fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1, as far as the stand-ins need it
// ---------------------------------------------------------------------------------------------

struct Head {
    line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut fields = Vec::new();
        loop {
            let mut field = String::new();
            if reader.read_line(&mut field)? == 0 {
                return Ok(None);
            }
            let field = field.trim_end();
            if field.is_empty() {
                break;
            }
            if let Some((name, value)) = field.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Head { line: line.trim_end().to_owned(), fields }))
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// Reads the body: with a length, or in chunks.
    fn body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.field("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
            loop {
                let mut size = String::new();
                if reader.read_line(&mut size)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let mut part = vec![0; size + 2];
                reader.read_exact(&mut part)?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&part[..size]);
            }
        }
        let length = self.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------------------------------------
// The platform's store
// ---------------------------------------------------------------------------------------------

type RowKey = (String, String, String);

#[derive(Clone)]
struct Change {
    ver: u64,
    key: RowKey,
    value: Option<String>,
}

#[derive(Default)]
struct StoreRows {
    ver: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<Change>,
}

/// Keeps rows as PROTOCOL.md tells. It never fails by itself.
#[derive(Clone)]
struct Store {
    start: Instant,
    rows: Arc<(Mutex<StoreRows>, Condvar)>,
}

impl Store {
    fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store { start: Instant::now(), rows: Arc::default() };
        let listener = TcpListener::bind(address)?;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// A write by the operator or a worker, confirmed when this returns.
    fn put(&self, table: &str, key: &str, value: Option<&str>) {
        thread::sleep(TRANSACTION);
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = lock(&self.rows.0);
        rows.ver += 1;
        let ver = rows.ver;
        rows.apply(ver, key, value.map(|value| base64(value.as_bytes())));
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(body) = head.body(&mut reader) else { return };
            let (status, text) = self.answer(&head, &body);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let mut words = head.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        let ask = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/rows-get") => {
                let (table, part, from) = (ask("table"), ask("part"), ask("from"));
                let rows = lock(&self.rows.0);
                let chosen = rows.rows.iter().filter(|((of, at, key), _)| {
                    *of == table && *at == part && *key >= from
                });
                let texts: Vec<String> = chosen.map(|(key, row)| row_text(key, Some(&row.0), row.1)).collect();
                ("200 OK", self.page(&texts, rows.ver))
            }
            ("GET", "/v1/rows-feed") => {
                let since: u64 = ask("since_rev").parse().unwrap_or(0);
                let wait: u64 = ask("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let table = ask("table");
                let mut rows = lock(&self.rows.0);
                loop {
                    let changed: Vec<String> = rows
                        .log
                        .iter()
                        .filter(|change| change.ver > since && change.key.0 == table)
                        .map(|change| row_text(&change.key, change.value.as_ref(), change.ver))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        return ("200 OK", self.page(&changed, rows.ver));
                    }
                    rows = match self.rows.1.wait_timeout(rows, left) {
                        Ok((rows, _)) => rows,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                }
            }
            ("POST", "/v1/rows-tx") => self.transact(body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        thread::sleep(TRANSACTION);
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = lock(&self.rows.0);
        let conditions = call.list("precondition");
        let holds = conditions.iter().all(|entry| {
            rows.rows.get(&name(entry)).map_or(0, |row| row.1) == entry.number("ver")
        });
        if !holds {
            let current: Vec<String> = conditions
                .iter()
                .filter_map(|entry| {
                    let key = name(entry);
                    rows.rows.get(&key).map(|row| row_text(&key, Some(&row.0), row.1))
                })
                .collect();
            return ("412 Precondition Failed", self.page(&current, rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in call.list("writes") {
            rows.apply(ver, name(&entry), Some(entry.text("value")));
        }
        for entry in call.list("remove") {
            rows.apply(ver, name(&entry), None);
        }
        self.rows.1.notify_all();
        ("200 OK", self.page(&[], ver))
    }

    fn page(&self, rows: &[String], ver: u64) -> String {
        let now = self.start.elapsed().as_millis() + 1_000_000;
        format!("{{\"rows\":[{}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{now}}}", rows.join(","))
    }
}

impl StoreRows {
    fn apply(&mut self, ver: u64, key: RowKey, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), ver));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.log.push(Change { ver, key, value });
    }
}

fn row_text((table, part, key): &RowKey, value: Option<&String>, ver: u64) -> String {
    let name = format!("\"table\":{},\"part\":{},\"key\":{}", quoted(table), quoted(part), quoted(key));
    match value {
        Some(value) => format!("{{{name},\"value\":\"{value}\",\"ver\":{ver}}}"),
        None => format!("{{{name},\"deleted\":true,\"ver\":{ver}}}"),
    }
}

// ---------------------------------------------------------------------------------------------
// A link that can be cut
// ---------------------------------------------------------------------------------------------

/// Passes connections on to `target`. While it is cut nothing passes in either direction, and
/// nothing is reset; what was held up goes on afterwards.
struct Link {
    is_cut: Arc<AtomicBool>,
    /// Number of calls that ask for changes of the operator's table.
    operator_feeds: Arc<AtomicU64>,
}

impl Link {
    fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(address)?;
        let link = Link { is_cut: Arc::default(), operator_feeds: Arc::default() };
        let (is_cut, feeds) = (link.is_cut.clone(), link.operator_feeds.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (is_cut, feeds) = (is_cut.clone(), feeds.clone());
                thread::spawn(move || {
                    wait_healed(&is_cut);
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let _ = near.set_nodelay(true);
                    let _ = far.set_nodelay(true);
                    let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
                    let back_cut = is_cut.clone();
                    thread::spawn(move || pass(far_back, near_back, &back_cut, None));
                    pass(near, far, &is_cut, Some(&feeds));
                });
            }
        });
        Ok(link)
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn operator_feeds(&self) -> u64 {
        self.operator_feeds.load(Ordering::SeqCst)
    }
}

fn wait_healed(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, feeds: Option<&AtomicU64>) {
    let mut bytes = [0; 64 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        wait_healed(is_cut);
        if length == 0 {
            break;
        }
        if let Some(feeds) = feeds
            && String::from_utf8_lossy(&bytes[..length.min(60)]).contains("/v1/rows-feed?table=op&")
        {
            feeds.fetch_add(1, Ordering::SeqCst);
        }
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------------------------------------
// A worker without an engine
// ---------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
struct Run {
    at: Duration,
    worker: String,
    attempt: String,
}

/// What all workers ran.
type Runs = Arc<Mutex<Vec<Run>>>;

struct Worker {
    id: String,
    address: SocketAddr,
    is_up: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    /// Starts a lifetime. Runs each request for 15 ms.
    fn start(id: &str, address: SocketAddr, record: &Record, runs: &Runs) -> io::Result<Worker> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let worker = Worker {
            id: id.to_owned(),
            address,
            is_up: Arc::new(AtomicBool::new(true)),
            is_leaving: Arc::default(),
            streams: Arc::default(),
        };
        let (id, is_up) = (worker.id.clone(), worker.is_up.clone());
        let (streams, record, runs) = (worker.streams.clone(), record.clone(), runs.clone());
        let is_leaving = worker.is_leaving.clone();
        thread::spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(other) = stream.try_clone() {
                            lock(&streams).push(other);
                        }
                        let (id, record, runs) = (id.clone(), record.clone(), runs.clone());
                        let is_leaving = is_leaving.clone();
                        thread::spawn(move || serve_worker(&stream, &id, &is_leaving, (&record, &runs)));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        Ok(worker)
    }

    /// Ends the lifetime at once: the port refuses connections, and the open ones close.
    fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        sleep_ms(10);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn entry(&self, service: &str, zone: &str, state: &str, sequence: u64, born: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.address
        )
    }
}

fn serve_worker(stream: &TcpStream, id: &str, is_leaving: &AtomicBool, (record, runs): (&Record, &Runs)) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = Head::read(&mut reader) {
        if head.body(&mut reader).is_err() {
            return;
        }
        let attempt = head.field("savoryswitch-attempt-id").unwrap_or("").to_owned();
        let is_other = head.field("savoryswitch-target-instance").is_some_and(|it| it != id);
        let answer = if is_other {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nSavoryswitch-Attempt-Id: {attempt}\r\n\
                 Savoryswitch-Instance-Id: {id}\r\nSavoryswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            let at = record.now();
            record.line_at(at, &format!("run     {attempt} at {id}"));
            lock(runs).push(Run { at, worker: id.to_owned(), attempt: attempt.clone() });
            let (_, path, _) = query_of(&head);
            if let Some(length) = path.strip_prefix("/desk/long/").and_then(|it| it.parse().ok()) {
                sleep_ms(15);
                let own = format!("Savoryswitch-Attempt-Id: {attempt}\r\nSavoryswitch-Response-Seal: seal.{attempt}\r\n");
                if !answer(stream, "200 OK", &own, &vec![b'a'; length]) {
                    return;
                }
                continue;
            }
            sleep_ms(if path.starts_with("/call/") { 800 } else { 15 });
            let close = if is_leaving.load(Ordering::SeqCst) { "Connection: close\r\n" } else { "" };
            format!(
                "HTTP/1.1 200 OK\r\n{close}Savoryswitch-Attempt-Id: {attempt}\r\n\
                 Savoryswitch-Response-Seal: seal.{attempt}\r\nSavoryswitch-Instance-Id: {id}\r\n\
                 Content-Length: 3\r\n\r\nyes"
            )
        };
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() || answer.contains("Connection: close") {
            return;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------

/// One request on a channel of its own; returns the status, 0 for none.
fn request(front: SocketAddr, path: &str, key: &str, attempt: &str, deadline: Duration) -> u16 {
    let ask = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(deadline))?;
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: desk.example\r\nSavoryswitch-Attempt-Id: {attempt}\r\n\
             Savoryswitch-Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n",
            deadline.as_millis()
        );
        (&mut &stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(&stream);
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.body(&mut reader)?;
        Ok(head.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0))
    };
    ask().unwrap_or(0)
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        (&mut &stream).write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let head = Head::read(&mut BufReader::new(&stream))?;
        Ok(head.is_some_and(|head| head.line.contains(" 200")))
    };
    ask().unwrap_or(false)
}

// ---------------------------------------------------------------------------------------------
// The system under test
// ---------------------------------------------------------------------------------------------

/// An address of this run: the second byte differs between runs, so that two do not meet.
fn ip(net: u8, of: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net, of, number)
}

fn free_net() -> u8 {
    let seed = u64::from(std::process::id());
    for step in 0..200 {
        let net = u8::try_from(20 + (seed * 7 + step * 13) % 200).unwrap_or(20);
        if TcpListener::bind((ip(net, 1, 1), CONTROL_PORT)).is_ok()
            && TcpListener::bind((ip(net, 9, 1), STORE_PORT)).is_ok()
        {
            return net;
        }
    }
    20
}

struct Entry {
    zone: String,
    ip: Ipv4Addr,
    link: Link,
    process: Process,
}

/// One of the project's programs, as the deploy file starts it.
struct Process {
    name: String,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    fn start(name: &str, program: &'static str, settings: &Path, log: &Path) -> io::Result<Process> {
        let child = Self::spawn(program, settings, log)?;
        let (settings, log) = (settings.to_owned(), log.to_owned());
        Ok(Process { name: name.to_owned(), program, settings, log, child })
    }

    fn spawn(program: &str, settings: &Path, log: &Path) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        Command::new(program)
            .args(["platform", "--metrics-port", &METRICS_PORT.to_string()])
            .env("SAVORYSWITCH_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
    }

    fn restart(&mut self) -> io::Result<()> {
        let _ = self.child.wait();
        self.child = Self::spawn(self.program, &self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    fn ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }
}

struct System {
    net: u8,
    store: Store,
    entries: Vec<Entry>,
    /// The processes beside engines.
    hosts: Vec<Process>,
    /// The link of those to the store.
    host_link: Option<SocketAddr>,
    zones: String,
    seeds: String,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        self.entries.clear();
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl System {
    /// Starts the store and the entry hosts of `zones` (their names and numbers of entry hosts), each
    /// with a link of its own to the store.
    fn start(zones: &[(&str, u8)], bounds: &str, record: &Record) -> io::Result<System> {
        let net = free_net();
        let store_address = SocketAddr::from((ip(net, 9, 1), STORE_PORT));
        let store = Store::start(store_address)?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut system = System {
            net,
            store,
            entries: Vec::new(),
            hosts: Vec::new(),
            host_link: None,
            zones: String::new(),
            seeds: String::new(),
            folder,
        };
        let mut places = Vec::new();
        for (at, (zone, count)) in zones.iter().enumerate() {
            for number in 1..=*count {
                let of = u8::try_from(at + 1).unwrap_or(1);
                places.push((format!("edge-{zone}-{number}"), (*zone).to_owned(), ip(net, of, number)));
            }
        }
        let first_of = |zone: &str| places.iter().find(|place| place.1 == zone).map(|place| place.2);
        let seeds: Vec<String> = zones
            .iter()
            .filter_map(|(zone, _)| first_of(zone))
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let regions: String = zones.iter().map(|(zone, _)| format!("{zone} = \"region-{zone}\"\n")).collect();
        system.zones = regions.clone();
        system.seeds = seeds.join(",");
        for (number, (name, zone, ip)) in places.iter().enumerate() {
            let port = PROXY_PORT + u16::try_from(number).unwrap_or(0);
            let link_address = SocketAddr::from((self::ip(net, 9, 2), port));
            let link = Link::start(link_address, store_address)?;
            let settings = format!(
                "node_name = \"{name}\"\nrole = \"savory-entry\"\nmachine_class = \"edge\"\n\
                 serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-{zone}\"\n\
                 port_range = [7700,7715]\nseeds = [{}]\nbootstrap = true\nheartbeat_ms = 1200\n\
                 [zones]\n{regions}[listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready_addr = \"{ip}:{READY_PORT}\"\n\
                 control = \"{ip}:{CONTROL_PORT}\"\n\
                 [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\nlink_mbps = 1000.0\n\
                 {bounds}[platform]\naddress = \"{link_address}\"\nform = \"table\"\n",
                seeds.join(",")
            );
            let path = system.folder.join(format!("{name}.toml"));
            fs::write(&path, settings)?;
            let log = system.folder.join(format!("{name}.log"));
            let process = Process::start(name, "target/release/savory-entry", &path, &log)?;
            record.line(&format!("start   {name} at {ip}, process {}", process.child.id()));
            system.entries.push(Entry { zone: zone.clone(), ip: *ip, link, process });
        }
        Ok(system)
    }

    /// Starts the process beside the engine at `host`.
    fn add_host(&mut self, zone: &str, host: Ipv4Addr, record: &Record) -> io::Result<()> {
        let link = match self.host_link {
            Some(link) => link,
            None => {
                let link = SocketAddr::from((ip(self.net, 9, 1), STORE_PORT));
                self.host_link = Some(link);
                link
            }
        };
        let name = format!("side-{zone}-{}", self.hosts.len() + 1);
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"savory-host\"\nmachine_class = \"side\"\nserves = [\"side\"]\n\
             ip = \"{host}\"\nzone = \"{zone}\"\nregion = \"region-{zone}\"\nport_range = [7700,7715]\nseeds = [{}]\n\
             bootstrap = true\nheartbeat_ms = 1200\napp = \"{host}:{APP_PORT}\"\nservice = \"llm\"\n[zones]\n{}[listen]\n\
             [limits]\ncpu_share = 0.3\ncores = 1\nmemory_mb = 128\nmax_fds = 2048\nlink_mbps = 7.3\n{LONG_BOUNDS}\
             [platform]\naddress = \"{link}\"\nform = \"table\"\n",
            self.seeds, self.zones
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(&name, "target/release/savory-host", &path, &log)?;
        record.line(&format!("start   {name} at {host}, process {}", process.child.id()));
        self.hosts.push(process);
        Ok(())
    }

    fn kill_all(&mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for host in &mut self.hosts {
            host.kill();
        }
    }

    fn restart_all(&mut self, record: &Record) -> io::Result<()> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        for process in entries.chain(&mut self.hosts) {
            process.restart()?;
            record.line(&format!("start   {}, process {}", process.name, process.child.id()));
        }
        Ok(())
    }

    fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.entries.iter().all(|entry| is_ready(entry.ready())) {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// Copies what the processes wrote beside the record.
    fn keep_logs(&self, record: &Path) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            return;
        }
        let entries = self.entries.iter().map(|entry| &entry.process);
        for process in entries.chain(&self.hosts) {
            let _ = fs::copy(&process.log, record.with_file_name(format!("{}.log", process.name)));
        }
    }
}

const HOLDS: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

/// Keeps the entry of a ready worker written, about each heartbeat.
fn beat(store: &Store, worker: &Worker, service: &str, zone: &str, born: u64) -> Arc<AtomicBool> {
    let goes_on = Arc::new(AtomicBool::new(true));
    let (flag, store) = (goes_on.clone(), store.clone());
    let (id, text) = (worker.id.clone(), {
        let parts: Vec<String> = worker.entry(service, zone, "ready", 7_777_777, born).split("7777777").map(str::to_owned).collect();
        parts
    });
    thread::spawn(move || {
        let mut sequence = 1_u64;
        while flag.load(Ordering::SeqCst) {
            store.put("servers", &id, Some(&text.join(&sequence.to_string())));
            sequence += 1;
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until && flag.load(Ordering::SeqCst) {
                sleep_ms(5);
            }
        }
    });
    goes_on
}

// ---------------------------------------------------------------------------------------------
// Scenario: entry hosts that follow two others which are cut off from the store
// ---------------------------------------------------------------------------------------------

const FOLLOW_ROUNDS: u64 = CUT_AFTER_MS.len() as u64;
/// Clients of each entry host of the zone that has three.
const FOLLOW_CLIENTS: usize = 3;
/// A change of the manifest each 0.33 s for 4 s.
const STORM_GAP: Duration = Duration::from_millis(330);
const STORM_CHANGES: u64 = 12;
/// When in the storm of each round two entry hosts are cut off from the store, and for how long.
const CUT_AFTER_MS: [u64; 5] = [900, 780, 950, 850, 700];
const CUT_SPAN: Duration = Duration::from_millis(5500);

fn follow_manifest(version: u64, keys: &[String]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| quoted(key)).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":1,\"service\":\"desk\",\
         \"max_attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":96}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":10000,\"idle_timeout_ms\":60000}},\"tenants\":[{{\"name\":\"shop\",\"api_keys\":[{}]}}]}}",
        keys.join(",")
    )
}

fn follow(record: &Record, path: &Path, has_trouble: bool) -> io::Result<i32> {
    let system = System::start(&[("zone-a", 3), ("zone-b", 2), ("zone-c", 1)], SHORT_BOUNDS, record)?;
    let runs: Runs = Arc::default();
    let mut keys: Vec<String> = vec!["key-kept".to_owned()];
    keys.extend((0..FOLLOW_ROUNDS * STORM_CHANGES).map(|number| format!("key-{number}")));
    let mut version = 1;
    system.store.put("op", "config", Some(&follow_manifest(version, &keys)));
    let mut workers = Vec::new();
    for (number, zone) in ["zone-a", "zone-b", "zone-c"].iter().enumerate() {
        let number = u8::try_from(number + 1).unwrap_or(1);
        let address = SocketAddr::from((ip(system.net, 5, number), APP_PORT));
        let worker = Worker::start(&format!("i-desk{number}"), address, record, &runs)?;
        beat(&system.store, &worker, "desk", zone, unix_ms());
        workers.push(worker);
    }
    if !system.await_ready(Duration::from_secs(15)) {
        record.say("the entry hosts are not ready");
        return Ok(NOT_RUN);
    }
    sleep_ms(4000);

    // What each request was: key and time of sending.
    let sent: Arc<Mutex<Vec<(String, usize, Duration, u16)>>> = Arc::default();
    let dropped: Arc<Mutex<Vec<String>>> = Arc::default();
    let goes_on = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for (client, (at, entry)) in
        (0..FOLLOW_CLIENTS).flat_map(|client| system.entries.iter().enumerate().map(move |entry| (client, entry)))
    {
        if client > 0 && entry.zone != "zone-a" {
            continue;
        }
        let (front, record, sent) = (entry.front(), record.clone(), sent.clone());
        let (dropped, goes_on) = (dropped.clone(), goes_on.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while goes_on.load(Ordering::SeqCst) {
                number += 1;
                // Keys that were taken away in the last few seconds, and one that stays.
                let key = {
                    let dropped = lock(&dropped);
                    let recent = &dropped[dropped.len().saturating_sub(12)..];
                    if recent.is_empty() || number % 13 == 0 {
                        "key-kept".to_owned()
                    } else {
                        recent[number % recent.len()].clone()
                    }
                };
                let attempt = format!("c{at}.{client}n{number}k{key}");
                let at_time = record.now();
                record.line_at(at_time, &format!("send    {attempt} to entry {at}"));
                let status = request(front, "/desk/x", &key, &attempt, Duration::from_millis(600));
                record.line(&format!("answer  {attempt} {status}"));
                lock(&sent).push((attempt, at, at_time, status));
                sleep_ms(15);
            }
        }));
    }

    let mut acknowledged: HashMap<String, Duration> = HashMap::new();
    let mut disturbed: Vec<(usize, Duration, Duration)> = Vec::new();
    for round in 0..FOLLOW_ROUNDS {
        // The entry hosts of the zone with three that ask the store for changes of the manifest.
        let before: Vec<u64> = system.entries.iter().map(|entry| entry.link.operator_feeds()).collect();
        sleep_ms(3000);
        let readers: Vec<usize> = system
            .entries
            .iter()
            .enumerate()
            .filter(|(at, entry)| entry.zone == "zone-a" && entry.link.operator_feeds() > before[*at])
            .map(|(at, _)| at)
            .collect();
        record.say(&format!("round {round}: entry hosts {readers:?} of zone-a follow the manifest at the store"));
        let chosen: Vec<usize> = readers.into_iter().take(2).collect();
        let cut_after = Duration::from_millis(CUT_AFTER_MS[usize::try_from(round).unwrap_or(0)]);
        let began = Instant::now();
        let mut cut_from = None;
        for change in 0..STORM_CHANGES {
            let due = began + STORM_GAP * u32::try_from(change).unwrap_or(0);
            while Instant::now() < due {
                if cut_from.is_none() && began.elapsed() >= cut_after && has_trouble {
                    for at in &chosen {
                        system.entries[*at].link.set_cut(true);
                    }
                    cut_from = Some(record.now());
                    record.say(&format!("round {round}: entry hosts {chosen:?} are cut off from the store"));
                }
                sleep_ms(2);
            }
            let key = keys.remove(1);
            version += 3;
            system.store.put("op", "config", Some(&follow_manifest(version, &keys)));
            let at = record.now();
            record.line_at(at, &format!("confirm manifest {version} without {key}"));
            acknowledged.insert(key.clone(), at);
            lock(&dropped).push(key);
        }
        while began.elapsed() < cut_after + CUT_SPAN {
            sleep_ms(5);
        }
        for at in &chosen {
            system.entries[*at].link.set_cut(false);
            if let Some(from) = cut_from {
                disturbed.push((*at, from, record.now()));
            }
        }
        record.line("the cut is healed");
        sleep_ms(7000);
    }
    goes_on.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    system.keep_logs(path);

    let ran: HashMap<String, String> =
        lock(&runs).iter().map(|run| (run.attempt.clone(), run.worker.clone())).collect();
    let contact = Duration::from_secs(3);
    let (mut late, mut worst, mut kept_failed, mut kept) = (0, Duration::ZERO, 0, 0);
    for (attempt, at, sent_at, status) in lock(&sent).iter() {
        let key = attempt.split_once('k').map_or("", |(_, key)| key);
        let is_disturbed = disturbed
            .iter()
            .any(|(other, from, to)| other == at && *sent_at >= *from && *sent_at <= *to + contact);
        if key == "key-kept" {
            kept += 1;
            kept_failed += usize::from(*status != 200);
            continue;
        }
        let Some(confirmed) = acknowledged.get(key) else { continue };
        if !is_disturbed && *sent_at > *confirmed + CONFIG_APPLY && ran.contains_key(attempt) {
            late += 1;
            let after = *sent_at - *confirmed;
            worst = worst.max(after);
            record.line_at(
                *sent_at,
                &format!("BROKEN  {attempt}, sent {} ms after its key's end was confirmed, ran at {} by way of entry {at}, which is in touch",
                    after.as_millis(), ran[attempt]),
            );
        }
    }
    record.say(&format!(
        "requests with a dropped key that ran although sent more than 2,000 ms after the confirmation, by machines in touch: {late}, the last {} ms after it; with the kept key {kept}, not served {kept_failed}",
        worst.as_millis()
    ));
    drop(workers);
    Ok(if late > 0 { BROKEN } else { HOLDS })
}

// ---------------------------------------------------------------------------------------------
// Scenario: a worker that starts again under its id after its clock was set back
// ---------------------------------------------------------------------------------------------

fn born(record: &Record, path: &Path, has_trouble: bool) -> io::Result<i32> {
    let system = System::start(&[("zone-a", 2)], SHORT_BOUNDS, record)?;
    let runs: Runs = Arc::default();
    let keys = vec!["key-kept".to_owned()];
    system.store.put("op", "config", Some(&follow_manifest(1, &keys)));
    let address = |number| SocketAddr::from((ip(system.net, 5, number), APP_PORT));
    let other = Worker::start("i-desk1", address(1), record, &runs)?;
    beat(&system.store, &other, "desk", "zone-a", unix_ms());
    if !system.await_ready(Duration::from_secs(15)) {
        record.say("the entry hosts are not ready");
        return Ok(NOT_RUN);
    }
    sleep_ms(3000);
    let goes_on = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for (at, entry) in system.entries.iter().enumerate() {
        for client in 0..2 {
            let (front, record, goes_on) = (entry.front(), record.clone(), goes_on.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while goes_on.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("c{at}{client}n{number}");
                    record.line(&format!("send    {attempt} to entry {at}"));
                    let status = request(front, "/desk/x", "key-kept", &attempt, Duration::from_millis(600));
                    record.line(&format!("answer  {attempt} {status}"));
                    sleep_ms(20);
                }
            }));
        }
    }
    // The worker's machine has just started, and its time of day is two seconds ahead.
    let ahead = if has_trouble { 2000 } else { 0 };
    let first_born = unix_ms() + ahead;
    let first = Worker::start("i-desk2", address(2), record, &runs)?;
    record.say(&format!("worker i-desk2 starts, born {first_born}"));
    let beats = beat(&system.store, &first, "desk", "zone-a", first_born);
    sleep_ms(800);
    record.say("worker i-desk2 crashes");
    beats.store(false, Ordering::SeqCst);
    first.end();
    sleep_ms(500);
    // The time of day has been set right meanwhile.
    let second_born = unix_ms();
    let second = Worker::start("i-desk2", address(2), record, &runs)?;
    record.say(&format!("worker i-desk2 starts again under its id, born {second_born}"));
    let beats = beat(&system.store, &second, "desk", "zone-a", second_born);
    sleep_ms(9000);
    beats.store(false, Ordering::SeqCst);
    sleep_ms(30);
    second.is_leaving.store(true, Ordering::SeqCst);
    system.store.put(
        "servers",
        "i-desk2",
        Some(&second.entry("desk", "zone-a", "draining", 1000, second_born)),
    );
    let confirmed = record.now();
    record.say("the store confirms that worker i-desk2 is draining");
    // It serves for drain_ms and some seconds more.
    sleep_ms(8000);
    system.store.put("servers", "i-desk2", None);
    record.say("worker i-desk2 ends");
    second.end();
    sleep_ms(1000);
    goes_on.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    system.keep_logs(path);
    let late: Vec<Run> = lock(&runs)
        .iter()
        .filter(|run| run.worker == "i-desk2" && run.at > confirmed + DRAIN)
        .cloned()
        .collect();
    for run in &late {
        let after = (run.at - confirmed).as_millis();
        record.line_at(run.at, &format!("BROKEN  {} reached i-desk2 {after} ms after the confirmation", run.attempt));
    }
    let before = lock(&runs).iter().filter(|run| run.worker == "i-desk2" && run.at <= confirmed).count();
    record.say(&format!(
        "requests that reached the draining worker later than 2,000 ms after the confirmation: {}, the last {} ms after it; before the confirmation {before}",
        late.len(),
        late.last().map_or(0, |run| (run.at - confirmed).as_millis())
    ));
    Ok(if late.is_empty() { HOLDS } else { BROKEN })
}

// ---------------------------------------------------------------------------------------------
// A worker with an engine, and the origin of weights
// ---------------------------------------------------------------------------------------------

const MODEL: &str = "m0";
const LAYERS: u64 = 16;
const CHUNKS: u64 = 96;
const CHUNK_BYTES: u64 = 24_576;
/// The origin's link, in bits per millisecond.
const ORIGIN_BITS_PER_MS: u64 = 4380;
const WARM: Duration = Duration::from_millis(300);
const EVENTS: u64 = 14;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

fn chunk_bytes(version: u64, index: u64) -> Vec<u8> {
    let mut state = version * 1_000_003 + index * 7919 + 1;
    let mut bytes = Vec::new();
    while (bytes.len() as u64) < CHUNK_BYTES {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bytes.extend_from_slice(&state.to_be_bytes());
    }
    bytes
}

fn sha256(bytes: &[u8]) -> String {
    // The constants are the fractions of the roots of the first primes.
    let primes: Vec<u64> = (2..).filter(|it| (2..*it).take_while(|by| by * by <= *it).all(|by| it % by != 0)).take(64).collect();
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let constants: Vec<u32> = primes.iter().map(|it| fraction(cube_root(*it))).collect();
    let mut hash: Vec<u32> = primes[..8].iter().map(|it| fraction((*it as f64).sqrt())).collect();
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words: Vec<u32> =
            block.chunks(4).map(|it| u32::from_be_bytes([it[0], it[1], it[2], it[3]])).collect();
        for at in 16..64 {
            let (early, late) = (words[at - 15], words[at - 2]);
            let first = early.rotate_right(7) ^ early.rotate_right(18) ^ (early >> 3);
            let second = late.rotate_right(17) ^ late.rotate_right(19) ^ (late >> 10);
            words.push(words[at - 16].wrapping_add(first).wrapping_add(words[at - 7]).wrapping_add(second));
        }
        let mut it = hash.clone();
        for at in 0..64 {
            let high = it[4].rotate_right(6) ^ it[4].rotate_right(11) ^ it[4].rotate_right(25);
            let choice = (it[4] & it[5]) ^ (!it[4] & it[6]);
            let first = it[7].wrapping_add(high).wrapping_add(choice).wrapping_add(constants[at]).wrapping_add(words[at]);
            let low = it[0].rotate_right(2) ^ it[0].rotate_right(13) ^ it[0].rotate_right(22);
            let second = low.wrapping_add((it[0] & it[1]) ^ (it[0] & it[2]) ^ (it[1] & it[2]));
            it.rotate_right(1);
            it[4] = it[4].wrapping_add(first);
            it[0] = first.wrapping_add(second);
        }
        for (sum, part) in hash.iter_mut().zip(it) {
            *sum = sum.wrapping_add(part);
        }
    }
    hash.iter().map(|word| format!("{word:08x}")).collect()
}

/// The cube root of a small number, exact enough for 32 bits of its fraction.
fn cube_root(number: u64) -> f64 {
    let mut root = (number as f64).cbrt();
    for _ in 0..3 {
        root -= (root * root * root - number as f64) / (3.0 * root * root);
    }
    root
}

fn answer(stream: &TcpStream, status: &str, fields: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&mut &*stream).write_all(&bytes).is_ok()
}

fn query_of(head: &Head) -> (String, String, HashMap<String, String>) {
    let mut words = head.line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decoded(value)));
    (method.to_owned(), path.to_owned(), query.collect())
}

fn start_origin(address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let link = Arc::new(Mutex::new(()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Ok(Some(head)) = Head::read(&mut reader) {
                    if head.body(&mut reader).is_err() {
                        return;
                    }
                    let (_, path, query) = query_of(&head);
                    let number = |name: &str| query.get(name).and_then(|it| it.parse().ok()).unwrap_or(1);
                    let version = number("version");
                    let body = if path.starts_with("/v1/manifest/") {
                        let digests: Vec<String> =
                            (0..CHUNKS).map(|index| quoted(&sha256(&chunk_bytes(version, index)))).collect();
                        format!(
                            "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\"layers\":{LAYERS},\"digests\":[{}]}}",
                            digests.join(",")
                        )
                        .into_bytes()
                    } else {
                        chunk_bytes(version, number("item_count"))
                    };
                    {
                        let _link = lock(&link);
                        sleep_ms(body.len() as u64 * 8 / ORIGIN_BITS_PER_MS);
                    }
                    if !answer(&stream, "200 OK", "", &body) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

#[derive(Clone)]
struct EngineState {
    /// The loaded layers and their version.
    loaded: Option<(u64, u64, u64)>,
    sequence: u64,
    busy: bool,
    staged: BTreeMap<u64, Vec<u8>>,
    active: u64,
}

/// A worker with an engine. It loads what is staged when it accepts an order.
#[derive(Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
    record: Record,
    /// Runs with the version on which each began.
    begun: Arc<Mutex<Vec<(Run, u64)>>>,
}

impl Engine {
    fn start(id: &str, address: SocketAddr, record: &Record, begun: &Arc<Mutex<Vec<(Run, u64)>>>) -> io::Result<Engine> {
        let listener = TcpListener::bind(address)?;
        let staged = (0..CHUNKS).map(|index| (index, chunk_bytes(1, index))).collect();
        let state = EngineState { loaded: Some((0, LAYERS, 1)), sequence: 0, busy: false, staged, active: 0 };
        let engine = Engine {
            id: id.to_owned(),
            address,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            begun: begun.clone(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = shared.clone();
                thread::spawn(move || engine.serve(&stream));
            }
        });
        Ok(engine)
    }

    fn holdings(&self) -> String {
        match lock(&self.state).loaded {
            Some((from, to, version)) => format!(
                "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\"layers\":{{\"from\":{from},\"to\":{to},\"version\":{version}}}"
            ),
            None => "\"models\":[],\"layers\":null".to_owned(),
        }
    }

    fn entry(&self, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"stage\":\"both\",{},\"sequence\":{sequence}}}",
            self.address,
            self.holdings()
        )
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(body) = head.body(&mut reader) else { return };
            let (method, path, query) = query_of(&head);
            let index = query.get("item_count").and_then(|it| it.parse::<u64>().ok());
            let goes_on = match (&*method, &*path) {
                ("GET", "/v1/report") => {
                    let holdings = self.holdings();
                    let state = lock(&self.state).clone();
                    let text = format!(
                        "{{\"stage\":\"both\",{holdings},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":1180000,\"handles\":0,\"pace\":1.0}}",
                        state.busy, state.sequence, state.active
                    );
                    answer(stream, "200 OK", "Content-Type: application/json\r\n", text.as_bytes())
                }
                ("PUT", path) if path.starts_with("/v1/stage-put/") => {
                    lock(&self.state).staged.insert(index.unwrap_or(0), body);
                    answer(stream, "200 OK", "", b"{}")
                }
                ("GET", path) if path.starts_with("/v1/stage-get/") => {
                    let state = lock(&self.state).clone();
                    match index {
                        Some(index) => match state.staged.get(&index) {
                            Some(bytes) => answer(stream, "200 OK", "", bytes),
                            None => answer(stream, "404 Not Found", "", b""),
                        },
                        None => {
                            let held: Vec<String> = state.staged.keys().map(u64::to_string).collect();
                            answer(stream, "200 OK", "", format!("{{\"held\":[{}]}}", held.join(",")).as_bytes())
                        }
                    }
                }
                ("POST", "/v1/order") => self.order(stream, &body),
                _ => self.run(stream, &head),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn order(&self, stream: &TcpStream, body: &[u8]) -> bool {
        let Some(order) = Json::parse(&String::from_utf8_lossy(body)) else {
            return answer(stream, "400 Bad Request", "", b"");
        };
        {
            let mut state = lock(&self.state);
            if state.busy || order.number("precondition") != state.sequence {
                drop(state);
                return answer(stream, "409 Conflict", "", b"{}");
            }
            state.sequence += 1;
            state.busy = true;
            state.loaded = None;
        }
        let (version, engine) = (order.number("version"), self.clone());
        let from = order.number("from");
        let to = if order.get("to").is_some() { order.number("to") } else { LAYERS };
        self.record.line(&format!("order   {} loads version {version}, layers {from} to {to}", self.id));
        thread::spawn(move || {
            thread::sleep(WARM);
            let mut state = lock(&engine.state);
            state.busy = false;
            state.loaded = Some((from, to, version));
            drop(state);
            engine.record.line(&format!("loaded  {} has version {version}", engine.id));
        });
        answer(stream, "202 Accepted", "", b"{}")
    }

    fn run(&self, stream: &TcpStream, head: &Head) -> bool {
        let attempt = head.field("savoryswitch-attempt-id").unwrap_or("").to_owned();
        let own = format!("Savoryswitch-Attempt-Id: {attempt}\r\nSavoryswitch-Instance-Id: {}\r\n", self.id);
        let not_run = format!("{own}Savoryswitch-Not-Executed: 1\r\n");
        if head.field("savoryswitch-target-instance").is_some_and(|it| it != self.id) {
            return answer(stream, "421 Misdirected Request", &not_run, b"");
        }
        let version = {
            let mut state = lock(&self.state);
            match state.loaded {
                Some((0, LAYERS, version)) if !state.busy => {
                    let expected = head.field("savoryswitch-expected-version").and_then(|it| it.parse::<u64>().ok());
                    if expected.is_some_and(|expected| expected != version) {
                        drop(state);
                        return answer(stream, "421 Misdirected Request", &not_run, b"");
                    }
                    state.active += 1;
                    version
                }
                _ => {
                    drop(state);
                    return answer(stream, "503 Service Unavailable", &not_run, b"");
                }
            }
        };
        let at = self.record.now();
        self.record.line_at(at, &format!("run     {attempt} at {} on version {version}", self.id));
        lock(&self.begun).push((Run { at, worker: self.id.clone(), attempt: attempt.clone() }, version));
        let first: u64 = head.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0) + 1;
        let mut open = (&mut &*stream)
            .write_all(
                format!(
                    "HTTP/1.1 200 OK\r\n{own}Savoryswitch-Response-Seal: seal.{attempt}\r\nSavoryswitch-Weight-Versions: {version}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                .as_bytes(),
            )
            .is_ok();
        for event in first..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            open = open && (&mut &*stream).write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok();
            if !open {
                break;
            }
        }
        lock(&self.state).active -= 1;
        open && (&mut &*stream).write_all(b"0\r\n\r\n").is_ok()
    }
}

/// A stream; returns the status, 0 for none, and whether its end came.
fn stream_request(front: SocketAddr, attempt: &str) -> (u16, bool) {
    let ask = || -> io::Result<(u16, bool)> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(2500)))?;
        let text = format!(
            "POST /talk/x HTTP/1.1\r\nHost: desk.example\r\nSavoryswitch-Attempt-Id: {attempt}\r\n\
             Savoryswitch-Deadline-Ms: 6000\r\nSavoryswitch-Model: {MODEL}\r\nSavoryswitch-Token-Usage: 600,80\r\n\
             Savoryswitch-Prompt-Prefix: 5c1e07a2:40,{:x}:560\r\nAuthorization: Bearer key-kept\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi",
            attempt.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte))
        );
        (&mut &stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(&stream);
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        Ok((status, head.body(&mut reader).is_ok()))
    };
    ask().unwrap_or((0, false))
}

// ---------------------------------------------------------------------------------------------
// Scenario: all processes are killed between a naming of weights and its bound
// ---------------------------------------------------------------------------------------------

/// The figures of the sheets with the longer bound.
const VERSION_BOUND: Duration = Duration::from_millis(13_400);
const LONG_CONTACT: Duration = Duration::from_millis(4000);
const KILLED_AFTER: Duration = Duration::from_millis(8600);
const DOWN: Duration = Duration::from_millis(900);
const ENGINES: u8 = 6;

fn naming(record: &Record, path: &Path, has_trouble: bool) -> io::Result<i32> {
    let mut system = System::start(&[("zone-a", 2), ("zone-b", 1)], LONG_BOUNDS, record)?;
    let origin = SocketAddr::from((ip(system.net, 5, 100), 8006));
    start_origin(origin)?;
    let manifest = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-talk\",\"host\":\"desk.example\",\"prefix\":\"/talk/\",\"kind\":\"streaming\",\
         \"timeout_ms\":6000,\"target_latency_ms\":400,\"gap_target_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":true,\"stream_resume\":true}}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\
         \"max_connections\":558,\"engine\":{{\"slots\":12,\"kv_capacity_tokens\":1180000,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\
         \"load_s\":4.0,\"warm_s\":0.3}}],\"step_ms\":8.87,\"per_seq_ms\":0.0388,\"read_per_s\":19100.0,\"usual\":{{\"prompt\":977,\
         \"answer\":94}},\"layers\":{LAYERS},\"chunks\":{CHUNKS},\"chunk_bytes\":{CHUNK_BYTES}}}}},{{\"name\":\"weights\",\
         \"origin\":\"{origin}\",\"link_mbps\":4.38,\"max_connections\":48}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":60000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-kept\"]}}]}}"
    );
    system.store.put("op", "config", Some(&manifest));
    let begun: Arc<Mutex<Vec<(Run, u64)>>> = Arc::default();
    for number in 1..=ENGINES {
        let zone = if number % 2 == 1 { "zone-a" } else { "zone-b" };
        let host = ip(system.net, 6, number);
        let engine = Engine::start(&format!("i-llm{number}"), (host, APP_PORT).into(), record, &begun)?;
        system.add_host(zone, host, record)?;
        let store = system.store.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                store.put("servers", &engine.id, Some(&engine.entry(zone, sequence)));
                let told = engine.holdings();
                let until = Instant::now() + HEARTBEAT;
                while Instant::now() < until && engine.holdings() == told {
                    sleep_ms(20);
                }
            }
        });
    }
    if !system.await_ready(Duration::from_secs(15)) {
        record.say("the entry hosts are not ready");
        return Ok(NOT_RUN);
    }
    sleep_ms(4000);
    let goes_on = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for (at, entry) in system.entries.iter().enumerate() {
        for client in 0..6 {
            let (front, record, goes_on) = (entry.front(), record.clone(), goes_on.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while goes_on.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("c{at}.{client}n{number}");
                    record.line(&format!("send    {attempt} to entry {at}"));
                    let (status, is_whole) = stream_request(front, &attempt);
                    record.line(&format!("answer  {attempt} {status} whole {is_whole}"));
                    sleep_ms(if status == 200 { 100 } else { 250 });
                }
            }));
        }
    }
    sleep_ms(2000);
    system.store.put("op", &format!("version/{MODEL}"), Some(&format!("{{\"model\":\"{MODEL}\",\"version\":2}}")));
    let named = record.now();
    record.say("the store confirms the naming of version 2");
    let mut restarted = Duration::ZERO;
    if has_trouble {
        while record.now() < named + KILLED_AFTER {
            sleep_ms(2);
        }
        record.say("all processes of the system are killed");
        system.kill_all();
        thread::sleep(DOWN);
        system.restart_all(record)?;
        restarted = record.now();
        record.say("all processes of the system have been started again");
    }
    while record.now() < named + VERSION_BOUND + Duration::from_millis(8000) {
        sleep_ms(10);
    }
    goes_on.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    system.keep_logs(path);
    let in_touch = restarted + if has_trouble { LONG_CONTACT } else { Duration::ZERO };
    let (mut late, mut last, mut after) = (0, Duration::ZERO, 0);
    for (run, version) in lock(&begun).iter() {
        if run.at <= named + VERSION_BOUND || run.at <= in_touch {
            continue;
        }
        after += 1;
        if *version < 2 {
            late += 1;
            last = last.max(run.at - named);
            record.line_at(
                run.at,
                &format!("BROKEN  {} began at {} on version {version}, {} ms after version 2 was confirmed", run.attempt, run.worker,
                    (run.at - named).as_millis()),
            );
        }
    }
    record.say(&format!(
        "requests that began on version 1 later than 13,400 ms after the naming, by machines in touch: {late} of {after}, the last {} ms after it",
        last.as_millis()
    ));
    Ok(if late > 0 { BROKEN } else { HOLDS })
}

// ---------------------------------------------------------------------------------------------
// Scenario: answers that their clients read slowly
// ---------------------------------------------------------------------------------------------

const MEMORY: u64 = 260_000_000;
const LONG_ANSWER: usize = 3_200_000;
const SHORT_ANSWER: usize = 800;
/// 33 downloads a second at each entry host, for 3 s.
const DOWNLOADS: u64 = 99;
const DOWNLOAD_GAP: Duration = Duration::from_millis(30);
/// How long a client reads, evenly.
const READ_SPAN: Duration = Duration::from_millis(5000);
const CALLERS: usize = 12;

/// Reads an answer evenly; returns how much of its body came, and its length.
fn download(front: SocketAddr, length: usize, attempt: &str) -> (usize, usize) {
    let mut got = 0;
    let mut ask = || -> io::Result<usize> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(6000)))?;
        let text = format!(
            "GET /desk/long/{length} HTTP/1.1\r\nHost: desk.example\r\nSavoryswitch-Attempt-Id: {attempt}\r\n\
             Savoryswitch-Deadline-Ms: 6000\r\nAuthorization: Bearer key-kept\r\nConnection: close\r\n\r\n"
        );
        (&mut &stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::with_capacity(8 * 1024, &stream);
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !head.line.contains(" 200") {
            return Ok(0);
        }
        let whole: usize = head.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let began = Instant::now();
        let mut part = vec![0; 64 * 1024];
        while got < whole {
            let due = READ_SPAN.mul_f64(got as f64 / whole as f64);
            thread::sleep(due.saturating_sub(began.elapsed()));
            let read = reader.read(&mut part)?;
            if read == 0 {
                break;
            }
            got += read;
        }
        Ok(whole)
    };
    let whole = ask().unwrap_or(usize::MAX);
    (got, whole)
}

/// Bytes that a process has resident.
fn resident(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// One call after the other on a kept channel. Returns the attempts whose channel closed without an
/// answer.
fn call_on_kept_channel(front: SocketAddr, name: &str, goes_on: &AtomicBool, record: &Record) -> Vec<String> {
    let mut lost = Vec::new();
    let mut number = 0;
    while goes_on.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            sleep_ms(50);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(3000)));
        let mut reader = BufReader::new(&stream);
        while goes_on.load(Ordering::SeqCst) {
            number += 1;
            let attempt = format!("{name}n{number}");
            record.line(&format!("send    {attempt}"));
            let text = format!(
                "POST /call/x HTTP/1.1\r\nHost: desk.example\r\nSavoryswitch-Attempt-Id: {attempt}\r\n\
                 Savoryswitch-Deadline-Ms: 2500\r\nAuthorization: Bearer key-kept\r\nContent-Length: 2\r\n\r\nhi"
            );
            if (&mut &stream).write_all(text.as_bytes()).is_err() {
                break;
            }
            let head = Head::read(&mut reader);
            let body = match &head {
                Ok(Some(head)) => head.body(&mut reader).is_ok(),
                _ => false,
            };
            let status = head.ok().flatten().map(|head| head.line).unwrap_or_default();
            record.line(&format!("answer  {attempt} {status:?} whole {body}"));
            if !body {
                lost.push(attempt);
                break;
            }
            if !status.contains(" 200") {
                sleep_ms(100);
            }
        }
    }
    lost
}

fn answers(record: &Record, path: &Path, has_trouble: bool) -> io::Result<i32> {
    let system = System::start(&[("zone-a", 2)], SHORT_BOUNDS, record)?;
    let runs: Runs = Arc::default();
    let route = |name: &str, kind: &str, timeout: u64| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\
             \"target_latency_ms\":1000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    let manifest = format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":264}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":60000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-kept\"]}}]}}",
        route("desk", "idempotent", 6000),
        route("call", "non_idempotent", 3000)
    );
    system.store.put("op", "config", Some(&manifest));
    let mut workers = Vec::new();
    for number in 1..=6 {
        let worker = Worker::start(&format!("i-desk{number}"), (ip(system.net, 5, number), APP_PORT).into(), record, &runs)?;
        beat(&system.store, &worker, "desk", "zone-a", unix_ms());
        workers.push(worker);
    }
    if !system.await_ready(Duration::from_secs(15)) {
        record.say("the entry hosts are not ready");
        return Ok(NOT_RUN);
    }
    sleep_ms(3000);
    let fronts: Vec<SocketAddr> = system.entries.iter().map(Entry::front).collect();
    let goes_on = Arc::new(AtomicBool::new(true));
    let mut callers = Vec::new();
    for (at, front) in fronts.iter().enumerate() {
        for caller in 0..CALLERS {
            let (front, goes_on, record) = (*front, goes_on.clone(), record.clone());
            callers.push(thread::spawn(move || {
                call_on_kept_channel(front, &format!("k{at}.{caller}"), &goes_on, &record)
            }));
        }
    }
    // The platform: ends a process that holds more than memory_mb, and starts it again.
    let ids: Vec<u32> = system.entries.iter().map(|entry| entry.process.child.id()).collect();
    let system = Arc::new(Mutex::new(system));
    let watched = system.clone();
    let (watch_on, watch_record) = (goes_on.clone(), record.clone());
    let platform = thread::spawn(move || {
        let mut kills = 0;
        let mut peaks = vec![0; ids.len()];
        while watch_on.load(Ordering::SeqCst) {
            let mut system = lock(&watched);
            for (at, entry) in system.entries.iter_mut().enumerate() {
                let held = resident(entry.process.child.id());
                peaks[at] = peaks[at].max(held);
                if held > MEMORY {
                    watch_record.say(&format!("entry {at} holds {held} bytes; the platform kills it"));
                    entry.process.kill();
                    kills += 1;
                    sleep_ms(500);
                    let _ = entry.process.restart();
                }
            }
            drop(system);
            sleep_ms(20);
        }
        (kills, peaks)
    });
    sleep_ms(2000);
    let length = if has_trouble { LONG_ANSWER } else { SHORT_ANSWER };
    record.say(&format!("{DOWNLOADS} downloads of {length} bytes begin at each entry host"));
    let mut downloads = Vec::new();
    let began = Instant::now();
    for number in 0..DOWNLOADS {
        let due = began + DOWNLOAD_GAP * u32::try_from(number).unwrap_or(0);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        for (at, front) in fronts.iter().enumerate() {
            let (front, record) = (*front, record.clone());
            downloads.push(thread::spawn(move || {
                let attempt = format!("d{at}n{number}");
                record.line(&format!("send    {attempt}"));
                let (got, whole) = download(front, length, &attempt);
                record.line(&format!("answer  {attempt} {got} bytes of {whole}"));
                got == whole && got > 0
            }));
        }
    }
    let served = downloads.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    sleep_ms(3000);
    goes_on.store(false, Ordering::SeqCst);
    let mut closed = Vec::new();
    for caller in callers {
        closed.extend(caller.join().unwrap_or_default());
    }
    let (kills, peaks) = platform.join().unwrap_or_default();
    lock(&system).keep_logs(path);
    let ran: HashMap<String, Duration> = lock(&runs).iter().map(|run| (run.attempt.clone(), run.at)).collect();
    let lost: Vec<&String> = closed.iter().filter(|attempt| ran.contains_key(*attempt)).collect();
    for attempt in &lost {
        record.line(&format!("BROKEN  {attempt} was begun by a sound worker, and its kept channel closed without an answer"));
    }
    record.say(&format!(
        "calls of kept channels that sound workers had begun and that got no answer: {} (3 are allowed); processes killed for their memory: {kills}; resident at most {peaks:?}; downloads served {served} of {}",
        lost.len(),
        DOWNLOADS * 2
    ));
    drop(workers);
    Ok(if lost.len() > 3 { BROKEN } else { HOLDS })
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let [_, scenario, path] = &words[..] else {
        eprintln!("usage: review-2 SCENARIO RECORD");
        std::process::exit(NOT_RUN);
    };
    let path = PathBuf::from(path);
    let record = match Record::new(&path) {
        Ok(record) => record,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            std::process::exit(NOT_RUN);
        }
    };
    record.say(&format!("scenario {scenario}, disruption {has_trouble}"));
    let ended = match &**scenario {
        "follow" => follow(&record, &path, has_trouble),
        "born" => born(&record, &path, has_trouble),
        "answers" => answers(&record, &path, has_trouble),
        "naming" => naming(&record, &path, has_trouble),
        other => {
            eprintln!("unknown scenario {other}");
            Ok(NOT_RUN)
        }
    };
    let code = ended.unwrap_or_else(|fault| {
        record.say(&format!("the case could not run: {fault}"));
        NOT_RUN
    });
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
