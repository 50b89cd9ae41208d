//! Buffers the answer of a call that continues after its caller has disconnected.

use tokio::sync::watch;

use crate::delivery::RunPart;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Maximum size of one buffered answer in bytes; a longer answer fails.
const ANSWER_BYTES_MAX: usize = 32 * 1024 * 1024;

/// An answer that grows part by part, independently of its readers.
///
/// An unrepeatable call that was handed to the backend server must run to its end; otherwise its
/// outcome would be unknown. Its answer therefore does not depend on the connection to the entry
/// host.
#[derive(Debug, Default)]
pub(super) struct AnswerBuffer {
    state: watch::Sender<BufferState>,
}

#[derive(Debug, Default)]
struct BufferState {
    parts: Vec<RunPart>,
    bytes: usize,
    has_ended: bool,
}

impl AnswerBuffer {
    /// Adds one part; the last one ends the answer.
    ///
    /// # Errors
    ///
    /// `AnswerDamaged` when the answer exceeds the maximum size.
    ///
    /// # Panics
    ///
    /// If the answer has already ended.
    pub(super) fn push(&self, part: RunPart) -> SwitchResult<()> {
        let mut is_too_long = false;
        self.state.send_modify(|state| {
            assert!(
                !state.has_ended,
                "a part was added after the end of an answer"
            );
            state.bytes += part_bytes(&part);
            is_too_long = state.bytes > ANSWER_BYTES_MAX;
            state.has_ended = is_last(&part);
            if !is_too_long || state.has_ended {
                state.parts.push(part);
            }
        });
        if is_too_long {
            let detail = format!("the answer exceeds {ANSWER_BYTES_MAX} bytes");
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        Ok(())
    }

    /// Waits for parts from index `from` on and returns them. Returns none when the answer ends
    /// there.
    pub(super) async fn read(&self, from: usize) -> Vec<RunPart> {
        let mut state = self.state.subscribe();
        let has_news = |state: &BufferState| state.has_ended || state.parts.len() > from;
        match state.wait_for(has_news).await {
            Ok(state) => state.parts.get(from..).unwrap_or_default().to_vec(),
            Err(_) => Vec::new(),
        }
    }
}

/// Whether `part` is the last part of an answer.
pub(super) const fn is_last(part: &RunPart) -> bool {
    matches!(
        part,
        RunPart::Refused { .. } | RunPart::End { .. } | RunPart::Broken { .. }
    )
}

fn part_bytes(part: &RunPart) -> usize {
    match part {
        RunPart::Token { text, .. } => text.len(),
        RunPart::Body(bytes) => bytes.len(),
        RunPart::Head(head) => head
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum(),
        _ => 0,
    }
}
