//! The system under test: stand-ins of the platform in this process, the daemons as child
//! processes, and a fault proxy on each link that can be disturbed.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::fault_plan::{LinkFault, PartCounts, PlannedAction, RESTART_SPAN, SoakAction};
use super::fault_proxy::{FaultProxy, HostCallPolicy, LinkRule};
use super::run_journal::{ActionRecord, PlannedWork, RunJournal, SoakPart, WorkRecord};
use super::soak_client::EntryEndpoint;
use super::soak_operator::SoakOperator;
use super::supervised_daemon::SupervisedDaemon;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::launch::LaunchSpec;
use crate::platform::{
    ENTRY_DATA_CENTRE, EngineLoad, FakeBackend, FakeBackendConfig, FakeEngine, FakeOrigin,
    FakeStore, ProcessAddresses, RunEvent, SETTINGS_PATH_VARIABLE, StagedAfterRestart,
    StartTimeField, StoreFault, data_centre_of, settings_text,
};
use crate::time::clock_now;

/// Smallest number of backend servers without an engine: two in each data centre.
const PLAIN_BACKENDS_MIN: usize = 4;
/// Engines per backend server without an engine. Larger systems have more clients, so they need
/// more of these backend servers.
const ENGINES_PER_PLAIN_BACKEND: usize = 4;
/// How long a stand-in engine takes to load weights.
const WEIGHTS_LOAD_SPAN: Duration = Duration::from_millis(800);
/// How long after a crash the platform removes a backend server's entry from the store: three
/// heartbeats.
const ENTRY_EXPIRY_SPAN: Duration = Duration::from_millis(3600);
/// How long the system may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_BACKEND_IP: u8 = 70;
const FIRST_ENTRY_IP: u8 = 10;
/// How long the store is away before it returns from an older copy.
const STORE_RETURN_SPAN: Duration = Duration::from_millis(400);
/// How long after its return the operator and the backend servers write again what it lost.
const REWRITE_SPAN: Duration = Duration::from_millis(500);
/// First port of the proxies to the store: one for each entry host, then one for all hosts of
/// engines.
const STORE_PORT: u16 = 9000;
const METRICS_PORT: &str = "9464";

/// The running system and the handles to disturb it.
pub(super) struct SoakSystem {
    pub(super) counts: PartCounts,
    /// The entry hosts in the view of the balancer, each with the address of its readiness probe.
    pub(super) endpoints: Vec<(EntryEndpoint, SocketAddr)>,
    store: FakeStore,
    origin: FakeOrigin,
    operator: Mutex<SoakOperator>,
    store_links: Vec<FaultProxy>,
    backends: Vec<FakeBackend>,
    backend_links: Vec<FaultProxy>,
    entries: Vec<SupervisedDaemon>,
    hosts: Vec<SupervisedDaemon>,
    journal: RunJournal,
    folder: SettingsFolder,
}

