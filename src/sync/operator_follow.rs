//! Follows the operator's table, either at the store or through the entry hosts of the data centre
//! that read it there. The latter report the list of backend servers as well.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_follow::ListQueryState;
use super::deployment_state::DeploymentState;
use super::events;
use super::operator_status::classify_answer;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::read_order::{ReadOrder, ReadStep, ReaderAnswer};
use super::store_clock::QuerySpan;
use super::store_watch::{FollowContext, OPERATOR_WAIT, RetryBackoff, StoreWatch, watch_span};
use super::target_update_time::FollowState;
use crate::events::log_event;
use crate::time::{ClockTime, clock_now};
use crate::transport::ResponseTimeouts;

/// How long a reader holds a query open. If a reader does not answer, the next one is queried.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);
/// Time limits of a response, in addition to the time that the query is held open. A document of
/// 2,000 routes takes 0.1 s on a link of 40 Mbit/s, and a reader sends it to all followers at once.
const FOLLOW_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(300),
    idle: Duration::from_millis(300),
    total: Duration::from_millis(2500),
};
/// Pause between two queries, and (`OUTDATED_PAUSE`) after a response of an outdated reader, which
/// was not held open.
const FOLLOW_PAUSE: Duration = Duration::from_millis(20);
const OUTDATED_PAUSE: Duration = Duration::from_millis(150);

/// Progress of this process while it reads the operator's table from the store itself.
struct ReaderProgress {
    /// The revision up to which changes were received; `None` if the full table has to be read or
    /// reading has not begun.
    since: Option<u64>,
    context: FollowContext,
    backoff: RetryBackoff,
    /// Whether the full table has to be read even though its state is known from neighbours.
    is_full_read_due: bool,
    has_read_history: bool,
    /// Whether this process was a reader in the last step; `None` before the first.
    was_reader: Option<bool>,
}

impl StoreWatch {
    /// Follows the operator's table until the process ends.
    pub(crate) async fn follow_operator(self) {
        // These rows list the entry hosts. If they can't be read, neighbours report them.
        if let Err(error) = self.read_own_rows().await {
            log_event!(events::ENTRIES_UNREAD, "{error}");
        }
        let mut order = ReadOrder::of(&self.own_entry);
        let mut query_state = ListQueryState::default();
        let mut progress = ReaderProgress {
            since: None,
            context: FollowContext {
                follow_state: FollowState::Started,
                is_after_failure: false,
                answered_at: None,
            },
            backoff: RetryBackoff::default(),
            is_full_read_due: false,
            has_read_history: false,
            was_reader: None,
        };
        loop {
            let now = clock_now();
            let next = self.state.read(|state| order.next(state.entries(), now));
            let was_reader = next == ReadStep::Read;
            if progress.was_reader.replace(was_reader) != Some(was_reader) {
                log_event!(events::READER_CHANGED, "reads={was_reader}");
            }
            match next {
                ReadStep::Read => {
                    let until = self
                        .state
                        .read(|state| order.reads_until(state.entries(), now));
                    self.reader_step(&mut progress, until, now).await;
                }
                ReadStep::Query(entry) => {
                    progress.since = None;
                    progress.is_full_read_due = false;
                    let answer = self.query_reader(&entry, &mut query_state).await;
                    order.note(&entry.host, answer, clock_now());
                    sleep(match answer {
                        ReaderAnswer::Current | ReaderAnswer::Unresponsive => FOLLOW_PAUSE,
                        ReaderAnswer::Outdated => OUTDATED_PAUSE,
                    })
                    .await;
                }
            }
        }
    }

