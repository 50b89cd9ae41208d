//! What this entry host saw of crashes and has yet to tell the other entry hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::quarantine::{AnswerCount, CrashRecord};

/// News for the other entry hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashNews {
    /// Crashes and clearings.
    pub(super) records: Vec<CrashRecord>,
    /// Counts of answers to requests with suspected parts.
    pub(super) answers: Vec<AnswerCount>,
}

/// Queue of news from the crash detector to the task that sends them. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct NewsQueue {
    pending: Arc<Mutex<CrashNews>>,
    has_news: Arc<Notify>,
}

impl NewsQueue {
    /// Adds crashes or clearings.
    pub(super) fn push_records(&self, records: Vec<CrashRecord>) {
        if !records.is_empty() {
            self.lock().records.extend(records);
            self.has_news.notify_one();
        }
    }

    /// Adds counts of answers.
    pub(super) fn push_answers(&self, answers: Vec<AnswerCount>) {
        if !answers.is_empty() {
            self.lock().answers.extend(answers);
            self.has_news.notify_one();
        }
    }

    /// Waits until there are news.
    pub(super) async fn wait(&self) {
        self.has_news.notified().await;
    }

    /// Takes the news.
    pub(super) fn take(&self) -> CrashNews {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, CrashNews> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