/// The temporary folder of the settings files; removed on drop.
struct SettingsFolder(PathBuf);

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        // A folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl SoakSystem {
    /// Starts a system of `processes` daemons; returns once every engine has loaded weights.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when a part cannot be started, `Internal` when the engines do not load
    /// weights in time.
    pub(super) async fn start(
        processes: usize,
        load: EngineLoad,
        journal: RunJournal,
    ) -> SwitchResult<Arc<Self>> {
        let entries = (processes / 3).max(2);
        let hosts = processes - entries;
        let store = FakeStore::start().await;
        let origin = FakeOrigin::start().await;
        let operator = SoakOperator::start(store.clone(), origin.address, journal.clone());
        let counts = PartCounts {
            entries,
            hosts,
            backends: hosts + PLAIN_BACKENDS_MIN.max(hosts / ENGINES_PER_PLAIN_BACKEND),
        };
        let mut system = Self {
            counts,
            endpoints: Vec::new(),
            store,
            origin,
            operator: Mutex::new(operator),
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
        let system = Arc::new(system);
        for number in 0..system.counts.hosts {
            tokio::spawn(crash_when_harmed(Arc::downgrade(&system), number));
        }
        Ok(system)
    }

    async fn start_backends(&mut self, load: EngineLoad) -> SwitchResult<()> {
        let run_events = self.collect_run_events();
        for number in 0..self.counts.backends {
            let is_engine = number < self.counts.hosts;
            let engine =
                is_engine.then(|| FakeEngine::new(StartTimeField::Present, WEIGHTS_LOAD_SPAN));
            let ip = loopback_address(FIRST_BACKEND_IP, number);
            let config = FakeBackendConfig {
                number,
                advertised_address: SocketAddr::from((ip, 8080)),
                listen_address: SocketAddr::from((ip, 8081)),
                load,
            };
            let started = FakeBackend::start(config, engine, &self.store, run_events.clone());
            self.backends.push(started.await?);
            let host_calls = if is_engine {
                HostCallPolicy::Exempt
            } else {
                HostCallPolicy::Absent
            };
            let link =
                FaultProxy::start(config.advertised_address, config.listen_address, host_calls)
                    .await?;
            self.backend_links.push(link);
        }
        Ok(())
    }

    /// Starts a task that records the runs at backend servers; returns the sender for their events.
    fn collect_run_events(&self) -> UnboundedSender<RunEvent> {
        let (sender, mut events) = unbounded_channel();
        let journal = self.journal.clone();
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                journal.note_run(event);
            }
        });
        sender
    }

    async fn start_daemons(&mut self) -> SwitchResult<()> {
        let control = |entry| SocketAddr::from((loopback_address(FIRST_ENTRY_IP, entry), 8000));
        let seeds: Vec<SocketAddr> = (0..self.counts.entries.min(3)).map(control).collect();
        for number in 0..=self.counts.entries {
            let at = SocketAddr::from((loopback_address(1, 0), store_port(number)));
            let link = FaultProxy::start(at, self.store.address, HostCallPolicy::Absent).await?;
            self.store_links.push(link);
        }
        for number in 0..self.counts.entries {
            let ip = loopback_address(FIRST_ENTRY_IP, number);
            let [client_address, ready_address] =
                [8005, 8002].map(|port| SocketAddr::from((ip, port)));
            let addresses = ProcessAddresses {
                host: format!("entry-{number}"),
                data_centre: ENTRY_DATA_CENTRE,
                ip: ip.into(),
                store: SocketAddr::from((loopback_address(1, 0), store_port(number))),
                seeds: seeds.clone(),
                engine: None,
                listen: Some([client_address, ready_address, control(number)]),
            };
            self.entries
                .push(self.start_daemon("savory-entry", &addresses)?);
            let in_rotation = Arc::new(AtomicBool::new(false));
            self.endpoints.push((
                EntryEndpoint {
                    client_address,
                    in_rotation,
                },
                ready_address,
            ));
        }
        for number in 0..self.counts.hosts {
            let ip = loopback_address(FIRST_BACKEND_IP, number);
            let addresses = ProcessAddresses {
                host: format!("host-{number}"),
                data_centre: data_centre_of(number),
                ip: ip.into(),
                store: SocketAddr::from((loopback_address(1, 0), store_port(self.counts.entries))),
                seeds: seeds.clone(),
                engine: Some(SocketAddr::from((ip, 8080))),
                listen: None,
            };
            self.hosts
                .push(self.start_daemon("savory-host", &addresses)?);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        program: &'static str,
        addresses: &ProcessAddresses,
    ) -> SwitchResult<SupervisedDaemon> {
        let path = self.folder.0.join(format!("{}.toml", addresses.host));
        std::fs::write(&path, settings_text(addresses)).map_err(|fault| settings_error(&fault))?;
        let order = LaunchSpec::new(program, &addresses.host)
            .argument("platform")
            .setting("metrics-port", METRICS_PORT)
            .variable(SETTINGS_PATH_VARIABLE, path.to_string_lossy());
        SupervisedDaemon::start(order, &self.journal)
    }

    async fn await_ready(&self) -> SwitchResult<()> {
        let all_loaded = async {
            let engines = &self.backends[..self.counts.hosts];
            while engines.iter().any(|engine| engine.held().is_none()) {
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, all_loaded).await.map_err(|_| {
            let detail = format!("some engines have loaded no weights within {READY_TIMEOUT:?}");
            SwitchError::new(ErrorKind::Internal, detail)
        })
    }

    /// Carries out `planned` and records it; returns when it has ended.
    pub(super) async fn carry_out(&self, planned: &PlannedAction) {
        let (action, span) = (planned.action, planned.span);
        let now = clock_now();
        let number = self.journal.begin_action(ActionRecord {
            parts: disturbed_parts(action),
            text: format!("{action:?} for {span:?}"),
            is_planned: matches!(action, SoakAction::Stop(_) | SoakAction::Reload(_)),
            begun: now,
            ended: None,
        });
        if let Some(work) = signalled_work(action) {
            let (sent, confirmed) = (now, now);
            self.journal.note_work(WorkRecord {
                work,
                sent,
                confirmed,
            });
        }
        match action {
            SoakAction::Freeze(part) => self.process(part).freeze(span).await,
            SoakAction::Kill(part) => self.process(part).kill(span).await,
            SoakAction::Stop(part) => self.process(part).stop().await,
            SoakAction::Reload(part) => self.process(part).reload().await,
            SoakAction::Stall => self.stall(span).await,
            SoakAction::Crash(backend) => self.crash(backend, span).await,
            SoakAction::Link(part, fault) => disturb_link(self.link(part), fault, span).await,
            SoakAction::StoreDown => self.disturb_store(StoreFault::Down, span).await,
            SoakAction::StoreSlow(delay) => {
                self.disturb_store(StoreFault::Slow(delay), span).await;
            }
            SoakAction::StoreSilent => self.disturb_store(StoreFault::DropsResponses, span).await,
            SoakAction::StoreReturn => self.return_store(span).await,
            SoakAction::Leave(backend) => self.leave(backend, span).await,
            SoakAction::Refuse(backend) => {
                self.backends[backend].refuse_for(span);
                sleep(span).await;
            }
            SoakAction::HarmfulPart => {
                let part = self.journal.begin_harmful_part();
                sleep(span).await;
                self.journal.end_harmful_part(&part);
            }
            SoakAction::OriginDown => {
                self.origin.limit_chunks(self.origin.chunks_served());
                sleep(span).await;
                self.origin.limit_chunks(usize::MAX);
            }
            SoakAction::Documents(count) => self.operator.lock().await.write_documents(count),
            SoakAction::Evacuate => {
                self.operator.lock().await.begin_evacuation();
                sleep(span).await;
                self.operator.lock().await.end_evacuation();
            }
            SoakAction::NameVersion => self.operator.lock().await.set_target(),
            SoakAction::AddKey => self.operator.lock().await.add_key(),
            SoakAction::RevokeKey => self.operator.lock().await.revoke_key(),
        }
        self.journal.end_action(number, clock_now());
    }

    /// Returns the name and the log of each daemon.
    pub(super) async fn logs(&self) -> Vec<(String, String)> {
        let mut logs = Vec::new();
        for daemon in self.entries.iter().chain(&self.hosts) {
            logs.push(daemon.log().await);
        }
        logs
    }

    fn process(&self, part: SoakPart) -> &SupervisedDaemon {
        match part {
            SoakPart::Entry(number) => &self.entries[number],
            SoakPart::Host(number) => &self.hosts[number],
            SoakPart::Store | SoakPart::Backend(_) => {
                unreachable!("this part is not a daemon process")
            }
        }
    }

    fn link(&self, part: SoakPart) -> &FaultProxy {
        match part {
            SoakPart::Entry(number) => &self.store_links[number],
            SoakPart::Backend(number) => &self.backend_links[number],
            SoakPart::Store | SoakPart::Host(_) => unreachable!("this part has no link of its own"),
        }
    }

    async fn crash(&self, number: usize, span: Duration) {
        let (backend, link) = (&self.backends[number], &self.backend_links[number]);
        backend.crash();
        link.change(|rule| rule.is_down = true);
        sleep(span.min(ENTRY_EXPIRY_SPAN)).await;
        if span > ENTRY_EXPIRY_SPAN {
            backend.remove_entry();
            sleep(span.saturating_sub(ENTRY_EXPIRY_SPAN)).await;
        }
        backend.restart(StagedAfterRestart::Kept);
        link.change(|rule| rule.is_down = false);
    }

    /// Lets a backend server announce that it is leaving for `span`, end, and start again.
    async fn leave(&self, number: usize, span: Duration) {
        self.backends[number].leave();
        sleep(span).await;
        self.crash(number, RESTART_SPAN).await;
    }

    /// Lets the store lose what is written within `span`. Its writers write it again soon after it
    /// has returned.
    async fn return_store(&self, span: Duration) {
        self.store.take_copy();
        sleep(span).await;
        self.store.set_fault(StoreFault::Down);
        sleep(STORE_RETURN_SPAN).await;
        let lost = self.store.return_from_copy();
        self.store.set_fault(StoreFault::None);
        sleep(REWRITE_SPAN).await;
        self.store.write_again(lost);
    }

    async fn stall(&self, span: Duration) {
        let stall = |is_stalled| self.backends.iter().for_each(|it| it.stall(is_stalled));
        stall(true);
        sleep(span).await;
        stall(false);
    }

    async fn disturb_store(&self, fault: StoreFault, span: Duration) {
        self.store.set_fault(fault);
        sleep(span).await;
        self.store.set_fault(StoreFault::None);
    }
}

/// Crashes engine `number` each time it begins a request with a harmful part, until the system ends.
async fn crash_when_harmed(system: Weak<SoakSystem>, number: usize) {
    loop {
        let Some(backend) = system
            .upgrade()
            .map(|system| system.backends[number].clone())
        else {
            return;
        };
        backend.wait_harmed().await;
        let Some(system) = system.upgrade() else {
            return;
        };
        let action = system.journal.begin_action(ActionRecord {
            parts: vec![SoakPart::Backend(number)],
            text: format!("harmful part at backend server {number}"),
            is_planned: false,
            begun: clock_now(),
            ended: None,
        });
        system.crash(number, RESTART_SPAN).await;
        system.journal.end_action(action, clock_now());
    }
}

async fn disturb_link(link: &FaultProxy, fault: LinkFault, span: Duration) {
    match fault {
        LinkFault::Delay(delay) => link.change(|rule| rule.delay = delay),
        LinkFault::Reset => return link.reset_open(),
        LinkFault::CutCalls => link.change(|rule| rule.holds_requests = true),
        LinkFault::CutAnswers => link.change(|rule| rule.holds_responses = true),
        LinkFault::Silence => return link.silence_open(),
    }
    sleep(span).await;
    link.change(|rule| match fault {
        LinkFault::Delay(_) => rule.delay = LinkRule::default().delay,
        LinkFault::CutCalls => rule.holds_requests = false,
        LinkFault::CutAnswers => rule.holds_responses = false,
        LinkFault::Reset | LinkFault::Silence => {}
    });
}

/// The parts that an action disturbs.
fn disturbed_parts(action: SoakAction) -> Vec<SoakPart> {
    match action {
        SoakAction::Freeze(part)
        | SoakAction::Kill(part)
        | SoakAction::Stop(part)
        | SoakAction::Link(part, _) => vec![part],
        SoakAction::Crash(number) | SoakAction::Leave(number) | SoakAction::Refuse(number) => {
            vec![SoakPart::Backend(number)]
        }
        SoakAction::StoreDown
        | SoakAction::StoreSlow(_)
        | SoakAction::StoreSilent
        | SoakAction::StoreReturn => vec![SoakPart::Store],
        // No deadline depends on the origin, changes disturb nothing, and paused engines are not a
        // fault. The crashes under a harmful part are actions of their own.
        SoakAction::OriginDown
        | SoakAction::HarmfulPart
        | SoakAction::Stall
        | SoakAction::Reload(_)
        | SoakAction::Documents(_)
        | SoakAction::Evacuate
        | SoakAction::NameVersion
        | SoakAction::AddKey
        | SoakAction::RevokeKey => Vec::new(),
    }
}

/// The planned signal that an action sends to an entry host. `SoakOperator` records documents.
const fn signalled_work(action: SoakAction) -> Option<PlannedWork> {
    match action {
        SoakAction::Stop(SoakPart::Entry(entry)) => Some(PlannedWork::Stop(entry)),
        SoakAction::Reload(SoakPart::Entry(entry)) => Some(PlannedWork::Reload(entry)),
        _ => None,
    }
}

/// The loopback address of part `number` of a kind; `first` is the last byte of the address of part
/// 0. The process id selects the other bytes, so that several runs at the same time do not collide.
fn loopback_address(first: u8, number: usize) -> Ipv4Addr {
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
    std::fs::create_dir_all(&folder).map_err(|fault| settings_error(&fault))?;
    Ok(SettingsFolder(folder))
}

fn settings_error(fault: &std::io::Error) -> SwitchError {
    SwitchError::new(
        ErrorKind::SettingInvalid,
        format!("settings files: {fault}"),
    )
}
