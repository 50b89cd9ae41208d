//! The control state and what events make of it. No I/O: the control thread carries out what
//! [`ControlMachine`] decides.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::gossip_state::GossipState;
use super::peer_messages::LoadChange;
use super::snapshot::{ControlSnapshot, MemberRecord, ServiceRecord};
use super::warm_up::WarmUp;
use crate::documents::{ActiveDocument, ActiveDocuments, DocumentVersion, InstallOutcome, events};
use crate::events::log_event;
use crate::membership::{
    HostIdentity, HostStatus, LoadReport, MemberFacts, MemberTable, MemberView, choose_neighbours,
    choose_table_readers,
};
use crate::metrics;
use crate::stores::{HostEntry, ListedState};
use crate::time::ClockTime;

/// Everything that the control thread knows.
#[derive(Debug)]
pub(crate) struct ControlMachine {
    identity: HostIdentity,
    own_facts: MemberFacts,
    documents: ActiveDocuments,
    /// The documents in force as readers see them.
    services: Vec<Arc<ServiceRecord>>,
    /// The hosts as readers see them, sorted by name.
    records: Vec<Arc<MemberRecord>>,
    members: MemberTable,
    table_answers: bool,
    warm_up: WarmUp,
    generation: u64,
    changes: ChangeMarks,
}

/// What has changed since it was last published.
#[derive(Debug)]
struct ChangeMarks {
    documents: bool,
    facts: bool,
    other: bool,
}

impl ControlMachine {
    /// The state of the process `identity` at its start: nothing is known.
    pub(crate) fn new(identity: HostIdentity) -> Self {
        let own_facts = MemberFacts {
            entry: HostEntry {
                host: identity.host.clone(),
                data_centre: identity.data_centre.clone(),
                region: identity.region.clone(),
                role: identity.role,
                service: identity.service.clone(),
                peer_address: identity.peer_address,
                state: ListedState::Live,
            },
            incarnation: identity.incarnation,
            sequence: 0,
        };
        Self {
            members: MemberTable::new(identity.host.clone()),
            identity,
            own_facts,
            documents: ActiveDocuments::default(),
            services: Vec::new(),
            records: Vec::new(),
            table_answers: false,
            warm_up: WarmUp::new(),
            generation: 0,
            changes: ChangeMarks {
                documents: true,
                facts: true,
                other: true,
            },
        }
    }

    /// Who this process is.
    pub(crate) const fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// The documents in force.
    pub(crate) const fn documents(&self) -> &ActiveDocuments {
        &self.documents
    }

    /// What is known of other hosts.
    pub(crate) const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// A document's row came from the table, from a neighbour or from this host's operator.
    pub(crate) fn on_row(&mut self, row: &Bytes) {
        match self.documents.install_if_newer(row) {
            Ok(InstallOutcome::Installed) => {
                self.changes.documents = true;
                self.tell_installed(row);
            }
            Ok(InstallOutcome::Known) => {}
            Ok(InstallOutcome::Older) => metrics::count_event("document_row_older", 1),
            Err(error) => {
                metrics::count_refusal(error.kind, "documents");
                log_event!(events::UNREADABLE, "{error}");
            }
        }
    }

    fn tell_installed(&self, row: &Bytes) {
        let held = self.documents.all().iter().find(|held| held.row == *row);
        if let Some(held) = held {
            let version = &held.version;
            log_event!(events::IN_FORCE, "{} {}", version.service, version.version);
            if !held.unknown.is_empty() {
                let unknown = held.unknown.join(" ");
                log_event!(events::UNKNOWN_FIELDS, "{} {unknown}", version.service);
            }
        }
    }

    /// The table answered, or did not.
    pub(crate) fn on_table(&mut self, answers: bool) {
        self.warm_up.on_table();
        self.changes.other |= self.table_answers != answers;
        self.table_answers = answers;
    }

