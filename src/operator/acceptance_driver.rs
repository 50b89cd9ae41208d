//! Executes the steps of an [`AcceptanceMachine`] against the table, and puts an accepted change in
//! force on this host immediately.

use tokio::time::sleep;

use crate::control::ControlHandle;
use crate::documents::{
    AcceptanceMachine, AcceptanceOutcome, AcceptanceStep, ChangeRequest, TableResponse,
};
use crate::errors::SwitchResult;
use crate::metrics;
use crate::stores::{TableStore, WriteResult};
use crate::time::{clock_now, wall_now};

/// Writes the change `request` to the table and returns the outcome.
///
/// An accepted change is passed to this host's control thread before the author is notified. From
/// there, its neighbours receive it within milliseconds even if the table becomes unavailable right
/// afterwards.
pub(super) async fn accept_change(
    control: &ControlHandle,
    request: ChangeRequest,
) -> AcceptanceOutcome {
    let mut machine = AcceptanceMachine::new(request, clock_now(), wall_now());
    let table = &*control.adapters().table;
    loop {
        let now = clock_now();
        match machine.next_step(now) {
            AcceptanceStep::WaitUntil(due) => sleep(due.since(now)).await,
            AcceptanceStep::Done(outcome) => {
                if let AcceptanceOutcome::Accepted { row: Some(row), .. } = &*outcome {
                    control.put_in_force(row.clone()).await;
                }
                return *outcome;
            }
            step => {
                let response = execute(table, step).await;
                machine.on_response(response, clock_now());
            }
        }
    }
}

async fn execute(table: &dyn TableStore, step: AcceptanceStep) -> TableResponse {
    match step {
        AcceptanceStep::Read { key } => response_of(table.read(&key).await.map(TableResponse::Row)),
        AcceptanceStep::Write {
            key,
            expected,
            value,
        } => {
            let written = table.write(&key, expected, value).await;
            response_of(written.map(|result| match result {
                WriteResult::Written(revision) => TableResponse::Written(revision),
                WriteResult::Conflict(current) => TableResponse::Conflict(current),
            }))
        }
        AcceptanceStep::WaitUntil(_) | AcceptanceStep::Done(_) => TableResponse::Unavailable,
    }
}

fn response_of(outcome: SwitchResult<TableResponse>) -> TableResponse {
    outcome.unwrap_or_else(|error| {
        metrics::count_retry(error.kind);
        TableResponse::Unavailable
    })
}
