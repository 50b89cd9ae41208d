//! The system under the soak: stand-ins of the platform in this process, the daemons as processes of
//! their own, and a proxy on each link that is disturbed.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::fault_plan::{LinkFault, PartCounts, PlannedDeed, SoakDeed};
use super::fault_proxy::{FaultProxy, HostCalls, LinkRule};
use super::operator_desk::OperatorDesk;
use super::process_slot::ProcessSlot;
use super::run_journal::{DeedRecord, PlannedWork, RunJournal, SoakPart, WorkRecord};
use super::soak_client::EntryDoor;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::launch::LaunchSpec;
use crate::platform::{
    EngineLoad, FakeBackend, FakeBackendConfig, FakeEngine, FakeOrigin, FakeStore,
    ProcessAddresses, RunEvent, SETTINGS_PATH_VARIABLE, StagedAfterRestart, StartTimeField,
    StoreFault, settings_text,
};
use crate::time::clock_now;

/// The least number of backend servers without an engine.
const PLAIN_LEAST: usize = 3;
/// Engines for each backend server without one in larger systems, whose clients are more.
const ENGINES_A_PLAIN: usize = 4;
/// How long an engine takes to load weights.
const LOAD_SPAN: Duration = Duration::from_millis(800);
/// How long behind a crash the platform takes a backend server's entry away: three heartbeats.
const LAPSE_SPAN: Duration = Duration::from_millis(3600);
/// How long the whole system may take to serve.
const READY_WITHIN: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(100);
const FIRST_BACKEND_IP: u8 = 70;
const FIRST_ENTRY_IP: u8 = 10;
/// Ports of the proxies to the store: one for each entry host, then one for all hosts of engines.
const STORE_PORT: u16 = 9000;
const METRICS_PORT: &str = "9464";

/// The system.
pub(super) struct SoakSystem {
    pub(super) counts: PartCounts,
    /// The entry hosts as clients see them, and where they are asked whether they are ready.
    pub(super) doors: Vec<(EntryDoor, SocketAddr)>,
    store: FakeStore,
    origin: FakeOrigin,
    desk: Mutex<OperatorDesk>,
    store_links: Vec<FaultProxy>,
    backends: Vec<FakeBackend>,
    backend_links: Vec<FaultProxy>,
    entries: Vec<ProcessSlot>,
    hosts: Vec<ProcessSlot>,
    journal: RunJournal,
    folder: SettingsFolder,
}

