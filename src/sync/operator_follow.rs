//! Follows the operator's table: at the store, or at the entry hosts of the data centre that read it there,
//! and these tell the list of backend servers as well.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_follow::ListAsking;
use super::events;
use super::naming_time::NamingKnowledge;
use super::operator_reading::judge_reader;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::read_order::{ReadOrder, ReadTurn, ReaderAnswer};
use super::store_clock::AskSpan;
use super::store_watch::{FailurePause, OperatorStep, StoreWatch};
use super::view_book::ViewBook;
use crate::events::log_event;
use crate::time::clock_now;
use crate::transport::ResponseTimeouts;

/// How long a reader holds a question open. A reader that is stuck is got round with the next one.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);
/// How an answer has to arrive, beyond that: a document of 2,000 routes takes 0.1 s of a link of 40 Mbit/s,
/// and a reader sends it to all that ask, at once.
const FOLLOW_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(300),
    idle: Duration::from_millis(300),
    total: Duration::from_millis(2500),
};
/// The pause between two questions, and behind an answer that brings nothing and was not held open.
const FOLLOW_PAUSE: Duration = Duration::from_millis(20);
const BEHIND_PAUSE: Duration = Duration::from_millis(150);

/// How this process stands to the store while it reads the operator's table there itself.
struct OwnFollowing {
    /// The revision behind which it goes on; none where it has to read the table, or has not begun.
    since: Option<u64>,
    step: OperatorStep,
    pause: FailurePause,
    /// Whether the table has to be read as a whole, whatever is known of it.
    is_whole_due: bool,
    has_looked_back: bool,
    /// Whether this process read in its last turn.
    reads: Option<bool>,
}

impl StoreWatch {
    /// Follows the operator's table, for as long as the process lives.
    pub(crate) async fn follow_operator(self) {
        // They name the entry hosts. Where they cannot be read, neighbours tell of them.
        if let Err(error) = self.read_own_rows().await {
            log_event!(events::ENTRIES_UNREAD, "{error}");
        }
        let mut order = ReadOrder::of(&self.me);
        let mut asking = ListAsking::default();
        let mut following = OwnFollowing {
            since: None,
            step: OperatorStep {
                knowledge: NamingKnowledge::Started,
                is_behind_failure: false,
                told_at: None,
            },
            pause: FailurePause::default(),
            is_whole_due: false,
            has_looked_back: false,
            reads: None,
        };
        loop {
            let now = clock_now();
            let next = self.book.read(|book| order.next(book.entries(), now));
            let reads = next == ReadTurn::Read;
            if following.reads.replace(reads) != Some(reads) {
                log_event!(events::READER_CHANGED, "reads={reads}");
            }
            match next {
                ReadTurn::Read => self.read_turn(&mut following).await,
                ReadTurn::Ask(entry) => {
                    following.since = None;
                    following.is_whole_due = false;
                    let answer = self.ask_reader(&entry, &mut asking).await;
                    order.note(&entry.host, answer, clock_now());
                    sleep(match answer {
                        ReaderAnswer::Current | ReaderAnswer::Silent => FOLLOW_PAUSE,
                        ReaderAnswer::Behind => BEHIND_PAUSE,
                    })
                    .await;
                }
            }
        }
    }

    /// One step at the store.
    async fn read_turn(&self, following: &mut OwnFollowing) {
        if !following.has_looked_back {
            following.has_looked_back = true;
            if self.book.read(ViewBook::document_version).is_none() {
                self.read_past_namings_first().await;
            } else {
                tokio::spawn(self.clone().read_past_namings_later());
            }
        }
        if following.since.is_none()
            && !following.is_whole_due
            && let Some(word) = self.book.read(|book| book.operator().word())
        {
            // Neighbours told all until then.
            following.since = Some(word.revision);
            following.step = OperatorStep::behind_answer(word.told_at);
        }
        let step = following.step;
        let asked = clock_now();
        let followed = self.operator_step(&mut following.since, step).await;
        following.step = match &followed {
            Ok(told_at) => OperatorStep::behind_answer(*told_at),
            Err(_) => self.behind_failure(step, asked),
        };
        let followed_by = following.step.knowledge.followed();
        self.book.note(|book| book.note_followed(followed_by));
        following.is_whole_due = followed.is_err() && following.since.is_none();
        match (&followed, following.since) {
            (Ok(told_at), Some(revision)) => self.book.note(|book| {
                let known_at = book.earliest(*told_at);
                book.operator_mut().note_read(revision, *told_at, known_at);
            }),
            // Whoever asks has to know at once.
            _ => self.book.change(|book| book.operator_mut().note_failure()),
        }
        self.note_outcome(&followed.map(drop), &mut following.pause)
            .await;
    }

    /// Asks an entry host that reads.
    async fn ask_reader(&self, entry: &EntryRecord, asking: &mut ListAsking) -> ReaderAnswer {
        let mut ask = self.book.read(ViewBook::entry_ask);
        ask.follows = true;
        ask.wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(0);
        let digest = self.book.read(ViewBook::backends_digest);
        asking.complete(&mut ask, digest);
        let pace = ResponseTimeouts {
            head: FOLLOW_WAIT + FOLLOW_PACE.head,
            ..FOLLOW_PACE
        };
        let asked = clock_now();
        let called =
            self.client
                .call_with_timeouts::<_, PeerView>(entry.control, VIEW_PATH, &ask, pace);
        match called.await {
            Ok(view) => {
                let heard = clock_now();
                self.take_reader_view(view, AskSpan { asked, heard }, asking)
            }
            Err(error) => {
                log_event!(events::NEIGHBOUR_SILENT, "{error}");
                self.client.drop_pool(entry.control);
                ReaderAnswer::Silent
            }
        }
    }

    fn take_reader_view(
        &self,
        mut view: PeerView,
        span: AskSpan,
        asking: &mut ListAsking,
    ) -> ReaderAnswer {
        let (word, changes) = (view.operator, view.backend_changes.take());
        let mut answer = ReaderAnswer::Behind;
        self.book.change(|book| {
            book.merge(view, span);
            if let Some(changes) = changes {
                asking.note(book.take_backend_changes(changes, span.heard));
            }
            if let Some(word) = word {
                let known_at = book.earliest(word.told_at);
                book.operator_mut().take_word(word, known_at);
                book.note_followed(Some(word.told_at));
                answer = judge_reader(&word, known_at, span.heard);
            }
        });
        answer
    }
}