    /// The platform's list was read.
    pub(crate) fn on_list(&mut self, entries: &[HostEntry], now: ClockTime) {
        self.members.on_list(entries, now);
        self.warm_up.on_list();
    }

    /// A neighbour told what hosts said of themselves.
    pub(crate) fn on_facts(&mut self, facts: &[MemberFacts], now: ClockTime) {
        for facts in facts {
            self.changes.facts |= self.members.on_facts(facts, now);
        }
    }

    /// A host asked this process for its word.
    pub(crate) fn on_watcher(&mut self, facts: &MemberFacts, now: ClockTime) {
        self.changes.facts |= self.members.on_facts(facts, now);
        self.members.on_contact(&facts.entry.host, now);
    }

    /// A watched host spoke about itself.
    pub(crate) fn on_status(&mut self, status: HostStatus, now: ClockTime) {
        let facts = self.facts_after(&status);
        self.members.on_status(status, now);
        if let Some(facts) = facts {
            self.members.on_facts(&facts, now);
            self.changes.facts = true;
        }
    }

    /// The facts that follow from a host's own word, where they go beyond what is known.
    fn facts_after(&self, status: &HostStatus) -> Option<MemberFacts> {
        let member = self.members.get(&status.host)?;
        let mut facts = member.facts.clone();
        let is_newer = status.incarnation > facts.incarnation;
        let leaves = status.leaving && facts.entry.state != ListedState::Leaving;
        if !is_newer && !leaves {
            return None;
        }
        facts.entry.state = listed_state(status.leaving);
        facts.sequence = u64::from(status.leaving);
        facts.incarnation = status.incarnation;
        Some(facts)
    }

    /// Only the load of a watched host changed.
    pub(crate) fn on_load(&mut self, host: &str, change: LoadChange, now: ClockTime) {
        let (sequence, [running, waiting, capacity, queue_room]) = change;
        let known = self
            .members
            .get(host)
            .and_then(|member| member.status.clone());
        if let Some(known) = known {
            let load = LoadReport {
                running,
                waiting,
                capacity,
                queue_room,
            };
            let status = HostStatus {
                sequence,
                load,
                ..(*known).clone()
            };
            self.members.on_status(status, now);
        }
    }

    /// A frame came from a watched host.
    pub(crate) fn on_frame_received(&mut self, host: &str, pace: Duration, now: ClockTime) {
        self.members.on_frame_received(host, pace, now);
    }

    /// The stream from a watched host broke or could not be opened.
    pub(crate) fn on_stream_lost(&mut self, host: &str, now: ClockTime) {
        self.members.on_stream_lost(host, now);
    }

    /// A host is no longer watched.
    pub(crate) fn on_unwatched(&mut self, host: &str) {
        self.members.on_unwatched(host);
    }

    /// This process begins its graceful stop.
    pub(crate) fn on_leaving(&mut self) {
        self.own_facts.entry.state = ListedState::Leaving;
        self.own_facts.sequence = 1;
        self.changes.facts = true;
    }

    /// A host is watched from now on.
    pub(crate) fn on_watched(&mut self, host: &str, now: ClockTime) {
        self.members.on_watched(host, now);
    }

    /// Time has passed; `asked` when every neighbour has answered or failed since the start.
    pub(crate) fn on_tick(&mut self, asked: bool, now: ClockTime) {
        self.members.on_tick(now);
        self.changes.documents |= self.warm_up.on_tick(asked, now);
    }

    /// The documents that this process acts on.
    fn acted_on(&self) -> &[Arc<ActiveDocument>] {
        if self.warm_up.is_done() {
            self.documents.all()
        } else {
            &[]
        }
    }

    /// Whether a neighbour with `versions` in force has something that this process lacks.
    pub(crate) fn lacks_any(&self, versions: &[DocumentVersion]) -> bool {
        versions
            .iter()
            .any(|there| there.version > self.documents.version_of(&there.service))
    }

    /// The hosts to watch.
    pub(crate) fn neighbours(&self) -> Vec<ByteString> {
        choose_neighbours(&self.identity, self.members.members())
    }