/// The temporary folder of the settings files; it goes with the run.
struct SettingsFolder(PathBuf);

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        // A folder that is left behind harms nobody.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl SoakSystem {
    /// Starts a system of `processes` daemons, and returns once it can serve.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when a part cannot be started, `Internal` when it does not come to serve.
    pub(super) async fn start(
        processes: usize,
        load: EngineLoad,
        journal: RunJournal,
    ) -> SwitchResult<Arc<Self>> {
        let entries = (processes / 3).max(2);
        let hosts = processes - entries;
        let store = FakeStore::start().await;
        let origin = FakeOrigin::start().await;
        let desk = OperatorDesk::open(store.clone(), origin.address, journal.clone());
        let counts = PartCounts {
            entries,
            hosts,
            backends: hosts + PLAIN_LEAST.max(hosts / ENGINES_A_PLAIN),
        };
        let mut system = Self {
            counts,
            doors: Vec::new(),
            store,
            origin,
            desk: Mutex::new(desk),
            store_links: Vec::new(),
            backends: Vec::new(),
            backend_links: Vec::new(),
            entries: Vec::new(),
            hosts: Vec::new(),
            folder: settings_folder()?,
            journal,
        };
        system.start_backends(load).await?;
        system.start_daemons().await?;
        system.await_ready().await?;
        Ok(Arc::new(system))
    }

    async fn start_backends(&mut self, load: EngineLoad) -> SwitchResult<()> {
        let sightings = self.gather_sightings();
        for number in 0..self.counts.backends {
            let is_engine = number < self.counts.hosts;
            let engine = is_engine.then(|| FakeEngine::new(StartTimeField::Present, LOAD_SPAN));
            let ip = address_of(FIRST_BACKEND_IP, number);
            let place = FakeBackendConfig {
                number,
                advertised_address: SocketAddr::from((ip, 8080)),
                listen_address: SocketAddr::from((ip, 8081)),
                load,
            };
            let started = FakeBackend::start(place, engine, &self.store, sightings.clone());
            self.backends.push(started.await?);
            let calls = if is_engine {
                HostCalls::Spared
            } else {
                HostCalls::Absent
            };
            let link =
                FaultProxy::start(place.advertised_address, place.listen_address, calls).await?;
            self.backend_links.push(link);
        }
        Ok(())
    }

    /// Takes down what backend servers run.
    fn gather_sightings(&self) -> UnboundedSender<RunEvent> {
        let (sender, mut words) = unbounded_channel();
        let journal = self.journal.clone();
        tokio::spawn(async move {
            while let Some(word) = words.recv().await {
                journal.note_run(word);
            }
        });
        sender
    }

    async fn start_daemons(&mut self) -> SwitchResult<()> {
        let control = |entry| SocketAddr::from((address_of(FIRST_ENTRY_IP, entry), 8000));
        let seeds: Vec<SocketAddr> = (0..self.counts.entries.min(3)).map(control).collect();
        for number in 0..=self.counts.entries {
            let at = SocketAddr::from((address_of(1, 0), store_port(number)));
            let link = FaultProxy::start(at, self.store.address, HostCalls::Absent).await?;
            self.store_links.push(link);
        }
        for number in 0..self.counts.entries {
            let ip = address_of(FIRST_ENTRY_IP, number);
            let [callers, ready] = [8005, 8002].map(|port| SocketAddr::from((ip, port)));
            let place = ProcessAddresses {
                host: format!("entry-{number}"),
                ip: ip.into(),
                store: SocketAddr::from((address_of(1, 0), store_port(number))),
                seeds: seeds.clone(),
                engine: None,
                listen: Some([callers, ready, control(number)]),
            };
            self.entries
                .push(self.start_daemon("savory-entry", &place)?);
            let is_in = Arc::new(AtomicBool::new(false));
            self.doors.push((EntryDoor { callers, is_in }, ready));
        }
        for number in 0..self.counts.hosts {
            let ip = address_of(FIRST_BACKEND_IP, number);
            let place = ProcessAddresses {
                host: format!("host-{number}"),
                ip: ip.into(),
                store: SocketAddr::from((address_of(1, 0), store_port(self.counts.entries))),
                seeds: seeds.clone(),
                engine: Some(SocketAddr::from((ip, 8080))),
                listen: None,
            };
            self.hosts.push(self.start_daemon("savory-host", &place)?);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        program: &'static str,
        place: &ProcessAddresses,
    ) -> SwitchResult<ProcessSlot> {
        let path = self.folder.0.join(format!("{}.toml", place.host));
        std::fs::write(&path, settings_text(place)).map_err(|fault| failed(&fault))?;
        let order = LaunchSpec::new(program, &place.host)
            .argument("platform")
            .setting("metrics-port", METRICS_PORT)
            .variable(SETTINGS_PATH_VARIABLE, path.to_string_lossy());
        ProcessSlot::start(order, &self.journal)
    }

    async fn await_ready(&self) -> SwitchResult<()> {
        let ready = async {
            let engines = &self.backends[..self.counts.hosts];
            while engines.iter().any(|engine| engine.held().is_none()) {
                sleep(READY_PAUSE).await;
            }
        };
        timeout(READY_WITHIN, ready).await.map_err(|_| {
            let detail = format!("not every engine holds weights within {READY_WITHIN:?}");
            SwitchError::new(ErrorKind::Internal, detail)
        })
    }

    /// Does `planned`, and returns when it is over.
    pub(super) async fn carry_out(&self, planned: &PlannedDeed) {
        let (deed, span) = (planned.deed, planned.span);
        let now = clock_now();
        let number = self.journal.begin_deed(DeedRecord {
            parts: parts_of(deed),
            text: format!("{deed:?} for {span:?}"),
            is_planned: matches!(deed, SoakDeed::Stop(_) | SoakDeed::Reload(_)),
            begun: now,
            ended: None,
        });
        if let Some(work) = work_of(deed) {
            let (sent, confirmed) = (now, now);
            self.journal.note_work(WorkRecord {
                work,
                sent,
                confirmed,
            });
        }
        match deed {
            SoakDeed::Freeze(part) => self.process(part).freeze(span).await,
            SoakDeed::Kill(part) => self.process(part).kill(span).await,
            SoakDeed::Stop(part) => self.process(part).stop().await,
            SoakDeed::Reload(part) => self.process(part).reload().await,
            SoakDeed::Stall => self.stall(span).await,
            SoakDeed::Crash(backend) => self.crash(backend, span).await,
            SoakDeed::Link(part, fault) => disturb_link(self.link(part), fault, span).await,
            SoakDeed::StoreDown => self.trouble_store(StoreFault::Down, span).await,
            SoakDeed::StoreSlow(delay) => {
                self.trouble_store(StoreFault::Slow(delay), span).await;
            }
            SoakDeed::StoreSilent => self.trouble_store(StoreFault::DropsResponses, span).await,
            SoakDeed::OriginDown => {
                self.origin.limit_chunks(self.origin.chunks_served());
                sleep(span).await;
                self.origin.limit_chunks(usize::MAX);
            }
            SoakDeed::Documents(count) => self.desk.lock().await.write_documents(count),
            SoakDeed::NameVersion => self.desk.lock().await.name_version(),
            SoakDeed::AddKey => self.desk.lock().await.add_key(),
            SoakDeed::RevokeKey => self.desk.lock().await.revoke_key(),
        }
        self.journal.end_deed(number, clock_now());
    }

    /// The logs of all daemons.
    pub(super) async fn logs(&self) -> Vec<(String, String)> {
        let mut logs = Vec::new();
        for slot in self.entries.iter().chain(&self.hosts) {
            logs.push(slot.log().await);
        }
        logs
    }

    fn process(&self, part: SoakPart) -> &ProcessSlot {
        match part {
            SoakPart::Entry(number) => &self.entries[number],
            SoakPart::Host(number) => &self.hosts[number],
            SoakPart::Store | SoakPart::Backend(_) => unreachable!("it is no process"),
        }
    }

    fn link(&self, part: SoakPart) -> &FaultProxy {
        match part {
            SoakPart::Entry(number) => &self.store_links[number],
            SoakPart::Backend(number) => &self.backend_links[number],
            SoakPart::Store | SoakPart::Host(_) => unreachable!("it has no link of its own"),
        }
    }

    async fn crash(&self, number: usize, span: Duration) {
        let (backend, link) = (&self.backends[number], &self.backend_links[number]);
        backend.crash();
        link.change(|rule| rule.is_down = true);
        sleep(span.min(LAPSE_SPAN)).await;
        if span > LAPSE_SPAN {
            backend.remove_entry();
            sleep(span.saturating_sub(LAPSE_SPAN)).await;
        }
        backend.restart(StagedAfterRestart::Kept);
        link.change(|rule| rule.is_down = false);
    }

    async fn stall(&self, span: Duration) {
        let stall = |is_stalled| self.backends.iter().for_each(|it| it.stall(is_stalled));
        stall(true);
        sleep(span).await;
        stall(false);
    }

    async fn trouble_store(&self, trouble: StoreFault, span: Duration) {
        self.store.set_fault(trouble);
        sleep(span).await;
        self.store.set_fault(StoreFault::None);
    }
}

