//! The operator: documents, versions of weights and keys, each confirmed when the store has taken it.

use std::net::SocketAddr;

use super::run_journal::{KeyLife, PlannedWork, RunJournal, WorkRecord};
use crate::platform::{AccountSample, FakeStore, TableName, document_text, samples};
use crate::time::clock_now;

/// Accounts whose first keys are good for the whole run.
const ACCOUNTS: [&str; 2] = ["auroras", "skupno"];
/// Versions of documents grow in steps.
const VERSION_STEP: u64 = 3;

/// The operator.
pub(super) struct OperatorDesk {
    store: FakeStore,
    origin: SocketAddr,
    journal: RunJournal,
    document: u64,
    weights: u64,
    keys_made: u64,
}

impl OperatorDesk {
    /// An operator that has written the first document and named version 1 of the weights.
    pub(super) fn open(store: FakeStore, origin: SocketAddr, journal: RunJournal) -> Self {
        let now = clock_now();
        let lives = ACCOUNTS.iter().map(|account| KeyLife {
            secret: format!("key-of-{account}"),
            account,
            added: now,
            revoked: None,
        });
        journal.lock().keys.extend(lives);
        let mut desk = Self {
            store,
            origin,
            journal,
            document: 0,
            weights: 0,
            keys_made: 0,
        };
        desk.write_documents(1);
        desk.name_version();
        desk
    }

    /// Writes so many documents, one right behind the other.
    pub(super) fn write_documents(&mut self, count: u32) {
        for _ in 0..count {
            let keys = self.good_keys();
            self.write_document(&keys);
        }
    }

    /// Names the next version of the weights.
    pub(super) fn name_version(&mut self) {
        self.weights += 1;
        let (key, text) = samples::target_sample(self.weights);
        self.store.put(TableName::Operator, key, &text);
        let naming = (self.weights, clock_now());
        self.journal.lock().namings.push(naming);
    }

    /// Gives an account one more key.
    pub(super) fn add_key(&mut self) {
        self.keys_made += 1;
        let account = ACCOUNTS[usize::from(self.keys_made.is_multiple_of(2))];
        let secret = format!("extra-key-{}", self.keys_made);
        let mut keys = self.good_keys();
        keys.push((account, secret.clone()));
        self.write_document(&keys);
        let life = KeyLife {
            secret,
            account,
            added: clock_now(),
            revoked: None,
        };
        self.journal.lock().keys.push(life);
    }

    /// Takes the oldest extra key away, if there is one.
    pub(super) fn revoke_key(&mut self) {
        let records = self.journal.lock();
        let mut lives = records.keys.iter().skip(ACCOUNTS.len());
        let oldest = lives.position(|key| key.revoked.is_none());
        drop(records);
        let Some(oldest) = oldest else {
            return;
        };
        let place = oldest + ACCOUNTS.len();
        let revoked = self.journal.lock().keys[place].secret.clone();
        let mut keys = self.good_keys();
        keys.retain(|(_, secret)| *secret != revoked);
        self.write_document(&keys);
        self.journal.lock().keys[place].revoked = Some(clock_now());
    }

    fn good_keys(&self) -> Vec<(&'static str, String)> {
        let records = self.journal.lock();
        let keys = records.keys.iter().filter(|key| key.revoked.is_none());
        keys.map(|key| (key.account, key.secret.clone())).collect()
    }

    fn write_document(&mut self, keys: &[(&str, String)]) {
        self.document += VERSION_STEP;
        let accounts = ACCOUNTS.map(|name| {
            let own = keys.iter().filter(|(account, _)| *account == name);
            let keys = own.map(|(_, secret)| secret.clone()).collect();
            AccountSample { name, keys }
        });
        let text = document_text(self.document, self.origin, &accounts);
        let (key, _) = samples::document_sample(self.document);
        let sent = clock_now();
        self.store.put(TableName::Operator, key, &text);
        self.journal.note_work(WorkRecord {
            work: PlannedWork::Document,
            sent,
            confirmed: clock_now(),
        });
    }
}