    /// Whether this process reads the table for its data centre.
    pub(crate) fn reads_table(&self) -> bool {
        choose_table_readers(&self.identity, self.members.members()).contains(&self.identity.host)
    }

    /// The state to pass on, if that changed since it was last taken.
    pub(crate) fn take_gossip(&mut self) -> Option<GossipState> {
        let changed = self.changes.documents || self.changes.facts;
        changed.then(|| {
            self.changes.facts = false;
            if std::mem::take(&mut self.changes.documents) {
                self.changes.other = true;
                self.renew_services();
            }
            GossipState {
                documents: self.acted_on().to_vec(),
                facts: self.facts_to_spread(),
            }
        })
    }

    /// Makes the records of documents that changed; the others are shared with earlier snapshots.
    fn renew_services(&mut self) {
        let services = self.acted_on().iter().map(|held| {
            let known = self.services.iter().find(|record| {
                record.document.service == held.version.service
                    && record.version == held.version.version
            });
            known.cloned().unwrap_or_else(|| service_record(held))
        });
        self.services = services.collect();
    }

    /// Makes the records of hosts that changed; the others are shared with earlier snapshots.
    fn renew_records(&mut self) {
        let known = std::mem::take(&mut self.records);
        let renew = |member: &MemberView| {
            let host = &member.facts.entry.host;
            let found = known.binary_search_by(|record| record.host.cmp(host));
            found
                .ok()
                .map(|at| &known[at])
                .filter(|record| shows(record, member))
                .map_or_else(|| member_record(member), Arc::clone)
        };
        self.records = self.members.members().iter().map(renew).collect();
    }

    fn facts_to_spread(&self) -> Vec<Arc<MemberFacts>> {
        let own = std::iter::once(&self.own_facts);
        let others = self.members.members().iter().map(|member| &member.facts);
        let mut facts: Vec<_> = own
            .chain(others)
            .filter(|facts| facts.incarnation > 0)
            .map(|facts| Arc::new(facts.clone()))
            .collect();
        facts.sort_by(|left, right| left.entry.host.cmp(&right.entry.host));
        facts
    }

    /// A new snapshot, if readers would see a difference.
    pub(crate) fn take_snapshot(&mut self) -> Option<ControlSnapshot> {
        let changed = self.members.take_changed() | std::mem::take(&mut self.changes.other);
        changed.then(|| {
            self.generation += 1;
            self.renew_records();
            ControlSnapshot {
                generation: self.generation,
                services: self.services.clone(),
                members: self.records.clone(),
                table_answers: self.table_answers,
            }
        })
    }
}

const fn listed_state(leaving: bool) -> ListedState {
    if leaving {
        ListedState::Leaving
    } else {
        ListedState::Live
    }
}

fn service_record(held: &Arc<ActiveDocument>) -> Arc<ServiceRecord> {
    Arc::new(ServiceRecord {
        version: held.version.version,
        document: (*held.document).clone(),
    })
}

/// Whether `record` still says what is known of `member`.
fn shows(record: &MemberRecord, member: &MemberView) -> bool {
    let entry = &member.facts.entry;
    let same_status = match (&record.status, &member.status) {
        (Some(left), Some(right)) => Arc::ptr_eq(left, right),
        (None, None) => true,
        _ => false,
    };
    same_status
        && record.state == member.state()
        && record.peer_address == entry.peer_address
        && record.service == entry.service
        && record.data_centre == entry.data_centre
        && record.region == entry.region
        && record.role == entry.role
}

fn member_record(member: &MemberView) -> Arc<MemberRecord> {
    let entry = &member.facts.entry;
    Arc::new(MemberRecord {
        host: entry.host.clone(),
        data_centre: entry.data_centre.clone(),
        region: entry.region.clone(),
        role: entry.role,
        service: entry.service.clone(),
        peer_address: entry.peer_address,
        state: member.state(),
        status: member.status.clone(),
    })
}