async fn disturb_link(link: &FaultProxy, fault: LinkFault, span: Duration) {
    match fault {
        LinkFault::Delay(delay) => link.change(|rule| rule.delay = delay),
        LinkFault::Reset => return link.reset_open(),
        LinkFault::CutCalls => link.change(|rule| rule.holds_calls = true),
        LinkFault::CutAnswers => link.change(|rule| rule.holds_answers = true),
        LinkFault::Silence => return link.silence_open(),
    }
    sleep(span).await;
    link.change(|rule| match fault {
        LinkFault::Delay(_) => rule.delay = LinkRule::default().delay,
        LinkFault::CutCalls => rule.holds_calls = false,
        LinkFault::CutAnswers => rule.holds_answers = false,
        LinkFault::Reset | LinkFault::Silence => {}
    });
}

/// What a deed disturbs.
fn parts_of(deed: SoakDeed) -> Vec<SoakPart> {
    match deed {
        SoakDeed::Freeze(part)
        | SoakDeed::Kill(part)
        | SoakDeed::Stop(part)
        | SoakDeed::Link(part, _) => vec![part],
        SoakDeed::Crash(number) => vec![SoakPart::Backend(number)],
        SoakDeed::StoreDown | SoakDeed::StoreSlow(_) | SoakDeed::StoreSilent => {
            vec![SoakPart::Store]
        }
        // No bound waits for the origin, changes disturb nothing, and engines that pause are no fault.
        SoakDeed::OriginDown
        | SoakDeed::Stall
        | SoakDeed::Reload(_)
        | SoakDeed::Documents(_)
        | SoakDeed::NameVersion
        | SoakDeed::AddKey
        | SoakDeed::RevokeKey => Vec::new(),
    }
}

/// The signal to an entry host that a deed sends. Documents are noted where they are written.
const fn work_of(deed: SoakDeed) -> Option<PlannedWork> {
    match deed {
        SoakDeed::Stop(SoakPart::Entry(entry)) => Some(PlannedWork::Stop(entry)),
        SoakDeed::Reload(SoakPart::Entry(entry)) => Some(PlannedWork::Reload(entry)),
        _ => None,
    }
}

/// The address of part `number` of a kind whose first is at `first`. Each run has addresses of its own
/// on loopback, so that several run beside each other.
fn address_of(first: u8, number: usize) -> Ipv4Addr {
    let run = std::process::id();
    let [_, _, high, low] = run.to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, high | 0x40, low, first.saturating_add(number))
}

fn store_port(number: usize) -> u16 {
    STORE_PORT + u16::try_from(number).unwrap_or(u16::MAX - STORE_PORT)
}

fn settings_folder() -> SwitchResult<SettingsFolder> {
    let folder = std::env::temp_dir().join(format!("savory-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|fault| failed(&fault))?;
    Ok(SettingsFolder(folder))
}

fn failed(fault: &std::io::Error) -> SwitchError {
    SwitchError::new(
        ErrorKind::SettingInvalid,
        format!("settings files: {fault}"),
    )
}