    /// One call to the store at `now`, by a process that reads until `until`.
    async fn reader_step(
        &self,
        progress: &mut ReaderProgress,
        until: Option<ClockTime>,
        now: ClockTime,
    ) {
        let reads_once = until.is_some_and(|until| until <= now);
        self.state
            .note(|state| state.operator_mut().note_reads_until(until));
        self.read_history_if_due(progress, reads_once).await;
        let mut longest_wait = OPERATOR_WAIT;
        if progress.since.is_none()
            && !progress.is_full_read_due
            && let Some(announcement) = self.state.read(|state| state.operator().announcement())
        {
            // Neighbours reported everything up to this revision.
            progress.since = Some(announcement.revision);
            progress.context = match self.state.read(DeploymentState::followed) {
                Some(_) => FollowContext::after_answer(announcement.answered_at),
                None => FollowContext::after_interruption(announcement.answered_at),
            };
            // Until the store answers, this process knows no more than the reader that it followed,
            // and its own followers would exclude it as outdated.
            longest_wait = Duration::ZERO;
        }
        let context = progress.context;
        let sent_at = clock_now();
        let wait = watch_span(longest_wait, until, sent_at);
        let followed = self.operator_step(&mut progress.since, context, wait).await;
        progress.context = match &followed {
            Ok(answered_at) => FollowContext::after_answer(*answered_at),
            Err(_) => self.after_failure(context, sent_at),
        };
        self.state
            .note(|state| match progress.context.follow_state.followed() {
                Some(answered_at) => state.note_followed(answered_at),
                None => state.note_interrupted(sent_at),
            });
        progress.is_full_read_due = followed.is_err() && progress.since.is_none();
        match (&followed, progress.since) {
            (Ok(answered_at), Some(revision)) => self.state.note(|state| {
                let known_at = state.earliest(*answered_at);
                state
                    .operator_mut()
                    .note_read(revision, *answered_at, known_at);
            }),
            // Followers have to know of the failure at once.
            _ => self
                .state
                .change(|state| state.operator_mut().note_failure()),
        }
        self.note_outcome(&followed.map(drop), &mut progress.backoff)
            .await;
    }

    /// Reads the history when this process reads for the first time.
    async fn read_history_if_due(&self, progress: &mut ReaderProgress, reads_once: bool) {
        if progress.has_read_history {
            return;
        }
        if self.state.read(DeploymentState::document_version).is_none() {
            self.read_past_targets_first().await;
        } else if reads_once {
            // The readers know the history and report the versions in it.
            return;
        } else {
            tokio::spawn(self.clone().read_past_targets_later());
        }
        progress.has_read_history = true;
    }

    /// Queries a reader.
    async fn query_reader(
        &self,
        entry: &EntryRecord,
        query_state: &mut ListQueryState,
    ) -> ReaderAnswer {
        let mut query = self.state.read(DeploymentState::entry_query);
        query.follows = true;
        query.wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(0);
        let digest = self.state.read(DeploymentState::backends_digest);
        query_state.complete(&mut query, digest);
        let pace = ResponseTimeouts {
            head: FOLLOW_WAIT + FOLLOW_PACE.head,
            ..FOLLOW_PACE
        };
        let sent_at = clock_now();
        let called =
            self.client
                .call_with_timeouts::<_, PeerView>(entry.control, VIEW_PATH, &query, pace);
        match called.await {
            Ok(view) => {
                let received_at = clock_now();
                self.merge_reader_view(
                    view,
                    QuerySpan {
                        sent_at,
                        received_at,
                    },
                    query_state,
                )
            }
            Err(error) => {
                log_event!(events::NEIGHBOUR_UNRESPONSIVE, "{error}");
                self.client.drop_pool(entry.control);
                ReaderAnswer::Unresponsive
            }
        }
    }

    fn merge_reader_view(
        &self,
        mut view: PeerView,
        span: QuerySpan,
        query_state: &mut ListQueryState,
    ) -> ReaderAnswer {
        let (announcement, changes) = (view.operator, view.backend_changes.take());
        let mut answer = ReaderAnswer::Outdated;
        self.state.change(|state| {
            state.merge(view, span);
            if let Some(changes) = changes {
                query_state.note(state.merge_backend_changes(changes, span.received_at));
            }
            if let Some(announcement) = announcement {
                let known_at = state.earliest(announcement.answered_at);
                state
                    .operator_mut()
                    .take_announcement(announcement, known_at);
                state.note_reported(announcement.answered_at);
                answer = classify_answer(&announcement, known_at, span.received_at);
            }
        });
        answer
    }
}
